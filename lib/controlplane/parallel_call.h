#ifndef CONTROLPLANE_PARALLEL_CALL_H
#define CONTROLPLANE_PARALLEL_CALL_H
/** One request to several members at once, whose responses are looked at as they come. */
#include "view.h"

typedef struct parallel_call parallel_call;

/** Sends a request to count members, at most VOTERS_MAX, each with the same timeout. The caller
 * ends with parallel_call_release, before all responses have come if it likes. */
parallel_call *parallel_call_start(node *node, const member *targets, int count,
                                   const Wire__Envelope *request, time_us timeout);
/** Returns the response of the target with an index, or NULL while there is none. It belongs to the
 * call. */
const Wire__Envelope *parallel_call_response(const parallel_call *call, int index);
/** Waits for one more target to respond or fail. Returns false when all have, when the timeout has
 * passed, or when the tasks are stopped. */
bool parallel_call_wait(parallel_call *call);
/** Ends the caller's use of the call. */
void parallel_call_release(parallel_call *call);
#endif
