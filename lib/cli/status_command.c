/** The command status: prints the view of the controllers and one row per node that membership
 * knows, with the version from the status page of each live node. */
#include "commands.h"
#include <stdio.h>

/** Large enough for any version that a double represents exactly. */
enum { VERSION_TEXT_SIZE = 24 };

/** Prints the epoch and chain of the view. */
static void print_view(const json *view) {
  printf("view %.0f, chain", json_number(view, "epoch", 0));
  const json *chain = json_get(view, "chain");
  for (size_t i = 0; i < json_count(chain); i++)
    printf("%s %s", i ? " >" : "", json_text(json_at(chain, i), "id", "?"));
  printf("%s\n", json_bool(view, "thin", false) ? " (too thin to write)" : "");
}

/** Whether a node's configuration was confirmed recently, as text: routers report "fresh",
 * controllers "acts". `status` is NULL when there is no status page. */
static const char *freshness_text(const json *status) {
  if (!status)
    return "-";
  const char *key = json_get(status, "fresh") ? "fresh" : "acts";
  return json_bool(status, key, false) ? "yes" : "no";
}

static void print_node(const struct command_context *context, const json *node) {
  const char *address = json_text(node, "addr", "");
  json *status = node_is_gone(node) ? NULL : control_fetch_page(context, address, "/v1/status");
  char version[VERSION_TEXT_SIZE] = "-";
  if (status)
    snprintf(version, sizeof version, "%.0f", json_number(status, "version", 0));
  printf("%-12s %-5s %-12s %-8s %-8s %-7s %s\n", json_text(node, "id", ""),
         json_text(node, "role", ""), json_text(node, "area", ""), json_text(node, "standing", ""),
         version, freshness_text(status), address);
  json_free(status);
}

enum exit_code status_command_run(const struct command_context *context) {
  json *view = control_fetch_page_from_any(context, "/v1/view");
  json *nodes = control_fetch_page_from_any(context, "/v1/nodes");
  if (!nodes) {
    json_free(view);
    return control_report_no_answer(context);
  }
  if (view)
    print_view(view);
  printf("%-12s %-5s %-12s %-8s %-8s %-7s %s\n", "NODE", "ROLE", "AREA", "STANDING", "VERSION",
         "FRESH", "ADDRESS");
  for (size_t i = 0; i < json_count(nodes); i++)
    print_node(context, json_at(nodes, i));
  json_free(view);
  json_free(nodes);
  return EXIT_CODE_OK;
}
