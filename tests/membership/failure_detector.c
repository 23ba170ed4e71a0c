/** Tests of the heartbeat ring, and of when a silent peer is declared gone. */
#include "tests.h"
#include <stdlib.h>

static node *node_of(host *host) {
  return !host->alive       ? NULL
         : host->controller ? &host->controller->node
         : host->router     ? &host->router->node
                            : NULL;
}

static int compare_positions(const void *a, const void *b) {
  const ring_position *x = a, *y = b;
  return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/* A direct implementation of the rule for watchers: in ring order after `who`, first processes
 * whose zone is not yet represented, then the others. */
static int expected_watchers(node *node, id who, ring_position watchers[HEARTBEAT_WATCHERS]) {
  ring_position all[200];
  int n = 0, chosen = 0;
  uint64_t from = hash_two_names("ring", who.text);
  if (!id_equal(who, node->settings.self)) {
    all[n] = (ring_position){ hash_two_names("ring", node->settings.self.text) - from,
                              node->settings.self, node->settings.zone, "" };
    g_strlcpy(all[n++].address, node->settings.address, 48);
  }
  list_for_each (peer, &node->peers, peer_node, link) {
    if (peer->gone || id_equal(peer->self, who))
      continue;
    all[n] = (ring_position){ hash_two_names("ring", peer->self.text) - from, peer->self,
                              peer->zone, "" };
    g_strlcpy(all[n++].address, peer->address, 48);
  }
  qsort(all, (size_t)n, sizeof *all, compare_positions);
  for (int round = 0; round < 2; round++)
    for (int i = 0; i < n && chosen < HEARTBEAT_WATCHERS; i++) {
      bool skip = false;
      for (int k = 0; k < chosen; k++)
        skip |= id_equal(watchers[k].self, all[i].self) ||
                (!round && id_equal(watchers[k].zone, all[i].zone));
      if (!skip)
        watchers[chosen++] = all[i];
    }
  return chosen;
}

static void check_watchers(fleet *fleet, node *node, id who) {
  ring_position actual[HEARTBEAT_WATCHERS], expected[HEARTBEAT_WATCHERS];
  int n = heartbeat_ring_watchers(node, who, actual), k = expected_watchers(node, who, expected);
  if (n != k) {
    fleet_add_violation(fleet, "%s names %d watchers of %s, not %d", node->settings.self.text, n,
                        who.text, k);
    return;
  }
  for (int i = 0; i < n; i++)
    if (!id_equal(actual[i].self, expected[i].self) ||
        !id_equal(actual[i].zone, expected[i].zone) ||
        strcmp(actual[i].address, expected[i].address))
      fleet_add_violation(fleet, "%s names %s as watcher %d of %s, not %s",
                          node->settings.self.text, actual[i].self.text, i, who.text,
                          expected[i].self.text);
}

static void append_text(void *p) {
  g_string_append(((void **)p)[0], ((void **)p)[1]);
}

static time_us constant_time(void *p) {
  (void)p;
  return (time_us){ 1000 };
}

/* An urgent task runs before the other ready tasks, which run in the order in which they were
 * started. */
static bool urgent_tasks_run_first(fleet *fleet) {
  scheduler scheduler;
  scheduler_init(&scheduler, constant_time, NULL);
  GString *order = g_string_new(NULL);
  void *contexts[3][2] = { { order, "a" }, { order, "b" }, { order, "!" } };
  task_start(&scheduler, "a", append_text, contexts[0]);
  task_start(&scheduler, "b", append_text, contexts[1]);
  task_start_urgent(&scheduler, "!", append_text, contexts[2]);
  scheduler_run(&scheduler);
  if (strcmp(order->str, "!ab"))
    fleet_add_violation(fleet, "tasks ran as %s", order->str);
  g_string_free(order, TRUE);
  scheduler_stop(&scheduler);
  scheduler_free(&scheduler);
  return true;
}

/* While processes start, end, are partitioned and come back, each process computes at any time the
 * watchers that the rule requires. */
static bool watchers_follow_the_ring(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 0; i < 60; i++) {
    host *subject = fleet->router[sim_random(fleet->sim, (uint64_t)fleet->routers)],
         *other = fleet->router[sim_random(fleet->sim, (uint64_t)fleet->routers)];
    switch (sim_random(fleet->sim, 5)) {
    case 0:
      if (subject->alive)
        host_kill(subject);
      break;
    case 1:
      if (!subject->alive)
        host_start(subject);
      break;
    case 2:
      if (subject != other)
        sim_set_partition_both_ways(fleet->sim, subject->self.text, other->self.text, true);
      break;
    case 3:
      sim_heal_partitions(fleet->sim);
      break;
    default:
      if (subject->alive && !subject->frozen)
        host_freeze(subject);
      else if (subject->frozen)
        host_unfreeze(subject);
    }
    sim_run(fleet->sim, time_from_ms(50 + (int64_t)sim_random(fleet->sim, 1500)));
    list_for_each (x, &fleet->sim->hosts, host, link) {
      node *node = node_of(x);
      if (!node)
        continue;
      check_watchers(fleet, node, node->settings.self);
      list_for_each (peer, &node->peers, peer_node, link)
        check_watchers(fleet, node, peer->self);
    }
  }
  scenario_heal_all(fleet);
  return !fleet->violations->len;
}

