#include "router.h"
#include <stdio.h>

enum {
  MAX_KEY_LENGTH = 130,
  ORDER_TIMEOUT_MS = 3000,
  UNLOAD_TIMEOUT_MS = 20000,
  LOAD_CONFIRMATION_MS = 3000,
  MIN_RESIDENCY_MS = 15000,
  PERMIT_SLACK_MS = 100,
  MAX_REQUEST_WAIT_MS = 2000,
  LOAD_BACKOFF_MS = 1000,
  MAX_LOAD_BACKOFF_MS = 60000,
  MAX_PERMIT_WAIT_MS = 1000,
  ABANDONED_REQUEST_MS = 1500,
  REPORT_STALL_MS = 12000
};

bool model_loading_find_size(router *router, id model_, id adapter_, uint64_t *megs,
                             unsigned *slots) {
  const catalogue_model *m = router->config ? config_model(router->config, model_.text) : NULL;
  if (!m)
    return false;
  *megs = m->weights_mb;
  *slots = 0;
  if (id_is_empty(adapter_))
    return true;
  const catalogue_adapter *a = config_adapter(router->config, adapter_.text);
  if (!a || !id_equal(a->model, model_))
    return false;
  *megs = a->weights_mb;
  *slots = a->slots;
  return true;
}

double model_loading_estimate_ms(router *router, id type, id model_, id adapter_) {
  char key[128];
  const catalogue_model *m = router->config ? config_model(router->config, model_.text) : NULL;
  double fall = !router->config               ? 4000
                : !id_is_empty(adapter_)      ? router->config->default_load_ms / 4
                : m && m->default_load_ms > 0 ? m->default_load_ms
                                              : router->config->default_load_ms;
  event_history_format_key(key, sizeof key, model_, adapter_);
  return event_history_load_ms(&router->history, type, key, fall);
}

static bool is_cancelled(engine *engine) {
  return engine->removed || engine->router->node.world->tasks.stopped;
}

/* room that no report has yet shown as free counts as taken */
static capacity_shortage find_shortage(engine *engine, uint64_t megs, unsigned slots) {
  uint64_t m = engine->reserved_mb;
  unsigned s = engine->reserved_slots;
  list_for_each (h, &engine->residents, resident_model, link) {
    m += h->weights_mb;
    s += h->slots;
  }
  capacity_shortage l = { m + megs > engine->weights_mb ? m + megs - engine->weights_mb : 0,
                          s + slots > engine->adapter_slots ? s + slots - engine->adapter_slots
                                                            : 0 };
  return l;
}

static uint64_t engine_lease_epoch(engine *engine) {
  char d[64];
  singleton_engine_name(d, sizeof d, engine->self);
  return singleton_lease_epoch(engine->router, d);
}

/* sends one order; the contract is looked at in the same breath. 202 means taken, 0 with engine set
 * that nobody knows */
static int send_order(engine *engine, const char *what, id model_, id adapter_, uint64_t megs,
                      unsigned slots, time_us by, error *err) {
  router *router = engine->router;
  uint64_t epoch = engine_lease_epoch(engine);
  if (!epoch) {
    error_set(err, E_NO_LEASE_HOLDER, "no contract for %s", engine->self.text);
    return -1;
  }
  GString *b = g_string_new(NULL), *got = g_string_new(NULL);
  char ep[32], path[32];
  json_appendf(b,
               "{\"model\":\"%s\",\"adapter\":\"%s\",\"weightsMb\":%" PRIu64
               ",\"slots\":%u,\"epoch\":%" PRIu64 ",\"order\":%" PRIu64
               ",\"holder\":\"%s\",\"boot\":",
               model_.text, adapter_.text, megs, slots, epoch, ++engine->order_count,
               router->node.settings.self.text);
  json_append_quoted(b, string_view_of(engine->boot_id));
  g_string_append_c(b, '}');
  snprintf(ep, sizeof ep, "%" PRIu64, epoch);
  snprintf(path, sizeof path, "/v1/%s", what);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  http_headers_set(&h, HEADER_EPOCH, ep);
  http_headers_set(&h, HEADER_LEASE_HOLDER, router->node.settings.self.text);
  event_history_append(
      &router->history,
      (history_event){ EVENT_ORDERED, { 0 }, engine->self, model_, adapter_, what[0] == 'l' });
  char duty[64];
  singleton_engine_name(duty, sizeof duty, engine->self);
  singleton_lease *singleton_lease = g_hash_table_lookup(router->singleton_leases, duty);
  int st = http_call_fetch_before(
      router->node.world, engine->address, "POST", path, &h, string_view_of_gstring(b), got,
      time_from_ms(ORDER_TIMEOUT_MS),
      singleton_lease->expires_at.us < by.us ? singleton_lease->expires_at : by, err);
  if (st && st != 202)
    error_set(err, E_ORDER_FAILED, "%s answered %d to %s: %.100s", engine->self.text, st, what,
              got->str);
  http_headers_free(&h);
  g_string_free(b, TRUE);
  g_string_free(got, TRUE);
  return st;
}

