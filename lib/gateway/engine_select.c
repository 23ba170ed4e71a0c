#include "gateway.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  CANDS = 512,
  MAX_PREFIX_BLOCKS = 32,
  SLOW_MS = 1000,
  REPLICA_REQUEST_INTERVAL_MS = 1500,
  SUSPECT_TRIAL_MS = 1000,
  UNHEALTHY_COST = 3000,
  LARGE_FLEET_NODES = 16
};

double engine_select_estimate_ms(double base_ms, double ms_per_token, double ahead, double fresh,
                                 int running, unsigned slots, double run_ms) {
  double full = slots ? (double)running / slots : 0;
  double ms = (base_ms + ms_per_token * (ahead + fresh)) * (1 + 0.3 * MIN(1, full));
  if (slots && running >= (int)slots)
    ms += (running - (int)slots + 1) * run_ms / slots;
  return ms;
}

int engine_select_parse_prefix(const char *prefix, id model, id adapter, uint64_t *chain,
                               double *upto, int most) {
  int n = 0;
  double sum = 0;
  uint64_t h = hash_two_names(model.text, adapter.text);
  for (const char *p = prefix; p && *p && n < most;) {
    size_t len = strcspn(p, ","), name = strcspn(p, ":,");
    h = hash_bytes(p, name, h);
    if (name < len)
      sum += CLAMP(atof(p + name + 1), 0, 1e7);
    chain[n] = h;
    upto[n++] = sum;
    p += len;
    p += *p == ',';
  }
  return n;
}

/* the chain's last part that an engine is known to keep; what was read there since may have pushed
 * it out */
static int cached_prefix_length(const gateway_engine *engine, const uint64_t *chain, int n,
                                double kv) {
  if (!engine->cached_prefixes)
    return 0;
  double most = kv > 0 ? 0.8 * kv / MAX(engine->gateway->router_count, 1) : 1e9;
  int got = 0;
  for (int k = 0; k < n; k++) {
    cached_prefix_block *s =
        &engine->cached_prefixes[chain[k] % PREFIX_CACHE_SETS * PREFIX_CACHE_WAYS];
    bool there = false;
    for (int w = 0; w < PREFIX_CACHE_WAYS && !there; w++)
      there =
          s[w].prefix_hash == chain[k] && engine->prefilled_tokens - s[w].prefilled_tokens < most;
    if (!there)
      break;
    got = k + 1;
  }
  return got;
}

static void cached_prefix_record(gateway_engine *engine, const uint64_t *chain, int n) {
  if (!n)
    return;
  if (!engine->cached_prefixes)
    engine->cached_prefixes = g_new0(cached_prefix_block, PREFIX_CACHE_SETS * PREFIX_CACHE_WAYS);
  for (int k = 0; k < n; k++) {
    cached_prefix_block
        *s = &engine->cached_prefixes[chain[k] % PREFIX_CACHE_SETS * PREFIX_CACHE_WAYS],
        *to = s;
    for (int w = 0; w < PREFIX_CACHE_WAYS; w++) {
      if (s[w].prefix_hash == chain[k]) {
        to = &s[w];
        break;
      }
      if (!s[w].prefix_hash || (to->prefix_hash && s[w].prefilled_tokens < to->prefilled_tokens))
        to = &s[w];
    }
    *to = (cached_prefix_block){ chain[k], engine->prefilled_tokens };
  }
}

static bool is_excluded(const engine_select_request *q, id who) {
  for (int k = 0; k < q->excluded_count; k++)
    if (id_equal(q->excluded[k], who))
      return true;
  return false;
}

typedef struct slow_estimate {
  time_us seen_at, requested_at;
} slow_estimate;

/* a model whose best estimate is slow for a second request within a second, or because of others
   that wait there, gets one more copy: where nodes are many, each of them sees few requests of a
   model */
