/**
 * Tests of lib/controlplane/chain_rules.c: which replicas may act as head or tail and count as in
 * sync while members rejoin. Fleet: three or five controllers, two routers, two engines.
 */
#include "tests.h"
#include <stdio.h>

/* starts five controllers; a write must be synced on two replicas */
static bool start_five(fleet *fleet) {
  chain_add_controller(fleet, 4);
  chain_add_controller(fleet, 5);
  chain_bootstrap_by_address(fleet, 3);
  chain_set_size(fleet, 5, 2, 1);
  if (!fleet_bring_up(fleet) || !scenario_wait_for_chain(fleet, 5, 15000))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  return true;
}

static host *chain_host(fleet *fleet, const view *view, int index) {
  for (int i = 0; i < fleet->controllers; i++)
    if (id_equal(fleet->controller[i]->self, view->chain[index].self))
      return fleet->controller[i];
  return NULL;
}

/* Checks that no acting tail has committed less than an acting tail or head had before. Returns the
 * highest sequence number that has been committed so far. */
static uint64_t check_tails(fleet *fleet, uint64_t highest) {
  uint64_t new_highest = highest;
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    if (!host->alive || host->frozen || !host->controller)
      continue;
    replica *replica = &host->controller->replica;
    if (replica_is_acting_tail(replica) && replica->committed.seq < highest)
      fleet_add_violation(
          fleet, "the tail %s answers reads at write %" PRIu64 ", %" PRIu64 " was committed before",
          host->self.text, replica->committed.seq, highest);
    if (replica_is_acting_tail(replica) || replica_is_acting_head(replica))
      new_highest = MAX(new_highest, replica->committed.seq);
  }
  return new_highest;
}

/* waits up to a minute for each call to end, and frees it */
static void wait_and_free_calls(fleet *fleet, GPtrArray *calls) {
  for (guint i = 0; i < calls->len; i++) {
    operator_call *call = calls->pdata[i];
    for (int k = 0; k < 60 && !call->done; k++)
      sim_run(fleet->sim, time_from_ms(1000));
    if (!call->done)
      fleet_add_violation(fleet, "a call has not ended after a minute");
    else
      operator_call_free(call);
  }
  g_ptr_array_free(calls, TRUE);
}

/* Two members of a chain of five return in the same view during steady writes, the first of them
   with a slow disk. Neither may serve reads before it has all committed records. */
static bool two_members_rejoin_at_once(fleet *fleet) {
  if (!start_five(fleet))
    return false;
  uint64_t highest = 0;
  bool acts = true;
  GPtrArray *calls = g_ptr_array_new();
  for (int turn = 0; turn < 4 && acts && !fleet->violations->len; turn++) {
    host *head = fleet_find_head(fleet);
    acts = head != NULL;
    if (!acts)
      break;
    view view = head->controller->replica.view;
    host *first = chain_host(fleet, &view, 3), *second = chain_host(fleet, &view, 4);
    host_power_off(first);
    host_power_off(second);
    acts = scenario_wait_for_chain(fleet, 3, 10000);
    first->disk->operation_delay_ms = 100 + (int64_t)sim_random(fleet->sim, 150);
    host_start(first);
    host_start(second);
    for (int i = 0; i < 8000 && !fleet->violations->len; i++) {
      host *to = fleet_find_head(fleet);
      if (to && i % 60 == 0) {
        char *evacuation = scenario_evacuation_json(1 + i / 60 % 9);
        g_ptr_array_add(calls,
                        fleet_send(fleet, to, "PUT", "/v1/evacuation", evacuation, NULL, NULL));
        g_free(evacuation);
      }
      sim_run(fleet->sim, time_from_ms(1));
      highest = check_tails(fleet, highest);
    }
    first->disk->operation_delay_ms = 0;
    acts = acts && scenario_wait_for_chain(fleet, 5, 15000);
  }
  wait_and_free_calls(fleet, calls);
  scenario_check_acknowledged_writes(fleet);
  return acts && !fleet->violations->len;
}

/* The chain shrinks to its head, and the head restarts. It must not serve reads from the snapshot
 * at the start of its log, which is older than what was acknowledged. */
static bool a_lone_member_restarts(fleet *fleet) {
  if (!fleet_bring_up(fleet) || !scenario_wait_for_chain(fleet, 3, 10000))
    return false;
  fleet_start_sampling(fleet);
  uint64_t highest = 0;
  for (int i = 0; i < 5; i++) {
    char *evacuation = scenario_evacuation_json(1 + i);
    fleet_put(fleet, "evacuation", evacuation);
    g_free(evacuation);
  }
  highest = check_tails(fleet, highest);
  host *head = fleet_find_head(fleet), *tail = fleet_find_tail(fleet);
  if (!head || !tail)
    return false;
  view view = head->controller->replica.view;
  host *middle = chain_host(fleet, &view, 1);
  host_power_off(middle);
  if (!scenario_wait_for_chain(fleet, 2, 10000))
    return false;
  highest = check_tails(fleet, highest);
  host_freeze(tail);
  host_start(middle);
  for (int i = 0; i < 6000 && head->controller->replica.view.chain_length > 1; i++)
    sim_run(fleet->sim, time_from_ms(1));
  host_kill(head);
  host_start(head);
  for (int i = 0; i < 6000 && !fleet->violations->len; i++) {
    sim_run(fleet->sim, time_from_ms(1));
    highest = check_tails(fleet, highest);
  }
  host_unfreeze(tail);
  if (!scenario_wait_for_chain(fleet, 3, 15000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  return !fleet->violations->len;
}

const test_case rejoin_tests[] = { { "two_members_rejoin_at_once", two_members_rejoin_at_once, 2, 2,
                                     100 },
                                   { "a_lone_member_restarts", a_lone_member_restarts, 2, 2, 100 },
                                   { NULL, NULL, 0, 0, 0 } };