/* loads that fail are not tried again at once, and less and less often */
typedef struct {
  int failures;
  time_us retry_at, unloaded_at;
} backoff;
static backoff *find_or_add_backoff(engine *engine, id model_, id adapter_) {
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", engine->self.text, model_.text, adapter_.text);
  backoff *b = g_hash_table_lookup(engine->router->load_backoffs, key);
  if (!b) {
    b = g_new0(backoff, 1);
    g_hash_table_insert(engine->router->load_backoffs, g_strdup(key), b);
  }
  return b;
}

static void record_load_failure(engine *engine, id model_, id adapter_) {
  backoff *b = find_or_add_backoff(engine, model_, adapter_);
  int64_t ms = (int64_t)LOAD_BACKOFF_MS << MIN(b->failures, 6);
  b->failures++;
  if (ms > MAX_LOAD_BACKOFF_MS)
    ms = MAX_LOAD_BACKOFF_MS;
  b->retry_at =
      time_add(world_now(engine->router->node.world),
               time_from_ms(ms + (int64_t)world_random(engine->router->node.world, ms / 2 + 1)));
  engine->router->failed_loads++;
  event_history_append(
      &engine->router->history,
      (history_event){ EVENT_LOAD_FAILED, { 0 }, engine->self, model_, adapter_, b->failures });
}

/* waits for the engine's next report, for a while at most; what the end of the wait means is the
 * caller's affair */
static enum wake wait_next_report(engine *engine) {
  world *world = engine->router->node.world;
  return condition_wait(&world->tasks, &engine->report_changed,
                        time_add(world_now(world), time_from_ms(300)));
}

/* waits until the engine's report no longer shows a thing */
static int unload_model(engine *engine, id model_, id adapter_, error *err) {
  router *router = engine->router;
  resident_model *resident_model = engine_find_resident(engine, model_, adapter_);
  if (!resident_model)
    return OK;
  bool used = resident_model->served_requests, busy = resident_model->running > 0,
       up = resident_model->state == RESIDENT_UP;
  if (resident_model->state != RESIDENT_UNLOADING) {
    resident_model->state = RESIDENT_UNLOADING;
    int st = send_order(engine, "unload", model_, adapter_, resident_model->weights_mb,
                        resident_model->slots, time_never(), err);
    if (st == -1)
      return E_NO_LEASE_HOLDER;
    if (st && st != 202 && st != 404)
      return err->code;
    if (st == 202 && (resident_model = engine_find_resident(engine, model_, adapter_)))
      resident_model->unload_accepted = true;
    router->unload_count++;
    router->busy_unloads += busy;
    if (up && !used)
      router->wasted_loads++;
    find_or_add_backoff(engine, model_, adapter_)->unloaded_at = world_now(router->node.world);
  }
  time_us till = time_add(world_now(router->node.world), time_from_ms(UNLOAD_TIMEOUT_MS));
  while (engine_find_resident(engine, model_, adapter_)) {
    if (wait_next_report(engine) == WAKE_STOPPED || is_cancelled(engine))
      return error_set(err, E_STOPPING, "stopping");
    if (time_reached(world_now(router->node.world), till))
      return error_set(err, E_ORDER_FAILED, "%s still holds %s", engine->self.text, model_.text);
  }
  event_history_append(
      &router->history,
      (history_event){ EVENT_UNLOADED, { 0 }, engine->self, model_, adapter_, used });
  return OK;
}

