#ifndef EMULATOR_DAY_PLAY_H
#define EMULATOR_DAY_PLAY_H
/** Playing a day in a simulated fleet. */
#include "day_result.h"

/** Plays a day; verbose: with logs to stderr. Returns false when the fleet did not come up;
 * result->violations then says why. The result is cleared first; free what it owns with
 * day_result_clear. */
bool day_play(const day *day, uint64_t seed, bool verbose, day_result *result);
#endif
