#include "controller.h"

enum {
  LOT_MS = 20,
  SWEEP_MS = 250,
  SPREAD_MS = 700,
  SPREAD_MOST_MS = 2500,
  AGAIN_MS = 300,
  REQUEST_EACH_MS = 500,
  CALL_MS = 600,
  LOST_MS = 60000,
  NO_ANSWER_TIMES = 3
};

/* wakes the polls of routers, a lot of changes at a time */
static void lot_run(void *p) {
  controller *controller = p;
  for (;;) {
    if (controller->registry_seq_announced == controller->registry.seq &&
        condition_wait(&controller->node.world->tasks, &controller->registry_changed,
                       time_never()) == WAKE_STOPPED)
      return;
    if (!world_sleep(controller->node.world, time_from_ms(LOT_MS)))
      return;
    if (controller->registry_seq_announced == controller->registry.seq)
      continue;
    controller->registry_seq_announced = controller->registry.seq;
    condition_broadcast(&controller->replica.state_changed);
  }
}

static int controllers(controller *controller) {
  int n = 0;
  list_for_each (peer, &controller->node.peers, peer_node, link)
    n += peer->role == ROLE_CONTROLLER && !peer->gone;
  return n;
}

static void cast(controller *controller, enum role r, Wire__EngineState **all, size_t n) {
  Wire__EngineUpdate e = WIRE__ENGINE_UPDATE__INIT;
  e.engines = all;
  e.n_engines = n;
  Wire__Envelope w = wire_envelope(WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &e);
  list_for_each (peer, &controller->node.peers, peer_node, link)
    if (peer->role == r && !peer->gone)
      node_send(&controller->node, peer->address, &w);
}

static void cast_one(controller *controller, enum role r, const registered_engine *entry) {
  Wire__EngineState w, *one = &w;
  registry_pack_engine(entry, world_now(controller->node.world), &w);
  cast(controller, r, &one, 1);
}

typedef struct {
  controller *controller;
  id engine;
} repeat_update;

/* a cast may be lost, and what was acknowledged is a promise */
static void again_run(void *p) {
  repeat_update *a = p;
  if (world_sleep(a->controller->node.world, time_from_ms(AGAIN_MS))) {
    registered_engine *entry = registry_find(&a->controller->registry, a->engine.text);
    if (entry)
      cast_one(a->controller, ROLE_ROUTER, entry);
  }
  g_free(a);
}

void registry_sync_announce(controller *controller, const char *who, enum registry_update f) {
  if (f != REGISTRY_CHANGED && f != REGISTRY_DRAINING)
    return;
  registered_engine *entry = registry_find(&controller->registry, who);
  if (!entry)
    return;
  cast_one(controller, ROLE_CONTROLLER, entry);
  if (f == REGISTRY_DRAINING) {
    cast_one(controller, ROLE_ROUTER, entry);
    repeat_update *a = g_new(repeat_update, 1);
    *a = (repeat_update){ controller, id_of_text(who) };
    task_start(&controller->node.world->tasks, "again", again_run, a);
  }
  condition_broadcast(&controller->registry_changed);
}

/* folds what another core machine says; true when it knows of changes whose text is not here */
static bool hear(controller *controller, const Wire__EngineUpdate *in) {
  time_us now = world_now(controller->node.world);
  uint64_t was = controller->registry.seq;
  bool want = false;
  for (size_t i = 0; i < in->n_engines; i++)
    if (id_is_valid(string_view_of(in->engines[i]->id)))
      want |= registry_merge(&controller->registry, in->engines[i], now) == REGISTRY_NEEDS_FETCH;
  if (controller->registry.seq != was)
    condition_broadcast(&controller->registry_changed);
  return want;
}

/* asks one of the others for all it has */
static bool fetch_all(controller *controller, const char *addr) {
  Wire__EngineUpdate q = WIRE__ENGINE_UPDATE__INIT;
  q.want_response = true;
  Wire__Envelope w = wire_envelope(WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &q), *b;
  error err = { 0 };
  if (node_call(&controller->node, addr, &w, time_from_ms(CALL_MS), &b, &err))
    return false;
  bool ok = b->body_case == WIRE__ENVELOPE__BODY_ENGINE_UPDATE;
  if (ok)
    hear(controller, b->engine_update);
  node_reply_free(b);
  return ok;
}

typedef struct {
  controller *controller;
  char address[48];
} registry_fetch;

static void request_run(void *p) {
  registry_fetch *a = p;
  fetch_all(a->controller, a->address);
  g_free(a);
}

static int on_engines(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  controller *controller = ctx;
  if (in->from->role != ROLE_CONTROLLER)
    return error_set(err, E_WIRE_MESSAGE, "only core machines tell of engines");
  if (!in->engine_update->want_response) {
    time_us now = world_now(controller->node.world);
    if (!hear(controller, in->engine_update) ||
        !time_reached(now,
                      time_add(controller->registry_fetched_at, time_from_ms(REQUEST_EACH_MS))))
      return OK;
    controller->registry_fetched_at = now;
    registry_fetch *a = g_new0(registry_fetch, 1);
    a->controller = controller;
    g_strlcpy(a->address, in->from->address, sizeof a->address);
    task_start(&controller->node.world->tasks, "ask", request_run, a);
    return OK;
  }
  if (!controller->registry.complete)
    return error_set(err, E_IN_PROGRESS, "this machine has not heard of all engines yet");
  Wire__EngineUpdate *b =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &wire__engine_update__descriptor);
  guint n = g_hash_table_size(controller->registry.engines), i = 0;
  Wire__EngineState *all = reply_alloc(reply, sizeof *all * (n + 1));
  b->engines = reply_alloc(reply, sizeof(void *) * (n + 1));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, controller->registry.engines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    registry_pack_engine(p, world_now(controller->node.world), &all[i]);
    b->engines[i] = &all[i];
    i++;
  }
  b->n_engines = n;
  return OK;
}

