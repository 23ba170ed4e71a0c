#ifndef EMULATOR_DEPLOYMENT_PROCESS_H
#define EMULATOR_DEPLOYMENT_PROCESS_H
#include "deployment.h"

/** @file
 * What the modules of a deployment share about its processes. */

enum { DEPLOYMENT_FRONT_PORT = 8144, DEPLOYMENT_READY_PORT = 8140, DEPLOYMENT_CONTROL_PORT = 8100 };

/** Copies the IP of a host. */
void deployment_ip_of(const host *host, char *ip, size_t size);
/** The addresses of the controllers' control listeners, as texts; the caller frees the array, which
 * frees them. */
GPtrArray *deployment_list_controllers(const deployment *deployment);
/** Makes a host of the fleet a controller with a control listener, or a gateway; the host owns what
 * is returned. */
deployment_process *deployment_add_controller(deployment *deployment, host *host);
deployment_process *deployment_add_gateway(deployment *deployment, host *host);
#endif
