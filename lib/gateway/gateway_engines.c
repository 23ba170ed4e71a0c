#include "gateway.h"
#include <math.h>
#include <stdio.h>

enum {
  UNREGISTERED_GRACE_MS = 2500,
  CHANGE_SETTLE_MS = 1500,
  UNLOADING_GUARD_MS = 3000,
  ENGINE_TOMBSTONE_MS = 60000,
  DRAIN_MARGIN_MS = 1000,
  EJECTION_MIN_MS = 150,
  MAX_EJECTION_MS = 3000,
  EJECTION_TRIAL_MS = 400,
  SUSPECT_MIN_MS = 400,
  HEARTBEAT_LAG_MS = 700,
  UNRESPONSIVE_FAILURES = 3,
  UNRESPONSIVE_MS = 800,
  LOADS_INTERVAL_MS = 250,
  LOADS_BROADCAST_MAX_NODES = 16,
  LOADS_GOSSIP_FANOUT = 12,
  FAILURE_HALF_LIFE_MS = 2500,
  UNHEALTHY_MIN_MS = 2000,
  UNHEALTHY_MAX_MS = 16000,
  UNHEALTHY_RESET_MS = 12000,
  RECENTLY_ORDERED_MS = 3000,
  OWN_FAULT_MIN_ENGINES = 3
};
static const double UNHEALTHY_SCORE = 2.5, UNHEALTHY_REPEAT_SCORE = 1,
                    OTHER_ZONE_FAILURE_WEIGHT = 0.6;

/* one own request under way: what it asked for, and whether its first event has come */
typedef struct own_run {
  id model, adapter;
  time_us sent_at;
  double tokens, uncached_tokens;
  bool first_event_seen;
} own_run;
/* what another node says of its own requests there */
enum { PEER_LOAD_MAX_MODELS = 16 };
typedef struct peer_load {
  uint64_t nonce;
  time_us received_at;
  int running;
  double tokens;
  uint32_t model_keys[PEER_LOAD_MAX_MODELS];
} peer_load;
/* what an order changed */
typedef struct resident_change {
  id model, adapter;
  bool loaded;
  time_us changed_at;
} resident_change;

static time_us now_of(const gateway_engine *engine) {
  return world_now(engine->gateway->router->node.world);
}
static time_us after(time_us a, int64_t ms) {
  return time_add(a, time_from_ms(ms));
}

gateway_engine *gateway_engine_find(gateway *gateway, const char *self) {
  return g_hash_table_lookup(gateway->engines_by_id, self);
}

static void resident_free(resident *resident) {
  list_remove(&resident->link);
  g_ptr_array_free(resident->adapters, TRUE);
  g_ptr_array_free(resident->unloading_adapters, TRUE);
  g_free(resident);
}

static resident *resident_find(const gateway_engine *engine, id model) {
  list_for_each (r, &engine->residents, resident, link)
    if (id_equal(r->model, model))
      return r;
  return NULL;
}

static resident *resident_new(gateway_engine *engine, id model) {
  resident *r = g_new0(resident, 1);
  r->model = model;
  r->adapters = g_ptr_array_new_with_free_func(g_free);
  r->unloading_adapters = g_ptr_array_new_with_free_func(g_free);
  r->loaded_at = now_of(engine);
  list_append(&engine->residents, &r->link);
  if (!g_hash_table_contains(engine->models_on_disk, model.text))
    g_hash_table_add(engine->models_on_disk, g_strdup(model.text));
  return r;
}

static int name_index(const GPtrArray *names, const char *name) {
  for (guint k = 0; k < names->len; k++)
    if (!strcmp(names->pdata[k], name))
      return (int)k;
  return -1;
}

static int adapter_index(const resident *resident, const char *a) {
  return name_index(resident->adapters, a);
}

static void name_remove(GPtrArray *names, const char *name) {
  int at = name_index(names, name);
  if (at >= 0)
    g_ptr_array_remove_index_fast(names, (guint)at);
}

/* An adapter that is ordered away gets no new work; what an engine reports of it later than the
 * order can have taken says whether it stayed. */
static void adapter_mark_unloading(resident *resident, id adapter) {
  if (adapter_index(resident, adapter.text) < 0)
    return;
  name_remove(resident->adapters, adapter.text);
  g_ptr_array_add(resident->unloading_adapters, g_strdup(adapter.text));
}

static void record_change(gateway_engine *engine, id model, id adapter, bool up) {
  time_us now = now_of(engine);
  for (guint k = engine->resident_changes->len; k-- > 0;) {
    resident_change *c = &g_array_index(engine->resident_changes, resident_change, k);
    if (time_reached(now, after(c->changed_at, UNLOADING_GUARD_MS + CHANGE_SETTLE_MS)) ||
        (id_equal(c->model, model) && id_equal(c->adapter, adapter)))
      g_array_remove_index_fast(engine->resident_changes, k);
  }
  resident_change c = { model, adapter, up, now };
  g_array_append_val(engine->resident_changes, c);
}

