/**
 * Fetches the platform's engine list and updates the engines accordingly.
 */
#include "engine_list.h"
#include "model_loading.h"
#include "router.h"
#include "singleton_lease.h"

enum { LIST_POLL_INTERVAL_MS = 600, LIST_TIMEOUT_MS = 1000 };

/* A list from the platform is complete; one from another router may lack engines. */
enum list_source { FROM_PLATFORM, FROM_ROUTER };

void engine_list_init(engine_list *list) {
  list_init(&list->engines);
  list->json = g_string_new(NULL);
}

void engine_list_free(engine_list *list) {
  list_for_each (engine_, &list->engines, engine, link) {
    engine_->refs = 1;
    engine_unref(engine_);
  }
  g_string_free(list->json, TRUE);
}

bool engine_list_is_newer(const router *router, time_us at) {
  return !router->engine_list.known || at.us > router->engine_list.received_at.us;
}

uint64_t engine_list_age_ms(router *router) {
  return router->engine_list.known ? config_sync_age_ms(router, router->engine_list.received_at)
                                   : 0;
}

void engine_list_for_each_singleton(router *router,
                                    void (*add)(struct router *router, const char *singleton)) {
  char singleton[64];
  list_for_each (engine_, &router->engine_list.engines, engine, link) {
    if (engine_->removed || !engine_->listed)
      continue;
    singleton_engine_name(singleton, sizeof singleton, engine_->self);
    add(router, singleton);
  }
}

/* An engine at another address is another process: the old entry is removed and loses its name. */
static void retire_engine(engine *engine) {
  engine_remove(engine);
  engine->self = id_of_text("");
}

static engine *add_engine(router *router, const json *entry, const char *self,
                          const char *address) {
  engine *added = engine_new(router, self, address);
  added->type = id_of_text(json_text(entry, "type", "any"));
  added->weights_mb = json_number(entry, "weightsMb", 0);
  added->adapter_slots = json_number(entry, "adapterSlots", 0);
  task_start(&router->node.world->tasks, "engine report", engine_report_run, added);
  model_loading_start_engine(added);
  return added;
}

static void update_engine(engine *engine, const json *entry) {
  bool draining = json_bool(entry, "leaving", false);
  if (draining != engine->draining)
    log_info(&engine->router->node.log, "platform", "%s %s.", engine->self.text,
             draining ? "is draining and gets no new work" : "is no longer draining");
  engine->zone = id_of_text(json_text(entry, "area", "none"));
  engine->draining = draining;
  engine->listed = true;
}

/* `seen` holds the names of the engines that this list has named so far. */
static void apply_entry(router *router, const json *entry, GHashTable *seen) {
  const char *self = json_text(entry, "id", ""), *address = json_text(entry, "addr", "");
  if (!id_is_valid(string_view_of(self)) || !address_is_valid(address))
    return;
  engine *known = engine_find(router, id_of_text(self));
  if (known && g_hash_table_contains(seen, known->self.text)) {
    if (!known->malformed)
      log_info(&router->node.log, "platform",
               "The list has two engines named %s; the first is used (code %d).", self, E_NAME);
    known->malformed = true;
    return;
  }
  if (known && strcmp(known->address, address)) {
    retire_engine(known);
    known = NULL;
  }
  if (!known)
    known = add_engine(router, entry, self, address);
  g_hash_table_add(seen, known->self.text);
  update_engine(known, entry);
}

static void remove_unlisted(router *router, GHashTable *seen) {
  list_for_each (engine_, &router->engine_list.engines, engine, link) {
    if (engine_->removed || g_hash_table_contains(seen, engine_->self.text))
      continue;
    log_info(&router->node.log, "platform", "%s is no longer listed.", engine_->self.text);
    engine_remove(engine_);
  }
}

/* Applies a list that was requested at the given time; false when it is malformed. */
static bool apply_list(router *router, const json *list, time_us at, enum list_source source) {
  const json *entries = json_get(list, "engines");
  if (!entries || entries->kind != JSON_ARRAY)
    return false;
  router->engine_list.known = true;
  router->engine_list.received_at = at;
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; i < json_count(entries); i++)
    apply_entry(router, json_at(entries, i), seen);
  if (source == FROM_PLATFORM)
    remove_unlisted(router, seen);
  g_hash_table_destroy(seen);
  condition_broadcast(&router->state_changed);
  return true;
}

bool engine_list_merge(router *router, string_view text, time_us at) {
  json *list = json_parse(text, NULL);
  bool applied = list && apply_list(router, list, at, FROM_ROUTER);
  if (applied) {
    g_string_truncate(router->engine_list.json, 0);
    g_string_append_len(router->engine_list.json, text.data, (gssize)text.length);
  }
  json_free(list);
  return applied;
}

/* Fetches the list from the platform and applies it. */
static bool fetch_list(router *router, error *err) {
  world *world = router->node.world;
  time_us started_at = world_now(world);
  GString *body = g_string_new(NULL);
  int status = http_call_fetch(world, router->node.settings.platform_address, "GET", "/v1/engines",
                               NULL, string_view_of(""), body, time_from_ms(LIST_TIMEOUT_MS), err);
  json *list = status == 200 ? json_parse(string_view_of_gstring(body), err) : NULL;
  bool applied = list && apply_list(router, list, started_at, FROM_PLATFORM);
  if (applied)
    g_string_assign(router->engine_list.json, body->str);
  else if (list)
    error_set(err, E_FIELD, "no list of engines");
  json_free(list);
  g_string_free(body, TRUE);
  return applied;
}

static void log_availability(router *router, bool available, const error *err) {
  if (available)
    log_info(&router->node.log, "platform", "The platform's engine list is available again.");
  else
    log_info(&router->node.log, "platform",
             "The platform's engine list is unavailable; using the last one: %s (code %d).",
             err->text, err->code);
}

/* A draining router needs the list until its last request has ended. */
static bool should_poll(const router *router) {
  return !router->draining || router->open_requests;
}

static void poll_list_run(void *context) {
  router *router = context;
  bool available = true;
  while (should_poll(router)) {
    error err = { 0 };
    bool fetched = fetch_list(router, &err);
    if (fetched != available)
      log_availability(router, fetched, &err);
    available = fetched;
    if (!world_sleep_with_jitter(router->node.world, time_from_ms(LIST_POLL_INTERVAL_MS)))
      return;
  }
}

void engine_list_start(router *router) {
  task_start(&router->node.world->tasks, "engine list", poll_list_run, router);
}
