#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H
/** A model of the control plane for the model checker: members, their disks and the messages
 * between them. All decisions are made by the daemon's own code in lib/controlplane/paxos_rules.c,
 * chain_rules.c and member_lease_rules.c; the model only simulates the network, the disks and the
 * clocks. A state has no pointers, so that it can be copied, compared and hashed as bytes; its
 * unused parts are zero.
 *
 * Time is counted in units of UNIT_MS. A time step is 10 units on a slow clock and 11 on a fast
 * one, which is the largest difference that the clock slack of a lease allows for. */
#include "chain_rules.h"
#include "member_lease_rules.h"
#include "paxos_rules.h"

enum {
  MEMBERS_MAX = 5,
  RECORDS_MAX = 4,
  MESSAGES_MAX = 10,
  /** Number of writes of one disk that may wait for their sync. */
  DISK_QUEUE = 2,
  EPOCHS_MAX = 8,
  EVENTS_MAX = 512,
  /** Ages are counted in units, up to AGE_OLD. AGE_NONE means that the event never happened. */
  UNIT_MS = 50,
  AGE_NONE = 255,
  AGE_OLD = 60,
  /** Size of the text that describes a violated rule. */
  FAULT_SIZE = 160
};

/** A view. A member is encoded as its node and the number of replacements of its disk, see
 * model_member. */
typedef struct model_view {
  uint8_t epoch, chain_length, voter_count, chain[MEMBERS_MAX], voters[MEMBERS_MAX];
} model_view;

/** An acceptor's state. A proposal number consists of a round and the proposing node. */
typedef struct model_acceptor {
  uint8_t epoch, round, proposer, has_accepted, accepted_round, accepted_proposer;
  model_view value;
} model_acceptor;

/** The contents of a disk, or the in-memory copy of them. committed is the last record known to be
 * committed. */
typedef struct model_image {
  model_view view;
  model_acceptor acceptor;
  uint8_t in_sync, last, committed, record[RECORDS_MAX];
} model_image;

typedef enum disk_kind {
  DISK_NONE,
  DISK_PROMISE,
  DISK_ACCEPTANCE,
  DISK_VIEW,
  DISK_RECORDS,
  DISK_IN_SYNC,
  DISK_OUT_OF_SYNC,
  DISK_WRITE_AT_HEAD,
  DISK_SNAPSHOT
} disk_kind;

/** A disk write that is not yet synced, and the data for the response after the sync. */
typedef struct disk_write {
  uint8_t kind, peer, epoch, round, proposer, in_sync, first, count, sender_in_sync, sender_last,
      log_resets;
  uint8_t call;
  uint8_t record[RECORDS_MAX];
  model_acceptor acceptor;
} disk_write;

/** A response to a PrepareRequest. */
typedef struct model_promise {
  uint8_t received, ok, in_sync, member, has_accepted, accepted_round, accepted_proposer;
  model_view value;
} model_promise;

/** A proposal in progress. Phase 1 is prepare, 2 is accept, 0 is none. */
typedef struct model_proposal {
  uint8_t phase, round, accepts;
  model_view value;
  model_promise promises[MEMBERS_MAX];
} model_proposal;

/** The member leases of a node, see member_leases. Times are stored as ages in units; may_act_in is
 * the number of units until the member may act. */
typedef struct model_lease {
  uint8_t started, voters_known, may_act_in, has_acted;
  struct {
    uint8_t member, age;
  } held[MEMBERS_MAX], granted[2 * MEMBERS_MAX];
} model_lease;

typedef struct model_node {
  /** busy: the replication lock is held. waiting_seq: the write that waits for the tail. */
  uint8_t up, disk_number, busy, fetching, log_resets, highest_round, waiting_seq,
      waiting_log_resets, adopting;
  /** The number of the last ReplicateRequest sent, and of the one that triggered the current fetch.
   */
  uint8_t call, fetch_call, fetch_epoch;
  /** The latest JoinRequest. */
  uint8_t join_member, join_epoch;
  model_image disk, memory;
  model_lease lease;
  disk_write queue[DISK_QUEUE];
  model_proposal proposal;
} model_node;

typedef enum message_kind {
  MSG_NONE,
  MSG_PREPARE_REQUEST,
  MSG_PREPARE_RESPONSE,
  MSG_ACCEPT_REQUEST,
  MSG_ACCEPT_RESPONSE,
  MSG_VIEW_ANNOUNCEMENT,
  MSG_MEMBER_LEASE_REQUEST,
  MSG_MEMBER_LEASE_RESPONSE,
  MSG_REPLICATE_REQUEST,
  MSG_REPLICATE_RESPONSE,
  MSG_SNAPSHOT_REQUEST,
  MSG_SNAPSHOT_RESPONSE,
  MSG_JOIN_REQUEST
} message_kind;

typedef struct model_message {
  uint8_t kind, from, to, epoch, member, round, proposer, ok, in_sync, last, commit, age, call;
  /** The number of records in a ReplicateRequest. They are the first records of the sender. */
  uint8_t count;
  uint8_t has_accepted, accepted_round, accepted_proposer, record[RECORDS_MAX];
  model_view view;
} model_message;

