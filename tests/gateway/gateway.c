#include "deployment.h"
#include "gateway_check.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

/* Tests of gateways under faults: while a fleet has traffic, faults and changes are injected; no
 * rule may be violated, and a minimum share of requests must be served. */

static bool traffic_without_faults_is_served(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_run_traffic(deployment, 1, 60000);
  return deployment_finish(deployment, 0.995);
}

static registering_engine_sim *busiest_engine(deployment *deployment) {
  registering_engine_sim *best = NULL;
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    if (deployment->engine_processes[i]->engine &&
        (!best ||
         deployment->engine_processes[i]->engine->batch.busy_slots > best->batch.busy_slots))
      best = deployment->engine_processes[i]->engine;
  return best;
}

static deployment_process *engine_process_of(deployment *deployment,
                                             const registering_engine_sim *engine) {
  for (size_t i = 0; i < deployment->model_engine_count + deployment->plain_engine_count; i++)
    if (deployment->engine_processes[i]->engine == engine)
      return deployment->engine_processes[i];
  return NULL;
}

static bool engines_crash_during_streams(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1.5);
  for (int i = 0; i < 4; i++) {
    sim_run(deployment->sim, time_from_ms(5000));
    deployment_process *process = engine_process_of(deployment, busiest_engine(deployment));
    deployment_record_fault(deployment, process->host, 'e', 3000);
    host_kill(process->host);
    sim_run(deployment->sim, time_from_ms(2500));
    host_start(process->host);
  }
  sim_run(deployment->sim, time_from_ms(5000));
  deployment_finish_traffic(deployment);
  /* resumable streams are complete, without a gap */
  double notes =
      deployment_served_ratio(deployment, deployment->note, (time_us){ 0 }, time_never());
  if (notes < 0.95)
    fleet_add_violation(fleet, "only %.3f of the resumable streams were complete", notes);
  return deployment_finish(deployment, 0.9);
}

static bool engine_machines_lose_power(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1.2);
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_process *process = engine_process_of(deployment, busiest_engine(deployment)),
                     *plain_process = deployment->engine_processes[deployment->model_engine_count];
  deployment_record_fault(deployment, process->host, 'e', 25000);
  host_power_off(process->host);
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_record_fault(deployment, plain_process->host, 'e', 12000);
  host_power_off(plain_process->host);
  sim_run(deployment->sim, time_from_ms(12000));
  host_start(process->host);
  host_start(plain_process->host);
  sim_run(deployment->sim, time_from_ms(8000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.9);
}

static bool responses_are_lost_truncated_and_duplicated(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  for (int i = 0; i < 12; i++) {
    registering_engine_faults *faults =
        &deployment
             ->engine_processes[sim_random(deployment->sim, deployment->model_engine_count +
                                                                deployment->plain_engine_count)]
             ->plan.faults;
    switch (sim_random(deployment->sim, 5)) {
    case 0:
      faults->lose_responses = 2;
      break;
    case 1:
      faults->truncate_responses = 2;
      faults->truncate_after_events = (unsigned)sim_random(deployment->sim, 6);
      break;
    case 2:
      faults->extra_responses = 3;
      break;
    case 3:
      faults->stale_responses = 3;
      break;
    default:
      faults->garbage_responses = 2;
    }
    sim_run(deployment->sim, time_from_ms(2500));
  }
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.9);
}

static bool engines_fail_intermittently(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment->engine_processes[0]->plan.faults.intermittent_failures = 0.5;
  deployment->engine_processes[deployment->model_engine_count]->plan.faults.intermittent_failures =
      0.5;
  deployment_run_traffic(deployment, 1, 25000);
  return deployment_finish(deployment, 0.8);
}

static bool engines_drain_with_acknowledgement(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1.2);
  for (int i = 0; i < 3; i++) {
    sim_run(deployment->sim, time_from_ms(3000));
    deployment_process *process = deployment->engine_processes[sim_random(
        deployment->sim, deployment->model_engine_count + deployment->plain_engine_count - 1)];
    if (process->engine)
      registering_engine_sim_drain(process->engine, 0);
    sim_run(deployment->sim, time_from_ms(9000));
    if (!process->host->alive)
      host_start(process->host);
  }
  sim_run(deployment->sim, time_from_ms(3000));
  deployment_finish_traffic(deployment);
  int announced = 0, acknowledged = 0;
  for (guint i = 0; i < deployment->log->stops->len; i++) {
    engine_stop_record *e = deployment->log->stops->pdata[i];
    announced += e->announced_at.us != 0;
    acknowledged += e->acked_at.us != 0;
  }
  if (acknowledged < announced)
    fleet_add_violation(fleet, "%d of %d engines that drained got no acknowledgement",
                        announced - acknowledged, announced);
  return deployment_finish(deployment, 0.97);
}

static bool an_engine_drains_at_short_notice(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1.2);
  sim_run(deployment->sim, time_from_ms(5000));
  deployment_process *process = engine_process_of(deployment, busiest_engine(deployment));
  deployment_record_fault(deployment, process->host, 'e', 6000);
  registering_engine_sim_drain(process->engine, 2500);
  sim_run(deployment->sim, time_from_ms(12000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.93);
}

static bool gateways_drain_under_traffic(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1.5);
  for (int i = 0; i < fleet->routers; i++) {
    sim_run(deployment->sim, time_from_ms(4000));
    deployment_terminate_gateway(deployment, deployment->gateway_processes[i]);
    sim_run(deployment->sim, time_from_ms(9500));
    if (fleet->router[i]->alive)
      fleet_add_violation(fleet, "%s is alive after the grace period", fleet->router[i]->self.text);
    host_start(fleet->router[i]);
    sim_run(deployment->sim, time_from_ms(4000));
  }
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.97);
}

