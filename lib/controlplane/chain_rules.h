#ifndef CONTROLPLANE_DECIDE_CHAIN_H
#define CONTROLPLANE_DECIDE_CHAIN_H
/** The decisions of chain replication: who sends to whom, which records are taken, when a copy is
 * whole, and what is committed. Nothing here waits, sends, writes or reads a clock. */
#include "replica.h"

/** A member's place and copy, as far as replication goes. */
typedef struct chain_position {
  /** The index in the chain of the known view, or -1. */
  int index;
  /** True while this machine has promised something for the next view. */
  bool prepare_pending;
  bool in_sync;
  /** The last record that is synced here, and the last that is committed as far as known here. */
  uint64_t last, committed;
} chain_position;

/** True when a member sends its records to the next one in the chain. A copy that is not whole
 * sends nothing: the next one would take itself for whole by it. */
bool chain_may_send(const chain_position *c, const view *known);
/** True when a Put message of a machine that calls itself from, in an epoch, may be taken. */
bool chain_may_accept(const chain_position *c, const view *known, uint64_t epoch, id from);
/** The record numbers of a Put message that follow this copy without a gap: how many, and the index
 * of the first. */
size_t chain_appendable(uint64_t last, const uint64_t *seqs, size_t n, size_t *first);
/** True when a copy that holds all up to last becomes whole by a Put message of its predecessor. */
bool chain_becomes_in_sync(const chain_position *c, bool sender_whole, uint64_t sender_last);
/** The record up to which this copy commits by itself: its last on the tail, else what it has
 * committed already. */
uint64_t chain_commit_sequence(const chain_position *c, const view *known, bool thin);
/** True when the chain of a view has too few copies, or spans too few areas, to take writes. */
bool chain_is_under_replicated(const view *view, int copies, int areas);
/** True when the head may acknowledge a record. */
bool chain_may_acknowledge(const chain_position *c, uint64_t seq, bool acts, bool thin);
/** True when this copy may lead, given that its lease runs. */
bool chain_may_lead(const chain_position *c);
/** True when this copy may answer reads as the tail, given that its lease runs. The tail of a thin
 * chain commits nothing; while it has records that it does not know to be committed, others may
 * have read them before, so it does not answer. After a restart that is all since the last
 * snapshot. */
bool chain_may_read(const chain_position *c, const view *known);
/** True when an enrolment counts: the machine has fetched the state while it was out of the very
 * view that is known here. An older one may be of a time before the machine was last taken in and
 * left out again, and so be older than writes that were acknowledged since. */
bool chain_may_join(const view *known, uint64_t enrolled_epoch);
#endif
