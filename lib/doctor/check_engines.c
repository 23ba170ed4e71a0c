/** Checks the engines of the platform's list as one router sees them: lease holders, reports and
 * resident models; and whether the largest engine has room for each entry of the catalogue. The
 * engines of gateways are checked in check_gateways.c. */
#include "examination.h"

enum {
  ENGINE_REPORT_AGE_MAX_MS = 3000,
  /** Resident models change all the time, so a difference counts only when it is seen at each of
   * this many checks in a row. */
  RESIDENT_CHECKS = 3,
  RESIDENT_CHECK_INTERVAL_MS = 700
};

static bool has_same_text(const json *a, const json *b, const char *key) {
  return !strcmp(json_text(a, key, ""), json_text(b, key, ""));
}

static bool contains_resident(const json *residents, const json *resident) {
  for (size_t i = 0; i < json_count(residents); i++) {
    const json *other = json_at(residents, i);
    if (has_same_text(resident, other, "model") && has_same_text(resident, other, "adapter") &&
        has_same_text(resident, other, "state"))
      return true;
  }
  return false;
}

static bool same_residents(const json *a, const json *b) {
  if (json_count(a) != json_count(b))
    return false;
  for (size_t i = 0; i < json_count(a); i++)
    if (!contains_resident(b, json_at(a, i)))
      return false;
  return true;
}

/* Compares the resident models of an engine's own page with those on the router's page. Also true
 * when one of the pages can't be fetched. */
static bool residents_agree(const examination *examination, const char *router, const char *engine,
                            const char *address) {
  json *engine_state = examination_fetch(examination, address, "/v1/state", NULL),
       *engines = examination_fetch(examination, router, "/v1/holdings", NULL);
  bool agree = !engine_state || !engines;
  for (size_t i = 0; i < json_count(engines) && !agree; i++) {
    const json *entry = json_at(engines, i);
    if (!strcmp(json_text(entry, "id", ""), engine))
      agree = same_residents(json_get(engine_state, "holdings"), json_get(entry, "holdings"));
  }
  json_free(engine_state);
  json_free(engines);
  return agree;
}

/* True when an engine's own report differs from what the router believes at every check. */
static bool residents_differ(const examination *examination, const char *router, const char *engine,
                             const char *address) {
  for (int check = 0; check < RESIDENT_CHECKS; check++) {
    if (residents_agree(examination, router, engine, address))
      return false;
    if (!world_sleep(examination->world, time_from_ms(RESIDENT_CHECK_INTERVAL_MS)))
      return false;
  }
  return true;
}

static void check_engine(examination *examination, const examined_node *router,
                         const json *engine) {
  const char *name = json_text(engine, "id", ""), *address = json_text(engine, "addr", "");
  const char *holder = json_text(engine, "holder", "");
  if (!examination_is_live(examination, holder))
    examination_add(examination, D_NO_SINGLETON_HOLDER, "the lease on %s is held by %s", name,
                    holder[0] ? holder : "nobody");
  double report_age_ms = json_number(engine, "heardMs", -1);
  if (report_age_ms < 0 || report_age_ms > ENGINE_REPORT_AGE_MAX_MS)
    examination_add(examination, D_NO_ANSWER, "%s at %s gives no report", name, address);
  else if (json_bool(engine, "odd", false))
    examination_add(examination, D_RESIDENT_DIFFERS, "the report of %s is malformed", name);
  else if (residents_differ(examination, router->address, name, address))
    examination_add(examination, D_RESIDENT_DIFFERS,
                    "%s reports other resident models than %s believes", name, router->self.text);
}

static void check_catalogue(examination *examination, const json *catalogue, double weights_mb_max,
                            double slots_max) {
  const json *models = json_get(catalogue, "models"), *adapters = json_get(catalogue, "adapters");
  for (size_t i = 0; i < json_count(models); i++) {
    const json *model = json_at(models, i);
    double weights_mb = json_number(model, "weightsMb", 0);
    if (weights_mb > weights_mb_max)
      examination_add(examination, D_FITS_NO_ENGINE,
                      "model %s takes %.0f MB, the largest engine has %.0f",
                      json_text(model, "id", ""), weights_mb, weights_mb_max);
  }
  for (size_t i = 0; i < json_count(adapters); i++) {
    const json *adapter = json_at(adapters, i);
    double slots = json_number(adapter, "slots", 1);
    if (slots > slots_max)
      examination_add(examination, D_FITS_NO_ENGINE,
                      "adapter %s takes %.0f slots, the largest engine has %.0f",
                      json_text(adapter, "id", ""), slots, slots_max);
  }
}

/* The first router that is live, not draining and not a gateway, so that it has the platform's list
 * of engines; or NULL. */
static const examined_node *choose_router(const examination *examination) {
  for (guint i = 0; i < examination->nodes->len; i++) {
    const examined_node *node = examination_node(examination, i);
    if (!node->is_controller && node->status && !node->draining && !node->gateway)
      return node;
  }
  return NULL;
}

/* The catalogue from the first controller that returns it, or NULL. */
static json *fetch_catalogue(const examination *examination) {
  json *catalogue = NULL;
  for (guint i = 0; i < examination->nodes->len && !catalogue; i++) {
    const examined_node *node = examination_node(examination, i);
    if (node->is_controller && node->status)
      catalogue = examination_fetch(examination, node->address, "/v1/catalogue", NULL);
  }
  return catalogue;
}

void check_engines(examination *examination) {
  const examined_node *router = choose_router(examination);
  if (!router)
    return;
  json *engines = examination_fetch(examination, router->address, "/v1/engines", NULL);
  json *catalogue = fetch_catalogue(examination);
  double weights_mb_max = 0, slots_max = 0;
  for (size_t i = 0; i < json_count(engines); i++) {
    const json *engine = json_at(engines, i);
    weights_mb_max = MAX(weights_mb_max, json_number(engine, "weightsMb", 0));
    slots_max = MAX(slots_max, json_number(engine, "adapterSlots", 0));
    check_engine(examination, router, engine);
  }
  if (json_count(engines))
    check_catalogue(examination, json_get(catalogue, "value"), weights_mb_max, slots_max);
  else
    examination_add(examination, D_ENGINE_LIST, "%s knows of no engine", router->self.text);
  json_free(engines);
  json_free(catalogue);
}