static bool gateways_crash_under_traffic(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  for (int i = 0; i < 3; i++) {
    sim_run(deployment->sim, time_from_ms(4000));
    host *host = fleet->router[sim_random(deployment->sim, fleet->routers)];
    deployment_record_fault(deployment, host, 'k', 2000);
    host_kill(host);
    sim_run(deployment->sim, time_from_ms(1000));
    host_start(host);
    sim_run(deployment->sim, time_from_ms(4000));
  }
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.93);
}

static bool controllers_crash_under_traffic(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  for (int i = 0; i < fleet->controllers; i++) {
    sim_run(deployment->sim, time_from_ms(3000));
    deployment_record_fault(deployment, NULL, 'k', 4000);
    host_kill(fleet->controller[i]);
    sim_run(deployment->sim, time_from_ms(4000));
    host_start(fleet->controller[i]);
    sim_run(deployment->sim, time_from_ms(4000));
  }
  deployment_record_fault(deployment, NULL, 'k', 6000);
  for (int i = 0; i < fleet->controllers; i++)
    host_kill(fleet->controller[i]);
  sim_run(deployment->sim, time_from_ms(5000));
  for (int i = 0; i < fleet->controllers; i++)
    host_start(fleet->controller[i]);
  sim_run(deployment->sim, time_from_ms(8000));
  char *text = deployment_config(deployment, 4, "spare");
  operator_sim_change *change = deployment_put_config(deployment, 4, 1, text, true);
  g_free(text);
  if (!change->acked_at.us)
    fleet_add_violation(fleet, "no configuration is accepted after all controllers crashed (%d)",
                        change->status);
  sim_run(deployment->sim, time_from_ms(4000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.97);
}

static bool configurations_change_race_and_are_invalid(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 4);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  uint64_t now = 1;
  for (int i = 0; i < 8; i++) {
    sim_run(deployment->sim, time_from_ms(1500 + (int64_t)sim_random(deployment->sim, 2500)));
    const char *to = i % 2 ? "ledger" : "spare";
    if (i % 3 == 0) {
      /* two concurrent changes based on the same version */
      char *a = deployment_config(deployment, now + 2, to),
           *b = deployment_config(deployment, now + 3, "ledger");
      operator_sim_change *x =
                              operator_sim_send(deployment->operator, now + 2, now, false, a, true),
                          *y =
                              operator_sim_send(deployment->operator, now + 3, now, false, b, true);
      while (!x->done || !y->done)
        sim_run(deployment->sim, time_from_ms(50));
      if (x->acked_at.us)
        now = x->version;
      else if (y->acked_at.us)
        now = y->version;
      else
        fleet_add_violation(fleet, "neither of two configurations was accepted (%d, %d)", x->status,
                            y->status);
      g_free(a);
      g_free(b);
    } else if (i % 3 == 1) {
      static const char *const bad[] = {
        "{\"version\":%" PRIu64
        ",\"routes\":[{\"name\":\"x\",\"host\":\"front.example\",\"prefix\":\"/x/\",\"mode\":\"safe\",\"timeoutMs\":100,\"service\":\"nobody\"}],\"services\":[]}",
        "{\"version\":%" PRIu64
        ",\"routes\":[{\"name\":\"x\",\"host\":\"front.example\",\"prefix\":\"/x/\",\"mode\":\"safe\",\"timeoutMs\":0,\"service\":\"a\"}],\"services\":[{\"name\":\"a\"}]}",
        "{\"version\":%" PRIu64 ",\"routes\":["
      };
      char *t = g_strdup_printf(bad[sim_random(deployment->sim, 3)], now + 1);
      operator_sim_change *change = deployment_put_config(deployment, now + 1, now, t, false);
      if (change->status < 400 || change->status >= 500)
        fleet_add_violation(fleet, "an invalid configuration got %d", change->status);
      g_free(t);
    } else {
      char *t = g_strdup_printf(
          "{\"version\":%" PRIu64
          ",\"set\":{\"routes\":[{\"name\":\"r-status\",\"host\":\"front.example\",\"prefix\":\"/status/\",\"mode\":\"safe\",\"timeoutMs\":4000,\"targetMs\":300,\"priority\":0,\"split\":[{\"service\":\"ledger\",\"weight\":50},{\"service\":\"spare\",\"weight\":50}],\"attempts\":3}]}}",
          now + 2);
      operator_sim_change *change =
          operator_sim_send(deployment->operator, now + 2, now, true, t, true);
      while (!change->done)
        sim_run(deployment->sim, time_from_ms(50));
      if (!change->acked_at.us)
        fleet_add_violation(fleet, "a change of one route was not accepted (%d)", change->status);
      else
        now += 2;
      g_free(t);
    }
  }
  sim_run(deployment->sim, time_from_ms(5000));
  deployment_finish_traffic(deployment);
  operator_sim_read(deployment->operator);
  sim_run(deployment->sim, time_from_ms(4000));
  if (!deployment->operator->read_at.us)
    fleet_add_violation(fleet, "CONFIG nothing could be read back");
  return deployment_finish(deployment, 0.97);
}

static bool a_missing_model_is_loaded_on_demand(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 0.5);
  sim_run(deployment->sim, time_from_ms(4000));
  client_sim_request *a = client_sim_send(deployment->client, deployment->note, "m12"),
                     *b = client_sim_send(deployment->client, deployment->note, "m13/a2"),
                     *c = client_sim_send(deployment->client, deployment->chat, "m0/a3");
  sim_run(deployment->sim, time_from_ms(15000));
  deployment_finish_traffic(deployment);
  if (!a->served || !b->served || !c->served)
    fleet_add_violation(fleet,
                        "requests for models that were not loaded were not served (%d %d %d)",
                        a->served, b->served, c->served);
  return deployment_finish(deployment, 0.97);
}

