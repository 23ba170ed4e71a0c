#ifndef CONTROLPLANE_CORE_INTERNAL_H
#define CONTROLPLANE_CORE_INTERNAL_H
/** What the modules of the core share with each other: view, lease, journal, replication, snapshot,
 * agreement, repair, join. Times are in milliseconds, sizes in bytes. */
#include "core.h"
#include "decide_chain.h"

enum {
  LEASE_MS = 1000,
  LEASE_TURN_MS = 250,
  LEASE_SOON_MS = 80,
  LEASE_SLACK_MS = 100,
  LEASE_SILENCE_MS = 1100,
  HEARD_MS = 600,
  LINK_MS = 1300,
  STALL_MS = 2000,
  LONG_GONE_MS = 20000,
  MEND_MS = 500,
  /* how long it stands that a machine has caught up; it says so again more often */
  ASKED_MS = 1500,
  REQUEST_AGAIN_MS = 500,
  REQUEST_MOST_MS = 3000,
  RECENT_MOST = 2048,
  RECENT_BYTES = 2 << 20,
  PART = 256 * 1024,
  BATCH = 64,
  /* writes that may wait for the tail; what the disk can take bounds them too, see
     replication_room */
  PENDING_MOST = 32,
  /* once so many bytes wait for the tail, only a few writes may: a backlog of large ones would hold
     up a member that catches up over a slow link */
  PENDING_BYTES = 128 * 1024,
  PENDING_LARGE_MOST = 3,
  SWEEP_MS = 2000,
  /* longer than a part may take, so that whoever still fetches finds its snapshot */
  SNAPSHOT_IDLE_MS = 3000
};

/** A view as a message, with the room that it takes. */
typedef struct {
  Wire__View v;
  Wire__Member m[CHAIN_MOST + VOTERS_MOST], *c[CHAIN_MOST], *o[VOTERS_MOST];
} view_msg;

/** Which voter a lease task asks. */
typedef struct {
  core *core;
  int i;
} lease_arg;

/* view.c */
/** Fills a message with a member; its strings stay those of the member. */
void member_pack(Wire__Member *w, const member *member);
/** Reads a member out of a message; false when it is none. */
bool member_unpack(member *member, const Wire__Member *w);
/** Fills a message with a view, held in o. */
Wire__View *view_pack(view_msg *o, const view *view);
/** Reads a view out of a message; false when it is none. */
bool view_unpack(view *view, const Wire__View *w);
/** True when both are one machine under one disk. */
bool member_same(const member *a, const member *b);
/** Less than, equal to or greater than 0, as for strcmp. */
int ballot_cmp(ballot a, const Wire__ProposalNumber *b);
/** Reads a ballot out of a message; none is the lowest. */
ballot ballot_unpack(const Wire__ProposalNumber *b);
/** Fills a message with a ballot. */
void ballot_pack(Wire__ProposalNumber *w, const ballot *b);
/** The index of a member among n, or -1. */
int member_index(const member *all, int n, const member *member);
/** True when two views have the same voters. */
bool view_same_voters(const view *a, const view *b);
/** True when no member of the chain was left out. */
bool view_keeps_chain(const view *was, const view *now);

/* lease.c */
/** True when this voter has promised something for the next view, so that it grants and takes
 * nothing in this one. */
bool agreement_vote_pending(const core *core);
/** True when a machine said lately that it does not hear this one: a cut may go one way only. */
bool lease_peer_hears_nothing(core *core, id who);
/** Handles a message of another machine. */
int on_lease(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Asks one voter for leases again and again; takes a lease_arg. */
void lease_run(void *p);

/* journal.c */
/** Adds a view to entries for the disk. */
void journal_put_view(GString *to, const view *view);
/** Adds a vote to entries for the disk. */
void journal_put_vote(GString *to, const vote *s);
/** Adds a record of the chain to entries for the disk. */
void journal_put_record(GString *to, uint64_t seq, uint64_t epoch, string_view op);
/** Adds the disk's number, and whether the copy is whole. */
void journal_put_disk(GString *to, const core *core);
/** Writes all that matters, as the beginning of a file. */
void journal_base(void *ctx, GString *to);
/** Frees a record. */
void journal_record_free(void *p);
/** Keeps a record in memory for the next in the chain. */
void journal_keep(core *core, uint64_t seq, uint64_t epoch, string_view op);
/** Forgets the records in memory. */
void journal_recent_clear(core *core);
/** Takes up one entry that was read from the disk. */
void journal_fold(void *ctx, int kind, string_view body);

/* replication.c */
/** Waits for the lock under which writes are ordered; false when time ran out. */
bool replication_lock(core *core, time_us till);
/** Gives the lock back. */
void replication_unlock(core *core);
/** Applies the records up to one that the tail has. */
void replication_commit(core *core, uint64_t seq);
/** Commits all that is here, on the tail of a chain that may write. */
void replication_commit_tail(core *core);
/** Handles a message of another machine. */
int on_put(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Sends to the next in the chain what it lacks. */
void replication_link_run(void *p);

/* snapshot.c */
/** Frees the snapshots that nobody has fetched from lately. */
void snapshots_expire(core *core);
/** Frees all snapshots. */
void snapshots_free(core *core);
/** Fetches the whole state from a member; this copy is not whole after it. */
int snapshot_fetch(core *core, const char *addr, error *err);
/** Handles a message of another machine. */
int on_fetch(void *ctx, Wire__Envelope *in, reply *reply, error *err);

/* agreement.c */
/** Takes up a decided view that is newer than the one known here. */
void agreement_adopt(core *core, const Wire__View *w);
/** Tells another machine the view that is known here. */
void agreement_announce(core *core, const char *addr);
/** A copy of a view that lives as long as the reply. */
Wire__View *reply_view(reply *reply, const view *view);
/** This machine as a member, for a reply. */
Wire__Member *reply_self(reply *reply, const core *core);
/** Handles a message of another machine. */
int on_promise(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles a message of another machine. */
int on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles a message of another machine. */
int on_announce(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Proposes the view after the one known; true when one was decided. */
bool agreement_propose(core *core, view *value, char **drop, int drops, bool broken);

/* repair.c */
/** True when a member has not been heard for ms. */
bool repair_is_silent(core *core, const member *member, int ms);
/** Looks after the view and the disk ten times a second. */
void repair_run(void *p);

/* join.c */
/** True when the founders are told by name, not by address. */
bool join_by_name(const core *core);
/** True when this machine is one of the founders. */
bool join_is_founder(const core *core);
/** True for the founder that proposes the first view. */
bool join_is_first_founder(const core *core, const char *name, const char *addr);
/** Handles a message of another machine. */
int on_found(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles a message of another machine. */
int on_enrol(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Founds a fleet, or catches up with one and asks to be taken in. */
void join_run(void *p);

/* core.c */
/** This machine as a member, under the disk that it has now. */
member core_self(const core *core);
/** This machine's place and copy, for decisions of replication. */
chain_copy core_copy(const core *core);

#endif
