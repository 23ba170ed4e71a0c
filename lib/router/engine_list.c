#include "router.h"
#include <stdio.h>

enum {
  LIST_POLL_INTERVAL_MS = 600,
  REPORT_TIMEOUT_MS = 2500,
  REPORT_REQUEST_MS = 2200,
  SLOW_START_AFTER_GAP_MS = 5000
};

engine *engine_find(router *router, id who) {
  list_for_each (e, &router->engines, engine, link)
    if (id_equal(e->self, who))
      return e;
  return NULL;
}

resident_model *engine_find_resident(engine *engine, id model, id adapter) {
  list_for_each (h, &engine->residents, resident_model, link)
    if (id_equal(h->model, model) && id_equal(h->adapter, adapter))
      return h;
  return NULL;
}

bool engine_accepts_work(engine *engine) {
  router *router = engine->router;
  time_us now = world_now(router->node.world);
  return config_sync_may_admit(router) && engine->listed && !engine->draining && engine->reported &&
         !engine->removed && engine->last_report_at.us &&
         !time_reached(now, time_add(engine->last_report_at, time_from_ms(REPORT_TIMEOUT_MS))) &&
         time_reached(now, engine->excluded_until) &&
         !(router->config &&
           config_is_engine_evacuated(router->config, engine->self, engine->zone));
}

/* while an engine is cold its few places are dealt out among the routers, in an order that turns,
   so that all together stay within them; what one does not know of the others' latest streams then
   does no harm */
enum { SLOW_START_TURN_MS = 500 };
static int slow_start_share(engine *engine, int cap, int64_t age) {
  router *router = engine->router;
  int all = 1, before = 0;
  uint64_t mine = hash_two_names(engine->self.text, router->node.settings.self.text);
  list_for_each (peer, &router->node.peers, peer_node, link) {
    if (peer->role != ROLE_ROUTER || peer->gone || peer->draining)
      continue;
    all++;
    before += hash_two_names(engine->self.text, peer->self.text) > mine;
  }
  int place = (int)((before + age / (SLOW_START_TURN_MS * 1000)) % all);
  return (cap + all - 1 - place) / all;
}

bool engine_has_free_slot(engine *engine) {
  int cap = engine_max_streams(engine);
  int64_t slow = engine->router->config ? engine->router->config->slow_start_s * 1000000 : 0,
          age = time_sub(world_now(engine->router->node.world), engine->started_at).us;
  return engine_running_streams(engine) < cap &&
         (age >= slow || engine->own_running < slow_start_share(engine, cap, age));
}

int engine_max_streams(engine *engine) {
  int most = engine->router->config ? engine->router->config->streams_max : 1;
  int64_t slow = engine->router->config ? engine->router->config->slow_start_s * 1000000 : 0,
          age = time_sub(world_now(engine->router->node.world), engine->started_at).us;
  if (!slow || age >= slow)
    return most;
  int cap = (int)(most * (age + 1) / slow);
  return cap < 2 ? MIN(2, most) : cap;
}

int engine_running_streams(engine *engine) {
  return MAX(engine->own_running,
             engine->running + engine->own_running - engine->own_running_at_report);
}

void engine_unref(engine *engine) {
  if (--engine->refs)
    return;
  list_for_each (h, &engine->residents, resident_model, link) {
    list_remove(&h->link);
    g_free(h);
  }
  list_remove(&engine->link);
  g_free(engine);
}

/* folds a report into what is known; one that is older than the last, or another engine's, is
 * refused */
