#ifndef EMULATOR_DAY_H
#define EMULATOR_DAY_H
/**
 * An emulated day: a scenario with the services of a full deployment, its kinds of requests and the
 * faults to inject. A day is read from a JSON file (day_read.c), played in a simulated fleet
 * (day_play.c) and reported (day_report.c).
 */
#include "deployment.h"

enum {
  DAY_SERVICES_MAX = 16,
  DAY_KINDS_MAX = 24,
  DAY_FAULTS_MAX = 64,
  DAY_MODELS_MAX = 80,
  DAY_ZONES_MAX = 3,
};

/** Kinds of faults that a day can inject. */
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
/** Names of the kinds of faults in files and command-line flags. */
extern const char *const day_fault_names[DAY_FAULT_KIND_COUNT];

/** One fault. Times are in seconds since the start of the day. */
typedef struct day_fault {
  enum day_fault_kind kind;
  double at_s, duration_s;
  double factor;          /* for bursts: factor of the request rate */
  unsigned target_number; /* number of the host among those of its role, from 1; 0: a random one */
} day_fault;

/** A service and its engines, which are identical. */
typedef struct day_service {
  id name;
  unsigned engines, slots, queue, adapter_slots;
  double kv_tokens, weights_mb, loads_per_s, work_ms;
  engine_model_spec *models; /* owned */
  size_t model_count;        /* 0: the engines serve requests without a model */
} day_service;

/** A kind of requests, with its route. */
typedef struct day_kind {
  client_sim_kind kind;
  id service;
  unsigned attempts; /* most attempts of a gateway for one request */
  bool affinity;
  GPtrArray *models; /* char *, "model" or "model/adapter", the most requested first; owned */
} day_kind;

/** An emulated day; free it with day_free. */
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
  day_fault faults[DAY_FAULTS_MAX]; /* sorted by at_s */
  size_t fault_count;
} day;

/** Names of route modes, by enum client_sim_mode. */
enum { DAY_MODE_COUNT = 3 };
extern const char *const day_mode_names[DAY_MODE_COUNT];

/** Frees a day, which may be NULL. */
void day_free(day *day);
/** Returns a service of a day, or NULL. */
const day_service *day_find_service(const day *day, id name);
/** Finds the model of a name "model" or "model/adapter", or NULL. Does not check whether the
 * service has the adapter. */
const engine_model_spec *day_service_find_model(const day_service *service, const char *name);
#endif