static bool a_burst_of_rare_models_is_requested(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 1);
  deployment->loads_per_s = 0.8;
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 0.6);
  sim_run(deployment->sim, time_from_ms(4000));
  int from = (int)deployment->client->requests->len;
  char name[16];
  for (int i = 0; i < 40; i++) {
    snprintf(name, sizeof name, "m%d%s", 6 + i % 8, i % 5 ? "" : "/a1");
    client_sim_send(deployment->client, deployment->note, name);
    sim_run(deployment->sim, time_from_ms(100));
  }
  sim_run(deployment->sim, time_from_ms(20000));
  deployment_finish_traffic(deployment);
  int served = 0;
  for (int i = from; i < from + 40; i++)
    served += ((client_sim_request *)deployment->client->requests->pdata[i])->served;
  if (served < 20)
    fleet_add_violation(fleet, "only %d of a burst of rare models were served", served);
  return deployment_finish(deployment, 0.8);
}

/* the gateway that sent the last order to an engine, or else a random one */
static host *last_order_holder(deployment *deployment) {
  guint n = deployment->log->orders->len;
  host *host =
      n ? sim_find_host(deployment->sim,
                        ((engine_order_record *)deployment->log->orders->pdata[n - 1])->holder.text)
        : NULL;
  return host && host->alive
             ? host
             : deployment->fleet->router[sim_random(deployment->sim, deployment->fleet->routers)];
}

static void request_rare_models(deployment *deployment, int n) {
  char name[16];
  for (int k = 0; k < n; k++) {
    snprintf(name, sizeof name, "m%d", 6 + (int)sim_random(deployment->sim, 8));
    client_sim_send(deployment->client, deployment->note, name);
  }
}

/* The gateway that places models freezes during a placement, another one takes over, and then the
 * first one resumes with orders that are still to be sent. */
static bool a_placement_coordinator_freezes_and_resumes(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 0.8);
  for (int i = 0; i < 5; i++) {
    request_rare_models(deployment, 5);
    sim_run(deployment->sim, time_from_ms(100 + (int64_t)sim_random(deployment->sim, 900)));
    host *host = last_order_holder(deployment);
    int64_t ms = 3500 + (int64_t)sim_random(deployment->sim, 4000);
    deployment_record_fault(deployment, host, 'f', ms);
    host_freeze(host);
    for (int64_t left = ms; left > 0; left -= 500) {
      request_rare_models(deployment, 1);
      sim_run(deployment->sim, time_from_ms(MIN(left, 500)));
    }
    host_unfreeze(host);
    for (int k = 0; k < 5; k++) {
      request_rare_models(deployment, 1);
      sim_run(deployment->sim, time_from_ms(500));
    }
  }
  sim_run(deployment->sim, time_from_ms(4000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.7);
}

static bool engine_orders_are_lost(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 0.5);
  for (size_t i = 0; i < deployment->model_engine_count; i++)
    deployment->engine_processes[i]->plan.faults.drop_orders = 2;
  sim_run(deployment->sim, time_from_ms(2000));
  client_sim_request *a = client_sim_send(deployment->client, deployment->note, "m12"),
                     *b = client_sim_send(deployment->client, deployment->note, "m10");
  sim_run(deployment->sim, time_from_ms(20000));
  deployment_finish_traffic(deployment);
  if (!a->served || !b->served)
    fleet_add_violation(fleet, "with lost orders, nothing was loaded (%d %d)", a->served,
                        b->served);
  return deployment_finish(deployment, 0.95);
}

static bool gateways_are_partitioned_from_controllers(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  sim_run(deployment->sim, time_from_ms(3000));
  for (int v = 0; v < fleet->routers; v += 2) {
    deployment_record_fault(deployment, fleet->router[v], 'n', 8000);
    for (int m = 0; m < fleet->controllers; m++)
      sim_set_partition_both_ways(deployment->sim, fleet->router[v]->self.text,
                                  fleet->controller[m]->self.text, true);
  }
  sim_run(deployment->sim, time_from_ms(8000));
  sim_heal_partitions(deployment->sim);
  sim_run(deployment->sim, time_from_ms(6000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.95);
}

/* The head of the chain is partitioned from the other controllers while routers still reach it:
 * they must not keep waiting for updates from it. */
static bool the_chain_head_is_partitioned_before_a_change(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 0.5);
  sim_run(deployment->sim, time_from_ms(3000));
  uint64_t version = 1;
  for (int round = 0; round < 4; round++) {
    int cut = round % fleet->controllers;
    deployment_record_fault(deployment, NULL, 'c', 9000);
    for (int m = 0; m < fleet->controllers; m++)
      if (m != cut)
        sim_set_partition_both_ways(deployment->sim, fleet->controller[cut]->self.text,
                                    fleet->controller[m]->self.text, true);
    sim_run(deployment->sim, time_from_ms(2300 + (int64_t)sim_random(deployment->sim, 700)));
    char *text = deployment_config(deployment, version + 4, round % 2 ? "ledger" : "spare");
    operator_sim_change *change =
        deployment_put_config(deployment, version + 4, version, text, true);
    g_free(text);
    if (!change->acked_at.us)
      fleet_add_violation(fleet, "round %d: the change was not accepted (%d)", round,
                          change->status);
    version += 4;
    sim_run(deployment->sim, time_from_ms(APPLY_MS));
    for (int v = 0; v < fleet->routers; v++) {
      const routing *routing = deployment->gateway_processes[v]->gateway
                                   ? deployment->gateway_processes[v]->gateway->routing
                                   : NULL;
      if (!routing || routing->revision < version)
        fleet_add_violation(fleet, "round %d: %s still has version %" PRIu64, round,
                            fleet->router[v]->self.text, routing ? routing->revision : 0);
    }
    sim_heal_partitions(deployment->sim);
    sim_run(deployment->sim, time_from_ms(4000));
  }
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.9);
}

/* All machines lose power after a configuration change was acknowledged. The change must be there
 * after the restart, and traffic must recover. */
