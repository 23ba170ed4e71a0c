/** At a coordinator: which engine gets a model that is wanted. */
#include "loader_internal.h"

/* copies beyond the next one go only where next to nothing has to make way */
static const double EXTRA_SHARE = 0.1;

/* at a coordinator: one placement for the whole fleet */
typedef struct placing {
  char *key;
  id service, model, adapter, engine;
  unsigned priority;
  bool copy, done, begun, extra;
  time_us asked, due;
  bool may_drain; /* no engine was found where what has to go is idle */
  int code, held;
  int64_t wait;
  double cost;
  condition changed;
} placing;

/* where a duty's holder is; false when nobody lives */
static bool holder_addr(gateway *gateway, id engine, char addr[48]) {
  char d[64];
  id holder;
  uint64_t epoch;
  singleton_engine_name(d, sizeof d, engine);
  if (singleton_lease_epoch(gateway->router, d)) {
    g_strlcpy(addr, gateway->router->node.settings.address, 48);
    return true;
  }
  if (!config_sync_find_grant(gateway->router, d, &holder, &epoch) ||
      id_equal(holder, gateway->router->node.settings.self))
    return false;
  peer_node *peer = node_find_peer(&gateway->router->node, holder);
  if (!peer || peer->gone || peer->role != ROLE_ROUTER)
    return false;
  g_strlcpy(addr, peer->address, 48);
  return true;
}

/* how long the placements of this coordinator keep an engine busy before one may begin, in ms */
static double queued_on(gateway *gateway, id engine, const placing *by) {
  double ms = 0, worth = load_worth(gateway, by->priority, by->model, by->adapter);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, gateway->placings);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    placing *k = p;
    if (k == by || k->done || !id_equal(k->engine, engine) ||
        (!k->begun && load_worth(gateway, k->priority, k->model, k->adapter) < worth))
      continue;
    const service *service = service_of(gateway, k->service);
    instance *instance = instance_find(gateway, engine.text);
    if (!service || !instance)
      continue;
    ms += 40 + (instance_resident(instance, k->model)
                    ? 0
                    : thing_load_ms(gateway, service, k->model, none,
                                    g_hash_table_contains(instance->held_before, k->model.text)));
  }
  return ms;
}

/* an engine that is about to get the same model for another want of it; NULL when there is none */
static instance *base_on_its_way(gateway *gateway, const placing *p) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, gateway->placings);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    placing *o = v;
    if (o == p || o->done || id_is_empty(o->engine) || !id_equal(o->model, p->model) ||
        !id_equal(o->service, p->service))
      continue;
    instance *instance = instance_find(gateway, o->engine.text);
    if (instance && !instance->gone && !instance->leaving && !instance_resident(instance, p->model))
      return instance;
  }
  return NULL;
}

/* how many more copies of a thing would clear what waits for their first event at those that hold
 * it, within AHEAD_MS each */
int copies_short(gateway *gateway, id service, id model, id adapter) {
  double ms = 0;
  int have = 0;
  list_for_each (i, &gateway->instances, instance, link) {
    if (i->gone || i->leaving || !id_equal(i->service, service) ||
        !instance_holds(i, model, adapter))
      continue;
    have++;
    ms += i->ms_per_token * instance_waiting(i);
  }
  return have ? CLAMP((int)(ms / AHEAD_MS) - have, 0, COPIES_AT_ONCE) : 0;
}

/* copies of a thing that are being placed */
static int copies_coming(gateway *gateway, const placing *p, const instance *at) {
  int n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, gateway->placings);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    placing *o = v;
    if (o == p || o->done || !id_equal(o->model, p->model) || !id_equal(o->adapter, p->adapter) ||
        !id_equal(o->service, p->service))
      continue;
    n += !at || id_equal(o->engine, at->self);
  }
  return n;
}

/* large fleets place by parts: each has its coordinator, a share of the models, and a share of the
   engines for them, so that coordinators who do not know each other's lines keep out of each
   other's way */
int placement_parts(gateway *gateway) {
  return gateway->nodes <= ONE_COORDINATOR ? 1 : CLAMP(gateway->nodes / PART_NODES, 2, 64);
}

int placement_part(const char *name, int parts) {
  return (int)(hash_bytes(name, strlen(name), 11) % (uint64_t)parts);
}

/* the engine where a thing costs least: what had to go, how long it waits and loads, how busy the
 * engine is */
