#ifndef EMULATOR_DAY_POLICY_H
#define EMULATOR_DAY_POLICY_H
/** The policy resource of a day. */
#include "day.h"

/** Checks that a policy resource compiles. */
enum error_code day_policy_check(const json *policy, error *err);
/** Replaces the eviction policy in the day's policy resource; "expr:EXPRESSION" defines one by an
 * expression. On errors the day is unchanged. */
enum error_code day_set_eviction(day *day, const char *eviction, error *err);
#endif
