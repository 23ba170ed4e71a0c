#ifndef CONTROLPLANE_CHAIN_RULES_H
#define CONTROLPLANE_CHAIN_RULES_H
/** Chain replication: decides who sends to whom, which records are appended, when a replica is in
 * sync, and what is committed. Pure rules: no I/O, no waiting and no clock reads. */
#include "view.h"

/** A member's position in the chain and the extent of its log. */
typedef struct chain_position {
  /** The member's index in the chain of the known view, or -1. */
  int index;
  /** Whether the member has promised a proposal for the next view. */
  bool prepare_pending;
  /** Whether its replica holds every write that may have been acknowledged. */
  bool in_sync;
  /** The sequence number of its last synced record. */
  uint64_t last;
  /** The sequence number of the last record that it knows to be committed. */
  uint64_t committed;
} chain_position;

/** Returns whether a member sends its records to its successor. A replica that is out of sync sends
 * nothing, since its successor would consider itself in sync. */
bool chain_may_send(const chain_position *position, const view *known);
/** Returns whether a member may accept a ReplicateRequest of an epoch from a sender. */
bool chain_may_accept(const chain_position *position, const view *known, uint64_t epoch, id sender);
/** Returns how many of the count sequence numbers directly follow record last without a gap. Sets
 * *first to the index of the first of them. */
size_t chain_appendable(uint64_t last, const uint64_t *sequences, size_t count, size_t *first);
/** Returns whether a replica becomes in sync through a ReplicateRequest of its predecessor, given
 * the predecessor's own state. */
bool chain_becomes_in_sync(const chain_position *position, bool sender_in_sync,
                           uint64_t sender_last);
/** Returns the sequence number up to which a member commits on its own: its last record at the
 * tail, otherwise what it has already committed. */
uint64_t chain_commit_sequence(const chain_position *position, const view *known,
                               bool under_replicated);
/** Returns whether a chain has too few replicas, or spans too few zones, to accept writes. */
bool chain_is_under_replicated(const view *view, int min_replicas, int min_zones);
/** Returns whether the head may acknowledge a record. holds_lease is true if its lease is valid. */
bool chain_may_acknowledge(const chain_position *position, uint64_t sequence, bool holds_lease,
                           bool under_replicated);
/** Returns whether a member may act as the head, provided that its lease is valid. */
bool chain_may_act_as_head(const chain_position *position);
/** Returns whether a member may act as the tail, that is, serve reads, provided that its lease is
 * valid. The tail of an under-replicated chain commits nothing. While it has records that it does
 * not know to be committed, an earlier tail may already have served them to readers, so it does not
 * serve reads. After a restart these are all records since the last snapshot in the log. */
bool chain_may_act_as_tail(const chain_position *position, const view *known);
/** Returns whether a JoinRequest is valid: the sender, with the snapshot that it fetched, was
 * outside the chain in exactly the view that is known here. The sender of a request from an older
 * view may have been a member again in the meantime, and its snapshot may lack writes that were
 * acknowledged since. */
bool chain_may_join(const view *known, uint64_t request_epoch);
#endif
