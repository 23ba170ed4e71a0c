#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H
#include "dialect.h"
#include "mechanisms.h"
#include "room.h"
#include "route_times.h"
#include "routing.h"
#include "router.h"
#include "unserved.h"

/* The gateway: a router that takes plain HTTP requests by routes, sends them on to registered
 * engines, and places models on those engines. It shares membership, news, contracts, history and
 * the policies with the rest of the router. */

/** A model on an engine, as far as this node knows. */
typedef struct resident {
  list_node link;
  id model;
  uint64_t version;
  GPtrArray *adapters; /* char *, owned */
  GPtrArray *leaving;  /* char *, owned: adapters ordered away by this node, as unloading says */
  time_us up_at, last_used; /* last_used: when this node last sent a request for it */
  bool unloading;           /* ordered away by this node; no new work, and its room still counts */
  int running;              /* this node's own runs of it */
} resident;

/** An engine instance: one life of one engine, as its beats say. */
typedef struct instance {
  list_node link;
  struct gateway *gateway;
  id self, service, area, version;
  char addr[48];
  unsigned slots;
  uint64_t count;     /* of its latest beat */
  bool leaving, gone; /* gone: signed off, or not heard of for long; removed once refs is 0 */
  bool silent;        /* gone only because it was not heard of: a later beat brings it back */
  time_us beat_at, leaving_at, ends_at, cold_till;
  bool models_known;
  list_node residents;
  GHashTable *held_before; /* names of models this life has held: they come from its own disk */
  int refs;
  /* what this node sees of it */
  int running;        /* own requests that are sent and not ended */
  double tokens;      /* own prompt tokens that are sent and whose first event has not come */
  int others_running; /* what other nodes say */
  double others_tokens;
  time_us last_byte; /* when any byte of an answer last came from it */
  time_us last_ok, failed_at, shunned_till;
  time_us oldest_wait; /* since when the oldest own request waits for a first byte; 0 when none */
  int fails;           /* in a row */
  bool suspect; /* silent although work is there: only fresh channels, and no once-only work */
  double ill;   /* failures of late, as seen by all nodes, fading away; and since when they are too
                   many */
  time_us ill_at, ill_till;
  int ill_times, ill_unannounced;
  double ms_per_token,
      base_ms; /* learnt: time to the first event is about base + tokens * this + what waits */
  /* placement: only at its holder */
  list_node orders; /* struct place_job */
  condition work;
  bool worker;
  time_us ordered_at;     /* when another node was last heard to order it about */
  time_us no_answer_till; /* at a coordinator: its holder got no answer from it */
  time_us reported_at;    /* when this node last asked it for a report that came */
  double owed_mb;
  unsigned owed_slots;
  uint64_t known_epoch; /* the contract under which its residents were read from itself */
  room room;            /* at its holder: what loads are reckoned from */
  /* what stands behind the above */
  GArray *runs;    /* own requests under way, see instances.c */
  GArray *others;  /* what each other node says */
  GArray *changes; /* what orders changed lately: older beats don't undo it */
  id picked_model,
      picked_adapter; /* of the request that was given this engine last, until it is sent */
  double picked_fresh, picked_tokens;
  struct part_note *parts; /* prompts' parts that this node sent there */
  double read_tokens;      /* all that this node had it read */
  double usual_first, usual_run,
      usual_tokens; /* smoothed: ms to the first event, ms of a whole run, tokens of a prompt */
  time_us suspect_at, gone_at, told_at;
  time_us seen_at; /* when it last answered a report or an order by its own name */
} instance;

/** What this node knows of prompts' parts kept on an instance: chains of parts by hash, sets of
 * four. */
enum { PART_SETS = 64, PART_WAYS = 4 };
typedef struct part_note {
  uint64_t chain;
  double read;
} part_note;

/** Attempts beyond the first, over a window, as a share of requests; one for each service. */
typedef struct budget {
  id service;
  GArray *requests, *extras;
  int64_t spent, came;
} budget;

/** What this node has learnt of a service's traffic: the usual time to a first event, and between
 * places that come free. */
