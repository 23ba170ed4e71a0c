#include "router.h"
#include <stdio.h>

enum {
  KEY_MOST = 130,
  ORDER_MS = 3000,
  UNLOAD_MS = 20000,
  SETTLE_MS = 3000,
  YOUNG_MS = 15000,
  TICKET_MS = 100,
  REQUEST_MS = 2000,
  BACK_MS = 1000,
  BACK_MOST_MS = 60000,
  PACE_LINE_MS = 1000,
  LINGER_MS = 1500,
  NO_ANSWER_MS = 12000
};

bool item_size(router *router, id model_, id adapter_, uint64_t *megs, unsigned *slots) {
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

double item_penalty(router *router, id type, id model_, id adapter_) {
  char key[128];
  const catalogue_model *m = router->config ? config_model(router->config, model_.text) : NULL;
  double fall = !router->config               ? 4000
                : !id_is_empty(adapter_)      ? router->config->default_load_ms / 4
                : m && m->default_load_ms > 0 ? m->default_load_ms
                                              : router->config->default_load_ms;
  history_key(key, sizeof key, model_, adapter_);
  return history_penalty(&router->history, type, key, fall);
}

static bool gave_up(engine *engine) {
  return engine->quit || engine->router->node.world->tasks.stopped;
}

/* room that no report has yet shown as free counts as taken */
static lack lacking(engine *engine, uint64_t megs, unsigned slots) {
  uint64_t m = engine->owed_megs;
  unsigned s = engine->owed_slots;
  list_for_each (h, &engine->holdings, holding, link) {
    m += h->megs;
    s += h->slots;
  }
  lack l = { m + megs > engine->weights_mb ? m + megs - engine->weights_mb : 0,
             s + slots > engine->adapter_slots ? s + slots - engine->adapter_slots : 0 };
  return l;
}

static uint64_t epoch_of(engine *engine) {
  char d[64];
  duty_engine(d, sizeof d, engine->self);
  return duty_epoch(engine->router, d);
}

/* sends one order; the contract is looked at in the same breath. 202 means taken, 0 with engine set
 * that nobody knows */
static int order(engine *engine, const char *what, id model_, id adapter_, uint64_t megs,
                 unsigned slots, time_us by, error *err) {
  router *router = engine->router;
  uint64_t epoch = epoch_of(engine);
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
               model_.text, adapter_.text, megs, slots, epoch, ++engine->orders,
               router->node.settings.self.text);
  json_append_quoted(b, string_view_of(engine->boot));
  g_string_append_c(b, '}');
  snprintf(ep, sizeof ep, "%" PRIu64, epoch);
  snprintf(path, sizeof path, "/v1/%s", what);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  http_headers_set(&h, HEADER_EPOCH, ep);
  http_headers_set(&h, HEADER_LEASE_HOLDER, router->node.settings.self.text);
  history_add(&router->history,
              (entry){ EV_ORDERED, { 0 }, engine->self, model_, adapter_, what[0] == 'l' });
  char duty[64];
  duty_engine(duty, sizeof duty, engine->self);
  contract *contract = g_hash_table_lookup(router->contracts, duty);
  int st = http_call_fetch_before(router->node.world, engine->addr, "POST", path, &h,
                                  string_view_of_gstring(b), got, time_from_ms(ORDER_MS),
                                  contract->till.us < by.us ? contract->till : by, err);
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
  int fails;
  time_us till, left;
} backoff;
static backoff *back_of(engine *engine, id model_, id adapter_) {
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", engine->self.text, model_.text, adapter_.text);
  backoff *b = g_hash_table_lookup(engine->router->backs, key);
  if (!b) {
    b = g_new0(backoff, 1);
    g_hash_table_insert(engine->router->backs, g_strdup(key), b);
  }
  return b;
}

static void failed(engine *engine, id model_, id adapter_) {
  backoff *b = back_of(engine, model_, adapter_);
  int64_t ms = (int64_t)BACK_MS << MIN(b->fails, 6);
  b->fails++;
  if (ms > BACK_MOST_MS)
    ms = BACK_MOST_MS;
  b->till =
      time_add(world_now(engine->router->node.world),
               time_from_ms(ms + (int64_t)world_random(engine->router->node.world, ms / 2 + 1)));
  engine->router->load_fails++;
  history_add(&engine->router->history,
              (entry){ EV_FAILED, { 0 }, engine->self, model_, adapter_, b->fails });
}

