/** Measures how soon a fleet serves, loads models and holds its singleton leases again after a
 * loss.
 */
#ifndef TESTS_RECOVERY_H
#define TESTS_RECOVERY_H
#include "fleet.h"

/** Rule R12: a fleet serves and loads models again within this many ms after a heavy loss. */
enum { RECOVERY_LIMIT_MS = 12000 };

/** When each step of a recovery was first observed; 0: not observed. */
typedef struct recovery_times {
  /** A live controller or router declared a peer gone. */
  time_us loss_noticed_at;
  /** The head has a different view than before the loss. */
  time_us view_changed_at;
  /** Every live engine has a holder of its singleton again. */
  time_us leases_granted_at;
} recovery_times;

/** Runs the fleet for span_ms and records the steps of its recovery. epoch: that of the view before
 * the loss. */
recovery_times recovery_observe(fleet *fleet, int64_t span_ms, uint64_t epoch);
/** Prints the steps, in seconds after the loss, when SIM_COUNT is set. */
void recovery_print(const recovery_times *times, time_us loss_at);
/** Checks that, within limit_ms after the loss, a request made after it got its first token and an
 * engine accepted a load. */
void recovery_check(fleet *fleet, time_us loss_at, int64_t limit_ms);
#endif
