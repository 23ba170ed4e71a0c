#ifndef MEMBERSHIP_GOSSIP_H
#define MEMBERSHIP_GOSSIP_H
/**
 * Gossip of the peer table: how processes discover each other.
 *
 * Once a second (more often in the first three seconds) a process compares tables with one random
 * peer. It sends the checksum of its table. A receiver whose checksum differs sends its full table
 * and requests the sender's in return. While nothing changes, gossip therefore costs one small
 * message per second and process. Processes that speak wire version 1 always send the full table.
 *
 * The table that is sent holds live peers only, so that gossip does not revive a peer that another
 * node has declared gone. A process still gossips with gone peers from time to time, because they
 * may be alive on the other side of a network partition. Seeds are contacted at the start, while
 * few peers are known, and in every tenth round; peers keep finding each other after all seeds have
 * been replaced.
 */
typedef struct node node;

/** Registers the handler of gossip messages. */
void gossip_init(node *node);
/** Starts the gossip task. */
void gossip_start(node *node);
#endif
