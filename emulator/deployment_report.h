#ifndef EMULATOR_DEPLOYMENT_REPORT_H
#define EMULATOR_DEPLOYMENT_REPORT_H
#include "deployment.h"

/** Prints, for debugging, the numbers of attempts and runs by outcome; with SIM_BAD in the
 * environment also each failed attempt and the status of each gateway. */
void deployment_print_counts(const deployment *deployment);
#endif
