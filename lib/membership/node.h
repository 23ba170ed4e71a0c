#ifndef COMMON_NODE_H
#define COMMON_NODE_H
#include "json.h"
#include "log.h"
#include "wire.pb-c.h"
#include "world.h"

/** The wire versions spoken here: 2 compares sums before it sends tables; 1 always sent them. */
enum { WIRE_NOW = 2, WIRE_LEAST = 1 };
/** How long a contract lasts after the renewal that it was given for was sent. */
enum { CONTRACT_MS = 3000 };
/** The most members that the core's chain takes, and the most voters; and how many there are, where
 * there are so many machines, though nothing must be borne. */
enum { CORE_MOST = 7, CORE_LEAST = 3 };
/** What a process of ours is. */
enum role { ROLE_CONTROLLER = 1, ROLE_ROUTER = 2 };

/** The settings of one process, read from a file and flags. */
typedef struct settings {
  id self, area;
  enum role role;
  char addr[48], data[512], platform[48];
  char seeds[3][48];
  id founders[3];
  size_t file_bytes;
  bool loud, json_log;
  unsigned wire;
  /** A router that is a gateway: engines register themselves, and there is no list of a platform.
   */
  bool gateway;
  /** Founders by address, when their names are not known: count, and the peers' addresses. Only at
   * a first start. */
  int founder_count;
  char founder_addrs[3][48];
  /** Copies, and areas, on which a write must be synced before it is acknowledged; 0: two copies in
   * two areas. */
  int copies, copy_areas;
  /** Members of the core's chain and voters; 0: three. */
  int members;
  /** A write is acknowledged without waiting for routers to have it, and routers that hear no news
   * serve on. */
  bool loose;
  /** Where a core machine takes engines' beats and the operator's configuration; blank: nowhere. */
  char control[48];
  /** How long a process has from SIGTERM to SIGKILL; 0: not told. */
  int64_t grace_ms;
} settings;

/** What this node knows of one of the fleet's machines. */
typedef struct machine {
  list_node link;
  id self, area;
  uint64_t inc, nonce;
  char addr[48];
  enum role role;
  bool leaving, gone, idle;
  time_us heard, watched, lost, met, agreed, blind, told_at;
  unsigned known;
  bool asked;
  struct {
    id by;
    time_us at;
  } doubts[6];
  /** How late its tasks run, as its latest heartbeat says. */
  int64_t late_ms;
} machine;

/** How many others watch a machine's heartbeats. */
enum { WATCHERS = 3 };
/** A machine's place on the ring of heartbeats. */
typedef struct ring_place {
  uint64_t at;
  id self, area;
  char addr[48];
} ring_place;

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
  uint64_t inc, nonce, calls, heartbeat_turn, odd_wire;
  /** How late tasks of this process have run of late, in ms; fades away. */
  int64_t late_ms;
  bool leaving, idle;
  time_us twin, born;
  GHashTable *open;
  list_node machines;
  struct {
    node_handler fn;
    void *ctx;
  } handlers[80];
  int busy;
  condition moved;
  /** The ring of the machines that are thought live, by place; it is made anew once it is asked for
   * after a change. */
  GArray *ring;
  bool ring_stale;
  int ring_areas;
  uint64_t ring_made;
};

/** Makes the common part of a process in a world. */
void node_init(node *node, world *world, const settings *settings);
/** Starts heartbeats, gossip and the watch. */
void node_start(node *node);
/** Frees it, once no task is left. */
void node_free(node *node);
/** Names the function that takes messages of one kind. */
void node_on(node *node, int kind, node_handler fn, void *ctx);

/** Says whether this node can do duties, to all, when that changes. */
void node_set_idle(node *node, bool idle);
/** Says to all that this node leaves. */
void node_leave(node *node);
/** Sends a message and forgets it. */
void node_send(node *node, const char *addr, Wire__Envelope *m);
/** Sends a message to all live machines of a role, this one left out. */
void node_send_all(node *node, enum role r, Wire__Envelope *m);
/** The machine of a role that comes first for a name, in an order that all agree on, among those
 * that live and don't leave; this one counts if it has the role. One may be passed over (an empty
 * id: none). False when there is nobody. */
bool node_first_machine(node *node, enum role r, const char *by, id pass_over, id *who,
                        char addr[48]);
/** Sends a message and waits for its reply, which the caller frees with node_reply_free. */
int node_call(node *node, const char *addr, Wire__Envelope *m, time_us span, Wire__Envelope **back,
              error *err);
/** Frees a reply. */
void node_reply_free(Wire__Envelope *m);
/** An envelope around a body of a kind. */
static inline Wire__Envelope wire_msg(Wire__Envelope__BodyCase kind, void *body) {
  Wire__Envelope m = WIRE__ENVELOPE__INIT;
  m.body_case = kind;
  m.heartbeat = body;
  return m;
}
/** Memory that lasts until the reply is sent. */
void *reply_hold(reply *reply, size_t n);
/** Makes the body of a reply. */
void *reply_new(reply *reply, Wire__Envelope__BodyCase kind, const ProtobufCMessageDescriptor *d);

/** The machine of a name, or NULL. */
machine *node_find_machine(node *node, id who);
/** True when this node has no ground to think a machine gone. */
bool machine_lives(const machine *machine);
/** A live machine of a role, drawn by chance, preferring the one at addr `last`; a gone one when
 * none lives; or NULL. */
machine *node_pick_machine(node *node, enum role r, const char *last);
/** The watchers of a name: the next on the ring, from other areas first. Gives their number. */
int node_watchers(node *node, id who, ring_place out[WATCHERS]);
/** The machines of a role that are known here and have not said that they leave, gone ones too;
 * this one counts if it has the role. */
int node_count_machines(node *node, enum role r);
/** The machines' table as JSON. */
void node_json(node *node, GString *to);
/** What every status page says of the process itself, as members of an object. */
void node_status(node *node, GString *to);
/** Text of a standing. */
const char *machine_state_name(const machine *machine);

/** Reads an env file; unknown keys, bad addresses and missing seeds are refused. */
int settings_read(settings *settings, enum role role, const char *path, error *err);
/** The same, of a text. */
int settings_take(settings *settings, enum role role, string_view text, const char *where,
                  error *err);
/** Checks an env as a whole: names, addresses, seeds and a writable data folder. */
int settings_check(const settings *settings, error *err);
/** Sizes the core for the machines, or the zones, that may be lost at once: its members, and the
 * copies and areas that a write needs. */
void env_withstand(settings *settings, int machines, int zones);
/** True for an ip:port with a numeric address. */
bool addr_fits(const char *s);
/** An answer of one error as JSON. */
void answer_error(http_request *request, int status, int code, const char *text);
#endif
