#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H
#include "config.h"
#include "event_history.h"
#include "eviction_policy.h"
#include "node.h"
#include "controller_selection.h"

/** How long a confirmation of what is in force, or a list of engines, is good for. */
enum { CONFIRMATION_VALID_MS = 2000, ENGINE_LIST_VALID_MS = 2000 };
/** A load is wasted when what it brought served nobody before it was unloaded, or when it brings
 * back what was unloaded less than so many of its load times before. */
enum { WASTED_LOAD_WINDOW_FACTOR = 10 };
enum resident_state { RESIDENT_UP, RESIDENT_LOADING, RESIDENT_UNLOADING };

/** A model or adapter on an engine, as its last report says. */
typedef struct resident_model {
  list_node link;
  id model, adapter;
  enum resident_state state;
  uint64_t weights_mb;
  unsigned slots, running;
  time_us loaded_at;
  bool served_requests, in_report;
  /** Loads of adapters on this base that were ordered and that no report has settled yet. */
  int unconfirmed_adapter_loads;
  /** An unload of it was taken; only a report that moved on may say that it is still there. */
  bool unload_accepted;
} resident_model;

/** A miss that waits for a load on one engine; several requests may share it. */
typedef struct queued_load_request {
  list_node link;
  id model, adapter;
  unsigned priority_weight;
  time_us queued_at;
  int error_code;
  bool done, cancelled;
  int waiters;
  condition changed;
  uint64_t retry_after_ms;
  time_us expires_at;
} queued_load_request;

/** An engine that the platform lists. */
typedef struct engine {
  list_node link;
  struct router *router;
  id self, type, zone;
  char address[48], boot_id[48];
  uint64_t weights_mb;
  unsigned adapter_slots;
  bool draining, listed, reported, removed;
  int refs;
  time_us last_report_at, started_at, excluded_until;
  uint64_t report_seq, order_count;
  int running, own_running, own_running_at_report, consecutive_failures;
  list_node residents, load_requests;
  uint64_t reserved_mb;
  unsigned reserved_slots;
  condition report_changed, work_changed;
  bool malformed;
} engine;

/** A duty that this router holds, or would; ordered and open: when work under it was last sent, and
 * what may still be. */
typedef struct singleton_lease {
  id name;
  uint64_t epoch;
  time_us expires_at, acquired_at, outranked_since, last_order_at;
  int open_orders;
  bool wanted, held;
} singleton_lease;

/** A miss that this router has passed to the engine's holder. */
typedef struct outgoing_load_request {
  list_node link;
  id engine_id, model, adapter;
  int error_code;
  bool done;
  int waiters;
  uint64_t retry_after_ms;
  condition changed;
  struct router *router;
  unsigned priority_weight;
  time_us deadline;
} outgoing_load_request;

/** What one kind of request is doing here now. */
typedef struct request_class {
  int waiting, running;
  uint64_t requested, completed, refused, failed, shed;
} request_class;

enum { MAX_HEDGED_POLLS = 6 };
/** A question to a further core machine. late: it was not answered in the usual time. */
typedef struct hedged_poll {
  char address[48];
  time_us sent_at;
  bool in_flight, overdue;
} hedged_poll;

