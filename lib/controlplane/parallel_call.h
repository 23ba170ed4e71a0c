#ifndef CONTROLPLANE_PARALLEL_CALL_H
#define CONTROLPLANE_PARALLEL_CALL_H
/** Sends one request to several members in parallel; the caller processes responses as they arrive.
 */
#include "view.h"

typedef struct parallel_call parallel_call;

/** Sends a request to count members, at most VOTERS_MAX, each with the same timeout. The caller
 * must call parallel_call_release, and may do so before all responses have arrived. */
parallel_call *parallel_call_start(node *node, const member *targets, int count,
                                   const Wire__Envelope *request, time_us timeout);
/** Returns the response of the target at an index, or NULL while there is none. It is owned by the
 * call. */
const Wire__Envelope *parallel_call_response(const parallel_call *call, int index);
/** Waits for one more target to respond or fail. Returns false if all targets already have, the
 * timeout has passed, or the tasks are stopped. */
bool parallel_call_wait(parallel_call *call);
/** Releases the caller's reference to the call. */
void parallel_call_release(parallel_call *call);
#endif
