#ifndef CONTROLPLANE_BOOTSTRAP_H
#define CONTROLPLANE_BOOTSTRAP_H
/** Bootstrap of a fleet: the founders agree on its first view. */
#include "node.h"

struct replica;

/** The addresses of the founders, without duplicates. Kept in the log until a view is known. */
typedef struct bootstrap_state {
  int founder_count;
  char founder_addresses[FOUNDERS_MAX][sizeof(((settings *)NULL)->founder_addresses[0])];
} bootstrap_state;

/** Loads the founders' addresses from the settings, if they contain any. */
void bootstrap_load_settings(bootstrap_state *bootstrap, const settings *settings);
/** Reads the founders' addresses from the body of an ENTRY_FOUNDERS. */
void bootstrap_replay_founders(bootstrap_state *bootstrap, string_view body);
/** Returns whether this controller is one of the founders. */
bool bootstrap_is_founder(const struct replica *replica);
/** Returns whether a controller is the founder that proposes the first view. */
bool bootstrap_is_first_founder(const struct replica *replica, const char *name,
                                const char *address);
/** Proposes the first view, if this controller is the first founder and all founders are blank. */
void bootstrap_attempt(struct replica *replica);
/** Handles BootstrapRequest; the context is the replica. */
enum error_code bootstrap_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
