#ifndef EMULATOR_DAY_INJECT_H
#define EMULATOR_DAY_INJECT_H
/**
 * Injection of a day's faults: a schedule of the beginnings and ends of faults, sorted by time, and
 * the actions that begin and end each kind of fault.
 */
#include "day_run.h"

/** Creates the schedule, with the beginnings of all faults. */
void day_inject_init(day_run *run);
void day_inject_clear(day_run *run);
/** Returns the time of the next event in seconds since the start of the day, or NAN when there is
 * none. Sets *is_end to whether the event ends a fault. */
double day_inject_next_at(const day_run *run, bool *is_end);
/** Removes the next event from the schedule and carries it out. */
void day_inject_next(day_run *run);
#endif
