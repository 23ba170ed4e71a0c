#include "controller_selection.h"

/* a machine that failed is passed over for this long while there are others */
enum { FAILURE_PENALTY_MS = 1500 };

static controller_contact *find_contact(controller_selection *s, const char *addr) {
  for (size_t i = 0; i < MAX_KNOWN_CONTROLLERS; i++)
    if (!strcmp(s->contacts[i].address, addr))
      return &s->contacts[i];
  return NULL;
}

static controller_contact *find_or_add_contact(controller_selection *s, const char *addr) {
  controller_contact *known = find_contact(s, addr);
  if (known)
    return known;
  controller_contact *oldest = &s->contacts[0];
  for (size_t i = 1; i < MAX_KNOWN_CONTROLLERS; i++)
    if (s->contacts[i].asked_at.us < oldest->asked_at.us)
      oldest = &s->contacts[i];
  *oldest = (controller_contact){ .address = "" };
  g_strlcpy(oldest->address, addr, sizeof oldest->address);
  return oldest;
}

void controller_selection_mark_asked(controller_selection *s, const char *addr, time_us now) {
  find_or_add_contact(s, addr)->asked_at = now;
}

void controller_selection_mark_failed(controller_selection *s, const char *addr, time_us now) {
  find_or_add_contact(s, addr)->failed_at = now;
}

/* a machine that is held to be gone may be back before anybody has said so, so it is asked at times
 */
static bool is_likely_available(const peer_node *peer, const controller_contact *known,
                                time_us now) {
  if (peer->gone)
    return false;
  return !known || !known->failed_at.us ||
         time_reached(now, time_add(known->failed_at, time_from_ms(FAILURE_PENALTY_MS)));
}

peer_node *controller_selection_next(controller_selection *s, node *from, const char *except) {
  time_us now = world_now(from->world);
  peer_node *best = NULL;
  bool best_promises = false;
  int64_t best_asked = 0;
  uint64_t equals = 0;
  list_for_each (peer, &from->peers, peer_node, link) {
    if (peer->role != ROLE_CONTROLLER || (except && !strcmp(peer->address, except)))
      continue;
    const controller_contact *known = find_contact(s, peer->address);
    bool promises = is_likely_available(peer, known, now);
    int64_t asked = known ? known->asked_at.us : 0;
    bool better =
        !best || (promises && !best_promises) || (promises == best_promises && asked < best_asked);
    bool equal = best && promises == best_promises && asked == best_asked;
    if (better)
      equals = 1;
    else if (!equal || world_random(from->world, ++equals))
      continue;
    best = peer;
    best_promises = promises;
    best_asked = asked;
  }
  return best;
}
