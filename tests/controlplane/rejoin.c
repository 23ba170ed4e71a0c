/**
 * Tests of the rules of lib/controlplane/chain_rules.c: which replicas may lead, answer reads and
 * count as in sync, while members rejoin. Fleet: three or five controllers, two routers, two
 * engines.
 */
#include "tests.h"
#include <stdio.h>

static bool found_five(fleet *fleet) {
  core_add_controller(fleet, 4);
  core_add_controller(fleet, 5);
  for (int i = 0; i < fleet->controllers; i++) {
    settings *settings = &fleet->controller[i]->settings;
    memset(settings->founders, 0, sizeof settings->founders);
    settings->founder_count = 3;
    for (int k = 0; k < 3; k++)
      g_strlcpy(settings->founder_addresses[k], fleet->controller[(k + i) % 3]->addr,
                sizeof settings->founder_addresses[k]);
    settings->chain_members = 5;
    settings->write_replicas = 2;
    settings->write_zones = 1;
  }
  if (!fleet_up(fleet) || !wait_chain(fleet, 5, 15000))
    return false;
  check_watch(fleet);
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.founder_count = 0;
  return true;
}

static host *chain_host(fleet *fleet, const view *view, int place) {
  for (int i = 0; i < fleet->controllers; i++)
    if (id_equal(fleet->controller[i]->self, view->chain[place].self))
      return fleet->controller[i];
  return NULL;
}

/* an acting tail that has less than another acting tail or head had committed before */
static uint64_t tails_go_forward(fleet *fleet, uint64_t most) {
  uint64_t now = most;
  for (int i = 0; i < fleet->controllers; i++) {
    host *host = fleet->controller[i];
    if (!host->alive || host->frozen || !host->controller)
      continue;
    replica *core = &host->controller->replica;
    if (replica_is_acting_tail(core) && core->committed.seq < most)
      violation(fleet,
                "the tail %s answers reads at write %" PRIu64 ", %" PRIu64 " was committed before",
                host->self.text, core->committed.seq, most);
    if (replica_is_acting_tail(core) || replica_is_acting_head(core))
      now = MAX(now, core->committed.seq);
  }
  return now;
}

/* frees the calls, all of which have ended by then */
static void calls_end(fleet *fleet, GPtrArray *calls) {
  for (guint i = 0; i < calls->len; i++) {
    op_call *call = calls->pdata[i];
    for (int k = 0; k < 60 && !call->done; k++)
      sim_run(fleet->sim, time_from_ms(1000));
    if (!call->done)
      violation(fleet, "a call has not ended after a minute");
    else
      call_free(call);
  }
  g_ptr_array_free(calls, TRUE);
}

/* given a chain of five under steady writes, two members come back in the same view, the first of
   them with a slow disk: neither answers reads before it holds what was committed */
static bool two_members_come_back_at_once(fleet *fleet) {
  if (!found_five(fleet))
    return false;
  uint64_t most = 0;
  bool back = true;
  GPtrArray *calls = g_ptr_array_new();
  for (int turn = 0; turn < 4 && back && !fleet->faults->len; turn++) {
    host *head = fleet_head(fleet);
    back = head != NULL;
    if (!back)
      break;
    view v = head->controller->replica.view;
    host *first = chain_host(fleet, &v, 3), *second = chain_host(fleet, &v, 4);
    host_power(first);
    host_power(second);
    back = wait_chain(fleet, 3, 10000);
    first->disk->slow_ms = 100 + (int64_t)sim_draw(fleet->sim, 150);
    host_start(first);
    host_start(second);
    for (int i = 0; i < 8000 && !fleet->faults->len; i++) {
      host *to = fleet_head(fleet);
      if (to && i % 60 == 0) {
        char *evacuation = area_text(1 + i / 60 % 9);
        g_ptr_array_add(calls,
                        fleet_send(fleet, to, "PUT", "/v1/evacuation", evacuation, NULL, NULL));
        g_free(evacuation);
      }
      sim_run(fleet->sim, time_from_ms(1));
      most = tails_go_forward(fleet, most);
    }
    first->disk->slow_ms = 0;
    back = back && wait_chain(fleet, 5, 15000);
  }
  calls_end(fleet, calls);
  acked_stand(fleet);
  return back && !fleet->faults->len;
}

/* given a chain that has shrunk to its head, a restart of the head: it answers no reads by the
 * snapshot that its disk begins with, older than what was acknowledged */
static bool a_lone_member_restarts(fleet *fleet) {
  if (!fleet_up(fleet) || !wait_chain(fleet, 3, 10000))
    return false;
  check_watch(fleet);
  uint64_t most = 0;
  for (int i = 0; i < 5; i++) {
    char *evacuation = area_text(1 + i);
    fleet_put(fleet, "evacuation", evacuation);
    g_free(evacuation);
  }
  most = tails_go_forward(fleet, most);
  host *head = fleet_head(fleet), *tail = fleet_tail(fleet);
  if (!head || !tail)
    return false;
  view v = head->controller->replica.view;
  host *middle = chain_host(fleet, &v, 1);
  host_power(middle);
  if (!wait_chain(fleet, 2, 10000))
    return false;
  most = tails_go_forward(fleet, most);
  host_freeze(tail);
  host_start(middle);
  for (int i = 0; i < 6000 && head->controller->replica.view.chain_length > 1; i++)
    sim_run(fleet->sim, time_from_ms(1));
  host_kill(head);
  host_start(head);
  for (int i = 0; i < 6000 && !fleet->faults->len; i++) {
    sim_run(fleet->sim, time_from_ms(1));
    most = tails_go_forward(fleet, most);
  }
  host_wake(tail);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  acked_stand(fleet);
  return !fleet->faults->len;
}

const test_case rejoin_tests[] = { { "two_members_come_back_at_once", two_members_come_back_at_once,
                                     2, 2, 100 },
                                   { "a_lone_member_restarts", a_lone_member_restarts, 2, 2, 100 },
                                   { NULL, NULL, 0, 0, 0 } };