/* true when an order of late says otherwise than what was seen at an instant */
static bool contradicts(const gateway_engine *engine, id model, id adapter, bool up, time_us at,
                        int64_t guard_ms) {
  for (guint k = 0; k < engine->resident_changes->len; k++) {
    resident_change *c = &g_array_index(engine->resident_changes, resident_change, k);
    if (!id_equal(c->model, model) || !id_equal(c->adapter, adapter) || c->loaded == up)
      continue;
    if (!time_reached(
            at, after(c->changed_at,
                      c->loaded ? guard_ms : guard_ms + UNLOADING_GUARD_MS - CHANGE_SETTLE_MS)))
      return true;
  }
  return false;
}

static gateway_engine *gateway_engine_new(gateway *gateway, id self) {
  gateway_engine *i = g_new0(gateway_engine, 1);
  i->gateway = gateway;
  i->engine_id = self;
  list_init(&i->residents);
  list_init(&i->load_jobs);
  condition_init(&i->load_jobs_changed);
  i->models_on_disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  i->own_runs = g_array_new(FALSE, TRUE, sizeof(own_run));
  i->peer_loads = g_array_new(FALSE, TRUE, sizeof(peer_load));
  i->resident_changes = g_array_new(FALSE, TRUE, sizeof(resident_change));
  capacity_init(&i->capacity);
  i->base_ms = 30;
  i->ms_per_token = 0.05;
  i->mean_run_ms = 60;
  list_append(&gateway->engines, &i->link);
  g_hash_table_insert(gateway->engines_by_id, i->engine_id.text, i);
  return i;
}

static void gateway_engine_free(gateway_engine *engine) {
  g_hash_table_remove(engine->gateway->engines_by_id, engine->engine_id.text);
  list_remove(&engine->link);
  list_for_each (r, &engine->residents, resident, link)
    resident_free(r);
  g_hash_table_destroy(engine->models_on_disk);
  g_array_free(engine->own_runs, TRUE);
  g_array_free(engine->peer_loads, TRUE);
  g_array_free(engine->resident_changes, TRUE);
  capacity_free(&engine->capacity);
  g_free(engine->cached_prefixes);
  g_free(engine);
}

void gateway_engine_ref(gateway_engine *engine) {
  engine->refs++;
}
void gateway_engine_unref(gateway_engine *engine) {
  engine->refs--;
}

void gateway_engine_remove(gateway_engine *engine, const char *why) {
  if (engine->gone)
    return;
  engine->gone = true;
  engine->gone_at = now_of(engine);
  log_debug(&engine->gateway->router->node.log, "engine", "%s at %s is gone: %s.",
            engine->engine_id.text, engine->addr, why);
  list_for_each (r, &engine->residents, resident, link)
    resident_free(r);
  g_free(engine->cached_prefixes);
  engine->cached_prefixes = NULL;
  g_array_set_size(engine->peer_loads, 0);
  condition_broadcast(&engine->load_jobs_changed);
  condition_broadcast(&engine->gateway->engines_changed);
}

void gateway_engine_update_residents(gateway_engine *engine, Wire__ResidentModel **m, size_t n,
                                     time_us at, int64_t guard_ms) {
  bool moved = !engine->models_known;
  id none = id_of_text("");
  engine->models_known = true;
  list_for_each (r, &engine->residents, resident, link) {
    Wire__ResidentModel *w = NULL;
    for (size_t k = 0; k < n; k++)
      if (!strcmp(m[k]->model, r->model.text))
        w = m[k];
    if (!w) {
      if (contradicts(engine, r->model, none, false, at, guard_ms))
        continue;
      if (r->unloading && contradicts(engine, r->model, none, true, at, guard_ms))
        continue;
      resident_free(r);
      moved = true;
      continue;
    }
    for (guint k = r->adapters->len; k-- > 0;) {
      bool there = false;
      for (size_t j = 0; j < w->n_adapters && !there; j++)
        there = !strcmp(w->adapters[j], r->adapters->pdata[k]);
      if (there ||
          contradicts(engine, r->model, id_of_text(r->adapters->pdata[k]), false, at, guard_ms))
        continue;
      g_ptr_array_remove_index_fast(r->adapters, k);
      moved = true;
    }
    for (guint k = r->unloading_adapters->len; k-- > 0;)
      if (!contradicts(engine, r->model, id_of_text(r->unloading_adapters->pdata[k]), true, at,
                       guard_ms))
        g_ptr_array_remove_index_fast(r->unloading_adapters, k);
  }
  for (size_t k = 0; k < n; k++) {
    if (!id_is_valid(string_view_of(m[k]->model)))
      continue;
    id model = id_of_text(m[k]->model);
    resident *r = resident_find(engine, model);
    if (!r) {
      if (contradicts(engine, model, none, true, at, guard_ms))
        continue;
      r = resident_new(engine, model);
      r->loaded_at = (time_us){ 0 };
      moved = true;
    }
    r->version = m[k]->weights_version;
    for (size_t j = 0; j < m[k]->n_adapters; j++) {
      const char *a = m[k]->adapters[j];
      if (adapter_index(r, a) >= 0 || !id_is_valid(string_view_of(a)) ||
          contradicts(engine, model, id_of_text(a), true, at, guard_ms))
        continue;
      g_ptr_array_add(r->adapters, g_strdup(a));
      moved = true;
    }
  }
  if (moved)
    condition_broadcast(&engine->gateway->engines_changed);
}

