#ifndef EMULATOR_DAY_CONFIG_H
#define EMULATOR_DAY_CONFIG_H
/** Sets up a day's deployment: configuration, the clients' kinds of requests, and engines. */
#include "day_run.h"

/** Appends the route of a kind as JSON, with the given number of attempts. */
void day_config_append_route(const day_kind *kind, unsigned attempts, GString *to);
/** Returns the routing configuration of a version as JSON; the caller frees it. deployment->context
 * is the day_run (the type of deployment.write_config). */
char *day_config_text(deployment *deployment, uint64_t version);
/** Adds the day's kinds of requests to the client (the type of deployment.add_client_kinds). */
void day_config_add_client_kinds(deployment *deployment);
/** Adds the engines of all services; zones are assigned in turn. */
void day_config_add_engines(day_run *run);
#endif
