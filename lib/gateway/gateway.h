#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H
#include "dialect.h"
#include "feature_flags.h"
#include "capacity_account.h"
#include "route_durations.h"
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
  GPtrArray *
      unloading_adapters; /* char *, owned: adapters ordered away by this node, as unloading says */
  time_us loaded_at, last_used_at; /* last_used_at: when this node last sent a request for it */
  bool unloading;  /* ordered away by this node; no new work, and its room still counts */
  int own_running; /* this node's own runs of it */
} resident;

/** An engine instance: one life of one engine, as its beats say. */
typedef struct gateway_engine {
  list_node link;
  struct gateway *gateway;
  id engine_id, service, zone, version;
  char addr[48];
  unsigned slots;
  uint64_t heartbeat_count; /* of its latest beat */
  bool draining, gone;      /* gone: signed off, or not heard of for long; removed once refs is 0 */
  bool unresponsive;        /* gone only because it was not heard of: a later beat brings it back */
  time_us heartbeat_at, draining_at, ends_at, slow_start_until;
  bool models_known;
  list_node residents;
  GHashTable *models_on_disk; /* names of models this life has held: they come from its own disk */
  int refs;
  /* what this node sees of it */
  int own_running; /* own requests that are sent and not ended */
  double
      own_waiting_tokens; /* own prompt tokens that are sent and whose first event has not come */
  int peers_running;      /* what other nodes say */
  double peers_waiting_tokens;
  time_us last_byte_at; /* when any byte of an answer last came from it */
  time_us last_success_at, failed_at, ejected_until;
  time_us
      oldest_wait_at; /* since when the oldest own request waits for a first byte; 0 when none */
  int consecutive_failures; /* in a row */
  bool suspect; /* silent although work is there: only fresh channels, and no once-only work */
  double failure_score; /* failures of late, as seen by all nodes, fading away; and since when they
                 are too many */
  time_us failure_score_at, unhealthy_until;
  int unhealthy_count, unreported_failures;
  double ms_per_token,
      base_ms; /* learnt: time to the first event is about base + tokens * this + what waits */
  /* placement: only at its holder */
  list_node load_jobs; /* struct load_job */
  condition load_jobs_changed;
  bool load_worker_running;
  time_us peer_ordered_at;   /* when another node was last heard to order it about */
  time_us unreachable_until; /* at a coordinator: its holder got no answer from it */
  time_us reported_at;       /* when this node last asked it for a report that came */
  double reserved_mb;
  unsigned reserved_slots;
  uint64_t residents_epoch;  /* the contract under which its residents were read from itself */
  capacity_account capacity; /* at its holder: what loads are reckoned from */
  /* what stands behind the above */
  GArray *own_runs;         /* own requests under way, see instances.c */
  GArray *peer_loads;       /* what each other node says */
  GArray *resident_changes; /* what orders changed lately: older beats don't undo it */
  id selected_model,
      selected_adapter; /* of the request that was given this engine last, until it is sent */
  double selected_uncached_tokens, selected_tokens;
  struct cached_prefix_block *cached_prefixes; /* prompts' parts that this node sent there */
  double prefilled_tokens;                     /* all that this node had it read */
  double mean_first_event_ms, mean_run_ms,
      mean_prompt_tokens; /* smoothed: ms to the first event, ms of a whole run, tokens of a prompt
                           */
  time_us suspect_at, gone_at, state_received_at;
  time_us identity_confirmed_at; /* when it last answered a report or an order by its own name */
} gateway_engine;

/** What this node knows of prompts' parts kept on an instance: chains of parts by hash, sets of
 * four. */
enum { PREFIX_CACHE_SETS = 64, PREFIX_CACHE_WAYS = 4 };
typedef struct cached_prefix_block {
  uint64_t prefix_hash;
  double prefilled_tokens;
} cached_prefix_block;

/** Attempts beyond the first, over a window, as a share of requests; one for each service. */
typedef struct retry_budget {
  id service;
  GArray *request_buckets, *retry_buckets;
  int64_t retries, request_count;
} retry_budget;

/** What this node has learnt of a service's traffic: the usual time to a first event, and between
 * places that come free. */
typedef struct service_traffic {
  id service;
  double mean_first_event_ms, mean_run_ms, mean_slot_interval_ms;
  time_us slot_freed_at;
  int running, waiting;
} service_traffic;

