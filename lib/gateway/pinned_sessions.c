/** Pinned sessions of a trial: a hash set, and an array in insertion order. */
#include "pinned_sessions.h"

/** Maximum number of sessions in one message: 16 KB. */
enum { CHUNK_SESSIONS = 2048 };

void pinned_sessions_init(pinned_sessions *sessions) {
  sessions->index = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  sessions->order = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void pinned_sessions_free(pinned_sessions *sessions) {
  g_hash_table_destroy(sessions->index);
  g_array_free(sessions->order, TRUE);
}

bool pinned_sessions_contain(const pinned_sessions *sessions, uint64_t session) {
  return g_hash_table_contains(sessions->index, &session);
}

bool pinned_sessions_are_full(const pinned_sessions *sessions) {
  return sessions->order->len >= MAX_PINNED_SESSIONS;
}

bool pinned_sessions_add(pinned_sessions *sessions, uint64_t session) {
  if (pinned_sessions_contain(sessions, session) || pinned_sessions_are_full(sessions))
    return false;
  g_hash_table_add(sessions->index, g_memdup2(&session, sizeof session));
  g_array_append_val(sessions->order, session);
  return true;
}

size_t pinned_sessions_chunk(const pinned_sessions *sessions, size_t from, uint64_t **first) {
  size_t count = sessions->order->len;
  *first = from < count ? &g_array_index(sessions->order, uint64_t, from) : NULL;
  return from < count ? MIN((size_t)CHUNK_SESSIONS, count - from) : 0;
}
