/** Helpers shared by the tests of most modules; see scenario.h. */
#include "scenario.h"
#include "doctor.h"
#include <stdio.h>

enum {
  /* attempts of a read, since the member lease of the tail may expire before the call reaches it */
  READ_ATTEMPTS_MAX = 21,
  READ_RETRY_MS = 300,
  READ_TIMEOUT_MS = 10000,
  /* enough for all probes of the doctor, each with its own timeout */
  DOCTOR_TIMEOUT_MS = 200000,
  /* jitter of the message delay in a healed fleet, in ms */
  HEALED_JITTER_MS = 2
};

const char *const zone_names[3] = { "north", "mid", "south" };

typedef struct chain_expectation {
  fleet *fleet;
  int chain_length;
} chain_expectation;

static bool chain_acts(sim *sim, void *context) {
  const chain_expectation *expected = context;
  host *tail = fleet_find_tail(expected->fleet);
  (void)sim;
  return tail && fleet_find_head(expected->fleet) &&
         tail->controller->replica.view.chain_length == expected->chain_length;
}

bool scenario_wait_for_chain(fleet *fleet, int chain_length, int64_t timeout_ms) {
  chain_expectation expected = { fleet, chain_length };
  if (sim_run_until(fleet->sim, chain_acts, &expected, time_from_ms(timeout_ms)))
    return true;
  fleet_add_violation(fleet, "no acting chain of %d after %" PRId64 " ms", chain_length,
                      timeout_ms);
  return false;
}

char *scenario_evacuation_json(int share10) {
  return g_strdup_printf("{\"areas\":[{\"area\":\"north\",\"share\":0.%d}]}", share10);
}

/* Returns the version of the latest acknowledged write of a resource; 0 when there was none. */
static uint64_t acknowledged_version(const fleet *fleet, int resource) {
  uint64_t latest = 0;
  for (guint i = 0; i < fleet->write_acks->len; i++) {
    const write_ack *write = &g_array_index(fleet->write_acks, write_ack, i);
    if (write->resource == resource)
      latest = MAX(latest, write->version);
  }
  return latest;
}

/* Reads a resource at the tail. Returns the status; 503 when there is no tail. */
static int read_at_tail(fleet *fleet, int resource, uint64_t *version) {
  char path[40];
  snprintf(path, sizeof path, "/v1/%s", resource_names[resource]);
  *version = 0;
  host *tail = fleet_find_tail(fleet);
  if (!tail)
    return 503;
  operator_call *call =
      fleet_call(fleet, tail, "GET", path, NULL, NULL, NULL, time_from_ms(READ_TIMEOUT_MS));
  int status = call->status;
  *version = call->version;
  operator_call_free(call);
  return status;
}

static void check_resource_kept(fleet *fleet, int resource, uint64_t acknowledged) {
  uint64_t version;
  int status = read_at_tail(fleet, resource, &version);
  for (int attempt = 1; status == 503 && attempt < READ_ATTEMPTS_MAX; attempt++) {
    sim_run(fleet->sim, time_from_ms(READ_RETRY_MS));
    status = read_at_tail(fleet, resource, &version);
  }
  if (status != 200 || version < acknowledged)
    fleet_add_violation(
        fleet, "R5 %s was acknowledged as write %" PRIu64 " and is read as %" PRIu64 " (%d)",
        resource_names[resource], acknowledged, version, status);
}

void scenario_check_acknowledged_writes(fleet *fleet) {
  for (int resource = 0; resource < RESOURCE_COUNT; resource++) {
    uint64_t acknowledged = acknowledged_version(fleet, resource);
    if (acknowledged)
      check_resource_kept(fleet, resource, acknowledged);
  }
}

host *scenario_create_controller(fleet *fleet, int n, const host *like, const char *zone) {
  char name[32], address[48];
  snprintf(name, sizeof name, "controller-%d", n);
  snprintf(address, sizeof address, "127.0.1.%d:7000", n + 40);
  host *created = sim_add_host(fleet->sim, HOST_CONTROLLER, name, zone, address);
  created->settings = like->settings;
  created->settings.self = created->self;
  created->settings.zone = created->zone;
  g_strlcpy(created->settings.address, address, sizeof created->settings.address);
  fleet->controller[n - 1] = created;
  return created;
}

void scenario_start_traffic(fleet *fleet, double per_s) {
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.requests_per_s = per_s;
  loadgen->stop = false;
  loadgen_start(loadgen);
}

void scenario_power_off_zone(fleet *fleet, const char *zone) {
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role <= HOST_ENGINE && !strcmp(h->zone.text, zone))
      host_power_off(h);
}

void scenario_heal_all(fleet *fleet) {
  list_for_each (h, &fleet->sim->hosts, host, link) {
    if (!h->alive)
      host_start(h);
    if (h->frozen)
      host_unfreeze(h);
  }
  sim_heal_partitions(fleet->sim);
  fleet->sim->loss_ratio = 0;
  fleet->sim->jitter_ms = HEALED_JITTER_MS;
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->disk->operation_delay_ms = 0;
}

void scenario_write_markers(fleet *fleet, int64_t span_ms, int64_t interval_ms) {
  time_us until = time_add(fleet->sim->now, time_from_ms(span_ms)),
          interval = time_from_ms(interval_ms);
  while (fleet->sim->now.us < until.us) {
    fleet_write_policy_marker(fleet);
    time_us remaining = time_sub(until, fleet->sim->now);
    sim_run(fleet->sim, remaining.us < interval.us ? remaining : interval);
  }
}

/* A run of the doctor as a task of the operator's host. */
typedef struct doctor_examination {
  fleet *fleet;
  GArray *findings; /* elements are finding; freed by the task that waits for this run */
  bool done;
} doctor_examination;

static void doctor_run(void *context) {
  doctor_examination *examination = context;
  fleet *fleet = examination->fleet;
  char *addresses[G_N_ELEMENTS(fleet->controller)];
  for (int i = 0; i < fleet->controllers; i++)
    addresses[i] = fleet->controller[i]->addr;
  examination->findings = doctor_examine(&fleet->operator->world, addresses, fleet->controllers);
  examination->done = true;
}

static bool doctor_done(sim *sim, void *context) {
  const doctor_examination *examination = context;
  (void)sim;
  return examination->done;
}

static bool has_finding(const GArray *findings, int code) {
  if (!code)
    return !findings->len;
  for (guint i = 0; i < findings->len; i++)
    if (g_array_index(findings, finding, i).code == code)
      return true;
  return false;
}

void scenario_expect_diagnosis(fleet *fleet, int code, const char *when) {
  doctor_examination examination = { fleet, NULL, false };
  task_start(&fleet->operator->world.tasks, "doctor", doctor_run, &examination);
  if (!sim_run_until(fleet->sim, doctor_done, &examination, time_from_ms(DOCTOR_TIMEOUT_MS))) {
    fleet_add_violation(fleet, "the doctor did not end in time");
    return;
  }
  if (!has_finding(examination.findings, code)) {
    fleet_add_violation(fleet, "%s: the doctor does not report %d", when, code);
    for (guint i = 0; i < examination.findings->len; i++) {
      const finding *found = &g_array_index(examination.findings, finding, i);
      fleet_add_violation(fleet, "  instead it reports %d %s", found->code, found->evidence);
    }
  }
  g_array_free(examination.findings, TRUE);
}
