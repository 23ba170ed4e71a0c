#include "router.h"
#include <stdio.h>

enum { LIST_MS = 600, DARK_MS = 2500, STATE_MS = 2200, COLD_MS = 5000 };

engine *engine_find(router *router, id who) {
  list_for_each (e, &router->engines, engine, link)
    if (id_equal(e->self, who))
      return e;
  return NULL;
}

holding *engine_holding(engine *engine, id model, id adapter) {
  list_for_each (h, &engine->holdings, holding, link)
    if (id_equal(h->model, model) && id_equal(h->adapter, adapter))
      return h;
  return NULL;
}

bool engine_open(engine *engine) {
  router *router = engine->router;
  time_us now = world_now(router->node.world);
  return router_may_enrol(router) && engine->listed && !engine->leaving && engine->known &&
         !engine->quit && engine->heard.us &&
         !time_reached(now, time_add(engine->heard, time_from_ms(DARK_MS))) &&
         time_reached(now, engine->shunned) &&
         !(router->config &&
           config_is_engine_evacuated(router->config, engine->self, engine->area));
}

/* while an engine is cold its few places are dealt out among the routers, in an order that turns,
   so that all together stay within them; what one does not know of the others' latest streams then
   does no harm */
enum { TURN_MS = 500 };
static int cold_share(engine *engine, int cap, int64_t age) {
  router *router = engine->router;
  int all = 1, before = 0;
  uint64_t mine = hash_two_names(engine->self.text, router->node.settings.self.text);
  list_for_each (peer, &router->node.peers, peer_node, link) {
    if (peer->role != ROLE_ROUTER || peer->gone || peer->draining)
      continue;
    all++;
    before += hash_two_names(engine->self.text, peer->self.text) > mine;
  }
  int place = (int)((before + age / (TURN_MS * 1000)) % all);
  return (cap + all - 1 - place) / all;
}

bool engine_place(engine *engine) {
  int cap = engine_cap(engine);
  int64_t slow = engine->router->config ? engine->router->config->slow_start_s * 1000000 : 0,
          age = time_sub(world_now(engine->router->node.world), engine->up_at).us;
  return engine_load(engine) < cap &&
         (age >= slow || engine->own_running < cold_share(engine, cap, age));
}

int engine_cap(engine *engine) {
  int most = engine->router->config ? engine->router->config->streams_max : 1;
  int64_t slow = engine->router->config ? engine->router->config->slow_start_s * 1000000 : 0,
          age = time_sub(world_now(engine->router->node.world), engine->up_at).us;
  if (!slow || age >= slow)
    return most;
  int cap = (int)(most * (age + 1) / slow);
  return cap < 2 ? MIN(2, most) : cap;
}

int engine_load(engine *engine) {
  return MAX(engine->own_running,
             engine->running + engine->own_running - engine->own_running_at_report);
}

void engine_drop(engine *engine) {
  if (--engine->refs)
    return;
  list_for_each (h, &engine->holdings, holding, link) {
    list_remove(&h->link);
    g_free(h);
  }
  list_remove(&engine->link);
  g_free(engine);
}

/* folds a report into what is known; one that is older than the last, or another engine's, is
 * refused */
