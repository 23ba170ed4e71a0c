/** At an engine's holder: the line of loads, and one load from making room to its confirmation. */
#include "loader_internal.h"

/* what is used of an engine's room, by the greater of what is known here and of the account; gives
 * the number of things that might go */
static int used_capacity(gateway_engine *engine, const service *service, id model, id adapter,
                         eviction_candidate *all, double *mb, unsigned *slots) {
  int n = eviction_candidates(engine, service, model, adapter, all, mb, slots);
  double room_mb;
  unsigned room_slots;
  capacity_used(&engine->capacity, service, &room_mb, &room_slots);
  if (room_mb > *mb || room_slots > *slots)
    log_debug(&engine->gateway->router->node.log, "place",
              "%s holds %.0f MB and %u adapters; routing knows of %.0f MB and %u here.",
              engine->engine_id.text, room_mb, room_slots, *mb, *slots);
  *mb = MAX(*mb, room_mb);
  *slots = MAX(*slots, room_slots);
  return n;
}

/* the rule: unloads before the load, greedily by least worth, the largest first, no more than are
 * needed */
static int evict_for_load(gateway_engine *engine, const service *service, id model, id adapter,
                          double mb, unsigned slots, bool idle_only, error *err) {
  eviction_candidate all[MAX_EVICTION_CANDIDATES];
  for (int turns = 0; turns < 24; turns++) {
    double held_mb;
    unsigned held_slots;
    /* the configuration may have changed while an unload was waited for */
    service = gateway_service_of(engine->gateway, engine->service);
    if (!service)
      return error_set(err, E_UNKNOWN_MODEL, "no such service");
    int n = used_capacity(engine, service, model, adapter, all, &held_mb, &held_slots);
    capacity_shortage l = eviction_shortage(service, held_mb, held_slots, mb, slots);
    if (!l.mb && !l.slots)
      return OK;
    eviction_rule rule = eviction_policy(engine->gateway);
    int got = eviction_policy_select(&rule, all, n, l, eviction_random,
                                     engine->gateway->router->node.world);
    if (got <= 0)
      return error_set(err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s now",
                       engine->engine_id.text, model.text);
    bool thought_idle = true;
    for (int k = 0; k < got; k++)
      thought_idle &= !all[k].busy;
    /* a drain lasts as long as what runs, and holds up all other orders of the engine */
    if (idle_only && !thought_idle)
      return error_set(err, E_NO_CAPACITY, "all that could go from %s for %s runs",
                       engine->engine_id.text, model.text);
    log_debug(&engine->gateway->router->node.log, "place",
              "%s goes from %s for %s+%s: rate %.2f a copy, worth %.0f, one of %d.",
              all[0].model.text, engine->engine_id.text, model.text, adapter.text,
              all[0].request_rate, all[0].load_ms * all[0].request_rate, got);
    /* a base takes its adapters with it */
    id adapter_goes = all[0].adapter;
    for (int k = 0; k < got; k++)
      if (id_equal(all[k].model, all[0].model) && id_is_empty(all[k].adapter))
        adapter_goes = none;
    int r = engine_order_unload(engine, all[0].model, adapter_goes, thought_idle, err);
    if (r && r != E_MODEL_IN_USE)
      return r;
  }
  return error_set(err, E_NO_CAPACITY, "%s found no room in time", engine->engine_id.text);
}

static void load_time_broadcast(gateway *gateway, id type, const char *key, double ms) {
  /* among many nodes each load is one of many: some of their times suffice */
  if (gateway->router_count <= SMALL_FLEET_NODES || !world_random(gateway->router->node.world, 8))
    rate_exchange_send_load_time(gateway->router, type, key, ms);
}

/* a young holder, and one that can't tell what became of an order, learns what the engine holds
 * from itself, once no order of a former holder can be on its way */
