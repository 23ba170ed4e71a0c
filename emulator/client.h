#ifndef EMULATOR_CLIENT_H
#define EMULATOR_CLIENT_H
#include "dialect.h"
#include "world.h"

/* callers of gateways, the balancer that hands them out, and the operator: each with its own record
 */

enum em_mode { EM_ONCE, EM_SAFE, EM_STREAM };
/** A kind of request. models holds "model" or "model/adapter", the busiest first. */
typedef struct em_kind {
  char name[32], host[64], path[64];
  enum em_mode mode;
  bool resumable, fresh;
  double per_s, tokens_in, tokens_shared, zipf;
  unsigned tokens_out, event_tokens, bytes, more_tries, priority;
  int64_t deadline_ms, target_ms, gap_ms;
  GPtrArray *models;
} em_kind;

/** A request as its user sees it, with one try or several. */
typedef struct em_request {
  const em_kind *kind;
  id model, adapter;
  unsigned user;
  time_us from, first, to;
  bool served, in_time, done;
  unsigned tries;
} em_request;
/** One try. reused: on a connection that had served before. how: o open, d a whole 2xx, s another
 * status, e ended early, u never taken, l given up by the caller. fault names what was wrong with
 * the bytes: stamp, body, other, order, end. */
typedef struct em_attempt {
  em_request *caller_request;
  char request[40], stamp[80], node[64], target[96], fault[12];
  time_us sent, first, last, to;
  int64_t left_ms, longest_gap_ms;
  uint64_t sum, from_id, last_id;
  int status;
  double retry_s;
  bool read, reused;
  char how;
} em_attempt;

/** A node as the balancer knows it. */
typedef struct em_node {
  char front[64], ready[64];
  id area;
  int misses;
  bool in;
  uint64_t asked, missed;
} em_node;
typedef struct em_balancer {
  world *world;
  GPtrArray *nodes;
  const dialect *dialect;
  bool stop;
} em_balancer;
em_balancer *em_balancer_new(world *world, const dialect *words);
void em_balancer_add(em_balancer *b, const char *front, const char *ready, id area);
void em_balancer_free(em_balancer *b);
/** The node for a user's connection in a zone; turn counts the user's further tries. NULL when
 * there is none. */
const em_node *em_balancer_pick(const em_balancer *b, id area, unsigned user, unsigned turn);

typedef struct em_client {
  world *world;
  /** True when an idle connection to an address is still open; NULL: not known, and callers choose
   * a node for each request. */
  bool (*connected)(world *world, const char *addr);
  /** user -> em_node: where a caller's last answer left its connection open. */
  GHashTable *node_of;
  em_balancer *to;
  const dialect *dialect;
  GPtrArray *kinds, *requests, *tries;
  id areas[8];
  unsigned area_count, users, open;
  uint64_t count;
  bool stop;
  double rate;
} em_client;
em_client *em_client_new(world *world, em_balancer *to, const dialect *words);
void em_client_free(em_client *client);
/** Adds a kind; it stays the client's. */
em_kind *em_client_kind(em_client *client, em_kind k);
/** Sends requests of all kinds at their rates until stop. */
void em_client_start(em_client *client);
/** Sends one request; model may be NULL for one by the kind's own shares. */
em_request *em_client_send(em_client *client, const em_kind *kind, const char *model);

/** One order of the operator. status 0: no clear answer yet. */
typedef struct em_change {
  uint64_t version, base;
  char *text;
  bool patch, valid, done;
  time_us sent, acked, over;
  int status;
  unsigned tries;
} em_change;
typedef struct em_operator {
  world *world;
  const dialect *dialect;
  GPtrArray *controllers, *changes;
  uint64_t count;
  GString *read;
  uint64_t read_version;
  time_us read_at;
  int64_t patience_ms;
} em_operator;
em_operator *em_operator_new(world *world, const dialect *words);
void em_operator_free(em_operator *operator);
/** Sends a whole configuration, or a change, until there is a clear answer. */
em_change *em_operator_send(em_operator *operator, uint64_t version, uint64_t base, bool patch,
                            const char *text, bool valid);
/** Asks for the newest configuration until it comes; read holds it, read_version its version. */
void em_operator_read(em_operator *operator);
#endif