static void report(engine *engine, const json *value) {
  router *router = engine->router;
  time_us now = world_now(router->node.world);
  const char *self = json_text(value, "id", ""), *boot = json_text(value, "boot", "");
  const json *l = json_get(value, "holdings");
  uint64_t seq = json_number(value, "seq", -1) < 0 ? 0 : (uint64_t)json_number(value, "seq", 0);
  if (strcmp(self, engine->self.text) || !l || l->kind != JSON_ARRAY ||
      json_number(value, "weightsMb", 0) < 0) {
    if (!engine->odd)
      log_info(&router->node.log, "engine",
               "The report at %s is not one of %s; the engine is passed over (code %d).",
               engine->addr, engine->self.text, E_NO_ENGINE);
    engine->odd = true;
    engine->heard = (time_us){ 0 };
    return;
  }
  engine->odd = false;
  bool same = !strcmp(boot, engine->boot);
  if (same && engine->known && seq < engine->seq)
    return;
  if (!same || !engine->known ||
      time_reached(now, time_add(engine->heard, time_from_ms(COLD_MS)))) {
    if (!same) {
      log_info(&router->node.log, "engine", "%s at %s is up, run %s.", engine->self.text,
               engine->addr, boot);
      engine->owed_megs = engine->owed_slots = 0;
    }
    engine->up_at = now;
  }
  g_strlcpy(engine->boot, boot, sizeof engine->boot);
  bool moved_on = !same || seq != engine->seq;
  engine->seq = seq;
  engine->known = true;
  engine->heard = now;
  engine->running = json_number(value, "running", 0);
  engine->own_running_at_report = engine->own_running;
  if (json_number(value, "weightsMb", 0) >= 1)
    engine->weights_mb = json_number(value, "weightsMb", 0);
  engine->adapter_slots = json_number(value, "adapterSlots", engine->adapter_slots);
  list_for_each (h, &engine->holdings, holding, link)
    h->seen = false;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    string_view ms = string_view_of(json_text(x, "model", "")),
                as = string_view_of(json_text(x, "adapter", ""));
    if (!id_is_valid(ms) || (as.length && !id_is_valid(as)))
      continue;
    id m = id_of(ms), a = id_of(as);
    holding *h = engine_holding(engine, m, a);
    if (!h) {
      h = g_new0(holding, 1);
      h->model = m;
      h->adapter = a;
      h->state = HOLD_LOADING;
      list_append(&engine->holdings, &h->link);
    }
    const char *st = json_text(x, "state", "");
    enum hold_state s = !strcmp(st, "up")          ? HOLD_UP
                        : !strcmp(st, "unloading") ? HOLD_UNLOADING
                                                   : HOLD_LOADING;
    if (h->unload_taken && !moved_on)
      s = HOLD_UNLOADING;
    h->unload_taken &= !moved_on;
    if (s == HOLD_UP && (h->state != HOLD_UP || !h->up_at.us))
      h->up_at = now;
    h->state = s;
    h->seen = true;
    h->megs = json_number(x, "weightsMb", 0) > 0 ? json_number(x, "weightsMb", 0) : 0;
    h->slots = json_number(x, "slots", 0) > 0 ? json_number(x, "slots", 0) : as.length ? 1 : 0;
    h->running = json_number(x, "running", 0);
    h->used = json_number(x, "served", 0) > 0;
  }
  list_for_each (h, &engine->holdings, holding, link)
    if (!h->seen) {
      list_remove(&h->link);
      g_free(h);
    }
  condition_broadcast(&engine->news);
  condition_broadcast(&router->moved);
}

/* one task for each engine: asks with the report it has and is answered when there is news */
static void watch_run(void *p) {
  engine *engine = p;
  router *router = engine->router;
  while (!engine->quit) {
    char path[128];
    snprintf(path, sizeof path, "/v1/state?after=%" PRIu64 "&boot=%s", engine->seq, engine->boot);
    GString *b = g_string_new(NULL);
    error err = { 0 };
    time_us from = world_now(router->node.world);
    int st = http_call_fetch(router->node.world, engine->addr, "GET", path, NULL,
                             string_view_of(""), b, time_from_ms(STATE_MS), &err);
    json *json = st == 200 ? json_parse(string_view_of_gstring(b), &err) : NULL;
    if (json)
      report(engine, json);
    else if (err.code == E_NOT_CONNECTED)
      engine->heard = (time_us){ 0 };
    if (!json && st && !engine->odd) {
      engine->odd = true;
      log_info(&router->node.log, "engine", "%s at %s answers no report: %s (code %d).",
               engine->self.text, engine->addr, err.text, E_NO_ENGINE);
    }
    json_free(json);
    g_string_free(b, TRUE);
    time_us gap = time_sub(world_now(router->node.world), from);
    if (err.code == E_STOPPING ||
        !world_sleep(router->node.world, time_from_ms(gap.us < 100000 ? (json ? 120 : 300) : 20)))
      break;
  }
  condition_broadcast(&engine->news);
  engine_drop(engine);
}