static uint64_t draw_random(void *w) {
  return ((world *)w)->random(w);
}

/* wins room back by the rule: unloads before the load, largest first, and no more than are needed
 */
static int free_capacity(engine *engine, id model_, id adapter_, uint64_t megs, unsigned slots,
                         uint64_t *wait, error *err) {
  router *router = engine->router;
  for (int turns = 0; turns < 24; turns++) {
    capacity_shortage l = find_shortage(engine, megs, slots);
    if (!l.mb && !l.slots)
      return OK;
    if (is_cancelled(engine))
      return error_set(err, E_STOPPING, "stopping");
    time_us now = world_now(router->node.world);
    int n = 0, count = 0;
    list_for_each (h, &engine->residents, resident_model, link)
      count++;
    GArray *held =
        g_array_set_size(g_array_new(FALSE, TRUE, sizeof(eviction_candidate)), (guint)count);
    eviction_candidate *all = (eviction_candidate *)held->data;
    list_for_each (h, &engine->residents, resident_model, link) {
      eviction_candidate *candidate = &all[n++];
      char key[128];
      memset(candidate, 0, sizeof *candidate);
      candidate->model = h->model;
      candidate->adapter = h->adapter;
      candidate->weights_mb = h->weights_mb;
      candidate->slots = h->slots;
      event_history_format_key(key, sizeof key, h->model, h->adapter);
      candidate->request_rate = event_history_request_rate(&router->history, key);
      candidate->last_requested_at = event_history_last_requested_at(&router->history, key);
      candidate->load_ms = model_loading_estimate_ms(router, engine->type, h->model, h->adapter);
      candidate->busy = h->running > 0;
      /* an adapter that may be there would be left without its base */
      candidate->pinned =
          h->state != RESIDENT_UP || h->unconfirmed_adapter_loads ||
          (!h->served_requests &&
           !time_reached(now, time_add(h->loaded_at, time_from_ms(MIN_RESIDENCY_MS)))) ||
          (!id_is_empty(adapter_) && id_is_empty(h->adapter) && id_equal(h->model, model_));
      list_for_each (k, &engine->load_requests, queued_load_request, link)
        if (!k->done && k->waiters && id_equal(k->model, h->model) &&
            (id_is_empty(h->adapter) || id_equal(k->adapter, h->adapter)))
          candidate->pinned = true;
    }
    eviction_rule rule = { router->config->eviction_policy,
                           config_formula(router->config, router->config->eviction_policy), now };
    int got = eviction_policy_select(&rule, all, n, l, draw_random, router->node.world);
    if (got < 0) {
      /* something on its way out may still bring the room */
      g_array_free(held, TRUE);
      bool going = false;
      list_for_each (h, &engine->residents, resident_model, link)
        going |= h->state == RESIDENT_UNLOADING;
      if (going && wait_next_report(engine) != WAKE_STOPPED)
        continue;
      *wait = 2000;
      return error_set(err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s%s%s now",
                       engine->self.text, model_.text, adapter_.text[0] ? "+" : "", adapter_.text);
    }
    log_debug(&router->node.log, "place",
              "%s needs %" PRIu64 " MB and %u places for %s; %d may go, first %s, worth %g.",
              engine->self.text, l.mb, l.slots, model_.text, got, all[0].model.text, all[0].score);
    id goes = all[0].model, with = all[0].adapter;
    g_array_free(held, TRUE);
    int r = unload_model(engine, goes, with, err);
    if (r) {
      *wait = 2000;
      return r;
    }
  }
  *wait = 2000;
  return error_set(err, E_NO_CAPACITY, "%s found no room in time", engine->self.text);
}

