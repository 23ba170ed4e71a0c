/** Eviction candidates and eviction cost; see eviction.h. The policies themselves are in
 * lib/router/eviction_policy.c. */
#include "eviction.h"
#include "gateway.h"
#include "load_jobs.h"
#include <math.h>

enum {
  /* within this time after a load, all gateways have sent their request counts for it */
  RATE_KNOWN_MS = 4000,
  /* protection of a new resident, so that the requests it was loaded for arrive before it can be
     evicted */
  RECENT_LOAD_MS = 1000,
  RECENT_ADAPTER_LOAD_MS = 600,
  /* expected drain time: this many mean request durations, but at least DRAIN_MIN_MS */
  DRAIN_MIN_MS = 1000,
  DRAIN_MEAN_RUNS = 2
};
/* Load times in ms that are used when neither the configuration nor the history has one. */
static const double DEFAULT_LOAD_MS = 2000, DEFAULT_ADAPTER_LOAD_MS = 25;
/* A load from the engine's own disk takes this share of the time of a load from the weight store.
 */
static const double DISK_LOAD_SHARE = 0.25;
/* Cost of evicting something that has running requests, in addition to its drain. */
static const double BUSY_EVICTION_COST = 300;

double eviction_size_mb(const service *service, id model, id adapter) {
  const service_model_spec *spec = service_find_model(service, model.text);
  return !spec ? 0 : id_is_empty(adapter) ? spec->weights_mb : spec->adapter_mb;
}

double eviction_load_ms(gateway *gateway, const service *service, id model, id adapter,
                        bool from_disk) {
  event_history *history = &gateway->router->history;
  const service_model_spec *spec = service_find_model(service, model.text);
  double store_ms = spec && spec->load_ms > 0 ? spec->load_ms : DEFAULT_LOAD_MS;
  char key[140];
  event_history_format_key(key, sizeof key, model, adapter);
  if (!id_is_empty(adapter)) {
    double any_adapter_ms =
        event_history_load_ms(history, service->name, "@adapter", DEFAULT_ADAPTER_LOAD_MS);
    return event_history_load_ms(history, service->name, key, any_adapter_ms);
  }
  if (!from_disk)
    return event_history_load_ms(history, service->name, key, store_ms);
  g_strlcat(key, "@disk", sizeof key);
  return event_history_load_ms(history, service->name, key, DISK_LOAD_SHARE * store_ms);
}

double eviction_request_rate(gateway *gateway, id model, id adapter) {
  char key[140];
  event_history_format_key(key, sizeof key, model, adapter);
  double known = fleet_rates_known(gateway, key), total = fleet_rates_total(gateway, key);
  return MAX(known, total);
}

static void count_replica(GHashTable *counts, id model, id adapter) {
  gpointer key = GUINT_TO_POINTER(gateway_engine_model_key(model, adapter));
  int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, key));
  g_hash_table_insert(counts, key, GINT_TO_POINTER(count + 1));
}

void eviction_replica_counts_begin(gateway *gateway, id service) {
  GHashTable *counts = gateway->eviction.replica_counts = g_hash_table_new(NULL, NULL);
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    if (engine->gone || engine->draining || !id_equal(engine->service, service) ||
        gateway_engine_unresponsive(engine))
      continue;
    list_for_each (entry, &engine->residents.list, resident, link) {
      if (entry->unloading)
        continue;
      count_replica(counts, entry->model, id_none);
      for (guint i = 0; i < entry->adapters->len; i++)
        count_replica(counts, entry->model, id_of_text(entry->adapters->pdata[i]));
    }
  }
}

void eviction_replica_counts_end(gateway *gateway) {
  if (gateway->eviction.replica_counts)
    g_hash_table_destroy(gateway->eviction.replica_counts);
  gateway->eviction.replica_counts = NULL;
}

static int replica_count(gateway *gateway, id service, id model, id adapter) {
  GHashTable *counts = gateway->eviction.replica_counts;
  if (!counts)
    return gateway_engines_count_replicas(gateway, service, model, adapter);
  gpointer key = GUINT_TO_POINTER(gateway_engine_model_key(model, adapter));
  return GPOINTER_TO_INT(g_hash_table_lookup(counts, key));
}

