/** Tests of lib/router/config_sync.c: behaviour of routers while some or all controllers are
 * unreachable. Fleet: three controllers, five routers, five or six engines, under traffic. */
#include "recovery.h"
#include "scenario.h"
#include "tests.h"

/* a singleton lease lasts 3 s; the remaining time is the delay of an order on its way to the engine
 */
enum { LEASES_EXPIRED_MS = 3100 };

/* engines receive no orders after the leases held when the controllers were lost have expired */
static void check_no_orders_without_lease(fleet *fleet, time_us lost_at) {
  time_us expired_at = time_add(lost_at, time_from_ms(LEASES_EXPIRED_MS));
  for (int i = 0; i < fleet->engines; i++) {
    const GArray *orders = fleet->engine[i]->engine->orders;
    for (guint k = 0; k < orders->len; k++)
      if (g_array_index(orders, engine_sim_order, k).received_at.us > expired_at.us) {
        fleet_add_violation(fleet, "an engine received an order without a lease");
        return;
      }
  }
}

/* resident models continue to serve: at least a quarter of the requests complete */
static void check_residents_serve(fleet *fleet, time_us lost_at) {
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  guint sent = 0, done = 0;
  for (guint i = 0; i < requests->len; i++) {
    const loadgen_request *request = requests->pdata[i];
    if (request->started_at.us > lost_at.us) {
      sent++;
      done += request->outcome == OUTCOME_DONE;
    }
  }
  if (done < sent / 4)
    fleet_add_violation(fleet, "resident models stopped serving: %u of %u requests completed", done,
                        sent);
}

static bool a_router_is_cut_off_from_controllers(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(8000));
  host *host = fleet->router[0];
  for (int i = 0; i < 3; i++)
    sim_set_partition_both_ways(fleet->sim, host->self.text, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(3000));
  if (!admission_may_admit(host->router))
    fleet_add_violation(fleet, "a router that reaches the other routers counts as isolated");
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  sim_run(fleet->sim, time_from_ms(4000));
  /* the other routers forward the configuration but cannot confirm it */
  if (host->router->sync.config_version <
      g_array_index(fleet->write_acks, write_ack, fleet->write_acks->len - 1).version)
    fleet_add_violation(fleet, "the configuration was not received through the other routers");
  sim_heal_partitions(fleet->sim);
  sim_run(fleet->sim, time_from_ms(4000));
  if (!config_sync_is_recent(host->router))
    fleet_add_violation(fleet, "a router's configuration is not recent after the partition healed");
  fleet_finish_traffic(fleet);
  return true;
}

static bool all_controllers_are_gone(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(15000));
  for (int i = 0; i < 3; i++)
    host_kill(fleet->controller[i]);
  time_us lost_at = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(4000));
  /* a draining engine still gets no new work, and no orders are sent, while resident models serve
   */
  platform_sim_set_engine_state(fleet->platform->platform, fleet->engine[0]->self, true, false);
  sim_run(fleet->sim, time_from_ms(10000));
  check_no_orders_without_lease(fleet, lost_at);
  check_residents_serve(fleet, lost_at);
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  if (!scenario_wait_for_chain(fleet, 3, 10000))
    return false;
  sim_run(fleet->sim, time_from_ms(8000));
  scenario_check_acknowledged_writes(fleet);
  fleet_finish_traffic(fleet);
  return true;
}

static bool controllers_are_cut_off_from_all_routers(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 6);
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < fleet->routers; i++)
    for (int k = 0; k < 3; k++)
      sim_set_partition_both_ways(fleet->sim, fleet->router[i]->self.text,
                                  fleet->controller[k]->self.text, true);
  time_us lost_at = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(10000));
  operator_call *call =
      fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation",
                 "{\"areas\":[{\"area\":\"south\"}]}", NULL, "south", time_from_ms(9000));
  if (call->status != 504)
    fleet_add_violation(fleet, "a write that reaches no router got status %d", call->status);
  operator_call_free(call);
  for (int i = 0; i < fleet->routers; i++)
    if (config_sync_is_recent(fleet->router[i]->router))
      fleet_add_violation(fleet, "%s reports its configuration as recent",
                          fleet->router[i]->self.text);
  check_no_orders_without_lease(fleet, lost_at);
  check_residents_serve(fleet, lost_at);
  sim_heal_partitions(fleet->sim);
  time_us healed_at = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(3000));
  call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation",
                    "{\"areas\":[{\"area\":\"south\"}]}", NULL, "south", time_from_ms(9000));
  if (call->status != 200)
    fleet_add_violation(fleet, "the same write got status %d after the partition healed",
                        call->status);
  operator_call_free(call);
  sim_run(fleet->sim, time_from_ms(9000));
  recovery_check(fleet, healed_at, RECOVERY_LIMIT_MS);
  fleet_finish_traffic(fleet);
  return true;
}

const test_case config_sync_tests[] = {
  { "a_router_is_cut_off_from_controllers", a_router_is_cut_off_from_controllers, 5, 5, 100 },
  { "all_controllers_are_gone", all_controllers_are_gone, 5, 5, 100 },
  { "controllers_are_cut_off_from_all_routers", controllers_are_cut_off_from_all_routers, 5, 6,
    100 },
  { NULL, NULL, 0, 0, 0 }
};
