/** Placement: start and end of its modules. */
#include "loader_internal.h"

void loader_start(gateway *gateway) {
  router *router = gateway->router;
  gateway->placement_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, placement_free);
  gateway->load_rate_limiters =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, load_rate_limiter_free);
  gateway->fleet_rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  gateway->rates_sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST,
                        load_rate_limiter_on_permit, gateway);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST,
                        load_jobs_on_placement, gateway);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_PLACEMENT_REQUEST,
                        placement_on_load_request, gateway);
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_RATE_REPORT, fleet_rates_on_message,
                        gateway);
  task_start(&router->node.world->tasks, "rates", fleet_rates_run, gateway);
}

void loader_free(gateway *gateway) {
  list_for_each (i, &gateway->engines, gateway_engine, link)
    list_for_each (job, &i->load_jobs, load_job, link) {
      list_remove(&job->link);
      g_free(job);
    }
  if (gateway->placement_jobs)
    g_hash_table_destroy(gateway->placement_jobs);
  if (gateway->load_rate_limiters)
    g_hash_table_destroy(gateway->load_rate_limiters);
  if (gateway->rates_sent)
    g_hash_table_destroy(gateway->rates_sent);
  if (gateway->fleet_rates)
    g_hash_table_destroy(gateway->fleet_rates);
  gateway->placement_jobs = gateway->load_rate_limiters = gateway->rates_sent =
      gateway->fleet_rates = NULL;
}