static bool all_machines_lose_power_after_a_change(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  sim_run(deployment->sim, time_from_ms(8000));
  char *text = deployment_config(deployment, 5, "spare");
  operator_sim_change *change = deployment_put_config(deployment, 5, 1, text, true);
  g_free(text);
  if (!change->acked_at.us)
    fleet_add_violation(fleet, "the last configuration was not accepted (%d)", change->status);
  time_us power_lost_at = deployment->sim->now;
  deployment_record_fault(deployment, NULL, 'p', 6000);
  for (int i = 0; i < fleet->controllers; i++)
    host_power_off(fleet->controller[i]);
  for (int i = 0; i < fleet->routers; i++) {
    deployment_record_fault(deployment, fleet->router[i], 'p', 6000);
    host_power_off(fleet->router[i]);
  }
  sim_run(deployment->sim, time_from_ms(3000));
  time_us power_back_at = deployment->sim->now;
  for (int i = 0; i < fleet->controllers; i++)
    host_start(fleet->controller[i]);
  for (int i = 0; i < fleet->routers; i++)
    host_start(fleet->router[i]);
  sim_run(deployment->sim, time_from_ms(25000));
  deployment_finish_traffic(deployment);
  operator_sim_read(deployment->operator);
  sim_run(deployment->sim, time_from_ms(4000));
  if (!deployment->operator->read_at.us)
    fleet_add_violation(fleet, "CONFIG nothing could be read back");
  gateway_check_recovery(deployment, power_lost_at, power_back_at);
  return deployment_finish(deployment, 0.4);
}

/* An address is given to an engine of another service some time after the engine that had it has
 * ended. */
static bool an_address_is_reused_by_another_service(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 4);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1.5);
  for (int i = 0; i < 4; i++) {
    sim_run(deployment->sim, time_from_ms(3000));
    deployment_process *old =
                           deployment
                               ->engine_processes[deployment->model_engine_count + (size_t)i % 3],
                       *next = deployment->engine_processes[deployment->model_engine_count + 3];
    deployment_record_fault(deployment, old->host, 'e', 6000);
    if (next->host->alive)
      host_kill(next->host);
    if (i % 2)
      host_power_off(old->host);
    else
      host_kill(old->host);
    char ip[48];
    g_strlcpy(ip, next->plan.ip, sizeof ip);
    g_strlcpy(next->plan.ip, old->plan.ip, sizeof ip);
    sim_run(deployment->sim, time_from_ms(2000));
    /* no controller knows of it at first */
    next->plan.faults.no_heartbeats = true;
    host_start(next->host);
    sim_run(deployment->sim, time_from_ms(1500));
    next->plan.faults.no_heartbeats = false;
    sim_run(deployment->sim, time_from_ms(2500));
    host_kill(next->host);
    g_strlcpy(next->plan.ip, ip, sizeof ip);
    host_start(next->host);
    host_start(old->host);
  }
  sim_run(deployment->sim, time_from_ms(4000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.85);
}

static bool many_attempts_fail_and_are_retried(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 4);
  for (int t = 0; t < 25; t++) {
    for (size_t i = 0; i < deployment->model_engine_count + deployment->plain_engine_count; i++) {
      registering_engine_faults *faults = &deployment->engine_processes[i]->plan.faults;
      faults->truncate_responses = 30;
      faults->truncate_after_events = 1;
    }
    sim_run(deployment->sim, time_from_ms(1000));
  }
  for (size_t i = 0; i < deployment->model_engine_count + deployment->plain_engine_count; i++)
    deployment->engine_processes[i]->plan.faults.truncate_responses = 0;
  sim_run(deployment->sim, time_from_ms(5000));
  time_us from = time_sub(deployment->sim->now, time_from_ms(2000));
  deployment_finish_traffic(deployment);
  double share = deployment_served_ratio(deployment, NULL, from, time_never());
  if (share < 0.9)
    fleet_add_violation(fleet, "only %.3f served after the engines recovered", share);
  return deployment_finish(deployment, 0.05);
}

static bool the_request_rate_spikes(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 3, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  sim_run(deployment->sim, time_from_ms(5000));
  deployment->client->rate_factor = 9;
  sim_run(deployment->sim, time_from_ms(12000));
  deployment->client->rate_factor = 1;
  time_us recovered_at = time_add(deployment->sim->now, time_from_ms(4000));
  sim_run(deployment->sim, time_from_ms(10000));
  deployment_finish_traffic(deployment);
  double share = deployment_served_ratio(deployment, NULL, recovered_at, time_never());
  if (share < 0.97)
    fleet_add_violation(fleet, "only %.3f served after the spike", share);
  return deployment_finish(deployment, 0.2);
}

static bool engines_fall_silent(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  for (int i = 0; i < 3; i++) {
    sim_run(deployment->sim, time_from_ms(3000));
    deployment_process *process = deployment->engine_processes[sim_random(
        deployment->sim, deployment->model_engine_count + deployment->plain_engine_count - 1)];
    process->plan.faults.unresponsive = true;
    sim_run(deployment->sim, time_from_ms(6000));
    process->plan.faults.unresponsive = false;
  }
  sim_run(deployment->sim, time_from_ms(5000));
  deployment_finish_traffic(deployment);
  return deployment_finish(deployment, 0.85);
}

