/**
 * Partitions between controllers, routers, zones and the platform. Probe requests to every router
 * show which version of the policy it applies. Fleet: three controllers, four to six routers, three
 * to six engines.
 */
#include "tests.h"

enum {
  MARKER_INTERVAL_MS = 1500,
  /* after all links have healed, the latest acknowledged marker may be at most this old */
  MARKER_AGE_MAX_MS = 5000
};

/** How many attempts callers made, and how many of them succeeded. */
typedef struct attempt_counts {
  int sent, done;
} attempt_counts;

static attempt_counts count_attempts(const fleet *fleet, time_us after) {
  attempt_counts counts = { 0 };
  const GArray *log = fleet->callers->loadgen->attempts;
  for (guint i = 0; i < log->len; i++) {
    const loadgen_attempt *attempt = &g_array_index(log, loadgen_attempt, i);
    if (attempt->started_at.us > after.us) {
      counts.sent++;
      counts.done += attempt->outcome == OUTCOME_DONE;
    }
  }
  return counts;
}

/* starts a fleet under traffic, with probes of every router that show which policy it applies */
static bool start_with_probes(fleet *fleet, double per_s) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  fleet_write_policy_marker(fleet);
  sim_run(fleet->sim, time_from_ms(1500));
  fleet_start_policy_probes(fleet);
  scenario_start_traffic(fleet, per_s);
  sim_run(fleet->sim, time_from_ms(6000));
  return true;
}

/* heals all links and checks that markers are acknowledged and that the fleet recovers by itself */
static bool heal_and_check(fleet *fleet) {
  sim_heal_partitions(fleet->sim);
  scenario_write_markers(fleet, 10000, MARKER_INTERVAL_MS);
  const operator_write *last = NULL;
  for (guint i = 0; i < fleet->writes->len; i++) {
    const operator_write *write = fleet->writes->pdata[i];
    if (write->marker_status && write->status == 200)
      last = write;
  }
  if (!last || time_sub(fleet->sim->now, last->ended_at).us > time_from_ms(MARKER_AGE_MAX_MS).us)
    fleet_add_violation(fleet, "no marker was acknowledged after all links had healed");
  fleet_finish_traffic(fleet);
  fleet->probing = false;
  sim_run(fleet->sim, time_from_ms(3500));
  return true;
}

/* cuts the links between a process and all processes of a role, in both directions */
static void cut_from(fleet *fleet, host *from, enum host_role role) {
  list_for_each (other, &fleet->sim->hosts, host, link)
    if (other != from && other->role == role)
      sim_set_partition_both_ways(fleet->sim, from->self.text, other->self.text, true);
}

static bool a_router_is_isolated(fleet *fleet) {
  if (!start_with_probes(fleet, 10))
    return false;
  host *host = fleet->router[sim_random(fleet->sim, fleet->routers)];
  cut_from(fleet, host, HOST_CONTROLLER);
  cut_from(fleet, host, HOST_ROUTER);
  if (sim_random(fleet->sim, 2))
    cut_from(fleet, host, HOST_PLATFORM);
  sim_run(fleet->sim, time_from_ms((int64_t)sim_random(fleet->sim, 3000)));
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[{\"area\":\"south\"}]}"))
    fleet_add_violation(fleet, "a write failed because one router is cut off");
  platform_sim_set_engine_state(fleet->platform->platform, fleet->engine[0]->self, true, false);
  scenario_write_markers(fleet, 12000, MARKER_INTERVAL_MS);
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    fleet_add_violation(fleet, "a write failed because one router is cut off");
  platform_sim_set_engine_state(fleet->platform->platform, fleet->engine[0]->self, false, false);
  return heal_and_check(fleet);
}

static bool a_zone_is_cut_off(fleet *fleet) {
  if (!start_with_probes(fleet, 10))
    return false;
  const char *area = zone_names[sim_random(fleet->sim, 3)];
  /* the platform is on either side of the partition */
  bool platform_in_zone = sim_random(fleet->sim, 2);
  list_for_each (a, &fleet->sim->hosts, host, link)
    list_for_each (b, &fleet->sim->hosts, host, link) {
      if (a->role > HOST_PLATFORM || b->role > HOST_PLATFORM)
        continue;
      bool in = a->role == HOST_PLATFORM ? platform_in_zone : !strcmp(a->zone.text, area),
           out = b->role == HOST_PLATFORM ? !platform_in_zone : strcmp(b->zone.text, area) != 0;
      if (in && out)
        sim_set_partition_both_ways(fleet->sim, a->self.text, b->self.text, true);
    }
  /* While the platform is on the smaller side, most routers keep their last engine list (a case
   * that design.md describes), so an engine leaves only when the platform is on the larger side. */
  if (!platform_in_zone)
    platform_sim_set_engine_state(fleet->platform->platform,
                                  fleet->engine[sim_random(fleet->sim, fleet->engines)]->self, true,
                                  false);
  scenario_write_markers(fleet, 6000, MARKER_INTERVAL_MS);
  operator_call *call =
      fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT", "/v1/evacuation",
                 "{\"areas\":[{\"area\":\"mid\"}]}", NULL, NULL);
  scenario_write_markers(fleet, 9000, MARKER_INTERVAL_MS);
  bool ok = heal_and_check(fleet);
  sim_run(fleet->sim, time_from_ms(20000));
  operator_call_free(call);
  return ok;
}

