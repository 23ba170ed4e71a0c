#include "gateway.h"
#include <math.h>
#include <stdio.h>

enum {
  ABSENT_MS = 2500,
  SETTLE_MS = 1500,
  GOING_MS = 3000,
  TOMB_MS = 60000,
  ENDS_MS = 1000,
  SHUN_MS = 150,
  SHUN_MOST_MS = 3000,
  TRIAL_MS = 400,
  SILENT_MS = 400,
  BEHIND_MS = 700,
  LOST_FAILS = 3,
  LOST_MS = 800,
  LOADS_MS = 250,
  LOADS_ALL = 16,
  LOADS_SOME = 12,
  ILL_FADE_MS = 2500,
  ILL_MS = 2000,
  ILL_MOST_MS = 16000,
  ILL_WELL_MS = 12000,
  ORDERED_MS = 3000,
  OWN_FAULT = 3
};
static const double ILL_AT = 2.5, ILL_AGAIN = 1, ILL_AFAR = 0.6;

/* one own request under way: what it asked for, and whether its first event has come */
typedef struct run_note {
  id model, adapter;
  time_us at;
  double tokens, fresh;
  bool first;
} run_note;
/* what another node says of its own requests there */
enum { OTHER_MODELS = 16 };
typedef struct other_note {
  uint64_t nonce;
  time_us at;
  int running;
  double tokens;
  uint32_t models[OTHER_MODELS];
} other_note;
/* what an order changed */
typedef struct change_note {
  id model, adapter;
  bool up;
  time_us at;
} change_note;

static time_us now_of(const instance *instance) {
  return world_now(instance->gateway->router->node.world);
}
static time_us after(time_us a, int64_t ms) {
  return time_add(a, time_from_ms(ms));
}

instance *instance_find(gateway *gateway, const char *self) {
  return g_hash_table_lookup(gateway->instance_at, self);
}

static void resident_free(resident *resident) {
  list_remove(&resident->link);
  g_ptr_array_free(resident->adapters, TRUE);
  g_ptr_array_free(resident->leaving, TRUE);
  g_free(resident);
}

static resident *resident_any(const instance *instance, id model) {
  list_for_each (r, &instance->residents, resident, link)
    if (id_equal(r->model, model))
      return r;
  return NULL;
}

static resident *resident_make(instance *instance, id model) {
  resident *r = g_new0(resident, 1);
  r->model = model;
  r->adapters = g_ptr_array_new_with_free_func(g_free);
  r->leaving = g_ptr_array_new_with_free_func(g_free);
  r->up_at = now_of(instance);
  list_append(&instance->residents, &r->link);
  if (!g_hash_table_contains(instance->held_before, model.text))
    g_hash_table_add(instance->held_before, g_strdup(model.text));
  return r;
}

static int name_at(const GPtrArray *names, const char *name) {
  for (guint k = 0; k < names->len; k++)
    if (!strcmp(names->pdata[k], name))
      return (int)k;
  return -1;
}

static int adapter_at(const resident *resident, const char *a) {
  return name_at(resident->adapters, a);
}

static void name_remove(GPtrArray *names, const char *name) {
  int at = name_at(names, name);
  if (at >= 0)
    g_ptr_array_remove_index_fast(names, (guint)at);
}

/* An adapter that is ordered away gets no new work; what an engine reports of it later than the
 * order can have taken says whether it stayed. */
static void adapter_leaves(resident *resident, id adapter) {
  if (adapter_at(resident, adapter.text) < 0)
    return;
  name_remove(resident->adapters, adapter.text);
  g_ptr_array_add(resident->leaving, g_strdup(adapter.text));
}

static void changed(instance *instance, id model, id adapter, bool up) {
  time_us now = now_of(instance);
  for (guint k = instance->changes->len; k-- > 0;) {
    change_note *c = &g_array_index(instance->changes, change_note, k);
    if (time_reached(now, after(c->at, GOING_MS + SETTLE_MS)) ||
        (id_equal(c->model, model) && id_equal(c->adapter, adapter)))
      g_array_remove_index_fast(instance->changes, k);
  }
  change_note c = { model, adapter, up, now };
  g_array_append_val(instance->changes, c);
}

