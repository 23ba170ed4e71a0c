/** Tests with random fault schedules, and the shrinking of a schedule that failed. */
#ifndef TESTS_FLEET_RANDOM_FAULTS_H
#define TESTS_FLEET_RANDOM_FAULTS_H
#include "tests.h"

/**
 * Shrinks the fault schedule of a random fault test that failed with a seed: tries to leave out
 * each fault in turn, keeps it out if the run still fails, and prints the remaining faults. Does
 * nothing for other tests, or if the environment variable WHOLE or STEPS is set.
 */
void random_faults_shrink(test_function test, uint64_t seed, int routers, int engines);
#endif
