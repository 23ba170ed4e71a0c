#ifndef CONTROLPLANE_REPLICATION_SENDER_H
#define CONTROLPLANE_REPLICATION_SENDER_H
/** The sending side of chain replication: the link to the successor. */
#include <stddef.h>

enum {
  /** Maximum number of records in one ReplicateRequest. */
  REPLICATE_BATCH_MAX = 64,
  /** No record is added to a request that already has this many bytes. The same amount is kept free
   * in a log file, since the next member writes a request as one frame. */
  REPLICATE_BATCH_BYTES = 256 * 1024
};

struct replica;

/** Returns the limit on a request's size in bytes: REPLICATE_BATCH_BYTES, or less with small log
 * files. */
size_t replication_batch_bytes(const struct replica *replica);
/** Task function: sends the successor the records that it lacks. The context is the replica. */
void replication_sender_run(void *ctx);
#endif