typedef struct traffic {
  id service;
  double first_ms, run_ms, free_ms;
  time_us freed_at;
  int running, waiting;
} traffic;

/** What the gateway counts, for status, metrics and tests. */
typedef struct gateway_counts {
  uint64_t requests, served, refused, failed, left, no_route, attempts, seconds, resumed, wants,
      loads, unloads, orders, reports, late_loads, failed_loads, unserved[UNSERVED_COUNT];
} gateway_counts;

/** Settings of a gateway; an adapter fills them, or the command line. */
typedef struct gateway_settings {
  char front_ip[48], ready_ip[48];
  int front_port, ready_port;
  const dialect *dialect;
  /** Bounds, in ms or as said; 0 means the default in brackets. */
  int64_t drain_ms, grace_ms, apply_ms, lease_ms, beat_ms, stale_ms;
  double retry_ratio, retry_slack, retry_window_s, load_window_s, load_excess;
  bool fenced;
  double rate_window_s;
  unsigned off; /* mechanisms that are switched off, a bit for each */
} gateway_settings;

typedef struct gateway {
  router *router;
  gateway_settings settings;
  const routing *routing; /* in force; NULL until known */
  uint64_t engine_run, engine_seq;
  list_node instances;
  GHashTable *instance_at; /* id -> instance */
  condition moved;         /* instances, residency or places changed */
  http_listener front, ready;
  int load_fails;      /* loads that failed since the last one that came up */
  bool draining, told; /* told: engines are known from a core machine at least once */
  time_us drain_at;
  int open;        /* requests under way */
  bool shut;       /* the listener is shut: no request is taken any more, on any connection */
  bool ending;     /* the grace is nearly over: what waits is refused */
  bool stopped;    /* the grace is over: what no engine has begun to answer gets 502 */
  list_node queue; /* requests that wait for an engine, in the order of their turn */
  list_node open_requests; /* all requests under way, in the order in which they were taken */
  GHashTable *traffic;     /* service -> traffic */
  GHashTable *budgets;     /* service -> budget */
  route_times *durations;  /* of streams that were served whole */
  GHashTable *wants; /* "service/model+adapter" -> struct want_job: loads asked for by this node */
  gateway_counts counts;
  condition over;
  int nodes;        /* routers that are known, this one too; refreshed now and then */
  GHashTable *slow; /* "service/model+adapter" -> when requests last met a slow estimate, and a copy
                       was asked for */
  GHashTable *placings;  /* at a coordinator: "service/model+adapter" -> struct placing */
  GHashTable *copies;    /* while an engine is chosen: run_key -> copies, counted once */
  GHashTable *paces;     /* service -> struct pace: when loads out of the store began */
  time_us spare_load;    /* when this node last began a load without the pacer's ticket */
  struct canary *canary; /* the trial that runs; NULL without one */
  struct canary_judge *canary_judge; /* at its judge */
  GHashTable *rates_whole; /* of a large fleet: what a key's collector says of the whole */
  GHashTable *rates_told;  /* key -> int64_t: totals that the others have */
} gateway;

/** True unless a mechanism is switched off. */
static inline bool gateway_uses(const gateway *gateway, enum mechanism mechanism) {
  return !(gateway->settings.off & 1u << mechanism);
}

/** Makes the gateway part of a router; the router must have been made with settings.gateway set. */
gateway *gateway_new(router *router, const gateway_settings *x, error *err);
/** Opens the listeners. */
int gateway_open(gateway *gateway, error *err);
/** drain.c: says not ready, answers with "Connection: close", ends when all is served or the grace
 * is over; `over` is signalled then. */
void gateway_drain(gateway *gateway);
/** The ms until streams under way are cut by the end of this process; INT64_MAX when it does not
 * leave. */
int64_t gateway_left_ms(const gateway *gateway);
void gateway_free(gateway *gateway);
/** Takes a new settings' bounds. */
void gateway_reread(gateway *gateway, const gateway_settings *x);

/* instances.c: which engines there are */
instance *instance_find(gateway *gateway, const char *self);
/** Folds what a core machine or another node says of an engine; the latest beat wins, and leaving
 * is for good. */
