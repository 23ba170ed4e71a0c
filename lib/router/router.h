#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H
#include "config.h"
#include "history.h"
#include "policy.h"
#include "node.h"
#include "sources.h"

/** How long a confirmation of what is in force, or a list of engines, is good for. */
enum { FRESH_MS = 2000, LIST_OLD_MS = 2000 };
/** A load is wasted when what it brought served nobody before it was unloaded, or when it brings
 * back what was unloaded less than so many of its load times before. */
enum { WASTE_TIMES = 10 };
enum hold_state { HOLD_UP, HOLD_LOADING, HOLD_UNLOADING };

/** A model or adapter on an engine, as its last report says. */
typedef struct holding {
  list_node link;
  id model, adapter;
  enum hold_state state;
  uint64_t megs;
  unsigned slots, running;
  time_us up_at;
  bool used, seen;
  /** Loads of adapters on this base that were ordered and that no report has settled yet. */
  int unsettled;
  /** An unload of it was taken; only a report that moved on may say that it is still there. */
  bool unload_taken;
} holding;

/** A miss that waits for a load on one engine; several requests may share it. */
typedef struct want {
  list_node link;
  id model, adapter;
  unsigned weight;
  time_us since;
  int code;
  bool done, gone;
  int waiters;
  condition changed;
  uint64_t wait;
  time_us lapse;
} want;

/** An engine that the platform lists. */
typedef struct engine {
  list_node link;
  struct router *router;
  id self, type, area;
  char addr[48], boot[48];
  uint64_t weights_mb;
  unsigned adapter_slots;
  bool leaving, listed, known, quit;
  int refs;
  time_us heard, up_at, shunned;
  uint64_t seq, orders;
  int running, own_running, own_running_at_report, fails;
  list_node holdings, wants;
  uint64_t owed_megs;
  unsigned owed_slots;
  condition news, work;
  bool odd;
} engine;

/** A duty that this router holds, or would; ordered and open: when work under it was last sent, and
 * what may still be. */
typedef struct contract {
  id duty;
  uint64_t epoch;
  time_us till, since, second, ordered;
  int open;
  bool wanted, held;
} contract;

/** A miss that this router has passed to the engine's holder. */
typedef struct miss {
  list_node link;
  id engine, model, adapter;
  int code;
  bool done;
  int waiters;
  uint64_t wait;
  condition changed;
  struct router *router;
  unsigned weight;
  time_us till;
} miss;

/** What one kind of request is doing here now. */
typedef struct lane {
  int waiting, running;
  uint64_t asked, done, refused, failed, shed;
} lane;

enum { SECOND_OPEN_MOST = 6 };
/** A question to a further core machine. late: it was not answered in the usual time. */
typedef struct second_request {
  char addr[48];
  time_us sent;
  bool open, late;
} second_request;

/** A data-plane machine. */
typedef struct router router;
struct router {
  node node;
  config *config;
  uint64_t epoch, seq, fleet, res_at[RESOURCE_COUNT], news_bytes, news_count;
  GString *resources[RESOURCE_COUNT];
  time_us fresh, lost;
  bool sure;
  GString *list;
  char core[48];
  GHashTable *grants;
  condition contracts_changed, moved, over;
  list_node engines, misses, queue;
  history history;
  GHashTable *contracts, *backs;
  char head_addr[48];
  time_us head_at;
  time_us pace_next, pace_from;
  uint64_t tickets, tickets_late;
  double pace_given, pace_full;
  lane lanes[REQUEST_KINDS_MAX];
  double retries;
  uint64_t attempts, seconds, requests, odd_runs, wasted, loads, load_fails, unloads, drained,
      alone;
  bool drain, list_known;
  time_us list_at;
  int open;
  double served;
  /** The compiled routing, NULL when the resource is blank; and its owner's hooks: called when a
   * digest was installed, for engines in news, and to name the duties that there are. */
  struct routing *routes;
  void *gateway;
  void (*on_installed)(void *gateway);
  void (*on_engines)(void *gateway, const Wire__ConfigPollResponse *b);
  void (*each_duty)(void *gateway, void (*one)(router *router, const char *duty));
  /** Writes the gateway's own part of the pages: its status, or lines of metrics. */
  void (*page)(void *gateway, GString *to, bool metrics);
  /** What of the engines this router has by news: of the core machine asked last, and of those
   * asked before it. */
  uint64_t engine_run, engine_seq;
  struct {
    char addr[48];
    uint64_t run, seq;
  } engine_at[8];
  int engine_next;
  /** When any core machine last gave the state, and where one that had none said it is. */
  time_us core_at;
  char core_hint[48];
  /** The core machines by how they answered; when one of them last confirmed what is in force here;
   * and which one did so while another did not answer. */
  sources sources;
  time_us confirmed;
  char core_next[48];
  /** Questions to further core machines that are not answered yet, and how long the last answer
   * took in ms, less the time that it was held on purpose. */
  second_request second_requests[SECOND_OPEN_MOST];
  int64_t answer_ms;
};

router *router_new(world *world, const settings *settings);
/** Stops taking requests, gives its duties back, lets streams end; `over` is signalled when done.
 */
void router_drain(router *router);
void router_free(router *router);

/* news.c */
void news_start(router *router);
bool router_is_fresh(router *router);
/** True when this router may take new work: what it holds was confirmed lately, or most routers
 * know nothing younger. */
bool router_may_enrol(router *router);
/** Waits a moment for that, unless it has been missing for long. */
bool router_wait_enrol(router *router);
/** Who holds a duty by the last digest; false when nobody. */
bool router_grant(router *router, const char *duty, id *holder, uint64_t *epoch);

/* platform.c */
void platform_start(router *router);
/** Takes a list that another router passes on; it adds engines and marks, and never takes one away.
 * False when it is none. */
bool platform_heard(router *router, string_view text, time_us at);
engine *engine_find(router *router, id who);
holding *engine_holding(engine *engine, id model, id adapter);
/** True when an engine may get new work: listed, not leaving, heard, and not in an emptied place.
 */
bool engine_open(engine *engine);
/** The streams that an engine may run now, fewer while it is cold. */
int engine_cap(engine *engine);
/** True when this router may send one more stream now: there is a place, and while the engine is
 * cold it is this router's. */
bool engine_place(engine *engine);
/** The streams that run on an engine, as well as this router can tell. */
int engine_load(engine *engine);
void engine_drop(engine *engine);

/* duty.c */
void duty_start(router *router);
/** The epoch of a duty that this router holds at this instant, or 0. */
uint64_t duty_epoch(router *router, const char *duty);
/** The duty of ordering an engine about. */
void duty_engine(char *buf, size_t n, id engine);

/* place.c */
void place_start(router *router);
void place_engine(engine *engine);
/** Megabytes and places that a thing takes by the catalogue; false when it does not know it. */
bool item_size(router *router, id model, id adapter, uint64_t *megs, unsigned *slots);
/** The load time to reckon with. */
double item_penalty(router *router, id type, id model, id adapter);

/** Tells all routers how long a load took; and takes in what another tells of loads and of what it
 * routed. */
void router_timed(router *router, id type, const char *key, double ms);
void router_rates_heard(router *router, const Wire__RateReport *q);

/* route.c */
void route_serve(void *ctx, http_request *request);
#endif