/* The heartbeat ring is not rebuilt while the fleet does not change. */
static bool ring_is_not_rebuilt_without_changes(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  sim_run(fleet->sim, time_from_ms(10000));
  uint64_t builds_before = 0, builds_after = 0;
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (node_of(h))
      builds_before += node_of(h)->ring.build_count;
  sim_run(fleet->sim, time_from_ms(10000));
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (node_of(h))
      builds_after += node_of(h)->ring.build_count;
  if (builds_after != builds_before)
    fleet_add_violation(fleet, "the ring was built %" PRIu64 " times in 10 s without changes",
                        builds_after - builds_before);
  return !fleet->violations->len;
}

/* Sets the lateness of a process in the peer tables of all others, and returns how many of them
 * have declared it gone. */
static int set_lateness_and_count_gone(fleet *fleet, host *subject, int64_t late_ms) {
  int gone = 0;
  for (int i = 0; i < fleet->routers + fleet->controllers; i++) {
    host *host = i < fleet->routers ? fleet->router[i] : fleet->controller[i - fleet->routers];
    peer_node *peer = host == subject ? NULL : peer_table_find(node_of(host), subject->self);
    if (!peer)
      continue;
    gone += peer->gone;
    peer->lateness_ms = late_ms;
  }
  return gone;
}

/* Silences a process for a time, and returns how many others have declared it gone by then. */
static int gone_after_silence(fleet *fleet, host *silent, int64_t late_ms, int64_t silent_ms) {
  enum { IN_FLIGHT_MS = 200, BACK_MS = 5000 };
  host_freeze(silent);
  sim_run(fleet->sim, time_from_ms(IN_FLIGHT_MS));
  set_lateness_and_count_gone(fleet, silent, late_ms);
  sim_run(fleet->sim, time_from_ms(silent_ms));
  int gone = set_lateness_and_count_gone(fleet, silent, late_ms);
  host_unfreeze(silent);
  sim_run(fleet->sim, time_from_ms(BACK_MS));
  return gone;
}

/* A peer that reports lateness may be silent for that much longer, up to a limit. */
static bool late_peers_get_a_longer_timeout(fleet *fleet) {
  enum { SHORT_MS = 2000, LONG_MS = 4500, LATE_MS = 1300, VERY_LATE_MS = 60000 };
  if (!fleet_bring_up(fleet))
    return false;
  sim_run(fleet->sim, time_from_ms(5000));
  host *silent = fleet->router[0];
  if (!gone_after_silence(fleet, silent, 0, SHORT_MS))
    fleet_add_violation(fleet, "a silence of %d ms is not detected", SHORT_MS);
  int gone = gone_after_silence(fleet, silent, LATE_MS, SHORT_MS);
  if (gone)
    fleet_add_violation(fleet, "%d processes have declared a late peer gone", gone);
  if (!gone_after_silence(fleet, silent, VERY_LATE_MS, LONG_MS))
    fleet_add_violation(fleet, "a silence of %d ms of a late peer is not detected", LONG_MS);
  return true;
}

const test_case failure_detector_tests[] = {
  { "late_peers_get_a_longer_timeout", late_peers_get_a_longer_timeout, 6, 2, 34 },
  { "urgent_tasks_run_first", urgent_tasks_run_first, 1, 1, 20 },
  { "watchers_follow_the_ring", watchers_follow_the_ring, 9, 2, 34 },
  { "ring_is_not_rebuilt_without_changes", ring_is_not_rebuilt_without_changes, 9, 2, 10 },
  { NULL, NULL, 0, 0, 0 }
};
