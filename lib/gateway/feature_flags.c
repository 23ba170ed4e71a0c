/** Names of the features that can be disabled; they are part of the command-line interface. */
#include "feature_flags.h"

static const char *const names[FEATURE_COUNT] = {
  [FEATURE_PREFIX] = "prefix",
  [FEATURE_BATCH] = "batch",
  [FEATURE_KV] = "kv",
  [FEATURE_QUEUE] = "queue",
  [FEATURE_EARLY_REFUSAL] = "early-refusal",
  [FEATURE_REPLICAS] = "copies",
  [FEATURE_CREMEBRULEE] = "cremebrulee",
  [FEATURE_RETRIES] = "retries",
  [FEATURE_RESUME] = "resume",
  [FEATURE_ZONE] = "zone",
  [FEATURE_FAILURE_SCORE] = "grey",
  [FEATURE_ANNOUNCE_UNLOAD] = "announce",
  [FEATURE_NEW_RATE] = "new-rate",
  [FEATURE_UNLOAD_OBJECTIONS] = "objections",
  [FEATURE_IDLE_FIRST] = "idle-first",
  [FEATURE_DRAIN_STREAMS] = "leaving-streams",
};

const char *feature_flag_name(enum feature_flag feature_flag) {
  return names[feature_flag];
}

/* the feature with a name; -1 when there is none */
static int feature_of(const char *name) {
  for (int flag = 0; flag < FEATURE_COUNT; flag++)
    if (!strcmp(names[flag], name))
      return flag;
  return -1;
}

bool feature_flags_parse(const char *list, unsigned *set, error *err) {
  char **parts = g_strsplit(list, ",", 0);
  bool known = true;
  *set = 0;
  for (char **part = parts; *part && known; part++) {
    int feature_flag = feature_of(*part);
    known = feature_flag >= 0;
    if (known)
      *set |= 1u << feature_flag;
    else
      error_set(err, E_SETTINGS_KEY, "no mechanism is called %.40s", *part);
  }
  g_strfreev(parts);
  return known;
}