void gateway_engine_update(gateway *gateway, const Wire__EngineState *w) {
  if (!id_is_valid(string_view_of(w->id)))
    return;
  time_us now = world_now(gateway->router->node.world);
  gateway_engine *i = gateway_engine_find(gateway, w->id);
  if (i && i->gone) {
    /* one that was only silent is back with a later beat; its word of that is a new start for what
     * is known of it */
    if (!i->unresponsive || w->gone || w->heartbeat_count <= i->heartbeat_count) {
      if (w->gone && w->draining)
        i->unresponsive = false;
      return;
    }
    i->gone = i->unresponsive = i->models_known = false;
    i->state_received_at = i->reported_at = (time_us){ 0 };
    i->consecutive_failures = 0;
    i->suspect = false;
    i->ejected_until = (time_us){ 0 };
    condition_broadcast(&gateway->engines_changed);
  }
  if (!i) {
    if (w->gone || !address_is_valid(w->address) || !id_is_valid(string_view_of(w->service)))
      return;
    i = gateway_engine_new(gateway, id_of_text(w->id));
    g_strlcpy(i->addr, w->address, sizeof i->addr);
    i->service = id_of_text(w->service);
    i->zone = id_of_text(w->zone);
    /* its speed is taken to be that of its fellows until it is known */
    list_for_each (o, &gateway->engines, gateway_engine, link) {
      if (o == i || o->gone || !id_equal(o->service, i->service))
        continue;
      i->base_ms = o->base_ms;
      i->ms_per_token = o->ms_per_token;
      i->mean_run_ms = o->mean_run_ms;
      i->mean_prompt_tokens = o->mean_prompt_tokens;
      break;
    }
    i->heartbeat_at = time_sub(now, time_from_ms((int64_t)w->age_ms));
    list_for_each (o, &gateway->engines, gateway_engine, link) {
      if (o == i || o->gone || strcmp(o->addr, i->addr))
        continue;
      if (o->heartbeat_at.us <= i->heartbeat_at.us)
        gateway_engine_remove(o, "its address has a new life");
      else
        gateway_engine_remove(i, "its address has a new life");
    }
    if (i->gone)
      return;
    condition_broadcast(&gateway->engines_changed);
  }
  /* gone and leaving is for good; gone alone is silence */
  if (w->gone) {
    i->unresponsive = !w->draining;
    gateway_engine_remove(i, w->draining ? "signed off" : "silent");
    return;
  }
  time_us at = time_sub(now, time_from_ms((int64_t)MIN(w->age_ms, 100000000)));
  if (w->draining && !i->draining) {
    i->draining = true;
    i->draining_at = now;
    condition_broadcast(&gateway->engines_changed);
  }
  if (w->ends_in_ms) {
    time_us ends = time_add(at, time_from_ms((int64_t)MIN(w->ends_in_ms, 100000000)));
    if (!i->ends_at.us || ends.us < i->ends_at.us)
      i->ends_at = ends;
  }
  if (w->heartbeat_count < i->heartbeat_count)
    return;
  if (w->heartbeat_count == i->heartbeat_count && i->state_received_at.us) {
    if (at.us > i->heartbeat_at.us)
      i->heartbeat_at = at;
    return;
  }
  i->state_received_at = now;
  i->heartbeat_count = w->heartbeat_count;
  i->heartbeat_at = at;
  i->version = id_of_text(w->version ? w->version : "");
  i->slots = w->slots;
  i->slow_start_until = w->slow_start_ms
                            ? time_add(at, time_from_ms((int64_t)MIN(w->slow_start_ms, 100000000)))
                            : (time_us){ 0 };
  /* a beat that is older than the engine's own last report says nothing new of what it holds */
  if (i->reported_at.us && at.us <= i->reported_at.us + HEARTBEAT_LAG_MS * 1000)
    return;
  gateway_engine_update_residents(i, w->models, w->n_models, at, CHANGE_SETTLE_MS);
}

bool gateway_engine_usable(const gateway_engine *engine) {
  if (engine->gone || engine->draining)
    return false;
  time_us now = now_of(engine);
  return !(engine->ends_at.us &&
           time_reached(now, time_sub(engine->ends_at, time_from_ms(DRAIN_MARGIN_MS)))) &&
         !(engine->ejected_until.us > now.us);
}

resident *gateway_engine_resident(const gateway_engine *engine, id model) {
  resident *resident = resident_find(engine, model);
  return resident && !resident->unloading ? resident : NULL;
}

bool gateway_engine_has_model(const gateway_engine *engine, id model, id adapter) {
  if (id_is_empty(model))
    return true;
  resident *resident = gateway_engine_resident(engine, model);
  return resident && (id_is_empty(adapter) || adapter_index(resident, adapter.text) >= 0);
}

int gateway_engines_count_replicas(gateway *gateway, id service, id model, id adapter) {
  int n = 0;
  list_for_each (i, &gateway->engines, gateway_engine, link)
    n += !i->gone && !i->draining && id_equal(i->service, service) &&
         gateway_engine_has_model(i, model, adapter) && !gateway_engine_unresponsive(i);
  return n;
}

/* how a model, or an adapter on its model, is named among nodes that tell what they run; never 0 */
uint32_t gateway_engine_model_key(id model, id adapter) {
  return (uint32_t)hash_two_names(model.text, adapter.text) | 1;
}

