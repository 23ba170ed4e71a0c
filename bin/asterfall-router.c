/**
 * asterfall-router: runs a router until it has drained after SIGTERM.
 */
#include "args.h"
#include "real_world.h"
#include "router.h"
#include <stdio.h>

const char *argp_program_version = "asterfall-router (asterfall) 0.1";

enum { MAX_BODY_BYTES = 1 << 20, EXIT_NO_WORLD = 2 };

typedef struct process {
  router *router;
  world *world;
} process;

static void stop_when_drained_run(void *context) {
  process *process = context;
  condition_wait(&process->world->tasks, &process->router->drain_completed, time_never());
  real_world_stop(process->world);
}

static void on_sigterm(void *context) {
  process *process = context;
  router_drain(process->router);
}

int main(int argc, char **argv) {
  settings settings;
  if (args_settings(argc, argv, ROLE_ROUTER, "asterfall-router: a data-plane machine of asterfall",
                    &settings))
    return 0;
  real_settings real = { .body_max_bytes = MAX_BODY_BYTES };
  address_split(settings.address, real.ip, sizeof real.ip, &real.port);
  error err = { 0 };
  world *world = real_world_new(&real, &err);
  if (!world) {
    fprintf(stderr, "asterfall-router: %s (code %d)\n", err.text, err.code);
    return EXIT_NO_WORLD;
  }
  process process = { router_new(world, &settings), world };
  task_start(&world->tasks, "drained", stop_when_drained_run, &process);
  real_world_run(world, on_sigterm, &process);
  real_world_free(world);
  router_free(process.router);
  return 0;
}
