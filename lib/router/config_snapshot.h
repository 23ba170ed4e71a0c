#ifndef ROUTER_CONFIG_SNAPSHOT_H
#define ROUTER_CONFIG_SNAPSHOT_H
/**
 * State snapshots: how one that came is checked and put in force, and how one is made for another
 * router.
 *
 * A snapshot lists every resource, in full, as a delta to the version that the receiver has, or as
 * "same", which stands for that version. Installing is all or nothing: resources are resolved,
 * parsed and compiled first, and only when everything fits does the new state replace the old one.
 * Thus what is in force is never a mix of two writes.
 */
#include "config_sync.h"

/** Puts a packed StateSnapshot in force. False when it is malformed, of another fleet, not newer
 * than what is in force, or does not fit it. `versions_moved`: resource versions changed here after
 * the request was sent. Otherwise a snapshot that does not fit shows that the sender and this
 * router disagree on what a version contains, and the next poll asks for all resources in full. */
bool config_snapshot_install(router *router, const ProtobufCBinaryData *packed, const char *from,
                             bool versions_moved);
/** Packs what is in force, with all resources in full. The bytes belong to the reply. */
void config_snapshot_pack(router *router, reply *reply, ProtobufCBinaryData *to);
/** Resources to list on the wire: the last one, the canary, only once it was declared, since peers
 * of older versions do not know it. */
size_t config_snapshot_resource_count(const router *router);
#endif
