/** asterfall-controller: a process of the control plane, with a disk. It reads its settings, runs
 * lib/controlplane on the real world, and exits after a signal and a graceful shutdown, or with
 * PROGRAM_EXIT_FAULT when it had to stop by itself. */
#include "args.h"
#include "controller.h"
#include "program.h"

const char *argp_program_version = "asterfall-controller (asterfall) 0.1";

/** The largest body of a request, in bytes: the largest resource and its framing. */
enum { BODY_MAX_BYTES = RESOURCE_BYTES_MAX + 4096 };

static void drain(void *service) {
  controller_drain(service);
}

int main(int argc, char **argv) {
  settings settings;
  if (args_read_settings(argc, argv, ROLE_CONTROLLER,
                         "asterfall-controller: a core machine of asterfall, with a disk",
                         &settings))
    return PROGRAM_EXIT_OK;
  real_settings listener = { .body_max_bytes = BODY_MAX_BYTES };
  g_strlcpy(listener.data_dir, settings.data_dir, sizeof listener.data_dir);
  world *world = program_listener_world("asterfall-controller", settings.address, &listener);
  if (!world)
    return PROGRAM_EXIT_NOT_STARTED;
  controller *controller = controller_new(world, &settings);
  program_run_service(world, &controller->stopped, drain, controller);
  int fault = controller->exit_code;
  real_world_free(world);
  controller_free(controller);
  return fault ? PROGRAM_EXIT_FAULT : PROGRAM_EXIT_OK;
}
