#ifndef CONTROLPLANE_CONTROLLER_H
#define CONTROLPLANE_CONTROLLER_H
#include "control.h"
#include "core.h"
#include "dialect.h"
#include "registry.h"

enum { CONTRACT_GRACE_MS = 300 };

/** A core machine: the chain, the duties it grants, the news it gives, the engines that register,
 * and the operators' API. */
/** A routing text of late, and what makes a later one out of it. */
typedef struct past_text {
  uint64_t version, to;
  GString *text, *delta;
} past_text;
enum { PAST_TEXTS = 4 };

typedef struct controller {
  node node;
  core core;
  past_text past[PAST_TEXTS];
  int past_at;
  bool running;
  int code;
  condition over, reports_changed;
  uint64_t http_requests, refused, news;
  GHashTable *reported_seq, *grants_in_flight;
  registry registry;
  /** The changes of the registry that news may tell of; they are let out in lots. */
  uint64_t reg_shown;
  condition reg_moved;
  time_us reg_asked;
  /** The listener for beats and configuration, and the words that are spoken there. */
  http_listener control;
  bool has_control;
  const dialect *dialect;
  GString *config_text;
  uint64_t config_at, revision_of, revision, beats;
  /** The configuration orders under way here, by their keys. */
  GHashTable *orders;
} controller;

/** Makes a core machine in a world; its work begins with the first turn of its tasks. */
controller *controller_new(world *world, const settings *settings);
/** Opens the control listener; words NULL: our own. */
int controller_control(controller *controller, const char *ip, int port, const dialect *words,
                       error *err);
/** Asks it to leave the chain and stop; `over` is signalled when it has. */
void controller_drain(controller *controller);
/** Frees it, once no task is left. */
void controller_free(controller *controller);

/** True when half of the routers that are known have a write in force. */
bool controller_write_in_force(controller *controller, uint64_t seq, int *got, int *all);

/* engines.c: the registry among core machines */
void engines_init(controller *controller);
/** Starts its work; a machine without a listener for engines has none. */
void engines_start(controller *controller);
/** Tells the others what a beat or sign-off that came here has changed. */
void engines_folded(controller *controller, const char *id, enum fold f);
/** True when news may tell a router of engines that it lacks. */
bool engines_news(const controller *controller, const Wire__ConfigPollRequest *q);
/** Fills an answer to a router with the engines that it lacks. */
void engines_fill(controller *controller, const Wire__ConfigPollRequest *q,
                  Wire__ConfigPollResponse *b, reply *reply);
#endif