/* true when an order of late says otherwise than what was seen at an instant */
static bool contradicts(const instance *instance, id model, id adapter, bool up, time_us at,
                        int64_t guard_ms) {
  for (guint k = 0; k < instance->changes->len; k++) {
    change_note *c = &g_array_index(instance->changes, change_note, k);
    if (!id_equal(c->model, model) || !id_equal(c->adapter, adapter) || c->up == up)
      continue;
    if (!time_reached(at, after(c->at, c->up ? guard_ms : guard_ms + GOING_MS - SETTLE_MS)))
      return true;
  }
  return false;
}

static instance *instance_make(gateway *gateway, id self) {
  instance *i = g_new0(instance, 1);
  i->gateway = gateway;
  i->self = self;
  list_init(&i->residents);
  list_init(&i->orders);
  condition_init(&i->work);
  i->held_before = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  i->runs = g_array_new(FALSE, TRUE, sizeof(run_note));
  i->others = g_array_new(FALSE, TRUE, sizeof(other_note));
  i->changes = g_array_new(FALSE, TRUE, sizeof(change_note));
  room_init(&i->room);
  i->base_ms = 30;
  i->ms_per_token = 0.05;
  i->usual_run = 60;
  list_append(&gateway->instances, &i->link);
  g_hash_table_insert(gateway->instance_at, i->self.text, i);
  return i;
}

static void instance_free(instance *instance) {
  g_hash_table_remove(instance->gateway->instance_at, instance->self.text);
  list_remove(&instance->link);
  list_for_each (r, &instance->residents, resident, link)
    resident_free(r);
  g_hash_table_destroy(instance->held_before);
  g_array_free(instance->runs, TRUE);
  g_array_free(instance->others, TRUE);
  g_array_free(instance->changes, TRUE);
  room_free(&instance->room);
  g_free(instance->parts);
  g_free(instance);
}

void instance_ref(instance *instance) {
  instance->refs++;
}
void instance_unref(instance *instance) {
  instance->refs--;
}

void instance_over(instance *instance, const char *why) {
  if (instance->gone)
    return;
  instance->gone = true;
  instance->gone_at = now_of(instance);
  log_debug(&instance->gateway->router->node.log, "engine", "%s at %s is gone: %s.",
            instance->self.text, instance->addr, why);
  list_for_each (r, &instance->residents, resident, link)
    resident_free(r);
  g_free(instance->parts);
  instance->parts = NULL;
  g_array_set_size(instance->others, 0);
  condition_broadcast(&instance->work);
  condition_broadcast(&instance->gateway->moved);
}

void instance_models(instance *instance, Wire__ResidentModel **m, size_t n, time_us at,
                     int64_t guard_ms) {
  bool moved = !instance->models_known;
  id none = id_of_text("");
  instance->models_known = true;
  list_for_each (r, &instance->residents, resident, link) {
    Wire__ResidentModel *w = NULL;
    for (size_t k = 0; k < n; k++)
      if (!strcmp(m[k]->model, r->model.text))
        w = m[k];
    if (!w) {
      if (contradicts(instance, r->model, none, false, at, guard_ms))
        continue;
      if (r->unloading && contradicts(instance, r->model, none, true, at, guard_ms))
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
          contradicts(instance, r->model, id_of_text(r->adapters->pdata[k]), false, at, guard_ms))
        continue;
      g_ptr_array_remove_index_fast(r->adapters, k);
      moved = true;
    }
    for (guint k = r->leaving->len; k-- > 0;)
      if (!contradicts(instance, r->model, id_of_text(r->leaving->pdata[k]), true, at, guard_ms))
        g_ptr_array_remove_index_fast(r->leaving, k);
  }
  for (size_t k = 0; k < n; k++) {
    if (!id_is_valid(string_view_of(m[k]->model)))
      continue;
    id model = id_of_text(m[k]->model);
    resident *r = resident_any(instance, model);
    if (!r) {
      if (contradicts(instance, model, none, true, at, guard_ms))
        continue;
      r = resident_make(instance, model);
      r->up_at = (time_us){ 0 };
      moved = true;
    }
    r->version = m[k]->weights_version;
    for (size_t j = 0; j < m[k]->n_adapters; j++) {
      const char *a = m[k]->adapters[j];
      if (adapter_at(r, a) >= 0 || !id_is_valid(string_view_of(a)) ||
          contradicts(instance, model, id_of_text(a), true, at, guard_ms))
        continue;
      g_ptr_array_add(r->adapters, g_strdup(a));
      moved = true;
    }
  }
  if (moved)
    condition_broadcast(&instance->gateway->moved);
}

