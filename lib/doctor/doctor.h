#ifndef COMMON_DOCTOR_H
#define COMMON_DOCTOR_H
#include "node.h"

/** What the doctor found: a code, evidence, and what to do next. */
typedef struct finding {
  int code;
  char evidence[200];
  const char *remedy;
} finding;
/** The doctor's codes; docs/codes.md has the table. */
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
/** Asks every machine that the given ones know of, and looks for common faults. Findings are freed
 * by the caller. */
GArray *doctor_examine(world *world, char **at, int count);
#endif