/* waits for the engine's next report, for a while at most; what the end of the wait means is the
 * caller's affair */
static enum wake news_next(engine *engine) {
  world *world = engine->router->node.world;
  return condition_wait(&world->tasks, &engine->news,
                        time_add(world_now(world), time_from_ms(300)));
}

/* waits until the engine's report no longer shows a thing */
static int unload(engine *engine, id model_, id adapter_, error *err) {
  router *router = engine->router;
  holding *holding = engine_holding(engine, model_, adapter_);
  if (!holding)
    return OK;
  bool used = holding->used, busy = holding->running > 0, up = holding->state == HOLD_UP;
  if (holding->state != HOLD_UNLOADING) {
    holding->state = HOLD_UNLOADING;
    int st =
        order(engine, "unload", model_, adapter_, holding->megs, holding->slots, time_never(), err);
    if (st == -1)
      return E_NO_LEASE_HOLDER;
    if (st && st != 202 && st != 404)
      return err->code;
    if (st == 202 && (holding = engine_holding(engine, model_, adapter_)))
      holding->unload_taken = true;
    router->unloads++;
    router->drained += busy;
    if (up && !used)
      router->wasted++;
    back_of(engine, model_, adapter_)->left = world_now(router->node.world);
  }
  time_us till = time_add(world_now(router->node.world), time_from_ms(UNLOAD_MS));
  while (engine_holding(engine, model_, adapter_)) {
    if (news_next(engine) == WAKE_STOPPED || gave_up(engine))
      return error_set(err, E_STOPPING, "stopping");
    if (time_reached(world_now(router->node.world), till))
      return error_set(err, E_ORDER_FAILED, "%s still holds %s", engine->self.text, model_.text);
  }
  history_add(&router->history,
              (entry){ EV_UNLOADED, { 0 }, engine->self, model_, adapter_, used });
  return OK;
}

static uint64_t chance(void *w) {
  return ((world *)w)->random(w);
}

/* wins room back by the rule: unloads before the load, largest first, and no more than are needed
 */
static int make_room(engine *engine, id model_, id adapter_, uint64_t megs, unsigned slots,
                     uint64_t *wait, error *err) {
  router *router = engine->router;
  for (int turns = 0; turns < 24; turns++) {
    lack l = lacking(engine, megs, slots);
    if (!l.megs && !l.slots)
      return OK;
    if (gave_up(engine))
      return error_set(err, E_STOPPING, "stopping");
    time_us now = world_now(router->node.world);
    int n = 0, count = 0;
    list_for_each (h, &engine->holdings, holding, link)
      count++;
    GArray *held = g_array_set_size(g_array_new(FALSE, TRUE, sizeof(candidate)), (guint)count);
    candidate *all = (candidate *)held->data;
    list_for_each (h, &engine->holdings, holding, link) {
      candidate *candidate = &all[n++];
      char key[128];
      memset(candidate, 0, sizeof *candidate);
      candidate->model = h->model;
      candidate->adapter = h->adapter;
      candidate->megs = h->megs;
      candidate->slots = h->slots;
      history_key(key, sizeof key, h->model, h->adapter);
      candidate->rate = history_rate(&router->history, key);
      candidate->used = history_used(&router->history, key);
      candidate->penalty = item_penalty(router, engine->type, h->model, h->adapter);
      candidate->busy = h->running > 0;
      /* an adapter that may be there would be left without its base */
      candidate->barred =
          h->state != HOLD_UP || h->unsettled ||
          (!h->used && !time_reached(now, time_add(h->up_at, time_from_ms(YOUNG_MS)))) ||
          (!id_is_empty(adapter_) && id_is_empty(h->adapter) && id_equal(h->model, model_));
      list_for_each (k, &engine->wants, want, link)
        if (!k->done && k->waiters && id_equal(k->model, h->model) &&
            (id_is_empty(h->adapter) || id_equal(k->adapter, h->adapter)))
          candidate->barred = true;
    }
    policy rule = { router->config->eviction_policy,
                    config_formula(router->config, router->config->eviction_policy), now };
    int got = policy_fill(&rule, all, n, l, chance, router->node.world);
    if (got < 0) {
      /* something on its way out may still bring the room */
      g_array_free(held, TRUE);
      bool going = false;
      list_for_each (h, &engine->holdings, holding, link)
        going |= h->state == HOLD_UNLOADING;
      if (going && news_next(engine) != WAKE_STOPPED)
        continue;
      *wait = 2000;
      return error_set(err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s%s%s now",
                       engine->self.text, model_.text, adapter_.text[0] ? "+" : "", adapter_.text);
    }
    log_debug(&router->node.log, "place",
              "%s needs %" PRIu64 " MB and %u places for %s; %d may go, first %s, worth %g.",
              engine->self.text, l.megs, l.slots, model_.text, got, all[0].model.text,
              all[0].worth);
    id goes = all[0].model, with = all[0].adapter;
    g_array_free(held, TRUE);
    int r = unload(engine, goes, with, err);
    if (r) {
      *wait = 2000;
      return r;
    }
  }
  *wait = 2000;
  return error_set(err, E_NO_CAPACITY, "%s found no room in time", engine->self.text);
}

