/** @file
 * The list of violations of a run, and all checkers together. */
#include "fleet_check.h"
#include "fleet.h"
#include <stdarg.h>
#include <stdio.h>

/** Violations are recorded until their text has this length; the first ones are the most
 * informative.
 */
enum { VIOLATIONS_MAX_BYTES = 2000 };

void fleet_add_violation(fleet *fleet, const char *format, ...) {
  GString *violations = fleet->violations;
  va_list arguments;
  if (violations->len >= VIOLATIONS_MAX_BYTES)
    return;
  va_start(arguments, format);
  g_string_append_printf(violations, "[%.3f] ", (double)fleet->sim->now.us / 1e6);
  g_string_append_vprintf(violations, format, arguments);
  g_string_append_c(violations, '\n');
  va_end(arguments);
}

bool fleet_check_silently(fleet *fleet) {
  /* without live callers the fleet was not started, as in tests of a single module */
  if (fleet->callers->alive) {
    fleet_check_runs(fleet);
    fleet_check_policy_markers(fleet);
    fleet_check_draining(fleet);
    fleet_check_evacuated(fleet);
    fleet_check_lease_succession(fleet);
    fleet_check_capacity(fleet);
    fleet_check_load_rate(fleet);
    fleet_check_retries(fleet);
    fleet_check_slow_start(fleet);
  }
  return !fleet->violations->len;
}

static void print_writes(const fleet *fleet) {
  for (guint i = 0; i < fleet->writes->len; i++) {
    const operator_write *write = fleet->writes->pdata[i];
    fprintf(stderr, "  %.3f to %.3f: %d, write %" PRIu64 " %s %s\n",
            (double)write->sent_at.us / 1e6, (double)write->ended_at.us / 1e6, write->status,
            write->version, write->idempotency_key, write->text ? write->text : "");
  }
}

bool fleet_check_all(fleet *fleet) {
  bool passed = fleet_check_silently(fleet);
  if (g_getenv("SIM_NOTES"))
    print_writes(fleet);
  if (!passed)
    fprintf(stderr, "\nseed %" PRIu64 ":\n%s", fleet->seed, fleet->violations->str);
  return passed;
}
