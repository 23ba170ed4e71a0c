#ifndef CONTROLPLANE_CHAIN_RULES_H
#define CONTROLPLANE_CHAIN_RULES_H
/** Chain replication: the decisions on who sends to whom, which records are appended, when a
 * replica is in sync, and what is committed. Nothing here waits, sends, writes or reads a clock. */
#include "view.h"

/** A member's position in the chain and the extent of its log. */
typedef struct chain_position {
  /** The index in the chain of the known view, or -1. */
  int index;
  /** Whether the member has promised a proposal for the next view. */
  bool prepare_pending;
  /** Whether its replica holds each write that may be acknowledged. */
  bool in_sync;
  /** The number of its last synced record. */
  uint64_t last;
  /** The number of the last record that it knows to be committed. */
  uint64_t committed;
} chain_position;

/** Returns whether a member sends its records to its successor. A replica that is out of sync sends
 * nothing: its successor would take itself for in sync. */
bool chain_may_send(const chain_position *position, const view *known);
/** Returns whether a ReplicateRequest of an epoch may be taken from a sender. */
bool chain_may_accept(const chain_position *position, const view *known, uint64_t epoch, id sender);
/** Returns how many of count record numbers follow on record last without a gap, and sets *first to
 * the index of the first of them. */
size_t chain_appendable(uint64_t last, const uint64_t *sequences, size_t count, size_t *first);
/** Returns whether a replica becomes in sync by a ReplicateRequest of its predecessor, given the
 * predecessor's own state. */
bool chain_becomes_in_sync(const chain_position *position, bool sender_in_sync,
                           uint64_t sender_last);
/** Returns the number of the record up to which a member commits by itself: its last one at the
 * tail, else what it has committed already. */
uint64_t chain_commit_sequence(const chain_position *position, const view *known,
                               bool under_replicated);
/** Returns whether a chain has too few replicas, or spans too few zones, to take writes. */
bool chain_is_under_replicated(const view *view, int min_replicas, int min_zones);
/** Returns whether the head may acknowledge a record; holds_lease says that its lease is valid. */
bool chain_may_acknowledge(const chain_position *position, uint64_t sequence, bool holds_lease,
                           bool under_replicated);
/** Returns whether a member may lead, provided that its lease is valid. */
bool chain_may_lead(const chain_position *position);
/** Returns whether a member may answer reads as the tail, provided that its lease is valid. The
 * tail of an under-replicated chain commits nothing. While it has records that it does not know to
 * be committed, an earlier tail may have shown them to readers, so it does not answer. After a
 * restart these are all records since the last snapshot in the log. */
bool chain_may_read(const chain_position *position, const view *known);
/** Returns whether a JoinRequest is valid: the sender fetched its snapshot while it was out of the
 * very view that is known here. A request under an older view may date from before a time in which
 * the sender was a member again, and its snapshot may lack writes acknowledged since. */
bool chain_may_join(const view *known, uint64_t request_epoch);
#endif