static void request_extra_replica(gateway *gateway, const engine_select_request *q, double est,
                                  double queue_ms) {
  if (!q->target_ms || !gateway_feature_enabled(gateway, FEATURE_REPLICAS) ||
      est < (q->policy ? q->policy : &select_policy_default)->scale_out_threshold *
                (double)q->target_ms)
    return;
  char key[160];
  snprintf(key, sizeof key, "%s/%s+%s", q->service->name.text, q->model.text, q->adapter.text);
  time_us now = world_now(gateway->router->node.world);
  slow_estimate *s = g_hash_table_lookup(gateway->slow_estimates, key);
  if (!s) {
    s = g_new0(slow_estimate, 1);
    g_hash_table_insert(gateway->slow_estimates, g_strdup(key), s);
  }
  bool again =
      (gateway->router_count > LARGE_FLEET_NODES && queue_ms > 0.4 * (double)q->target_ms) ||
      (s->seen_at.us && !time_reached(now, time_add(s->seen_at, time_from_ms(SLOW_MS))));
  s->seen_at = now;
  if (!again ||
      (s->requested_at.us &&
       !time_reached(now, time_add(s->requested_at, time_from_ms(REPLICA_REQUEST_INTERVAL_MS)))))
    return;
  s->requested_at = now;
  double ms;
  int64_t wait;
  load_request_submit(gateway, q->service, q->model, q->adapter, q->priority, true, &ms, &wait);
}