static bool a_large_routing_is_installed(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  sim_run(deployment->sim, time_from_ms(2000));
  for (int i = 0; i < 3000; i++)
    json_appendf(
        deployment->extra_routes,
        ",{\"name\":\"r-%d\",\"host\":\"h%d.example\",\"prefix\":\"/p%d/\",\"mode\":\"safe\",\"timeoutMs\":4000,\"targetMs\":300,\"priority\":2,\"service\":\"ledger\",\"attempts\":2}",
        i, i % 50, i);
  char *text = deployment_config(deployment, 8, "spare");
  operator_sim_change *change = deployment_put_config(deployment, 8, 1, text, true);
  g_free(text);
  if (!change->acked_at.us)
    fleet_add_violation(fleet, "a large configuration was not accepted (%d)", change->status);
  sim_run(deployment->sim, time_from_ms(APPLY_MS + 200));
  client_sim_kind *late =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "late",
                                                                 .host = "h7.example",
                                                                 .path = "/p2057/",
                                                                 .mode = CLIENT_SIM_SAFE,
                                                                 .bytes = 100,
                                                                 .retries_max = 1,
                                                                 .deadline_ms = 4000,
                                                                 .target_ms = 300 });
  client_sim_request *a[20];
  for (int i = 0; i < 20; i++) {
    a[i] = client_sim_send(deployment->client, late, NULL);
    sim_run(deployment->sim, time_from_ms(50));
  }
  sim_run(deployment->sim, time_from_ms(2000));
  deployment_finish_traffic(deployment);
  int served = 0;
  for (int i = 0; i < 20; i++)
    served += a[i]->served;
  if (served < 20)
    fleet_add_violation(
        fleet, "only %d of 20 requests on a route of a large configuration were served", served);
  operator_sim_read(deployment->operator);
  sim_run(deployment->sim, time_from_ms(8000));
  if (!deployment->operator->read_at.us)
    fleet_add_violation(fleet, "CONFIG nothing could be read back");
  return deployment_finish(deployment, 0.97);
}

/* Random faults, often several at a time: no rule may be violated, and afterwards all requests are
 * served again. */
static bool anything_happens_to_gateways(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 5, 3);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  uint64_t now = 1;
  for (int i = 0; i < 12; i++) {
    sim_run(deployment->sim, time_from_ms(500 + (int64_t)sim_random(deployment->sim, 4000)));
    deployment_process *process = deployment->engine_processes[sim_random(
        deployment->sim, deployment->model_engine_count + deployment->plain_engine_count)];
    host *gateway_host = fleet->router[sim_random(deployment->sim, fleet->routers)],
         *controller_host = fleet->controller[sim_random(deployment->sim, fleet->controllers)];
    int64_t ms = 500 + (int64_t)sim_random(deployment->sim, 4000);
    switch (sim_random(deployment->sim, 12)) {
    case 0:
      deployment_record_fault(deployment, process->host, 'e', ms);
      if (process->host->alive)
        host_kill(process->host);
      break;
    case 1:
      deployment_record_fault(deployment, process->host, 'e', ms);
      if (process->host->alive)
        host_power_off(process->host);
      break;
    case 2:
      if (process->engine)
        registering_engine_sim_drain(process->engine, sim_random(deployment->sim, 2) ? 0 : 1500);
      deployment_record_fault(deployment, process->host, 'e', 5000);
      break;
    case 3:
      process->plan.faults.lose_responses = 2;
      break;
    case 4:
      process->plan.faults.truncate_responses = 3;
      process->plan.faults.truncate_after_events = 2;
      break;
    case 5:
      process->plan.faults.stale_responses = 2;
      process->plan.faults.extra_responses = 2;
      break;
    case 6:
      deployment_record_fault(deployment, gateway_host, 'k', ms);
      if (gateway_host->alive)
        host_kill(gateway_host);
      break;
    case 7:
      deployment_record_fault(deployment, gateway_host, 'f', ms);
      if (gateway_host->alive) {
        host_freeze(gateway_host);
        sim_run(deployment->sim, time_from_ms(ms));
        host_unfreeze(gateway_host);
      }
      break;
    case 8:
      deployment_record_fault(deployment, NULL, 'k', ms);
      if (controller_host->alive)
        host_kill(controller_host);
      break;
    case 9:
      deployment_record_fault(deployment, gateway_host, 'n', ms);
      sim_set_partition_both_ways(deployment->sim, gateway_host->self.text,
                                  controller_host->self.text, true);
      break;
    case 10:
      for (int n = 0; n < 10; n++) {
        char name[16];
        snprintf(name, sizeof name, "m%d", 6 + (int)sim_random(deployment->sim, 8));
        client_sim_send(deployment->client, deployment->note, name);
      }
      break;
    default: {
      uint64_t next = now + 1 + sim_random(deployment->sim, 3);
      char *text =
          deployment_config(deployment, next, sim_random(deployment->sim, 2) ? "spare" : "ledger");
      operator_sim_change *change =
          operator_sim_send(deployment->operator, next, now, false, text, true);
      for (int n = 0; n < 200 && !change->done; n++)
        sim_run(deployment->sim, time_from_ms(50));
      if (change->acked_at.us)
        now = next;
      g_free(text);
    }
    }
    sim_run(deployment->sim, time_from_ms(ms));
    if (sim_random(deployment->sim, 2))
      sim_heal_partitions(deployment->sim);
    for (size_t e = 0; e < deployment->model_engine_count + deployment->plain_engine_count; e++)
      if (!deployment->engine_processes[e]->host->alive && sim_random(deployment->sim, 2))
        host_start(deployment->engine_processes[e]->host);
    for (int n = 0; n < fleet->routers; n++)
      if (!fleet->router[n]->alive)
        host_start(fleet->router[n]);
    for (int n = 0; n < fleet->controllers; n++)
      if (!fleet->controller[n]->alive)
        host_start(fleet->controller[n]);
  }
  sim_heal_partitions(deployment->sim);
  for (size_t e = 0; e < deployment->model_engine_count + deployment->plain_engine_count; e++) {
    deployment->engine_processes[e]->plan.faults.lose_responses =
        deployment->engine_processes[e]->plan.faults.truncate_responses = 0;
    if (!deployment->engine_processes[e]->host->alive)
      host_start(deployment->engine_processes[e]->host);
  }
  /* engines that were still draining are restarted, too */
  for (int i = 0; i < 24; i++) {
    for (size_t e = 0;
         i < 14 && e < deployment->model_engine_count + deployment->plain_engine_count; e++)
      if (!deployment->engine_processes[e]->host->alive)
        host_start(deployment->engine_processes[e]->host);
    sim_run(deployment->sim, time_from_ms(1000));
  }
  time_us recovered_at = deployment->sim->now;
  sim_run(deployment->sim, time_from_ms(8000));
  deployment_finish_traffic(deployment);
  operator_sim_read(deployment->operator);
  sim_run(deployment->sim, time_from_ms(4000));
  if (!deployment->operator->read_at.us)
    fleet_add_violation(fleet, "CONFIG nothing could be read back");
  double share = deployment_served_ratio(deployment, NULL, recovered_at, time_never());
  if (share < 0.95)
    fleet_add_violation(fleet, "only %.3f served after the last fault", share);
  return deployment_finish(deployment, 0.5);
}

