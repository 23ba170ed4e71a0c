#ifndef DOCTOR_DOCTOR_H
#define DOCTOR_DOCTOR_H
/** Checks of a running fleet for common faults, by the pages that its processes serve. It changes
 * nothing. `asterctl doctor` prints what it finds. */
#include "node.h"

/** What was found: a code, evidence, and what to do next. */
typedef struct finding {
  /** One of enum diagnosis. */
  int code;
  char evidence[200];
  /** A constant text. */
  const char *remedy;
} finding;
/** The codes of findings; docs/codes.md has the table. The numbers never change. */
enum diagnosis {
  D_NO_ANSWER = 801,
  D_SEED,
  D_CHAIN,
  D_VIEWS_DIFFER,
  D_STALE,
  D_NO_SINGLETON_HOLDER,
  D_RESIDENT_DIFFERS,
  D_FITS_NO_ENGINE,
  D_LOAD_RATE_LIMIT,
  D_DISK,
  D_CLOCK,
  D_DUPLICATE_NAME,
  D_ENGINE_LIST,
  D_VERSION,
  D_DRAINING,
  D_ROUTING,
  D_SERVICE,
  D_UNREADY,
  D_ENGINE_EJECTED,
  D_NO_LOAD_RATE_LIMITER,
  D_BUDGET,
  D_LOADS
};
/** Asks every process that the given ones know of, and looks for common faults. It waits for
 * responses and looks twice at what moves, so it takes some seconds; run it in a task. Gives an
 * array of finding, which the caller frees with g_array_free. */
GArray *doctor_examine(world *world, char **addresses, int count);
#endif