static bool most_routers_are_cut_off_from_controllers(fleet *fleet) {
  if (!start_with_probes(fleet, 10))
    return false;
  int keep = (int)sim_random(fleet->sim, fleet->routers / 2 + 1);
  for (int i = 0; i < fleet->routers; i++) {
    if (i < keep)
      continue;
    cut_from(fleet, fleet->router[i], HOST_CONTROLLER);
    for (int k = 0; k < keep; k++)
      sim_set_partition_both_ways(fleet->sim, fleet->router[i]->self.text,
                                  fleet->router[k]->self.text, true);
  }
  time_us from = fleet->sim->now;
  scenario_write_markers(fleet, 12000, 2500);
  attempt_counts attempts = count_attempts(fleet, time_add(from, time_from_ms(4000)));
  if (keep < (fleet->routers + 1) / 2 && attempts.done < attempts.sent / 4)
    fleet_add_violation(fleet, "most routers are connected, but only %d of %d attempts were served",
                        attempts.done, attempts.sent);
  return heal_and_check(fleet);
}

static bool routers_freeze_during_policy_writes(fleet *fleet) {
  if (!start_with_probes(fleet, 10))
    return false;
  for (int i = 0; i < 3; i++) {
    int n = 1 + (int)sim_random(fleet->sim, fleet->routers - 1);
    for (int k = 0; k < n; k++)
      host_freeze(fleet->router[(i + k) % fleet->routers]);
    scenario_write_markers(fleet, 1000 + (int64_t)sim_random(fleet->sim, 8000), MARKER_INTERVAL_MS);
    for (int k = 0; k < fleet->routers; k++)
      if (fleet->router[k]->frozen)
        host_unfreeze(fleet->router[k]);
    scenario_write_markers(fleet, 4000, MARKER_INTERVAL_MS);
  }
  return heal_and_check(fleet);
}

static bool a_router_is_cut_one_way(fleet *fleet) {
  if (!start_with_probes(fleet, 10))
    return false;
  for (int i = 0; i < 3; i++) {
    host *h = fleet->router[sim_random(fleet->sim, fleet->routers)];
    bool cut_outgoing = sim_random(fleet->sim, 2), all = sim_random(fleet->sim, 2);
    list_for_each (k, &fleet->sim->hosts, host, link) {
      if (k == h || (k->role != HOST_CONTROLLER && !(all && k->role == HOST_ROUTER)))
        continue;
      if (cut_outgoing)
        sim_set_partition(fleet->sim, h->self.text, k->self.text, true);
      else
        sim_set_partition(fleet->sim, k->self.text, h->self.text, true);
    }
    scenario_write_markers(fleet, 5000, MARKER_INTERVAL_MS);
    sim_heal_partitions(fleet->sim);
    scenario_write_markers(fleet, 3000, MARKER_INTERVAL_MS);
  }
  return heal_and_check(fleet);
}

static bool routers_restart_while_controllers_are_gone(fleet *fleet) {
  if (!start_with_probes(fleet, 10))
    return false;
  for (int i = 0; i < 3; i++)
    host_kill(fleet->controller[i]);
  sim_run(fleet->sim, time_from_ms(5000));
  int n = 1 + (int)sim_random(fleet->sim, fleet->routers);
  for (int i = 0; i < n; i++) {
    host_kill(fleet->router[i]);
    sim_run(fleet->sim, time_from_ms(300));
    host_start(fleet->router[i]);
    sim_run(fleet->sim, time_from_ms(2000));
  }
  sim_run(fleet->sim, time_from_ms(4000));
  time_us from = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(5000));
  attempt_counts attempts = count_attempts(fleet, from);
  /* If a majority of routers did not restart, the others fetch the configuration from them and
   * serve the resident models. */
  if (n < (fleet->routers + 1) / 2 && attempts.done < attempts.sent / 4)
    fleet_add_violation(fleet,
                        "%d routers restarted without controllers, and only %d of %d attempts were "
                        "served",
                        n, attempts.done, attempts.sent);
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  return scenario_wait_for_chain(fleet, 3, 15000) && heal_and_check(fleet);
}

