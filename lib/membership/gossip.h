#ifndef MEMBERSHIP_GOSSIP_H
#define MEMBERSHIP_GOSSIP_H
/**
 * Gossip of the peer table: how processes learn of each other.
 *
 * Once a second (in the first three seconds more often) a process compares tables with one random
 * peer. It sends the checksum of its table; a receiver whose checksum differs sends its full table
 * and asks for the sender's in return. So while nothing changes, gossip costs one small message a
 * second and process. Processes that speak wire version 1 send the full table each time.
 *
 * The table holds live peers only, so who is declared gone by one node is not brought back by the
 * gossip of another. A gone peer is, however, gossiped with now and then: it may be live behind a
 * cut. Seeds are asked at the start, while few peers are known, and every tenth time, so a fleet
 * whose seeds have all been replaced still finds itself.
 */
typedef struct node node;

/** Registers the handler of tables. */
void gossip_init(node *node);
/** Starts the task that gossips. */
void gossip_start(node *node);
#endif
