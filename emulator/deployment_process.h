#ifndef EMULATOR_DEPLOYMENT_PROCESS_H
#define EMULATOR_DEPLOYMENT_PROCESS_H
#include "deployment.h"

/** @file
 * The processes of a deployment: functions that its modules share. */

enum { DEPLOYMENT_FRONT_PORT = 8144, DEPLOYMENT_READY_PORT = 8140, DEPLOYMENT_CONTROL_PORT = 8100 };

/** Copies the IP address of a host. */
void deployment_ip_of(const host *host, char *ip, size_t size);
/** Returns the addresses of the controllers' control listeners, as char *; the caller frees the
 * array, which owns them. */
GPtrArray *deployment_list_controllers(const deployment *deployment);
/** Makes a host of the fleet a controller with a control listener, or a gateway; the host owns the
 * returned process. */
deployment_process *deployment_add_controller(deployment *deployment, host *host);
deployment_process *deployment_add_gateway(deployment *deployment, host *host);
#endif
