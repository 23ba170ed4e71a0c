/** Tests of drawn faults, and a smaller schedule of faults for one that failed. */
#ifndef TESTS_FLEET_RANDOM_FAULTS_H
#define TESTS_FLEET_RANDOM_FAULTS_H
#include "tests.h"

/**
 * When a test of drawn faults failed with a seed: leaves out one fault after the other as long as
 * the run still fails, and prints what is left. Does nothing for other tests, and when WHOLE is
 * set.
 */
void random_faults_shrink(test_function test, uint64_t seed, int routers, int engines);
#endif
