#ifndef EMULATOR_DAY_PLAY_H
#define EMULATOR_DAY_PLAY_H
/** Plays a day in a simulated fleet. */
#include "day_result.h"

/** Plays a day; verbose: the processes log to stderr. Returns false when the fleet did not come up;
 * result->violations then has the reason. The result is initialized first, without freeing
 * anything; free what it owns with day_result_clear. */
bool day_play(const day *day, uint64_t seed, bool verbose, day_result *result);
#endif
