#include "sources.h"

/* a machine that failed is passed over for this long while there are others */
enum { FAILED_MS = 1500 };

static source *find(sources *s, const char *addr) {
  for (size_t i = 0; i < SOURCES_MOST; i++)
    if (!strcmp(s->all[i].addr, addr))
      return &s->all[i];
  return NULL;
}

static source *find_or_add(sources *s, const char *addr) {
  source *known = find(s, addr);
  if (known)
    return known;
  source *oldest = &s->all[0];
  for (size_t i = 1; i < SOURCES_MOST; i++)
    if (s->all[i].asked.us < oldest->asked.us)
      oldest = &s->all[i];
  *oldest = (source){ .addr = "" };
  g_strlcpy(oldest->addr, addr, sizeof oldest->addr);
  return oldest;
}

void sources_asked(sources *s, const char *addr, time_us now) {
  find_or_add(s, addr)->asked = now;
}

void sources_failed(sources *s, const char *addr, time_us now) {
  find_or_add(s, addr)->failed = now;
}

/* a machine that is held to be gone may be back before anybody has said so, so it is asked at times
 */
static bool is_promising(const peer_node *peer, const source *known, time_us now) {
  if (peer->gone)
    return false;
  return !known || !known->failed.us ||
         time_reached(now, time_add(known->failed, time_from_ms(FAILED_MS)));
}

peer_node *sources_next(sources *s, node *from, const char *except) {
  time_us now = world_now(from->world);
  peer_node *best = NULL;
  bool best_promises = false;
  int64_t best_asked = 0;
  uint64_t equals = 0;
  list_for_each (peer, &from->peers, peer_node, link) {
    if (peer->role != ROLE_CONTROLLER || (except && !strcmp(peer->address, except)))
      continue;
    const source *known = find(s, peer->address);
    bool promises = is_promising(peer, known, now);
    int64_t asked = known ? known->asked.us : 0;
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