void instance_heard(gateway *gateway, const Wire__EngineState *w);
/** True when it may get new work now. */
bool instance_usable(const instance *instance);
/** The resident copy of a model; NULL when it is not there, or on its way out. */
resident *instance_resident(const instance *instance, id model);
/** True when it can run a request for a model and adapter (either may be none) now. */
bool instance_holds(const instance *instance, id model, id adapter);
/** Adds or removes what an order of ours has changed, before any beat or report shows it. */
void instance_loaded(instance *instance, id model, id adapter);
void instance_unloaded(instance *instance, id model, id adapter);
void instance_ref(instance *instance);
void instance_unref(instance *instance);
/** Notes of one attempt: it was sent, its first event came, it ended (ok or not). */
void instance_sent(instance *instance, double tokens);
void instance_first(instance *instance, double tokens, double ms, int running_then);
void instance_ended(instance *instance, bool ok);
void instances_start(gateway *gateway);
void instances_free(gateway *gateway);
/** Folds what models an instance holds, as seen at an instant: what was changed less than guard_ms
 * before stays. */
void instance_models(instance *instance, Wire__ResidentModel **m, size_t n, time_us at,
                     int64_t guard_ms);
/** Marks a model (or an adapter alone) as on its way out: no new work, its room still counts. */
void instance_going(instance *instance, id model, id adapter);
/** Tells all routers what this node, its holder, knows it to hold. */
void instance_cast(instance *instance);
/** Ends an instance: its address is known to answer for another, or it is signed off. */
void instance_over(instance *instance, const char *why);
/** How a model, or an adapter on its model, is named in short; never 0. */
uint32_t run_key(id model, id adapter);
/** Since when a thing that was loaded by an order of late has been there; 0 when that is long ago
 * or not known. */
time_us instance_loaded_at(const instance *instance, id model, id adapter);
/** True when some node runs something of a model (and adapter) there, as far as is known. */
bool instance_runs(const instance *instance, id model, id adapter);
/** True when it gives no sign of life although work was sent there, so that what it holds had
 * better be elsewhere too. */
bool instance_lost(const instance *instance);
/** Notes failures that were seen by this node, or by another whose word weighs less; what fails now
 * and then although it lives is ill for a while, longer each time, and gets work only where nothing
 * else is. */
void instance_failed(instance *instance, double weight);
void instance_failed_here(instance *instance);
bool instance_ill(const instance *instance);
/** True when it is not full and was not ordered about of late, so that a failure, or work declined,
 * is its own doing. */
bool instance_at_ease(const instance *instance);
/** How many instances of a service hold a model and adapter, and give signs of life. */
int instance_copies(gateway *gateway, id service, id model, id adapter);
/** Looks at silence and failures again. */
void instance_check(instance *instance);
/** Prompt tokens that wait at it for their first event, of all nodes; and requests that run there.
 */
double instance_waiting(const instance *instance);
int instance_running(const instance *instance);
/** Folds all that another node says it runs; its word on failures weighs more when it is near. */
void instances_loads(gateway *gateway, uint64_t nonce, bool near, const Wire__TrafficReport *q);
/** A digest of engines that came with news. */
void instances_news(gateway *gateway, const Wire__ConfigPollResponse *b);

/* select.c: which engine gets a request */
typedef struct pick_request {
  const service *service;
  id model, adapter;  /* none for a plain service */
  const char *prefix; /* shared parts of the prompt, or NULL */
  double tokens;      /* of the prompt */
  int64_t target_ms, left_ms;
  unsigned priority;
  const select_policy *policy; /* NULL: the usual one */
  bool run_once;               /* it may not be sent again once sent */
  const id *avoid;
  int avoided;
} pick_request;
/** What pick found: an engine now, or why there is none. */
enum pick_none { PICK_OK, PICK_NO_ENGINE, PICK_NO_MODEL, PICK_FULL };
/** Chooses an engine for a request; est_ms is the time to its first event, as estimated. */
instance *pick(gateway *gateway, const pick_request *q, enum pick_none *why, double *est_ms);
/** The reckoning behind it: ms to the first event, with so many tokens ahead and so many of its own
 * to be read. */