/* One call to an engine over HTTP. On a pooled connection, a restart that sent no signal is noticed
 * only after the next request was sent; a new connection shows it before anything is sent. */
typedef struct probe_call {
  host *host;
  http_call *call;
  int probe_result;
  bool done;
  bool force_new_connection;
  char addr[64];
} probe_call;
static void probe_run(void *p) {
  probe_call *k = p;
  fields *fields = g_string_new("Host: x\r\n");
  k->call = http_call_open_pooled(&k->host->world, k->addr, "GET", "/v1/report", fields,
                                  string_view_of(""), k->force_new_connection, time_never());
  g_string_free(fields, TRUE);
  GString *b = g_string_new(NULL);
  k->probe_result =
      http_call_read_all(k->call, b, time_add(world_now(&k->host->world), time_from_ms(2000)));
  g_string_free(b, TRUE);
  k->done = true;
}
static bool probe_is_done(sim *sim, void *p) {
  (void)sim;
  return ((probe_call *)p)->done;
}
static void probe_once(deployment *deployment, probe_call *k, bool fresh) {
  if (k->call)
    http_call_close(k->call);
  k->call = NULL;
  k->done = false;
  k->force_new_connection = fresh;
  task_start(&k->host->world.tasks, "probe", probe_run, k);
  sim_run_until(deployment->sim, probe_is_done, k, time_from_ms(3000));
}

static bool pooled_connections_notice_restarts(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_process *process = deployment->engine_processes[0];
  probe_call k = { .host = deployment->client_host };
  snprintf(k.addr, sizeof k.addr, "%s:%d", process->plan.ip, process->plan.port);
  probe_once(deployment, &k, false);
  if (k.probe_result || k.call->reused_connection || k.call->status != 200)
    fleet_add_violation(fleet, "the first call did not succeed on a new connection");
  probe_once(deployment, &k, false);
  if (k.probe_result || !k.call->reused_connection)
    fleet_add_violation(fleet, "the second call did not reuse the connection");
  probe_once(deployment, &k, true);
  if (k.probe_result || k.call->reused_connection)
    fleet_add_violation(fleet, "a call that asked for a new connection did not get one");
  host_power_off(process->host);
  sim_run(deployment->sim, time_from_ms(200));
  probe_once(deployment, &k, true);
  if (k.probe_result != E_NO_RESPONSE || k.call->sent)
    fleet_add_violation(fleet,
                        "a call to a machine without power did not fail before it was sent (%d)",
                        k.probe_result);
  http_call_close(k.call);
  k.call = NULL;
  host_start(process->host);
  sim_run(deployment->sim, time_from_ms(200));
  probe_once(deployment, &k, false);
  if (k.probe_result != E_CONNECTION_LOST_AFTER_SEND || !k.call->reused_connection || !k.call->sent)
    fleet_add_violation(
        fleet,
        "a call on a connection from before a restart did not break after it was sent (%d, reused %d)",
        k.probe_result, k.call->reused_connection);
  k.host->world.pool_close_idle(&k.host->world, k.addr);
  host_kill(process->host);
  sim_run(deployment->sim, time_from_ms(200));
  probe_once(deployment, &k, false);
  if (k.probe_result != E_NOT_CONNECTED || k.call->sent)
    fleet_add_violation(fleet,
                        "a call to a dead process was not refused before it was sent (%d, sent %d)",
                        k.probe_result, k.call->sent);
  host_start(process->host);
  probe_once(deployment, &k, false);
  sim_run(deployment->sim, time_from_ms(5200));
  probe_once(deployment, &k, false);
  if (k.probe_result || k.call->reused_connection)
    fleet_add_violation(fleet,
                        "a connection that was idle for long was not closed by the other side");
  host_freeze(process->host);
  probe_once(deployment, &k, false);
  if (k.probe_result != E_NO_RESPONSE || !k.call->sent)
    fleet_add_violation(fleet, "a call to a frozen process did not end without a response (%d)",
                        k.probe_result);
  host_unfreeze(process->host);
  sim_set_partition(deployment->sim, "unit-1", "outside", true);
  probe_once(deployment, &k, false);
  if (k.probe_result != E_NO_RESPONSE)
    fleet_add_violation(fleet, "a call over a partition did not end without a response (%d)",
                        k.probe_result);
  sim_heal_partitions(deployment->sim);
  http_call_close(k.call);
  return deployment_finish(deployment, 0);
}

/* A checker that cannot fail proves nothing: each one must report a violation that was injected for
 * it. */
static bool violation_seen(deployment *deployment, const char *what) {
  bool yes = strstr(deployment->fleet->violations->str, what) != NULL;
  if (!yes)
    fprintf(stderr, "  the checker of %s saw nothing\n", what);
  g_string_truncate(deployment->fleet->violations, 0);
  return yes;
}

/* A run that lasts into the last sixth of the grace period excuses a lost request only if the
 * request was sent soon after SIGTERM. Returns how many of the two cases the checker judges
 * correctly. */