/* asks whoever holds the pace for a moment to start a load in */
static int request_permit(engine *engine, const char *key, time_us *from, time_us *last,
                          uint64_t *wait, error *err) {
  router *router = engine->router;
  id holder;
  uint64_t epoch;
  if (!config_sync_find_grant(router, "pacer", &holder, &epoch))
    return error_set(err, E_LOAD_RATE_LIMITED, "nobody holds the pace");
  peer_node *peer = node_find_peer(&router->node, holder);
  char addr[48];
  if (id_equal(holder, router->node.settings.self))
    g_strlcpy(addr, router->node.settings.address, sizeof addr);
  else if (peer && !peer->gone)
    g_strlcpy(addr, peer->address, sizeof addr);
  else
    return error_set(err, E_LOAD_RATE_LIMITED, "the holder of the pace, %s, is not there",
                     holder.text);
  Wire__LoadPermitRequest t = WIRE__LOAD_PERMIT_REQUEST__INIT;
  t.engine = engine->self.text;
  t.key = (char *)key;
  t.epoch = epoch;
  Wire__Envelope q = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &t), *b;
  time_us sent = world_now(router->node.world);
  int r = node_call(&router->node, addr, &q, time_from_ms(600), &b, err);
  if (r)
    return r;
  if (b->body_case != WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE)
    r = error_set(err, E_WIRE_MESSAGE, "no ticket");
  else if (!b->load_permit_response->granted) {
    *wait = b->load_permit_response->wait_ms;
    r = error_set(err, E_LOAD_RATE_LIMITED, "the pace is taken for %" PRIu64 " ms", *wait);
  } else {
    *from = time_add(world_now(router->node.world), time_from_ms(b->load_permit_response->wait_ms));
    *last = time_add(time_add(sent, time_from_ms(b->load_permit_response->wait_ms)),
                     (time_us){ (int64_t)b->load_permit_response->valid_us });
  }
  node_reply_free(b);
  return r;
}

/* the pace: slots a little wider than the store allows, since a start may come late in its slot. No
   slot lies past the contract's end, so a successor only has to wait for one slot */
static int on_permit_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  uint64_t epoch = singleton_lease_epoch(router, "pacer");
  if (!epoch || !router->config)
    return error_set(err, E_NO_LEASE_HOLDER, "the pace is not held here");
  if (in->load_permit_request->epoch > epoch)
    return error_set(err, E_STALE_EPOCH, "a younger epoch is known");
  double pace = router->config->loads_per_s;
  int64_t slack = MIN((int64_t)PERMIT_SLACK_MS * 1000, (int64_t)(250000 / pace)),
          span = (int64_t)(1e6 / pace) + slack;
  time_us now = world_now(router->node.world),
          at = epoch > 1 ? time_add(router->rate_limiter_since, (time_us){ span }) : now;
  if (router->next_permit_at.us > at.us)
    at = router->next_permit_at;
  if (at.us < now.us)
    at = now;
  Wire__LoadPermitResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE,
                                               &wire__load_permit_response__descriptor);
  int64_t wait = time_sub(at, now).us;
  singleton_lease *singleton_lease = g_hash_table_lookup(router->singleton_leases, "pacer");
  bool far = wait > (int64_t)MAX_PERMIT_WAIT_MS * 1000 || at.us >= singleton_lease->expires_at.us;
  b->granted = !far;
  b->wait_ms = (wait + 999) / 1000;
  b->valid_us = slack;
  if (far) {
    router->load_permits_refused++;
    router->permits_refused_recently++;
    return OK;
  }
  router->next_permit_at = time_add(time_add(now, time_from_ms(b->wait_ms)), (time_us){ span });
  router->load_permits++;
  router->permits_granted_recently++;
  return OK;
}

/* what was owed for a load is shown by a report now; a new run of the engine owes nothing */
static void release_reservation(engine *engine, const char *boot, id model_, id adapter_,
                                uint64_t megs, unsigned slots) {
  if (strcmp(boot, engine->boot_id))
    return;
  resident_model *base =
      id_is_empty(adapter_) ? NULL : engine_find_resident(engine, model_, id_of_text(""));
  if (base && base->unconfirmed_adapter_loads)
    base->unconfirmed_adapter_loads--;
  engine->reserved_mb -= MIN(engine->reserved_mb, megs);
  engine->reserved_slots -= MIN(engine->reserved_slots, slots);
}

