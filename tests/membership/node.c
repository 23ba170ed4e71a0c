/** Tests of lib/membership/node.c: peers are found after all seeds were replaced, invalid messages
 * are ignored, and two wire versions work together. Fleet: three controllers, three or four routers
 * and engines.
 */
#include "scenario.h"
#include "tests.h"

static bool all_seeds_are_replaced(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < 3; i++) {
    host *old = fleet->controller[i];
    host *host = scenario_create_controller(fleet, i + 4, old, old->zone.text);
    /* the seeds of a new process are live peers; the settings of the others do not change */
    for (int k = 0; k < 3; k++)
      g_strlcpy(host->settings.seed_addresses[k], fleet->controller[i + k]->addr,
                sizeof host->settings.seed_addresses[k]);
    host_power_off(old);
    host_wipe_disk(old);
    if (!scenario_wait_for_chain(fleet, 2, 8000))
      return false;
    fleet->controllers = i + 4;
    host_start(host);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
  }
  /* No process listens at any seed. The others still know each other, and they find a process that
   * restarts. */
  host_kill(fleet->router[0]);
  sim_run(fleet->sim, time_from_ms(200));
  host_start(fleet->router[0]);
  sim_run(fleet->sim, time_from_ms(5000));
  if (!config_sync_is_recent(fleet->router[0]->router))
    fleet_add_violation(fleet, "a restarted router whose seeds are all gone does not rejoin");
  char *evacuation = scenario_evacuation_json(2);
  if (!fleet_put(fleet, "evacuation", evacuation))
    fleet_add_violation(fleet, "no write succeeds after all seeds were replaced");
  g_free(evacuation);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool invalid_messages_are_ignored(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 5);
  for (int i = 0; i < 300; i++) {
    host *host = sim_random(fleet->sim, 2) ? fleet->controller[sim_random(fleet->sim, 3)]
                                           : fleet->router[sim_random(fleet->sim, fleet->routers)];
    char garbage[300];
    size_t length = 1 + sim_random(fleet->sim, sizeof garbage - 1);
    for (size_t k = 0; k < length; k++)
      garbage[k] = (char)sim_random(fleet->sim, 256);
    host->world.on_message(host->world.on_message_context, (string_view){ garbage, length });
    /* a well-formed message from a peer that does not exist */
    Wire__NodeInfo self = WIRE__NODE_INFO__INIT;
    self.id = "stranger";
    self.address = "127.0.9.9:1";
    self.zone = "north";
    self.nonce = 7;
    self.role = ROLE_CONTROLLER;
    Wire__ReplicateRequest replicate = WIRE__REPLICATE_REQUEST__INIT;
    Wire__PrepareRequest prepare = WIRE__PREPARE_REQUEST__INIT;
    Wire__SingletonLeaseRequest lease = WIRE__SINGLETON_LEASE_REQUEST__INIT;
    Wire__ViewAnnouncement announcement = WIRE__VIEW_ANNOUNCEMENT__INIT;
    Wire__Envelope message =
        sim_random(fleet->sim, 2)
            ? wire_envelope(WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, &replicate)
        : sim_random(fleet->sim, 2) ? wire_envelope(WIRE__ENVELOPE__BODY_PREPARE_REQUEST, &prepare)
        : sim_random(fleet->sim, 2)
            ? wire_envelope(WIRE__ENVELOPE__BODY_SINGLETON_LEASE_REQUEST, &lease)
            : wire_envelope(WIRE__ENVELOPE__BODY_VIEW_ANNOUNCEMENT, &announcement);
    message.version = sim_random(fleet->sim, 4);
    message.from = &self;
    message.call = 9;
    uint8_t packed[200];
    size_t size = wire__envelope__pack(&message, packed);
    host->world.on_message(host->world.on_message_context, (string_view){ (char *)packed, size });
    sim_run(fleet->sim, time_from_ms(20));
  }
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    fleet_add_violation(fleet, "no write succeeds after the invalid messages");
  fleet_finish_traffic(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) > 0;
}

static bool two_wire_versions_side_by_side(fleet *fleet) {
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ROUTER)
      h->settings.wire_version = 1 + (unsigned)sim_random(fleet->sim, 2);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 5);
  /* each process in turn is upgraded to version 2; then the first two are downgraded */
  host *all[16];
  int n = 0;
  for (int i = 0; i < 3; i++)
    all[n++] = fleet->controller[2 - i];
  for (int i = 0; i < fleet->routers; i++)
    all[n++] = fleet->router[i];
  for (int i = 0; i < n + 2; i++) {
    host *h = all[i % n];
    h->settings.wire_version = i < n ? 2 : 1;
    if (h->role == HOST_CONTROLLER) {
      controller_drain(h->controller);
      sim_run(fleet->sim, time_from_ms(2500));
    } else {
      router_drain(h->router);
      sim_run(fleet->sim, time_from_ms(1500));
    }
    host_kill(h);
    host_start(h);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    sim_run(fleet->sim, time_from_ms(1500));
  }
  char *evacuation = scenario_evacuation_json(0);
  if (!fleet_put(fleet, "evacuation", evacuation))
    fleet_add_violation(fleet, "no write succeeds with two wire versions");
  g_free(evacuation);
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < fleet->routers; i++)
    if (!config_sync_is_recent(fleet->router[i]->router) ||
        fleet->router[i]->router->node.rpc.refused_wire_versions)
      fleet_add_violation(fleet, "%s has no recent configuration, or has refused wire versions",
                          fleet->router[i]->self.text);
  scenario_check_acknowledged_writes(fleet);
  fleet_finish_traffic(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 2;
}

const test_case node_tests[] = {
  { "all_seeds_are_replaced", all_seeds_are_replaced, 3, 3, 100 },
  { "invalid_messages_are_ignored", invalid_messages_are_ignored, 3, 3, 50 },
  { "two_wire_versions_side_by_side", two_wire_versions_side_by_side, 4, 4, 100 },
  { NULL, NULL, 0, 0, 0 }
};
