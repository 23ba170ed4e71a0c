#ifndef MEMBERSHIP_PEER_TABLE_H
#define MEMBERSHIP_PEER_TABLE_H
/**
 * The peer table: what this process knows of each other process of the fleet.
 *
 * Entries come from two sources. Each message of a peer carries the peer's own NodeInfo ("direct"
 * information); gossip carries what other processes know of it. Entries are merged by incarnation.
 *
 * Incarnations distinguish the runs of a process without clocks or a disk. A process starts with
 * incarnation 1 and a random nonce. When it hears of its own name with another nonce and an
 * incarnation that is not lower, it takes the next higher incarnation. The other entry belongs to
 * its own previous run or, if this still happens after the startup phase, to another process that
 * was given the same name by mistake. A receiver accepts an entry with a higher incarnation, or
 * with the same incarnation and the same nonce, and ignores others. When a restarted peer contacts
 * a receiver directly under an incarnation that is not higher than the known one, the receiver
 * sends it the known one. Otherwise a peer that was declared gone would never learn of its previous
 * run, because gossip does not contain gone peers.
 *
 * A peer is live until the failure detector declares it gone. A live peer that has announced its
 * shutdown is draining. A gone peer is live again as soon as it is heard directly. It is removed
 * ten minutes after it was declared gone. Until then gossip contacts it from time to time, so that
 * two parts of a fleet find each other again after a network partition.
 */
#include "failure_detector.h"
#include "settings.h"
#include "wire.pb-c.h"

typedef struct node node;

/** Another process of the fleet, owned by the peer table of one node. A pointer is valid until the
 * running task suspends itself, since the entry may be removed meanwhile. */
typedef struct peer_node {
  list_node link;

  /** As reported by the peer; written by peer_table.c. */
  id self, zone;
  uint64_t incarnation, nonce;
  char address[ADDRESS_BYTES];
  enum role role;
  /** draining: the peer has announced its shutdown. idle: it can't take singletons. */
  bool draining, idle;
  /** When this entry was created; when the peer itself last sent a message (or a new run of it
   * became known); when this node last sent the peer the incarnation that it knows. */
  time_us first_seen_at, last_heard_at, incarnation_sent_at;

  /** Whether and when the peer was declared gone. Set by failure_detector.c, and reset by
   * peer_table.c when the peer is heard again. */
  bool gone;
  time_us gone_at;
  /** When this node started to watch the peer's heartbeats; 0 if it does not. */
  time_us watched_since;
  /** Suspicions of the peer by its watchers. */
  suspicion suspicions[SUSPICIONS_MAX];
  /** How late the peer's tasks run, according to its latest heartbeat. */
  int64_t lateness_ms;

  /** Results of config sync with other routers; written by lib/router/router_sync.c only. When the
   * peer last confirmed the configuration, when it last reported that its engine list is outdated,
   * how many routers it knows, and whether a poll of it is in flight. */
  time_us confirmed_at, list_outdated_at;
  unsigned known_routers;
  bool poll_pending;
} peer_node;

/** Returns the peer with the given name; NULL if it is not known. */
peer_node *peer_table_find(node *node, id who);
/** Returns true unless the peer was declared gone. A draining peer is live. */
bool peer_is_live(const peer_node *peer);
/** Returns the state of a peer as shown on status pages: "live", "leaving" or "gone". */
const char *peer_state_name(const peer_node *peer);
/** Returns a random live peer of a role, or the one with the preferred address if it is among them
 * (NULL or "" for no preference). If none is live, chooses among the gone ones in the same way.
 * NULL if none is known. */
peer_node *peer_table_pick(node *node, enum role role, const char *preferred);
/** Returns the number of peers of a role that have not announced their shutdown, including gone
 * ones. This process counts if it has the role. */
int peer_table_count(node *node, enum role role);
/** Selects a process of a role by rendezvous hashing of `key` among those that are neither gone nor
 * draining. This process takes part if it has the role. `exclude` is left out; an empty id excludes
 * none. Returns false and leaves *who and address unchanged if there is no candidate. */
bool peer_table_rendezvous(node *node, enum role role, const char *key, id exclude, id *who,
                           char address[ADDRESS_BYTES]);
/** Appends the table, this process first, as a JSON array. */
void peer_table_append_json(node *node, GString *to);

/** Updates the table with the information about a process from a message, if it is newer. direct
 * means that the process sent it about itself. The fields of info must be valid. */
void peer_table_merge(node *node, const Wire__NodeInfo *info, bool direct);
/** Fills a NodeInfo with what is known of a peer, except draining and idle. It borrows the peer's
 * strings. */
void peer_table_fill_info(const peer_node *peer, Wire__NodeInfo *info);
/** Removes peers that have been gone for ten minutes. */
void peer_table_remove_gone(node *node);
/** Frees all entries. */
void peer_table_free(node *node);
#endif