/** A data-plane machine. */
typedef struct router router;
struct router {
  node node;
  config *config;
  uint64_t view_epoch, config_version, fleet_id, resource_versions[RESOURCE_COUNT], sync_bytes,
      sync_count;
  GString *resources[RESOURCE_COUNT];
  time_us config_confirmed_at, admission_lost_at;
  bool ever_confirmed;
  GString *engine_list_json;
  char polled_controller[48];
  GHashTable *singleton_grants;
  condition singleton_grants_changed, state_changed, drain_completed;
  list_node engines, outgoing_load_requests, admitted_requests;
  event_history history;
  GHashTable *singleton_leases, *load_backoffs;
  char head_address[48];
  time_us head_answered_at;
  time_us next_permit_at, rate_limiter_since;
  uint64_t load_permits, load_permits_refused;
  double permits_granted_recently, permits_refused_recently;
  request_class request_classes[REQUEST_KINDS_MAX];
  double retry_budget;
  uint64_t attempt_count, retry_count, request_count, mismatched_runs, wasted_loads, load_count,
      failed_loads, unload_count, busy_unloads, isolated_refusals;
  bool draining, engine_list_known;
  time_us engine_list_at;
  int open_requests;
  double smoothed_service_ms;
  /** The compiled routing, NULL when the resource is blank; and its owner's hooks: called when a
   * digest was installed, for engines in news, and to name the duties that there are. */
  struct routing *routing;
  void *gateway;
  void (*on_installed)(void *gateway);
  void (*on_engines_changed)(void *gateway, const Wire__ConfigPollResponse *b);
  void (*for_each_singleton)(void *gateway, void (*one)(router *router, const char *duty));
  /** Writes the gateway's own part of the pages: its status, or lines of metrics. */
  void (*write_status)(void *gateway, GString *to, bool metrics);
  /** What of the engines this router has by news: of the core machine asked last, and of those
   * asked before it. */
  uint64_t registry_run, registry_seq;
  struct {
    char addr[48];
    uint64_t run, seq;
  } registry_positions[8];
  int registry_position_next;
  /** When any core machine last gave the state, and where one that had none said it is. */
  time_us controller_answered_at;
  char controller_hint[48];
  /** The core machines by how they answered; when one of them last confirmed what is in force here;
   * and which one did so while another did not answer. */
  controller_selection controller_selection;
  time_us controller_confirmed_at;
  char confirming_controller[48];
  /** Questions to further core machines that are not answered yet, and how long the last answer
   * took in ms, less the time that it was held on purpose. */
  hedged_poll hedged_polls[MAX_HEDGED_POLLS];
  int64_t last_answer_ms;
};

router *router_new(world *world, const settings *settings);
/** Stops taking requests, gives its duties back, lets streams end; `over` is signalled when done.
 */
void router_drain(router *router);
void router_free(router *router);

/* news.c */
void config_sync_start(router *router);
bool config_sync_is_recent(router *router);
/** True when this router may take new work: what it holds was confirmed lately, or most routers
 * know nothing younger. */
bool config_sync_may_admit(router *router);
/** Waits a moment for that, unless it has been missing for long. */
bool config_sync_wait_may_admit(router *router);
/** Who holds a duty by the last digest; false when nobody. */
bool config_sync_find_grant(router *router, const char *duty, id *holder, uint64_t *epoch);

/* platform.c */
void engine_list_start(router *router);
/** Takes a list that another router passes on; it adds engines and marks, and never takes one away.
 * False when it is none. */
bool engine_list_merge(router *router, string_view text, time_us at);
engine *engine_find(router *router, id who);
resident_model *engine_find_resident(engine *engine, id model, id adapter);
/** True when an engine may get new work: listed, not leaving, heard, and not in an emptied place.
 */
bool engine_accepts_work(engine *engine);
/** The streams that an engine may run now, fewer while it is cold. */
int engine_max_streams(engine *engine);
/** True when this router may send one more stream now: there is a place, and while the engine is
 * cold it is this router's. */
bool engine_has_free_slot(engine *engine);
/** The streams that run on an engine, as well as this router can tell. */
int engine_running_streams(engine *engine);
void engine_unref(engine *engine);

/* duty.c */
void singleton_lease_start(router *router);
/** The epoch of a duty that this router holds at this instant, or 0. */
uint64_t singleton_lease_epoch(router *router, const char *duty);
/** The duty of ordering an engine about. */
void singleton_engine_name(char *buf, size_t n, id engine);

/* place.c */
void model_loading_start(router *router);
void model_loading_start_engine(engine *engine);
/** Megabytes and places that a thing takes by the catalogue; false when it does not know it. */
bool model_loading_find_size(router *router, id model, id adapter, uint64_t *megs, unsigned *slots);
/** The load time to reckon with. */
double model_loading_estimate_ms(router *router, id type, id model, id adapter);

/** Tells all routers how long a load took; and takes in what another tells of loads and of what it
 * routed. */
void rate_exchange_send_load_time(router *router, id type, const char *key, double ms);
void rate_exchange_receive(router *router, const Wire__RateReport *q);

/* route.c */
void generate_api_serve(void *ctx, http_request *request);
#endif
