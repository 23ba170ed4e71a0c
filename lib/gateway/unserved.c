/** Why requests were not served: counts by reason, and a line of the log now and then. */
#include "unserved.h"
#include "gateway.h"

enum { SUMMARY_MS = 10000 };

static const char *const names[UNSERVED_COUNT] = {
  [UNSERVED_DECLINED] = "declined", [UNSERVED_NO_MODEL] = "noModel",
  [UNSERVED_BUSY] = "busy",         [UNSERVED_NO_ENGINE] = "noEngine",
  [UNSERVED_DRAINING] = "leaving",  [UNSERVED_BROKEN] = "broken",
  [UNSERVED_TIMEOUT] = "late",      [UNSERVED_CLIENT_LEFT_WAITING] = "leftWaiting",
};

const char *unserved_name(enum unserved_reason reason) {
  return names[reason];
}

/* one line for all that was not served since the last one; none when all was */
static void summarize(gateway *gateway, uint64_t told[UNSERVED_COUNT]) {
  GString *line = g_string_new(NULL);
  for (int k = 0; k < UNSERVED_COUNT; k++) {
    uint64_t more = gateway->counts.unserved[k] - told[k];
    if (more)
      g_string_append_printf(line, "%s %" PRIu64 " %s", line->len ? "," : "", more, names[k]);
    told[k] = gateway->counts.unserved[k];
  }
  if (line->len)
    log_info(&gateway->router->node.log, "gateway", "Not served in the last %d s:%s.",
             SUMMARY_MS / 1000, line->str);
  g_string_free(line, TRUE);
}

static void summary_run(void *p) {
  gateway *gateway = p;
  uint64_t told[UNSERVED_COUNT] = { 0 };
  while (world_sleep_with_jitter(gateway->router->node.world, time_from_ms(SUMMARY_MS)))
    summarize(gateway, told);
}

void unserved_start(gateway *gateway) {
  task_start(&gateway->router->node.world->tasks, "unserved", summary_run, gateway);
}