void instance_heard(gateway *gateway, const Wire__EngineState *w) {
  if (!id_is_valid(string_view_of(w->id)))
    return;
  time_us now = world_now(gateway->router->node.world);
  instance *i = instance_find(gateway, w->id);
  if (i && i->gone) {
    /* one that was only silent is back with a later beat; its word of that is a new start for what
     * is known of it */
    if (!i->silent || w->gone || w->heartbeat_count <= i->count) {
      if (w->gone && w->draining)
        i->silent = false;
      return;
    }
    i->gone = i->silent = i->models_known = false;
    i->told_at = i->reported_at = (time_us){ 0 };
    i->fails = 0;
    i->suspect = false;
    i->shunned_till = (time_us){ 0 };
    condition_broadcast(&gateway->moved);
  }
  if (!i) {
    if (w->gone || !address_is_valid(w->address) || !id_is_valid(string_view_of(w->service)))
      return;
    i = instance_make(gateway, id_of_text(w->id));
    g_strlcpy(i->addr, w->address, sizeof i->addr);
    i->service = id_of_text(w->service);
    i->area = id_of_text(w->zone);
    /* its speed is taken to be that of its fellows until it is known */
    list_for_each (o, &gateway->instances, instance, link) {
      if (o == i || o->gone || !id_equal(o->service, i->service))
        continue;
      i->base_ms = o->base_ms;
      i->ms_per_token = o->ms_per_token;
      i->usual_run = o->usual_run;
      i->usual_tokens = o->usual_tokens;
      break;
    }
    i->beat_at = time_sub(now, time_from_ms((int64_t)w->age_ms));
    list_for_each (o, &gateway->instances, instance, link) {
      if (o == i || o->gone || strcmp(o->addr, i->addr))
        continue;
      if (o->beat_at.us <= i->beat_at.us)
        instance_over(o, "its address has a new life");
      else
        instance_over(i, "its address has a new life");
    }
    if (i->gone)
      return;
    condition_broadcast(&gateway->moved);
  }
  /* gone and leaving is for good; gone alone is silence */
  if (w->gone) {
    i->silent = !w->draining;
    instance_over(i, w->draining ? "signed off" : "silent");
    return;
  }
  time_us at = time_sub(now, time_from_ms((int64_t)MIN(w->age_ms, 100000000)));
  if (w->draining && !i->leaving) {
    i->leaving = true;
    i->leaving_at = now;
    condition_broadcast(&gateway->moved);
  }
  if (w->ends_in_ms) {
    time_us ends = time_add(at, time_from_ms((int64_t)MIN(w->ends_in_ms, 100000000)));
    if (!i->ends_at.us || ends.us < i->ends_at.us)
      i->ends_at = ends;
  }
  if (w->heartbeat_count < i->count)
    return;
  if (w->heartbeat_count == i->count && i->told_at.us) {
    if (at.us > i->beat_at.us)
      i->beat_at = at;
    return;
  }
  i->told_at = now;
  i->count = w->heartbeat_count;
  i->beat_at = at;
  i->version = id_of_text(w->version ? w->version : "");
  i->slots = w->slots;
  i->cold_till = w->slow_start_ms
                     ? time_add(at, time_from_ms((int64_t)MIN(w->slow_start_ms, 100000000)))
                     : (time_us){ 0 };
  /* a beat that is older than the engine's own last report says nothing new of what it holds */
  if (i->reported_at.us && at.us <= i->reported_at.us + BEHIND_MS * 1000)
    return;
  instance_models(i, w->models, w->n_models, at, SETTLE_MS);
}

bool instance_usable(const instance *instance) {
  if (instance->gone || instance->leaving)
    return false;
  time_us now = now_of(instance);
  return !(instance->ends_at.us &&
           time_reached(now, time_sub(instance->ends_at, time_from_ms(ENDS_MS)))) &&
         !(instance->shunned_till.us > now.us);
}

resident *instance_resident(const instance *instance, id model) {
  resident *resident = resident_any(instance, model);
  return resident && !resident->unloading ? resident : NULL;
}