static instance *choose(gateway *gateway, placing *placing, const service *service,
                        const GPtrArray *not_these, int *code) {
  instance *best = NULL;
  double least = 0, lambda = thing_rate(gateway, placing->model, placing->adapter);
  int copies = instance_copies(gateway, service->name, placing->model, placing->adapter);
  double worth = thing_load_ms(gateway, service, placing->model, placing->adapter, false) * lambda /
                 (copies + 1);
  *code = E_NO_ENGINE;
  int parts = placement_parts(gateway);
  instance *soon = placing->copy ? NULL : base_on_its_way(gateway, placing);
  bool tried = false;
  for (guint k = 0; soon && k < not_these->len; k++)
    tried |= !strcmp(not_these->pdata[k], soon->self.text);
  if (soon && !tried)
    return soon;
  copies_count(gateway, service->name);
  for (int round = 0; round < 2 && !best; round++)
    list_for_each (i, &gateway->instances, instance, link) {
      char addr[48];
      if (!id_equal(i->service, service->name) || i->gone || i->leaving || !i->models_known ||
          (!round && (i->no_answer_till.us > now_of(gateway).us || i->suspect || instance_ill(i) ||
                      !instance_usable(i))))
        continue;
      if (i->ends_at.us && !time_reached(i->ends_at, ms_from(gateway, 30000)))
        continue;
      if (parts > 1 && !round && !placing->copy &&
          placement_part(i->self.text, parts) != placement_part(placing->model.text, parts))
        continue;
      if (placing->copy && (instance_holds(i, placing->model, placing->adapter) ||
                            copies_coming(gateway, placing, i)))
        continue;
      bool barred = false;
      for (guint k = 0; k < not_these->len; k++)
        barred |= !strcmp(not_these->pdata[k], i->self.text);
      if (barred || !holder_addr(gateway, i->self, addr))
        continue;
      double mb, drain;
      unsigned slots;
      double cost = place_cost(i, service, placing->model, placing->adapter, &mb, &slots, &drain);
      if (cost < 0) {
        *code = E_NO_CAPACITY;
        continue;
      }
      double evict = cost;
      bool there = instance_resident(i, placing->model) != NULL,
           warm = g_hash_table_contains(i->held_before, placing->model.text);
      if (placing->copy && cost > (placing->extra ? EXTRA_SHARE : 1) * worth) {
        *code = E_NO_CAPACITY;
        continue;
      }
      double load_ms =
          (there ? 0 : thing_load_ms(gateway, service, placing->model, none, warm)) +
          (id_is_empty(placing->adapter)
               ? 0
               : thing_load_ms(gateway, service, placing->model, placing->adapter, warm));
      unsigned all = i->slots ? i->slots : service->engine_slots;
      double delay = load_ms + drain + queued_on(gateway, i->self, placing) +
                     (all ? 300.0 * instance_running(i) / all : 0) + (there || warm ? 0 : 300) +
                     (cost > 0 ? 60 : 0);
      cost += delay * MAX(lambda, 0.6) + (double)world_random(gateway->router->node.world, 10);
      if (!best || cost < least) {
        best = i;
        least = cost;
        placing->cost = evict;
      }
    }
  copies_forget(gateway);
  return best;
}

void placement_free(void *p) {
  placing *k = p;
  g_free(k->key);
  g_free(k);
}

static void placing_drop(gateway *gateway, placing *placing) {
  if (--placing->held > 0)
    return;
  if (g_hash_table_lookup(gateway->placings, placing->key) == placing)
    g_hash_table_remove(gateway->placings, placing->key);
  else
    placement_free(placing);
}

/* carries one placement out: chooses an engine, and asks its holder until it is done or nobody
 * wants it */
