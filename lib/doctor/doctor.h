#ifndef DOCTOR_DOCTOR_H
#define DOCTOR_DOCTOR_H
/** Checks a running fleet for common faults. It only reads the HTTP pages that the processes serve
 * and changes nothing. `asterctl doctor` prints the findings. */
#include "node.h"

/** A fault that was found: its code, the evidence for it, and how to fix it. */
typedef struct finding {
  /** One of enum diagnosis. */
  int code;
  char evidence[200];
  /** What to do next; a string constant. */
  const char *remedy;
} finding;
/** The codes of findings, listed in docs/codes.md. The numbers never change. */
enum diagnosis {
  D_NO_ANSWER = 801,
  D_SEED_NO_ANSWER,
  D_CHAIN,
  D_VIEWS_DIFFER,
  D_CONFIG_STALE,
  D_NO_SINGLETON_HOLDER,
  D_RESIDENT_DIFFERS,
  D_FITS_NO_ENGINE,
  D_LOAD_RATE_LIMIT,
  D_DISK,
  D_SLOW_RESPONSE,
  D_DUPLICATE_NAME,
  D_ENGINE_LIST,
  D_WIRE_VERSION,
  D_DRAINING,
  D_NO_ROUTING,
  D_SERVICE_NO_ENGINE,
  D_NOT_READY,
  D_ENGINE_EJECTED,
  D_NO_LOAD_RATE_LIMITER,
  D_RETRY_BUDGET,
  D_LOAD_FAILURES
};
/** Queries every process that the given addresses know of, and checks for common faults. It waits
 * for responses and checks changing values again before it reports them, so it takes some seconds:
 * run it in a task. Returns an array of finding, which the caller frees with g_array_free. */
GArray *doctor_examine(world *world, char **addresses, int count);
#endif
