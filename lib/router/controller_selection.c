/**
 * Chooses the controller to poll next.
 */
#include "controller_selection.h"

/* A controller that failed is skipped for this long while others are available. */
enum { FAILURE_PENALTY_MS = 1500 };

static controller_contact *find_contact(controller_selection *selection, const char *address) {
  for (size_t i = 0; i < MAX_KNOWN_CONTROLLERS; i++)
    if (!strcmp(selection->contacts[i].address, address))
      return &selection->contacts[i];
  return NULL;
}

static controller_contact *find_or_add_contact(controller_selection *selection,
                                               const char *address) {
  controller_contact *contact = find_contact(selection, address);
  if (contact)
    return contact;
  controller_contact *oldest = &selection->contacts[0];
  for (size_t i = 1; i < MAX_KNOWN_CONTROLLERS; i++)
    if (selection->contacts[i].polled_at.us < oldest->polled_at.us)
      oldest = &selection->contacts[i];
  *oldest = (controller_contact){ .address = "" };
  g_strlcpy(oldest->address, address, sizeof oldest->address);
  return oldest;
}

void controller_selection_mark_polled(controller_selection *selection, const char *address,
                                      time_us now) {
  find_or_add_contact(selection, address)->polled_at = now;
}

void controller_selection_mark_failed(controller_selection *selection, const char *address,
                                      time_us now) {
  find_or_add_contact(selection, address)->failed_at = now;
}

/* A controller that is declared gone may have returned without being noticed yet, so it is only
 * ranked lower and not skipped permanently. */
static bool is_likely_available(const peer_node *peer, const controller_contact *contact,
                                time_us now) {
  if (peer->gone)
    return false;
  return !contact || !contact->failed_at.us ||
         time_reached(now, time_add(contact->failed_at, time_from_ms(FAILURE_PENALTY_MS)));
}

/* Sort key of a controller: available ones first, then the one polled longest ago. */
typedef struct preference {
  bool likely_available;
  int64_t polled_at_us;
} preference;

static preference preference_of(controller_selection *selection, const peer_node *peer,
                                time_us now) {
  const controller_contact *contact = find_contact(selection, peer->address);
  return (preference){ is_likely_available(peer, contact, now),
                       contact ? contact->polled_at.us : 0 };
}

/* Returns a negative value when a is preferred to b, and 0 when they are equal. */
static int compare_preferences(preference a, preference b) {
  if (a.likely_available != b.likely_available)
    return a.likely_available ? -1 : 1;
  return a.polled_at_us < b.polled_at_us ? -1 : a.polled_at_us > b.polled_at_us;
}

peer_node *controller_selection_next(controller_selection *selection, node *from,
                                     const char *except) {
  time_us now = world_now(from->world);
  peer_node *best = NULL;
  preference best_preference = { false, 0 };
  uint64_t equals = 0;
  list_for_each (peer, &from->peers, peer_node, link) {
    if (peer->role != ROLE_CONTROLLER || (except && !strcmp(peer->address, except)))
      continue;
    preference candidate = preference_of(selection, peer, now);
    int order = best ? compare_preferences(candidate, best_preference) : -1;
    if (order < 0)
      equals = 1;
    /* reservoir sampling: the n-th equal candidate replaces the choice with probability 1/n, so
       that all are equally likely */
    else if (order > 0 || world_random(from->world, ++equals))
      continue;
    best = peer;
    best_preference = candidate;
  }
  return best;
}