bool gateway_engine_is_running(const gateway_engine *engine, id model, id adapter) {
  for (guint k = 0; k < engine->own_runs->len; k++) {
    const own_run *r = &g_array_index(engine->own_runs, own_run, k);
    if (id_equal(r->model, model) && (id_is_empty(adapter) || id_equal(r->adapter, adapter)))
      return true;
  }
  uint32_t key = gateway_engine_model_key(model, adapter);
  for (guint k = 0; k < engine->peer_loads->len; k++) {
    const peer_load *o = &g_array_index(engine->peer_loads, peer_load, k);
    for (int m = 0; m < PEER_LOAD_MAX_MODELS && o->model_keys[m]; m++)
      if (o->model_keys[m] == key)
        return true;
  }
  return false;
}

time_us gateway_engine_loaded_at(const gateway_engine *engine, id model, id adapter) {
  for (guint k = 0; k < engine->resident_changes->len; k++) {
    const resident_change *c = &g_array_index(engine->resident_changes, resident_change, k);
    if (c->loaded && id_equal(c->model, model) && id_equal(c->adapter, adapter))
      return c->changed_at;
  }
  return (time_us){ 0 };
}

bool gateway_engine_unresponsive(const gateway_engine *engine) {
  if (engine->consecutive_failures < UNRESPONSIVE_FAILURES && !engine->suspect)
    return false;
  time_us since = engine->suspect ? engine->suspect_at : engine->failed_at;
  return engine->last_byte_at.us < since.us &&
         time_reached(now_of(engine), after(engine->last_byte_at, UNRESPONSIVE_MS));
}

bool gateway_engine_unhealthy(const gateway_engine *engine) {
  return engine->unhealthy_until.us > now_of(engine).us;
}

void gateway_engine_add_failure(gateway_engine *engine, double weight) {
  time_us now = now_of(engine);
  if (engine->gone || gateway_engine_unhealthy(engine) ||
      !gateway_feature_enabled(engine->gateway, FEATURE_OUTLIER_EJECTION))
    return;
  /* one that was ill has less patience to lose, until it has been well for long */
  if (engine->unhealthy_count &&
      time_reached(now, after(engine->unhealthy_until, UNHEALTHY_RESET_MS)))
    engine->unhealthy_count = 0;
  double gap = (double)time_sub(now, engine->failure_score_at).us / 1000;
  engine->failure_score =
      (engine->failure_score_at.us ? engine->failure_score * exp2(-gap / FAILURE_HALF_LIFE_MS)
                                   : 0) +
      weight;
  engine->failure_score_at = now;
  if (engine->failure_score < (engine->unhealthy_count ? UNHEALTHY_REPEAT_SCORE : UNHEALTHY_SCORE))
    return;
  engine->failure_score = 0;
  engine->unhealthy_until = after(
      now, MIN((int64_t)UNHEALTHY_MIN_MS << MIN(engine->unhealthy_count, 6), UNHEALTHY_MAX_MS));
  engine->unhealthy_count++;
  log_debug(&engine->gateway->router->node.log, "engine", "%s at %s fails too often.",
            engine->engine_id.text, engine->addr);
}

void gateway_engine_add_own_failure(gateway_engine *engine) {
  engine->unreported_failures++;
  gateway_engine_add_failure(engine, 1);
}

bool gateway_engine_lightly_loaded(const gateway_engine *engine) {
  time_us now = now_of(engine);
  if (engine->slots && 2 * gateway_engine_running_requests(engine) > (int)engine->slots)
    return false;
  if (engine->ms_per_token * gateway_engine_waiting_tokens(engine) > UNHEALTHY_MIN_MS / 4 ||
      !time_reached(now, after(engine->peer_ordered_at, RECENTLY_ORDERED_MS)))
    return false;
  for (guint k = 0; k < engine->resident_changes->len; k++)
    if (!time_reached(now,
                      after(g_array_index(engine->resident_changes, resident_change, k).changed_at,
                            RECENTLY_ORDERED_MS)))
      return false;
  return true;
}

void gateway_engine_mark_loaded(gateway_engine *engine, id model, id adapter) {
  if (engine->gone)
    return;
  resident *resident = resident_find(engine, model);
  if (!resident)
    resident = resident_new(engine, model);
  if (resident->unloading)
    resident->unloading = false;
  if (id_is_empty(adapter))
    resident->loaded_at = now_of(engine);
  else if (adapter_index(resident, adapter.text) < 0)
    g_ptr_array_add(resident->adapters, g_strdup(adapter.text));
  name_remove(resident->unloading_adapters, adapter.text);
  record_change(engine, model, adapter, true);
  condition_broadcast(&engine->gateway->engines_changed);
}

void gateway_engine_mark_unloaded(gateway_engine *engine, id model, id adapter) {
  resident *resident = resident_find(engine, model);
  if (!resident)
    return;
  record_change(engine, model, adapter, false);
  if (id_is_empty(adapter))
    resident_free(resident);
  else {
    name_remove(resident->adapters, adapter.text);
    name_remove(resident->unloading_adapters, adapter.text);
  }
  condition_broadcast(&engine->gateway->engines_changed);
}

