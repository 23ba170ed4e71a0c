#ifndef EMULATOR_SIM_MESSAGES_H
#define EMULATOR_SIM_MESSAGES_H
#include "base.h"

/** @file
 * Messages between peers of the simulated fleet: delay, loss, bandwidth of a host's link and, where
 * the simulation asks for it, channels that behave like TCP behind a cut (see peer_channel.h). */

typedef struct host host;

typedef struct sim_messages {
  /** From "FROM>TO" to the time_us when the latest message of that direction arrives; keeps a
   * direction in order. */
  GHashTable *last_arrivals;
  /** From "FROM>TO" to the peer_direction with its channel. */
  GHashTable *directions;
} sim_messages;

void sim_messages_init(sim_messages *messages);
void sim_messages_free(sim_messages *messages);
/** Makes the simulated network the one by which the process of a host sends to its peers. */
void sim_messages_attach(host *host);
#endif