bool instance_holds(const instance *instance, id model, id adapter) {
  if (id_is_empty(model))
    return true;
  resident *resident = instance_resident(instance, model);
  return resident && (id_is_empty(adapter) || adapter_at(resident, adapter.text) >= 0);
}

int instance_copies(gateway *gateway, id service, id model, id adapter) {
  int n = 0;
  list_for_each (i, &gateway->instances, instance, link)
    n += !i->gone && !i->leaving && id_equal(i->service, service) &&
         instance_holds(i, model, adapter) && !instance_lost(i);
  return n;
}

/* how a model, or an adapter on its model, is named among nodes that tell what they run; never 0 */
uint32_t run_key(id model, id adapter) {
  return (uint32_t)hash_two_names(model.text, adapter.text) | 1;
}

bool instance_runs(const instance *instance, id model, id adapter) {
  for (guint k = 0; k < instance->runs->len; k++) {
    const run_note *r = &g_array_index(instance->runs, run_note, k);
    if (id_equal(r->model, model) && (id_is_empty(adapter) || id_equal(r->adapter, adapter)))
      return true;
  }
  uint32_t key = run_key(model, adapter);
  for (guint k = 0; k < instance->others->len; k++) {
    const other_note *o = &g_array_index(instance->others, other_note, k);
    for (int m = 0; m < OTHER_MODELS && o->models[m]; m++)
      if (o->models[m] == key)
        return true;
  }
  return false;
}

time_us instance_loaded_at(const instance *instance, id model, id adapter) {
  for (guint k = 0; k < instance->changes->len; k++) {
    const change_note *c = &g_array_index(instance->changes, change_note, k);
    if (c->up && id_equal(c->model, model) && id_equal(c->adapter, adapter))
      return c->at;
  }
  return (time_us){ 0 };
}

bool instance_lost(const instance *instance) {
  if (instance->fails < LOST_FAILS && !instance->suspect)
    return false;
  time_us since = instance->suspect ? instance->suspect_at : instance->failed_at;
  return instance->last_byte.us < since.us &&
         time_reached(now_of(instance), after(instance->last_byte, LOST_MS));
}

bool instance_ill(const instance *instance) {
  return instance->ill_till.us > now_of(instance).us;
}

void instance_failed(instance *instance, double weight) {
  time_us now = now_of(instance);
  if (instance->gone || instance_ill(instance) || !gateway_uses(instance->gateway, MECHANISM_GREY))
    return;
  /* one that was ill has less patience to lose, until it has been well for long */
  if (instance->ill_times && time_reached(now, after(instance->ill_till, ILL_WELL_MS)))
    instance->ill_times = 0;
  double gap = (double)time_sub(now, instance->ill_at).us / 1000;
  instance->ill = (instance->ill_at.us ? instance->ill * exp2(-gap / ILL_FADE_MS) : 0) + weight;
  instance->ill_at = now;
  if (instance->ill < (instance->ill_times ? ILL_AGAIN : ILL_AT))
    return;
  instance->ill = 0;
  instance->ill_till = after(now, MIN((int64_t)ILL_MS << MIN(instance->ill_times, 6), ILL_MOST_MS));
  instance->ill_times++;
  log_debug(&instance->gateway->router->node.log, "engine", "%s at %s fails too often.",
            instance->self.text, instance->addr);
}

void instance_failed_here(instance *instance) {
  instance->ill_unannounced++;
  instance_failed(instance, 1);
}

bool instance_at_ease(const instance *instance) {
  time_us now = now_of(instance);
  if (instance->slots && 2 * instance_running(instance) > (int)instance->slots)
    return false;
  if (instance->ms_per_token * instance_waiting(instance) > ILL_MS / 4 ||
      !time_reached(now, after(instance->ordered_at, ORDERED_MS)))
    return false;
  for (guint k = 0; k < instance->changes->len; k++)
    if (!time_reached(now, after(g_array_index(instance->changes, change_note, k).at, ORDERED_MS)))
      return false;
  return true;
}

void instance_loaded(instance *instance, id model, id adapter) {
  if (instance->gone)
    return;
  resident *resident = resident_any(instance, model);
  if (!resident)
    resident = resident_make(instance, model);
  if (resident->unloading)
    resident->unloading = false;
  if (id_is_empty(adapter))
    resident->up_at = now_of(instance);
  else if (adapter_at(resident, adapter.text) < 0)
    g_ptr_array_add(resident->adapters, g_strdup(adapter.text));
  name_remove(resident->leaving, adapter.text);
  changed(instance, model, adapter, true);
  condition_broadcast(&instance->gateway->moved);
}