static bool a_router_loses_the_platform(fleet *fleet) {
  if (!start_with_probes(fleet, 12))
    return false;
  /* some routers can't reach the platform; the others forward to them that an engine leaves */
  int n = 1 + (int)sim_random(fleet->sim, fleet->routers - 1);
  for (int i = 0; i < n; i++)
    cut_from(fleet, fleet->router[i], HOST_PLATFORM);
  /* in half of the cases one of them reaches the controllers, but no router with the engine list */
  if (sim_random(fleet->sim, 2))
    cut_from(fleet, fleet->router[0], HOST_ROUTER);
  sim_run(fleet->sim, time_from_ms(1000 + (int64_t)sim_random(fleet->sim, 3000)));
  for (int i = 0; i < 2; i++) {
    platform_sim_set_engine_state(fleet->platform->platform, fleet->engine[i]->self, true, false);
    sim_run(fleet->sim, time_from_ms(7000));
  }
  platform_sim_set_engine_state(fleet->platform->platform, fleet->engine[0]->self, false, false);
  sim_run(fleet->sim, time_from_ms(5000));
  return heal_and_check(fleet);
}

/* A lease holder renews its lease while the grant to the next holder is still being written to slow
 * disks. */
static bool a_lease_renewal_races_with_a_grant(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  scenario_start_traffic(fleet, 4);
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->operation_delay_ms = 300;
  for (int i = 0; i < 7; i++) {
    host *host =
        fleet_find_lease_holder(fleet, sim_random(fleet->sim, 2) ? "pacer" : "engine:engine-1");
    if (!host) {
      sim_run(fleet->sim, time_from_ms(2000));
      continue;
    }
    host_freeze(host);
    /* until about the time when the head grants the lease to another router */
    sim_run(fleet->sim, time_from_ms(2700 + (int64_t)sim_random(fleet->sim, 1500)));
    host_unfreeze(host);
    sim_run(fleet->sim, time_from_ms(6000));
  }
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->operation_delay_ms = 0;
  fleet_finish_traffic(fleet);
  return true;
}

/* A process restarts at once while its peers declare its old incarnation gone; they must still
 * discover the new one. */
static bool a_peer_declared_gone_comes_back(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int i = 0; i < 4; i++) {
    host *h = sim_random(fleet->sim, 2) ? fleet->controller[sim_random(fleet->sim, 3)]
                                        : fleet->router[sim_random(fleet->sim, fleet->routers)];
    for (int k = 0; k < 2; k++) {
      host_kill(h);
      sim_run(fleet->sim, time_from_ms(200));
      host_start(h);
      sim_run(fleet->sim, time_from_ms(2500));
    }
    host_kill(h);
    sim_run(fleet->sim, time_from_ms(1300 + (int64_t)sim_random(fleet->sim, 800)));
    host_start(h);
    sim_run(fleet->sim, time_from_ms(4000));
    list_for_each (a, &fleet->sim->hosts, host, link) {
      if (a == h || a->role > HOST_ROUTER)
        continue;
      peer_node *peer =
          peer_table_find(a->controller ? &a->controller->node : &a->router->node, h->self);
      node *node = h->controller ? &h->controller->node : &h->router->node;
      if (!peer || peer->gone || peer->nonce != node->nonce)
        fleet_add_violation(fleet, "%s has not discovered the restarted %s", a->self.text,
                            h->self.text);
    }
  }
  return true;
}

const test_case partition_tests[] = {
  { "a_router_is_isolated", a_router_is_isolated, 5, 6, 100 },
  { "a_zone_is_cut_off", a_zone_is_cut_off, 6, 6, 100 },
  { "most_routers_are_cut_off_from_controllers", most_routers_are_cut_off_from_controllers, 5, 5,
    100 },
  { "routers_freeze_during_policy_writes", routers_freeze_during_policy_writes, 5, 5, 100 },
  { "a_router_is_cut_one_way", a_router_is_cut_one_way, 5, 5, 100 },
  { "routers_restart_while_controllers_are_gone", routers_restart_while_controllers_are_gone, 5, 5,
    100 },
  { "a_router_loses_the_platform", a_router_loses_the_platform, 5, 6, 100 },
  { "a_lease_renewal_races_with_a_grant", a_lease_renewal_races_with_a_grant, 5, 5, 100 },
  { "a_peer_declared_gone_comes_back", a_peer_declared_gone_comes_back, 4, 3, 100 },
  { NULL, NULL, 0, 0, 0 }
};
