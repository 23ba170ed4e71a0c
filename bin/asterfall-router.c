#include "args.h"
#include "real_world.h"
#include "router.h"
#include <stdio.h>

const char *argp_program_version = "asterfall-router (asterfall) 0.1";

typedef struct {
  router *router;
  world *world;
} run;

static void wait_run(void *p) {
  run *run = p;
  condition_wait(&run->world->tasks, &run->router->drain_completed, time_never());
  real_world_stop(run->world);
}

static void on_term(void *p) {
  router_drain(((run *)p)->router);
}

int main(int argc, char **argv) {
  settings v;
  if (args_settings(argc, argv, ROLE_ROUTER, "asterfall-router: a data-plane machine of asterfall",
                    &v))
    return 0;
  real_settings e = { .body_max_bytes = 1 << 20 };
  address_split(v.address, e.ip, sizeof e.ip, &e.port);
  error err = { 0 };
  world *world = real_world_new(&e, &err);
  if (!world) {
    fprintf(stderr, "asterfall-router: %s (code %d)\n", err.text, err.code);
    return 2;
  }
  run r = { router_new(world, &v), world };
  task_start(&world->tasks, "over", wait_run, &r);
  real_world_run(world, on_term, &r);
  real_world_free(world);
  router_free(r.router);
  return 0;
}
