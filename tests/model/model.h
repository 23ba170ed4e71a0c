#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H
/** A model of the core for the model checker: members, their disks and the messages between them.
 * The decisions are those of lib/controlplane/decide_*.c, the very code of the daemon; the model
 * only plays the network, the disks and the clocks. A state has no pointers, so that it can be
 * copied, compared and hashed as bytes; the unused parts of it are zero.
 *
 * Time goes in units of 50 ms. A step of time is 10 units on a slow clock and 11 on a fast one,
 * which is the most that the slack of a lease allows for. */
#include "chain_rules.h"
#include "member_lease_rules.h"
#include "paxos_rules.h"

enum {
  MEMBERS_MOST = 5,
  RECORDS_MOST = 4,
  MESSAGES_MOST = 10,
  DISK_QUEUE = 2,
  EPOCHS_MOST = 8,
  AGE_NONE = 255,
  AGE_OLD = 60,
  UNIT_MS = 50,
  EVENTS_MOST = 512,
  FAULT_SIZE = 160
};

/** A view; a member is its node's number and how often its disk was replaced, see model_member. */
typedef struct model_view {
  uint8_t epoch, links, votes, chain[MEMBERS_MOST], voters[MEMBERS_MOST];
} model_view;

/** A vote on the next view; ballots are a turn and the node that made it. */
typedef struct model_vote {
  uint8_t epoch, turn, by, has, took_turn, took_by;
  model_view value;
} model_vote;

/** What a disk holds, and the same in memory. base is the last record known to be committed. */
typedef struct model_image {
  model_view now;
  model_vote vote;
  uint8_t whole, last, base, record[RECORDS_MOST];
} model_image;

typedef enum disk_kind {
  DISK_NONE,
  DISK_PROMISE,
  DISK_ACCEPT,
  DISK_ADOPT,
  DISK_TAKE,
  DISK_WHOLE,
  DISK_NOT_WHOLE,
  DISK_WRITE,
  DISK_INSTALL
} disk_kind;

/** A write to the disk that is not synced yet, and what is answered after the sync. */
typedef struct disk_write {
  uint8_t kind, peer, epoch, turn, by, whole, first, count, sender_whole, sender_last, resets;
  uint8_t call;
  uint8_t record[RECORDS_MOST];
  model_vote vote;
} disk_write;

typedef struct model_answer {
  uint8_t seen, ok, whole, member, has, took_turn, took_by;
  model_view value;
} model_answer;

/** A proposal under way. */
typedef struct model_proposal {
  uint8_t phase, turn, accepts;
  model_view value;
  model_answer answer[MEMBERS_MOST];
} model_proposal;

/** A lease book in units of age; act_in is how long until the member may act. */
typedef struct model_lease {
  uint8_t up, voters, act_in, acted;
  struct {
    uint8_t member, age;
  } held[MEMBERS_MOST], granted[2 * MEMBERS_MOST];
} model_lease;

typedef struct model_node {
  uint8_t up, disk_number, busy, fetching, resets, turns, waits, wait_resets, adopting;
  /** The number of the last put sent, and the put that a fetch under way is to answer. */
  uint8_t call, fetch_call, fetch_epoch;
  uint8_t caller, caller_epoch;
  model_image disk, mem;
  model_lease lease;
  disk_write queue[DISK_QUEUE];
  model_proposal proposal;
} model_node;

typedef enum message_kind {
  MSG_NONE,
  MSG_PROMISE,
  MSG_PROMISE_BACK,
  MSG_ACCEPT,
  MSG_ACCEPT_BACK,
  MSG_TELL,
  MSG_LEASE,
  MSG_LEASE_BACK,
  MSG_PUT,
  MSG_PUT_BACK,
  MSG_FETCH,
  MSG_FETCH_BACK,
  MSG_ENROL
} message_kind;

typedef struct model_message {
  uint8_t kind, from, to, epoch, member, turn, by, ok, whole, last, commit, age, call;
  /** The number of records that a put bears; they are the first of those that the sender has. */
  uint8_t count;
  uint8_t has, took_turn, took_by, record[RECORDS_MOST];
  model_view view;
} model_message;