void gateway_engine_mark_unloading(gateway_engine *engine, id model, id adapter) {
  resident *resident = resident_find(engine, model);
  if (resident && id_is_empty(adapter))
    resident->unloading = true;
  else if (resident)
    adapter_mark_unloading(resident, adapter);
  record_change(engine, model, adapter, false);
}

/* what a node's last picked request was is known when it is sent, since no other is picked in
 * between */
void gateway_engine_record_sent(gateway_engine *engine, double tokens) {
  own_run r = { engine->selected_model,
                engine->selected_adapter,
                now_of(engine),
                tokens,
                engine->selected_tokens == tokens ? engine->selected_uncached_tokens : tokens,
                false };
  g_array_append_val(engine->own_runs, r);
  engine->own_running++;
  engine->own_waiting_tokens += r.uncached_tokens;
  engine->prefilled_tokens += r.uncached_tokens;
  engine->mean_prompt_tokens =
      engine->mean_prompt_tokens
          ? engine->mean_prompt_tokens + 0.05 * (tokens - engine->mean_prompt_tokens)
          : tokens;
  if (!engine->oldest_wait_at.us)
    engine->oldest_wait_at = r.sent_at;
  if (!id_is_empty(r.model)) {
    resident *m = resident_find(engine, r.model);
    if (m) {
      m->own_running++;
      m->last_used_at = r.sent_at;
    }
  }
  if (engine->consecutive_failures > 0)
    engine->ejected_until = after(r.sent_at, EJECTION_TRIAL_MS);
}

static void update_oldest_wait(gateway_engine *engine) {
  engine->oldest_wait_at = (time_us){ 0 };
  for (guint k = 0; k < engine->own_runs->len; k++) {
    own_run *r = &g_array_index(engine->own_runs, own_run, k);
    if (!r->first_event_seen &&
        (!engine->oldest_wait_at.us || r->sent_at.us < engine->oldest_wait_at.us))
      engine->oldest_wait_at = r->sent_at;
  }
}

static int own_run_find(const gateway_engine *engine, double tokens, bool first) {
  int best = -1;
  for (guint k = 0; k < engine->own_runs->len; k++) {
    own_run *r = &g_array_index(engine->own_runs, own_run, k);
    if (r->first_event_seen != first || (tokens >= 0 && r->tokens != tokens))
      continue;
    if (best < 0 || r->sent_at.us < g_array_index(engine->own_runs, own_run, best).sent_at.us)
      best = (int)k;
  }
  return best;
}

static void mark_healthy(gateway_engine *engine) {
  if (engine->consecutive_failures || engine->suspect)
    condition_broadcast(&engine->gateway->engines_changed);
  engine->consecutive_failures = 0;
  engine->suspect = false;
  engine->ejected_until = (time_us){ 0 };
}

void gateway_engine_record_first_event(gateway_engine *engine, double tokens, double ms,
                                       int running_then) {
  time_us now = now_of(engine);
  engine->last_byte_at = now;
  int k = own_run_find(engine, tokens, false);
  double fresh = tokens;
  if (k >= 0) {
    own_run *r = &g_array_index(engine->own_runs, own_run, k);
    r->first_event_seen = true;
    fresh = r->uncached_tokens;
    engine->own_waiting_tokens = MAX(0, engine->own_waiting_tokens - r->uncached_tokens);
  }
  update_oldest_wait(engine);
  engine->mean_first_event_ms =
      engine->mean_first_event_ms
          ? engine->mean_first_event_ms + 0.1 * (ms - engine->mean_first_event_ms)
          : ms;
  mark_healthy(engine);
  /* it is learnt from only when little else was ahead of it */
  double ahead = gateway_engine_waiting_tokens(engine);
  unsigned slots = MAX(engine->slots, 1);
  if (ahead > 0.5 * MAX(fresh, 200) || running_then > (int)slots)
    return;
  ms /= 1 + 0.3 * MIN(1, (double)running_then / slots);
  if (fresh < 200)
    engine->base_ms += 0.1 * (CLAMP(ms - fresh * engine->ms_per_token, 0.5, 4 * engine->base_ms) -
                              engine->base_ms);
  else {
    double k2 = (ms - engine->base_ms) / fresh;
    engine->ms_per_token +=
        0.1 *
        (CLAMP(k2, 0.25 * engine->ms_per_token, 2 * engine->ms_per_token) - engine->ms_per_token);
  }
  engine->base_ms = CLAMP(engine->base_ms, 1, 400);
  engine->ms_per_token = CLAMP(engine->ms_per_token, 0.004, 2);
}

void gateway_engine_record_end(gateway_engine *engine, bool ok) {
  time_us now = now_of(engine);
  int k = own_run_find(engine, -1, ok);
  if (k < 0)
    k = own_run_find(engine, -1, !ok);
  if (k >= 0) {
    own_run *r = &g_array_index(engine->own_runs, own_run, k);
    if (!r->first_event_seen)
      engine->own_waiting_tokens = MAX(0, engine->own_waiting_tokens - r->uncached_tokens);
    if (ok)
      engine->mean_run_ms +=
          0.05 * ((double)time_sub(now, r->sent_at).us / 1000 - engine->mean_run_ms);
    resident *m = id_is_empty(r->model) ? NULL : resident_find(engine, r->model);
    if (m && m->own_running > 0)
      m->own_running--;
    g_array_remove_index_fast(engine->own_runs, (guint)k);
  }
  if (!engine->own_runs->len)
    engine->own_waiting_tokens = 0;
  if (engine->own_running > 0)
    engine->own_running--;
  update_oldest_wait(engine);
  if (ok) {
    engine->last_success_at = now;
    mark_healthy(engine);
    return;
  }
  engine->failed_at = now;
  engine->consecutive_failures++;
  if (gateway_engine_lightly_loaded(engine))
    gateway_engine_add_own_failure(engine);
  engine->ejected_until =
      after(now, MIN((int64_t)EJECTION_MIN_MS << MIN(engine->consecutive_failures - 1, 6),
                     MAX_EJECTION_MS));
}

