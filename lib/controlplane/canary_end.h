/** Ends a canary trial on behalf of its judge.
 *
 * The judge is the holder of the singleton "canary". Its verdict is merged into the canary resource
 * only while it holds that lease with the epoch named in its request, and only if the resource
 * still has the version that it judged. So a judge that has been replaced, or that judged an
 * earlier trial, changes nothing. */
#ifndef CONTROLPLANE_CANARY_END_H
#define CONTROLPLANE_CANARY_END_H
#include "replica.h"

typedef struct canary_end {
  node *node;
  replica *replica;
} canary_end;

/** Registers the handler of CanaryEndRequest. `node` and `replica` must outlive `canary_end`. */
void canary_end_init(canary_end *canary_end, node *node, replica *replica);
#endif