/* asks whoever holds the pace for a moment to start a load in */
static int ticket(engine *engine, const char *key, time_us *from, time_us *last, uint64_t *wait,
                  error *err) {
  router *router = engine->router;
  id holder;
  uint64_t epoch;
  if (!router_grant(router, "pacer", &holder, &epoch))
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
static int on_ticket(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  uint64_t epoch = duty_epoch(router, "pacer");
  if (!epoch || !router->config)
    return error_set(err, E_NO_LEASE_HOLDER, "the pace is not held here");
  if (in->load_permit_request->epoch > epoch)
    return error_set(err, E_STALE_EPOCH, "a younger epoch is known");
  double pace = router->config->loads_per_s;
  int64_t slack = MIN((int64_t)TICKET_MS * 1000, (int64_t)(250000 / pace)),
          span = (int64_t)(1e6 / pace) + slack;
  time_us now = world_now(router->node.world),
          at = epoch > 1 ? time_add(router->pace_from, (time_us){ span }) : now;
  if (router->pace_next.us > at.us)
    at = router->pace_next;
  if (at.us < now.us)
    at = now;
  Wire__LoadPermitResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_LOAD_PERMIT_RESPONSE,
                                               &wire__load_permit_response__descriptor);
  int64_t wait = time_sub(at, now).us;
  contract *contract = g_hash_table_lookup(router->contracts, "pacer");
  bool far = wait > (int64_t)PACE_LINE_MS * 1000 || at.us >= contract->till.us;
  b->granted = !far;
  b->wait_ms = (wait + 999) / 1000;
  b->valid_us = slack;
  if (far) {
    router->tickets_late++;
    router->pace_full++;
    return OK;
  }
  router->pace_next = time_add(time_add(now, time_from_ms(b->wait_ms)), (time_us){ span });
  router->tickets++;
  router->pace_given++;
  return OK;
}

/* what was owed for a load is shown by a report now; a new run of the engine owes nothing */
static void repay(engine *engine, const char *boot, id model_, id adapter_, uint64_t megs,
                  unsigned slots) {
  if (strcmp(boot, engine->boot))
    return;
  holding *base = id_is_empty(adapter_) ? NULL : engine_holding(engine, model_, id_of_text(""));
  if (base && base->unsettled)
    base->unsettled--;
  engine->owed_megs -= MIN(engine->owed_megs, megs);
  engine->owed_slots -= MIN(engine->owed_slots, slots);
}