/** What may still happen in a run, and what is under study. */
typedef struct model_budget {
  uint8_t crashes, wipes, ticks, drops, duplicates, writes, proposals, refetches, cuts, leases,
      tells;
  uint8_t puts, enrols;
} model_budget;

/** What comes at once in a scope: the more does, the fewer orders there are, and the longer the
 * runs that can be searched. */
typedef enum model_pace {
  PACE_EACH_STEP,
  PACE_DISKS_AT_ONCE,
  PACE_DISKS_AND_OWN_MESSAGES_AT_ONCE
} model_pace;

/** The bounds of a search. */
typedef struct model_scope {
  const char *name;
  uint8_t nodes, links, copies, slow_clock;
  /** How many at the end of the first chain are not whole, and how many records are acknowledged.
   */
  uint8_t partial, records;
  /** A node, counted from 1, that has granted nothing lately; 0 for none. */
  uint8_t quiet_voter;
  /** A bit for each node that may propose and crash; 0 for all. */
  uint8_t actors;
  /** The first node remembers an enrolment of the last one that is older than the first view. */
  bool old_enrolment;
  model_pace pace;
  model_budget budget;
  uint32_t states, walks, steps;
} model_scope;

typedef struct model_state {
  model_node node[MEMBERS_MOST];
  model_message message[MESSAGES_MOST];
  model_view decided[EPOCHS_MOST];
  uint8_t cut[MEMBERS_MOST];
  uint8_t acked, ack_value[RECORDS_MOST], read, read_value[RECORDS_MOST], values;
  model_budget left;
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
  EVENT_TELL,
  EVENT_LEASE,
  EVENT_WRITE,
  EVENT_PUT,
  EVENT_REFETCH,
  EVENT_FETCH,
  EVENT_ENROL
} event_kind;

/** One step of a run; what a, b and c mean depends on the kind. */
typedef struct model_event {
  uint8_t kind, a, b, c;
} model_event;

/** The name of a member in views: the node and how often its disk was replaced; never 0. */
uint8_t model_member(const model_state *s, int node);
/** The node of a member. */
int model_node_of(uint8_t member);
/** A model's view as the daemon has it. */
void model_expand_view(const model_view *m, view *view);
void model_expand_lease(const model_lease *m, member_leases *b);
void model_compress_lease(const member_leases *b, model_lease *m);
/** The place of a node in the chain it knows, or -1. */
int model_place(const model_state *s, int node);
/** True when a node may act at this instant. */
bool model_acts(const model_state *s, int node);
chain_position model_copy(const model_state *s, int node);

/** Puts a message under way; it is lost when the way is cut or too many are under way. */
void model_send(model_state *s, model_message m);
/** Handles a message. */
void model_deliver(model_state *s, const model_scope *p, const model_message *m, char *fault);
/** Ends the oldest write of a node's disk, and does what follows it; with answered false the node
 * ends right after the sync. */
void model_sync(model_state *s, const model_scope *p, int node, bool answered, char *fault);
/** Queues a write; false when the queue is full. */
bool model_disk(model_state *s, int node, disk_write w);
/** Commits what the rules allow, and acknowledges what waits for it. */
void model_commit(model_state *s, const model_scope *p, int node, uint64_t seq, char *fault);
/** Starts a node from its disk. */
void model_start(model_state *s, const model_scope *p, int node);

/** True when a Put message may be taken by the node that it is for. */
bool model_may_take(const model_state *s, const model_message *m);
/** Begins to fetch the state anew in the place of taking a Put message: the copies differ. */
void model_refetch(model_state *s, const model_message *m);
/** The first state of a scope: one decided view, all members whole, blank logs. */
void model_first(model_state *s, const model_scope *p);
/** All events that may happen; the number of them. */
int model_events(const model_state *s, const model_scope *p, model_event *e);
/** Does an event; fault says what rule was broken, or is empty. */
void model_apply(model_state *s, const model_scope *p, model_event e, char *fault);
/** Checks the rules that hold in every state. */
void model_check(model_state *s, const model_scope *p, char *fault);
/** An event in words. */
void model_describe(const model_state *s, model_event e, char *to, size_t size);
#endif
