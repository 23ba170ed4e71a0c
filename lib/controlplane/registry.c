#include "registry.h"

enum { COLD_SLACK_MS = 1500, ENDS_SLACK_MS = 500, STALL_MS = 1500, UNREACHED_TIMES = 3 };

static void enlisted_free(void *p) {
  registered_engine *entry = p;
  if (entry->beat)
    wire__engine_state__free_unpacked(entry->beat, NULL);
  g_free(entry);
}

void registry_init(registry *registry, uint64_t run, time_us now) {
  memset(registry, 0, sizeof *registry);
  registry->run = run;
  registry->at = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, enlisted_free);
  registry->silent_ms = SILENT_MS;
  registry->tombstone_ms = TOMBSTONE_MS;
  registry->since = registry->swept = now;
}

void registry_free(registry *registry) {
  if (registry->at)
    g_hash_table_destroy(registry->at);
  registry->at = NULL;
}

registered_engine *registry_find(const registry *registry, const char *id) {
  return g_hash_table_lookup(registry->at, id);
}

static uint64_t add(uint64_t h, const char *s) {
  return hash_bytes(s, strlen(s), h);
}

/* over all that a node must know, but for what only time changes */
static uint64_t sum_of(const Wire__EngineState *w, bool leaving) {
  uint64_t h = add(add(add(add(leaving, w->service), w->address), w->zone), w->version);
  h = hash_bytes(&w->slots, sizeof w->slots, h);
  for (size_t i = 0; i < w->n_models; i++) {
    const Wire__ResidentModel *m = w->models[i];
    h = hash_bytes(&m->weights_version, sizeof m->weights_version, add(h, m->model));
    for (size_t k = 0; k < m->n_adapters; k++)
      h = add(h, m->adapters[k]);
  }
  return h;
}

static Wire__EngineState *copy(const Wire__EngineState *w) {
  size_t n = wire__engine_state__get_packed_size(w);
  uint8_t *p = g_malloc(n + 1);
  wire__engine_state__pack(w, p);
  Wire__EngineState *c = wire__engine_state__unpack(NULL, n, p);
  g_free(p);
  return c;
}

static void change(registry *registry, registered_engine *entry) {
  entry->changed = ++registry->seq;
}

static void go(registry *registry, registered_engine *entry, time_us now) {
  entry->gone = true;
  entry->gone_at = now;
  change(registry, entry);
}

/* an address belongs to the life that was heard last */
static void claim(registry *registry, registered_engine *entry, time_us now) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, registry->at);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registered_engine *o = p;
    if (o == entry || o->gone || !o->beat->address[0] ||
        strcmp(o->beat->address, entry->beat->address))
      continue;
    if (o->heard.us > entry->heard.us) {
      go(registry, entry, now);
      return;
    }
    go(registry, o, now);
  }
}

static bool differ(time_us a, time_us b, int64_t ms) {
  return time_sub(a, b).us > ms * 1000 || time_sub(b, a).us > ms * 1000;
}

static enum fold end(registry *registry, registered_engine *entry, time_us now) {
  entry->leaving = entry->signed_off = true;
  entry->sum = sum_of(entry->beat, true);
  go(registry, entry, now);
  return FOLD_ENDING;
}

static registered_engine *enlist(registry *registry, const Wire__EngineState *w) {
  registered_engine *entry = g_new0(registered_engine, 1);
  entry->beat = copy(w);
  g_hash_table_insert(registry->at, entry->beat->id, entry);
  return entry;
}

static enum fold fold(registry *registry, const Wire__EngineState *w, bool direct, time_us now) {
  time_us at = time_sub(now, time_from_ms((int64_t)MIN(w->age_ms, 1u << 30)));
  time_us cold = time_add(at, time_from_ms((int64_t)MIN(w->slow_start_ms, 1u << 30)));
  time_us ends = w->ends_in_ms ? time_add(at, time_from_ms((int64_t)MIN(w->ends_in_ms, 1u << 30)))
                               : (time_us){ 0 };
  bool final = w->gone && w->draining;
  registered_engine *entry = registry_find(registry, w->id);
  if (at.us > registry->newest.us)
    registry->newest = at;
  if (!entry) {
    if (w->gone && !final)
      return FOLD_LATE;
    entry = enlist(registry, w);
    entry->count = w->heartbeat_count;
    entry->heard = at;
    entry->cold_till = cold;
    entry->ends_at = ends;
    entry->leaving = w->draining;
    entry->sum = sum_of(entry->beat, entry->leaving);
    if (final)
      return end(registry, entry, now);
    change(registry, entry);
    claim(registry, entry, now);
    return entry->leaving ? FOLD_ENDING : FOLD_CHANGED;
  }
  if (entry->signed_off)
    return FOLD_LATE;
  if (final)
    return end(registry, entry, now);
  if (w->gone)
    return FOLD_LATE;
  bool ending = w->draining && !entry->leaving;
  entry->leaving |= w->draining;
  if (direct ? w->heartbeat_count <= entry->count : w->heartbeat_count < entry->count) {
    if (!ending)
      return FOLD_LATE;
    entry->sum = sum_of(entry->beat, true);
    change(registry, entry);
    return FOLD_ENDING;
  }
  bool later = at.us > entry->heard.us;
  bool back =
      entry->gone && later && !time_reached(now, time_add(at, time_from_ms(registry->silent_ms)));
  uint64_t sum = sum_of(w, entry->leaving);
  bool moved = strcmp(w->address, entry->beat->address);
  bool changed = sum != entry->sum || back || ending ||
                 (w->heartbeat_count > entry->count && w->slow_start_ms &&
                  differ(cold, entry->cold_till, COLD_SLACK_MS)) ||
                 (ends.us && (!entry->ends_at.us || differ(ends, entry->ends_at, ENDS_SLACK_MS)));
  if (sum != entry->sum && w->heartbeat_count == entry->count && !ending)
    changed = back;
  if (changed) {
    /* the key of the table is the text's own name */
    Wire__EngineState *was = entry->beat;
    g_hash_table_steal(registry->at, was->id);
    entry->beat = copy(w);
    g_hash_table_insert(registry->at, entry->beat->id, entry);
    wire__engine_state__free_unpacked(was, NULL);
    entry->sum = sum;
    entry->cold_till = cold;
    if (ends.us)
      entry->ends_at = ends;
  }
  entry->count = w->heartbeat_count;
  if (later)
    entry->heard = at;
  if (back)
    entry->gone = false;
  if (!changed)
    return FOLD_ALIVE;
  change(registry, entry);
  if (moved || back)
    claim(registry, entry, now);
  return ending ? FOLD_ENDING : FOLD_CHANGED;
}

