/* Measures, in virtual time, how the messages and bytes between processes grow with the number of
 * nodes and models and with the size of the configuration. */
#include "fleet.h"
#include <stdio.h>

static void run_size(int routers, int engines, int models, uint64_t seed) {
  fleet *fleet = fleet_new(seed, routers, engines);
  fleet->models = models;
  fleet->adapters = models;
  if (!fleet_bring_up(fleet)) {
    printf("seed %" PRIu64 ": did not come up\n%s", seed, fleet->violations->str);
    fleet_free(fleet);
    return;
  }
  sim_run(fleet->sim, time_from_ms(5000));
  uint64_t messages = fleet->sim->messages_sent, bytes = fleet->sim->bytes_sent;
  sim_run(fleet->sim, time_from_ms(20000));
  int nodes = routers + fleet->controllers;
  printf("%5d %7d %6d  idle %7.1f messages/s/node %8.0f B/s/node", routers, engines, models,
         (double)(fleet->sim->messages_sent - messages) / 20 / nodes,
         (double)(fleet->sim->bytes_sent - bytes) / 20 / nodes);
  uint64_t sync_bytes = 0;
  for (int i = 0; i < routers; i++)
    sync_bytes -= fleet->router[i]->router->sync.snapshot_bytes;
  fleet_put(fleet, "evacuation", "{\"areas\":[{\"area\":\"north\",\"share\":0.01}]}");
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < routers; i++)
    sync_bytes += fleet->router[i]->router->sync.snapshot_bytes;
  printf("  a small change costs %7.0f B a router", (double)sync_bytes / routers);
  sync_bytes = 0;
  for (int i = 0; i < routers; i++)
    sync_bytes -= fleet->router[i]->router->sync.snapshot_bytes;
  char *catalogue = fleet_catalogue_json(models, models, NULL);
  fleet_put(fleet, "catalogue", catalogue);
  g_free(catalogue);
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < routers; i++)
    sync_bytes += fleet->router[i]->router->sync.snapshot_bytes;
  printf(", the catalogue %8.0f B\n", (double)sync_bytes / routers);
  fleet_free(fleet);
}

int main(void) {
  printf("routers engines models\n");
  run_size(8, 9, 30, 1);
  run_size(8, 9, 300, 1);
  run_size(8, 9, 3000, 1);
  run_size(16, 9, 30, 1);
  run_size(32, 18, 30, 1);
  run_size(80, 18, 30, 1);
  run_size(80, 90, 300, 1);
  return 0;
}