static void apply_report(engine *engine, const json *value) {
  router *router = engine->router;
  time_us now = world_now(router->node.world);
  const char *self = json_text(value, "id", ""), *boot = json_text(value, "boot", "");
  const json *l = json_get(value, "holdings");
  uint64_t seq = json_number(value, "seq", -1) < 0 ? 0 : (uint64_t)json_number(value, "seq", 0);
  if (strcmp(self, engine->self.text) || !l || l->kind != JSON_ARRAY ||
      json_number(value, "weightsMb", 0) < 0) {
    if (!engine->malformed)
      log_info(&router->node.log, "engine",
               "The report at %s is not one of %s; the engine is passed over (code %d).",
               engine->address, engine->self.text, E_NO_ENGINE);
    engine->malformed = true;
    engine->last_report_at = (time_us){ 0 };
    return;
  }
  engine->malformed = false;
  bool same = !strcmp(boot, engine->boot_id);
  if (same && engine->reported && seq < engine->report_seq)
    return;
  if (!same || !engine->reported ||
      time_reached(now, time_add(engine->last_report_at, time_from_ms(SLOW_START_AFTER_GAP_MS)))) {
    if (!same) {
      log_info(&router->node.log, "engine", "%s at %s is up, run %s.", engine->self.text,
               engine->address, boot);
      engine->reserved_mb = engine->reserved_slots = 0;
    }
    engine->started_at = now;
  }
  g_strlcpy(engine->boot_id, boot, sizeof engine->boot_id);
  bool moved_on = !same || seq != engine->report_seq;
  engine->report_seq = seq;
  engine->reported = true;
  engine->last_report_at = now;
  engine->running = json_number(value, "running", 0);
  engine->own_running_at_report = engine->own_running;
  if (json_number(value, "weightsMb", 0) >= 1)
    engine->weights_mb = json_number(value, "weightsMb", 0);
  engine->adapter_slots = json_number(value, "adapterSlots", engine->adapter_slots);
  list_for_each (h, &engine->residents, resident_model, link)
    h->in_report = false;
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    string_view ms = string_view_of(json_text(x, "model", "")),
                as = string_view_of(json_text(x, "adapter", ""));
    if (!id_is_valid(ms) || (as.length && !id_is_valid(as)))
      continue;
    id m = id_of(ms), a = id_of(as);
    resident_model *h = engine_find_resident(engine, m, a);
    if (!h) {
      h = g_new0(resident_model, 1);
      h->model = m;
      h->adapter = a;
      h->state = RESIDENT_LOADING;
      list_append(&engine->residents, &h->link);
    }
    const char *st = json_text(x, "state", "");
    enum resident_state s = !strcmp(st, "up")          ? RESIDENT_UP
                            : !strcmp(st, "unloading") ? RESIDENT_UNLOADING
                                                       : RESIDENT_LOADING;
    if (h->unload_accepted && !moved_on)
      s = RESIDENT_UNLOADING;
    h->unload_accepted &= !moved_on;
    if (s == RESIDENT_UP && (h->state != RESIDENT_UP || !h->loaded_at.us))
      h->loaded_at = now;
    h->state = s;
    h->in_report = true;
    h->weights_mb = json_number(x, "weightsMb", 0) > 0 ? json_number(x, "weightsMb", 0) : 0;
    h->slots = json_number(x, "slots", 0) > 0 ? json_number(x, "slots", 0) : as.length ? 1 : 0;
    h->running = json_number(x, "running", 0);
    h->served_requests = json_number(x, "served", 0) > 0;
  }
  list_for_each (h, &engine->residents, resident_model, link)
    if (!h->in_report) {
      list_remove(&h->link);
      g_free(h);
    }
  condition_broadcast(&engine->report_changed);
  condition_broadcast(&router->state_changed);
}

/* one task for each engine: asks with the report it has and is answered when there is news */
static void watch_engine_run(void *p) {
  engine *engine = p;
  router *router = engine->router;
  while (!engine->removed) {
    char path[128];
    snprintf(path, sizeof path, "/v1/state?after=%" PRIu64 "&boot=%s", engine->report_seq,
             engine->boot_id);
    GString *b = g_string_new(NULL);
    error err = { 0 };
    time_us from = world_now(router->node.world);
    int st = http_call_fetch(router->node.world, engine->address, "GET", path, NULL,
                             string_view_of(""), b, time_from_ms(REPORT_REQUEST_MS), &err);
    json *json = st == 200 ? json_parse(string_view_of_gstring(b), &err) : NULL;
    if (json)
      apply_report(engine, json);
    else if (err.code == E_NOT_CONNECTED)
      engine->last_report_at = (time_us){ 0 };
    if (!json && st && !engine->malformed) {
      engine->malformed = true;
      log_info(&router->node.log, "engine", "%s at %s answers no report: %s (code %d).",
               engine->self.text, engine->address, err.text, E_NO_ENGINE);
    }
    json_free(json);
    g_string_free(b, TRUE);
    time_us gap = time_sub(world_now(router->node.world), from);
    if (err.code == E_STOPPING ||
        !world_sleep(router->node.world, time_from_ms(gap.us < 100000 ? (json ? 120 : 300) : 20)))
      break;
  }
  condition_broadcast(&engine->report_changed);
  engine_unref(engine);
}