/* A lower bound of the request rate of a recently loaded adapter. It loads within some ms, while
 * the counts of other gateways arrive seconds later, so its rate is not in the history yet. At
 * least one request wanted it, hence one request per time since the load. Models don't need this:
 * their rate is known before their load ends. */
static double rate_since_load(gateway *gateway, id adapter, time_us loaded_at) {
  if (id_is_empty(adapter) || !loaded_at.us ||
      !gateway_feature_enabled(gateway, FEATURE_NEW_RATE) ||
      gateway_ms_since(gateway, loaded_at) > RATE_KNOWN_MS)
    return 0;
  return 1000 / MAX(gateway_ms_since(gateway, loaded_at), 1000);
}

/* true when the requests that a model or adapter was loaded for may not have arrived yet */
static bool is_just_loaded(gateway *gateway, const resident *resident, id adapter,
                           time_us loaded_at) {
  if (!id_is_empty(adapter))
    return loaded_at.us && gateway_feature_enabled(gateway, FEATURE_NEW_RATE) &&
           gateway_ms_since(gateway, loaded_at) < RECENT_ADAPTER_LOAD_MS;
  return resident->loaded_at.us &&
         gateway_ms_since(gateway, resident->loaded_at) < RECENT_LOAD_MS &&
         resident->last_used_at.us < resident->loaded_at.us;
}

/** What the load is for; the base model that a new adapter needs is not evicted. */
typedef struct eviction_purpose {
  const service *service;
  id model, adapter;
} eviction_purpose;

/* fills in the candidate for a resident model (empty adapter) or for one of its adapters */
static void fill_candidate(gateway_engine *engine, const eviction_purpose *purpose,
                           const resident *resident, id adapter, eviction_candidate *candidate) {
  gateway *gateway = engine->gateway;
  id model = resident->model;
  bool is_base = id_is_empty(adapter);
  memset(candidate, 0, sizeof *candidate);
  candidate->model = model;
  candidate->adapter = adapter;
  candidate->weights_mb = (uint64_t)ceil(eviction_size_mb(purpose->service, model, adapter));
  candidate->slots = !is_base;
  int replicas = MAX(1, replica_count(gateway, engine->service, model, adapter));
  time_us loaded_at = gateway_engine_loaded_at(engine, model, adapter);
  double rate = eviction_request_rate(gateway, model, adapter) / replicas,
         new_rate = rate_since_load(gateway, adapter, loaded_at);
  candidate->request_rate = MAX(rate, new_rate);
  candidate->load_ms = eviction_load_ms(gateway, purpose->service, model, adapter, false);
  char key[140];
  event_history_format_key(key, sizeof key, model, adapter);
  candidate->last_requested_at = event_history_last_requested_at(&gateway->router->history, key);
  if (is_base && resident->last_used_at.us > candidate->last_requested_at.us)
    candidate->last_requested_at = resident->last_used_at;
  candidate->busy = gateway_engine_is_running(engine, model, adapter);
  candidate->pinned =
      resident->unloading || is_just_loaded(gateway, resident, adapter, loaded_at) ||
      engine_load_jobs_need(engine, model, adapter) ||
      (is_base && !id_is_empty(purpose->adapter) && id_equal(model, purpose->model));
}

int eviction_candidates(gateway_engine *engine, const service *service, id model, id adapter,
                        eviction_candidate *candidates, double *mb, unsigned *slots) {
  const eviction_purpose purpose = { service, model, adapter };
  int count = 0;
  *mb = engine->load_jobs.reserved_mb;
  *slots = engine->load_jobs.reserved_slots;
  list_for_each (entry, &engine->residents.list, resident, link) {
    const GPtrArray *unloading = entry->unloading_adapters, *adapters = entry->adapters;
    for (guint i = 0; i < unloading->len; i++)
      *mb += eviction_size_mb(service, entry->model, id_of_text(unloading->pdata[i]));
    *slots += unloading->len;
    /* the model itself (-1), then its adapters */
    for (int i = -1; i < (int)adapters->len && count < MAX_EVICTION_CANDIDATES; i++) {
      id loaded_adapter = i < 0 ? id_none : id_of_text(adapters->pdata[i]);
      *mb += eviction_size_mb(service, entry->model, loaded_adapter);
      *slots += i >= 0;
      fill_candidate(engine, &purpose, entry, loaded_adapter, &candidates[count++]);
    }
  }
  return count;
}