static void peer_loads_sum(gateway_engine *engine) {
  time_us now = now_of(engine);
  int nodes = MAX(engine->gateway->router_count, 1);
  int64_t keep =
      nodes <= LOADS_BROADCAST_MAX_NODES
          ? 1000
          : MAX(1000, (int64_t)LOADS_INTERVAL_MS * nodes * 3 / (LOADS_GOSSIP_FANOUT * 2));
  engine->peers_running = 0;
  engine->peers_waiting_tokens = 0;
  for (guint k = engine->peer_loads->len; k-- > 0;) {
    peer_load *o = &g_array_index(engine->peer_loads, peer_load, k);
    if (time_reached(now, after(o->received_at, keep))) {
      g_array_remove_index_fast(engine->peer_loads, k);
      continue;
    }
    engine->peers_running += o->running;
    engine->peers_waiting_tokens += o->tokens;
  }
}

double gateway_engine_waiting_tokens(const gateway_engine *engine) {
  return engine->own_waiting_tokens + engine->peers_waiting_tokens;
}
int gateway_engine_running_requests(const gateway_engine *engine) {
  return engine->own_running + engine->peers_running;
}

void gateway_engine_check(gateway_engine *engine) {
  if (engine->gone)
    return;
  time_us now = now_of(engine);
  if (engine->last_byte_at.us > engine->failed_at.us && engine->consecutive_failures)
    engine->consecutive_failures = 0;
  if (engine->suspect && engine->last_byte_at.us > engine->suspect_at.us)
    engine->suspect = false;
  int64_t silent = MAX(SUSPECT_MIN_MS, (int64_t)(4 * engine->mean_first_event_ms));
  if (!engine->suspect && engine->oldest_wait_at.us &&
      time_reached(now, after(engine->oldest_wait_at, silent)) &&
      time_reached(now, after(engine->last_byte_at, silent))) {
    engine->suspect = true;
    engine->suspect_at = now;
  }
}

void gateway_engines_config_sync(gateway *gateway, const Wire__ConfigPollResponse *b) {
  time_us now = world_now(gateway->router->node.world);
  if (b->engines_complete) {
    GHashTable *there = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t k = 0; k < b->n_engines; k++)
      g_hash_table_add(there, b->engines[k]->id);
    list_for_each (i, &gateway->engines, gateway_engine, link)
      if (!i->gone && !g_hash_table_contains(there, i->engine_id.text) &&
          time_reached(now, after(i->heartbeat_at, UNREGISTERED_GRACE_MS))) {
        i->unresponsive = true;
        gateway_engine_remove(i, "no longer registered");
      }
    g_hash_table_destroy(there);
  }
  for (size_t k = 0; k < b->n_engines; k++)
    gateway_engine_update(gateway, b->engines[k]);
  if (b->engines_complete || b->n_engines) {
    if (!gateway->engines_known)
      condition_broadcast(&gateway->engines_changed);
    gateway->engines_known = true;
  }
}

static void loads_send(gateway *gateway, const char *addr);

/* true when this node runs something at an engine that a list of what it holds has not */
static bool runs_missing_from(const gateway_engine *engine, const Wire__EngineState *listed) {
  for (guint k = 0; k < engine->own_runs->len; k++) {
    const own_run *run = &g_array_index(engine->own_runs, own_run, k);
    if (id_is_empty(run->model))
      continue;
    bool there = false;
    for (size_t m = 0; m < listed->n_models && !there; m++) {
      if (strcmp(listed->models[m]->model, run->model.text))
        continue;
      there = id_is_empty(run->adapter);
      for (size_t a = 0; a < listed->models[m]->n_adapters && !there; a++)
        there = !strcmp(listed->models[m]->adapters[a], run->adapter.text);
    }
    if (!there)
      return true;
  }
  return false;
}

