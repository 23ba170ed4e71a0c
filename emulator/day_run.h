#ifndef EMULATOR_DAY_RUN_H
#define EMULATOR_DAY_RUN_H
/** The state that the day modules share while a day is played. */
#include "day.h"

/** A day that is being played; owned by day_play. */
typedef struct day_run {
  const day *day;
  fleet *fleet;
  deployment *deployment;
  uint64_t config_version; /* latest acknowledged version; written by day_inject.c */
  GArray *schedule;        /* array of scheduled_event of day_inject.c */
} day_run;
#endif
