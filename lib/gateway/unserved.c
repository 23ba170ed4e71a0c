/** Why requests were not served: names of the reasons, and a log line for each interval in which
 * some were not served. */
#include "unserved.h"
#include "gateway.h"

/* Interval of the log lines: short enough to distinguish successive faults. */
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

/* logs the counts that have increased since the last call, and updates the logged counts */
static void log_summary(gateway *gateway, uint64_t logged[UNSERVED_COUNT]) {
  GString *line = g_string_new(NULL);
  for (int reason = 0; reason < UNSERVED_COUNT; reason++) {
    uint64_t count = gateway->counts.unserved[reason], added = count - logged[reason];
    if (added)
      g_string_append_printf(line, "%s %" PRIu64 " %s", line->len ? "," : "", added, names[reason]);
    logged[reason] = count;
  }
  if (line->len)
    log_info(&gateway->router->node.log, "gateway", "Not served in the last %d s:%s.",
             SUMMARY_MS / 1000, line->str);
  g_string_free(line, TRUE);
}

static void summary_run(void *context) {
  gateway *gateway = context;
  uint64_t logged[UNSERVED_COUNT] = { 0 };
  while (world_sleep_with_jitter(gateway->router->node.world, time_from_ms(SUMMARY_MS)))
    log_summary(gateway, logged);
}

void unserved_start(gateway *gateway) {
  task_start(&gateway->router->node.world->tasks, "unserved", summary_run, gateway);
}