/* engines by casts: from a core machine as they beat, from a holder as its orders take effect */
static int on_engines(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  (void)reply;
  (void)err;
  for (size_t k = 0; k < in->engine_update->n_engines; k++) {
    Wire__EngineState *w = in->engine_update->engines[k];
    if (in->from->role != ROLE_ROUTER) {
      gateway_engine_update(gateway, w);
      continue;
    }
    gateway_engine *engine = gateway_engine_find(gateway, w->id);
    if (!engine || engine->gone)
      continue;
    time_us now = world_now(gateway->router->node.world);
    engine->peer_ordered_at = now;
    /* what it holds now, against what was known: the differences are changes that older beats don't
     * undo */
    list_for_each (r, &engine->residents, resident, link) {
      Wire__ResidentModel *m = NULL;
      for (size_t j = 0; j < w->n_models; j++)
        if (!strcmp(w->models[j]->model, r->model.text))
          m = w->models[j];
      if (!m) {
        record_change(engine, r->model, id_of_text(""), false);
        continue;
      }
      for (guint a = 0; a < r->adapters->len; a++) {
        bool there = false;
        for (size_t j = 0; j < m->n_adapters && !there; j++)
          there = !strcmp(m->adapters[j], r->adapters->pdata[a]);
        if (!there)
          record_change(engine, r->model, id_of_text(r->adapters->pdata[a]), false);
      }
    }
    for (size_t j = 0; j < w->n_models; j++) {
      id m = id_of_text(w->models[j]->model);
      resident *r = resident_find(engine, m);
      if (!r)
        record_change(engine, m, id_of_text(""), true);
      for (size_t a = 0; a < w->models[j]->n_adapters; a++)
        if (!r || adapter_index(r, w->models[j]->adapters[a]) < 0)
          record_change(engine, m, id_of_text(w->models[j]->adapters[a]), true);
    }
    gateway_engine_update_residents(engine, w->models, w->n_models, now, 0);
    /* the holder may have thought that nobody runs what it means to unload */
    if (gateway_feature_enabled(gateway, FEATURE_UNLOAD_OBJECTIONS) && runs_missing_from(engine, w))
      loads_send(gateway, in->from->address);
  }
  return OK;
}

void gateway_engine_broadcast(gateway_engine *engine) {
  node *node = &engine->gateway->router->node;
  guint n = 0;
  list_for_each (r, &engine->residents, resident, link)
    n += !r->unloading;
  Wire__ResidentModel *m = g_new(Wire__ResidentModel, n + 1),
                      **mp = g_new(Wire__ResidentModel *, n + 1);
  guint k = 0;
  list_for_each (r, &engine->residents, resident, link) {
    if (r->unloading)
      continue;
    wire__resident_model__init(&m[k]);
    m[k].model = r->model.text;
    m[k].weights_version = r->version;
    m[k].n_adapters = r->adapters->len;
    m[k].adapters = (char **)r->adapters->pdata;
    mp[k] = &m[k];
    k++;
  }
  Wire__EngineState e = WIRE__ENGINE_STATE__INIT, *ep = &e;
  e.id = engine->engine_id.text;
  e.service = engine->service.text;
  e.address = engine->addr;
  e.n_models = n;
  e.models = mp;
  Wire__EngineUpdate q = WIRE__ENGINE_UPDATE__INIT;
  q.n_engines = 1;
  q.engines = &ep;
  Wire__Envelope out = wire_envelope(WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &q);
  node_broadcast(node, ROLE_ROUTER, &out);
  g_free(m);
  g_free(mp);
}

void gateway_engines_update_loads(gateway *gateway, uint64_t nonce, bool near,
                                  const Wire__TrafficReport *q) {
  time_us now = world_now(gateway->router->node.world);
  for (size_t k = 0; k < q->n_engines; k++) {
    Wire__EngineTraffic *l = q->engines[k];
    gateway_engine *i = gateway_engine_find(gateway, l->engine);
    if (!i || i->gone)
      continue;
    peer_load n = { nonce,
                    now,
                    (int)MIN(l->running_streams, 100000),
                    (double)l->waiting_tokens,
                    { 0 } },
              *at = NULL;
    for (size_t j = 0; j < l->n_model_hashes && j < PEER_LOAD_MAX_MODELS; j++)
      n.model_keys[j] = l->model_hashes[j];
    for (guint j = 0; j < i->peer_loads->len; j++)
      if (g_array_index(i->peer_loads, peer_load, j).nonce == n.nonce)
        at = &g_array_index(i->peer_loads, peer_load, j);
    if (at)
      *at = n;
    else
      g_array_append_val(i->peer_loads, n);
    peer_loads_sum(i);
    if (l->failures)
      gateway_engine_add_failure(i, MIN(l->failures, 4) * (near ? 1 : OTHER_ZONE_FAILURE_WEIGHT));
  }
  /* a node tells all that it runs: where it names no engine, it runs nothing there */
  list_for_each (i, &gateway->engines, gateway_engine, link)
    for (guint j = 0; j < i->peer_loads->len; j++) {
      peer_load *o = &g_array_index(i->peer_loads, peer_load, j);
      if (o->nonce != nonce || o->received_at.us == now.us)
        continue;
      g_array_remove_index_fast(i->peer_loads, j);
      peer_loads_sum(i);
      break;
    }
}

static int on_loads(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  (void)reply;
  (void)err;
  gateway_engines_update_loads(gateway, in->from->nonce,
                               !strcmp(in->from->zone, gateway->router->node.settings.zone.text),
                               in->traffic_report);
  return OK;
}

static void load_free(void *p) {
  Wire__EngineTraffic *l = p;
  g_free(l->model_hashes);
  g_free(l);
}

