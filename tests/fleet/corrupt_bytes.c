/** Corrupt input for the readers of configurations, formulas and the write-ahead log: invalid
 * resources are refused with an error code, and a controller starts with any content on its disk.
 * Fleet: three controllers, two routers, two engines.
 */
#include "scenario.h"
#include "tests.h"

enum {
  /* catalogue, policy and evacuation: the resources that are compiled together */
  RESOURCES = RESOURCE_EVACUATION + 1,
  TEXTS = 1500,
  DISK_STARTS = 12
};

/* makes one to six random changes to a valid text, each to one byte or a short run of bytes */
static void corrupt(sim *sim, GString *text) {
  int changes = 1 + (int)sim_random(sim, 6);
  for (int i = 0; i < changes && text->len; i++) {
    size_t at = sim_random(sim, text->len);
    switch (sim_random(sim, 4)) {
    case 0:
      text->str[at] = (char)sim_random(sim, 256);
      break;
    case 1: {
      size_t length = 1 + sim_random(sim, 9);
      g_string_erase(text, at, MIN(text->len - at, length));
      break;
    }
    case 2:
      g_string_insert_len(text, at, text->str + sim_random(sim, text->len), 1);
      break;
    case 3:
      text->str[at] ^= (char)(1 << sim_random(sim, 8));
      break;
    }
  }
}

/* Compiles a resource and returns whether it is valid. An invalid one must be refused with an error
 * code. An evacuation needs the catalogue that names its zones. */
static bool read_resource(fleet *fleet, int resource, const GString *text, const char *catalogue) {
  error err = { 0 };
  json *resources[RESOURCE_COUNT] = { 0 };
  resources[resource] = json_parse(string_view_of_gstring(text), &err);
  if (resource == RESOURCE_EVACUATION)
    resources[RESOURCE_CATALOGUE] = json_parse(string_view_of(catalogue), NULL);
  config *config = resources[resource] ? config_compile((const json **)resources, &err) : NULL;
  bool valid = config != NULL;
  if (!valid && !err.code)
    fleet_add_violation(fleet, "resource refused without an error code: %s", text->str);
  config_free(config);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    json_free(resources[i]);
  return valid;
}

static void evaluate_corrupt_formula(sim *sim) {
  static const double values[FORMULA_VARIABLES] = { 1, 2, 3, 4, 5, 6 };
  GString *text = g_string_new("penalty * (rate + 0.5) / max(size, 2) - idle");
  corrupt(sim, text);
  formula compiled;
  if (!formula_compile(&compiled, text->str, NULL))
    formula_evaluate(&compiled, values);
  g_string_free(text, TRUE);
}

static void read_corrupt_texts(fleet *fleet) {
  char *catalogue = fleet_catalogue_json(6, 4, NULL);
  const char *valid[RESOURCES] = {
    [RESOURCE_CATALOGUE] = catalogue,
    [RESOURCE_POLICY] =
        "{\"loadsPerS\":2,\"kinds\":[{\"id\":\"a\",\"share\":0.5}],\"rules\":[{\"when\":{\"kind\":\"a\"},\"then\":[\"enrol\",\"select\",{\"op\":\"hold\",\"ms\":5},\"proxy\",\"answer\"]}],\"utilities\":[{\"id\":\"u\",\"worth\":\"rate*min(1,size)\"}]}",
    [RESOURCE_EVACUATION] = "{\"areas\":[{\"area\":\"north\",\"share\":0.5}]}"
  };
  int accepted = 0;
  for (int i = 0; i < TEXTS; i++) {
    int resource = i % RESOURCES;
    GString *text = g_string_new(valid[resource]);
    /* the first text of each resource stays valid */
    if (i >= RESOURCES)
      corrupt(fleet->sim, text);
    accepted += read_resource(fleet, resource, text, catalogue);
    g_string_free(text, TRUE);
    evaluate_corrupt_formula(fleet->sim);
  }
  g_free(catalogue);
  if (!accepted || accepted == TEXTS)
    fleet_add_violation(fleet, "%d texts accepted, %d refused", accepted, TEXTS - accepted);
}

static void corrupt_disk(sim *sim, sim_disk *disk) {
  int changes = 1 + (int)sim_random(sim, 40);
  for (int i = 0; i < changes; i++) {
    unsigned file = sim_random(sim, 4);
    size_t at = sim_random(sim, sim_random(sim, 2) ? 4096 : disk->size);
    disk->cached_data[file][at] = disk->durable_data[file][at] = (char)sim_random(sim, 256);
  }
}

/* Corrupts the disk of a controller while it is powered off; it restarts under its identity or as a
 * new member. It must have rejoined the chain before the next disk is corrupted, since two corrupt
 * disks at once may lose writes. */
static bool start_with_corrupt_disks(fleet *fleet) {
  for (int i = 0; i < DISK_STARTS; i++) {
    host *host = fleet->controller[i % 3];
    host_power_off(host);
    corrupt_disk(fleet->sim, host->disk);
    host_start(host);
    sim_run(fleet->sim, time_from_ms(2500));
    if (!scenario_wait_for_chain(fleet, 3, 20000))
      return false;
  }
  return true;
}

static bool readers_refuse_corrupt_bytes(fleet *fleet) {
  read_corrupt_texts(fleet);
  if (!fleet_bring_up(fleet) || !start_with_corrupt_disks(fleet))
    return false;
  scenario_check_acknowledged_writes(fleet);
  return true;
}

const test_case corrupt_bytes_tests[] = { { "readers_refuse_corrupt_bytes",
                                            readers_refuse_corrupt_bytes, 2, 2, 50 },
                                          { NULL, NULL, 0, 0, 0 } };
