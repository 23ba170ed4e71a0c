/** Tests of lib/doctor in a fleet of routers: each injected fault is reported with its code, and a
 * healthy fleet has no findings. The fleet has three controllers, five routers and four engines.
 */
#include "doctor.h"
#include "scenario.h"
#include "tests.h"

/* Time in ms after which peers have declared a killed process gone, or a configuration has reached
 * all nodes. */
enum { NOTICED_MS = 5000 };

static bool put_empty_evacuation(fleet *fleet) {
  return fleet_put(fleet, "evacuation", "{\"areas\":[]}");
}

static void set_disk_delay(fleet *fleet, int delay_ms) {
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->operation_delay_ms = delay_ms;
}

static bool diagnose_lost_controller(fleet *fleet) {
  host_kill(fleet->controller[2]);
  sim_run(fleet->sim, time_from_ms(NOTICED_MS));
  scenario_expect_diagnosis(fleet, D_CHAIN, "a killed controller");
  scenario_expect_diagnosis(fleet, D_NO_ANSWER, "a killed controller");
  scenario_expect_diagnosis(fleet, D_SEED_NO_ANSWER, "a killed seed");
  host_start(fleet->controller[2]);
  return scenario_wait_for_chain(fleet, 3, 15000);
}

static void diagnose_partitioned_router(fleet *fleet) {
  const char *router = fleet->router[0]->self.text;
  sim_run(fleet->sim, time_from_ms(3000));
  for (int i = 0; i < 3; i++)
    sim_set_partition_both_ways(fleet->sim, router, fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(NOTICED_MS));
  scenario_expect_diagnosis(
      fleet, 0,
      "a router partitioned from the controllers only, whose peers confirm its configuration");
  for (int i = 1; i < fleet->routers; i++)
    sim_set_partition_both_ways(fleet->sim, router, fleet->router[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(NOTICED_MS));
  scenario_expect_diagnosis(fleet, D_CONFIG_STALE, "an isolated router");
  sim_heal_partitions(fleet->sim);
  sim_run(fleet->sim, time_from_ms(6000));
}

static bool diagnose_partitioned_controllers(fleet *fleet) {
  for (int i = 1; i < 3; i++)
    sim_set_partition_both_ways(fleet->sim, fleet->controller[0]->self.text,
                                fleet->controller[i]->self.text, true);
  sim_run(fleet->sim, time_from_ms(NOTICED_MS));
  scenario_expect_diagnosis(fleet, D_VIEWS_DIFFER, "partitioned controllers");
  sim_heal_partitions(fleet->sim);
  return scenario_wait_for_chain(fleet, 3, 15000);
}

static void diagnose_lost_holder(fleet *fleet) {
  sim_run(fleet->sim, time_from_ms(8000));
  host *holder = fleet_find_lease_holder(fleet, "engine:engine-1");
  host_kill(holder);
  scenario_expect_diagnosis(fleet, D_NO_SINGLETON_HOLDER, "a killed lease holder");
  host_start(holder);
  sim_run(fleet->sim, time_from_ms(12000));
}

static bool diagnose_slow_disks(fleet *fleet) {
  set_disk_delay(fleet, 350);
  if (!put_empty_evacuation(fleet))
    return false;
  scenario_expect_diagnosis(fleet, D_DISK, "slow disks");
  set_disk_delay(fleet, 0);
  if (!put_empty_evacuation(fleet))
    return false;
  sim_run(fleet->sim, time_from_ms(3000));
  return true;
}

static void diagnose_lost_platform(fleet *fleet) {
  host_kill(fleet->platform);
  sim_run(fleet->sim, time_from_ms(8000));
  scenario_expect_diagnosis(fleet, D_ENGINE_LIST, "a killed platform");
  host_start(fleet->platform);
  sim_run(fleet->sim, time_from_ms(3000));
}

static bool diagnose_slow_links(fleet *fleet) {
  fleet->sim->delay_ms = 300;
  scenario_expect_diagnosis(fleet, D_SLOW_RESPONSE, "slow links");
  fleet->sim->delay_ms = 1;
  sim_run(fleet->sim, time_from_ms(8000));
  return scenario_wait_for_chain(fleet, 3, 15000);
}

static void diagnose_duplicate_name(fleet *fleet) {
  host *duplicate = sim_add_host(fleet->sim, HOST_ROUTER, "router-1", "mid", "127.0.2.99:7000");
  duplicate->settings = fleet->router[0]->settings;
  g_strlcpy(duplicate->settings.address, duplicate->addr, sizeof duplicate->settings.address);
  host_start(duplicate);
  sim_run(fleet->sim, time_from_ms(12000));
  scenario_expect_diagnosis(fleet, D_DUPLICATE_NAME, "two processes with one name");
  host_kill(duplicate);
  sim_run(fleet->sim, time_from_ms(9000));
}

/* The routers believe that an engine unloads its models, and they ignore its reports because their
 * sequence numbers start again at 0. */
static void diagnose_wrong_residents(fleet *fleet) {
  engine_sim *reporter = fleet->engine[0]->engine;
  reporter->faults.stale_reports = true;
  sim_run(fleet->sim, time_from_ms(1500));
  for (int i = 0; i < fleet->routers; i++) {
    engine *known = engine_find(fleet->router[i]->router, fleet->engine[0]->self);
    if (known)
      list_for_each (resident, &known->residents, resident_model, link)
        resident->state = RESIDENT_UNLOADING;
  }
  reporter->faults.stale_reports = false;
  reporter->report_sequence = 0;
  scenario_expect_diagnosis(fleet, D_RESIDENT_DIFFERS,
                            "an engine whose reports went back in sequence");
  host_kill(fleet->engine[0]);
  sim_run(fleet->sim, time_from_ms(500));
  host_start(fleet->engine[0]);
  sim_run(fleet->sim, time_from_ms(3000));
}

static void diagnose_draining_router(fleet *fleet) {
  router_drain(fleet->router[1]->router);
  sim_run(fleet->sim, time_from_ms(1000));
  scenario_expect_diagnosis(fleet, D_DRAINING, "a draining router");
}

static void diagnose_model_that_fits_nowhere(fleet *fleet) {
  operator_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
      "{\"models\":[{\"id\":\"m0\",\"weightsMb\":100},{\"id\":\"huge\",\"weightsMb\":900000}],\"adapters\":[]}",
      NULL, NULL, time_from_ms(5000));
  operator_call_free(call);
  scenario_expect_diagnosis(fleet, D_FITS_NO_ENGINE, "a model larger than every engine");
}

