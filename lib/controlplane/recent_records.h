#ifndef CONTROLPLANE_RECENT_RECORDS_H
#define CONTROLPLANE_RECENT_RECORDS_H
/** The most recent records of the chain, kept in memory: uncommitted records, and committed ones
 * for a successor that lags behind. */
#include "base.h"

/** One record of the chain. */
typedef struct record {
  uint64_t seq;
  /** The epoch in which the head ordered it. */
  uint64_t epoch;
  /** A packed Operation, see state_apply. */
  GString *operation;
} record;

/** Records in ascending order of sequence number, without gaps. */
typedef struct recent_records {
  /** Of record; owned. */
  GQueue queue;
  /** Size of all operations, in bytes. */
  size_t bytes;
} recent_records;

/** Initializes an empty list. */
void recent_records_init(recent_records *records);
/** Removes and frees all records. */
void recent_records_clear(recent_records *records);
/** Appends a copy of a record and drops the oldest records if there are too many. Records after
 * committed_seq are never dropped. */
void recent_records_add(recent_records *records, uint64_t seq, uint64_t epoch,
                        string_view operation, uint64_t committed_seq);
/** Returns the oldest record, or NULL. */
const record *recent_records_oldest(const recent_records *records);
/** Returns how many records come after committed_seq, and sets *bytes to the size of their
 * operations. */
size_t recent_records_count_after(const recent_records *records, uint64_t committed_seq,
                                  size_t *bytes);
#endif