static int check_late_requests(deployment *deployment, client_sim_attempt *attempt,
                               engine_run_record *run, const injected_fault *stop) {
  injected_fault *fault = &g_array_index(deployment->injected_faults, injected_fault,
                                         deployment->injected_faults->len - 1);
  time_us to = attempt->ended_at, run_to = run->ended_at;
  fault->from_at = time_sub(attempt->sent_at, time_from_ms(STOP_PROPAGATION_MS + 100));
  run->ended_at = time_add(fault->from_at, time_from_ms(DEPLOYMENT_GRACE_S * 1000 - 300));
  gateway_check_lost(deployment);
  int right = violation_seen(deployment, "LOST");
  fault->from_at = time_sub(attempt->sent_at, time_from_ms(STOP_PROPAGATION_MS - 100));
  run->ended_at = time_add(fault->from_at, time_from_ms(DEPLOYMENT_GRACE_S * 1000 - 300));
  gateway_check_lost(deployment);
  right += !deployment->fleet->violations->len;
  *fault = *stop;
  attempt->ended_at = to;
  run->ended_at = run_to;
  return right;
}

/* A node without faults closes pooled connections while healthy engines run requests that were sent
 * on them. Returns 1 when the checker reports it. */
static int check_unanswered_requests(deployment *deployment) {
  client_sim_attempt *broken[UNANSWERED_MAX + 1];
  int n = 0;
  for (guint i = 0; i < deployment->client->attempts->len && n <= UNANSWERED_MAX; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (attempt->outcome != 'd' || attempt->request->kind != deployment->status)
      continue;
    broken[n++] = attempt;
    attempt->outcome = 'e';
    attempt->status = 0;
    attempt->reused_connection = true;
  }
  gateway_check_unanswered(deployment);
  int right = violation_seen(deployment, "LOST");
  for (int i = 0; i < n; i++) {
    broken[i]->outcome = 'd';
    broken[i]->status = 200;
  }
  return right;
}

static bool gateway_checkers_can_fail(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment))
    return deployment_finish(deployment, 0);
  deployment_start_traffic(deployment, 1);
  sim_run(deployment->sim, time_from_ms(4000));
  client_sim_send(deployment->client, deployment->note, "m12");
  client_sim_send(deployment->client, deployment->note, "m13");
  sim_run(deployment->sim, time_from_ms(12000));
  deployment_finish_traffic(deployment);
  gateway_check_all(deployment);
  if (fleet->violations->len)
    return deployment_finish(deployment, 0);
  client_sim_attempt *once = NULL, *plain = NULL;
  engine_run_record *run = NULL;
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (attempt->outcome == 'd' && attempt->request->kind == deployment->chat)
      once = attempt;
    if (attempt->outcome == 'd' && attempt->request->kind == deployment->status)
      plain = attempt;
  }
  for (guint i = 0; once && i < deployment->log->runs->len; i++)
    if (!strcmp(((engine_run_record *)deployment->log->runs->pdata[i])->request_id,
                once->request_id))
      run = deployment->log->runs->pdata[i];
  if (!once || !plain || !run) {
    fleet_add_violation(fleet, "there is no run in which a violation can be injected");
    return deployment_finish(deployment, 0);
  }
  int shown = 0;
  char was[80];
  g_strlcpy(was, plain->run_id, sizeof was);
  g_strlcpy(plain->run_id, "e-none.1", sizeof plain->run_id);
  gateway_check_responses_not_mixed(deployment);
  shown += violation_seen(deployment, "MIXED");
  g_strlcpy(plain->run_id, was, sizeof was);
  run->request_checksum++;
  gateway_check_unasked(deployment);
  shown += violation_seen(deployment, "UNASKED");
  run->request_checksum--;
  engine_run_record *more = g_memdup2(run, sizeof *run);
  g_ptr_array_add(deployment->log->runs, more);
  gateway_check_run_once(deployment);
  shown += violation_seen(deployment, "TWICE");
  g_ptr_array_set_size(deployment->log->runs, (int)deployment->log->runs->len - 1);
  once->outcome = 's';
  once->status = 503;
  gateway_check_refused(deployment);
  shown += violation_seen(deployment, "REFUSED");
  once->outcome = 'd';
  once->status = 200;
  int n = 0;
  for (guint i = 0; i < deployment->client->attempts->len && n < 20; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (attempt->outcome == 'd' && attempt->request->kind == deployment->book) {
      attempt->outcome = 's';
      attempt->status = 404;
      n++;
    }
  }
  gateway_check_denied(deployment);
  shown += violation_seen(deployment, "DENIED");
  gateway_check_config(deployment);
  shown += violation_seen(deployment, "CONFIG");
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (attempt->outcome == 's' && attempt->status == 404) {
      attempt->outcome = 'd';
      attempt->status = 200;
    }
  }
  id service = run->service;
  run->service = id_of_text("ledger");
  gateway_check_route(deployment);
  shown += violation_seen(deployment, "ROUTE");
  run->service = service;
  engine_stop_record *e = NULL;
  for (guint i = 0; i < deployment->log->stops->len; i++)
    if (id_equal(((engine_stop_record *)deployment->log->stops->pdata[i])->engine, run->engine))
      e = deployment->log->stops->pdata[i];
  e->acked_at = time_sub(run->received_at, time_from_ms(DEPLOYMENT_DRAIN_MS + 1));
  gateway_check_drained(deployment);
  shown += violation_seen(deployment, "DRAIN");
  e->acked_at = (time_us){ 0 };
  injected_fault t = { NULL, time_sub(once->sent_at, time_from_ms(10)),
                       time_add(once->ended_at, time_from_ms(10)), 't' };
  for (int i = 0; i < fleet->routers; i++)
    if (!strncmp(fleet->router[i]->addr, once->node, strcspn(once->node, ":")))
      t.host = fleet->router[i];
  g_array_append_val(deployment->injected_faults, t);
  once->outcome = 'e';
  gateway_check_lost(deployment);
  shown += violation_seen(deployment, "LOST");
  shown += check_late_requests(deployment, once, run, &t);
  once->outcome = 'd';
  g_array_set_size(deployment->injected_faults, 0);
  shown += check_unanswered_requests(deployment);
  operator_sim_change two = { .version = 9,
                              .base = 0,
                              .text = (char *)"{}",
                              .valid = true,
                              .done = true,
                              .sent_at = { 1 },
                              .acked_at = { 2 },
                              .status = 200 };
  g_ptr_array_add(deployment->operator->changes, &two);
  gateway_check_config(deployment);
  shown += violation_seen(deployment, "CONFIG");
  g_ptr_array_set_size(deployment->operator->changes, (int)deployment->operator->changes->len - 1);
  guint len = deployment->log->runs->len;
  for (int i = 0; i < 400; i++) {
    more = g_memdup2(run, sizeof *run);
    more->outcome = 'n';
    g_ptr_array_add(deployment->log->runs, more);
  }
  gateway_check_budget(deployment);
  shown += violation_seen(deployment, "BUDGET");
  g_ptr_array_set_size(deployment->log->runs, (int)len);
  g_strlcpy(once->fault, "order", sizeof once->fault);
  gateway_check_order(deployment);
  shown += violation_seen(deployment, "ORDER");
  once->fault[0] = 0;
  engine_order_record *first =
      deployment->log->orders->len ? deployment->log->orders->pdata[0] : NULL;
  if (!first) {
    fleet_add_violation(fleet, "no order was given");
    return deployment_finish(deployment, 0);
  }
  len = deployment->log->orders->len;
  engine_order_record *order = g_memdup2(first, sizeof *first);
  order->holder = id_of_text("nobody");
  order->received_at.us++;
  g_ptr_array_add(deployment->log->orders, order);
  gateway_check_single_holder(deployment);
  shown += violation_seen(deployment, "ONE");
  g_ptr_array_set_size(deployment->log->orders, (int)len);
  first->over_capacity = true;
  gateway_check_limit(deployment);
  shown += violation_seen(deployment, "LIMIT");
  first->over_capacity = false;
  for (int i = 0; i < 30; i++) {
    order = g_memdup2(first, sizeof *first);
    order->op = 'l';
    order->from_store = true;
    order->status = 202;
    g_ptr_array_add(deployment->log->orders, order);
  }
  gateway_check_load_rate(deployment);
  shown += violation_seen(deployment, "CEILING");
  g_ptr_array_set_size(deployment->log->orders, (int)len);
  time_us half = ((client_sim_request *)
                      deployment->client->requests->pdata[deployment->client->requests->len / 2])
                     ->started_at;
  for (guint i = deployment->client->requests->len / 2; i < deployment->client->requests->len; i++)
    ((client_sim_request *)deployment->client->requests->pdata[i])->served = false;
  gateway_check_recovery(deployment, half, time_sub(half, time_from_ms(RECOVERY_S * 1000)));
  shown += violation_seen(deployment, "RECOVER");
  if (shown != 19)
    fleet_add_violation(fleet, "only %d of 19 violations were seen", shown);
  return deployment_finish(deployment, 0);
}