static void diagnose_refused_messages(fleet *fleet) {
  fleet->router[2]->router->node.rpc.refused_wire_versions = 3;
  scenario_expect_diagnosis(fleet, D_WIRE_VERSION, "refused messages of another wire version");
}

static void diagnose_starved_loads(fleet *fleet) {
  host *holder = fleet_find_lease_holder(fleet, "pacer");
  if (!holder)
    return;
  router *router = holder->router;
  router->permits.refused_recently = router->permits.granted_recently + 100;
  scenario_expect_diagnosis(fleet, D_LOAD_RATE_LIMIT,
                            "a load rate limiter that refuses most permits");
}

static bool the_doctor_diagnoses_each_fault(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_run_traffic(fleet, 5, time_from_ms(8000));
  fleet_finish_traffic(fleet);
  scenario_expect_diagnosis(fleet, 0, "a healthy fleet");
  if (!diagnose_lost_controller(fleet))
    return false;
  diagnose_partitioned_router(fleet);
  if (!diagnose_partitioned_controllers(fleet))
    return false;
  diagnose_lost_holder(fleet);
  if (!diagnose_slow_disks(fleet))
    return false;
  diagnose_lost_platform(fleet);
  if (!diagnose_slow_links(fleet))
    return false;
  diagnose_duplicate_name(fleet);
  diagnose_wrong_residents(fleet);
  diagnose_draining_router(fleet);
  diagnose_model_that_fits_nowhere(fleet);
  diagnose_refused_messages(fleet);
  diagnose_starved_loads(fleet);
  return true;
}

const test_case doctor_tests[] = { { "the_doctor_diagnoses_each_fault",
                                     the_doctor_diagnoses_each_fault, 5, 4, 50 },
                                   { NULL, NULL, 0, 0, 0 } };
