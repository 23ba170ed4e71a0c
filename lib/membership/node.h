#ifndef COMMON_NODE_H
#define COMMON_NODE_H
#include "json.h"
#include "log.h"
#include "wire.pb-c.h"
#include "world.h"

/** The wire versions spoken here: 2 compares sums before it sends tables; 1 always sent them. */
enum { WIRE_VERSION_CURRENT = 2, WIRE_VERSION_MIN = 1 };
/** How long a contract lasts after the renewal that it was given for was sent. */
enum { SINGLETON_LEASE_MS = 3000 };
/** The most members that the core's chain takes, and the most voters; and how many there are, where
 * there are so many machines, though nothing must be borne. */
enum { REPLICAS_MAX = 7, REPLICAS_MIN = 3 };
/** What a process of ours is. */
enum role { ROLE_CONTROLLER = 1, ROLE_ROUTER = 2 };

/** The settings of one process, read from a file and flags. */
typedef struct settings {
  id self, zone;
  enum role role;
  char address[48], data_dir[512], platform_address[48];
  char seed_addresses[3][48];
  id founders[3];
  size_t log_file_bytes;
  bool debug_log, json_log;
  unsigned wire_version;
  /** A router that is a gateway: engines register themselves, and there is no list of a platform.
   */
  bool is_gateway;
  /** Founders by address, when their names are not known: count, and the peers' addresses. Only at
   * a first start. */
  int founder_count;
  char founder_addresses[3][48];
  /** Copies, and areas, on which a write must be synced before it is acknowledged; 0: two copies in
   * two areas. */
  int write_replicas, write_zones;
  /** Members of the core's chain and voters; 0: three. */
  int chain_members;
  /** A write is acknowledged without waiting for routers to have it, and routers that hear no news
   * serve on. */
  bool relaxed;
  /** Where a core machine takes engines' beats and the operator's configuration; blank: nowhere. */
  char control_address[48];
  /** How long a process has from SIGTERM to SIGKILL; 0: not told. */
  int64_t shutdown_grace_ms;
} settings;

/** What this node knows of one of the fleet's machines. */
typedef struct peer_node {
  list_node link;
  id self, zone;
  uint64_t incarnation, nonce;
  char address[48];
  enum role role;
  bool draining, gone, idle;
  time_us last_heard_at, watched_since, gone_at, first_seen_at, confirmed_at, list_outdated_at,
      notified_at;
  unsigned known_routers;
  bool poll_pending;
  struct {
    id by;
    time_us at;
  } suspicions[6];
  /** How late its tasks run, as its latest heartbeat says. */
  int64_t lateness_ms;
} peer_node;

/** How many others watch a machine's heartbeats. */
enum { HEARTBEAT_WATCHERS = 3 };
/** A machine's place on the ring of heartbeats. */
typedef struct ring_position {
  uint64_t hash;
  id self, zone;
  char address[48];
} ring_position;

typedef struct node node;
/** A reply in the making, and what it points to, which goes once it is sent. */
typedef struct reply {
  Wire__Envelope envelope;
  GPtrArray *allocations;
} reply;
/** Takes a message; out is the reply, already blank, and may be left so for a cast. */
typedef int (*node_handler)(void *ctx, Wire__Envelope *in, reply *reply, error *err);

/** What controller and router have in common: a name, a log, peers and the fleet's machines. */
struct node {
  world *world;
  settings settings;
  logger log;
  uint64_t incarnation, nonce, last_call_number, heartbeat_turn, refused_wire_versions;
  /** How late tasks of this process have run of late, in ms; fades away. */
  int64_t lateness_ms;
  bool draining, idle;
  time_us duplicate_seen_at, started_at;
  GHashTable *pending_calls;
  list_node peers;
  struct {
    node_handler fn;
    void *ctx;
  } handlers[80];
  int running_handlers;
  condition membership_changed;
  /** The ring of the machines that are thought live, by place; it is made anew once it is asked for
   * after a change. */
  GArray *ring;
  bool ring_stale;
  int ring_zones;
  uint64_t ring_builds;
};

/** Makes the common part of a process in a world. */
void node_init(node *node, world *world, const settings *settings);
/** Starts heartbeats, gossip and the watch. */
void node_start(node *node);
/** Frees it, once no task is left. */
void node_free(node *node);
/** Names the function that takes messages of one kind. */
void node_register_handler(node *node, int kind, node_handler fn, void *ctx);

/** Says whether this node can do duties, to all, when that changes. */
void node_set_idle(node *node, bool idle);
/** Says to all that this node leaves. */
void node_start_draining(node *node);
/** Sends a message and forgets it. */
void node_send(node *node, const char *addr, Wire__Envelope *m);
/** Sends a message to all live machines of a role, this one left out. */
void node_broadcast(node *node, enum role r, Wire__Envelope *m);
/** The machine of a role that comes first for a name, in an order that all agree on, among those
 * that live and don't leave; this one counts if it has the role. One may be passed over (an empty
 * id: none). False when there is nobody. */
bool node_rendezvous_peer(node *node, enum role r, const char *by, id pass_over, id *who,
                          char addr[48]);
/** Sends a message and waits for its reply, which the caller frees with node_reply_free. */
int node_call(node *node, const char *addr, Wire__Envelope *m, time_us span, Wire__Envelope **back,
              error *err);
/** Frees a reply. */
void node_reply_free(Wire__Envelope *m);
/** An envelope around a body of a kind. */
static inline Wire__Envelope wire_envelope(Wire__Envelope__BodyCase kind, void *body) {
  Wire__Envelope m = WIRE__ENVELOPE__INIT;
  m.body_case = kind;
  m.heartbeat = body;
  return m;
}
/** Memory that lasts until the reply is sent. */
void *reply_alloc(reply *reply, size_t n);
/** Makes the body of a reply. */
void *reply_new_body(reply *reply, Wire__Envelope__BodyCase kind,
                     const ProtobufCMessageDescriptor *d);

/** The machine of a name, or NULL. */
peer_node *node_find_peer(node *node, id who);
/** True when this node has no ground to think a machine gone. */
bool peer_is_live(const peer_node *peer);
/** A live machine of a role, drawn by chance, preferring the one at addr `last`; a gone one when
 * none lives; or NULL. */
peer_node *node_pick_peer(node *node, enum role r, const char *last);
/** The watchers of a name: the next on the ring, from other areas first. Gives their number. */
int node_watchers(node *node, id who, ring_position out[HEARTBEAT_WATCHERS]);
/** The machines of a role that are known here and have not said that they leave, gone ones too;
 * this one counts if it has the role. */
int node_count_peers(node *node, enum role r);
/** The machines' table as JSON. */
void node_peers_json(node *node, GString *to);
/** What every status page says of the process itself, as members of an object. */
void node_status_json(node *node, GString *to);
/** Text of a standing. */
const char *peer_state_name(const peer_node *peer);

/** Reads an env file; unknown keys, bad addresses and missing seeds are refused. */
int settings_read_file(settings *settings, enum role role, const char *path, error *err);
/** The same, of a text. */
int settings_parse(settings *settings, enum role role, string_view text, const char *where,
                   error *err);
/** Checks an env as a whole: names, addresses, seeds and a writable data folder. */
int settings_check(const settings *settings, error *err);
/** Sizes the core for the machines, or the zones, that may be lost at once: its members, and the
 * copies and areas that a write needs. */
void settings_set_fault_tolerance(settings *settings, int machines, int zones);
/** True for an ip:port with a numeric address. */
bool address_is_valid(const char *s);
/** An answer of one error as JSON. */
void http_respond_error(http_request *request, int status, int code, const char *text);
#endif