enum fold registry_beat(registry *registry, const Wire__EngineState *w, time_us now) {
  enum fold f = fold(registry, w, true, now);
  registered_engine *entry = registry_find(registry, w->id);
  if (entry && f != FOLD_LATE)
    entry->changed_here = f == FOLD_ALIVE;
  return f;
}

enum fold registry_leave(registry *registry, const char *id, time_us now) {
  registered_engine *entry = registry_find(registry, id);
  registry->newest = now;
  if (entry && entry->signed_off)
    return FOLD_LATE;
  if (!entry) {
    Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
    w.id = (char *)id;
    entry = enlist(registry, &w);
  }
  entry->heard = now;
  return end(registry, entry, now);
}

enum fold registry_heard(registry *registry, const Wire__EngineState *w, time_us now) {
  if (w->service[0] || w->gone)
    return fold(registry, w, false, now);
  registered_engine *entry = registry_find(registry, w->id);
  if (!entry)
    return FOLD_WANT;
  if (entry->signed_off || w->heartbeat_count < entry->count)
    return FOLD_LATE;
  if (w->checksum != entry->sum || entry->gone)
    return FOLD_WANT;
  time_us at = time_sub(now, time_from_ms((int64_t)MIN(w->age_ms, 1u << 30)));
  entry->count = w->heartbeat_count;
  if (at.us > entry->heard.us)
    entry->heard = at;
  if (at.us > registry->newest.us)
    registry->newest = at;
  return FOLD_ALIVE;
}

bool registry_sweep(registry *registry, time_us now, bool all) {
  uint64_t was = registry->seq;
  /* a process that slept, or hears nothing at all, knows nothing of who is silent */
  if (time_reached(now, time_add(registry->swept, time_from_ms(STALL_MS))) ||
      time_reached(now, time_add(registry->newest, time_from_ms(registry->silent_ms / 2))))
    registry->since = now;
  registry->swept = now;
  time_us silent = time_from_ms(all ? registry->silent_ms : registry->silent_ms * UNREACHED_TIMES);
  bool judge = time_reached(now, time_add(registry->since, silent));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, registry->at);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registered_engine *entry = p;
    if (!entry->gone && judge && time_reached(now, time_add(entry->heard, silent)))
      go(registry, entry, now);
    if (!entry->gone ||
        !time_reached(now, time_add(entry->gone_at, time_from_ms(registry->tombstone_ms))))
      continue;
    if (entry->changed > registry->cut)
      registry->cut = entry->changed;
    g_hash_table_iter_remove(&it);
  }
  return registry->seq != was;
}

void registry_settle(registry *registry) {
  if (registry->settled)
    return;
  registry->settled = true;
  registry->cut = ++registry->seq;
}

void registry_fill(const registered_engine *entry, time_us now, Wire__EngineState *to) {
  *to = *entry->beat;
  to->draining = entry->leaving;
  to->gone = entry->gone;
  to->heartbeat_count = entry->count;
  to->checksum = entry->sum;
  to->age_ms = (uint64_t)MAX(0, time_sub(now, entry->heard).us / 1000);
  /* whoever folds this counts both times from the beat on */
  to->slow_start_ms = (uint64_t)MAX(0, time_sub(entry->cold_till, entry->heard).us / 1000);
  to->ends_in_ms =
      entry->ends_at.us ? (uint64_t)MAX(1, time_sub(entry->ends_at, entry->heard).us / 1000) : 0;
}

GPtrArray *registry_since(const registry *registry, uint64_t run, uint64_t seq, bool *whole) {
  bool all = run != registry->run || seq < registry->cut;
  *whole = all && registry->settled;
  GPtrArray *to = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, registry->at);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registered_engine *entry = p;
    if (all ? !entry->gone : entry->changed > seq)
      g_ptr_array_add(to, entry);
  }
  return to;
}