uint64_t eviction_random(void *context) {
  world *world = context;
  return world->random(world);
}

eviction_rule eviction_policy(gateway *gateway) {
  const config *config = gateway->router->config;
  time_us now = gateway_now(gateway);
  if (!gateway_feature_enabled(gateway, FEATURE_CREMEBRULEE))
    return (eviction_rule){ "lru", NULL, now };
  if (!config)
    return (eviction_rule){ "cremebrulee", NULL, now };
  const char *name = config->eviction_policy;
  return (eviction_rule){ name, config_formula(config, name), now };
}

capacity_shortage eviction_shortage(const service *service, double used_mb, unsigned used_slots,
                                    double add_mb, unsigned add_slots) {
  double missing_mb = used_mb + add_mb - service->weights_mb;
  unsigned needed_slots = used_slots + add_slots;
  return (capacity_shortage){ missing_mb > 0 ? (uint64_t)ceil(missing_mb) : 0,
                              needed_slots > service->adapter_slots
                                  ? needed_slots - service->adapter_slots
                                  : 0 };
}

/* the memory and slots that a load of a model (and adapter) adds on an engine */
static void added_by_load(gateway_engine *engine, const service *service, id model, id adapter,
                          double *mb, unsigned *slots) {
  *mb = 0;
  *slots = 0;
  if (!gateway_engine_resident(engine, model))
    *mb += eviction_size_mb(service, model, id_none);
  if (!id_is_empty(adapter) && !gateway_engine_has_model(engine, model, adapter)) {
    *mb += eviction_size_mb(service, model, adapter);
    *slots += 1;
  }
}

/* The cost of evicting the chosen candidates. Running requests have to finish first; until then the
 * model takes no new requests and delays the engine's other orders. */
static double eviction_cost(const gateway_engine *engine, const eviction_candidate *chosen,
                            int count, double *drain_ms) {
  double cost = 0, mean_run_ms = engine->load.mean_run_ms;
  for (int i = 0; i < count; i++) {
    double drain = chosen[i].busy ? MAX(DRAIN_MIN_MS, DRAIN_MEAN_RUNS * mean_run_ms) : 0;
    *drain_ms = MAX(*drain_ms, drain);
    cost +=
        (chosen[i].load_ms + drain) * chosen[i].request_rate + (drain > 0 ? BUSY_EVICTION_COST : 0);
  }
  return cost;
}

double eviction_placement_cost(gateway_engine *engine, const service *service, id model, id adapter,
                               double *need_mb, unsigned *need_slots, double *drain_ms) {
  eviction_candidate candidates[MAX_EVICTION_CANDIDATES];
  double used_mb;
  unsigned used_slots;
  int count =
      eviction_candidates(engine, service, model, adapter, candidates, &used_mb, &used_slots);
  added_by_load(engine, service, model, adapter, need_mb, need_slots);
  *drain_ms = 0;
  if (*need_mb > service->weights_mb || *need_slots > service->adapter_slots)
    return -1;
  capacity_shortage shortage =
      eviction_shortage(service, used_mb, used_slots, *need_mb, *need_slots);
  if (!shortage.mb && !shortage.slots)
    return 0;
  eviction_rule rule = eviction_policy(engine->gateway);
  int chosen = eviction_policy_select(&rule, candidates, count, shortage, eviction_random,
                                      engine->gateway->router->node.world);
  return chosen < 0 ? -1 : eviction_cost(engine, candidates, chosen, drain_ms);
}