static void placing_run(void *ctx) {
  struct {
    gateway *gateway;
    placing *placing;
  } *a = ctx;
  gateway *gateway = a->gateway;
  placing *placing = a->placing;
  g_free(a);
  GPtrArray *not_these = g_ptr_array_new_with_free_func(g_free);
  int code = E_NO_ENGINE, blanks = 0, busy_engines = 0;
  int64_t wait = 400;
  while (!time_reached(now_of(gateway), time_add(placing->asked, time_from_ms(ALIVE_MS)))) {
    const service *service = service_of(gateway, placing->service);
    if (!service || !service_find_model(service, placing->model.text)) {
      code = E_UNKNOWN_MODEL;
      wait = 2000;
      break;
    }
    if (!placing->copy &&
        instance_copies(gateway, service->name, placing->model, placing->adapter)) {
      code = OK;
      break;
    }
    instance *instance =
        id_is_empty(placing->engine) ? NULL : instance_find(gateway, placing->engine.text);
    char addr[48];
    if (!instance || instance->gone || !holder_addr(gateway, instance->self, addr))
      instance = choose(gateway, placing, service, not_these, &code);
    if (!instance || !holder_addr(gateway, instance->self, addr)) {
      log_debug(&gateway->router->node.log, "placing",
                "%s+%s has no engine: code %d, %u passed over.", placing->model.text,
                placing->adapter.text, code, not_these->len);
      placing->engine = none;
      /* contracts change hands within some seconds; a fleet without room says so soon */
      if (placing->copy || ++blanks > (code == E_NO_CAPACITY ? 4 : 12)) {
        wait = placing->copy ? 3000 : 500;
        break;
      }
      if (not_these->len)
        g_ptr_array_set_size(not_these, 0);
      placing->may_drain = !placing->copy;
      if (!world_sleep_with_jitter(gateway->router->node.world, time_from_ms(150))) {
        code = E_STOPPING;
        break;
      }
      continue;
    }
    if (!id_equal(placing->engine, instance->self)) {
      placing->engine = instance->self;
      bool warm = g_hash_table_contains(instance->held_before, placing->model.text);
      placing->due = ms_from(
          gateway,
          30 + queued_on(gateway, instance->self, placing) +
              (instance_resident(instance, placing->model)
                   ? 0
                   : thing_load_ms(gateway, service, placing->model, none, warm)) +
              (id_is_empty(placing->adapter)
                   ? 0
                   : thing_load_ms(gateway, service, placing->model, placing->adapter, warm)));
    }
    id engine = instance->self;
    Wire__PlacedLoadRequest q = WIRE__PLACED_LOAD_REQUEST__INIT;
    q.engine = engine.text;
    q.service = placing->service.text;
    q.model = placing->model.text;
    q.adapter = placing->adapter.text;
    q.priority = placing->priority;
    q.wait_ms = REQUEST_MS;
    q.extra_replica = placing->copy;
    q.evict_idle_only = !placing->may_drain && gateway_uses(gateway, MECHANISM_IDLE_FIRST);
    /* what is asked for much may push out what is asked for less, however dear the room has become
     * meanwhile */
    int shares = placing->copy
                     ? instance_copies(gateway, service->name, placing->model, placing->adapter) + 1
                     : 1;
    q.max_eviction_cost =
        (uint64_t)MAX(2 * placing->cost + 3000,
                      thing_load_ms(gateway, service, placing->model, placing->adapter, false) *
                          thing_rate(gateway, placing->model, placing->adapter) / shares);
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, &q), *b;
    error err = { 0 };
    int r = node_call(&gateway->router->node, addr, &m, time_from_ms(CALL_MS), &b, &err);
    if (r == E_STOPPING) {
      code = r;
      break;
    }
    bool begun = !r && b->body_case == WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE &&
                 b->placed_load_response->started;
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE) {
      r = (int)b->placed_load_response->error_code;
      wait = (int64_t)b->placed_load_response->retry_after_ms;
    } else if (!r)
      r = E_WIRE_MESSAGE;
    node_reply_free(b);
    if (!r) {
      code = OK;
      instance = instance_find(gateway, engine.text);
      /* the holder found it elsewhere: its word comes by cast or beat */
      if (instance && !placing->copy &&
          !instance_copies(gateway, placing->service, placing->model, placing->adapter) &&
          !world_sleep(gateway->router->node.world, time_from_ms(RECENT_MS)))
        code = E_STOPPING;
      break;
    }
    log_debug(&gateway->router->node.log, "placing",
              "%s+%s at %s: code %d, begun %d, wait %" PRId64 ", cost %.0f.", placing->model.text,
              placing->adapter.text, engine.text, r, begun, wait, placing->cost);
    if (r == E_IN_PROGRESS) {
      placing->due = ms_from(gateway, (double)wait);
      /* one that still stands in line may be better off elsewhere by now; the old place lapses
       * unasked */
      placing->begun = begun;
      if (!begun)
        placing->engine = none;
      continue;
    }
    code = r;
    placing->engine = none;
    if (r == E_LOAD_RATE_LIMITED) {
      placing->due = ms_from(gateway, (double)wait + 1000);
      if (!world_sleep(gateway->router->node.world, time_from_ms(CLAMP(wait, 50, 500))))
        break;
      continue;
    }
    g_ptr_array_add(not_these, g_strdup(engine.text));
    if (r == E_NO_CAPACITY && !placing->copy && !placing->may_drain) {
      placing->may_drain = ++busy_engines >= BUSY_ENGINES_MOST;
      if (placing->may_drain)
        g_ptr_array_set_size(not_these, 0);
      continue;
    }
    /* an engine that does not answer its holder is passed over by the other placements too */
    if (r == E_NO_ENGINE && (instance = instance_find(gateway, engine.text)))
      instance->no_answer_till = ms_from(gateway, 2000);
    if (r == E_UNKNOWN_MODEL || ++blanks > 6)
      break;
    if (!world_sleep_with_jitter(gateway->router->node.world,
                                 time_from_ms(r == E_NO_RESPONSE ? 20 : 60)))
      break;
  }
  placing->done = true;
  placing->code = code;
  placing->wait = wait;
  condition_broadcast(&placing->changed);
  g_ptr_array_free(not_these, TRUE);
  placing_drop(gateway, placing);
}

