/** At a coordinator: which engine gets a model that is wanted. */
#include "loader_internal.h"

/* copies beyond the next one go only where next to nothing has to make way */
static const double EXTRA_REPLICA_COST_SHARE = 0.1;

/* at a coordinator: one placement for the whole fleet */
typedef struct placement_job {
  char *key;
  id service, model, adapter, engine;
  unsigned priority;
  bool extra_replica, done, started, further_replica;
  time_us last_asked_at, expected_at;
  bool may_drain; /* no engine was found where what has to go is idle */
  int code, refs;
  int64_t retry_after_ms;
  double eviction_cost;
  condition changed;
} placement_job;

/* where a duty's holder is; false when nobody lives */
static bool lease_holder_addr(gateway *gateway, id engine_id, char addr[48]) {
  char d[64];
  id holder;
  uint64_t epoch;
  singleton_engine_name(d, sizeof d, engine_id);
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
static double queued_ms_on_engine(gateway *gateway, id engine_id, const placement_job *by) {
  double ms = 0, worth = load_job_utility(gateway, by->priority, by->model, by->adapter);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, gateway->placement_jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    placement_job *k = p;
    if (k == by || k->done || !id_equal(k->engine, engine_id) ||
        (!k->started && load_job_utility(gateway, k->priority, k->model, k->adapter) < worth))
      continue;
    const service *service = gateway_service_of(gateway, k->service);
    gateway_engine *engine = gateway_engine_find(gateway, engine_id.text);
    if (!service || !engine)
      continue;
    ms +=
        40 + (gateway_engine_resident(engine, k->model)
                  ? 0
                  : eviction_load_ms(gateway, service, k->model, none,
                                     g_hash_table_contains(engine->models_on_disk, k->model.text)));
  }
  return ms;
}

/* an engine that is about to get the same model for another want of it; NULL when there is none */
static gateway_engine *engine_loading_base(gateway *gateway, const placement_job *p) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, gateway->placement_jobs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    placement_job *o = v;
    if (o == p || o->done || id_is_empty(o->engine) || !id_equal(o->model, p->model) ||
        !id_equal(o->service, p->service))
      continue;
    gateway_engine *engine = gateway_engine_find(gateway, o->engine.text);
    if (engine && !engine->gone && !engine->draining && !gateway_engine_resident(engine, p->model))
      return engine;
  }
  return NULL;
}

/* how many more copies of a thing would clear what waits for their first event at those that hold
 * it, within REPLICA_QUEUE_TARGET_MS each */
int placement_missing_replicas(gateway *gateway, id service, id model, id adapter) {
  double ms = 0;
  int have = 0;
  list_for_each (i, &gateway->engines, gateway_engine, link) {
    if (i->gone || i->draining || !id_equal(i->service, service) ||
        !gateway_engine_has_model(i, model, adapter))
      continue;
    have++;
    ms += i->ms_per_token * gateway_engine_waiting_tokens(i);
  }
  return have ? CLAMP((int)(ms / REPLICA_QUEUE_TARGET_MS) - have, 0, MAX_REPLICAS_AT_ONCE) : 0;
}

/* copies of a thing that are being placed */
static int replicas_in_progress(gateway *gateway, const placement_job *p,
                                const gateway_engine *at) {
  int n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, gateway->placement_jobs);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    placement_job *o = v;
    if (o == p || o->done || !id_equal(o->model, p->model) || !id_equal(o->adapter, p->adapter) ||
        !id_equal(o->service, p->service))
      continue;
    n += !at || id_equal(o->engine, at->engine_id);
  }
  return n;
}

/* large fleets place by parts: each has its coordinator, a share of the models, and a share of the
   engines for them, so that coordinators who do not know each other's lines keep out of each
   other's way */
int placement_shard_count(gateway *gateway) {
  return gateway->router_count <= SINGLE_COORDINATOR_MAX_NODES
             ? 1
             : CLAMP(gateway->router_count / NODES_PER_PLACEMENT_SHARD, 2, 64);
}

int placement_shard_of(const char *name, int parts) {
  return (int)(hash_bytes(name, strlen(name), 11) % (uint64_t)parts);
}

/* the engine where a thing costs least: what had to go, how long it waits and loads, how busy the
 * engine is */