bool registry_sync_has_changes(const controller *controller, const Wire__ConfigPollRequest *q) {
  return q->registry_run == controller->registry.run
             ? q->registry_sequence < controller->registry_seq_announced
             : controller->registry_seq_announced > 0;
}

void registry_sync_fill_response(controller *controller, const Wire__ConfigPollRequest *q,
                                 Wire__ConfigPollResponse *b, reply *reply) {
  registry *registry = &controller->registry;
  bool whole;
  GPtrArray *all = registry_changed_since(registry, q->registry_run, q->registry_sequence, &whole);
  Wire__EngineState *w = reply_alloc(reply, sizeof *w * (all->len + 1));
  b->engines = reply_alloc(reply, sizeof(void *) * (all->len + 1));
  time_us now = world_now(controller->node.world);
  for (guint i = 0; i < all->len; i++) {
    registry_pack_engine(all->pdata[i], now, &w[i]);
    b->engines[i] = &w[i];
  }
  b->n_engines = all->len;
  b->registry_run = registry->run;
  b->registry_sequence = registry->seq;
  b->engines_complete = whole;
  g_ptr_array_free(all, TRUE);
}

/* false while a core machine is not heard that may well be there, behind a cut */
static bool all_reached(controller *controller) {
  time_us from = time_sub(world_now(controller->node.world), time_from_ms(LOST_MS));
  list_for_each (peer, &controller->node.peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER && peer->gone && !peer->draining &&
        time_reached(peer->gone_at, from))
      return false;
  return true;
}

/* tells the other core machines who is alive, and says who is silent */
static void spread_run(void *p) {
  controller *controller = p;
  time_us told = world_now(controller->node.world);
  while (world_sleep_with_jitter(controller->node.world, time_from_ms(SWEEP_MS))) {
    time_us now = world_now(controller->node.world);
    if (registry_sweep(&controller->registry, now, all_reached(controller)))
      condition_broadcast(&controller->registry_changed);
    if (!time_reached(now,
                      time_add(told, time_from_ms(CLAMP(SPREAD_MS * controllers(controller) / 4,
                                                        SPREAD_MS, SPREAD_MOST_MS)))))
      continue;
    told = now;
    guint n = g_hash_table_size(controller->registry.engines), i = 0;
    Wire__EngineState *w = g_new(Wire__EngineState, n + 1),
                      **all = g_new(Wire__EngineState *, n + 1);
    GHashTableIter it;
    gpointer q;
    g_hash_table_iter_init(&it, controller->registry.engines);
    while (g_hash_table_iter_next(&it, NULL, &q)) {
      registered_engine *entry = q;
      if (!entry->unannounced)
        continue;
      entry->unannounced = false;
      if (entry->gone)
        continue;
      wire__engine_state__init(&w[i]);
      w[i].id = entry->heartbeat->id;
      w[i].heartbeat_count = entry->heartbeat_count;
      w[i].checksum = entry->checksum;
      w[i].age_ms = (uint64_t)MAX(0, time_sub(now, entry->last_heard_at).us / 1000);
      all[i] = &w[i];
      i++;
    }
    if (i)
      cast(controller, ROLE_CONTROLLER, all, i);
    g_free(w);
    g_free(all);
  }
}

/* a young machine asks the others for all they have; where none can say, all that live must have
 * had time to beat */
static void settle_run(void *p) {
  controller *controller = p;
  registry *registry = &controller->registry;
  time_us from = world_now(controller->node.world);
  for (;;) {
    peer_node *peer = node_pick_peer(&controller->node, ROLE_CONTROLLER, NULL);
    char addr[48] = "";
    if (peer)
      g_strlcpy(addr, peer->address, sizeof addr);
    time_us now = world_now(controller->node.world);
    if (time_reached(now,
                     time_add(from, time_from_ms(registry->newest_heartbeat_at.us > from.us
                                                     ? registry->silent_ms
                                                     : registry->silent_ms * NO_ANSWER_TIMES))) ||
        (addr[0] && fetch_all(controller, addr)))
      break;
    if (!world_sleep_with_jitter(controller->node.world, time_from_ms(250)))
      return;
  }
  registry_set_complete(registry);
  condition_broadcast(&controller->registry_changed);
}

void registry_sync_init(controller *controller) {
  condition_init(&controller->registry_changed);
  /* the run of a registry is that of its process */
  registry_init(&controller->registry, controller->node.nonce, world_now(controller->node.world));
  node_register_handler(&controller->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, on_engines,
                        controller);
}

void registry_sync_start(controller *controller) {
  scheduler *t = &controller->node.world->tasks;
  task_start(t, "lot", lot_run, controller);
  task_start(t, "spread", spread_run, controller);
  task_start(t, "settle", settle_run, controller);
}