void instance_unloaded(instance *instance, id model, id adapter) {
  resident *resident = resident_any(instance, model);
  if (!resident)
    return;
  changed(instance, model, adapter, false);
  if (id_is_empty(adapter))
    resident_free(resident);
  else {
    name_remove(resident->adapters, adapter.text);
    name_remove(resident->leaving, adapter.text);
  }
  condition_broadcast(&instance->gateway->moved);
}

void instance_going(instance *instance, id model, id adapter) {
  resident *resident = resident_any(instance, model);
  if (resident && id_is_empty(adapter))
    resident->unloading = true;
  else if (resident)
    adapter_leaves(resident, adapter);
  changed(instance, model, adapter, false);
}

/* what a node's last picked request was is known when it is sent, since no other is picked in
 * between */
void instance_sent(instance *instance, double tokens) {
  run_note r = { instance->picked_model,
                 instance->picked_adapter,
                 now_of(instance),
                 tokens,
                 instance->picked_tokens == tokens ? instance->picked_fresh : tokens,
                 false };
  g_array_append_val(instance->runs, r);
  instance->running++;
  instance->tokens += r.fresh;
  instance->read_tokens += r.fresh;
  instance->usual_tokens = instance->usual_tokens
                               ? instance->usual_tokens + 0.05 * (tokens - instance->usual_tokens)
                               : tokens;
  if (!instance->oldest_wait.us)
    instance->oldest_wait = r.at;
  if (!id_is_empty(r.model)) {
    resident *m = resident_any(instance, r.model);
    if (m) {
      m->running++;
      m->last_used = r.at;
    }
  }
  if (instance->fails > 0)
    instance->shunned_till = after(r.at, TRIAL_MS);
}

static void waits(instance *instance) {
  instance->oldest_wait = (time_us){ 0 };
  for (guint k = 0; k < instance->runs->len; k++) {
    run_note *r = &g_array_index(instance->runs, run_note, k);
    if (!r->first && (!instance->oldest_wait.us || r->at.us < instance->oldest_wait.us))
      instance->oldest_wait = r->at;
  }
}

static int run_of(const instance *instance, double tokens, bool first) {
  int best = -1;
  for (guint k = 0; k < instance->runs->len; k++) {
    run_note *r = &g_array_index(instance->runs, run_note, k);
    if (r->first != first || (tokens >= 0 && r->tokens != tokens))
      continue;
    if (best < 0 || r->at.us < g_array_index(instance->runs, run_note, best).at.us)
      best = (int)k;
  }
  return best;
}

static void well(instance *instance) {
  if (instance->fails || instance->suspect)
    condition_broadcast(&instance->gateway->moved);
  instance->fails = 0;
  instance->suspect = false;
  instance->shunned_till = (time_us){ 0 };
}

void instance_first(instance *instance, double tokens, double ms, int running_then) {
  time_us now = now_of(instance);
  instance->last_byte = now;
  int k = run_of(instance, tokens, false);
  double fresh = tokens;
  if (k >= 0) {
    run_note *r = &g_array_index(instance->runs, run_note, k);
    r->first = true;
    fresh = r->fresh;
    instance->tokens = MAX(0, instance->tokens - r->fresh);
  }
  waits(instance);
  instance->usual_first =
      instance->usual_first ? instance->usual_first + 0.1 * (ms - instance->usual_first) : ms;
  well(instance);
  /* it is learnt from only when little else was ahead of it */
  double ahead = instance_waiting(instance);
  unsigned slots = MAX(instance->slots, 1);
  if (ahead > 0.5 * MAX(fresh, 200) || running_then > (int)slots)
    return;
  ms /= 1 + 0.3 * MIN(1, (double)running_then / slots);
  if (fresh < 200)
    instance->base_ms +=
        0.1 * (CLAMP(ms - fresh * instance->ms_per_token, 0.5, 4 * instance->base_ms) -
               instance->base_ms);
  else {
    double k2 = (ms - instance->base_ms) / fresh;
    instance->ms_per_token +=
        0.1 * (CLAMP(k2, 0.25 * instance->ms_per_token, 2 * instance->ms_per_token) -
               instance->ms_per_token);
  }
  instance->base_ms = CLAMP(instance->base_ms, 1, 400);
  instance->ms_per_token = CLAMP(instance->ms_per_token, 0.004, 2);
}

