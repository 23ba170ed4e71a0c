#ifndef EMULATOR_LINEARIZABILITY_H
#define EMULATOR_LINEARIZABILITY_H
#include "base.h"

/** @file
 * A linearizability checker for the configuration as operators see it: one register whose writes
 * are conditional. Each order builds on a base version and brings a higher version; it takes effect
 * at most once, however often it is sent. */

/** What the caller of one attempt knows afterwards. */
enum register_answer {
  ANSWER_NONE,      /**< no clear answer: lost, late, a redirect that failed, or a 5xx */
  ANSWER_CONFIRMED, /**< 200 */
  ANSWER_CONFLICT,  /**< 412: another version is current */
  ANSWER_INVALID    /**< 400: the order is invalid whatever is current */
};

typedef struct register_history register_history;

/** An empty history; freed by register_history_free. */
register_history *register_history_new(void);
void register_history_free(register_history *history);
/** Adds an order and returns its number. */
guint register_history_add_order(register_history *history, uint64_t base, uint64_t version,
                                 bool valid);
/** One sending of an order, which may be one of many, and its answer. Times in any one unit. */
void register_history_add_attempt(register_history *history, guint number, uint64_t called,
                                  uint64_t returned, enum register_answer answer);
/** A read that returned what an order wrote. */
void register_history_add_read(register_history *history, guint number, uint64_t called,
                               uint64_t returned);
/** True when the history can be explained by orders and reads that took effect one after the other,
 * each between its call and its return; why says the first thing that can't be. */
bool register_history_check(const register_history *history, GString *why);
#endif
