/** Runs the checks: discovers all processes by asking the known ones for their peers, fetches the
 * pages of each process once, and passes them to the checks. */
#include "doctor.h"
#include "examination.h"

/** The table of peers is fetched from at most this many processes; any others are discovered
 * through those tables. */
enum { NODES_QUERIED_MAX = 64 };

static void add_node(examination *examination, const char *address, id self, bool is_controller,
                     const char *state) {
  examined_node *node = examination_find_node(examination, address);
  if (!node) {
    examined_node new = { .self = self, .is_controller = is_controller };
    g_strlcpy(new.address, address, sizeof new.address);
    g_array_append_val(examination->nodes, new);
    node = examination_node(examination, examination->nodes->len - 1);
  }
  if (!id_is_empty(self)) {
    node->self = self;
    node->is_controller = is_controller;
  }
  node->gone |= !strcmp(state, "gone");
  node->draining |= !strcmp(state, "leaving");
}

/* Adds the processes that are in the table of peers of one process. */
static void add_peers_of(examination *examination, const char *address) {
  json *peers = examination_fetch(examination, address, "/v1/nodes", NULL);
  for (size_t i = 0; i < json_count(peers); i++) {
    const json *peer = json_at(peers, i);
    add_node(examination, json_text(peer, "addr", ""), id_of_text(json_text(peer, "id", "?")),
             !strcmp(json_text(peer, "role", ""), "controller"), json_text(peer, "standing", ""));
  }
  json_free(peers);
}

static void fetch_pages(examination *examination, guint index) {
  /* Copied so that no pointer into the array is held while a fetch waits. */
  char address[48];
  g_strlcpy(address, examination_node(examination, index)->address, sizeof address);
  int64_t ms;
  json *status = examination_fetch(examination, address, "/v1/status", &ms);
  bool is_controller = !strcmp(json_text(status, "role", ""), "controller");
  json *view =
      status && is_controller ? examination_fetch(examination, address, "/v1/view", NULL) : NULL;
  json *gateway =
      status && !view ? examination_fetch(examination, address, "/v1/gateway", NULL) : NULL;
  examined_node *node = examination_node(examination, index);
  node->status = status;
  node->view = view;
  node->gateway = gateway;
  node->response_ms = ms;
  if (status) {
    node->self = id_of_text(json_text(status, "id", "?"));
    node->is_controller = is_controller;
  }
}

static void examination_free_nodes(examination *examination) {
  for (guint i = 0; i < examination->nodes->len; i++) {
    examined_node *node = examination_node(examination, i);
    json_free(node->status);
    json_free(node->view);
    json_free(node->gateway);
  }
  g_array_free(examination->nodes, TRUE);
}

GArray *doctor_examine(world *world, char **addresses, int count) {
  examination examination = { world, g_array_new(FALSE, TRUE, sizeof(finding)),
                              g_array_new(FALSE, TRUE, sizeof(examined_node)) };
  for (int i = 0; i < count; i++)
    add_node(&examination, addresses[i], id_of_text(""), true, "");
  /* The list grows while it is iterated. */
  for (guint i = 0; i < examination.nodes->len && i < NODES_QUERIED_MAX; i++) {
    char address[48];
    g_strlcpy(address, examination_node(&examination, i)->address, sizeof address);
    add_peers_of(&examination, address);
  }
  for (guint i = 0; i < examination.nodes->len; i++)
    fetch_pages(&examination, i);
  check_controllers(&examination);
  check_nodes(&examination);
  check_engines(&examination);
  check_gateways(&examination);
  examination_free_nodes(&examination);
  return examination.findings;
}
