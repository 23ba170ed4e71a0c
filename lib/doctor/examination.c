/** Functions that the checks share: access to nodes, pages and findings. */
#include "examination.h"
#include <stdarg.h>
#include <stdio.h>

enum { PAGE_TIMEOUT_MS = 2500 };

/** The remedy of each finding, in the order of enum diagnosis. */
static const char *const remedies[] = {
  "Is the process up? Look at its log; start it again with its settings.",
  "Put a live address into the settings' seeds before the next restart.",
  "Start the missing controller, or one with an empty disk in its place; the chain takes it in by itself.",
  "Two views are known. Look for a partition between controllers; the view with the higher epoch counts.",
  "Look for a partition between this node and the controllers; it serves by its last configuration until then.",
  "Are enough routers live outside evacuated zones? Leases are granted within about four seconds of that.",
  "Nodes disagree on what this engine has loaded. Look at its own report; restart the engine if it repeats itself.",
  "Give the catalogue a smaller entry, or the fleet a larger engine.",
  "Loads wait for the load rate limiter. Raise loadsPerS if the store allows it, or keep more models resident.",
  "Look at the machine's disk: space, speed, errors. A replica that left the chain comes back by itself once the disk does.",
  "Calls to this machine take long. Look at its load and its network; no clock is used for any decision.",
  "Two processes use one name. Stop one of them.",
  "Is the platform up, and reachable from this node? The last list stands until then.",
  "Bring all nodes to versions that speak a common wire version.",
  "This is meant to pass. If it lasts, look at what the process waits for in its log.",
  "Put a configuration (asterctl apply routing); if the controllers have one, look for a partition between this gateway and them.",
  "Are the service's engines up, and do they reach a controller's control listener? See asterctl get registry.",
  "Callers are sent elsewhere until then. A gateway is ready once it has a configuration and has heard of the engines from a controller.",
  "Requests to it fail or stay without a first byte. Look at the engine's log; restart it if it does not come back.",
  "Are enough gateways live outside evacuated zones? The lease is granted within about four seconds of that; until then each loads a small share by itself.",
  "Many first attempts fail. Look at the engines of this service; refused extra attempts protect them from more load.",
  "Look at the store of weights and at the engines' capacity; see the gateway's log for what the engines answer."
};

examined_node *examination_node(const examination *examination, guint index) {
  return &g_array_index(examination->nodes, examined_node, index);
}

examined_node *examination_find_node(const examination *examination, const char *address) {
  for (guint i = 0; i < examination->nodes->len; i++) {
    examined_node *node = examination_node(examination, i);
    if (!strcmp(node->address, address))
      return node;
  }
  return NULL;
}

bool examination_is_live(const examination *examination, const char *name) {
  for (guint i = 0; i < examination->nodes->len; i++) {
    const examined_node *node = examination_node(examination, i);
    if (node->status && !strcmp(node->self.text, name))
      return true;
  }
  return false;
}

void examination_add(examination *examination, enum diagnosis code, const char *format, ...) {
  finding new = { .code = code, .remedy = remedies[code - D_NO_ANSWER] };
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(new.evidence, sizeof new.evidence, format, arguments);
  va_end(arguments);
  for (guint i = 0; i < examination->findings->len; i++) {
    const finding *known = &g_array_index(examination->findings, finding, i);
    if (known->code == new.code && !strcmp(known->evidence, new.evidence))
      return;
  }
  g_array_append_val(examination->findings, new);
}

json *examination_fetch(const examination *examination, const char *address, const char *path,
                        int64_t *ms) {
  GString *body = g_string_new(NULL);
  error err = { 0 };
  time_us start = world_now(examination->world);
  int status = http_call_fetch(examination->world, address, "GET", path, NULL, string_view_of(""),
                               body, time_from_ms(PAGE_TIMEOUT_MS), &err);
  if (ms)
    *ms = time_sub(world_now(examination->world), start).us / 1000;
  json *page = status == 200 ? json_parse(string_view_of_gstring(body), NULL) : NULL;
  g_string_free(body, TRUE);
  return page;
}

void examination_wait(const examination *examination, int64_t ms) {
  world_sleep(examination->world, time_from_ms(ms));
}