/** What the gateway counts, for status, metrics and tests. */
typedef struct gateway_counts {
  uint64_t requests, served, refused, failed, client_left, no_route, attempts, retries, resumed,
      load_requests, loads, unloads, orders, reports, late_loads, failed_loads,
      unserved[UNSERVED_COUNT];
} gateway_counts;

/** Settings of a gateway; an adapter fills them, or the command line. */
typedef struct gateway_settings {
  char front_ip[48], ready_ip[48];
  int front_port, ready_port;
  const dialect *dialect;
  /** Bounds, in ms or as said; 0 means the default in brackets. */
  int64_t drain_ms, grace_ms, apply_ms, lease_ms, heartbeat_ms, stale_ms;
  double retry_ratio, retry_slack, retry_window_s, load_window_s, load_excess;
  bool fenced;
  double rate_window_s;
  unsigned disabled_features; /* mechanisms that are switched off, a bit for each */
} gateway_settings;

typedef struct gateway {
  router *router;
  gateway_settings settings;
  const routing *routing; /* in force; NULL until known */
  uint64_t engine_run, engine_seq;
  list_node engines;
  GHashTable *engines_by_id; /* id -> instance */
  condition engines_changed; /* instances, residency or places changed */
  http_listener client_listener, health_listener;
  int consecutive_load_failures; /* loads that failed since the last one that came up */
  bool draining, engines_known;  /* told: engines are known from a core machine at least once */
  time_us drain_started_at;
  int open_request_count; /* requests under way */
  bool
      admission_stopped; /* the listener is shut: no request is taken any more, on any connection */
  bool refusing_queued;  /* the grace is nearly over: what waits is refused */
  bool grace_over;       /* the grace is over: what no engine has begun to answer gets 502 */
  list_node queue;       /* requests that wait for an engine, in the order of their turn */
  list_node open_requests; /* all requests under way, in the order in which they were taken */
  GHashTable *traffic;     /* service -> traffic */
  GHashTable *budgets;     /* service -> budget */
  route_durations *route_durations; /* of streams that were served whole */
  GHashTable *load_requests; /* "service/model+adapter" -> struct pending_load_request: loads asked
                                for by this node */
  gateway_counts counts;
  condition drained;
  int router_count;           /* routers that are known, this one too; refreshed now and then */
  GHashTable *slow_estimates; /* "service/model+adapter" -> when requests last met a slow estimate,
                       and a copy was asked for */
  GHashTable *placement_jobs; /* at a coordinator: "service/model+adapter" -> struct placing */
  GHashTable *replica_counts; /* while an engine is chosen: gateway_engine_model_key -> copies,
                                 counted once */
  GHashTable *load_rate_limiters; /* service -> struct pace: when loads out of the store began */
  time_us unpermitted_load_at;    /* when this node last began a load without the pacer's ticket */
  struct canary *canary;          /* the trial that runs; NULL without one */
  struct canary_judge *canary_judge; /* at its judge */
  GHashTable *fleet_rates; /* of a large fleet: what a key's collector says of the whole */
  GHashTable *rates_sent;  /* key -> int64_t: totals that the others have */
} gateway;