static int load_model(engine *engine, id model_, id adapter_, uint64_t *wait, error *err) {
  router *router = engine->router;
  uint64_t megs;
  unsigned slots;
  char key[128];
  event_history_format_key(key, sizeof key, model_, adapter_);
  resident_model *resident_model = engine_find_resident(engine, model_, adapter_),
                 *below = engine_find_resident(engine, model_, id_of_text(""));
  /* an adapter serves only on its base, which may have gone */
  if (resident_model && resident_model->state == RESIDENT_UP && below &&
      below->state == RESIDENT_UP)
    return OK;
  if (!model_loading_find_size(router, model_, adapter_, &megs, &slots))
    return error_set(err, E_UNKNOWN_MODEL, "the catalogue has no %s", key);
  if (megs > engine->weights_mb || slots > engine->adapter_slots)
    return error_set(err, E_NO_ENGINE_FITS, "%s does not fit on %s", key, engine->self.text);
  backoff *b = find_or_add_backoff(engine, model_, adapter_);
  time_us now = world_now(router->node.world);
  if (!time_reached(now, b->retry_at)) {
    *wait = time_sub(b->retry_at, now).us / 1000;
    return error_set(err, E_ORDER_FAILED, "%s failed to load on %s lately", key, engine->self.text);
  }
  int r = OK;
  if (!id_is_empty(adapter_)) {
    r = load_model(engine, model_, id_of_text(""), wait, err);
    if (r)
      return r;
  }
  resident_model = engine_find_resident(engine, model_, adapter_);
  if (resident_model && resident_model->state == RESIDENT_UP)
    return OK;
  if (resident_model && resident_model->state == RESIDENT_UNLOADING) {
    time_us till = time_add(now, time_from_ms(UNLOAD_TIMEOUT_MS));
    while ((resident_model = engine_find_resident(engine, model_, adapter_)) &&
           resident_model->state == RESIDENT_UNLOADING &&
           !time_reached(world_now(router->node.world), till))
      if (wait_next_report(engine) == WAKE_STOPPED || is_cancelled(engine))
        return error_set(err, E_STOPPING, "stopping");
  }
  bool there = resident_model && resident_model->state == RESIDENT_LOADING;
  time_us began = world_now(router->node.world);
  if (!there) {
    r = free_capacity(engine, model_, adapter_, megs, slots, wait, err);
    if (r)
      return r;
    time_us from = { 0 }, last = { 0 };
    for (int tries = 0;; tries++) {
      r = request_permit(engine, key, &from, &last, wait, err);
      if (r == E_STOPPING || is_cancelled(engine))
        return error_set(err, E_STOPPING, "stopping");
      if (r && tries >= 3) {
        if (!*wait)
          *wait = 1500;
        return r;
      }
      if (r) {
        if (!world_sleep_with_jitter(
                router->node.world,
                time_from_ms(r == E_LOAD_RATE_LIMITED && *wait ? MIN(*wait, 1000) : 400)))
          return E_STOPPING;
        continue;
      }
      now = world_now(router->node.world);
      if (from.us > now.us && !world_sleep(router->node.world, time_sub(from, now)))
        return E_STOPPING;
      if (time_reached(last, world_now(router->node.world)))
        break;
    }
    if (!engine_accepts_work(engine))
      return error_set(err, E_NO_ENGINE, "%s takes no new work", engine->self.text);
    capacity_shortage l = find_shortage(engine, megs, slots);
    if (l.mb || l.slots) {
      *wait = 1000;
      return error_set(err, E_NO_CAPACITY, "the room on %s went while the pace was waited for",
                       engine->self.text);
    }
    if (!id_is_empty(adapter_)) {
      resident_model = engine_find_resident(engine, model_, id_of_text(""));
      if (!resident_model || resident_model->state != RESIDENT_UP)
        return error_set(err, E_NO_CAPACITY, "the base of %s went", key);
    }
    char boot[48];
    uint64_t seq = engine->report_seq;
    g_strlcpy(boot, engine->boot_id, sizeof boot);
    engine->reserved_mb += megs;
    engine->reserved_slots += slots;
    if (!id_is_empty(adapter_))
      resident_model->unconfirmed_adapter_loads++;
    began = world_now(router->node.world);
    router->load_count++;
    if (b->unloaded_at.us &&
        !time_reached(began, time_add(b->unloaded_at,
                                      time_from_ms(WASTED_LOAD_WINDOW_FACTOR *
                                                   (int64_t)model_loading_estimate_ms(
                                                       router, engine->type, model_, adapter_)))))
      router->wasted_loads++;
    int st = send_order(engine, "load", model_, adapter_, megs, slots, last, err);
    if (!st && err->code == E_NOT_CONNECTED) {
      /* nothing was sent, so nothing is owed */
      release_reservation(engine, boot, model_, adapter_, megs, slots);
      *wait = 1000;
      return error_set(err, E_LOAD_RATE_LIMITED, "%s could not be reached within the slot",
                       engine->self.text);
    }
    if (st && st != 202) {
      release_reservation(engine, boot, model_, adapter_, megs, slots);
      if (st == -1)
        return E_NO_LEASE_HOLDER;
      *wait = 2000;
      /* the engine knows a younger epoch, or is a new run that the last report did not show: no
       * fault of the load */
      if (st == 412)
        return error_set(err, E_NO_ENGINE, "%s refused an order that is out of date",
                         engine->self.text);
      record_load_failure(engine, model_, adapter_);
      return E_ORDER_FAILED;
    }
    /* taken, or nobody knows: only a report settles it, and of an order that was taken only a
     * report that moved on */
    time_us settle = time_add(world_now(router->node.world), time_from_ms(LOAD_CONFIRMATION_MS));
    while (!(resident_model = engine_find_resident(engine, model_, adapter_)) &&
           !strcmp(boot, engine->boot_id)) {
      if (wait_next_report(engine) == WAKE_STOPPED || is_cancelled(engine))
        return error_set(err, E_STOPPING, "stopping");
      time_us now2 = world_now(router->node.world);
      if (time_reached(now2, settle) && time_reached(engine->last_report_at, settle) &&
          (!st || engine->report_seq != seq))
        break;
      if (time_reached(now2, time_add(settle, time_from_ms(REPORT_STALL_MS)))) {
        /* the room stays owed until the engine is a new run */
        record_load_failure(engine, model_, adapter_);
        *wait = 5000;
        log_info(&router->node.log, "engine",
                 "%s took a load and its reports do not move; its room counts as taken (code %d).",
                 engine->self.text, E_NO_ENGINE);
        return error_set(err, E_NO_ENGINE, "%s took a load and shows nothing of it",
                         engine->self.text);
      }
    }
    release_reservation(engine, boot, model_, adapter_, megs, slots);
    if (!resident_model) {
      record_load_failure(engine, model_, adapter_);
      *wait = 2000;
      return error_set(err, E_ORDER_FAILED, "%s did not take the load of %s", engine->self.text,
                       key);
    }
  }
  double guess = model_loading_estimate_ms(router, engine->type, model_, adapter_);
  time_us till = time_add(began, time_from_ms((int64_t)(guess * 4) + 15000));
  while ((resident_model = engine_find_resident(engine, model_, adapter_)) &&
         resident_model->state == RESIDENT_LOADING) {
    if (wait_next_report(engine) == WAKE_STOPPED || is_cancelled(engine))
      return error_set(err, E_STOPPING, "stopping");
    if (time_reached(world_now(router->node.world), till)) {
      *wait = 2000;
      return error_set(err, E_ORDER_FAILED, "%s loads %s for too long", engine->self.text, key);
    }
  }
  if (!resident_model) {
    record_load_failure(engine, model_, adapter_);
    *wait = 2000;
    return error_set(err, E_ORDER_FAILED, "%s gave up the load of %s", engine->self.text, key);
  }
  find_or_add_backoff(engine, model_, adapter_)->failures = 0;
  double ms = (double)time_sub(world_now(router->node.world), began).us / 1000;
  if (!there) {
    event_history_record_load_ms(&router->history, engine->type, key, ms);
    event_history_append(
        &router->history,
        (history_event){ EVENT_LOADED, { 0 }, engine->self, model_, adapter_, (int64_t)ms });
    rate_exchange_send_load_time(router, engine->type, key, ms);
    log_info(&router->node.log, "place", "%s has %s after %.0f ms, epoch %" PRIu64 ".",
             engine->self.text, key, ms, engine_lease_epoch(engine));
  }
  return OK;
}

