#ifndef MEMBERSHIP_PEER_TABLE_H
#define MEMBERSHIP_PEER_TABLE_H
/**
 * The peer table: what this process knows of each other process of the fleet.
 *
 * Entries come from two sources. A message that the peer sent itself bears its NodeInfo ("direct"
 * knowledge); gossip bears what others know of it. The table is merged by incarnation:
 *
 * Incarnations tell the runs of a process apart without clocks and without a disk. A process starts
 * with incarnation 1 and a random nonce. When it hears of its own name under another nonce and an
 * incarnation that is not lower, it takes the next one; that is either its own former run, or, if
 * it goes on for longer than a start takes, another process that was given the same name by
 * mistake. A receiver takes over an entry with a higher incarnation, or with the same one and the
 * same nonce, and ignores others. A receiver that hears a restarted peer directly under an
 * incarnation that is not higher than the one it knows sends it that one, because a peer that is
 * declared gone is in nobody's gossip, and would never learn of its former run otherwise.
 *
 * A peer is live, draining (it has announced its end) or gone (the failure detector has declared it
 * dead). A gone peer is live again as soon as it is heard directly. Ten minutes after it was
 * declared dead it is forgotten; until then gossip tries it now and then, so that two halves of a
 * fleet that was cut in two find each other again.
 */
#include "failure_detector.h"
#include "settings.h"
#include "wire.pb-c.h"

typedef struct node node;

/** Another process of the fleet. Owned by the peer table of one node. Pointers are valid until the
 * running task suspends itself: an entry may be forgotten in between. */
typedef struct peer_node {
  list_node link;

  /** As the peer says of itself; written by peer_table.c. */
  id self, zone;
  uint64_t incarnation, nonce;
  char address[ADDRESS_BYTES];
  enum role role;
  /** It has announced that it will end; it does not take singletons. */
  bool draining, idle;
  /** When this entry was made, when a message of the peer itself came last (or the entry began a
   * new incarnation), and when the peer was last sent the incarnation that is known here. */
  time_us first_seen_at, last_heard_at, notified_at;

  /** Declared dead, and since when; written by failure_detector.c, and reset by peer_table.c when
   * the peer is heard again. */
  bool gone;
  time_us gone_at;
  /** When this node began to watch the peer's heartbeats; 0: it does not. */
  time_us watched_since;
  /** Who suspects the peer. */
  suspicion suspicions[SUSPICIONS_MAX];
  /** How late the peer's tasks run, as its latest heartbeat says. */
  int64_t lateness_ms;

  /** What other routers have said in config sync; written by lib/router/router_sync.c only. When it
   * last confirmed the configuration, when it last said that its list of engines is outdated, how
   * many routers it knows, and whether a poll of it is in flight. */
  time_us confirmed_at, list_outdated_at;
  unsigned known_routers;
  bool poll_pending;
} peer_node;

/** The peer with a name; NULL if it is not known. */
peer_node *peer_table_find(node *node, id who);
/** True unless the peer was declared dead. A draining peer is live. */
bool peer_is_live(const peer_node *peer);
/** The state of a peer as status pages give it: "live", "leaving" or "gone". */
const char *peer_state_name(const peer_node *peer);
/** A random live peer of a role, but the one at the address `last` if it is among them (NULL or "":
 * no preference). If none is live, the same among those that are gone. NULL if none is known. */
peer_node *peer_table_pick(node *node, enum role role, const char *last);
/** The number of peers of a role that have not announced their end, gone ones included; this
 * process counts if it has the role. */
int peer_table_count(node *node, enum role role);
/** The process of a role that comes first by rendezvous hashing of `key`, among those that are
 * neither gone nor draining; this process takes part if it has the role. exclude is left out (an
 * empty id: nobody). False, with the results untouched, if there is none. */
bool peer_table_rendezvous(node *node, enum role role, const char *key, id exclude, id *who,
                           char address[ADDRESS_BYTES]);
/** Appends the table, this process first, as a JSON array. */
void peer_table_append_json(node *node, GString *to);

/** Takes over what a message says of a process, if it is newer than what is known. direct: the
 * process says it of itself. The fields of info must be valid. */
void peer_table_merge(node *node, const Wire__NodeInfo *info, bool direct);
/** Fills a NodeInfo with what is known of a peer, all but draining and idle. It borrows the peer's
 * texts. */
void peer_table_fill_info(const peer_node *peer, Wire__NodeInfo *info);
/** Removes peers that have been gone for ten minutes. */
void peer_table_forget_gone(node *node);
/** Frees all entries. */
void peer_table_free(node *node);
#endif
