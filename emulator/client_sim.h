#ifndef EMULATOR_CLIENT_SIM_H
#define EMULATOR_CLIENT_SIM_H
#include "dialect.h"
#include "world.h"

/** @file
 * Simulated clients of gateways, the load balancer in front of the gateways, and the operator. Each
 * keeps its own records. */

enum client_sim_mode { CLIENT_SIM_ONCE, CLIENT_SIM_SAFE, CLIENT_SIM_STREAM };
/** A kind of request. models holds "model" or "model/adapter", the most requested first. */
typedef struct client_sim_kind {
  char name[32], host[64], path[64];
  enum client_sim_mode mode;
  bool resumable, new_connection;
  double requests_per_s, tokens_in, tokens_shared, zipf_exponent;
  unsigned tokens_out, event_tokens, bytes, retries_max, priority;
  int64_t deadline_ms, target_ms, gap_target_ms;
  GPtrArray *models;
} client_sim_kind;

/** A request of a user, over all its attempts. */
typedef struct client_sim_request {
  const client_sim_kind *kind;
  id model, adapter;
  unsigned user;
  time_us started_at, first_byte_at, ended_at;
  bool served, met_target, done;
  unsigned attempt_count;
} client_sim_request;
/** One attempt. reused_connection: sent on a pooled connection. outcome: o open, d complete 2xx
 * response, s complete response with another status, e ended early, u never sent, l given up by the
 * client. fault names what was wrong with the response: stamp (no run id), other (the id of another
 * request), body (unexpected content), order (event out of order or of another run), end (not the
 * expected number of events). */
typedef struct client_sim_attempt {
  client_sim_request *request;
  char request_id[40], run_id[80], node[64], target[96], fault[12];
  time_us sent_at, first_byte_at, last_byte_at, ended_at;
  int64_t time_left_ms, longest_gap_ms;
  uint64_t request_checksum, resumed_after_event, last_event;
  int status;
  double retry_s;
  bool request_sent, reused_connection;
  char outcome;
} client_sim_attempt;

/** A gateway as the balancer sees it. */
typedef struct balancer_sim_gateway {
  char front_address[64], ready_address[64];
  id area;
  int failures_in_row;
  bool in_rotation;
  uint64_t checks, checks_failed;
} balancer_sim_gateway;
typedef struct balancer_sim {
  world *world;
  GPtrArray *gateways;
  const dialect *dialect;
  bool stop;
} balancer_sim;
balancer_sim *balancer_sim_new(world *world, const dialect *dialect);
void balancer_sim_add_gateway(balancer_sim *balancer, const char *front_address,
                              const char *ready_address, id area);
void balancer_sim_free(balancer_sim *balancer);
/** The gateway for a new connection of a user in a zone; earlier_attempts is the number of attempts
 * that the request already had. NULL when there is none. */
const balancer_sim_gateway *balancer_sim_pick(const balancer_sim *balancer, id area, unsigned user,
                                              unsigned earlier_attempts);

typedef struct client_sim {
  world *world;
  /** True when an idle connection to an address is still open. NULL: that is unknown, and the
   * client picks a gateway for each request. */
  bool (*connected)(world *world, const char *addr);
  /** From user to the balancer_sim_gateway whose last response left the user's connection open. */
  GHashTable *gateway_of_user;
  balancer_sim *balancer;
  const dialect *dialect;
  GPtrArray *kinds, *requests, *attempts;
  id areas[8];
  unsigned area_count, users, open_requests;
  uint64_t attempt_count;
  bool stop;
  double rate_factor;
} client_sim;
client_sim *client_sim_new(world *world, balancer_sim *balancer, const dialect *dialect);
void client_sim_free(client_sim *client);
/** Adds a copy of a kind, which the client owns. */
client_sim_kind *client_sim_add_kind(client_sim *client, client_sim_kind kind);
/** Sends requests of all kinds at their rates until stop. */
void client_sim_start(client_sim *client);
/** Sends one request; with model NULL, the model is drawn by the kind's zipf_exponent. */
client_sim_request *client_sim_send(client_sim *client, const client_sim_kind *kind,
                                    const char *model);

/** One configuration change sent by the operator. status 0: no definite response yet. */
typedef struct operator_sim_change {
  uint64_t version, base;
  char *text;
  bool patch, valid, done;
  time_us sent_at, acked_at, ended_at;
  int status;
  unsigned attempt_count;
} operator_sim_change;
typedef struct operator_sim {
  world *world;
  const dialect *dialect;
  GPtrArray *controllers, *changes;
  uint64_t count;
  GString *read_text;
  uint64_t read_version;
  time_us read_at;
  int64_t timeout_ms;
} operator_sim;
operator_sim *operator_sim_new(world *world, const dialect *dialect);
void operator_sim_free(operator_sim *operator);
/** Sends a full configuration or a patch, and retries until there is a definite response. */
operator_sim_change *operator_sim_send(operator_sim *operator, uint64_t version, uint64_t base,
                                       bool patch, const char *text, bool valid);
/** Requests the newest configuration until it is received; read_text holds it, read_version its
 * version. */
void operator_sim_read(operator_sim *operator);
#endif
