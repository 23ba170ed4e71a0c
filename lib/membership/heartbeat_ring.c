/** The heartbeat ring: see heartbeat_ring.h. */
#include "heartbeat_ring.h"
#include "node.h"

/* hashed together with the name of a process to get its position; the same in all processes of a
 * fleet */
#define RING_HASH_KEY "ring"

void heartbeat_ring_init(heartbeat_ring *ring) {
  ring->positions = g_array_new(FALSE, TRUE, sizeof(ring_position));
  ring->stale = true;
  ring->zone_count = 0;
  ring->build_count = 0;
}

void heartbeat_ring_free(heartbeat_ring *ring) {
  g_array_free(ring->positions, TRUE);
}

void heartbeat_ring_invalidate(heartbeat_ring *ring) {
  ring->stale = true;
}

static ring_position *position_at(const heartbeat_ring *ring, guint index) {
  return &g_array_index(ring->positions, ring_position, index);
}

static int compare_positions(const void *left, const void *right) {
  const ring_position *a = left, *b = right;
  return a->hash < b->hash ? -1 : a->hash > b->hash;
}

static bool has_zone(const heartbeat_ring *ring, id zone) {
  for (guint i = 0; i < ring->positions->len; i++)
    if (id_equal(position_at(ring, i)->zone, zone))
      return true;
  return false;
}

static void add_position(heartbeat_ring *ring, id self, id zone, const char *address) {
  ring_position position = { hash_two_names(RING_HASH_KEY, self.text), self, zone, "" };
  g_strlcpy(position.address, address, sizeof position.address);
  ring->zone_count += !has_zone(ring, zone);
  g_array_append_val(ring->positions, position);
}

static void rebuild_if_stale(node *node) {
  heartbeat_ring *ring = &node->ring;
  if (!ring->stale)
    return;
  ring->stale = false;
  ring->build_count++;
  ring->zone_count = 0;
  g_array_set_size(ring->positions, 0);
  add_position(ring, node->settings.self, node->settings.zone, node->settings.address);
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      add_position(ring, peer->self, peer->zone, peer->address);
  g_array_sort(ring->positions, compare_positions);
}

/* Returns the index of the first position whose hash is not lower than `hash`; the ring's length if
 * there is none. */
static guint find_first_from(const heartbeat_ring *ring, uint64_t hash) {
  guint low = 0, high = ring->positions->len;
  while (low < high) {
    guint middle = (low + high) / 2;
    if (position_at(ring, middle)->hash < hash)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

static bool may_watch(const ring_position *candidate, id who, const ring_position *watchers,
                      int count, bool one_per_zone) {
  if (id_equal(candidate->self, who))
    return false;
  for (int i = 0; i < count; i++)
    if (id_equal(watchers[i].self, candidate->self) ||
        (one_per_zone && id_equal(watchers[i].zone, candidate->zone)))
      return false;
  return true;
}

/* Makes one pass around the ring from `start`. Returns the number of watchers after it. */
static int add_watchers(const heartbeat_ring *ring, guint start, id who, ring_position *watchers,
                        int count, int max, bool one_per_zone) {
  guint length = ring->positions->len;
  for (guint i = 0; i < length && count < max; i++) {
    const ring_position *candidate = position_at(ring, (start + i) % length);
    if (may_watch(candidate, who, watchers, count, one_per_zone))
      watchers[count++] = *candidate;
  }
  return count;
}

int heartbeat_ring_watchers(node *node, id who, ring_position watchers[HEARTBEAT_WATCHERS]) {
  rebuild_if_stale(node);
  const heartbeat_ring *ring = &node->ring;
  guint start = find_first_from(ring, hash_two_names(RING_HASH_KEY, who.text));
  int first_pass_max = MIN(HEARTBEAT_WATCHERS, ring->zone_count);
  int count = add_watchers(ring, start, who, watchers, 0, first_pass_max, true);
  return add_watchers(ring, start, who, watchers, count, HEARTBEAT_WATCHERS, false);
}