static gateway_engine *choose_engine(gateway *gateway, placement_job *placing,
                                     const service *service, const GPtrArray *not_these,
                                     int *code) {
  gateway_engine *best = NULL;
  double least = 0, lambda = eviction_request_rate(gateway, placing->model, placing->adapter);
  int copies =
      gateway_engines_count_replicas(gateway, service->name, placing->model, placing->adapter);
  double worth = eviction_load_ms(gateway, service, placing->model, placing->adapter, false) *
                 lambda / (copies + 1);
  *code = E_NO_ENGINE;
  int parts = placement_shard_count(gateway);
  gateway_engine *soon = placing->extra_replica ? NULL : engine_loading_base(gateway, placing);
  bool tried = false;
  for (guint k = 0; soon && k < not_these->len; k++)
    tried |= !strcmp(not_these->pdata[k], soon->engine_id.text);
  if (soon && !tried)
    return soon;
  eviction_replica_counts_begin(gateway, service->name);
  for (int round = 0; round < 2 && !best; round++)
    list_for_each (i, &gateway->engines, gateway_engine, link) {
      char addr[48];
      if (!id_equal(i->service, service->name) || i->gone || i->draining || !i->models_known ||
          (!round && (i->unreachable_until.us > now_of(gateway).us || i->suspect ||
                      gateway_engine_unhealthy(i) || !gateway_engine_usable(i))))
        continue;
      if (i->ends_at.us && !time_reached(i->ends_at, gateway_deadline_in_ms(gateway, 30000)))
        continue;
      if (parts > 1 && !round && !placing->extra_replica &&
          placement_shard_of(i->engine_id.text, parts) !=
              placement_shard_of(placing->model.text, parts))
        continue;
      if (placing->extra_replica &&
          (gateway_engine_has_model(i, placing->model, placing->adapter) ||
           replicas_in_progress(gateway, placing, i)))
        continue;
      bool barred = false;
      for (guint k = 0; k < not_these->len; k++)
        barred |= !strcmp(not_these->pdata[k], i->engine_id.text);
      if (barred || !lease_holder_addr(gateway, i->engine_id, addr))
        continue;
      double mb, drain;
      unsigned slots;
      double cost = eviction_placement_cost(i, service, placing->model, placing->adapter, &mb,
                                            &slots, &drain);
      if (cost < 0) {
        *code = E_NO_CAPACITY;
        continue;
      }
      double evict = cost;
      bool there = gateway_engine_resident(i, placing->model) != NULL,
           warm = g_hash_table_contains(i->models_on_disk, placing->model.text);
      if (placing->extra_replica &&
          cost > (placing->further_replica ? EXTRA_REPLICA_COST_SHARE : 1) * worth) {
        *code = E_NO_CAPACITY;
        continue;
      }
      double load_ms =
          (there ? 0 : eviction_load_ms(gateway, service, placing->model, none, warm)) +
          (id_is_empty(placing->adapter)
               ? 0
               : eviction_load_ms(gateway, service, placing->model, placing->adapter, warm));
      unsigned all = i->slots ? i->slots : service->engine_slots;
      double delay = load_ms + drain + queued_ms_on_engine(gateway, i->engine_id, placing) +
                     (all ? 300.0 * gateway_engine_running_requests(i) / all : 0) +
                     (there || warm ? 0 : 300) + (cost > 0 ? 60 : 0);
      cost += delay * MAX(lambda, 0.6) + (double)world_random(gateway->router->node.world, 10);
      if (!best || cost < least) {
        best = i;
        least = cost;
        placing->eviction_cost = evict;
      }
    }
  eviction_replica_counts_end(gateway);
  return best;
}

void placement_free(void *p) {
  placement_job *k = p;
  g_free(k->key);
  g_free(k);
}

static void placement_job_unref(gateway *gateway, placement_job *placing) {
  if (--placing->refs > 0)
    return;
  if (g_hash_table_lookup(gateway->placement_jobs, placing->key) == placing)
    g_hash_table_remove(gateway->placement_jobs, placing->key);
  else
    placement_free(placing);
}

/* carries one placement out: chooses an engine, and asks its holder until it is done or nobody
 * wants it */