static int sync_engine_state(gateway_engine *engine, error *err) {
  gateway *gateway = engine->gateway;
  uint64_t epoch = engine_order_epoch(engine);
  if (!epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", engine->engine_id.text);
  if (engine->residents_epoch == epoch && engine->capacity.is_known)
    return OK;
  if (engine->residents_epoch != epoch)
    capacity_forget(&engine->capacity, engine->capacity.changed_at);
  char d[64];
  singleton_engine_name(d, sizeof d, engine->engine_id);
  singleton_lease *singleton_lease = singleton_lease_find(gateway->router, d);
  int64_t lease = (gateway->settings.lease_ms > 0 ? gateway->settings.lease_ms : 3000) + 200;
  time_us from = epoch > 1 ? time_add(singleton_lease->acquired_at, time_from_ms(600))
                           : singleton_lease->acquired_at;
  if (engine->peer_ordered_at.us)
    from.us = MAX(from.us, time_add(engine->peer_ordered_at, time_from_ms(lease)).us);
  /* an order of its own of which nobody knows would not show yet */
  from.us =
      MAX(from.us, time_add(engine->capacity.changed_at, time_from_ms(ENGINE_REPORT_LAG_MS)).us);
  int r;
  if (from.us > now_of(gateway).us &&
      (r = engine_order_sleep(engine, (double)time_sub(from, now_of(gateway)).us / 1000, err)))
    return r;
  bool busy = true;
  int running;
  for (int k = 0; k < 30 && busy; k++) {
    if (!engine_order_fetch_report(engine, &busy, &running, err))
      return error_set(err, E_NO_ENGINE, "%s says nothing of itself", engine->engine_id.text);
    if (busy && (r = engine_order_sleep(engine, 150, err)))
      return r;
  }
  /* a load that is still under way is in no report, and would fill the room that looks free */
  if (busy)
    return error_set(err, E_NO_ENGINE, "%s is busy with another's order", engine->engine_id.text);
  if (!engine->capacity.is_known)
    return error_set(err, E_NO_ENGINE, "%s has just taken another's order", engine->engine_id.text);
  if (engine_order_epoch(engine) != epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", engine->engine_id.text);
  engine->reserved_mb = 0;
  engine->reserved_slots = 0;
  engine->residents_epoch = epoch;
  return OK;
}

/* one load order, and the wait until the thing is up */
static int load_thing(gateway_engine *engine, load_job *job, const service *service, id model,
                      id adapter, int64_t *wait, error *err) {
  gateway *gateway = engine->gateway;
  id name = service->name;
  bool base = id_is_empty(adapter),
       warm = base && g_hash_table_contains(engine->models_on_disk, model.text), busy = false;
  double mb = eviction_size_mb(service, model, adapter),
         guess = eviction_load_ms(gateway, service, model, adapter, warm);
  unsigned slots = !base;
  char key[140];
  int r = evict_for_load(engine, service, model, adapter, mb, slots, job->idle_only, err),
      running = 0;
  if (r) {
    *wait = r == E_NO_CAPACITY ? 1000 : 500;
    if (r == E_ORDER_FAILED) {
      gateway->consecutive_load_failures++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  event_history_format_key(key, sizeof key, model, adapter);
  if (warm)
    g_strlcat(key, "@disk", sizeof key);
  time_us last = time_never(), began = now_of(gateway);
  int st = 0, conflicts = 0;
  bool owed = false;
  for (int tries = 0;; tries++) {
    if (tries >= 40) {
      r = error_set(err, E_ORDER_FAILED, "%s does not take the load of %s", engine->engine_id.text,
                    key);
      *wait = 1000;
      break;
    }
    if (!(service = gateway_service_of(gateway, name))) {
      r = error_set(err, E_UNKNOWN_MODEL, "no such service");
      break;
    }
    if (engine->draining) {
      r = error_set(err, E_NO_ENGINE, "%s is leaving", engine->engine_id.text);
      break;
    }
    if (base && !warm && (tries == 0 || time_reached(now_of(gateway), last))) {
      r = load_rate_limiter_request_permit(engine, service, key, &last, wait, err);
      if (r == E_LOAD_RATE_LIMITED && *wait < 1500 && !engine_order_stopping(engine) && tries < 6) {
        job->expected_at = gateway_deadline_in_ms(gateway, (double)*wait + guess);
        if ((r = engine_order_sleep(engine, (double)CLAMP(*wait, 20, 600), err)))
          break;
        last = (time_us){ 0 };
        continue;
      }
      if (r)
        break;
      if (!(service = gateway_service_of(gateway, name))) {
        r = error_set(err, E_UNKNOWN_MODEL, "no such service");
        break;
      }
    }
    /* an engine that is filled past its room falls: before a model goes there, it is asked once
     * more what it holds */
    if (base &&
        (!engine->reported_at.us ||
         gateway_ms_since(gateway, engine->reported_at) > IDENTITY_CONFIRMED_MS) &&
        !engine_order_fetch_report(engine, &busy, &running, err)) {
      r = error_set(err, E_NO_ENGINE, "%s says nothing of itself", engine->engine_id.text);
      *wait = 300;
      break;
    }
    if (!(service = gateway_service_of(gateway, name))) {
      r = error_set(err, E_UNKNOWN_MODEL, "no such service");
      break;
    }
    if (base && gateway_engine_resident(engine, model))
      return OK;
    if ((r = sync_engine_state(engine, err))) {
      *wait = 400;
      break;
    }
    if (!(service = gateway_service_of(gateway, name))) {
      r = error_set(err, E_UNKNOWN_MODEL, "no such service");
      break;
    }
    /* nothing else may have come in while the pace was waited for */
    eviction_candidate all[MAX_EVICTION_CANDIDATES];
    double held_mb;
    unsigned held_slots;
    used_capacity(engine, service, model, adapter, all, &held_mb, &held_slots);
    capacity_shortage l = eviction_shortage(service, held_mb, held_slots, mb, slots);
    if (l.mb || l.slots) {
      r = error_set(err, E_NO_CAPACITY, "the room on %s went", engine->engine_id.text);
      *wait = 300;
      break;
    }
    began = now_of(gateway);
    job->expected_at = gateway_deadline_in_ms(gateway, guess + 20);
    engine->reserved_mb += mb;
    engine->reserved_slots += slots;
    owed = true;
    st = engine_order_send(engine, true, model, adapter, (int64_t)engine->capacity.order_count,
                           last, err);
    if (st == 200 || st == 202 || st == -1)
      break;
    engine->reserved_mb = MAX(0, engine->reserved_mb - mb);
    engine->reserved_slots -= MIN(engine->reserved_slots, slots);
    owed = false;
    if (st == -2) {
      r = err->code;
      break;
    }
    if (st == 421) {
      r = error_set(err, E_NO_ENGINE, "%s is another engine now", engine->engine_id.text);
      break;
    }
    if (st == 400 || st == 404) {
      r = E_ORDER_FAILED;
      *wait = 5000;
      break;
    }
    /* another order is under way, or it could not be reached */
    if (st == 0 && tries >= 3) {
      r = error_set(err, E_NO_ENGINE, "%s can't be reached", engine->engine_id.text);
      *wait = 500;
      break;
    }
    if ((r = engine_order_sleep(engine, st == 409 ? 60 : 100, err)))
      break;
    /* an order that is not this one's is under way, or has been taken: what it brings shows only in
     * a report after it */
    busy = st == 409;
    if (busy && ++conflicts > 1)
      capacity_forget(&engine->capacity, now_of(gateway));
    for (int k = 0; busy && !r && k < 60; k++) {
      if (!engine_order_fetch_report(engine, &busy, &running, err))
        r = error_set(err, E_NO_ENGINE, "%s says nothing of itself", engine->engine_id.text);
      else if (busy)
        r = engine_order_sleep(engine, 150, err);
    }
    if (!r && busy)
      r = error_set(err, E_NO_ENGINE, "%s is busy with another's order", engine->engine_id.text);
    if (r) {
      *wait = 500;
      break;
    }
  }
  if (r) {
    if (owed) {
      engine->reserved_mb = MAX(0, engine->reserved_mb - mb);
      engine->reserved_slots -= MIN(engine->reserved_slots, slots);
    }
    if (r == E_ORDER_FAILED) {
      gateway->consecutive_load_failures++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  if (base && st != 200) {
    gateway->counts.loads++;
    gateway->router->loading.load_count++;
    Wire__LoadPermitRequest t = WIRE__LOAD_PERMIT_REQUEST__INIT;
    t.engine = engine->engine_id.text;
    t.key = "";
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &t);
    char duty[64];
    singleton_engine_name(duty, sizeof duty, engine->engine_id);
    singleton_successors_broadcast(gateway, duty, &m);
  }
  /* taken, or nobody knows: the same order again says 200 once it is up, and never starts another
   * load while it is not */
  bool sure = st == 202, up = st == 200, slow = false;
  double most = guess * 6 + 8000, step = base ? CLAMP(guess * 0.06, 40, 150) : 15;
  int looks = 0;
  /* an adapter comes in some ms that are known by now: one in some is looked at, to learn */
  bool known = !base && sure &&
               event_history_load_ms(&gateway->router->history, name, "@adapter", -1) > 0 &&
               world_random(gateway->router->node.world, 6);
  if (!up && (r = engine_order_sleep(engine,
                                     !sure  ? ENGINE_REPORT_LAG_MS
                                     : base ? guess + 2
                                            : guess * 1.4 + 6,
                                     err)))
    goto out;
  if (known)
    up = true;
  while (!up) {
    if (!sure) {
      /* only a report that is younger than the order tells whether it was taken */
      if (!engine_order_fetch_report(engine, &busy, &running, err)) {
        if (gateway_ms_since(gateway, began) > 12000) {
          r = E_ORDER_FAILED;
          break;
        }
        if ((r = engine_order_sleep(engine, 250, err)))
          break;
        continue;
      }
      if (gateway_engine_has_model(engine, model, adapter)) {
        up = true;
        break;
      }
      if (!busy) {
        r = error_set(err, E_ORDER_FAILED, "%s did not take the load of %s", engine->engine_id.text,
                      key);
        engine->reserved_mb = MAX(0, engine->reserved_mb - mb);
        engine->reserved_slots -= MIN(engine->reserved_slots, slots);
        owed = false;
        *wait = 200;
        break;
      }
      sure = true;
    }
    /* the same order again loads nothing else, as long as the account has this load */
    if (looks < (base ? 3 : MAX_ADAPTER_CHECKS) && engine->capacity.is_known &&
        capacity_contains(&engine->capacity, model, adapter)) {
      st = engine_order_send(engine, true, model, adapter, (int64_t)engine->capacity.order_count,
                             time_never(), err);
      if (st == 200) {
        up = true;
        break;
      }
      if (st == -2 || st == 421) {
        r = st == 421
                ? error_set(err, E_NO_ENGINE, "%s is another engine now", engine->engine_id.text)
                : err->code;
        break;
      }
    } else {
      slow = true;
      if (engine_order_fetch_report(engine, &busy, &running, err)) {
        if (gateway_engine_has_model(engine, model, adapter)) {
          up = true;
          break;
        }
        if (!busy && engine->capacity.is_known &&
            !capacity_contains(&engine->capacity, model, adapter)) {
          r = error_set(err, E_ORDER_FAILED, "%s gave the load of %s up", engine->engine_id.text,
                        key);
          *wait = 200;
          break;
        }
        if (!busy && looks > 6)
          looks = 0;
      }
    }
    looks++;
    if (gateway_ms_since(gateway, began) > most) {
      r = error_set(err, E_ORDER_FAILED, "%s loads %s for too long", engine->engine_id.text, key);
      *wait = 1000;
      break;
    }
    job->expected_at = gateway_deadline_in_ms(gateway, step * 2);
    if ((r = engine_order_sleep(engine, step * (looks < 4 ? 1 : 1.5), err)))
      break;
  }
out:
  if (r) {
    event_history_append(
        &gateway->router->history,
        (history_event){ EVENT_LOAD_FAILED, { 0 }, engine->engine_id, model, adapter, 0 });
    /* what it may still hold of this keeps its room until its own report was read again */
    if (owed)
      engine->residents_epoch = 0;
    if (r == E_ORDER_FAILED) {
      gateway->consecutive_load_failures++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  gateway->consecutive_load_failures = 0;
  if (owed) {
    engine->reserved_mb = MAX(0, engine->reserved_mb - mb);
    engine->reserved_slots -= MIN(engine->reserved_slots, slots);
  }
  double ms = gateway_ms_since(gateway, began);
  if (sure && !known && !engine->gone) {
    /* an answer at the first look may have been ready for a while */
    if (!looks)
      ms *= base ? 0.97 : 0.6;
    else if (slow)
      ms = MAX(ms - 200, guess);
    /* an engine's disk may hold it from a life before: that says nothing of the store */
    if (!base || warm || ms > 0.6 * guess) {
      const char *as = base ? key : "@adapter";
      event_history_record_load_ms(&gateway->router->history, name, as, ms);
      load_time_broadcast(gateway, name, as, ms);
    }
    event_history_append(
        &gateway->router->history,
        (history_event){ EVENT_LOADED, { 0 }, engine->engine_id, model, adapter, (int64_t)ms });
    log_debug(&gateway->router->node.log, "place", "%s has %s after %.0f ms.",
              engine->engine_id.text, key, ms);
  }
  gateway_engine_mark_loaded(engine, model, adapter);
  gateway_engine_broadcast(engine);
  log_debug(&gateway->router->node.log, "place", "%s%s is on %s after %.0f ms, guessed %.0f, %s.",
            key, warm ? " (disk)" : "", engine->engine_id.text, gateway_ms_since(gateway, began),
            guess, job->extra_replica ? "a copy" : "missed");
  return OK;
}

static int run_load_job(gateway_engine *engine, load_job *job, int64_t *wait, error *err) {
  gateway *gateway = engine->gateway;
  int r = sync_engine_state(engine, err);
  if (r) {
    *wait = 400;
    return r;
  }
  const service *service = gateway_service_of(gateway, engine->service);
  if (!service || !service_find_model(service, job->model.text))
    return error_set(err, E_UNKNOWN_MODEL, "no %s is known", job->model.text);
  if (gateway_engine_has_model(engine, job->model, job->adapter))
    return OK;
  if (engine->draining)
    return error_set(err, E_NO_ENGINE, "%s is leaving", engine->engine_id.text);
  if (!job->extra_replica &&
      gateway_engines_count_replicas(gateway, engine->service, job->model, job->adapter))
    return OK;
  /* what was cheap when this engine was chosen may have gone meanwhile: the coordinator then
   * chooses anew */
  double mb, drain;
  unsigned slots;
  if (job->max_cost > 0 && eviction_placement_cost(engine, service, job->model, job->adapter, &mb,
                                                   &slots, &drain) > job->max_cost) {
    *wait = 20;
    return error_set(err, E_NO_CAPACITY, "room on %s has become dear", engine->engine_id.text);
  }
  if (!gateway_engine_resident(engine, job->model)) {
    r = load_thing(engine, job, service, job->model, none, wait, err);
    if (r || id_is_empty(job->adapter))
      return r;
    if (!(service = gateway_service_of(gateway, engine->service)))
      return error_set(err, E_UNKNOWN_MODEL, "no such service");
  }
  return load_thing(engine, job, service, job->model, job->adapter, wait, err);
}

static void load_job_finish(load_job *job, int code, int64_t wait) {
  job->code = code;
  job->retry_after_ms = wait;
  job->done = true;
  condition_broadcast(&job->changed);
}

static void load_job_unref(load_job *job) {
  if (--job->refs > 0 || !job->done)
    return;
  list_remove(&job->link);
  g_free(job);
}

/* what is gained by a load: those who wait, and those who will come until the next load could be
 * done, by urgency */
double load_job_utility(gateway *gateway, unsigned priority, id model, id adapter) {
  return (priority == 0   ? 1.5
          : priority == 1 ? 1
                          : 0.5) *
         (1 + 3 * eviction_request_rate(gateway, model, adapter));
}

static double load_job_utility_aged(gateway *gateway, const load_job *job) {
  return load_job_utility(gateway, job->priority, job->model, job->adapter) +
         gateway_ms_since(gateway, job->created_at) / 1500;
}

/* one task for each engine that has jobs; the more useful and older come first */
static void load_worker_run(void *p) {
  gateway_engine *engine = p;
  gateway *gateway = engine->gateway;
  time_us idle = now_of(gateway);
  while (!engine_order_stopping(engine)) {
    load_job *best = NULL;
    double top = 0;
    time_us now = now_of(gateway);
    list_for_each (job, &engine->load_jobs, load_job, link) {
      if (job->done)
        continue;
      if (time_reached(now, time_add(job->last_asked_at, time_from_ms(LOAD_JOB_EXPIRY_MS)))) {
        job->refs++;
        load_job_finish(job, E_IN_PROGRESS, 0);
        load_job_unref(job);
        continue;
      }
      double worth = load_job_utility_aged(gateway, job);
      if (!best || worth > top) {
        best = job;
        top = worth;
      }
    }
    if (!best) {
      if (time_reached(now, time_add(idle, time_from_ms(20000))))
        break;
      if (condition_wait(&gateway->router->node.world->tasks, &engine->load_jobs_changed,
                         time_add(now, time_from_ms(2500))) == WAKE_STOPPED)
        break;
      continue;
    }
    best->refs++;
    best->started = true;
    error err = { 0 };
    int64_t wait = 0;
    int r = run_load_job(engine, best, &wait, &err);
    if (r == E_NO_CAPACITY)
      log_debug(&gateway->router->node.log, "place", "No room for %s%s%s on %s: %s (code %d).",
                best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
                engine->engine_id.text, err.text, r);
    else if (r && r != E_STOPPING && r != E_NO_LEASE_HOLDER && r != E_LOAD_RATE_LIMITED)
      log_info(&gateway->router->node.log, "place", "No load of %s%s%s on %s: %s (code %d).",
               best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
               engine->engine_id.text, err.text, r);
    load_job_finish(best, r, wait);
    load_job_unref(best);
    idle = now_of(gateway);
  }
  list_for_each (job, &engine->load_jobs, load_job, link)
    if (!job->done) {
      job->refs++;
      load_job_finish(job, E_NO_ENGINE, 200);
      load_job_unref(job);
    }
  engine->load_worker_running = false;
  gateway_engine_unref(engine);
}

int load_jobs_on_placement(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__PlacedLoadRequest *q = in->placed_load_request;
  gateway_engine *engine = gateway_engine_find(gateway, q->engine);
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  if (!engine || engine->gone)
    return error_set(err, E_NO_ENGINE, "%.40s is not known here", q->engine);
  if (!engine_order_epoch(engine))
    return error_set(err, E_NO_LEASE_HOLDER, "%s is not held here", engine->engine_id.text);
  id m = id_of_text(q->model), a = id_of_text(q->adapter);
  load_job *job = NULL;
  int ahead = 0;
  list_for_each (k, &engine->load_jobs, load_job, link) {
    if (k->done)
      continue;
    ahead++;
    if (id_equal(k->model, m) && id_equal(k->adapter, a))
      job = k;
  }
  if (!job) {
    const service *s = gateway_service_of(gateway, engine->service);
    job = g_new0(load_job, 1);
    job->model = m;
    job->adapter = a;
    job->priority = q->priority;
    job->extra_replica = q->extra_replica;
    job->max_cost = (double)q->max_eviction_cost;
    job->idle_only = q->evict_idle_only;
    job->created_at = now_of(gateway);
    double each = s ? eviction_load_ms(gateway, s, m, a,
                                       gateway_engine_resident(engine, m) ||
                                           g_hash_table_contains(engine->models_on_disk, m.text))
                    : 1000;
    if (s && !id_is_empty(a) && !gateway_engine_resident(engine, m))
      each += eviction_load_ms(gateway, s, m, none,
                               g_hash_table_contains(engine->models_on_disk, m.text));
    job->expected_at = gateway_deadline_in_ms(gateway, each * (ahead + 1) + 30);
    condition_init(&job->changed);
    list_append(&engine->load_jobs, &job->link);
  }
  job->last_asked_at = now_of(gateway);
  job->priority = MIN(job->priority, q->priority);
  job->extra_replica &= q->extra_replica;
  job->max_cost = (double)q->max_eviction_cost;
  job->idle_only &= q->evict_idle_only;
  job->refs++;
  gateway_engine_ref(engine);
  if (!engine->load_worker_running) {
    engine->load_worker_running = true;
    gateway_engine_ref(engine);
    task_start(&gateway->router->node.world->tasks, "place", load_worker_run, engine);
  }
  condition_broadcast(&engine->load_jobs_changed);
  time_us till = gateway_deadline_in_ms(gateway, (double)MIN(q->wait_ms, PLACEMENT_WAIT_MS));
  while (!job->done)
    if (condition_wait(&gateway->router->node.world->tasks, &job->changed, till) != WAKE_SIGNALLED)
      break;
  Wire__PlacedLoadResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE,
                                               &wire__placed_load_response__descriptor);
  b->loaded = job->done && !job->code;
  b->error_code = (uint32_t)(job->done ? job->code : E_IN_PROGRESS);
  time_us due = job->expected_at;
  if (!job->done && !job->started) {
    /* behind the one in hand, and those that come first */
    double ms = 30;
    list_for_each (k, &engine->load_jobs, load_job, link) {
      const service *s = gateway_service_of(gateway, engine->service);
      if (k->done || !s)
        continue;
      if (k->started)
        ms += (double)gateway_ms_until(gateway, k->expected_at);
      else if (k == job || load_job_utility_aged(gateway, k) > load_job_utility_aged(gateway, job))
        ms +=
            (gateway_engine_resident(engine, k->model)
                 ? 0
                 : eviction_load_ms(gateway, s, k->model, none,
                                    g_hash_table_contains(engine->models_on_disk, k->model.text))) +
            (id_is_empty(k->adapter) ? 0
                                     : eviction_load_ms(gateway, s, k->model, k->adapter, false));
    }
    due = gateway_deadline_in_ms(gateway, ms);
  }
  b->retry_after_ms = (uint64_t)(job->done ? job->retry_after_ms : gateway_ms_until(gateway, due));
  b->started = job->started;
  load_job_unref(job);
  gateway_engine_unref(engine);
  return OK;
}
