/** Placement: start and end of its modules. */
#include "loader_internal.h"

void loader_start(gateway *gateway) {
  router *router = gateway->router;
  gateway->placings = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, placement_free);
  gateway->paces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pace_free);
  gateway->rates_whole = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  gateway->rates_told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, pace_on_ticket,
                        gateway);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, load_jobs_on_place,
                        gateway);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_PLACEMENT_REQUEST, placement_on_want,
                        gateway);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_RATE_REPORT, rates_on_message, gateway);
  task_start(&router->node.world->tasks, "rates", rates_run, gateway);
}

void loader_free(gateway *gateway) {
  list_for_each (i, &gateway->instances, instance, link)
    list_for_each (job, &i->orders, place_job, link) {
      list_remove(&job->link);
      g_free(job);
    }
  if (gateway->placings)
    g_hash_table_destroy(gateway->placings);
  if (gateway->paces)
    g_hash_table_destroy(gateway->paces);
  if (gateway->rates_told)
    g_hash_table_destroy(gateway->rates_told);
  if (gateway->rates_whole)
    g_hash_table_destroy(gateway->rates_whole);
  gateway->placings = gateway->paces = gateway->rates_told = gateway->rates_whole = NULL;
}
