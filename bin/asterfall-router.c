/** asterfall-router: a process of the data plane, with asterfall's own request API. It reads its
 * settings, runs lib/router on the real world, and exits after a signal and a graceful shutdown. */
#include "args.h"
#include "program.h"
#include "router.h"

const char *argp_program_version = "asterfall-router (asterfall) 0.1";

/** The largest body of a request, in bytes. */
enum { BODY_MAX_BYTES = 1 << 20 };

static void drain(void *service) {
  router_drain(service);
}

int main(int argc, char **argv) {
  settings settings;
  if (args_read_settings(argc, argv, ROLE_ROUTER,
                         "asterfall-router: a data-plane machine of asterfall", &settings))
    return PROGRAM_EXIT_OK;
  real_settings listener = { .body_max_bytes = BODY_MAX_BYTES };
  world *world = program_listener_world("asterfall-router", settings.address, &listener);
  if (!world)
    return PROGRAM_EXIT_NOT_STARTED;
  router *router = router_new(world, &settings);
  program_run_service(world, &router->drain_completed, drain, router);
  real_world_free(world);
  router_free(router);
  return PROGRAM_EXIT_OK;
}
