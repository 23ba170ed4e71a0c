/** What an engine may lose for a load: sizes, load times and rates of what it holds, the rule's
 * candidates, and what a placement would cost. */
#include "gateway.h"
#include <math.h>

enum {
  RATE_KNOWN_MS = 4000,
  RECENT_LOAD_MS = 1000,
  RECENT_ADAPTER_LOAD_MS = 600,
  DRAIN_MIN_MS = 1000,
  BUSY_EVICTION_COST = 300
};

/* sizes and times */
double eviction_size_mb(const service *service, id model, id adapter) {
  const service_model_spec *m = service_find_model(service, model.text);
  return !m ? 0 : id_is_empty(adapter) ? m->weights_mb : m->adapter_mb;
}

/* the load time to reckon with: one out of the store and one from the engine's own disk are learnt
 * apart */
double eviction_load_ms(gateway *gateway, const service *service, id model, id adapter, bool warm) {
  char key[140];
  const service_model_spec *m = service_find_model(service, model.text);
  double cold = m && m->load_ms > 0 ? m->load_ms : 2000;
  event_history_format_key(key, sizeof key, model, adapter);
  if (!id_is_empty(adapter))
    return event_history_load_ms(
        &gateway->router->history, service->name, key,
        event_history_load_ms(&gateway->router->history, service->name, "@adapter", 25));
  if (!warm)
    return event_history_load_ms(&gateway->router->history, service->name, key, cold);
  g_strlcat(key, "@disk", sizeof key);
  return event_history_load_ms(&gateway->router->history, service->name, key, 0.25 * cold);
}

double eviction_request_rate(gateway *gateway, id model, id adapter) {
  char key[140];
  event_history_format_key(key, sizeof key, model, adapter);
  /* demand moves within seconds: half of the weight lies on the latest of them */
  double own =
      0.5 * event_history_request_rate(&gateway->router->history, key) +
      0.5 * event_history_recent_rate(&gateway->router->history, key, time_from_ms(RECENT_RATE_MS));
  return MAX(own, fleet_rates_total(gateway, key));
}

/* counts copies of all that a service's engines hold, for the time of one choice: one by one, each
   engine's each resident would look through all engines again */
void eviction_replica_counts_begin(gateway *gateway, id service) {
  gateway->eviction.replica_counts = g_hash_table_new(NULL, NULL);
  list_for_each (i, &gateway->engines.list, gateway_engine, link) {
    if (i->gone || i->draining || !id_equal(i->service, service) || gateway_engine_unresponsive(i))
      continue;
    list_for_each (r, &i->residents.list, resident, link) {
      if (r->unloading)
        continue;
      for (int k = -1; k < (int)r->adapters->len; k++) {
        gpointer key = GUINT_TO_POINTER(gateway_engine_model_key(
            r->model, k < 0 ? id_none : id_of_text(r->adapters->pdata[k])));
        g_hash_table_insert(
            gateway->eviction.replica_counts, key,
            GINT_TO_POINTER(
                GPOINTER_TO_INT(g_hash_table_lookup(gateway->eviction.replica_counts, key)) + 1));
      }
    }
  }
}

void eviction_replica_counts_end(gateway *gateway) {
  if (gateway->eviction.replica_counts)
    g_hash_table_destroy(gateway->eviction.replica_counts);
  gateway->eviction.replica_counts = NULL;
}

static int replicas_counted(gateway *gateway, id service, id model, id adapter) {
  if (!gateway->eviction.replica_counts)
    return gateway_engines_count_replicas(gateway, service, model, adapter);
  return GPOINTER_TO_INT(
      g_hash_table_lookup(gateway->eviction.replica_counts,
                          GUINT_TO_POINTER(gateway_engine_model_key(model, adapter))));
}

/* The rate of an adapter that was loaded of late is not in the history yet: it comes in some ms,
 * and counts of other nodes come seconds later. It was wanted once at least, so one request in the
 * time since is its rate at the least. A model takes longer to load than its rate to be known. */
static double rate_since_load(gateway *gateway, id adapter, time_us loaded_at) {
  if (id_is_empty(adapter) || !loaded_at.us ||
      !gateway_feature_enabled(gateway, FEATURE_NEW_RATE) ||
      gateway_ms_since(gateway, loaded_at) > RATE_KNOWN_MS)
    return 0;
  return 1000 / MAX(gateway_ms_since(gateway, loaded_at), 1000);
}

/* what came up a moment ago, for requests that are only now told of it */
static bool just_loaded(gateway *gateway, const resident *resident, id adapter, time_us loaded_at) {
  if (!id_is_empty(adapter))
    return loaded_at.us && gateway_feature_enabled(gateway, FEATURE_NEW_RATE) &&
           gateway_ms_since(gateway, loaded_at) < RECENT_ADAPTER_LOAD_MS;
  return resident->loaded_at.us &&
         gateway_ms_since(gateway, resident->loaded_at) < RECENT_LOAD_MS &&
         resident->last_used_at.us < resident->loaded_at.us;
}