static bool wants_poll(router *router) {
  return !router->drain || router->open;
}

static bool take_list(router *router, const json *value, time_us at, bool whole) {
  const json *l = json_get(value, "engines");
  if (!l || l->kind != JSON_ARRAY)
    return false;
  router->list_known = true;
  router->list_at = at;
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    const char *self = json_text(x, "id", ""), *addr = json_text(x, "addr", "");
    if (!id_is_valid(string_view_of(self)) || !address_is_valid(addr))
      continue;
    engine *e = engine_find(router, id_of_text(self));
    if (e && g_hash_table_contains(seen, e->self.text)) {
      if (!e->odd)
        log_info(&router->node.log, "platform",
                 "Two engines are listed as %s; the first stands (code %d).", self, E_NAME);
      e->odd = true;
      continue;
    }
    if (e && strcmp(e->addr, addr)) {
      e->quit = true;
      e->listed = false;
      condition_broadcast(&e->work);
      condition_broadcast(&e->news);
      e->self = id_of_text("");
      e = NULL;
    }
    if (!e) {
      e = g_new0(engine, 1);
      e->router = router;
      e->self = id_of_text(self);
      g_strlcpy(e->addr, addr, sizeof e->addr);
      list_init(&e->holdings);
      list_init(&e->wants);
      condition_init(&e->news);
      condition_init(&e->work);
      e->type = id_of_text(json_text(x, "type", "any"));
      e->weights_mb = json_number(x, "weightsMb", 0);
      e->adapter_slots = json_number(x, "adapterSlots", 0);
      list_append(&router->engines, &e->link);
      e->refs = 2;
      task_start(&router->node.world->tasks, "engine", watch_run, e);
      place_engine(e);
    }
    g_hash_table_add(seen, e->self.text);
    e->area = id_of_text(json_text(x, "area", "none"));
    bool leaves = json_bool(x, "leaving", false);
    if (leaves != e->leaving)
      log_info(&router->node.log, "platform", "%s %s.", self,
               leaves ? "is leaving, no new work for it" : "stays after all");
    e->leaving = leaves;
    e->listed = true;
  }
  list_for_each (e, &router->engines, engine, link) {
    if (!whole || e->quit || g_hash_table_contains(seen, e->self.text))
      continue;
    log_info(&router->node.log, "platform", "%s is no longer listed.", e->self.text);
    e->listed = false;
    e->quit = true;
    condition_broadcast(&e->work);
    condition_broadcast(&e->news);
  }
  g_hash_table_destroy(seen);
  condition_broadcast(&router->moved);
  return true;
}

bool platform_heard(router *router, string_view text, time_us at) {
  json *json = json_parse(text, NULL);
  bool ok = json && take_list(router, json, at, false);
  if (ok) {
    g_string_truncate(router->list, 0);
    g_string_append_len(router->list, text.data, text.length);
  }
  json_free(json);
  return ok;
}

static void list_run(void *p) {
  router *router = p;
  bool lost = false;
  while (wants_poll(router)) {
    GString *b = g_string_new(NULL);
    error err = { 0 };
    time_us from = world_now(router->node.world);
    int st = http_call_fetch(router->node.world, router->node.settings.platform_address, "GET",
                             "/v1/engines", NULL, string_view_of(""), b, time_from_ms(1000), &err);
    json *json = st == 200 ? json_parse(string_view_of_gstring(b), &err) : NULL;
    if (json && take_list(router, json, from, true))
      g_string_assign(router->list, b->str);
    else if (json) {
      json_free(json);
      json = NULL;
      error_set(&err, E_FIELD, "no list of engines");
    }
    if (!json != lost) {
      lost = !json;
      if (lost)
        log_info(&router->node.log, "platform",
                 "The list can't be had, the last one stands: %s (code %d).", err.text, err.code);
      else
        log_info(&router->node.log, "platform", "The list is back.");
    }
    json_free(json);
    g_string_free(b, TRUE);
    if (!world_sleep_with_jitter(router->node.world, time_from_ms(LIST_MS)))
      return;
  }
}

void platform_start(router *router) {
  task_start(&router->node.world->tasks, "platform", list_run, router);
}
