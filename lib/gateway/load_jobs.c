/** At an engine's holder: the line of loads, and one load from making room to its confirmation. */
#include "loader_internal.h"

/* what is used of an engine's room, by the greater of what is known here and of the account; gives
 * the number of things that might go */
static int room_taken_up(instance *instance, const service *service, id model, id adapter,
                         eviction_candidate *all, double *mb, unsigned *slots) {
  int n = eviction_candidates(instance, service, model, adapter, all, mb, slots);
  double room_mb;
  unsigned room_slots;
  room_used(&instance->room, service, &room_mb, &room_slots);
  if (room_mb > *mb || room_slots > *slots)
    log_debug(&instance->gateway->router->node.log, "place",
              "%s holds %.0f MB and %u adapters; routing knows of %.0f MB and %u here.",
              instance->self.text, room_mb, room_slots, *mb, *slots);
  *mb = MAX(*mb, room_mb);
  *slots = MAX(*slots, room_slots);
  return n;
}

/* the rule: unloads before the load, greedily by least worth, the largest first, no more than are
 * needed */
static int make_room(instance *instance, const service *service, id model, id adapter, double mb,
                     unsigned slots, bool idle_only, error *err) {
  eviction_candidate all[CANDS];
  for (int turns = 0; turns < 24; turns++) {
    double held_mb;
    unsigned held_slots;
    /* the configuration may have changed while an unload was waited for */
    service = service_of(instance->gateway, instance->service);
    if (!service)
      return error_set(err, E_UNKNOWN_MODEL, "no such service");
    int n = room_taken_up(instance, service, model, adapter, all, &held_mb, &held_slots);
    capacity_shortage l = eviction_lack(service, held_mb, held_slots, mb, slots);
    if (!l.mb && !l.slots)
      return OK;
    eviction_rule rule = eviction_policy(instance->gateway);
    int got = eviction_policy_select(&rule, all, n, l, eviction_chance,
                                     instance->gateway->router->node.world);
    if (got <= 0)
      return error_set(err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s now",
                       instance->self.text, model.text);
    bool thought_idle = true;
    for (int k = 0; k < got; k++)
      thought_idle &= !all[k].busy;
    /* a drain lasts as long as what runs, and holds up all other orders of the engine */
    if (idle_only && !thought_idle)
      return error_set(err, E_NO_CAPACITY, "all that could go from %s for %s runs",
                       instance->self.text, model.text);
    log_debug(&instance->gateway->router->node.log, "place",
              "%s goes from %s for %s+%s: rate %.2f a copy, worth %.0f, one of %d.",
              all[0].model.text, instance->self.text, model.text, adapter.text, all[0].request_rate,
              all[0].load_ms * all[0].request_rate, got);
    /* a base takes its adapters with it */
    id adapter_goes = all[0].adapter;
    for (int k = 0; k < got; k++)
      if (id_equal(all[k].model, all[0].model) && id_is_empty(all[k].adapter))
        adapter_goes = none;
    int r = engine_unload(instance, all[0].model, adapter_goes, thought_idle, err);
    if (r && r != E_MODEL_IN_USE)
      return r;
  }
  return error_set(err, E_NO_CAPACITY, "%s found no room in time", instance->self.text);
}

static void timed_cast(gateway *gateway, id type, const char *key, double ms) {
  /* among many nodes each load is one of many: some of their times suffice */
  if (gateway->nodes <= FEW_NODES || !world_random(gateway->router->node.world, 8))
    rate_exchange_send_load_time(gateway->router, type, key, ms);
}

/* a young holder, and one that can't tell what became of an order, learns what the engine holds
 * from itself, once no order of a former holder can be on its way */
