/** Status pages and metrics of a controller: what it knows, for operators and their tools. */
#ifndef CONTROLPLANE_CONTROLLER_STATUS_H
#define CONTROLPLANE_CONTROLLER_STATUS_H
#include <glib.h>

typedef struct controller controller;

/** Appends /v1/status: this controller's replica, its disk and its node. */
void controller_status_write_json(controller *controller, GString *to);
/** Appends /v1/registry: the engines that have registered themselves, as this controller knows
 * them. */
void controller_status_write_registry(controller *controller, GString *to);
/** Appends /metrics, in Prometheus' text format. */
void controller_status_write_metrics(controller *controller, GString *to);
#endif