double est_first(double base_ms, double ms_per_token, double ahead, double fresh, int running,
                 unsigned slots, double run_ms);
/** Shared parts of a prompt, "ID:TOKENS,...": hashes of the chain up to each part, and tokens up to
 * there. Gives their number. */
int parts_read(const char *prefix, id model, id adapter, uint64_t *chain, double *upto, int most);

/* budget.c: second attempts, bounded over the fleet */
void budget_came(gateway *gateway, const service *service);
/** The most extra attempts of one node over a window. */
double budget_share(double retry_slack, double retry_ratio, int nodes, double own_requests);
budget *budget_of(gateway *gateway, const service *service);
void budget_free(void *b);
/** True when there is an extra attempt left. */
bool budget_room(gateway *gateway, const service *service);
/** Takes one extra attempt out of the budget; false when there is none. */
bool budget_take(gateway *gateway, const service *service);

/* forward.c: the way of a request */
void forward_serve(void *ctx, http_request *request);
/** Lets each request under way look again whether the gateway still waits for its engine. */
void forward_wake_open(gateway *gateway);
/** Logs each request that is under way, with what an end of the process now would mean for it. */
void forward_report_open(gateway *gateway);
/** Gives places that came free to requests that wait for them. */
void forward_start(gateway *gateway);
traffic *traffic_of(gateway *gateway, const service *service);

/* loader.c: placement. want_model asks for a model (and adapter) to be loaded somewhere and returns
 * at once; the caller waits on gateway->moved until an engine holds it. copy asks for one more
 * although some engine holds it already. est_ms is how long it may take, as known. A code other
 * than OK says why not, with wait the time in ms after which to come back. */
int want_model(gateway *gateway, const service *service, id model, id adapter, unsigned priority,
               bool copy, double *est_ms, int64_t *wait);
void loader_start(gateway *gateway);
void loader_free(gateway *gateway);
/** How many more copies of a model would clear what waits for it, as far as this node knows. */
int copies_short(gateway *gateway, id service, id model, id adapter);
/** What a placement on an instance would cost: the worth (ms a second) of what had to go for it; -1
 * when it can't fit now. need_mb and need_slots say what is missing. */
double place_cost(instance *instance, const service *service, id model, id adapter, double *need_mb,
                  unsigned *need_slots, double *drain_ms);
/** When one more load out of the store may begin, by the log of those that began: at most so many
 * in a window. */
time_us pace_next(const GArray *log, time_us now, time_us window, int most);
/** How many loads a window holds by our own reckoning: a little below what the store allows. */
int pace_most(double loads_per_s, double window_s, double excess);
/** The log of a node that takes the pace over: heard are those it knows of. */
void pace_take_over(GArray *log, time_us since, time_us born, time_us window, int most);

/* canary.c: a trial of a selection policy */
/** A request's part in a trial: its side, and whether it counts as evidence; run 0 where no trial
 * is. */
typedef struct canary_part {
  uint64_t run;
  enum canary_arm side;
  bool counts;
} canary_part;
/** Takes up, or drops, what the newest configuration says of trials. */
void canary_installed(gateway *gateway);
/** Settles a request's side, once, when it comes. */
canary_part canary_admit(gateway *gateway, const http_request *request, const route *route);
/** Notes how it ended: ms to the first event passed on, or a negative number, and the status as
 * told. */
void canary_note(gateway *gateway, const canary_part *p, const route *route, double first_ms,
                 int status);
/** The name of the trial that runs, and the policy of a side. */
const char *canary_name(const gateway *gateway);
const select_policy *canary_policy(const gateway *gateway, const canary_part *p);
void canary_start(gateway *gateway);
void canary_free(gateway *gateway);
void canary_json(gateway *gateway, GString *to);
void canary_metrics(gateway *gateway, GString *to);

/* unserved.c */
/** Starts the task that logs why requests were not served. */
void unserved_start(gateway *gateway);

/* status.c */
/** Why a gateway is not ready; NULL when it is. */
const char *gateway_unready(const gateway *gateway);
void gateway_status(gateway *gateway, GString *to);
void gateway_metrics(gateway *gateway, GString *to);
#endif
