/** The command gateways: prints one row per live gateway, from the gateway's own page. */
#include "commands.h"
#include <stdio.h>

static int count_usable(const json *engines) {
  int usable = 0;
  for (size_t i = 0; i < json_count(engines); i++)
    usable += json_bool(json_at(engines, i), "usable", false);
  return usable;
}

static void print_gateway(const json *node, const json *gateway) {
  const json *engines = json_get(gateway, "engines");
  const char *reason = json_text(gateway, "why", "");
  printf("%-12s %-9s %9.0f %9.0f %9.0f %9.0f %8.0f %4d/%-3zu %6.0f  %s%s%s\n",
         json_text(node, "id", ""), json_bool(gateway, "ready", false) ? "yes" : "no",
         json_number(gateway, "revision", 0), json_number(gateway, "requests", 0),
         json_number(gateway, "served", 0), json_number(gateway, "refused", 0),
         json_number(gateway, "retries", 0), count_usable(engines), json_count(engines),
         json_number(gateway, "open", 0), json_text(node, "addr", ""), reason[0] ? "  " : "",
         reason);
}

/** Prints the row of a router. Returns false when it returns no gateway page. */
static bool print_router(const struct command_context *context, const json *node) {
  json *gateway = control_fetch_page(context, json_text(node, "addr", ""), "/v1/gateway");
  bool answered = gateway != NULL;
  if (answered)
    print_gateway(node, gateway);
  else
    printf("%-12s %-9s\n", json_text(node, "id", ""), "-");
  json_free(gateway);
  return answered;
}

enum exit_code gateways_command_run(const struct command_context *context) {
  json *nodes = control_fetch_page_from_any(context, "/v1/nodes");
  if (!nodes)
    return control_report_no_answer(context);
  printf("%-12s %-9s %9s %9s %9s %9s %8s %8s %6s  %s\n", "GATEWAY", "READY", "REVISION", "REQUESTS",
         "SERVED", "REFUSED", "RETRIES", "ENGINES", "OPEN", "ADDRESS");
  int answered = 0;
  for (size_t i = 0; i < json_count(nodes); i++)
    if (node_is_live_router(json_at(nodes, i)))
      answered += print_router(context, json_at(nodes, i));
  json_free(nodes);
  return answered ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}
