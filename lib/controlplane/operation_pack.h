/** Packs operations, the entries of the replicated log, into the bytes that replica_write orders.
 */
#ifndef CONTROLPLANE_OPERATION_PACK_H
#define CONTROLPLANE_OPERATION_PACK_H
#include "config.h"
#include "wire.pb-c.h"

/** Replaces `to` by the packed operation. */
void operation_pack(const Wire__Operation *operation, GString *to);
/** Makes an operation one that sets a resource to `text`, and replaces `to` by its packed form.
 * Other fields of `operation`, such as its idempotency key, are set by the caller before. */
void operation_pack_resource(Wire__Operation *operation, enum resource_kind resource,
                             string_view text, GString *to);
#endif
