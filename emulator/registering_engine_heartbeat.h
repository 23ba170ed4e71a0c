#ifndef EMULATOR_REGISTERING_ENGINE_HEARTBEAT_H
#define EMULATOR_REGISTERING_ENGINE_HEARTBEAT_H
/**
 * Heartbeats by which an engine registers and stays registered, and its sign-off. They are sent to
 * the address that the last response named, otherwise to the control listeners in turn.
 */
#include "world.h"

typedef struct registering_engine_sim registering_engine_sim;

/** Heartbeats of an engine. Only this module writes it. */
typedef struct engine_heartbeat_state {
  uint64_t sequence;
  char next_address[64]; /* named by the last 2xx response; empty: any control listener */
} engine_heartbeat_state;

/** Starts the task that sends heartbeats. */
void engine_heartbeat_start(registering_engine_sim *engine);
/** Sends one heartbeat; true when a control listener accepted it. */
bool engine_heartbeat_send(registering_engine_sim *engine);
/** Sends the sign-off of a drained engine; true when a control listener accepted it. */
bool engine_heartbeat_sign_off(registering_engine_sim *engine);
#endif
