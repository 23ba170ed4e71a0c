/** Checks gateways: configuration, usable engines of each service, engines that many gateways
 * eject, the load rate limiter, retry budgets and failed loads. */
#include "examination.h"

enum { FAILED_LOADS_MIN = 3 };

static void check_service(examination *examination, const examined_node *node,
                          const json *service) {
  const char *name = json_text(service, "service", "?");
  double engines = json_number(service, "engines", 0);
  /* A gateway that has not yet received the list of engines knows none; that is no fault. */
  bool needs_engine =
      json_bool(service, "routed", false) && json_bool(node->gateway, "told", false);
  if (needs_engine && engines < 1)
    examination_add(examination, D_SERVICE_NO_ENGINE,
                    "%s knows of no engine of %s, which routes lead to", node->self.text, name);
  else if (needs_engine && json_number(service, "usable", 0) < 1)
    examination_add(examination, D_SERVICE_NO_ENGINE, "%s can use none of the %.0f engines of %s",
                    node->self.text, engines, name);
  if (!json_bool(service, "retryRoom", true))
    examination_add(examination, D_RETRY_BUDGET, "%s has no extra attempts left for %s",
                    node->self.text, name);
}

/* Adds one to the count of each engine that the gateway has ejected. `ejected` maps the names of
 * engines to counts. */
static void count_ejected(const json *engines, GHashTable *ejected) {
  for (size_t i = 0; i < json_count(engines); i++) {
    const json *engine = json_at(engines, i);
    bool is_fine = json_bool(engine, "usable", true) && !json_bool(engine, "suspect", false) &&
                   !json_bool(engine, "failing", false);
    if (json_bool(engine, "leaving", false) || is_fine)
      continue;
    const char *name = json_text(engine, "id", "?");
    int count = GPOINTER_TO_INT(g_hash_table_lookup(ejected, name));
    g_hash_table_insert(ejected, g_strdup(name), GINT_TO_POINTER(count + 1));
  }
}

static void check_gateway(examination *examination, const examined_node *node,
                          GHashTable *ejected) {
  if (json_number(node->gateway, "revision", 0) < 1)
    examination_add(examination, D_NO_ROUTING, "%s has no configuration of routes",
                    node->self.text);
  if (!json_bool(node->gateway, "ready", false))
    examination_add(examination, D_NOT_READY, "%s is not ready: %s", node->self.text,
                    json_text(node->gateway, "why", ""));
  const json *services = json_get(node->gateway, "services");
  for (size_t i = 0; i < json_count(services); i++)
    check_service(examination, node, json_at(services, i));
  count_ejected(json_get(node->gateway, "engines"), ejected);
  double failed = json_number(node->gateway, "loadFailsInARow", 0);
  if (failed >= FAILED_LOADS_MIN)
    examination_add(examination, D_LOAD_FAILURES, "%s: the last %.0f loads failed", node->self.text,
                    failed);
}

/* An engine that at least half of the gateways have ejected is itself at fault. */
static void check_ejected(examination *examination, GHashTable *ejected, int gateways) {
  GHashTableIter iterator;
  gpointer name, value;
  g_hash_table_iter_init(&iterator, ejected);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    int count = GPOINTER_TO_INT(value);
    if (2 * count >= gateways)
      examination_add(examination, D_ENGINE_EJECTED, "%s is ejected by %d of %d gateways",
                      (char *)name, count, gateways);
  }
}

static void check_load_rate_limiter(examination *examination) {
  json *leases = NULL;
  for (guint i = 0; i < examination->nodes->len && !leases; i++) {
    const examined_node *node = examination_node(examination, i);
    if (node->is_controller && node->status && json_bool(node->status, "acts", false))
      leases = examination_fetch(examination, node->address, "/v1/contracts", NULL);
  }
  const char *holder = "";
  for (size_t i = 0; i < json_count(leases); i++)
    if (!strcmp(json_text(json_at(leases, i), "duty", ""), "pacer"))
      holder = json_text(json_at(leases, i), "holder", "");
  if (leases && !examination_is_live(examination, holder))
    examination_add(examination, D_NO_LOAD_RATE_LIMITER,
                    "the lease of the load rate limiter is held by %s",
                    holder[0] ? holder : "nobody");
  json_free(leases);
}

void check_gateways(examination *examination) {
  int gateways = 0;
  GHashTable *ejected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < examination->nodes->len; i++) {
    const examined_node *node = examination_node(examination, i);
    if (!node->gateway)
      continue;
    gateways++;
    check_gateway(examination, node, ejected);
  }
  check_ejected(examination, ejected, gateways);
  g_hash_table_destroy(ejected);
  if (gateways)
    check_load_rate_limiter(examination);
}