static bool should_poll(router *router) {
  return !router->draining || router->open_requests;
}

static bool apply_list(router *router, const json *value, time_us at, bool whole) {
  const json *l = json_get(value, "engines");
  if (!l || l->kind != JSON_ARRAY)
    return false;
  router->engine_list_known = true;
  router->engine_list_at = at;
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; i < json_count(l); i++) {
    const json *x = json_at(l, i);
    const char *self = json_text(x, "id", ""), *addr = json_text(x, "addr", "");
    if (!id_is_valid(string_view_of(self)) || !address_is_valid(addr))
      continue;
    engine *e = engine_find(router, id_of_text(self));
    if (e && g_hash_table_contains(seen, e->self.text)) {
      if (!e->malformed)
        log_info(&router->node.log, "platform",
                 "Two engines are listed as %s; the first stands (code %d).", self, E_NAME);
      e->malformed = true;
      continue;
    }
    if (e && strcmp(e->address, addr)) {
      e->removed = true;
      e->listed = false;
      condition_broadcast(&e->work_changed);
      condition_broadcast(&e->report_changed);
      e->self = id_of_text("");
      e = NULL;
    }
    if (!e) {
      e = g_new0(engine, 1);
      e->router = router;
      e->self = id_of_text(self);
      g_strlcpy(e->address, addr, sizeof e->address);
      list_init(&e->residents);
      list_init(&e->load_requests);
      condition_init(&e->report_changed);
      condition_init(&e->work_changed);
      e->type = id_of_text(json_text(x, "type", "any"));
      e->weights_mb = json_number(x, "weightsMb", 0);
      e->adapter_slots = json_number(x, "adapterSlots", 0);
      list_append(&router->engines, &e->link);
      e->refs = 2;
      task_start(&router->node.world->tasks, "engine", watch_engine_run, e);
      model_loading_start_engine(e);
    }
    g_hash_table_add(seen, e->self.text);
    e->zone = id_of_text(json_text(x, "area", "none"));
    bool leaves = json_bool(x, "leaving", false);
    if (leaves != e->draining)
      log_info(&router->node.log, "platform", "%s %s.", self,
               leaves ? "is leaving, no new work for it" : "stays after all");
    e->draining = leaves;
    e->listed = true;
  }
  list_for_each (e, &router->engines, engine, link) {
    if (!whole || e->removed || g_hash_table_contains(seen, e->self.text))
      continue;
    log_info(&router->node.log, "platform", "%s is no longer listed.", e->self.text);
    e->listed = false;
    e->removed = true;
    condition_broadcast(&e->work_changed);
    condition_broadcast(&e->report_changed);
  }
  g_hash_table_destroy(seen);
  condition_broadcast(&router->state_changed);
  return true;
}

bool engine_list_merge(router *router, string_view text, time_us at) {
  json *json = json_parse(text, NULL);
  bool ok = json && apply_list(router, json, at, false);
  if (ok) {
    g_string_truncate(router->engine_list_json, 0);
    g_string_append_len(router->engine_list_json, text.data, text.length);
  }
  json_free(json);
  return ok;
}

static void poll_list_run(void *p) {
  router *router = p;
  bool lost = false;
  while (should_poll(router)) {
    GString *b = g_string_new(NULL);
    error err = { 0 };
    time_us from = world_now(router->node.world);
    int st = http_call_fetch(router->node.world, router->node.settings.platform_address, "GET",
                             "/v1/engines", NULL, string_view_of(""), b, time_from_ms(1000), &err);
    json *json = st == 200 ? json_parse(string_view_of_gstring(b), &err) : NULL;
    if (json && apply_list(router, json, from, true))
      g_string_assign(router->engine_list_json, b->str);
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
    if (!world_sleep_with_jitter(router->node.world, time_from_ms(LIST_POLL_INTERVAL_MS)))
      return;
  }
}

void engine_list_start(router *router) {
  task_start(&router->node.world->tasks, "platform", poll_list_run, router);
}