/** True unless a mechanism is switched off. */
static inline bool gateway_feature_enabled(const gateway *gateway, enum feature_flag feature_flag) {
  return !(gateway->settings.disabled_features & 1u << feature_flag);
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
int64_t gateway_remaining_ms(const gateway *gateway);
void gateway_free(gateway *gateway);
/** Takes a new settings' bounds. */
void gateway_reload_settings(gateway *gateway, const gateway_settings *x);

/* instances.c: which engines there are */
gateway_engine *gateway_engine_find(gateway *gateway, const char *self);
/** Folds what a core machine or another node says of an engine; the latest beat wins, and leaving
 * is for good. */
void gateway_engine_update(gateway *gateway, const Wire__EngineState *w);
/** True when it may get new work now. */
bool gateway_engine_usable(const gateway_engine *engine);
/** The resident copy of a model; NULL when it is not there, or on its way out. */
resident *gateway_engine_resident(const gateway_engine *engine, id model);
/** True when it can run a request for a model and adapter (either may be none) now. */
bool gateway_engine_has_model(const gateway_engine *engine, id model, id adapter);
/** Adds or removes what an order of ours has changed, before any beat or report shows it. */
void gateway_engine_mark_loaded(gateway_engine *engine, id model, id adapter);
void gateway_engine_mark_unloaded(gateway_engine *engine, id model, id adapter);
void gateway_engine_ref(gateway_engine *engine);
void gateway_engine_unref(gateway_engine *engine);
/** Notes of one attempt: it was sent, its first event came, it ended (ok or not). */
void gateway_engine_record_sent(gateway_engine *engine, double tokens);
void gateway_engine_record_first_event(gateway_engine *engine, double tokens, double ms,
                                       int running_then);
void gateway_engine_record_end(gateway_engine *engine, bool ok);
void gateway_engines_start(gateway *gateway);
void gateway_engines_free(gateway *gateway);
/** Folds what models an instance holds, as seen at an instant: what was changed less than guard_ms
 * before stays. */
void gateway_engine_update_residents(gateway_engine *engine, Wire__ResidentModel **m, size_t n,
                                     time_us at, int64_t guard_ms);
/** Marks a model (or an adapter alone) as on its way out: no new work, its room still counts. */
void gateway_engine_mark_unloading(gateway_engine *engine, id model, id adapter);
/** Tells all routers what this node, its holder, knows it to hold. */
void gateway_engine_broadcast(gateway_engine *engine);
/** Ends an instance: its address is known to answer for another, or it is signed off. */
void gateway_engine_remove(gateway_engine *engine, const char *why);
/** How a model, or an adapter on its model, is named in short; never 0. */
uint32_t gateway_engine_model_key(id model, id adapter);
/** Since when a thing that was loaded by an order of late has been there; 0 when that is long ago
 * or not known. */
time_us gateway_engine_loaded_at(const gateway_engine *engine, id model, id adapter);
/** True when some node runs something of a model (and adapter) there, as far as is known. */
bool gateway_engine_is_running(const gateway_engine *engine, id model, id adapter);
/** True when it gives no sign of life although work was sent there, so that what it holds had
 * better be elsewhere too. */
bool gateway_engine_unresponsive(const gateway_engine *engine);
/** Notes failures that were seen by this node, or by another whose word weighs less; what fails now
 * and then although it lives is ill for a while, longer each time, and gets work only where nothing
 * else is. */
void gateway_engine_add_failure(gateway_engine *engine, double weight);
void gateway_engine_add_own_failure(gateway_engine *engine);
bool gateway_engine_unhealthy(const gateway_engine *engine);
/** True when it is not full and was not ordered about of late, so that a failure, or work declined,
 * is its own doing. */
bool gateway_engine_lightly_loaded(const gateway_engine *engine);
/** How many instances of a service hold a model and adapter, and give signs of life. */
int gateway_engines_count_replicas(gateway *gateway, id service, id model, id adapter);
/** Looks at silence and failures again. */
void gateway_engine_check(gateway_engine *engine);
/** Prompt tokens that wait at it for their first event, of all nodes; and requests that run there.
 */
double gateway_engine_waiting_tokens(const gateway_engine *engine);
int gateway_engine_running_requests(const gateway_engine *engine);
/** Folds all that another node says it runs; its word on failures weighs more when it is near. */
void gateway_engines_update_loads(gateway *gateway, uint64_t nonce, bool near,
                                  const Wire__TrafficReport *q);
/** A digest of engines that came with news. */
void gateway_engines_config_sync(gateway *gateway, const Wire__ConfigPollResponse *b);

/* select.c: which engine gets a request */
typedef struct engine_select_request {
  const service *service;
  id model, adapter;  /* none for a plain service */
  const char *prefix; /* shared parts of the prompt, or NULL */
  double tokens;      /* of the prompt */
  int64_t target_ms, remaining_ms;
  unsigned priority;
  const select_policy *policy; /* NULL: the usual one */
  bool run_once;               /* it may not be sent again once sent */
  const id *excluded;
  int excluded_count;
} engine_select_request;
/** What pick found: an engine now, or why there is none. */
enum engine_select_result {
  ENGINE_SELECT_OK,
  ENGINE_SELECT_NO_ENGINE,
  ENGINE_SELECT_NO_MODEL,
  ENGINE_SELECT_ALL_BUSY
};
/** Chooses an engine for a request; est_ms is the time to its first event, as estimated. */
gateway_engine *engine_select(gateway *gateway, const engine_select_request *q,
                              enum engine_select_result *why, double *est_ms);
/** The reckoning behind it: ms to the first event, with so many tokens ahead and so many of its own
 * to be read. */
double engine_select_estimate_ms(double base_ms, double ms_per_token, double ahead, double fresh,
                                 int running, unsigned slots, double run_ms);
/** Shared parts of a prompt, "ID:TOKENS,...": hashes of the chain up to each part, and tokens up to
 * there. Gives their number. */
int engine_select_parse_prefix(const char *prefix, id model, id adapter, uint64_t *chain,
                               double *upto, int most);

/* budget.c: second attempts, bounded over the fleet */
void retry_budget_record_request(gateway *gateway, const service *service);
/** The most extra attempts of one node over a window. */
double retry_budget_node_share(double retry_slack, double retry_ratio, int nodes,
                               double own_requests);
retry_budget *retry_budget_of(gateway *gateway, const service *service);
void retry_budget_free(void *b);
/** True when there is an extra attempt left. */
bool retry_budget_available(gateway *gateway, const service *service);
/** Takes one extra attempt out of the budget; false when there is none. */
bool retry_budget_take(gateway *gateway, const service *service);

/* forward.c: the way of a request */
void forward_request(void *ctx, http_request *request);
/** Lets each request under way look again whether the gateway still waits for its engine. */
void forward_wake_open_requests(gateway *gateway);
/** Logs each request that is under way, with what an end of the process now would mean for it. */
void forward_log_open_requests(gateway *gateway);
/** Gives places that came free to requests that wait for them. */
void forward_start(gateway *gateway);
service_traffic *service_traffic_of(gateway *gateway, const service *service);

/* loader.c: placement. load_request_submit asks for a model (and adapter) to be loaded somewhere
 * and returns at once; the caller waits on gateway->moved until an engine holds it. copy asks for
 * one more although some engine holds it already. est_ms is how long it may take, as known. A code
 * other than OK says why not, with wait the time in ms after which to come back. */
int load_request_submit(gateway *gateway, const service *service, id model, id adapter,
                        unsigned priority, bool copy, double *est_ms, int64_t *wait);
void loader_start(gateway *gateway);
void loader_free(gateway *gateway);
/** How many more copies of a model would clear what waits for it, as far as this node knows. */
int placement_missing_replicas(gateway *gateway, id service, id model, id adapter);
/** What a placement on an instance would cost: the worth (ms a second) of what had to go for it; -1
 * when it can't fit now. need_mb and need_slots say what is missing. */
double eviction_placement_cost(gateway_engine *engine, const service *service, id model, id adapter,
                               double *need_mb, unsigned *need_slots, double *drain_ms);
/** When one more load out of the store may begin, by the log of those that began: at most so many
 * in a window. */
time_us load_rate_limiter_next_at(const GArray *log, time_us now, time_us window, int most);
/** How many loads a window holds by our own reckoning: a little below what the store allows. */
int load_rate_limiter_max_loads(double loads_per_s, double window_s, double excess);
/** The log of a node that takes the pace over: heard are those it knows of. */
void load_rate_limiter_take_over(GArray *log, time_us since, time_us born, time_us window,
                                 int most);

/* canary.c: a trial of a selection policy */
/** A request's part in a trial: its side, and whether it counts as evidence; run 0 where no trial
 * is. */
typedef struct canary_assignment {
  uint64_t version;
  enum canary_arm side;
  bool is_evidence;
} canary_assignment;
/** Takes up, or drops, what the newest configuration says of trials. */
void canary_config_installed(gateway *gateway);
/** Settles a request's side, once, when it comes. */
canary_assignment canary_admit(gateway *gateway, const http_request *request, const route *route);
/** Notes how it ended: ms to the first event passed on, or a negative number, and the status as
 * told. */
void canary_record_result(gateway *gateway, const canary_assignment *p, const route *route,
                          double first_ms, int status);
/** The name of the trial that runs, and the policy of a side. */
const char *canary_name(const gateway *gateway);
const select_policy *canary_policy(const gateway *gateway, const canary_assignment *p);
void canary_start(gateway *gateway);
void canary_free(gateway *gateway);
void canary_json(gateway *gateway, GString *to);
void canary_metrics(gateway *gateway, GString *to);

/* unserved.c */
/** Starts the task that logs why requests were not served. */
void unserved_start(gateway *gateway);

/* status.c */
/** Why a gateway is not ready; NULL when it is. */
const char *gateway_unready_reason(const gateway *gateway);
void gateway_status(gateway *gateway, GString *to);
void gateway_metrics(gateway *gateway, GString *to);
#endif
