#include "args.h"
#include "controller.h"
#include "real_world.h"
#include <stdio.h>

const char *argp_program_version = "asterfall-controller (asterfall) 0.1";

typedef struct {
  controller *controller;
  world *world;
} run;

static void wait_run(void *p) {
  run *run = p;
  condition_wait(&run->world->tasks, &run->controller->stopped, time_never());
  real_world_stop(run->world);
}

static void on_term(void *p) {
  run *run = p;
  controller_drain(run->controller);
}

int main(int argc, char **argv) {
  settings v;
  if (args_settings(argc, argv, ROLE_CONTROLLER,
                    "asterfall-controller: a core machine of asterfall, with a disk", &v))
    return 0;
  real_settings e = { .body_max_bytes = RESOURCE_BYTES_MAX + 4096 };
  address_split(v.address, e.ip, sizeof e.ip, &e.port);
  g_strlcpy(e.data_dir, v.data_dir, sizeof e.data_dir);
  error err = { 0 };
  world *world = real_world_new(&e, &err);
  if (!world) {
    fprintf(stderr, "asterfall-controller: %s (code %d)\n", err.text, err.code);
    return 2;
  }
  run r = { controller_new(world, &v), world };
  task_start(&world->tasks, "over", wait_run, &r);
  real_world_run(world, on_term, &r);
  int code = r.controller->exit_code;
  real_world_free(world);
  controller_free(r.controller);
  return code ? 1 : 0;
}
