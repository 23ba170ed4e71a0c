/** Checks all nodes: response times, unique names, seeds, wire versions, and how recent their
 * configuration and lists of engines are. */
#include "examination.h"

enum {
  SLOW_RESPONSE_MS = 1000,
  /** The wait before a stale router is checked again, since it may lag for a moment between two
   * answers of a controller. */
  RECHECK_DELAY_MS = 1500,
  ENGINE_LIST_AGE_MAX_MS = 5000,
  /** Up to this many refused load permits are not reported. */
  REFUSED_PERMITS_TOLERATED = 5
};

static double newest_version(const examination *examination) {
  double newest = 0;
  for (guint i = 0; i < examination->nodes->len; i++)
    newest = MAX(newest, json_number(examination_node(examination, i)->status, "version", 0));
  return newest;
}

static void check_duplicate_names(examination *examination) {
  for (guint i = 0; i < examination->nodes->len; i++)
    for (guint k = 0; k < i; k++) {
      const examined_node *node = examination_node(examination, i),
                          *other = examination_node(examination, k);
      if (node->status && other->status && id_equal(node->self, other->self))
        examination_add(examination, D_DUPLICATE_NAME, "%s answers at %s and at %s",
                        node->self.text, node->address, other->address);
    }
}

static void check_seeds(examination *examination, const examined_node *node) {
  const json *seeds = json_get(node->status, "seeds");
  for (size_t i = 0; i < json_count(seeds); i++) {
    const json *seed = json_at(seeds, i);
    const char *address = seed->kind == JSON_STRING ? seed->text->str : "";
    const examined_node *at_seed = examination_find_node(examination, address);
    if (!at_seed || !at_seed->status)
      examination_add(examination, D_SEED_NO_ANSWER,
                      "nobody answers at seed %s, which nodes are to start with", address);
  }
}

static void check_process(examination *examination, const examined_node *node) {
  if (node->response_ms > SLOW_RESPONSE_MS)
    examination_add(examination, D_SLOW_RESPONSE, "%s answered after %" PRId64 " ms",
                    node->self.text, node->response_ms);
  double refused = json_number(node->status, "wireOdd", 0);
  if (refused > 0)
    examination_add(examination, D_WIRE_VERSION, "%s refused %.0f messages of another wire version",
                    node->self.text, refused);
  if (node->draining)
    examination_add(examination, D_DRAINING, "%s is draining", node->self.text);
  if (json_bool(node->status, "twin", false))
    examination_add(examination, D_DUPLICATE_NAME, "another process uses the name %s",
                    node->self.text);
  check_seeds(examination, node);
}

/* Reports a router whose configuration is unconfirmed, or older than that of others, at two checks
 * in a row. */
static void check_configuration(examination *examination, const examined_node *node,
                                double newest) {
  double version = json_number(node->status, "version", 0);
  bool confirmed = json_bool(node->status, "fresh", false);
  /* Versions are whole numbers in a double; 0.5 absorbs rounding. */
  if (confirmed && version + 0.5 >= newest)
    return;
  examination_wait(examination, RECHECK_DELAY_MS);
  json *again = examination_fetch(examination, node->address, "/v1/status", NULL);
  if (!confirmed && !json_bool(again, "fresh", false))
    examination_add(examination, D_CONFIG_STALE, "%s has no confirmation of its version %.0f",
                    node->self.text, version);
  else if (confirmed && again && json_number(again, "version", 0) + 0.5 < newest)
    examination_add(examination, D_CONFIG_STALE, "%s stays at version %.0f, others have %.0f",
                    node->self.text, json_number(again, "version", 0), newest);
  json_free(again);
}

static void check_router(examination *examination, const examined_node *node, double newest) {
  check_configuration(examination, node, newest);
  /* In a fleet of gateways, engines register at the controllers and no platform lists them. */
  double list_age_ms = json_number(node->status, "listMs", -1);
  if (!node->gateway && (list_age_ms < 0 || list_age_ms > ENGINE_LIST_AGE_MAX_MS))
    examination_add(examination, D_ENGINE_LIST, "%s had its last list of engines %s",
                    node->self.text, list_age_ms < 0 ? "never" : "over 5 s ago");
  double refused = json_number(node->status, "paceFull", 0),
         granted = json_number(node->status, "paceGiven", 0);
  if (refused > REFUSED_PERMITS_TOLERATED && refused > granted)
    examination_add(examination, D_LOAD_RATE_LIMIT,
                    "%s refused %.0f load permits lately and granted %.0f", node->self.text,
                    refused, granted);
}

void check_nodes(examination *examination) {
  double newest = newest_version(examination);
  check_duplicate_names(examination);
  for (guint i = 0; i < examination->nodes->len; i++) {
    const examined_node *node = examination_node(examination, i);
    if (!node->status) {
      examination_add(examination, D_NO_ANSWER, "%s at %s does not answer%s",
                      node->self.text[0] ? node->self.text : "somebody", node->address,
                      node->gone ? " and is declared gone" : "");
      continue;
    }
    check_process(examination, node);
    if (!node->is_controller)
      check_router(examination, node, newest);
  }
}