static int know(instance *instance, error *err) {
  gateway *gateway = instance->gateway;
  uint64_t epoch = order_epoch(instance);
  if (!epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", instance->self.text);
  if (instance->known_epoch == epoch && instance->room.known)
    return OK;
  if (instance->known_epoch != epoch)
    room_forget(&instance->room, instance->room.changed);
  char d[64];
  singleton_engine_name(d, sizeof d, instance->self);
  singleton_lease *singleton_lease = g_hash_table_lookup(gateway->router->singleton_leases, d);
  int64_t lease = (gateway->settings.lease_ms > 0 ? gateway->settings.lease_ms : 3000) + 200;
  time_us from = epoch > 1 ? time_add(singleton_lease->acquired_at, time_from_ms(600))
                           : singleton_lease->acquired_at;
  if (instance->ordered_at.us)
    from.us = MAX(from.us, time_add(instance->ordered_at, time_from_ms(lease)).us);
  /* an order of its own of which nobody knows would not show yet */
  from.us = MAX(from.us, time_add(instance->room.changed, time_from_ms(LAG_MS)).us);
  int r;
  if (from.us > now_of(gateway).us &&
      (r = engine_nap(instance, (double)time_sub(from, now_of(gateway)).us / 1000, err)))
    return r;
  bool busy = true;
  int running;
  for (int k = 0; k < 30 && busy; k++) {
    if (!engine_report(instance, &busy, &running, err))
      return error_set(err, E_NO_ENGINE, "%s says nothing of itself", instance->self.text);
    if (busy && (r = engine_nap(instance, 150, err)))
      return r;
  }
  /* a load that is still under way is in no report, and would fill the room that looks free */
  if (busy)
    return error_set(err, E_NO_ENGINE, "%s is busy with another's order", instance->self.text);
  if (!instance->room.known)
    return error_set(err, E_NO_ENGINE, "%s has just taken another's order", instance->self.text);
  if (order_epoch(instance) != epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", instance->self.text);
  instance->owed_mb = 0;
  instance->owed_slots = 0;
  instance->known_epoch = epoch;
  return OK;
}

/* one load order, and the wait until the thing is up */
static int load_one(instance *instance, place_job *job, const service *service, id model,
                    id adapter, int64_t *wait, error *err) {
  gateway *gateway = instance->gateway;
  id name = service->name;
  bool base = id_is_empty(adapter),
       warm = base && g_hash_table_contains(instance->held_before, model.text), busy = false;
  double mb = thing_size_mb(service, model, adapter),
         guess = thing_load_ms(gateway, service, model, adapter, warm);
  unsigned slots = !base;
  char key[140];
  int r = make_room(instance, service, model, adapter, mb, slots, job->idle_only, err), running = 0;
  if (r) {
    *wait = r == E_NO_CAPACITY ? 1000 : 500;
    if (r == E_ORDER_FAILED) {
      gateway->load_fails++;
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
      r = error_set(err, E_ORDER_FAILED, "%s does not take the load of %s", instance->self.text,
                    key);
      *wait = 1000;
      break;
    }
    if (!(service = service_of(gateway, name))) {
      r = error_set(err, E_UNKNOWN_MODEL, "no such service");
      break;
    }
    if (instance->leaving) {
      r = error_set(err, E_NO_ENGINE, "%s is leaving", instance->self.text);
      break;
    }
    if (base && !warm && (tries == 0 || time_reached(now_of(gateway), last))) {
      r = pace_ticket(instance, service, key, &last, wait, err);
      if (r == E_LOAD_RATE_LIMITED && *wait < 1500 && !engine_stops(instance) && tries < 6) {
        job->due = ms_from(gateway, (double)*wait + guess);
        if ((r = engine_nap(instance, (double)CLAMP(*wait, 20, 600), err)))
          break;
        last = (time_us){ 0 };
        continue;
      }
      if (r)
        break;
      if (!(service = service_of(gateway, name))) {
        r = error_set(err, E_UNKNOWN_MODEL, "no such service");
        break;
      }
    }
    /* an engine that is filled past its room falls: before a model goes there, it is asked once
     * more what it holds */
    if (base && (!instance->reported_at.us || since_ms(gateway, instance->reported_at) > SURE_MS) &&
        !engine_report(instance, &busy, &running, err)) {
      r = error_set(err, E_NO_ENGINE, "%s says nothing of itself", instance->self.text);
      *wait = 300;
      break;
    }
    if (!(service = service_of(gateway, name))) {
      r = error_set(err, E_UNKNOWN_MODEL, "no such service");
      break;
    }
    if (base && instance_resident(instance, model))
      return OK;
    if ((r = know(instance, err))) {
      *wait = 400;
      break;
    }
    if (!(service = service_of(gateway, name))) {
      r = error_set(err, E_UNKNOWN_MODEL, "no such service");
      break;
    }
    /* nothing else may have come in while the pace was waited for */
    eviction_candidate all[CANDS];
    double held_mb;
    unsigned held_slots;
    room_taken_up(instance, service, model, adapter, all, &held_mb, &held_slots);
    capacity_shortage l = eviction_lack(service, held_mb, held_slots, mb, slots);
    if (l.mb || l.slots) {
      r = error_set(err, E_NO_CAPACITY, "the room on %s went", instance->self.text);
      *wait = 300;
      break;
    }
    began = now_of(gateway);
    job->due = ms_from(gateway, guess + 20);
    instance->owed_mb += mb;
    instance->owed_slots += slots;
    owed = true;
    st = engine_order(instance, true, model, adapter, (int64_t)instance->room.count, last, err);
    if (st == 200 || st == 202 || st == -1)
      break;
    instance->owed_mb = MAX(0, instance->owed_mb - mb);
    instance->owed_slots -= MIN(instance->owed_slots, slots);
    owed = false;
    if (st == -2) {
      r = err->code;
      break;
    }
    if (st == 421) {
      r = error_set(err, E_NO_ENGINE, "%s is another engine now", instance->self.text);
      break;
    }
    if (st == 400 || st == 404) {
      r = E_ORDER_FAILED;
      *wait = 5000;
      break;
    }
    /* another order is under way, or it could not be reached */
    if (st == 0 && tries >= 3) {
      r = error_set(err, E_NO_ENGINE, "%s can't be reached", instance->self.text);
      *wait = 500;
      break;
    }
    if ((r = engine_nap(instance, st == 409 ? 60 : 100, err)))
      break;
    /* an order that is not this one's is under way, or has been taken: what it brings shows only in
     * a report after it */
    busy = st == 409;
    if (busy && ++conflicts > 1)
      room_forget(&instance->room, now_of(gateway));
    for (int k = 0; busy && !r && k < 60; k++) {
      if (!engine_report(instance, &busy, &running, err))
        r = error_set(err, E_NO_ENGINE, "%s says nothing of itself", instance->self.text);
      else if (busy)
        r = engine_nap(instance, 150, err);
    }
    if (!r && busy)
      r = error_set(err, E_NO_ENGINE, "%s is busy with another's order", instance->self.text);
    if (r) {
      *wait = 500;
      break;
    }
  }
  if (r) {
    if (owed) {
      instance->owed_mb = MAX(0, instance->owed_mb - mb);
      instance->owed_slots -= MIN(instance->owed_slots, slots);
    }
    if (r == E_ORDER_FAILED) {
      gateway->load_fails++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  if (base && st != 200) {
    gateway->counts.loads++;
    gateway->router->load_count++;
    Wire__LoadPermitRequest t = WIRE__LOAD_PERMIT_REQUEST__INIT;
    t.engine = instance->self.text;
    t.key = "";
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &t);
    char duty[64];
    singleton_engine_name(duty, sizeof duty, instance->self);
    duty_heirs_cast(gateway, duty, &m);
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
  if (!up && (r = engine_nap(instance, !sure ? LAG_MS : base ? guess + 2 : guess * 1.4 + 6, err)))
    goto out;
  if (known)
    up = true;
  while (!up) {
    if (!sure) {
      /* only a report that is younger than the order tells whether it was taken */
      if (!engine_report(instance, &busy, &running, err)) {
        if (since_ms(gateway, began) > 12000) {
          r = E_ORDER_FAILED;
          break;
        }
        if ((r = engine_nap(instance, 250, err)))
          break;
        continue;
      }
      if (instance_holds(instance, model, adapter)) {
        up = true;
        break;
      }
      if (!busy) {
        r = error_set(err, E_ORDER_FAILED, "%s did not take the load of %s", instance->self.text,
                      key);
        instance->owed_mb = MAX(0, instance->owed_mb - mb);
        instance->owed_slots -= MIN(instance->owed_slots, slots);
        owed = false;
        *wait = 200;
        break;
      }
      sure = true;
    }
    /* the same order again loads nothing else, as long as the account has this load */
    if (looks < (base ? 3 : ADAPTER_LOOKS) && instance->room.known &&
        room_holds(&instance->room, model, adapter)) {
      st = engine_order(instance, true, model, adapter, (int64_t)instance->room.count, time_never(),
                        err);
      if (st == 200) {
        up = true;
        break;
      }
      if (st == -2 || st == 421) {
        r = st == 421 ? error_set(err, E_NO_ENGINE, "%s is another engine now", instance->self.text)
                      : err->code;
        break;
      }
    } else {
      slow = true;
      if (engine_report(instance, &busy, &running, err)) {
        if (instance_holds(instance, model, adapter)) {
          up = true;
          break;
        }
        if (!busy && instance->room.known && !room_holds(&instance->room, model, adapter)) {
          r = error_set(err, E_ORDER_FAILED, "%s gave the load of %s up", instance->self.text, key);
          *wait = 200;
          break;
        }
        if (!busy && looks > 6)
          looks = 0;
      }
    }
    looks++;
    if (since_ms(gateway, began) > most) {
      r = error_set(err, E_ORDER_FAILED, "%s loads %s for too long", instance->self.text, key);
      *wait = 1000;
      break;
    }
    job->due = ms_from(gateway, step * 2);
    if ((r = engine_nap(instance, step * (looks < 4 ? 1 : 1.5), err)))
      break;
  }
out:
  if (r) {
    event_history_append(
        &gateway->router->history,
        (history_event){ EVENT_LOAD_FAILED, { 0 }, instance->self, model, adapter, 0 });
    /* what it may still hold of this keeps its room until its own report was read again */
    if (owed)
      instance->known_epoch = 0;
    if (r == E_ORDER_FAILED) {
      gateway->load_fails++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  gateway->load_fails = 0;
  if (owed) {
    instance->owed_mb = MAX(0, instance->owed_mb - mb);
    instance->owed_slots -= MIN(instance->owed_slots, slots);
  }
  double ms = since_ms(gateway, began);
  if (sure && !known && !instance->gone) {
    /* an answer at the first look may have been ready for a while */
    if (!looks)
      ms *= base ? 0.97 : 0.6;
    else if (slow)
      ms = MAX(ms - 200, guess);
    /* an engine's disk may hold it from a life before: that says nothing of the store */
    if (!base || warm || ms > 0.6 * guess) {
      const char *as = base ? key : "@adapter";
      event_history_record_load_ms(&gateway->router->history, name, as, ms);
      timed_cast(gateway, name, as, ms);
    }
    event_history_append(
        &gateway->router->history,
        (history_event){ EVENT_LOADED, { 0 }, instance->self, model, adapter, (int64_t)ms });
    log_debug(&gateway->router->node.log, "place", "%s has %s after %.0f ms.", instance->self.text,
              key, ms);
  }
  instance_loaded(instance, model, adapter);
  instance_cast(instance);
  log_debug(&gateway->router->node.log, "place", "%s%s is on %s after %.0f ms, guessed %.0f, %s.",
            key, warm ? " (disk)" : "", instance->self.text, since_ms(gateway, began), guess,
            job->copy ? "a copy" : "missed");
  return OK;
}

static int place(instance *instance, place_job *job, int64_t *wait, error *err) {
  gateway *gateway = instance->gateway;
  int r = know(instance, err);
  if (r) {
    *wait = 400;
    return r;
  }
  const service *service = service_of(gateway, instance->service);
  if (!service || !service_find_model(service, job->model.text))
    return error_set(err, E_UNKNOWN_MODEL, "no %s is known", job->model.text);
  if (instance_holds(instance, job->model, job->adapter))
    return OK;
  if (instance->leaving)
    return error_set(err, E_NO_ENGINE, "%s is leaving", instance->self.text);
  if (!job->copy && instance_copies(gateway, instance->service, job->model, job->adapter))
    return OK;
  /* what was cheap when this engine was chosen may have gone meanwhile: the coordinator then
   * chooses anew */
  double mb, drain;
  unsigned slots;
  if (job->cost_most > 0 && place_cost(instance, service, job->model, job->adapter, &mb, &slots,
                                       &drain) > job->cost_most) {
    *wait = 20;
    return error_set(err, E_NO_CAPACITY, "room on %s has become dear", instance->self.text);
  }
  if (!instance_resident(instance, job->model)) {
    r = load_one(instance, job, service, job->model, none, wait, err);
    if (r || id_is_empty(job->adapter))
      return r;
    if (!(service = service_of(gateway, instance->service)))
      return error_set(err, E_UNKNOWN_MODEL, "no such service");
  }
  return load_one(instance, job, service, job->model, job->adapter, wait, err);
}

static void job_done(place_job *job, int code, int64_t wait) {
  job->code = code;
  job->wait = wait;
  job->done = true;
  condition_broadcast(&job->changed);
}

static void job_drop(place_job *job) {
  if (--job->held > 0 || !job->done)
    return;
  list_remove(&job->link);
  g_free(job);
}

/* what is gained by a load: those who wait, and those who will come until the next load could be
 * done, by urgency */
double load_worth(gateway *gateway, unsigned priority, id model, id adapter) {
  return (priority == 0   ? 1.5
          : priority == 1 ? 1
                          : 0.5) *
         (1 + 3 * thing_rate(gateway, model, adapter));
}

static double job_worth(gateway *gateway, const place_job *job) {
  return load_worth(gateway, job->priority, job->model, job->adapter) +
         since_ms(gateway, job->since) / 1500;
}

/* one task for each engine that has jobs; the more useful and older come first */
static void work_run(void *p) {
  instance *instance = p;
  gateway *gateway = instance->gateway;
  time_us idle = now_of(gateway);
  while (!engine_stops(instance)) {
    place_job *best = NULL;
    double top = 0;
    time_us now = now_of(gateway);
    list_for_each (job, &instance->orders, place_job, link) {
      if (job->done)
        continue;
      if (time_reached(now, time_add(job->asked, time_from_ms(LAPSE_MS)))) {
        job->held++;
        job_done(job, E_IN_PROGRESS, 0);
        job_drop(job);
        continue;
      }
      double worth = job_worth(gateway, job);
      if (!best || worth > top) {
        best = job;
        top = worth;
      }
    }
    if (!best) {
      if (time_reached(now, time_add(idle, time_from_ms(20000))))
        break;
      if (condition_wait(&gateway->router->node.world->tasks, &instance->work,
                         time_add(now, time_from_ms(2500))) == WAKE_STOPPED)
        break;
      continue;
    }
    best->held++;
    best->begun = true;
    error err = { 0 };
    int64_t wait = 0;
    int r = place(instance, best, &wait, &err);
    if (r == E_NO_CAPACITY)
      log_debug(&gateway->router->node.log, "place", "No room for %s%s%s on %s: %s (code %d).",
                best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
                instance->self.text, err.text, r);
    else if (r && r != E_STOPPING && r != E_NO_LEASE_HOLDER && r != E_LOAD_RATE_LIMITED)
      log_info(&gateway->router->node.log, "place", "No load of %s%s%s on %s: %s (code %d).",
               best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
               instance->self.text, err.text, r);
    job_done(best, r, wait);
    job_drop(best);
    idle = now_of(gateway);
  }
  list_for_each (job, &instance->orders, place_job, link)
    if (!job->done) {
      job->held++;
      job_done(job, E_NO_ENGINE, 200);
      job_drop(job);
    }
  instance->worker = false;
  instance_unref(instance);
}

int load_jobs_on_place(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__PlacedLoadRequest *q = in->placed_load_request;
  instance *instance = instance_find(gateway, q->engine);
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  if (!instance || instance->gone)
    return error_set(err, E_NO_ENGINE, "%.40s is not known here", q->engine);
  if (!order_epoch(instance))
    return error_set(err, E_NO_LEASE_HOLDER, "%s is not held here", instance->self.text);
  id m = id_of_text(q->model), a = id_of_text(q->adapter);
  place_job *job = NULL;
  int ahead = 0;
  list_for_each (k, &instance->orders, place_job, link) {
    if (k->done)
      continue;
    ahead++;
    if (id_equal(k->model, m) && id_equal(k->adapter, a))
      job = k;
  }
  if (!job) {
    const service *s = service_of(gateway, instance->service);
    job = g_new0(place_job, 1);
    job->model = m;
    job->adapter = a;
    job->priority = q->priority;
    job->copy = q->extra_replica;
    job->cost_most = (double)q->max_eviction_cost;
    job->idle_only = q->evict_idle_only;
    job->since = now_of(gateway);
    double each = s ? thing_load_ms(gateway, s, m, a,
                                    instance_resident(instance, m) ||
                                        g_hash_table_contains(instance->held_before, m.text))
                    : 1000;
    if (s && !id_is_empty(a) && !instance_resident(instance, m))
      each +=
          thing_load_ms(gateway, s, m, none, g_hash_table_contains(instance->held_before, m.text));
    job->due = ms_from(gateway, each * (ahead + 1) + 30);
    condition_init(&job->changed);
    list_append(&instance->orders, &job->link);
  }
  job->asked = now_of(gateway);
  job->priority = MIN(job->priority, q->priority);
  job->copy &= q->extra_replica;
  job->cost_most = (double)q->max_eviction_cost;
  job->idle_only &= q->evict_idle_only;
  job->held++;
  instance_ref(instance);
  if (!instance->worker) {
    instance->worker = true;
    instance_ref(instance);
    task_start(&gateway->router->node.world->tasks, "place", work_run, instance);
  }
  condition_broadcast(&instance->work);
  time_us till = ms_from(gateway, (double)MIN(q->wait_ms, REQUEST_MS));
  while (!job->done)
    if (condition_wait(&gateway->router->node.world->tasks, &job->changed, till) != WAKE_SIGNALLED)
      break;
  Wire__PlacedLoadResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE,
                                               &wire__placed_load_response__descriptor);
  b->loaded = job->done && !job->code;
  b->error_code = (uint32_t)(job->done ? job->code : E_IN_PROGRESS);
  time_us due = job->due;
  if (!job->done && !job->begun) {
    /* behind the one in hand, and those that come first */
    double ms = 30;
    list_for_each (k, &instance->orders, place_job, link) {
      const service *s = service_of(gateway, instance->service);
      if (k->done || !s)
        continue;
      if (k->begun)
        ms += (double)ms_till(gateway, k->due);
      else if (k == job || job_worth(gateway, k) > job_worth(gateway, job))
        ms +=
            (instance_resident(instance, k->model)
                 ? 0
                 : thing_load_ms(gateway, s, k->model, none,
                                 g_hash_table_contains(instance->held_before, k->model.text))) +
            (id_is_empty(k->adapter) ? 0 : thing_load_ms(gateway, s, k->model, k->adapter, false));
    }
    due = ms_from(gateway, ms);
  }
  b->retry_after_ms = (uint64_t)(job->done ? job->wait : ms_till(gateway, due));
  b->started = job->begun;
  job_drop(job);
  instance_unref(instance);
  return OK;
}
