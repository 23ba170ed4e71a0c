#ifndef CONTROLPLANE_CONTROLLER_H
#define CONTROLPLANE_CONTROLLER_H
#include "config_change.h"
#include "replica.h"
#include "dialect.h"
#include "engine_registry.h"

enum { SINGLETON_LEASE_GRACE_MS = 300 };

/** A core machine: the chain, the duties it grants, the news it gives, the engines that register,
 * and the operators' API. */
/** A routing text of late, and what makes a later one out of it. */
typedef struct routing_text_cache_entry {
  uint64_t version, delta_version;
  GString *text, *delta;
} routing_text_cache_entry;
enum { ROUTING_TEXTS_CACHED = 4 };

typedef struct controller {
  node node;
  replica replica;
  routing_text_cache_entry routing_texts[ROUTING_TEXTS_CACHED];
  int routing_text_next;
  bool running;
  int exit_code;
  condition stopped, reports_changed;
  uint64_t http_requests, writes_refused, config_updates_sent;
  GHashTable *reported_seq, *grants_in_flight;
  registry registry;
  /** The changes of the registry that news may tell of; they are let out in lots. */
  uint64_t registry_seq_announced;
  condition registry_changed;
  time_us registry_fetched_at;
  /** The listener for beats and configuration, and the words that are spoken there. */
  http_listener control_listener;
  bool has_control_listener;
  const dialect *dialect;
  GString *config_text;
  uint64_t config_text_version, revision_text_hash, revision, heartbeats;
  /** The configuration orders under way here, by their keys. */
  GHashTable *config_changes;
} controller;

/** Makes a core machine in a world; its work begins with the first turn of its tasks. */
controller *controller_new(world *world, const settings *settings);
/** Opens the control listener; words NULL: our own. */
int controller_open_control_listener(controller *controller, const char *ip, int port,
                                     const dialect *words, error *err);
/** Asks it to leave the chain and stop; `over` is signalled when it has. */
void controller_drain(controller *controller);
/** Frees it, once no task is left. */
void controller_free(controller *controller);

/** True when half of the routers that are known have a write in force. */
bool controller_write_in_force(controller *controller, uint64_t seq, int *got, int *all);

/* engines.c: the registry among core machines */
void registry_sync_init(controller *controller);
/** Starts its work; a machine without a listener for engines has none. */
void registry_sync_start(controller *controller);
/** Tells the others what a beat or sign-off that came here has changed. */
void registry_sync_announce(controller *controller, const char *id, enum registry_update f);
/** True when news may tell a router of engines that it lacks. */
bool registry_sync_has_changes(const controller *controller, const Wire__ConfigPollRequest *q);
/** Fills an answer to a router with the engines that it lacks. */
void registry_sync_fill_response(controller *controller, const Wire__ConfigPollRequest *q,
                                 Wire__ConfigPollResponse *b, reply *reply);
#endif