static placing *placing_start(gateway *g, char *key, id service, id model, id adapter,
                              unsigned priority, bool copy) {
  placing *p = g_new0(placing, 1);
  p->key = g_strdup(key);
  p->service = service;
  p->model = model;
  p->adapter = adapter;
  p->priority = priority;
  p->copy = copy;
  p->asked = now_of(g);
  condition_init(&p->changed);
  p->held = 1;
  /* one that is done and still read by somebody leaves the table and is freed by the last reader */
  if (g_hash_table_lookup(g->placings, key))
    g_hash_table_steal(g->placings, key);
  g_hash_table_insert(g->placings, p->key, p);
  struct {
    gateway *gateway;
    placing *placing;
  } *t = g_malloc(sizeof *t);
  t->gateway = g;
  t->placing = p;
  task_start(&g->router->node.world->tasks, "placing", placing_run, t);
  return p;
}

/* a thing that became wanted of a sudden needs several copies, and one after the other would come
 * too late */
static void copies_more(gateway *gateway, const placing *p) {
  int more =
      copies_short(gateway, p->service, p->model, p->adapter) - 1 - copies_coming(gateway, p, NULL);
  for (int k = 2; k <= COPIES_AT_ONCE && more > 0; k++) {
    char *key = g_strdup_printf("%s#%d", p->key, k);
    placing *o = g_hash_table_lookup(gateway->placings, key);
    if (o && !o->done) {
      o->asked = now_of(gateway);
      g_free(key);
      continue;
    }
    placing_start(gateway, key, p->service, p->model, p->adapter, p->priority, true)->extra = true;
    g_free(key);
    more--;
  }
}

int placement_on_want(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__PlacementRequest *q = in->placement_request;
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))) ||
      !id_is_valid(string_view_of(q->service)))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  id s = id_of_text(q->service), m = id_of_text(q->model), a = id_of_text(q->adapter);
  char *key = placement_key(s, m, a);
  placing *placing = g_hash_table_lookup(gateway->placings, key);
  if (placing && placing->done) {
    placing = NULL;
  }
  if (!placing)
    placing = placing_start(gateway, key, s, m, a, q->priority, q->extra_replica);
  if (q->extra_replica && gateway->nodes > FEW_NODES)
    copies_more(gateway, placing);
  g_free(key);
  placing->asked = now_of(gateway);
  placing->priority = MIN(placing->priority, q->priority);
  placing->held++;
  time_us till = ms_from(gateway, (double)MIN(q->wait_ms, REQUEST_MS));
  while (!placing->done)
    if (condition_wait(&gateway->router->node.world->tasks, &placing->changed, till) !=
        WAKE_SIGNALLED)
      break;
  Wire__PlacementResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_PLACEMENT_RESPONSE,
                                              &wire__placement_response__descriptor);
  b->loaded = placing->done && !placing->code;
  b->error_code = (uint32_t)(placing->done ? placing->code : E_IN_PROGRESS);
  b->retry_after_ms = (uint64_t)(placing->done ? placing->wait : ms_till(gateway, placing->due));
  b->engine = reply_alloc(reply, sizeof placing->engine.text);
  memcpy(b->engine, placing->engine.text, sizeof placing->engine.text);
  placing_drop(gateway, placing);
  return OK;
}