static void placement_job_run(void *ctx) {
  struct {
    gateway *gateway;
    placement_job *placing;
  } *a = ctx;
  gateway *gateway = a->gateway;
  placement_job *placing = a->placing;
  g_free(a);
  GPtrArray *not_these = g_ptr_array_new_with_free_func(g_free);
  int code = E_NO_ENGINE, blanks = 0, busy_engines = 0;
  int64_t wait = 400;
  while (!time_reached(now_of(gateway),
                       time_add(placing->last_asked_at, time_from_ms(LOAD_REQUEST_TTL_MS)))) {
    const service *service = gateway_service_of(gateway, placing->service);
    if (!service || !service_find_model(service, placing->model.text)) {
      code = E_UNKNOWN_MODEL;
      wait = 2000;
      break;
    }
    if (!placing->extra_replica &&
        gateway_engines_count_replicas(gateway, service->name, placing->model, placing->adapter)) {
      code = OK;
      break;
    }
    gateway_engine *engine =
        id_is_empty(placing->engine) ? NULL : gateway_engine_find(gateway, placing->engine.text);
    char addr[48];
    if (!engine || engine->gone || !lease_holder_addr(gateway, engine->engine_id, addr))
      engine = choose_engine(gateway, placing, service, not_these, &code);
    if (!engine || !lease_holder_addr(gateway, engine->engine_id, addr)) {
      log_debug(&gateway->router->node.log, "placing",
                "%s+%s has no engine: code %d, %u passed over.", placing->model.text,
                placing->adapter.text, code, not_these->len);
      placing->engine = none;
      /* contracts change hands within some seconds; a fleet without room says so soon */
      if (placing->extra_replica || ++blanks > (code == E_NO_CAPACITY ? 4 : 12)) {
        wait = placing->extra_replica ? 3000 : 500;
        break;
      }
      if (not_these->len)
        g_ptr_array_set_size(not_these, 0);
      placing->may_drain = !placing->extra_replica;
      if (!world_sleep_with_jitter(gateway->router->node.world, time_from_ms(150))) {
        code = E_STOPPING;
        break;
      }
      continue;
    }
    if (!id_equal(placing->engine, engine->engine_id)) {
      placing->engine = engine->engine_id;
      bool warm = g_hash_table_contains(engine->models_on_disk, placing->model.text);
      placing->expected_at = gateway_deadline_in_ms(
          gateway,
          30 + queued_ms_on_engine(gateway, engine->engine_id, placing) +
              (gateway_engine_resident(engine, placing->model)
                   ? 0
                   : eviction_load_ms(gateway, service, placing->model, none, warm)) +
              (id_is_empty(placing->adapter)
                   ? 0
                   : eviction_load_ms(gateway, service, placing->model, placing->adapter, warm)));
    }
    id engine_id = engine->engine_id;
    Wire__PlacedLoadRequest q = WIRE__PLACED_LOAD_REQUEST__INIT;
    q.engine = engine_id.text;
    q.service = placing->service.text;
    q.model = placing->model.text;
    q.adapter = placing->adapter.text;
    q.priority = placing->priority;
    q.wait_ms = PLACEMENT_WAIT_MS;
    q.extra_replica = placing->extra_replica;
    q.evict_idle_only = !placing->may_drain && gateway_feature_enabled(gateway, FEATURE_IDLE_FIRST);
    /* what is asked for much may push out what is asked for less, however dear the room has become
     * meanwhile */
    int shares = placing->extra_replica
                     ? gateway_engines_count_replicas(gateway, service->name, placing->model,
                                                      placing->adapter) +
                           1
                     : 1;
    q.max_eviction_cost = (uint64_t)MAX(
        2 * placing->eviction_cost + 3000,
        eviction_load_ms(gateway, service, placing->model, placing->adapter, false) *
            eviction_request_rate(gateway, placing->model, placing->adapter) / shares);
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, &q), *b;
    error err = { 0 };
    int r = node_call(&gateway->router->node, addr, &m, time_from_ms(PLACEMENT_CALL_TIMEOUT_MS), &b,
                      &err);
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
      engine = gateway_engine_find(gateway, engine_id.text);
      /* the holder found it elsewhere: its word comes by cast or beat */
      if (engine && !placing->extra_replica &&
          !gateway_engines_count_replicas(gateway, placing->service, placing->model,
                                          placing->adapter) &&
          !world_sleep(gateway->router->node.world, time_from_ms(PLACEMENT_SETTLE_MS)))
        code = E_STOPPING;
      break;
    }
    log_debug(&gateway->router->node.log, "placing",
              "%s+%s at %s: code %d, begun %d, wait %" PRId64 ", cost %.0f.", placing->model.text,
              placing->adapter.text, engine_id.text, r, begun, wait, placing->eviction_cost);
    if (r == E_IN_PROGRESS) {
      placing->expected_at = gateway_deadline_in_ms(gateway, (double)wait);
      /* one that still stands in line may be better off elsewhere by now; the old place lapses
       * unasked */
      placing->started = begun;
      if (!begun)
        placing->engine = none;
      continue;
    }
    code = r;
    placing->engine = none;
    if (r == E_LOAD_RATE_LIMITED) {
      placing->expected_at = gateway_deadline_in_ms(gateway, (double)wait + 1000);
      if (!world_sleep(gateway->router->node.world, time_from_ms(CLAMP(wait, 50, 500))))
        break;
      continue;
    }
    g_ptr_array_add(not_these, g_strdup(engine_id.text));
    if (r == E_NO_CAPACITY && !placing->extra_replica && !placing->may_drain) {
      placing->may_drain = ++busy_engines >= MAX_BUSY_ENGINES;
      if (placing->may_drain)
        g_ptr_array_set_size(not_these, 0);
      continue;
    }
    /* an engine that does not answer its holder is passed over by the other placements too */
    if (r == E_NO_ENGINE && (engine = gateway_engine_find(gateway, engine_id.text)))
      engine->unreachable_until = gateway_deadline_in_ms(gateway, 2000);
    if (r == E_UNKNOWN_MODEL || ++blanks > 6)
      break;
    if (!world_sleep_with_jitter(gateway->router->node.world,
                                 time_from_ms(r == E_NO_RESPONSE ? 20 : 60)))
      break;
  }
  placing->done = true;
  placing->code = code;
  placing->retry_after_ms = wait;
  condition_broadcast(&placing->changed);
  g_ptr_array_free(not_these, TRUE);
  placement_job_unref(gateway, placing);
}

