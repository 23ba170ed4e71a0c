/** Sessions that stay with the control policy although the trial's random split assigns them to the
 * candidate, because the control policy served them before the candidate was on. The set also keeps
 * the order of insertion, so that it can be exchanged in chunks. */
#ifndef GATEWAY_PINNED_SESSIONS_H
#define GATEWAY_PINNED_SESSIONS_H
#include "base.h"

/** Maximum number of pinned sessions of a trial: 1 MB of ids, and as much in each message exchange
 * that has to transfer them. A gateway that reaches it switches the candidate off. */
enum { MAX_PINNED_SESSIONS = 1 << 17 };

typedef struct pinned_sessions {
  GHashTable *index; /* set of session ids */
  GArray *order;     /* of uint64_t, in order of insertion */
} pinned_sessions;

void pinned_sessions_init(pinned_sessions *sessions);
void pinned_sessions_free(pinned_sessions *sessions);
/** True when the session was new and was added; false also when the set is full. */
bool pinned_sessions_add(pinned_sessions *sessions, uint64_t session);
bool pinned_sessions_contain(const pinned_sessions *sessions, uint64_t session);
bool pinned_sessions_are_full(const pinned_sessions *sessions);
/** The sessions from an index on that fit into one message: returns their number and sets *first to
 * the first of them (valid until the next insertion; NULL when there are none). */
size_t pinned_sessions_chunk(const pinned_sessions *sessions, size_t from, uint64_t **first);
#endif
