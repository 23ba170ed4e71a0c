/** Tests of lib/doctor/doctor.c: each fault of a fleet gets its diagnosis, and a fleet without one
 * gets none. Fleet: three controllers, five routers, four engines.
 */
#include "doctor.h"
#include "scenario.h"
#include "tests.h"

static bool the_doctor_comes(fleet *fleet) {
  if (!fleet_up(fleet))
    return false;
  fleet_traffic(fleet, 5, time_from_ms(8000));
  fleet_quiet(fleet);
  doctor_says(fleet, 0, "a sound fleet");
  host_kill(fleet->controller[2]);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, D_CHAIN, "a lost controller");
  doctor_says(fleet, D_NO_ANSWER, "a lost controller");
  doctor_says(fleet, D_SEED, "a lost seed");
  host_start(fleet->controller[2]);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < 3; i++)
    sim_part(fleet->sim, fleet->router[0]->self.text, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, 0, "a router cut off from the core alone, which others confirm");
  for (int i = 1; i < fleet->routers; i++)
    sim_part(fleet->sim, fleet->router[0]->self.text, fleet->router[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, D_STALE, "a router cut off");
  sim_mend(fleet->sim);
  sim_run(fleet->sim, time_from_ms(6000));
  for (int i = 1; i < 3; i++)
    sim_part(fleet->sim, fleet->controller[0]->self.text, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(5000));
  doctor_says(fleet, D_VIEWS_DIFFER, "a core cut in two");
  sim_mend(fleet->sim);
  if (!wait_chain(fleet, 3, 15000))
    return false;
  sim_run(fleet->sim, time_from_ms(8000));
  host *h = fleet_holder(fleet, "engine:engine-1");
  host_kill(h);
  doctor_says(fleet, D_NO_SINGLETON_HOLDER, "a lost holder");
  host_start(h);
  sim_run(fleet->sim, time_from_ms(12000));
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->slow_ms = 350;
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  doctor_says(fleet, D_DISK, "slow disks");
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->slow_ms = 0;
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  host_kill(fleet->platform);
  sim_run(fleet->sim, time_from_ms(8000));
  doctor_says(fleet, D_ENGINE_LIST, "no platform");
  host_start(fleet->platform);
  sim_run(fleet->sim, time_from_ms(3000));
  fleet->sim->delay_ms = 300;
  doctor_says(fleet, D_CLOCK, "slow answers");
  fleet->sim->delay_ms = 1;
  sim_run(fleet->sim, time_from_ms(8000));
  if (!wait_chain(fleet, 3, 15000))
    return false;
  host *twin = sim_host(fleet->sim, HOST_ROUTER, "router-1", "mid", "127.0.2.99:7000");
  twin->settings = fleet->router[0]->settings;
  g_strlcpy(twin->settings.address, twin->addr, sizeof twin->settings.address);
  host_start(twin);
  sim_run(fleet->sim, time_from_ms(12000));
  doctor_says(fleet, D_DUPLICATE_NAME, "two of one name");
  host_kill(twin);
  sim_run(fleet->sim, time_from_ms(9000));
  engine_sim *g = fleet->engine[0]->engine;
  g->faults.old_reports = true;
  sim_run(fleet->sim, time_from_ms(1500));
  for (int i = 0; i < fleet->routers; i++) {
    engine *engine = engine_find(fleet->router[i]->router, fleet->engine[0]->self);
    if (engine)
      list_for_each (x, &engine->residents, resident_model, link)
        x->state = RESIDENT_UNLOADING;
  }
  g->faults.old_reports = false;
  g->seq = 0;
  doctor_says(fleet, D_RESIDENT_DIFFERS, "an engine whose reports went back");
  host_kill(fleet->engine[0]);
  sim_run(fleet->sim, time_from_ms(500));
  host_start(fleet->engine[0]);
  sim_run(fleet->sim, time_from_ms(3000));
  router_drain(fleet->router[1]->router);
  sim_run(fleet->sim, time_from_ms(1000));
  doctor_says(fleet, D_DRAINING, "a router that leaves");
  op_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
      "{\"models\":[{\"id\":\"m0\",\"weightsMb\":100},{\"id\":\"huge\",\"weightsMb\":900000}],\"adapters\":[]}",
      NULL, NULL, time_from_ms(5000));
  call_free(call);
  doctor_says(fleet, D_FITS_NO_ENGINE, "a model that fits nowhere");
  fleet->router[2]->router->node.refused_wire_versions = 3;
  doctor_says(fleet, D_VERSION, "messages of another version");
  host *p = fleet_holder(fleet, "pacer");
  if (p) {
    p->router->permits_refused_recently = p->router->permits_granted_recently + 100;
    doctor_says(fleet, D_LOAD_RATE_LIMIT, "a pace that is starved");
  }
  return true;
}

const test_case doctor_tests[] = { { "the_doctor_comes", the_doctor_comes, 5, 4, 50 },
                                   { NULL, NULL, 0, 0, 0 } };