const test_case gateway_tests[] = {
  { "traffic_without_faults_is_served", traffic_without_faults_is_served, 4, 0, 50 },
  { "gateway_checkers_can_fail", gateway_checkers_can_fail, 3, 0, 20 },
  { "engines_crash_during_streams", engines_crash_during_streams, 4, 0, 100 },
  { "engine_machines_lose_power", engine_machines_lose_power, 4, 0, 100 },
  { "responses_are_lost_truncated_and_duplicated", responses_are_lost_truncated_and_duplicated, 3,
    0, 100 },
  { "engines_fail_intermittently", engines_fail_intermittently, 3, 0, 50 },
  { "engines_drain_with_acknowledgement", engines_drain_with_acknowledgement, 4, 0, 100 },
  { "an_engine_drains_at_short_notice", an_engine_drains_at_short_notice, 4, 0, 100 },
  { "gateways_drain_under_traffic", gateways_drain_under_traffic, 3, 0, 100 },
  { "gateways_crash_under_traffic", gateways_crash_under_traffic, 4, 0, 100 },
  { "controllers_crash_under_traffic", controllers_crash_under_traffic, 4, 0, 100 },
  { "configurations_change_race_and_are_invalid", configurations_change_race_and_are_invalid, 4, 0,
    100 },
  { "a_missing_model_is_loaded_on_demand", a_missing_model_is_loaded_on_demand, 4, 0, 100 },
  { "a_burst_of_rare_models_is_requested", a_burst_of_rare_models_is_requested, 4, 0, 100 },
  { "a_placement_coordinator_freezes_and_resumes", a_placement_coordinator_freezes_and_resumes, 4,
    0, 500 },
  { "engine_orders_are_lost", engine_orders_are_lost, 3, 0, 50 },
  { "gateways_are_partitioned_from_controllers", gateways_are_partitioned_from_controllers, 4, 0,
    100 },
  { "the_chain_head_is_partitioned_before_a_change", the_chain_head_is_partitioned_before_a_change,
    4, 0, 100 },
  { "all_machines_lose_power_after_a_change", all_machines_lose_power_after_a_change, 4, 0, 100 },
  { "an_address_is_reused_by_another_service", an_address_is_reused_by_another_service, 4, 0, 100 },
  { "many_attempts_fail_and_are_retried", many_attempts_fail_and_are_retried, 4, 0, 50 },
  { "the_request_rate_spikes", the_request_rate_spikes, 4, 0, 50 },
  { "engines_fall_silent", engines_fall_silent, 4, 0, 100 },
  { "a_large_routing_is_installed", a_large_routing_is_installed, 4, 0, 34 },
  { "anything_happens_to_gateways", anything_happens_to_gateways, 4, 0, 200 },
  { "pooled_connections_notice_restarts", pooled_connections_notice_restarts, 2, 0, 50 },
  { NULL, NULL, 0, 0, 0 }
};
