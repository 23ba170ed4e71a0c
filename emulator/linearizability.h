#ifndef EMULATOR_LINEARIZABILITY_H
#define EMULATOR_LINEARIZABILITY_H
#include "base.h"

/** @file
 * A linearizability checker for the configuration as operators see it: a single register with
 * conditional writes. Each write names a base version and sets a higher version; it takes effect at
 * most once, however often it is sent. */

/** What the response to an attempt says about the outcome of its write. */
enum register_outcome {
  REGISTER_OUTCOME_UNKNOWN, /**< unknown outcome: no or a late response, a failed redirect, or a 5xx
                             */
  REGISTER_OUTCOME_CONFIRMED, /**< 200 */
  REGISTER_OUTCOME_CONFLICT,  /**< 412: another version is current */
  REGISTER_OUTCOME_INVALID    /**< 400: the write is invalid, whatever version is current */
};

typedef struct register_history register_history;

/** An empty history; freed by register_history_free. */
register_history *register_history_new(void);
void register_history_free(register_history *history);
/** Adds a write and returns its number. */
guint register_history_add_write(register_history *history, uint64_t base, uint64_t version,
                                 bool valid);
/** Adds an attempt to send a write, which may have several, and its response. Times may be in any
 * unit, the same for the whole history. */
void register_history_add_attempt(register_history *history, guint number, uint64_t called,
                                  uint64_t returned, enum register_outcome answer);
/** Adds a read that returned the value of a write. */
void register_history_add_read(register_history *history, guint number, uint64_t called,
                               uint64_t returned);
/** True when the history is linearizable: each write that took effect and each read can be given an
 * instant between its call and its return so that they explain all responses. Otherwise why holds a
 * contradiction that was found. */
bool register_history_check(const register_history *history, GString *why);
#endif
