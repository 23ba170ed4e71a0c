#ifndef EMULATOR_SIM_MESSAGES_H
#define EMULATOR_SIM_MESSAGES_H
#include "base.h"

/** @file
 * Messages between peers of the simulated fleet: delay, loss, bandwidth of a host's link and, if
 * sim.tcp_channels is set, channels that behave like TCP in a partition (see peer_channel.h). */

typedef struct host host;

typedef struct sim_messages {
  /** Maps "FROM>TO" to the time_us when the latest message of that direction arrives; keeps the
   * messages of a direction in order. */
  GHashTable *last_arrivals;
  /** Maps "FROM>TO" to the peer_direction with its channel. */
  GHashTable *directions;
} sim_messages;

void sim_messages_init(sim_messages *messages);
void sim_messages_free(sim_messages *messages);
/** Connects the process of a host to the simulated network for messages to its peers. */
void sim_messages_attach(host *host);
#endif
