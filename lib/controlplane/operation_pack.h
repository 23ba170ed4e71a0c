/** Packs operations, the contents of the chain's records, into the bytes that replica_write orders.
 */
#ifndef CONTROLPLANE_OPERATION_PACK_H
#define CONTROLPLANE_OPERATION_PACK_H
#include "config.h"
#include "wire.pb-c.h"

/** Replaces the contents of `to` with the packed operation. */
void operation_pack(const Wire__Operation *operation, GString *to);
/** Makes the operation set a resource to `text`, and replaces the contents of `to` with the packed
 * operation. The caller sets other fields of `operation`, such as its idempotency key, beforehand.
 */
void operation_pack_resource(Wire__Operation *operation, enum resource_kind resource,
                             string_view text, GString *to);
#endif
