/** A controller: combines its modules and starts them. */
#include "controller.h"
#include "operator_api.h"

/* Task: opens the disk and starts the replica; the controller stops if this fails. */
static void start_replica_run(void *ctx) {
  controller *controller = ctx;
  error err = { 0 };
  controller->exit_code = replica_start(&controller->replica, &controller->node, &err);
  if (!controller->exit_code)
    return;
  if (controller->exit_code != E_STOPPING)
    log_info(&controller->node.log, "controller", "Can't start: %s (code %d).", err.text,
             controller->exit_code);
  condition_broadcast(&controller->stopped);
}

controller *controller_new(world *world, const settings *settings) {
  controller *controller = g_new0(struct controller, 1);
  node *node = &controller->node;
  replica *replica = &controller->replica;
  condition_init(&controller->stopped);
  node_init(node, world, settings);
  registry_sync_init(&controller->registry_sync, node, &replica->state_changed);
  singleton_grants_init(&controller->singleton_grants, node, replica);
  config_poll_init(&controller->config_poll, node, replica, &controller->registry_sync);
  version_reports_init(&controller->version_reports, node, replica);
  canary_end_init(&controller->canary_end, node, replica);
  resource_api_init(&controller->resource_api, node, replica, &controller->version_reports);
  control_listener_init(&controller->control_listener, node, replica, &controller->version_reports,
                        &controller->registry_sync);
  world->serve = operator_api_serve;
  world->serve_context = controller;
  node_start(node);
  task_start(&world->tasks, "start replica", start_replica_run, controller);
  return controller;
}

enum error_code controller_open_control_listener(controller *controller, const char *ip, int port,
                                                 const dialect *dialect, error *err) {
  enum error_code code =
      control_listener_open(&controller->control_listener, ip, port, dialect, err);
  if (!code)
    registry_sync_start(&controller->registry_sync);
  return code;
}

void controller_free(controller *controller) {
  control_listener_free(&controller->control_listener);
  config_poll_free(&controller->config_poll);
  replica_free(&controller->replica);
  version_reports_free(&controller->version_reports);
  singleton_grants_free(&controller->singleton_grants);
  registry_sync_free(&controller->registry_sync);
  node_free(&controller->node);
  g_free(controller);
}
