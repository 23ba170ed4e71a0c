/** What an engine may lose for a load: sizes, load times and rates of what it holds, the rule's
 * candidates, and what a placement would cost. */
#include "loader_internal.h"
#include <math.h>

/* sizes and times */
double thing_size_mb(const service *service, id model, id adapter) {
  const service_model_spec *m = service_find_model(service, model.text);
  return !m ? 0 : id_is_empty(adapter) ? m->weights_mb : m->adapter_mb;
}

/* the load time to reckon with: one out of the store and one from the engine's own disk are learnt
 * apart */
double thing_load_ms(gateway *gateway, const service *service, id model, id adapter, bool warm) {
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

double thing_rate(gateway *gateway, id model, id adapter) {
  char key[140];
  event_history_format_key(key, sizeof key, model, adapter);
  /* demand moves within seconds: half of the weight lies on the latest of them */
  double own =
      0.5 * event_history_request_rate(&gateway->router->history, key) +
      0.5 * event_history_recent_rate(&gateway->router->history, key, time_from_ms(RECENT_RATE_MS));
  whole_rate *w =
      gateway->nodes > FEW_NODES ? g_hash_table_lookup(gateway->rates_whole, key) : NULL;
  return w && !time_reached(now_of(gateway), time_add(w->at, time_from_ms(4 * WHOLE_MS)))
             ? MAX(own, w->rate)
             : own;
}

static bool wanted_here(instance *instance, id model, id adapter) {
  list_for_each (job, &instance->orders, place_job, link)
    if (!job->done && id_equal(job->model, model) &&
        (id_is_empty(adapter) || id_equal(job->adapter, adapter)))
      return true;
  return false;
}

/* counts copies of all that a service's engines hold, for the time of one choice: one by one, each
   engine's each resident would look through all engines again */
void copies_count(gateway *gateway, id service) {
  gateway->copies = g_hash_table_new(NULL, NULL);
  list_for_each (i, &gateway->instances, instance, link) {
    if (i->gone || i->leaving || !id_equal(i->service, service) || instance_lost(i))
      continue;
    list_for_each (r, &i->residents, resident, link) {
      if (r->unloading)
        continue;
      for (int k = -1; k < (int)r->adapters->len; k++) {
        gpointer key =
            GUINT_TO_POINTER(run_key(r->model, k < 0 ? none : id_of_text(r->adapters->pdata[k])));
        g_hash_table_insert(
            gateway->copies, key,
            GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(gateway->copies, key)) + 1));
      }
    }
  }
}

void copies_forget(gateway *gateway) {
  if (gateway->copies)
    g_hash_table_destroy(gateway->copies);
  gateway->copies = NULL;
}

static int copies_counted(gateway *gateway, id service, id model, id adapter) {
  if (!gateway->copies)
    return instance_copies(gateway, service, model, adapter);
  return GPOINTER_TO_INT(
      g_hash_table_lookup(gateway->copies, GUINT_TO_POINTER(run_key(model, adapter))));
}

/* The rate of an adapter that was loaded of late is not in the history yet: it comes in some ms,
 * and counts of other nodes come seconds later. It was wanted once at least, so one request in the
 * time since is its rate at the least. A model takes longer to load than its rate to be known. */
static double rate_since_load(gateway *gateway, id adapter, time_us loaded_at) {
  if (id_is_empty(adapter) || !loaded_at.us || !gateway_uses(gateway, MECHANISM_NEW_RATE) ||
      since_ms(gateway, loaded_at) > RATE_KNOWN_MS)
    return 0;
  return 1000 / MAX(since_ms(gateway, loaded_at), 1000);
}

/* what came up a moment ago, for requests that are only now told of it */
static bool just_loaded(gateway *gateway, const resident *resident, id adapter, time_us loaded_at) {
  if (!id_is_empty(adapter))
    return loaded_at.us && gateway_uses(gateway, MECHANISM_NEW_RATE) &&
           since_ms(gateway, loaded_at) < YOUNG_ADAPTER_MS;
  return resident->up_at.us && since_ms(gateway, resident->up_at) < YOUNG_MS &&
         resident->last_used.us < resident->up_at.us;
}

