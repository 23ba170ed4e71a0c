#ifndef EMULATOR_DAY_RUN_H
#define EMULATOR_DAY_RUN_H
/** A day in progress: what its modules share while it is played. */
#include "day.h"

/** Owned by day_play. */
typedef struct day_run {
  const day *day;
  fleet *fleet;
  deployment *deployment;
  uint64_t config_version; /* the latest that was acknowledged; written by day_inject.c */
  GArray *schedule;        /* of day_inject.c */
} day_run;
#endif