static int load(engine *engine, id model_, id adapter_, uint64_t *wait, error *err) {
  router *router = engine->router;
  uint64_t megs;
  unsigned slots;
  char key[128];
  history_key(key, sizeof key, model_, adapter_);
  holding *holding = engine_holding(engine, model_, adapter_),
          *below = engine_holding(engine, model_, id_of_text(""));
  /* an adapter serves only on its base, which may have gone */
  if (holding && holding->state == HOLD_UP && below && below->state == HOLD_UP)
    return OK;
  if (!item_size(router, model_, adapter_, &megs, &slots))
    return error_set(err, E_UNKNOWN_MODEL, "the catalogue has no %s", key);
  if (megs > engine->weights_mb || slots > engine->adapter_slots)
    return error_set(err, E_NO_ENGINE_FITS, "%s does not fit on %s", key, engine->self.text);
  backoff *b = back_of(engine, model_, adapter_);
  time_us now = world_now(router->node.world);
  if (!time_reached(now, b->till)) {
    *wait = time_sub(b->till, now).us / 1000;
    return error_set(err, E_ORDER_FAILED, "%s failed to load on %s lately", key, engine->self.text);
  }
  int r = OK;
  if (!id_is_empty(adapter_)) {
    r = load(engine, model_, id_of_text(""), wait, err);
    if (r)
      return r;
  }
  holding = engine_holding(engine, model_, adapter_);
  if (holding && holding->state == HOLD_UP)
    return OK;
  if (holding && holding->state == HOLD_UNLOADING) {
    time_us till = time_add(now, time_from_ms(UNLOAD_MS));
    while ((holding = engine_holding(engine, model_, adapter_)) &&
           holding->state == HOLD_UNLOADING && !time_reached(world_now(router->node.world), till))
      if (news_next(engine) == WAKE_STOPPED || gave_up(engine))
        return error_set(err, E_STOPPING, "stopping");
  }
  bool there = holding && holding->state == HOLD_LOADING;
  time_us began = world_now(router->node.world);
  if (!there) {
    r = make_room(engine, model_, adapter_, megs, slots, wait, err);
    if (r)
      return r;
    time_us from = { 0 }, last = { 0 };
    for (int tries = 0;; tries++) {
      r = ticket(engine, key, &from, &last, wait, err);
      if (r == E_STOPPING || gave_up(engine))
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
    if (!engine_open(engine))
      return error_set(err, E_NO_ENGINE, "%s takes no new work", engine->self.text);
    lack l = lacking(engine, megs, slots);
    if (l.megs || l.slots) {
      *wait = 1000;
      return error_set(err, E_NO_CAPACITY, "the room on %s went while the pace was waited for",
                       engine->self.text);
    }
    if (!id_is_empty(adapter_)) {
      holding = engine_holding(engine, model_, id_of_text(""));
      if (!holding || holding->state != HOLD_UP)
        return error_set(err, E_NO_CAPACITY, "the base of %s went", key);
    }
    char boot[48];
    uint64_t seq = engine->seq;
    g_strlcpy(boot, engine->boot, sizeof boot);
    engine->owed_megs += megs;
    engine->owed_slots += slots;
    if (!id_is_empty(adapter_))
      holding->unsettled++;
    began = world_now(router->node.world);
    router->loads++;
    if (b->left.us &&
        !time_reached(began, time_add(b->left, time_from_ms(WASTE_TIMES * (int64_t)item_penalty(
                                                                              router, engine->type,
                                                                              model_, adapter_)))))
      router->wasted++;
    int st = order(engine, "load", model_, adapter_, megs, slots, last, err);
    if (!st && err->code == E_NOT_CONNECTED) {
      /* nothing was sent, so nothing is owed */
      repay(engine, boot, model_, adapter_, megs, slots);
      *wait = 1000;
      return error_set(err, E_LOAD_RATE_LIMITED, "%s could not be reached within the slot",
                       engine->self.text);
    }
    if (st && st != 202) {
      repay(engine, boot, model_, adapter_, megs, slots);
      if (st == -1)
        return E_NO_LEASE_HOLDER;
      *wait = 2000;
      /* the engine knows a younger epoch, or is a new run that the last report did not show: no
       * fault of the load */
      if (st == 412)
        return error_set(err, E_NO_ENGINE, "%s refused an order that is out of date",
                         engine->self.text);
      failed(engine, model_, adapter_);
      return E_ORDER_FAILED;
    }
    /* taken, or nobody knows: only a report settles it, and of an order that was taken only a
     * report that moved on */
    time_us settle = time_add(world_now(router->node.world), time_from_ms(SETTLE_MS));
    while (!(holding = engine_holding(engine, model_, adapter_)) && !strcmp(boot, engine->boot)) {
      if (news_next(engine) == WAKE_STOPPED || gave_up(engine))
        return error_set(err, E_STOPPING, "stopping");
      time_us now2 = world_now(router->node.world);
      if (time_reached(now2, settle) && time_reached(engine->heard, settle) &&
          (!st || engine->seq != seq))
        break;
      if (time_reached(now2, time_add(settle, time_from_ms(NO_ANSWER_MS)))) {
        /* the room stays owed until the engine is a new run */
        failed(engine, model_, adapter_);
        *wait = 5000;
        log_info(&router->node.log, "engine",
                 "%s took a load and its reports do not move; its room counts as taken (code %d).",
                 engine->self.text, E_NO_ENGINE);
        return error_set(err, E_NO_ENGINE, "%s took a load and shows nothing of it",
                         engine->self.text);
      }
    }
    repay(engine, boot, model_, adapter_, megs, slots);
    if (!holding) {
      failed(engine, model_, adapter_);
      *wait = 2000;
      return error_set(err, E_ORDER_FAILED, "%s did not take the load of %s", engine->self.text,
                       key);
    }
  }
  double guess = item_penalty(router, engine->type, model_, adapter_);
  time_us till = time_add(began, time_from_ms((int64_t)(guess * 4) + 15000));
  while ((holding = engine_holding(engine, model_, adapter_)) && holding->state == HOLD_LOADING) {
    if (news_next(engine) == WAKE_STOPPED || gave_up(engine))
      return error_set(err, E_STOPPING, "stopping");
    if (time_reached(world_now(router->node.world), till)) {
      *wait = 2000;
      return error_set(err, E_ORDER_FAILED, "%s loads %s for too long", engine->self.text, key);
    }
  }
  if (!holding) {
    failed(engine, model_, adapter_);
    *wait = 2000;
    return error_set(err, E_ORDER_FAILED, "%s gave up the load of %s", engine->self.text, key);
  }
  back_of(engine, model_, adapter_)->fails = 0;
  double ms = (double)time_sub(world_now(router->node.world), began).us / 1000;
  if (!there) {
    history_timed(&router->history, engine->type, key, ms);
    history_add(&router->history,
                (entry){ EV_LOADED, { 0 }, engine->self, model_, adapter_, (int64_t)ms });
    router_timed(router, engine->type, key, ms);
    log_info(&router->node.log, "place", "%s has %s after %.0f ms, epoch %" PRIu64 ".",
             engine->self.text, key, ms, epoch_of(engine));
  }
  return OK;
}

static void settle(want *want, int code, uint64_t wait) {
  want->code = code;
  want->wait = wait;
  want->done = true;
  condition_broadcast(&want->changed);
}

/* a miss outlives its askers for a moment, since they ask again and again, and keeps its place by
 * that */
static void want_drop(router *router, want *want) {
  if (--want->waiters > 0)
    return;
  if (!want->done) {
    want->lapse = time_add(world_now(router->node.world), time_from_ms(LINGER_MS));
    return;
  }
  list_remove(&want->link);
  g_free(want);
}

/* one task for each engine: takes the misses in turn, weightier and older ones first */
static void place_run(void *p) {
  engine *engine = p;
  router *router = engine->router;
  while (!engine->quit) {
    want *best = NULL;
    time_us now = world_now(router->node.world);
    int64_t top = 0;
    list_for_each (k, &engine->wants, want, link) {
      if (k->done)
        continue;
      if (!k->waiters && time_reached(now, k->lapse)) {
        list_remove(&k->link);
        g_free(k);
        continue;
      }
      int64_t worth = (int64_t)k->weight * 500000 + time_sub(now, k->since).us;
      if (!best || worth > top) {
        best = k;
        top = worth;
      }
    }
    if (!best) {
      if (condition_wait(&router->node.world->tasks, &engine->work,
                         time_add(now, time_from_ms(1000))) == WAKE_STOPPED)
        break;
      continue;
    }
    best->waiters++;
    error err = { 0 };
    uint64_t wait = 0;
    int r = !epoch_of(engine)
                ? error_set(&err, E_NO_LEASE_HOLDER, "no contract for %s here", engine->self.text)
            : !engine_open(engine)
                ? error_set(&err, E_NO_ENGINE, "%s takes no new work", engine->self.text)
                : load(engine, best->model, best->adapter, &wait, &err);
    if (r && r != E_STOPPING && r != E_NO_LEASE_HOLDER)
      log_info(&router->node.log, "place", "No load of %s%s%s on %s: %s (code %d).",
               best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
               engine->self.text, err.text, r);
    settle(best, r, wait);
    want_drop(router, best);
  }
  list_for_each (k, &engine->wants, want, link) {
    if (!k->done)
      settle(k, E_NO_ENGINE, 1000);
    if (!k->waiters) {
      list_remove(&k->link);
      g_free(k);
    }
  }
  engine_drop(engine);
}

/* a miss from another router, or from this one */
static int on_miss(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  Wire__ModelLoadRequest *q = in->model_load_request;
  engine *engine = engine_find(router, id_of_text(q->engine));
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  if (!engine || engine->quit)
    return error_set(err, E_NO_ENGINE, "%.40s is not listed here", q->engine);
  if (!epoch_of(engine))
    return error_set(err, E_NO_LEASE_HOLDER, "%s is not held here", engine->self.text);
  id m = id_of_text(q->model), a = id_of_text(q->adapter);
  want *k = NULL;
  list_for_each (i, &engine->wants, want, link)
    if (!i->done && id_equal(i->model, m) && id_equal(i->adapter, a))
      k = i;
  if (!k) {
    k = g_new0(want, 1);
    k->model = m;
    k->adapter = a;
    k->since = world_now(router->node.world);
    condition_init(&k->changed);
    list_append(&engine->wants, &k->link);
  }
  k->weight = MAX(k->weight, q->weight);
  k->waiters++;
  engine->refs++;
  condition_broadcast(&engine->work);
  time_us till = time_add(world_now(router->node.world), time_from_ms(MIN(q->wait_ms, REQUEST_MS)));
  while (!k->done)
    if (condition_wait(&router->node.world->tasks, &k->changed, till) != WAKE_SIGNALLED)
      break;
  Wire__ModelLoadResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_MODEL_LOAD_RESPONSE,
                                              &wire__model_load_response__descriptor);
  int code = k->done ? k->code : E_IN_PROGRESS;
  b->loaded = k->done && !k->code;
  b->retry_after_ms = k->done ? k->wait : 0;
  b->error_code = code;
  want_drop(router, k);
  engine_drop(engine);
  return OK;
}

