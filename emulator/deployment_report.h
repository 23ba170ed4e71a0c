#ifndef EMULATOR_DEPLOYMENT_REPORT_H
#define EMULATOR_DEPLOYMENT_REPORT_H
#include "deployment.h"

/** Prints, for debugging, how attempts and runs ended; with SIM_BAD in the environment also each
 * attempt that failed, and the status of each gateway. */
void deployment_print_counts(const deployment *deployment);
#endif
