/** Names of the mechanisms that can be switched off. */
#include "mechanisms.h"

static const char *const names[MECHANISM_COUNT] = {
  [MECHANISM_PREFIX] = "prefix",
  [MECHANISM_BATCH] = "batch",
  [MECHANISM_KV] = "kv",
  [MECHANISM_QUEUE] = "queue",
  [MECHANISM_EARLY_REFUSAL] = "early-refusal",
  [MECHANISM_COPIES] = "copies",
  [MECHANISM_CREMEBRULEE] = "cremebrulee",
  [MECHANISM_RETRIES] = "retries",
  [MECHANISM_RESUME] = "resume",
  [MECHANISM_ZONE] = "zone",
  [MECHANISM_GREY] = "grey",
  [MECHANISM_ANNOUNCE] = "announce",
  [MECHANISM_NEW_RATE] = "new-rate",
  [MECHANISM_OBJECTIONS] = "objections",
  [MECHANISM_IDLE_FIRST] = "idle-first",
  [MECHANISM_LEAVING_STREAMS] = "leaving-streams",
};

const char *mechanism_name(enum mechanism mechanism) {
  return names[mechanism];
}

static int mechanism_of(const char *name) {
  for (int k = 0; k < MECHANISM_COUNT; k++)
    if (!strcmp(names[k], name))
      return k;
  return -1;
}

bool mechanisms_read(const char *list, unsigned *set, error *err) {
  char **parts = g_strsplit(list, ",", 0);
  bool known = true;
  *set = 0;
  for (char **part = parts; *part && known; part++) {
    int mechanism = mechanism_of(*part);
    known = mechanism >= 0;
    if (known)
      *set |= 1u << mechanism;
    else
      error_set(err, E_SETTINGS_KEY, "no mechanism is called %.40s", *part);
  }
  g_strfreev(parts);
  return known;
}
