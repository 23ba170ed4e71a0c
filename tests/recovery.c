/** How soon a fleet recovers from a loss; see recovery.h. */
#include "recovery.h"
#include <stdio.h>

/* how often the fleet is observed during a recovery */
enum { OBSERVE_INTERVAL_MS = 50 };

static time_us first_token_at(const fleet *fleet, time_us after) {
  time_us first = time_never();
  const GPtrArray *requests = fleet->callers->loadgen->requests;
  for (guint i = 0; i < requests->len; i++) {
    const loadgen_request *request = requests->pdata[i];
    if (request->started_at.us >= after.us && request->first_event_at.us &&
        request->first_event_at.us < first.us)
      first = request->first_event_at;
  }
  return first;
}

static time_us first_load_at(const fleet *fleet, time_us after) {
  time_us first = time_never();
  for (int i = 0; i < fleet->engines; i++) {
    const engine_sim *engine = fleet->engine[i]->engine;
    for (guint k = 0; engine && k < engine->orders->len; k++) {
      const engine_sim_order *order = &g_array_index(engine->orders, engine_sim_order, k);
      if (order->kind == 'l' && order->accepted && order->received_at.us >= after.us &&
          order->received_at.us < first.us)
        first = order->received_at;
    }
  }
  return first;
}

/* Returns whether a live controller or router has declared a peer gone. */
static bool loss_noticed(const fleet *fleet) {
  list_for_each (h, &fleet->sim->hosts, host, link) {
    if (!h->alive || h->role > HOST_ROUTER)
      continue;
    const node *node = h->controller ? &h->controller->node : &h->router->node;
    list_for_each (peer, &node->peers, peer_node, link)
      if (peer->gone)
        return true;
  }
  return false;
}

/* Returns whether the singletons of all live engines have a holder. Does not stop at the first
 * without one, since fleet_find_lease_holder also records a violation if there are two. */
static bool all_leases_held(fleet *fleet) {
  bool all = true;
  for (int i = 0; i < fleet->engines; i++) {
    if (!fleet->engine[i]->alive)
      continue;
    char name[64];
    singleton_engine_name(name, sizeof name, fleet->engine[i]->self);
    all &= fleet_find_lease_holder(fleet, name) != NULL;
  }
  return all;
}

recovery_times recovery_observe(fleet *fleet, int64_t span_ms, uint64_t epoch) {
  recovery_times times = { { 0 }, { 0 }, { 0 } };
  bool lease_was_lost = false;
  for (int64_t i = 0; i < span_ms / OBSERVE_INTERVAL_MS; i++) {
    sim_run(fleet->sim, time_from_ms(OBSERVE_INTERVAL_MS));
    if (!times.loss_noticed_at.us && loss_noticed(fleet))
      times.loss_noticed_at = fleet->sim->now;
    host *head = fleet_find_head(fleet);
    if (head && head->controller->replica.view.epoch != epoch && !times.view_changed_at.us)
      times.view_changed_at = fleet->sim->now;
    bool held = all_leases_held(fleet);
    lease_was_lost |= !held;
    if (held && lease_was_lost && !times.leases_granted_at.us)
      times.leases_granted_at = fleet->sim->now;
  }
  return times;
}

static double seconds_between(time_us from, time_us to) {
  return (double)time_sub(to, from).us / 1e6;
}

static void print_step(const char *step, time_us at, time_us loss_at) {
  if (at.us)
    fprintf(stderr, "  step %s %.2f\n", step, seconds_between(loss_at, at));
}

void recovery_print(const recovery_times *times, time_us loss_at) {
  if (!g_getenv("SIM_COUNT"))
    return;
  print_step("noticed", times->loss_noticed_at, loss_at);
  print_step("view", times->view_changed_at, loss_at);
  print_step("leases", times->leases_granted_at, loss_at);
}

void recovery_check(fleet *fleet, time_us loss_at, int64_t limit_ms) {
  double token_s = seconds_between(loss_at, first_token_at(fleet, loss_at)),
         load_s = seconds_between(loss_at, first_load_at(fleet, loss_at)),
         limit_s = (double)limit_ms / 1000;
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  seed %" PRIu64 ": first stream %.2f s, first load %.2f s after the loss\n",
            fleet->seed, token_s, load_s);
  if (token_s > limit_s)
    fleet_add_violation(fleet, "R12 the first stream came %.1f s after the loss", token_s);
  if (load_s > limit_s)
    fleet_add_violation(fleet, "R12 the first load came %.1f s after the loss", load_s);
}