void instance_ended(instance *instance, bool ok) {
  time_us now = now_of(instance);
  int k = run_of(instance, -1, ok);
  if (k < 0)
    k = run_of(instance, -1, !ok);
  if (k >= 0) {
    run_note *r = &g_array_index(instance->runs, run_note, k);
    if (!r->first)
      instance->tokens = MAX(0, instance->tokens - r->fresh);
    if (ok)
      instance->usual_run += 0.05 * ((double)time_sub(now, r->at).us / 1000 - instance->usual_run);
    resident *m = id_is_empty(r->model) ? NULL : resident_any(instance, r->model);
    if (m && m->running > 0)
      m->running--;
    g_array_remove_index_fast(instance->runs, (guint)k);
  }
  if (!instance->runs->len)
    instance->tokens = 0;
  if (instance->running > 0)
    instance->running--;
  waits(instance);
  if (ok) {
    instance->last_ok = now;
    well(instance);
    return;
  }
  instance->failed_at = now;
  instance->fails++;
  if (instance_at_ease(instance))
    instance_failed_here(instance);
  instance->shunned_till =
      after(now, MIN((int64_t)SHUN_MS << MIN(instance->fails - 1, 6), SHUN_MOST_MS));
}

static void others_count(instance *instance) {
  time_us now = now_of(instance);
  int nodes = MAX(instance->gateway->nodes, 1);
  int64_t keep =
      nodes <= LOADS_ALL ? 1000 : MAX(1000, (int64_t)LOADS_MS * nodes * 3 / (LOADS_SOME * 2));
  instance->others_running = 0;
  instance->others_tokens = 0;
  for (guint k = instance->others->len; k-- > 0;) {
    other_note *o = &g_array_index(instance->others, other_note, k);
    if (time_reached(now, after(o->at, keep))) {
      g_array_remove_index_fast(instance->others, k);
      continue;
    }
    instance->others_running += o->running;
    instance->others_tokens += o->tokens;
  }
}

double instance_waiting(const instance *instance) {
  return instance->tokens + instance->others_tokens;
}
int instance_running(const instance *instance) {
  return instance->running + instance->others_running;
}

void instance_check(instance *instance) {
  if (instance->gone)
    return;
  time_us now = now_of(instance);
  if (instance->last_byte.us > instance->failed_at.us && instance->fails)
    instance->fails = 0;
  if (instance->suspect && instance->last_byte.us > instance->suspect_at.us)
    instance->suspect = false;
  int64_t silent = MAX(SILENT_MS, (int64_t)(4 * instance->usual_first));
  if (!instance->suspect && instance->oldest_wait.us &&
      time_reached(now, after(instance->oldest_wait, silent)) &&
      time_reached(now, after(instance->last_byte, silent))) {
    instance->suspect = true;
    instance->suspect_at = now;
  }
}

void instances_news(gateway *gateway, const Wire__ConfigPollResponse *b) {
  time_us now = world_now(gateway->router->node.world);
  if (b->engines_complete) {
    GHashTable *there = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t k = 0; k < b->n_engines; k++)
      g_hash_table_add(there, b->engines[k]->id);
    list_for_each (i, &gateway->instances, instance, link)
      if (!i->gone && !g_hash_table_contains(there, i->self.text) &&
          time_reached(now, after(i->beat_at, ABSENT_MS))) {
        i->silent = true;
        instance_over(i, "no longer registered");
      }
    g_hash_table_destroy(there);
  }
  for (size_t k = 0; k < b->n_engines; k++)
    instance_heard(gateway, b->engines[k]);
  if (b->engines_complete || b->n_engines) {
    if (!gateway->told)
      condition_broadcast(&gateway->moved);
    gateway->told = true;
  }
}

static void loads_tell(gateway *gateway, const char *addr);

