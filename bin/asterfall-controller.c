/** asterfall-controller: a controller process, with the operators' API and no control listener. */
#include "args.h"
#include "controller.h"
#include "real_world.h"
#include <stdio.h>

const char *argp_program_version = "asterfall-controller (asterfall) 0.1";

enum {
  /** How much larger than a resource the body of a request may be, in bytes: what is a little too
   * large is refused by the resource API, which says why. */
  BODY_SLACK_BYTES = 4096,
  /** Exit statuses: the controller has failed; the process could not start. */
  EXIT_FAILED = 1,
  EXIT_NO_START = 2
};

/** The process. */
typedef struct process {
  controller *controller;
  world *world;
} process;

/* Task: stops the world when the controller has ended its work. */
static void wait_stopped_run(void *p) {
  process *process = p;
  condition_wait(&process->world->tasks, &process->controller->stopped, time_never());
  real_world_stop(process->world);
}

/* On SIGTERM. */
static void on_term(void *p) {
  process *process = p;
  controller_drain(process->controller);
}

int main(int argc, char **argv) {
  settings settings;
  if (args_settings(argc, argv, ROLE_CONTROLLER,
                    "asterfall-controller: a controller of asterfall, with a disk", &settings))
    return 0;
  real_settings real_settings = { .body_max_bytes = RESOURCE_BYTES_MAX + BODY_SLACK_BYTES };
  address_split(settings.address, real_settings.ip, sizeof real_settings.ip, &real_settings.port);
  g_strlcpy(real_settings.data_dir, settings.data_dir, sizeof real_settings.data_dir);
  error err = { 0 };
  world *world = real_world_new(&real_settings, &err);
  if (!world) {
    fprintf(stderr, "asterfall-controller: %s (code %d)\n", err.text, err.code);
    return EXIT_NO_START;
  }
  process process = { controller_new(world, &settings), world };
  task_start(&world->tasks, "wait stopped", wait_stopped_run, &process);
  real_world_run(world, on_term, &process);
  int code = process.controller->exit_code;
  real_world_free(world);
  controller_free(process.controller);
  return code ? EXIT_FAILED : 0;
}