gateway_engine *engine_select(gateway *gateway, const engine_select_request *q,
                              enum engine_select_result *why, double *est_ms) {
  const service *service = q->service;
  const select_policy *o = q->policy ? q->policy : &select_policy_default;
  gateway_engine *c[CANDS];
  int n = 0, held = 0, open = 0, any = 0;
  time_us now = world_now(gateway->router->node.world);
  bool llm = !id_is_empty(q->model);
  list_for_each (i, &gateway->engines, gateway_engine, link) {
    if (i->gone || i->draining || !id_equal(i->service, service->name))
      continue;
    if (i->ends_at.us && time_reached(time_add(now, time_from_ms(1000)), i->ends_at))
      continue;
    any++;
    if (!gateway_engine_has_model(i, q->model, q->adapter))
      continue;
    gateway_engine_check(i);
    held += !gateway_engine_unresponsive(i);
    if (is_excluded(q, i->engine_id))
      continue;
    open += !(i->ejected_until.us > now.us);
    if (n < CANDS)
      c[n++] = i;
  }
  *est_ms = 0;
  *why = !any ? ENGINE_SELECT_NO_ENGINE : !held ? ENGINE_SELECT_NO_MODEL : ENGINE_SELECT_ALL_BUSY;
  if (!n)
    return NULL;
  /* when fewer than half would be left, those that have answered at all of late are let in again */
  bool soft = open * 2 < held;
  uint64_t chain[MAX_PREFIX_BLOCKS];
  double upto[MAX_PREFIX_BLOCKS];
  bool by_prefix = llm && q->prefix && gateway_feature_enabled(gateway, FEATURE_PREFIX);
  int parts = by_prefix ? engine_select_parse_prefix(q->prefix, q->model, q->adapter, chain, upto,
                                                     MAX_PREFIX_BLOCKS)
                        : 0;
  int shared = MAX(parts - 1, 0);
  double shared_tokens = shared ? MIN(upto[shared - 1], q->tokens) : 0;
  const gateway_engine *home = NULL;
  uint64_t top = 0;
  for (int k = 0; shared && k < n; k++) {
    uint64_t h = hash_bytes(c[k]->engine_id.text, strlen(c[k]->engine_id.text), chain[shared - 1]);
    if (!home || h > top) {
      home = c[k];
      top = h;
    }
  }
  bool clear = false;
  for (int k = 0; k < n; k++)
    clear |= !c[k]->suspect && !(c[k]->ejected_until.us > now.us);
  gateway_engine *best = NULL;
  double least = 0, best_est = 0, best_fresh = 0;
  double soonest = -1, queue_ms = -1;
  for (int k = 0; k < n; k++) {
    gateway_engine *i = c[k];
    unsigned slots = i->slots ? i->slots : service->engine_slots;
    int running =
        gateway_feature_enabled(gateway, FEATURE_BATCH) ? gateway_engine_running_requests(i) : 0;
    if (i->ejected_until.us > now.us &&
        !(soft && i->last_byte_at.us &&
          !time_reached(now, time_add(i->last_byte_at, time_from_ms(3000)))))
      continue;
    /* where only once-only work comes, one of it must find out in the end, over a channel that has
     * to come up first */
    if (i->suspect &&
        (clear || (q->run_once &&
                   !time_reached(now, time_add(i->suspect_at, time_from_ms(SUSPECT_TRIAL_MS))))))
      continue;
    int kept = cached_prefix_length(i, chain, parts, service->kv_tokens);
    double fresh = MAX(q->tokens - (kept ? upto[kept - 1] : 0), 0);
    if (!kept && i == home)
      fresh = MAX(q->tokens - 0.5 * shared_tokens, 0);
    double ahead = gateway_engine_waiting_tokens(i), run_ms = i->mean_run_ms;
    double est = engine_select_estimate_ms(i->base_ms, i->ms_per_token, ahead, fresh, running,
                                           slots, run_ms);
    if (soonest < 0 || est < soonest)
      soonest = est;
    if (queue_ms < 0 || i->ms_per_token * ahead < queue_ms)
      queue_ms = i->ms_per_token * ahead;
    if (slots && running >= (int)slots + (llm ? 0 : 2))
      continue;
    if (q->remaining_ms > 0 && est > (double)q->remaining_ms)
      continue;
    /* a place in a line that is already too long helps nobody behind it */
    if (llm && q->target_ms && est > o->reject_threshold * (double)q->target_ms && ahead > 0)
      continue;
    double cost = o->load_weight * est;
    /* parts that are read again are paid for, beside the time they take */
    if (shared && i != home)
      cost += o->affinity_weight * i->ms_per_token *
              MAX(shared_tokens - (kept ? upto[kept - 1] : 0), 0);
    if (q->target_ms && est > 0.5 * (double)q->target_ms)
      cost += o->load_weight * 3 * (est - 0.5 * (double)q->target_ms);
    if (llm && service->kv_tokens > 0 && gateway_feature_enabled(gateway, FEATURE_KV)) {
      double use = (running + 1) * MAX(i->mean_prompt_tokens, 1) * 1.15 / service->kv_tokens;
      if (use > 0.85)
        cost += (use - 0.85) * 4000;
    }
    if (!llm)
      cost = o->load_weight * est * (1 + (slots ? (double)running / slots : running));
    if (!id_equal(i->zone, gateway->router->node.settings.zone) &&
        gateway_feature_enabled(gateway, FEATURE_ZONE))
      cost += o->zone_weight * (llm ? 3 : 1.5);
    if (gateway_engine_unhealthy(i))
      cost += UNHEALTHY_COST;
    cost += (double)world_random(gateway->router->node.world, 1000) / 1000;
    if (!best || cost < least) {
      best = i;
      least = cost;
      best_est = est;
      best_fresh = fresh;
    }
  }
  *est_ms = best ? best_est : MAX(soonest, 0);
  if (llm && held)
    request_extra_replica(gateway, q, best && !gateway_engine_unhealthy(best) ? best_est : 1e9,
                          best && gateway_engine_unhealthy(best) ? 1e9 : queue_ms);
  if (!best)
    return NULL;
  *why = ENGINE_SELECT_OK;
  best->selected_model = q->model;
  best->selected_adapter = q->adapter;
  best->selected_uncached_tokens = best_fresh;
  best->selected_tokens = q->tokens;
  cached_prefix_record(best, chain, parts);
  return best;
}