/* true when this node runs something at an engine that a list of what it holds has not */
static bool runs_unlisted(const instance *instance, const Wire__EngineState *listed) {
  for (guint k = 0; k < instance->runs->len; k++) {
    const run_note *run = &g_array_index(instance->runs, run_note, k);
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
      instance_heard(gateway, w);
      continue;
    }
    instance *instance = instance_find(gateway, w->id);
    if (!instance || instance->gone)
      continue;
    time_us now = world_now(gateway->router->node.world);
    instance->ordered_at = now;
    /* what it holds now, against what was known: the differences are changes that older beats don't
     * undo */
    list_for_each (r, &instance->residents, resident, link) {
      Wire__ResidentModel *m = NULL;
      for (size_t j = 0; j < w->n_models; j++)
        if (!strcmp(w->models[j]->model, r->model.text))
          m = w->models[j];
      if (!m) {
        changed(instance, r->model, id_of_text(""), false);
        continue;
      }
      for (guint a = 0; a < r->adapters->len; a++) {
        bool there = false;
        for (size_t j = 0; j < m->n_adapters && !there; j++)
          there = !strcmp(m->adapters[j], r->adapters->pdata[a]);
        if (!there)
          changed(instance, r->model, id_of_text(r->adapters->pdata[a]), false);
      }
    }
    for (size_t j = 0; j < w->n_models; j++) {
      id m = id_of_text(w->models[j]->model);
      resident *r = resident_any(instance, m);
      if (!r)
        changed(instance, m, id_of_text(""), true);
      for (size_t a = 0; a < w->models[j]->n_adapters; a++)
        if (!r || adapter_at(r, w->models[j]->adapters[a]) < 0)
          changed(instance, m, id_of_text(w->models[j]->adapters[a]), true);
    }
    instance_models(instance, w->models, w->n_models, now, 0);
    /* the holder may have thought that nobody runs what it means to unload */
    if (gateway_uses(gateway, MECHANISM_OBJECTIONS) && runs_unlisted(instance, w))
      loads_tell(gateway, in->from->address);
  }
  return OK;
}

