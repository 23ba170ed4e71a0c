#ifndef MODEL_PARTS_H
#define MODEL_PARTS_H
/** Declarations shared by the files of the model's node: convert.c, vote.c, chain.c and node.c. */
#include "model.h"

/** The current time of every clock of the model. Other times are given as ages relative to it. */
static const time_us MODEL_NOW = { 100 * 1000 * 1000 };

/* convert.c */

/** Returns the name of a node. */
id model_node_id(int node);
/** Converts a member to the daemon's. */
member model_expand_member(uint8_t m);
/** Converts a daemon's view to the model's. */
model_view model_compress_view(const view *view);
/** Converts a proposal number to the daemon's. */
proposal_number model_expand_number(uint8_t round, uint8_t proposer);
/** Converts an acceptor's state to the daemon's. */
void model_expand_acceptor(const model_acceptor *m, acceptor_state *acceptor);
/** Converts a daemon's acceptor state to the model's. */
model_acceptor model_compress_acceptor(const acceptor_state *acceptor);
/** Converts an age in units to a time. */
time_us model_time_of_age(uint8_t age);
/** Converts a response to a PrepareRequest to the daemon's. */
void model_expand_promise(const model_promise *m, prepare_result *result);

/* vote.c */

/** Returns whether a node votes on the view after the one that it knows. */
bool model_may_vote(const model_state *state, int node);
/** Sends the response to a PrepareRequest once its promise is synced. */
void model_respond_to_prepare(model_state *state, int node, const disk_write *write);
/** Handles PrepareRequest. */
void model_on_prepare_request(model_state *state, int node, const model_message *message);
/** Sends the response to an AcceptRequest once its acceptance is synced. */
void model_respond_to_accept(model_state *state, int node, const disk_write *write);
/** Handles AcceptRequest. */
void model_on_accept_request(model_state *state, int node, const model_message *message);
/** Handles the response to a PrepareRequest. */
void model_on_prepare_response(model_state *state, int node, const model_message *message);
/** Starts to adopt a decided view: queues its disk write. */
void model_adopt(model_state *state, int node, const model_view *v);
/** Handles the response to an AcceptRequest. */
void model_on_accept_response(model_state *state, int node, const model_message *message,
                              char *fault);
/** Enters a view whose write is synced. */
void model_enter_view(model_state *state, const model_scope *scope, int node, const model_view *v,
                      char *fault);

/* chain.c */

/** Acknowledges the write that waits for the tail, if allowed. */
void model_acknowledge_waiting(model_state *state, const model_scope *scope, int node, char *fault);
/** Commits all records of a node if it is the tail. */
void model_commit_tail(model_state *state, const model_scope *scope, int node, char *fault);
/** Sends the response to a ReplicateRequest and releases the replication lock. */
void model_respond_to_replicate(model_state *state, const model_scope *scope, int node,
                                const disk_write *write, char *fault);
/** Continues to handle a ReplicateRequest once its records are synced. */
void model_after_records_synced(model_state *state, const model_scope *scope, int node,
                                const disk_write *write, char *fault);
/** Handles ReplicateRequest. */
void model_on_replicate_request(model_state *state, const model_scope *scope, int node,
                                const model_message *message, char *fault);
/** Handles SnapshotRequest. */
void model_on_snapshot_request(model_state *state, int node, const model_message *message);
/** Handles the response to a SnapshotRequest. */
void model_on_snapshot_response(model_state *state, int node, const model_message *message);
/** Handles JoinRequest. */
void model_on_join_request(model_state *state, int node, const model_message *message);

/* node.c */

/** Returns the index of a member among the voters of a view, or -1. */
int model_voter_index(const model_view *v, uint8_t member);
/** Sends the view that a node knows, if any. */
void model_send_view(model_state *state, int from, int to);
/** Returns whether another disk write may be queued. */
bool model_disk_queue_has_space(const model_state *state, int node);
#endif
