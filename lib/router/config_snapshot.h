#ifndef ROUTER_CONFIG_SNAPSHOT_H
#define ROUTER_CONFIG_SNAPSHOT_H
/**
 * State snapshots: checks and installs the ones received, and packs the state in force for other
 * routers.
 *
 * A snapshot lists every resource in full, as a delta against the version that the receiver has, or
 * as "same", which means that version unchanged. Installation is atomic: all resources are
 * resolved, parsed and compiled first, and the new state replaces the old one only if every step
 * succeeds. The state in force is therefore never a mix of two writes.
 */
#include "config_sync.h"

/** Installs a packed StateSnapshot. Returns false when it is malformed, belongs to another fleet,
 * is not newer than the version in force, or builds on versions that differ from those in force.
 * `versions_changed` says that resource versions changed here after the request was sent. If they
 * did not, such a difference means that the sender and this router disagree on the contents of a
 * version, and the next poll requests all resources in full. */
bool config_snapshot_install(router *router, const ProtobufCBinaryData *packed, const char *from,
                             bool versions_changed);
/** Packs the state in force with all resources in full. The reply owns the bytes. */
void config_snapshot_pack(router *router, reply *reply, ProtobufCBinaryData *to);
/** Number of resources to list on the wire. The last one, the canary, is listed only after it has
 * been declared, because peers running older versions do not know it. */
size_t config_snapshot_resource_count(const router *router);
#endif