/* what is on an engine, as the rule sees it; gives the number of them */
int eviction_candidates(instance *instance, const service *service, id model, id adapter,
                        eviction_candidate *all, double *mb, unsigned *slots) {
  gateway *gateway = instance->gateway;
  int n = 0;
  *mb = instance->owed_mb;
  *slots = instance->owed_slots;
  list_for_each (r, &instance->residents, resident, link) {
    for (guint k = 0; k < r->leaving->len; k++)
      *mb += thing_size_mb(service, r->model, id_of_text(r->leaving->pdata[k]));
    *slots += r->leaving->len;
    for (int k = -1; k < (int)r->adapters->len && n < CANDS; k++) {
      eviction_candidate *candidate = &all[n++];
      memset(candidate, 0, sizeof *candidate);
      candidate->model = r->model;
      if (k >= 0)
        candidate->adapter = id_of_text(r->adapters->pdata[k]);
      double size = thing_size_mb(service, candidate->model, candidate->adapter);
      *mb += size;
      *slots += k >= 0;
      candidate->weights_mb = (uint64_t)ceil(size);
      candidate->slots = k >= 0;
      int copies =
          MAX(1, copies_counted(gateway, instance->service, candidate->model, candidate->adapter));
      time_us loaded_at = instance_loaded_at(instance, candidate->model, candidate->adapter);
      candidate->request_rate =
          MAX(thing_rate(gateway, candidate->model, candidate->adapter) / copies,
              rate_since_load(gateway, candidate->adapter, loaded_at));
      candidate->load_ms =
          thing_load_ms(gateway, service, candidate->model, candidate->adapter, false);
      char key[140];
      event_history_format_key(key, sizeof key, candidate->model, candidate->adapter);
      time_us used = event_history_last_requested_at(&gateway->router->history, key);
      candidate->last_requested_at = k < 0 && r->last_used.us > used.us ? r->last_used : used;
      candidate->busy = instance_runs(instance, candidate->model, candidate->adapter);
      candidate->pinned = r->unloading || just_loaded(gateway, r, candidate->adapter, loaded_at) ||
                          wanted_here(instance, candidate->model, candidate->adapter) ||
                          (k < 0 && !id_is_empty(adapter) && id_equal(r->model, model));
    }
  }
  return n;
}

uint64_t eviction_chance(void *w) {
  return ((world *)w)->random(w);
}

/* the policy resource says by what the least worth is told; the paper's rule stands until there is
 * one */
eviction_rule eviction_policy(gateway *gateway) {
  const config *config = gateway->router->config;
  if (!gateway_uses(gateway, MECHANISM_CREMEBRULEE))
    return (eviction_rule){ "lru", NULL, now_of(gateway) };
  return config
             ? (eviction_rule){ config->eviction_policy,
                                config_formula(config, config->eviction_policy), now_of(gateway) }
             : (eviction_rule){ "cremebrulee", NULL, now_of(gateway) };
}

capacity_shortage eviction_lack(const service *service, double mb, unsigned slots, double add_mb,
                                unsigned add_slots) {
  double over = mb + add_mb - service->weights_mb;
  capacity_shortage l = { over > 0 ? (uint64_t)ceil(over) : 0,
                          slots + add_slots > service->adapter_slots
                              ? slots + add_slots - service->adapter_slots
                              : 0 };
  return l;
}

/* room that is missing for a thing and its base */
static void needs(instance *instance, const service *service, id model, id adapter, double *mb,
                  unsigned *slots) {
  *mb = 0;
  *slots = 0;
  if (!instance_resident(instance, model))
    *mb += thing_size_mb(service, model, none);
  if (!id_is_empty(adapter) && !instance_holds(instance, model, adapter)) {
    *mb += thing_size_mb(service, model, adapter);
    *slots += 1;
  }
}

double place_cost(instance *instance, const service *service, id model, id adapter, double *need_mb,
                  unsigned *need_slots, double *drain_ms) {
  eviction_candidate all[CANDS];
  double mb, add;
  unsigned slots, more;
  int n = eviction_candidates(instance, service, model, adapter, all, &mb, &slots);
  needs(instance, service, model, adapter, &add, &more);
  *need_mb = add;
  *need_slots = more;
  *drain_ms = 0;
  if (add > service->weights_mb || more > service->adapter_slots)
    return -1;
  capacity_shortage l = eviction_lack(service, mb, slots, add, more);
  if (!l.mb && !l.slots)
    return 0;
  eviction_rule rule = eviction_policy(instance->gateway);
  int got = eviction_policy_select(&rule, all, n, l, eviction_chance,
                                   instance->gateway->router->node.world);
  if (got < 0)
    return -1;
  double cost = 0;
  /* what runs has to end first; meanwhile it takes no new work, and holds the engine's other orders
   * up */
  for (int k = 0; k < got; k++) {
    double drain = all[k].busy ? MAX(DRAIN_LEAST_MS, 2 * instance->usual_run) : 0;
    *drain_ms = MAX(*drain_ms, drain);
    cost += (all[k].load_ms + drain) * all[k].request_rate + (drain > 0 ? BUSY_COST : 0);
  }
  return cost;
}