static void complete_request(queued_load_request *want, int code, uint64_t wait) {
  want->error_code = code;
  want->retry_after_ms = wait;
  want->done = true;
  condition_broadcast(&want->changed);
}

/* a miss outlives its askers for a moment, since they ask again and again, and keeps its place by
 * that */
static void load_request_unref(router *router, queued_load_request *want) {
  if (--want->waiters > 0)
    return;
  if (!want->done) {
    want->expires_at = time_add(world_now(router->node.world), time_from_ms(ABANDONED_REQUEST_MS));
    return;
  }
  list_remove(&want->link);
  g_free(want);
}

/* one task for each engine: takes the misses in turn, weightier and older ones first */
static void load_worker_run(void *p) {
  engine *engine = p;
  router *router = engine->router;
  while (!engine->removed) {
    queued_load_request *best = NULL;
    time_us now = world_now(router->node.world);
    int64_t top = 0;
    list_for_each (k, &engine->load_requests, queued_load_request, link) {
      if (k->done)
        continue;
      if (!k->waiters && time_reached(now, k->expires_at)) {
        list_remove(&k->link);
        g_free(k);
        continue;
      }
      int64_t worth = (int64_t)k->priority_weight * 500000 + time_sub(now, k->queued_at).us;
      if (!best || worth > top) {
        best = k;
        top = worth;
      }
    }
    if (!best) {
      if (condition_wait(&router->node.world->tasks, &engine->work_changed,
                         time_add(now, time_from_ms(1000))) == WAKE_STOPPED)
        break;
      continue;
    }
    best->waiters++;
    error err = { 0 };
    uint64_t wait = 0;
    int r = !engine_lease_epoch(engine)
                ? error_set(&err, E_NO_LEASE_HOLDER, "no contract for %s here", engine->self.text)
            : !engine_accepts_work(engine)
                ? error_set(&err, E_NO_ENGINE, "%s takes no new work", engine->self.text)
                : load_model(engine, best->model, best->adapter, &wait, &err);
    if (r && r != E_STOPPING && r != E_NO_LEASE_HOLDER)
      log_info(&router->node.log, "place", "No load of %s%s%s on %s: %s (code %d).",
               best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
               engine->self.text, err.text, r);
    complete_request(best, r, wait);
    load_request_unref(router, best);
  }
  list_for_each (k, &engine->load_requests, queued_load_request, link) {
    if (!k->done)
      complete_request(k, E_NO_ENGINE, 1000);
    if (!k->waiters) {
      list_remove(&k->link);
      g_free(k);
    }
  }
  engine_unref(engine);
}