/* what is on an engine, as the rule sees it; gives the number of them */
int eviction_candidates(gateway_engine *engine, const service *service, id model, id adapter,
                        eviction_candidate *all, double *mb, unsigned *slots) {
  gateway *gateway = engine->gateway;
  int n = 0;
  *mb = engine->load_jobs.reserved_mb;
  *slots = engine->load_jobs.reserved_slots;
  list_for_each (r, &engine->residents.list, resident, link) {
    for (guint k = 0; k < r->unloading_adapters->len; k++)
      *mb += eviction_size_mb(service, r->model, id_of_text(r->unloading_adapters->pdata[k]));
    *slots += r->unloading_adapters->len;
    for (int k = -1; k < (int)r->adapters->len && n < MAX_EVICTION_CANDIDATES; k++) {
      eviction_candidate *candidate = &all[n++];
      memset(candidate, 0, sizeof *candidate);
      candidate->model = r->model;
      if (k >= 0)
        candidate->adapter = id_of_text(r->adapters->pdata[k]);
      double size = eviction_size_mb(service, candidate->model, candidate->adapter);
      *mb += size;
      *slots += k >= 0;
      candidate->weights_mb = (uint64_t)ceil(size);
      candidate->slots = k >= 0;
      int copies =
          MAX(1, replicas_counted(gateway, engine->service, candidate->model, candidate->adapter));
      time_us loaded_at = gateway_engine_loaded_at(engine, candidate->model, candidate->adapter);
      candidate->request_rate =
          MAX(eviction_request_rate(gateway, candidate->model, candidate->adapter) / copies,
              rate_since_load(gateway, candidate->adapter, loaded_at));
      candidate->load_ms =
          eviction_load_ms(gateway, service, candidate->model, candidate->adapter, false);
      char key[140];
      event_history_format_key(key, sizeof key, candidate->model, candidate->adapter);
      time_us used = event_history_last_requested_at(&gateway->router->history, key);
      candidate->last_requested_at = k < 0 && r->last_used_at.us > used.us ? r->last_used_at : used;
      candidate->busy = gateway_engine_is_running(engine, candidate->model, candidate->adapter);
      candidate->pinned = r->unloading || just_loaded(gateway, r, candidate->adapter, loaded_at) ||
                          engine_load_jobs_need(engine, candidate->model, candidate->adapter) ||
                          (k < 0 && !id_is_empty(adapter) && id_equal(r->model, model));
    }
  }
  return n;
}

uint64_t eviction_random(void *w) {
  return ((world *)w)->random(w);
}

/* the policy resource says by what the least worth is told; the paper's rule stands until there is
 * one */
eviction_rule eviction_policy(gateway *gateway) {
  const config *config = gateway->router->config;
  if (!gateway_feature_enabled(gateway, FEATURE_CREMEBRULEE))
    return (eviction_rule){ "lru", NULL, gateway_now(gateway) };
  return config ? (eviction_rule){ config->eviction_policy,
                                   config_formula(config, config->eviction_policy),
                                   gateway_now(gateway) }
                : (eviction_rule){ "cremebrulee", NULL, gateway_now(gateway) };
}

capacity_shortage eviction_shortage(const service *service, double mb, unsigned slots,
                                    double add_mb, unsigned add_slots) {
  double over = mb + add_mb - service->weights_mb;
  capacity_shortage l = { over > 0 ? (uint64_t)ceil(over) : 0,
                          slots + add_slots > service->adapter_slots
                              ? slots + add_slots - service->adapter_slots
                              : 0 };
  return l;
}

/* room that is missing for a thing and its base */
static void missing_capacity(gateway_engine *engine, const service *service, id model, id adapter,
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

double eviction_placement_cost(gateway_engine *engine, const service *service, id model, id adapter,
                               double *need_mb, unsigned *need_slots, double *drain_ms) {
  eviction_candidate all[MAX_EVICTION_CANDIDATES];
  double mb, add;
  unsigned slots, more;
  int n = eviction_candidates(engine, service, model, adapter, all, &mb, &slots);
  missing_capacity(engine, service, model, adapter, &add, &more);
  *need_mb = add;
  *need_slots = more;
  *drain_ms = 0;
  if (add > service->weights_mb || more > service->adapter_slots)
    return -1;
  capacity_shortage l = eviction_shortage(service, mb, slots, add, more);
  if (!l.mb && !l.slots)
    return 0;
  eviction_rule rule = eviction_policy(engine->gateway);
  int got = eviction_policy_select(&rule, all, n, l, eviction_random,
                                   engine->gateway->router->node.world);
  if (got < 0)
    return -1;
  double cost = 0;
  /* what runs has to end first; meanwhile it takes no new work, and holds the engine's other orders
   * up */
  for (int k = 0; k < got; k++) {
    double drain = all[k].busy ? MAX(DRAIN_MIN_MS, 2 * engine->load.mean_run_ms) : 0;
    *drain_ms = MAX(*drain_ms, drain);
    cost += (all[k].load_ms + drain) * all[k].request_rate + (drain > 0 ? BUSY_EVICTION_COST : 0);
  }
  return cost;
}
