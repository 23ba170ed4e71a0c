#ifndef EMULATOR_DAY_H
#define EMULATOR_DAY_H
#include "deployment.h"

/* a day of a whole deployment in the fleet in memory: what it is, what goes wrong on it, and what
 * came out */

enum { DAY_SERVICES_MAX = 16, DAY_KINDS_MAX = 24, DAY_FAULTS_MAX = 64, DAY_MODELS_MAX = 80 };

/** What may go wrong. */
enum day_fault_kind {
  DAY_ENGINE_CRASH,
  DAY_ENGINE_POWER_OFF,
  DAY_ENGINE_DEGRADED,
  DAY_ENGINE_DRAIN,
  DAY_GATEWAY_KILL,
  DAY_GATEWAY_DRAIN,
  DAY_GATEWAY_FREEZE,
  DAY_CONTROLLER_KILL,
  DAY_CONTROLLER_PARTITION,
  DAY_CONTROLLER_WIPE,
  DAY_CONFIG_CHANGE,
  DAY_CONFIG_RACE,
  DAY_CONFIG_INVALID,
  DAY_BURST,
  DAY_MODEL_SHIFT,
  DAY_FAULT_KIND_COUNT
};
/** Their names, as files and flags have them. */
extern const char *const day_fault_names[DAY_FAULT_KIND_COUNT];
/** One trouble: when, for how long (0: its usual span), on the which-th machine of its sort (0: one
 * is drawn), how strong. */
typedef struct day_fault {
  enum day_fault_kind kind;
  double at_s, duration_s, factor;
  unsigned target_number;
} day_fault;

typedef struct day_service {
  id name;
  unsigned engines, slots, queue, adapter_slots;
  double kv_tokens, weights_mb, loads_per_s, work_ms;
  engine_model_spec *models;
  size_t model_count;
} day_service;
/** A kind of request; it has a route of its own. */
typedef struct day_kind {
  client_sim_kind kind;
  id service;
  unsigned attempts;
  bool affinity;
  GPtrArray *models;
} day_kind;

typedef struct day {
  char name[64];
  double seconds, rate_factor;
  int controllers, gateways;
  id zones[3];
  int zone_count;
  char *policy;
  day_service services[DAY_SERVICES_MAX];
  size_t service_count;
  day_kind kinds[DAY_KINDS_MAX];
  size_t kind_count;
  day_fault faults[DAY_FAULTS_MAX];
  size_t fault_count;
} day;

/** Reads a day's file; NULL with err (a code and where) when it is bad. */
day *day_read(string_view text, error *err);
void day_free(day *day);
/** Adds a trouble by its flag, WHAT@AT[:FOR][,factor=X][,which=N], in seconds. */
enum error_code day_add_fault(day *day, const char *flag, error *err);
/** Puts another eviction policy into the day's policy resource; expr:EXPRESSION is one too. */
enum error_code day_set_eviction(day *day, const char *policy, error *err);

/** Counts of one kind, one zone or the whole. */
typedef struct day_totals {
  char name[64];
  uint64_t sent, served, in_target, late, refused, timed_out, broken, unanswered, first_count;
  double first_ms;
} day_totals;
enum { DAY_STEPS_MAX = 2000, DAY_STEP_MS = 2000 };
typedef struct day_step {
  uint32_t sent, served, in_target;
} day_step;
typedef struct day_result {
  uint64_t seed;
  char eviction[48];
  day_totals total, kind_totals[DAY_KINDS_MAX], zone_totals[3];
  size_t kind_count;
  int zone_count;
  day_step step_counts[DAY_STEPS_MAX];
  size_t step_count;
  uint64_t orders, loads, unloads, cold_loads, attempts, retries, not_run, heartbeats, reports,
      messages, bytes;
  double cpu_s, virtual_s;
  char *violations; /* the rules that broke, a line each; empty when all were kept */
} day_result;
/** Plays a day; false when the fleet did not come up (broke says why). */
bool day_play(const day *day, uint64_t seed, bool loud, day_result *result);
void day_result_clear(day_result *result);
/** The report as text, as JSON, and the served of each step of one or two days as a plot (SVG). */
void day_report_text(const day *day, const day_result *result, GString *to);
void day_report_json(const day *day, const day_result *result, GString *to);
void day_report_plot(const day *day, const day_result *a, const char *a_name, const day_result *b,
                     const char *b_name, GString *to);

/** Figures that two sides are held against each other by. */
enum { DAY_SERVED, DAY_IN_TARGET, DAY_FIRST_RESPONSE, DAY_LOADS, DAY_RETRIES, DAY_FIGURE_COUNT };
extern const char *const day_figure_names[DAY_FIGURE_COUNT];
double day_figure(const day_result *result, int which);
/** Mean of differences and the half width of its 95 % interval (Student's t); half is -1 with fewer
 * than two. */
void day_paired_interval(const double *diff, size_t n, double *mean, double *half);
#endif
