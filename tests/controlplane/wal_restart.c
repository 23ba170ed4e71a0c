/** Tests of lib/controlplane/wal.c across restarts. Data that a process wrote but did not sync can
 * be read by its next run, and could still be lost in a later power failure. Fleet: three
 * controllers, two routers, two engines. */
#include "tests.h"

/* returns a live controller with unsynced bytes, or NULL */
static host *find_host_with_unsynced_bytes(fleet *fleet) {
  for (int i = 0; i < fleet->controllers; i++)
    if (fleet->controller[i]->alive && fleet->controller[i]->disk->unsynced_writes->len)
      return fleet->controller[i];
  return NULL;
}

static bool has_unsynced_bytes(sim *sim, void *context) {
  (void)sim;
  return find_host_with_unsynced_bytes(context) != NULL;
}

static bool is_up(sim *sim, void *context) {
  host *host = context;
  (void)sim;
  return host->controller && host->controller->replica.running;
}

/* A process is killed between a write and its sync. Everything that its next run reads from the
   disk and acts on must survive a power failure. */
static bool a_kill_before_a_sync_then_a_power_loss(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int attempt = 0; attempt < 10; attempt++) {
    char *text = scenario_evacuation_json(attempt % 9);
    operator_call *call = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT",
                                     "/v1/evacuation", text, NULL, NULL);
    g_free(text);
    if (!sim_run_until(fleet->sim, has_unsynced_bytes, fleet, time_from_ms(2000))) {
      operator_call_free(call);
      continue;
    }
    host *host = find_host_with_unsynced_bytes(fleet);
    host_kill(host);
    host_start(host);
    if (!sim_run_until(fleet->sim, is_up, host, time_from_ms(3000))) {
      fleet_add_violation(fleet, "%s does not start", host->self.text);
      return false;
    }
    uint64_t seq_before = host->controller->replica.last_seq,
             promised_before = host->controller->replica.acceptor.promised.round,
             epoch_before = host->controller->replica.acceptor.epoch;
    host_power_off(host);
    host_start(host);
    if (!sim_run_until(fleet->sim, is_up, host, time_from_ms(3000))) {
      fleet_add_violation(fleet, "%s does not start again", host->self.text);
      return false;
    }
    if (host->controller->replica.last_seq < seq_before)
      fleet_add_violation(
          fleet, "%s acted on write %" PRIu64 ", and holds %" PRIu64 " after a loss of power",
          host->self.text, seq_before, host->controller->replica.last_seq);
    if (host->controller->replica.acceptor.epoch < epoch_before ||
        (host->controller->replica.acceptor.epoch == epoch_before &&
         host->controller->replica.acceptor.promised.round < promised_before))
      fleet_add_violation(fleet, "%s forgot a promise that it had read from its disk",
                          host->self.text);
    sim_run(fleet->sim, time_from_ms(4000));
    operator_call_free(call);
    if (!scenario_wait_for_chain(fleet, 3, 15000))
      return false;
    scenario_check_acknowledged_writes(fleet);
  }
  return true;
}

/* A restarted member reads an old state and the writes after it from its disk. Until it knows which
   of these writes are acknowledged, it must not confirm the old state to a router. */
static bool a_restarted_member_confirms_nothing_old(fleet *fleet) {
  if (!fleet_bring_up(fleet) || !scenario_wait_for_chain(fleet, 3, 8000))
    return false;
  uint64_t acked = 0;
  for (int i = 0; i < 5; i++) {
    char *text = scenario_evacuation_json(1 + i);
    acked = MAX(acked, fleet_put(fleet, "evacuation", text));
    g_free(text);
  }
  const view *view = &fleet_find_head(fleet)->controller->replica.view;
  host *head = sim_find_host(fleet->sim, view->chain[0].self.text),
       *middle = sim_find_host(fleet->sim, view->chain[1].self.text),
       *tail = sim_find_host(fleet->sim, view->chain[2].self.text), *router = fleet->router[0];
  host_kill(router);
  host_kill(middle);
  for (int direction = 0; direction < 2; direction++) {
    host *others[] = { tail, router };
    for (int i = 0; i < 2; i++) {
      host *from = direction ? others[i] : middle, *to = direction ? middle : others[i];
      if (others[i] == tail)
        sim_set_partition(fleet->sim, from->self.text, to->self.text, true);
    }
    host *unseen[] = { head, tail, fleet->router[1] };
    for (int i = 0; i < 3; i++) {
      host *from = direction ? unseen[i] : router, *to = direction ? router : unseen[i];
      sim_set_partition(fleet->sim, from->self.text, to->self.text, true);
    }
  }
  host_start(middle);
  host_start(router);
  for (int i = 0; i < 200; i++) {
    sim_run(fleet->sim, time_from_ms(20));
    if (router->router && router->router->config && config_sync_is_recent(router->router) &&
        router->router->sync.config_version < acked) {
      fleet_add_violation(fleet,
                          "%s was confirmed version %" PRIu64 " by a restarted member, %" PRIu64
                          " is acknowledged",
                          router->self.text, router->router->sync.config_version, acked);
      break;
    }
  }
  scenario_heal_all(fleet);
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  return true;
}

const test_case wal_restart_tests[] = { { "a_kill_before_a_sync_then_a_power_loss",
                                          a_kill_before_a_sync_then_a_power_loss, 2, 2, 100 },
                                        { "a_restarted_member_confirms_nothing_old",
                                          a_restarted_member_confirms_nothing_old, 2, 2, 1000 },
                                        { NULL, NULL, 0, 0, 0 } };
