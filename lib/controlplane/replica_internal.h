#ifndef CONTROLPLANE_CORE_INTERNAL_H
#define CONTROLPLANE_CORE_INTERNAL_H
/** What the modules of the core share with each other: view, lease, journal, replication, snapshot,
 * agreement, repair, join. Times are in milliseconds, sizes in bytes. */
#include "replica.h"
#include "chain_rules.h"

enum {
  MEMBER_LEASE_MS = 1000,
  MEMBER_LEASE_RENEW_MS = 250,
  MEMBER_LEASE_RETRY_MS = 80,
  MEMBER_LEASE_CLOCK_SLACK_MS = 100,
  MEMBER_LEASE_EXPIRED_MS = 1100,
  HEARD_MS = 600,
  SUCCESSOR_TIMEOUT_MS = 1300,
  DISK_STALL_MS = 2000,
  VOTER_LOST_MS = 20000,
  REPAIR_DELAY_MS = 500,
  /* how long it stands that a machine has caught up; it says so again more often */
  JOIN_REQUEST_VALID_MS = 1500,
  JOIN_REQUEST_REPEAT_MS = 500,
  JOIN_REQUEST_TIMEOUT_MS = 3000,
  RECENT_RECORDS_MAX = 2048,
  RECENT_BYTES_MAX = 2 << 20,
  SNAPSHOT_CHUNK_BYTES = 256 * 1024,
  REPLICATE_BATCH_MAX = 64,
  /* writes that may wait for the tail; what the disk can take bounds them too, see
     replication_free_bytes */
  PENDING_WRITES_MAX = 32,
  /* once so many bytes wait for the tail, only a few writes may: a backlog of large ones would hold
     up a member that catches up over a slow link */
  PENDING_BYTES_LARGE = 128 * 1024,
  PENDING_LARGE_WRITES_MAX = 3,
  CHECKSUM_INTERVAL_MS = 2000,
  /* longer than a part may take, so that whoever still fetches finds its snapshot */
  SNAPSHOT_IDLE_MS = 3000
};

/** A view as a message, with the room that it takes. */
typedef struct {
  Wire__View v;
  Wire__Member m[CHAIN_MAX + VOTERS_MAX], *c[CHAIN_MAX], *o[VOTERS_MAX];
} view_message;

/** Which voter a lease task asks. */
typedef struct {
  replica *replica;
  int voter_index;
} member_lease_task;

/* view.c */
/** Fills a message with a member; its strings stay those of the member. */
void member_pack(Wire__Member *w, const member *member);
/** Reads a member out of a message; false when it is none. */
bool member_unpack(member *member, const Wire__Member *w);
/** Fills a message with a view, held in o. */
Wire__View *view_pack(view_message *o, const view *view);
/** Reads a view out of a message; false when it is none. */
bool view_unpack(view *view, const Wire__View *w);
/** True when both are one machine under one disk. */
bool member_equal(const member *a, const member *b);
/** Less than, equal to or greater than 0, as for strcmp. */
int proposal_number_compare_message(proposal_number a, const Wire__ProposalNumber *b);
/** Reads a ballot out of a message; none is the lowest. */
proposal_number proposal_number_unpack(const Wire__ProposalNumber *b);
/** Fills a message with a ballot. */
void proposal_number_pack(Wire__ProposalNumber *w, const proposal_number *b);
/** The index of a member among n, or -1. */
int member_index(const member *all, int n, const member *member);
/** True when two views have the same voters. */
bool view_same_voters(const view *a, const view *b);
/** True when no member of the chain was left out. */
bool view_keeps_chain(const view *was, const view *now);

/* lease.c */
/** True when this voter has promised something for the next view, so that it grants and takes
 * nothing in this one. */
bool view_change_prepare_pending(const replica *replica);
/** True when a machine said lately that it does not hear this one: a cut may go one way only. */
bool member_lease_peer_hears_nothing(replica *replica, id who);
/** Handles a message of another machine. */
int member_lease_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Asks one voter for leases again and again; takes a member_lease_task. */
void member_lease_run(void *p);

/* journal.c */
/** Adds a view to entries for the disk. */
void wal_entries_add_view(GString *to, const view *view);
/** Adds a vote to entries for the disk. */
void wal_entries_add_acceptor(GString *to, const acceptor_state *s);
/** Adds a record of the chain to entries for the disk. */
void wal_entries_add_record(GString *to, uint64_t seq, uint64_t epoch, string_view op);
/** Adds the disk's number, and whether the copy is whole. */
void wal_entries_add_disk(GString *to, const replica *replica);
/** Writes all that matters, as the beginning of a file. */
void wal_entries_base(void *ctx, GString *to);
/** Frees a record. */
void record_free(void *p);
/** Keeps a record in memory for the next in the chain. */
void recent_records_add(replica *replica, uint64_t seq, uint64_t epoch, string_view op);
/** Forgets the records in memory. */
void recent_records_clear(replica *replica);
/** Takes up one entry that was read from the disk. */
void wal_entries_replay(void *ctx, int kind, string_view body);

/* replication.c */
/** Waits for the lock under which writes are ordered; false when time ran out. */
bool replication_lock(replica *replica, time_us till);
/** Gives the lock back. */
void replication_unlock(replica *replica);
/** Applies the records up to one that the tail has. */
void replication_commit(replica *replica, uint64_t seq);
/** Commits all that is here, on the tail of a chain that may write. */
void replication_commit_as_tail(replica *replica);
/** Handles a message of another machine. */
int replication_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Sends to the next in the chain what it lacks. */
void replication_run(void *p);

/* snapshot.c */
/** Frees the snapshots that nobody has fetched from lately. */
void snapshots_expire(replica *replica);
/** Frees all snapshots. */
void snapshots_free(replica *replica);
/** Fetches the whole state from a member; this copy is not whole after it. */
int snapshot_fetch(replica *replica, const char *addr, error *err);
/** Handles a message of another machine. */
int snapshot_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);

/* agreement.c */
/** Takes up a decided view that is newer than the one known here. */
void view_change_adopt(replica *replica, const Wire__View *w);
/** Tells another machine the view that is known here. */
void view_change_announce(replica *replica, const char *addr);
/** A copy of a view that lives as long as the reply. */
Wire__View *response_view(reply *reply, const view *view);
/** This machine as a member, for a reply. */
Wire__Member *response_self(reply *reply, const replica *replica);
/** Handles a message of another machine. */
int view_change_on_prepare(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles a message of another machine. */
int view_change_on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles a message of another machine. */
int view_change_on_announcement(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Proposes the view after the one known; true when one was decided. */
bool view_change_propose(replica *replica, view *value, char **drop, int drops, bool broken);

/* repair.c */
/** True when a member has not been heard for ms. */
bool chain_repair_is_silent(replica *replica, const member *member, int ms);
/** Looks after the view and the disk ten times a second. */
void chain_repair_run(void *p);

/* join.c */
/** True when the founders are told by name, not by address. */
bool bootstrap_is_by_name(const replica *replica);
/** True when this machine is one of the founders. */
bool bootstrap_is_founder(const replica *replica);
/** True for the founder that proposes the first view. */
bool bootstrap_is_first_founder(const replica *replica, const char *name, const char *addr);
/** Handles a message of another machine. */
int bootstrap_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles a message of another machine. */
int chain_join_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Founds a fleet, or catches up with one and asks to be taken in. */
void chain_join_run(void *p);

/* core.c */
/** This machine as a member, under the disk that it has now. */
member replica_as_member(const replica *replica);
/** This machine's place and copy, for decisions of replication. */
chain_position replica_chain_position(const replica *replica);

#endif