void instance_cast(instance *instance) {
  node *node = &instance->gateway->router->node;
  guint n = 0;
  list_for_each (r, &instance->residents, resident, link)
    n += !r->unloading;
  Wire__ResidentModel *m = g_new(Wire__ResidentModel, n + 1),
                      **mp = g_new(Wire__ResidentModel *, n + 1);
  guint k = 0;
  list_for_each (r, &instance->residents, resident, link) {
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
  e.id = instance->self.text;
  e.service = instance->service.text;
  e.address = instance->addr;
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

void instances_loads(gateway *gateway, uint64_t nonce, bool near, const Wire__TrafficReport *q) {
  time_us now = world_now(gateway->router->node.world);
  for (size_t k = 0; k < q->n_engines; k++) {
    Wire__EngineTraffic *l = q->engines[k];
    instance *i = instance_find(gateway, l->engine);
    if (!i || i->gone)
      continue;
    other_note n = { nonce,
                     now,
                     (int)MIN(l->running_streams, 100000),
                     (double)l->waiting_tokens,
                     { 0 } },
               *at = NULL;
    for (size_t j = 0; j < l->n_model_hashes && j < OTHER_MODELS; j++)
      n.models[j] = l->model_hashes[j];
    for (guint j = 0; j < i->others->len; j++)
      if (g_array_index(i->others, other_note, j).nonce == n.nonce)
        at = &g_array_index(i->others, other_note, j);
    if (at)
      *at = n;
    else
      g_array_append_val(i->others, n);
    others_count(i);
    if (l->failures)
      instance_failed(i, MIN(l->failures, 4) * (near ? 1 : ILL_AFAR));
  }
  /* a node tells all that it runs: where it names no engine, it runs nothing there */
  list_for_each (i, &gateway->instances, instance, link)
    for (guint j = 0; j < i->others->len; j++) {
      other_note *o = &g_array_index(i->others, other_note, j);
      if (o->nonce != nonce || o->at.us == now.us)
        continue;
      g_array_remove_index_fast(i->others, j);
      others_count(i);
      break;
    }
}

static int on_loads(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  (void)reply;
  (void)err;
  instances_loads(gateway, in->from->nonce,
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
static void load_models(const instance *instance, Wire__EngineTraffic *l) {
  uint32_t m[OTHER_MODELS];
  size_t n = 0;
  for (guint k = 0; k < instance->runs->len; k++) {
    const run_note *r = &g_array_index(instance->runs, run_note, k);
    for (int both = 0; both < 2 && !id_is_empty(r->model); both++) {
      if (both && id_is_empty(r->adapter))
        break;
      uint32_t key = run_key(r->model, both ? r->adapter : id_of_text(""));
      bool there = false;
      for (size_t j = 0; j < n; j++)
        there |= m[j] == key;
      if (!there && n < OTHER_MODELS)
        m[n++] = key;
    }
  }
  l->n_model_hashes = n;
  l->model_hashes = g_memdup2(m, n * sizeof *m);
}

/* what this node runs at an engine, and failures of it that nobody has been told of */
static Wire__EngineTraffic *load_of(const instance *instance, int failed) {
  Wire__EngineTraffic *load = g_new(Wire__EngineTraffic, 1);
  wire__engine_traffic__init(load);
  load->engine = (char *)instance->self.text;
  load->running_streams = (uint32_t)instance->running;
  load->waiting_tokens = (uint64_t)instance->tokens;
  load->failures = (uint32_t)failed;
  load_models(instance, load);
  return load;
}

/* tells one node all that this one runs */
static void loads_tell(gateway *gateway, const char *addr) {
  GPtrArray *loads = g_ptr_array_new_with_free_func(load_free);
  list_for_each (i, &gateway->instances, instance, link)
    if (!i->gone && i->running)
      g_ptr_array_add(loads, load_of(i, 0));
  Wire__TrafficReport message = WIRE__TRAFFIC_REPORT__INIT;
  message.n_engines = loads->len;
  message.engines = (Wire__EngineTraffic **)loads->pdata;
  Wire__Envelope out = wire_envelope(WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, &message);
  node_send(&gateway->router->node, addr, &out);
  g_ptr_array_free(loads, TRUE);
}

/* tells other nodes what this one runs where; beyond some nodes, a few of them at a time */
static void loads_run(void *p) {
  gateway *gateway = p;
  node *node = &gateway->router->node;
  bool said = false;
  while (world_sleep_with_jitter(node->world, time_from_ms(LOADS_MS))) {
    time_us now = world_now(node->world);
    GPtrArray *all = g_ptr_array_new_with_free_func(load_free), *to = g_ptr_array_new();
    /* a node that fails with most engines ails itself, and accuses nobody */
    int failing = 0, well_now = 0;
    list_for_each (i, &gateway->instances, instance, link) {
      failing += i->ill_unannounced > 0;
      well_now += i->last_ok.us && !time_reached(now, after(i->last_ok, SETTLE_MS));
    }
    bool own = failing >= OWN_FAULT && failing > well_now, tell = false;
    gateway->nodes = 1;
    list_for_each (peer, &node->peers, peer_node, link)
      if (peer->role == ROLE_ROUTER && !peer->gone) {
        gateway->nodes++;
        g_ptr_array_add(to, peer);
      }
    bool some = false;
    list_for_each (i, &gateway->instances, instance, link) {
      if (i->gone) {
        if (i->refs <= 0 && time_reached(now, after(i->gone_at, TOMB_MS)))
          instance_free(i);
        continue;
      }
      instance_check(i);
      others_count(i);
      int failed = own ? 0 : i->ill_unannounced;
      i->ill_unannounced = 0;
      tell |= failed > 0;
      if (!i->running && !failed)
        continue;
      if (i->running)
        some = true;
      g_ptr_array_add(all, load_of(i, failed));
    }
    Wire__TrafficReport q = WIRE__TRAFFIC_REPORT__INIT;
    q.n_engines = all->len;
    q.engines = (Wire__EngineTraffic **)all->pdata;
    Wire__Envelope out = wire_envelope(WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, &q);
    /* failures are told to all: each node alone sees too few of them */
    guint most = to->len <= LOADS_ALL || tell ? to->len : LOADS_SOME;
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

void instances_start(gateway *gateway) {
  gateway->nodes = 1;
  gateway->slow = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  node_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, on_engines,
                        gateway);
  node_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_TRAFFIC_REPORT, on_loads,
                        gateway);
  task_start(&gateway->router->node.world->tasks, "loads", loads_run, gateway);
}

void instances_free(gateway *gateway) {
  list_for_each (i, &gateway->instances, instance, link)
    instance_free(i);
  if (gateway->slow)
    g_hash_table_destroy(gateway->slow);
  gateway->slow = NULL;
}
