#ifndef EMULATOR_DAY_H
#define EMULATOR_DAY_H
/**
 * A day of a full deployment: its services, kinds of requests and injected faults. A day is read
 * from a JSON file (day_read.c), played in the simulated fleet (day_play.c) and reported
 * (day_report.c).
 */
#include "deployment.h"

enum {
  DAY_SERVICES_MAX = 16,
  DAY_KINDS_MAX = 24,
  DAY_FAULTS_MAX = 64,
  DAY_MODELS_MAX = 80,
  DAY_ZONES_MAX = 3,
};

/** Faults that a day may inject. */
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
/** Their names in files and flags. */
extern const char *const day_fault_names[DAY_FAULT_KIND_COUNT];

/** One fault. Seconds count from the start of the day. */
typedef struct day_fault {
  enum day_fault_kind kind;
  double at_s, duration_s;
  double factor;          /* of the request rate, for bursts */
  unsigned target_number; /* which host of its sort, from 1; 0: a random one */
} day_fault;

/** A service and its engines, which are all alike. */
typedef struct day_service {
  id name;
  unsigned engines, slots, queue, adapter_slots;
  double kv_tokens, weights_mb, loads_per_s, work_ms;
  engine_model_spec *models; /* owned */
  size_t model_count;        /* 0: engines without models */
} day_service;

/** A kind of requests; it has a route of its own. */
typedef struct day_kind {
  client_sim_kind kind;
  id service;
  unsigned attempts; /* that a gateway may make */
  bool affinity;
  GPtrArray *models; /* char *, "model" or "model/adapter", the most requested first; owned */
} day_kind;

/** A day; free it with day_free. */
typedef struct day {
  char name[64];
  double seconds, rate_factor;
  int controllers, gateways;
  id zones[DAY_ZONES_MAX];
  int zone_count;
  char *policy; /* JSON of the policy resource; owned */
  day_service services[DAY_SERVICES_MAX];
  size_t service_count;
  day_kind kinds[DAY_KINDS_MAX];
  size_t kind_count;
  day_fault faults[DAY_FAULTS_MAX]; /* by at_s */
  size_t fault_count;
} day;

/** Names of route modes, by enum client_sim_mode. */
enum { DAY_MODE_COUNT = 3 };
extern const char *const day_mode_names[DAY_MODE_COUNT];

/** Frees a day; NULL is fine. */
void day_free(day *day);
/** Returns a service of a day, or NULL. */
const day_service *day_find_service(const day *day, id name);
/** Returns the model that "model" or "model/adapter" names, or NULL; whether the service has the
 * adapter is not checked. */
const engine_model_spec *day_service_find_model(const day_service *service, const char *name);
#endif