void router_timed(router *router, id type, const char *key, double ms) {
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

void router_rates_heard(router *router, const Wire__RateReport *q) {
  for (size_t i = 0; !q->fleet_totals && i < q->n_counts; i++)
    if (strlen(q->counts[i]->key) < KEY_MOST)
      history_heard(&router->history, q->nonce, q->counts[i]->key, q->counts[i]->total,
                    q->counts[i]->in_window);
  for (size_t i = 0; i < q->n_load_times; i++)
    if (id_is_valid(string_view_of(q->load_times[i]->engine_type)) &&
        strlen(q->load_times[i]->key) < KEY_MOST && q->load_times[i]->duration_ms < 600000)
      history_timed(&router->history, id_of_text(q->load_times[i]->engine_type),
                    q->load_times[i]->key, (double)q->load_times[i]->duration_ms);
}

static int on_rates(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  (void)reply;
  (void)err;
  router_rates_heard(ctx, in->rate_report);
  return OK;
}

/* tells the others what this node has routed, so that each holder knows the whole fleet's rates */
static void rates_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(2000))) {
    /* what the pace was like lately, for the doctor */
    router->pace_given *= 0.8;
    router->pace_full *= 0.8;
    GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer k, t;
    g_hash_table_iter_init(&it, router->history.own_tallies);
    while (g_hash_table_iter_next(&it, &k, &t)) {
      Wire__RequestCount *r = g_new(Wire__RequestCount, 1);
      wire__request_count__init(r);
      r->key = k;
      r->in_window = history_own_count(&router->history, k, &r->total);
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

void place_engine(engine *engine) {
  task_start(&engine->router->node.world->tasks, "place", place_run, engine);
}

void place_start(router *router) {
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_MODEL_LOAD_REQUEST, on_miss, router);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, on_ticket, router);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_RATE_REPORT, on_rates, router);
  task_start(&router->node.world->tasks, "rates", rates_run, router);
}
