#ifndef CONTROLPLANE_REPLICATION_SENDER_H
#define CONTROLPLANE_REPLICATION_SENDER_H
/** Replication at the sending member: the link to the successor in the chain. */
#include <stddef.h>

enum {
  /** The most records in one ReplicateRequest. */
  REPLICATE_BATCH_MAX = 64,
  /** No record is added to a request that has so many bytes already; so many are also kept free in
   * a log file, since the next member writes a request as one frame. */
  REPLICATE_BATCH_BYTES = 256 * 1024
};

struct replica;

/** Returns the bound of a request's size in bytes: REPLICATE_BATCH_BYTES, less with small log
 * files. */
size_t replication_batch_bytes(const struct replica *replica);
/** The task: sends the successor what it lacks. Its context is the replica. */
void replication_sender_run(void *ctx);
#endif
