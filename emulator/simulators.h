#ifndef EMULATOR_SIMULATORS_H
#define EMULATOR_SIMULATORS_H
#include "json.h"
#include "log.h"
#include "world.h"

/* simulated engine: an engine. It keeps its own record of every order and stream, apart from what
 * it reports.
 */

/** What may go wrong with an engine. */
typedef struct engine_faults {
  int fail_loads, fail_unloads, unanswered_loads, unanswered_unloads, drop_orders, die_early;
  int64_t order_delay_ms, token_ms, break_after;
  double load_mb_per_s, slowdown;
  bool no_epochs, wrong_attempt_echo, stale_reports;
  int streams_max;
} engine_faults;
typedef struct engine_sim_order {
  time_us received_at;
  char kind;
  id model, adapter, holder;
  uint64_t epoch;
  bool accepted, over_capacity, after_freeze;
} engine_sim_order;
typedef struct engine_sim_stream {
  char attempt[96], tag[96];
  id model, adapter;
  time_us started_at, ended_at;
  int tokens;
  char outcome;
} engine_sim_stream;
/** A run that the engine refused. */
typedef struct engine_sim_refusal {
  time_us refused_at;
  char tag[96];
} engine_sim_refusal;
typedef struct engine_sim_item {
  list_node link;
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
  char state;
  time_us ready_at, reported_at;
  int running;
  uint64_t served;
  bool counted;
} engine_sim_item;
typedef struct engine_sim {
  world *world;
  id self, type, area;
  uint64_t weights_mb, report_sequence, epoch, number;
  unsigned adapter_slots;
  char boot[24];
  engine_faults faults;
  list_node items;
  int running;
  condition report_changed;
  GArray *orders, *streams, *refusals;
  time_us started_at;
  uint64_t stale_orders, over_capacity_orders, orphaning_unloads, prefix_hits, cut;
  time_us unfrozen_at;
  GQueue prefixes;
  GString *old_report;
  /** Called with each line of the record as it is written, so that it outlives the process; or
   * NULL. */
  void (*on_record)(void *ctx, const char *line);
  void *on_record_context;
} engine_sim;

engine_sim *engine_sim_new(world *world, id self, id type, id area, uint64_t weights_mb,
                           unsigned slots);
void engine_sim_free(engine_sim *engine);
/** The engine's record as JSON. */
void engine_sim_record(engine_sim *engine, GString *to);

/* platform simulator: the platform, which lists engines and marks those that leave */
typedef struct platform_sim_engine {
  id self, type, area;
  char addr[48];
  uint64_t weights_mb;
  unsigned adapter_slots;
  bool draining, off_list;
  time_us since;
} platform_sim_engine;
/** A change of the list, as the platform recorded it. */
typedef struct platform_sim_change {
  time_us changed_at;
  id engine;
  bool draining, off_list;
} platform_sim_change;
typedef struct platform_sim {
  world *world;
  GArray *engines, *changes;
  uint64_t list_requests;
} platform_sim;
platform_sim *platform_sim_new(world *world);
void platform_sim_free(platform_sim *platform);
/** Replaces the list by one in JSON; false when it is none. */
bool platform_sim_replace_engines(platform_sim *platform, const json *json);
platform_sim_engine *platform_sim_find(platform_sim *platform, id who);
/** Marks an engine as leaving, or not, and takes it off the list, or puts it on; the record keeps
 * every change. */
void platform_sim_set_engine_state(platform_sim *platform, id who, bool leaving, bool out);

/* load generator: the callers. Every request carries a tag, and every event that comes back is held
 * against it. */
enum loadgen_outcome {
  OUTCOME_OPEN,
  OUTCOME_DONE,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN,
  OUTCOME_BROKEN,
  OUTCOME_NO_ANSWER,
  OUTCOME_WRONG,
  OUTCOME_LEFT
};
typedef struct loadgen_request {
  char tag[96];
  id model, adapter, kind;
  enum loadgen_outcome outcome;
  int status, code, tokens, retry_s, attempt_count;
  time_us started_at, first_event_at, ended_at, back;
  bool resumable;
} loadgen_request;
/** One try of a caller, as the caller saw it; an attempt has several when it was told to come back.
 */
typedef struct loadgen_attempt {
  loadgen_request *request;
  char router[48];
  time_us started_at, first_event_at, ended_at;
  enum loadgen_outcome outcome;
  int status, code, retry_s;
} loadgen_attempt;
typedef struct loadgen_plan {
  GPtrArray *routers;
  GArray *models, *adapters;
  double requests_per_s, zipf_exponent, adapter_ratio, leave_ratio;
  int kind_share[3], tokens;
  const char *kinds[3];
  int prefixes, attempts_max;
  int64_t timeout_ms;
} loadgen_plan;
typedef struct loadgen {
  world *world;
  loadgen_plan plan;
  GPtrArray *requests;
  GArray *attempts;
  int open_requests;
  uint64_t count;
  bool stop;
  condition idle;
  id self;
} loadgen;
loadgen *loadgen_new(world *world, id self);
void loadgen_free(loadgen *loadgen);
/** Names a model (adapter empty) or an adapter on it that may be asked for. */
void loadgen_add_target(loadgen *loadgen, id model, id adapter);
/** Sends one request in a task of its own; the attempt may be looked at while it runs. */
loadgen_request *loadgen_send(loadgen *loadgen, const char *router, id model, id adapter, id kind,
                              int tokens, bool resumable);
/** Sends by the plan until stop, in a task of its own. */
void loadgen_start(loadgen *loadgen);
/** The outcomes as JSON. */
void loadgen_json(loadgen *loadgen, GString *to);
/** How many attempts ended in a way. */
int loadgen_count(const loadgen *loadgen, enum loadgen_outcome how);
#endif