/* a miss from another router, or from this one */
static int on_load_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  Wire__ModelLoadRequest *q = in->model_load_request;
  engine *engine = engine_find(router, id_of_text(q->engine));
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  if (!engine || engine->removed)
    return error_set(err, E_NO_ENGINE, "%.40s is not listed here", q->engine);
  if (!engine_lease_epoch(engine))
    return error_set(err, E_NO_LEASE_HOLDER, "%s is not held here", engine->self.text);
  id m = id_of_text(q->model), a = id_of_text(q->adapter);
  queued_load_request *k = NULL;
  list_for_each (i, &engine->load_requests, queued_load_request, link)
    if (!i->done && id_equal(i->model, m) && id_equal(i->adapter, a))
      k = i;
  if (!k) {
    k = g_new0(queued_load_request, 1);
    k->model = m;
    k->adapter = a;
    k->queued_at = world_now(router->node.world);
    condition_init(&k->changed);
    list_append(&engine->load_requests, &k->link);
  }
  k->priority_weight = MAX(k->priority_weight, q->weight);
  k->waiters++;
  engine->refs++;
  condition_broadcast(&engine->work_changed);
  time_us till =
      time_add(world_now(router->node.world), time_from_ms(MIN(q->wait_ms, MAX_REQUEST_WAIT_MS)));
  while (!k->done)
    if (condition_wait(&router->node.world->tasks, &k->changed, till) != WAKE_SIGNALLED)
      break;
  Wire__ModelLoadResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_MODEL_LOAD_RESPONSE,
                                              &wire__model_load_response__descriptor);
  int code = k->done ? k->error_code : E_IN_PROGRESS;
  b->loaded = k->done && !k->error_code;
  b->retry_after_ms = k->done ? k->retry_after_ms : 0;
  b->error_code = code;
  load_request_unref(router, k);
  engine_unref(engine);
  return OK;
}