/* what runs there by model: a run counts for its model and for its adapter */
static void load_message_models(const gateway_engine *engine, Wire__EngineTraffic *l) {
  uint32_t m[PEER_LOAD_MAX_MODELS];
  size_t n = 0;
  for (guint k = 0; k < engine->own_runs->len; k++) {
    const own_run *r = &g_array_index(engine->own_runs, own_run, k);
    for (int both = 0; both < 2 && !id_is_empty(r->model); both++) {
      if (both && id_is_empty(r->adapter))
        break;
      uint32_t key = gateway_engine_model_key(r->model, both ? r->adapter : id_of_text(""));
      bool there = false;
      for (size_t j = 0; j < n; j++)
        there |= m[j] == key;
      if (!there && n < PEER_LOAD_MAX_MODELS)
        m[n++] = key;
    }
  }
  l->n_model_hashes = n;
  l->model_hashes = g_memdup2(m, n * sizeof *m);
}

/* what this node runs at an engine, and failures of it that nobody has been told of */
static Wire__EngineTraffic *load_message_new(const gateway_engine *engine, int failed) {
  Wire__EngineTraffic *load = g_new(Wire__EngineTraffic, 1);
  wire__engine_traffic__init(load);
  load->engine = (char *)engine->engine_id.text;
  load->running_streams = (uint32_t)engine->own_running;
  load->waiting_tokens = (uint64_t)engine->own_waiting_tokens;
  load->failures = (uint32_t)failed;
  load_message_models(engine, load);
  return load;
}

/* tells one node all that this one runs */
static void loads_send(gateway *gateway, const char *addr) {
  GPtrArray *loads = g_ptr_array_new_with_free_func(load_free);
  list_for_each (i, &gateway->engines, gateway_engine, link)
    if (!i->gone && i->own_running)
      g_ptr_array_add(loads, load_message_new(i, 0));
  Wire__TrafficReport message = WIRE__TRAFFIC_REPORT__INIT;
  message.n_engines = loads->len;
  message.engines = (Wire__EngineTraffic **)loads->pdata;
  Wire__Envelope out = wire_envelope(WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, &message);
  node_send(&gateway->router->node, addr, &out);
  g_ptr_array_free(loads, TRUE);
}

/* tells other nodes what this one runs where; beyond some nodes, a few of them at a time */
static void loads_broadcast_run(void *p) {
  gateway *gateway = p;
  node *node = &gateway->router->node;
  bool said = false;
  while (world_sleep_with_jitter(node->world, time_from_ms(LOADS_INTERVAL_MS))) {
    time_us now = world_now(node->world);
    GPtrArray *all = g_ptr_array_new_with_free_func(load_free), *to = g_ptr_array_new();
    /* a node that fails with most engines ails itself, and accuses nobody */
    int failing = 0, well_now = 0;
    list_for_each (i, &gateway->engines, gateway_engine, link) {
      failing += i->unreported_failures > 0;
      well_now +=
          i->last_success_at.us && !time_reached(now, after(i->last_success_at, CHANGE_SETTLE_MS));
    }
    bool own = failing >= OWN_FAULT_MIN_ENGINES && failing > well_now, tell = false;
    gateway->router_count = 1;
    list_for_each (peer, &node->peers, peer_node, link)
      if (peer->role == ROLE_ROUTER && !peer->gone) {
        gateway->router_count++;
        g_ptr_array_add(to, peer);
      }
    bool some = false;
    list_for_each (i, &gateway->engines, gateway_engine, link) {
      if (i->gone) {
        if (i->refs <= 0 && time_reached(now, after(i->gone_at, ENGINE_TOMBSTONE_MS)))
          gateway_engine_free(i);
        continue;
      }
      gateway_engine_check(i);
      peer_loads_sum(i);
      int failed = own ? 0 : i->unreported_failures;
      i->unreported_failures = 0;
      tell |= failed > 0;
      if (!i->own_running && !failed)
        continue;
      if (i->own_running)
        some = true;
      g_ptr_array_add(all, load_message_new(i, failed));
    }
    Wire__TrafficReport q = WIRE__TRAFFIC_REPORT__INIT;
    q.n_engines = all->len;
    q.engines = (Wire__EngineTraffic **)all->pdata;
    Wire__Envelope out = wire_envelope(WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, &q);
    /* failures are told to all: each node alone sees too few of them */
    guint most = to->len <= LOADS_BROADCAST_MAX_NODES || tell ? to->len : LOADS_GOSSIP_FANOUT;
    for (guint k = 0; (all->len || said) && k < most; k++) {
      guint pick_at = k + (guint)world_random(node->world, to->len - k);
      peer_node *peer = to->pdata[pick_at];
      to->pdata[pick_at] = to->pdata[k];
      node_send(node, peer->address, &out);
    }
    said = some;
    g_ptr_array_free(all, TRUE);
    g_ptr_array_free(to, TRUE);
  }
}

void gateway_engines_start(gateway *gateway) {
  gateway->router_count = 1;
  gateway->slow_estimates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  node_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, on_engines,
                        gateway);
  node_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, on_loads,
                        gateway);
  task_start(&gateway->router->node.world->tasks, "loads", loads_broadcast_run, gateway);
}

void gateway_engines_free(gateway *gateway) {
  list_for_each (i, &gateway->engines, gateway_engine, link)
    gateway_engine_free(i);
  if (gateway->slow_estimates)
    g_hash_table_destroy(gateway->slow_estimates);
  gateway->slow_estimates = NULL;
}
