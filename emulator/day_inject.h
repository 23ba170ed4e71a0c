#ifndef EMULATOR_DAY_INJECT_H
#define EMULATOR_DAY_INJECT_H
/**
 * Injection of a day's faults: a schedule of beginnings and ends by time, and for each kind of
 * fault how it begins and ends.
 */
#include "day_run.h"

/** Fills the schedule with the beginnings of all faults. */
void day_inject_init(day_run *run);
void day_inject_clear(day_run *run);
/** Returns the time of the next event in seconds since the start of the day, or NAN. *is_end tells
 * whether a fault ends then. */
double day_inject_next_at(const day_run *run, bool *is_end);
/** Takes the next event off the schedule and carries it out. */
void day_inject_next(day_run *run);
#endif