void rate_exchange_send_load_time(router *router, id type, const char *key, double ms) {
  Wire__LoadTime t = WIRE__LOAD_TIME__INIT, *tp = &t;
  Wire__RateReport q = WIRE__RATE_REPORT__INIT;
  t.engine_type = type.text;
  t.key = (char *)key;
  t.duration_ms = (uint64_t)ms;
  q.nonce = router->node.nonce;
  q.n_load_times = 1;
  q.load_times = &tp;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_RATE_REPORT, &q);
  node_broadcast(&router->node, ROLE_ROUTER, &m);
}

void rate_exchange_receive(router *router, const Wire__RateReport *q) {
  for (size_t i = 0; !q->fleet_totals && i < q->n_counts; i++)
    if (strlen(q->counts[i]->key) < MAX_KEY_LENGTH)
      event_history_merge_remote_count(&router->history, q->nonce, q->counts[i]->key,
                                       q->counts[i]->total, q->counts[i]->in_window);
  for (size_t i = 0; i < q->n_load_times; i++)
    if (id_is_valid(string_view_of(q->load_times[i]->engine_type)) &&
        strlen(q->load_times[i]->key) < MAX_KEY_LENGTH && q->load_times[i]->duration_ms < 600000)
      event_history_record_load_ms(&router->history, id_of_text(q->load_times[i]->engine_type),
                                   q->load_times[i]->key, (double)q->load_times[i]->duration_ms);
}

static int on_rates(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  rate_exchange_receive(ctx, in->rate_report);
  return OK;
}

/* tells the others what this node has routed, so that each holder knows the whole fleet's rates */
static void broadcast_rates_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(2000))) {
    /* what the pace was like lately, for the doctor */
    router->permits_granted_recently *= 0.8;
    router->permits_refused_recently *= 0.8;
    GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer k, t;
    g_hash_table_iter_init(&it, router->history.local_rates);
    while (g_hash_table_iter_next(&it, &k, &t)) {
      Wire__RequestCount *r = g_new(Wire__RequestCount, 1);
      wire__request_count__init(r);
      r->key = k;
      r->in_window = event_history_local_count(&router->history, k, &r->total);
      if (r->in_window)
        g_ptr_array_add(all, r);
      else
        g_free(r);
    }
    Wire__RateReport q = WIRE__RATE_REPORT__INIT;
    q.nonce = router->node.nonce;
    q.n_counts = all->len;
    q.counts = (Wire__RequestCount **)all->pdata;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_RATE_REPORT, &q);
    if (all->len)
      node_broadcast(&router->node, ROLE_ROUTER, &m);
    g_ptr_array_free(all, TRUE);
  }
}

void model_loading_start_engine(engine *engine) {
  task_start(&engine->router->node.world->tasks, "place", load_worker_run, engine);
}

void model_loading_start(router *router) {
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_MODEL_LOAD_REQUEST, on_load_request,
                        router);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, on_permit_request,
                        router);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_RATE_REPORT, on_rates, router);
  task_start(&router->node.world->tasks, "rates", broadcast_rates_run, router);
}
