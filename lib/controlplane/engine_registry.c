#include "engine_registry.h"

enum { COLD_SLACK_MS = 1500, ENDS_SLACK_MS = 500, DISK_STALL_MS = 1500, UNREACHED_TIMES = 3 };

static void enlisted_free(void *p) {
  registered_engine *entry = p;
  if (entry->heartbeat)
    wire__engine_state__free_unpacked(entry->heartbeat, NULL);
  g_free(entry);
}

void registry_init(registry *registry, uint64_t run, time_us now) {
  memset(registry, 0, sizeof *registry);
  registry->run = run;
  registry->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, enlisted_free);
  registry->silent_ms = SILENT_MS;
  registry->tombstone_ms = TOMBSTONE_MS;
  registry->started_at = registry->swept_at = now;
}

void registry_free(registry *registry) {
  if (registry->engines)
    g_hash_table_destroy(registry->engines);
  registry->engines = NULL;
}

registered_engine *registry_find(const registry *registry, const char *id) {
  return g_hash_table_lookup(registry->engines, id);
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
  entry->changed_seq = ++registry->seq;
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
  g_hash_table_iter_init(&it, registry->engines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registered_engine *o = p;
    if (o == entry || o->gone || !o->heartbeat->address[0] ||
        strcmp(o->heartbeat->address, entry->heartbeat->address))
      continue;
    if (o->last_heard_at.us > entry->last_heard_at.us) {
      go(registry, entry, now);
      return;
    }
    go(registry, o, now);
  }
}

static bool differ(time_us a, time_us b, int64_t ms) {
  return time_sub(a, b).us > ms * 1000 || time_sub(b, a).us > ms * 1000;
}

static enum registry_update end(registry *registry, registered_engine *entry, time_us now) {
  entry->draining = entry->signed_off = true;
  entry->checksum = sum_of(entry->heartbeat, true);
  go(registry, entry, now);
  return REGISTRY_DRAINING;
}

static registered_engine *enlist(registry *registry, const Wire__EngineState *w) {
  registered_engine *entry = g_new0(registered_engine, 1);
  entry->heartbeat = copy(w);
  g_hash_table_insert(registry->engines, entry->heartbeat->id, entry);
  return entry;
}

static enum registry_update registry_update(registry *registry, const Wire__EngineState *w,
                                            bool direct, time_us now) {
  time_us at = time_sub(now, time_from_ms((int64_t)MIN(w->age_ms, 1u << 30)));
  time_us cold = time_add(at, time_from_ms((int64_t)MIN(w->slow_start_ms, 1u << 30)));
  time_us ends = w->ends_in_ms ? time_add(at, time_from_ms((int64_t)MIN(w->ends_in_ms, 1u << 30)))
                               : (time_us){ 0 };
  bool final = w->gone && w->draining;
  registered_engine *entry = registry_find(registry, w->id);
  if (at.us > registry->newest_heartbeat_at.us)
    registry->newest_heartbeat_at = at;
  if (!entry) {
    if (w->gone && !final)
      return REGISTRY_STALE;
    entry = enlist(registry, w);
    entry->heartbeat_count = w->heartbeat_count;
    entry->last_heard_at = at;
    entry->slow_start_until = cold;
    entry->ends_at = ends;
    entry->draining = w->draining;
    entry->checksum = sum_of(entry->heartbeat, entry->draining);
    if (final)
      return end(registry, entry, now);
    change(registry, entry);
    claim(registry, entry, now);
    return entry->draining ? REGISTRY_DRAINING : REGISTRY_CHANGED;
  }
  if (entry->signed_off)
    return REGISTRY_STALE;
  if (final)
    return end(registry, entry, now);
  if (w->gone)
    return REGISTRY_STALE;
  bool ending = w->draining && !entry->draining;
  entry->draining |= w->draining;
  if (direct ? w->heartbeat_count <= entry->heartbeat_count
             : w->heartbeat_count < entry->heartbeat_count) {
    if (!ending)
      return REGISTRY_STALE;
    entry->checksum = sum_of(entry->heartbeat, true);
    change(registry, entry);
    return REGISTRY_DRAINING;
  }
  bool later = at.us > entry->last_heard_at.us;
  bool back =
      entry->gone && later && !time_reached(now, time_add(at, time_from_ms(registry->silent_ms)));
  uint64_t sum = sum_of(w, entry->draining);
  bool moved = strcmp(w->address, entry->heartbeat->address);
  bool changed = sum != entry->checksum || back || ending ||
                 (w->heartbeat_count > entry->heartbeat_count && w->slow_start_ms &&
                  differ(cold, entry->slow_start_until, COLD_SLACK_MS)) ||
                 (ends.us && (!entry->ends_at.us || differ(ends, entry->ends_at, ENDS_SLACK_MS)));
  if (sum != entry->checksum && w->heartbeat_count == entry->heartbeat_count && !ending)
    changed = back;
  if (changed) {
    /* the key of the table is the text's own name */
    Wire__EngineState *was = entry->heartbeat;
    g_hash_table_steal(registry->engines, was->id);
    entry->heartbeat = copy(w);
    g_hash_table_insert(registry->engines, entry->heartbeat->id, entry);
    wire__engine_state__free_unpacked(was, NULL);
    entry->checksum = sum;
    entry->slow_start_until = cold;
    if (ends.us)
      entry->ends_at = ends;
  }
  entry->heartbeat_count = w->heartbeat_count;
  if (later)
    entry->last_heard_at = at;
  if (back)
    entry->gone = false;
  if (!changed)
    return REGISTRY_ALIVE;
  change(registry, entry);
  if (moved || back)
    claim(registry, entry, now);
  return ending ? REGISTRY_DRAINING : REGISTRY_CHANGED;
}

