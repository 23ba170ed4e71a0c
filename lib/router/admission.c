/**
 * Decides whether this router may accept new work.
 */
#include "admission.h"
#include "router.h"

enum {
  /* Requests wait for admission until this long after it was lost, because short gaps resolve
     without intervention. */
  MAX_ADMISSION_GAP_MS = 1000,
  RECHECK_INTERVAL_MS = 100
};

/* The highest number of routers that this router, or a router that was confirmed recently, knows.
 */
static int count_known_routers(router *router) {
  int count = peer_table_count(&router->node, ROLE_ROUTER);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (peer->role == ROLE_ROUTER &&
        router_happened_within(router, peer->confirmed_at, CONFIRMATION_VALID_MS))
      count = MAX(count, (int)peer->known_routers);
  return count;
}

/* True when more than half of the routers, including this one, have been confirmed by a controller
 * since they started and have no newer configuration. */
static bool majority_confirmed(router *router) {
  int count = router->sync.ever_confirmed;
  list_for_each (peer, &router->node.peers, peer_node, link)
    count += peer->role == ROLE_ROUTER &&
             router_happened_within(router, peer->confirmed_at, CONFIRMATION_VALID_MS);
  return count > count_known_routers(router) / 2;
}

/* True when more than half of the routers, including this one, have no valid engine list. */
static bool majority_without_list(router *router) {
  int count = 1;
  list_for_each (peer, &router->node.peers, peer_node, link)
    count += peer->role == ROLE_ROUTER &&
             router_happened_within(router, peer->list_outdated_at, ENGINE_LIST_VALID_MS);
  return count > count_known_routers(router) / 2;
}

bool admission_may_admit(router *router) {
  bool admits =
      router->config && router->engine_list.known &&
      (config_sync_is_recent(router) || majority_confirmed(router)) &&
      (router_happened_within(router, router->engine_list.received_at, ENGINE_LIST_VALID_MS) ||
       majority_without_list(router));
  if (admits)
    router->admission.lost_at = (time_us){ 0 };
  else if (!router->admission.lost_at.us)
    router->admission.lost_at = world_now(router->node.world);
  return admits;
}

bool admission_wait(router *router) {
  while (!admission_may_admit(router)) {
    time_us deadline = time_add(router->admission.lost_at, time_from_ms(MAX_ADMISSION_GAP_MS)),
            now = world_now(router->node.world),
            recheck_at = time_add(now, time_from_ms(RECHECK_INTERVAL_MS));
    if (time_reached(now, deadline))
      return false;
    if (condition_wait(&router->node.world->tasks, &router->state_changed,
                       recheck_at.us < deadline.us ? recheck_at : deadline) == WAKE_STOPPED)
      return false;
  }
  return true;
}
