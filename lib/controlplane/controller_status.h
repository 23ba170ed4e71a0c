/** Status pages and metrics of a controller, for operators and their tools. */
#ifndef CONTROLPLANE_CONTROLLER_STATUS_H
#define CONTROLPLANE_CONTROLLER_STATUS_H
#include <glib.h>

typedef struct controller controller;

/** Appends /v1/status: the state of this controller's replica, disk and node. */
void controller_status_append_json(controller *controller, GString *to);
/** Appends /v1/registry: the engines in this controller's registry. */
void controller_status_append_registry(controller *controller, GString *to);
/** Appends /metrics, in the Prometheus text format. */
void controller_status_append_metrics(controller *controller, GString *to);
#endif