enum registry_update registry_heartbeat(registry *registry, const Wire__EngineState *w,
                                        time_us now) {
  enum registry_update f = registry_update(registry, w, true, now);
  registered_engine *entry = registry_find(registry, w->id);
  if (entry && f != REGISTRY_STALE)
    entry->unannounced = f == REGISTRY_ALIVE;
  return f;
}

enum registry_update registry_sign_off(registry *registry, const char *id, time_us now) {
  registered_engine *entry = registry_find(registry, id);
  registry->newest_heartbeat_at = now;
  if (entry && entry->signed_off)
    return REGISTRY_STALE;
  if (!entry) {
    Wire__EngineState w = WIRE__ENGINE_STATE__INIT;
    w.id = (char *)id;
    entry = enlist(registry, &w);
  }
  entry->last_heard_at = now;
  return end(registry, entry, now);
}

enum registry_update registry_merge(registry *registry, const Wire__EngineState *w, time_us now) {
  if (w->service[0] || w->gone)
    return registry_update(registry, w, false, now);
  registered_engine *entry = registry_find(registry, w->id);
  if (!entry)
    return REGISTRY_NEEDS_FETCH;
  if (entry->signed_off || w->heartbeat_count < entry->heartbeat_count)
    return REGISTRY_STALE;
  if (w->checksum != entry->checksum || entry->gone)
    return REGISTRY_NEEDS_FETCH;
  time_us at = time_sub(now, time_from_ms((int64_t)MIN(w->age_ms, 1u << 30)));
  entry->heartbeat_count = w->heartbeat_count;
  if (at.us > entry->last_heard_at.us)
    entry->last_heard_at = at;
  if (at.us > registry->newest_heartbeat_at.us)
    registry->newest_heartbeat_at = at;
  return REGISTRY_ALIVE;
}

bool registry_sweep(registry *registry, time_us now, bool all) {
  uint64_t was = registry->seq;
  /* a process that slept, or hears nothing at all, knows nothing of who is silent */
  if (time_reached(now, time_add(registry->swept_at, time_from_ms(DISK_STALL_MS))) ||
      time_reached(now,
                   time_add(registry->newest_heartbeat_at, time_from_ms(registry->silent_ms / 2))))
    registry->started_at = now;
  registry->swept_at = now;
  time_us silent = time_from_ms(all ? registry->silent_ms : registry->silent_ms * UNREACHED_TIMES);
  bool judge = time_reached(now, time_add(registry->started_at, silent));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, registry->engines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registered_engine *entry = p;
    if (!entry->gone && judge && time_reached(now, time_add(entry->last_heard_at, silent)))
      go(registry, entry, now);
    if (!entry->gone ||
        !time_reached(now, time_add(entry->gone_at, time_from_ms(registry->tombstone_ms))))
      continue;
    if (entry->changed_seq > registry->complete_resend_seq)
      registry->complete_resend_seq = entry->changed_seq;
    g_hash_table_iter_remove(&it);
  }
  return registry->seq != was;
}

void registry_set_complete(registry *registry) {
  if (registry->complete)
    return;
  registry->complete = true;
  registry->complete_resend_seq = ++registry->seq;
}

void registry_pack_engine(const registered_engine *entry, time_us now, Wire__EngineState *to) {
  *to = *entry->heartbeat;
  to->draining = entry->draining;
  to->gone = entry->gone;
  to->heartbeat_count = entry->heartbeat_count;
  to->checksum = entry->checksum;
  to->age_ms = (uint64_t)MAX(0, time_sub(now, entry->last_heard_at).us / 1000);
  /* whoever folds this counts both times from the beat on */
  to->slow_start_ms =
      (uint64_t)MAX(0, time_sub(entry->slow_start_until, entry->last_heard_at).us / 1000);
  to->ends_in_ms = entry->ends_at.us
                       ? (uint64_t)MAX(1, time_sub(entry->ends_at, entry->last_heard_at).us / 1000)
                       : 0;
}

GPtrArray *registry_changed_since(const registry *registry, uint64_t run, uint64_t seq,
                                  bool *whole) {
  bool all = run != registry->run || seq < registry->complete_resend_seq;
  *whole = all && registry->complete;
  GPtrArray *to = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, registry->engines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registered_engine *entry = p;
    if (all ? !entry->gone : entry->changed_seq > seq)
      g_ptr_array_add(to, entry);
  }
  return to;
}