/** How often each kind of event may still happen in a run. */
typedef struct model_budget {
  uint8_t crashes, wipes, ticks, drops, duplicates, writes, proposals, refetches, cuts, leases,
      announcements;
  uint8_t replications, joins;
} model_budget;

/** Which events are interleaved in a scope. If disk syncs, or messages of a node to itself, happen
 * immediately, there are fewer orders of events, so longer runs can be searched. */
typedef enum model_interleaving {
  INTERLEAVE_ALL,
  INTERLEAVE_WITHOUT_DISKS,
  INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES
} model_interleaving;

/** The bounds of a search. */
typedef struct model_scope {
  const char *name;
  uint8_t nodes, chain_length, min_replicas, slow_clock;
  /** In the initial state: how many members at the end of the chain are out of sync, and how many
   * records are acknowledged. */
  uint8_t out_of_sync, records;
  /** A node, counted from 1, that has granted no leases recently; 0 for none. */
  uint8_t non_granting_voter;
  /** Bit mask of the nodes that may propose and crash; 0 for all. */
  uint8_t actors;
  /** Whether the first node holds a JoinRequest of the last chain member that is older than the
   * first view. */
  bool old_join_request;
  model_interleaving interleaving;
  model_budget budget;
  uint32_t states, walks, steps;
} model_scope;

typedef struct model_state {
  model_node node[MEMBERS_MAX];
  model_message message[MESSAGES_MAX];
  model_view decided[EPOCHS_MAX];
  uint8_t cut[MEMBERS_MAX];
  uint8_t acknowledged, acknowledged_value[RECORDS_MAX], read, read_value[RECORDS_MAX], values;
  model_budget remaining;
} model_state;

typedef enum event_kind {
  EVENT_DELIVER,
  EVENT_DROP,
  EVENT_DUPLICATE,
  EVENT_SYNC,
  EVENT_CRASH,
  EVENT_CRASH_SYNCED,
  EVENT_RESTART,
  EVENT_WIPE,
  EVENT_TICK,
  EVENT_CUT,
  EVENT_PROPOSE,
  EVENT_ANNOUNCE_VIEW,
  EVENT_REQUEST_LEASE,
  EVENT_WRITE,
  EVENT_REPLICATE,
  EVENT_REFETCH,
  EVENT_FETCH_SNAPSHOT,
  EVENT_REQUEST_JOIN
} event_kind;

/** One step of a run. The meaning of a, b and c depends on the kind. */
typedef struct model_event {
  uint8_t kind, a, b, c;
} model_event;

/** Returns the encoding of a node's member in views: the node and the number of replacements of its
 * disk. Never 0. */
uint8_t model_member(const model_state *state, int node);
/** Returns the node of a member. */
int model_node_of(uint8_t member);
/** Converts a model's view to the daemon's. */
void model_expand_view(const model_view *m, view *view);
/** Converts a node's leases to the daemon's, and back. */
void model_expand_lease(const model_lease *m, member_leases *leases);
void model_compress_lease(const member_leases *leases, model_lease *m);
/** Returns a node's index in the chain that it knows, or -1. */
int model_chain_index(const model_state *state, int node);
/** Returns whether a node currently holds a lease. */
bool model_holds_lease(const model_state *state, int node);
/** Returns a node's position for the rules of replication. */
chain_position model_chain_position(const model_state *state, int node);

/** Sends a message. It is lost if the link is cut or too many messages are in flight. */
void model_send(model_state *state, model_message message);
/** Handles a message. */
void model_deliver(model_state *state, const model_scope *scope, const model_message *message,
                   char *fault);
/** Syncs the oldest write of a node's disk. If answered is true, also performs the actions that
 * follow the sync; otherwise the caller ends the node right after it. */
void model_sync(model_state *state, const model_scope *scope, int node, bool answered, char *fault);
/** Queues a disk write. Returns false if the queue is full. */
bool model_write_disk(model_state *state, int node, disk_write write);
/** Commits records up to seq, and acknowledges the write that waits for the tail if allowed. */
void model_commit(model_state *state, const model_scope *scope, int node, uint64_t seq,
                  char *fault);
/** Starts a node from its disk. */
void model_start(model_state *state, const model_scope *scope, int node);

/** Returns whether the receiver of a ReplicateRequest may accept it. */
bool model_may_accept_records(const model_state *state, const model_message *message);
/** Starts to fetch a snapshot instead of handling a ReplicateRequest, as if the states differed. */
void model_refetch(model_state *state, const model_message *message);
/** Initializes the first state of a scope: one decided view. All members are in sync and all logs
 * are empty unless the scope says otherwise. */
void model_init(model_state *state, const model_scope *scope);
/** Lists all events that may happen next. Returns their number. */
int model_events(const model_state *state, const model_scope *scope, model_event *e);
/** Applies an event. Sets fault to a description of the violated rule, or to an empty string. */
void model_apply(model_state *state, const model_scope *scope, model_event event, char *fault);
/** Returns the epoch of the newest view that was decided. */
int model_newest_view(const model_state *state);
/** Checks the rules that hold in every state. */
void model_check(model_state *state, const model_scope *scope, char *fault);
/** Writes an event as text. */
void model_describe(const model_state *state, model_event event, char *to, size_t size);
#endif