static placement_job *placement_job_start(gateway *g, char *key, id service, id model, id adapter,
                                          unsigned priority, bool copy) {
  placement_job *p = g_new0(placement_job, 1);
  p->key = g_strdup(key);
  p->service = service;
  p->model = model;
  p->adapter = adapter;
  p->priority = priority;
  p->extra_replica = copy;
  p->last_asked_at = now_of(g);
  condition_init(&p->changed);
  p->refs = 1;
  /* one that is done and still read by somebody leaves the table and is freed by the last reader */
  if (g_hash_table_lookup(g->placement_jobs, key))
    g_hash_table_steal(g->placement_jobs, key);
  g_hash_table_insert(g->placement_jobs, p->key, p);
  struct {
    gateway *gateway;
    placement_job *placing;
  } *t = g_malloc(sizeof *t);
  t->gateway = g;
  t->placing = p;
  task_start(&g->router->node.world->tasks, "placing", placement_job_run, t);
  return p;
}

/* a thing that became wanted of a sudden needs several copies, and one after the other would come
 * too late */
static void add_replicas(gateway *gateway, const placement_job *p) {
  int more = placement_missing_replicas(gateway, p->service, p->model, p->adapter) - 1 -
             replicas_in_progress(gateway, p, NULL);
  for (int k = 2; k <= MAX_REPLICAS_AT_ONCE && more > 0; k++) {
    char *key = g_strdup_printf("%s#%d", p->key, k);
    placement_job *o = g_hash_table_lookup(gateway->placement_jobs, key);
    if (o && !o->done) {
      o->last_asked_at = now_of(gateway);
      g_free(key);
      continue;
    }
    placement_job_start(gateway, key, p->service, p->model, p->adapter, p->priority, true)
        ->further_replica = true;
    g_free(key);
    more--;
  }
}

int placement_on_load_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__PlacementRequest *q = in->placement_request;
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))) ||
      !id_is_valid(string_view_of(q->service)))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  id s = id_of_text(q->service), m = id_of_text(q->model), a = id_of_text(q->adapter);
  char *key = load_request_key(s, m, a);
  placement_job *placing = g_hash_table_lookup(gateway->placement_jobs, key);
  if (placing && placing->done) {
    placing = NULL;
  }
  if (!placing)
    placing = placement_job_start(gateway, key, s, m, a, q->priority, q->extra_replica);
  if (q->extra_replica && gateway->router_count > SMALL_FLEET_NODES)
    add_replicas(gateway, placing);
  g_free(key);
  placing->last_asked_at = now_of(gateway);
  placing->priority = MIN(placing->priority, q->priority);
  placing->refs++;
  time_us till = gateway_deadline_in_ms(gateway, (double)MIN(q->wait_ms, PLACEMENT_WAIT_MS));
  while (!placing->done)
    if (condition_wait(&gateway->router->node.world->tasks, &placing->changed, till) !=
        WAKE_SIGNALLED)
      break;
  Wire__PlacementResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_PLACEMENT_RESPONSE,
                                              &wire__placement_response__descriptor);
  b->loaded = placing->done && !placing->code;
  b->error_code = (uint32_t)(placing->done ? placing->code : E_IN_PROGRESS);
  b->retry_after_ms = (uint64_t)(placing->done ? placing->retry_after_ms
                                               : gateway_ms_until(gateway, placing->expected_at));
  b->engine = reply_alloc(reply, sizeof placing->engine.text);
  memcpy(b->engine, placing->engine.text, sizeof placing->engine.text);
  placement_job_unref(gateway, placing);
  return OK;
}
