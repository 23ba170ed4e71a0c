/** Tests of lib/configuration/settings.c: invalid settings are rejected with the right error code,
 * and the chain is sized for the requested fault tolerance. No fleet is started. */
#include "scenario.h"
#include "tests.h"

static bool bad_settings_are_refused(fleet *fleet) {
  static const struct {
    enum role role;
    const char *text;
    int code;
  } cases[] = {
    { ROLE_ROUTER, "{\"id\":\"v\",\"colour\":1}", E_SETTINGS_KEY },
    { ROLE_ROUTER, "{\"id\":\"\"}", E_SETTINGS_ID },
    { ROLE_ROUTER, "{\"id\":\"v\",\"listen\":\"here:1\"}", E_SETTINGS_ADDRESS },
    { ROLE_ROUTER, "{\"listen\":\"127.0.0.1:99999\"}", E_SETTINGS_ADDRESS },
    { ROLE_ROUTER, "{\"seeds\":[\"127.0.0.1:1\"]}", E_SETTINGS_SEEDS },
    { ROLE_ROUTER, "{\"data\":\"/tmp\"}", E_SETTINGS_KEY },
    { ROLE_ROUTER, "[]", E_SETTINGS_FILE },
    { ROLE_ROUTER, "{", E_SETTINGS_FILE },
    { ROLE_CONTROLLER, "{\"founders\":[\"a\"]}", E_SETTINGS_SEEDS },
    { ROLE_CONTROLLER, "{\"fileMb\":1}", E_SETTINGS_KEY },
    { ROLE_CONTROLLER,
      "{\"id\":\"m\",\"area\":\"n\",\"listen\":\"127.0.0.1:1\",\"seeds\":[\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\"],\"data\":\"/no/such/folder\"}",
      E_SETTINGS_DATA },
    { ROLE_CONTROLLER,
      "{\"id\":\"m\",\"area\":\"n\",\"listen\":\"127.0.0.1:1\",\"seeds\":[\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:3\"]}",
      E_SETTINGS_SEEDS },
    { ROLE_ROUTER,
      "{\"id\":\"m\",\"area\":\"n\",\"listen\":\"127.0.0.1:1\",\"seeds\":[\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\"]}",
      E_SETTINGS_ADDRESS }
  };
  for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
    settings parsed = { 0 };
    error err = { 0 };
    int code = settings_parse(&parsed, cases[i].role, string_view_of(cases[i].text), "test", &err);
    if (!code)
      code = settings_check(&parsed, &err);
    if (code != cases[i].code)
      fleet_add_violation(fleet, "%s got %d %s", cases[i].text, code, err.text);
  }
  return true;
}

static void check_fault_tolerance(fleet *fleet, int machines, int zones, int members, int replicas,
                                  int replica_zones) {
  settings sized = { 0 };
  settings_set_fault_tolerance(&sized, machines, zones);
  if (sized.chain_members != members || sized.write_replicas != replicas ||
      sized.write_zones != replica_zones)
    fleet_add_violation(
        fleet, "%d machines and %d zones: %d members, %d replicas in %d zones, not %d, %d in %d",
        machines, zones, sized.chain_members, sized.write_replicas, sized.write_zones, members,
        replicas, replica_zones);
}

/* For each number of machines and zones that may be lost at once, the chain is large enough that a
 * majority and a replica of every write remain. Never more zones than replicas are required. */
static bool the_chain_fits_tolerated_losses(fleet *fleet) {
  check_fault_tolerance(fleet, 0, 0, 3, 1, 1);
  check_fault_tolerance(fleet, 1, 0, 3, 2, 1);
  check_fault_tolerance(fleet, 2, 0, 5, 3, 1);
  check_fault_tolerance(fleet, 3, 0, 7, 4, 1);
  check_fault_tolerance(fleet, 0, 1, 7, 2, 2);
  check_fault_tolerance(fleet, 1, 1, 7, 2, 2);
  check_fault_tolerance(fleet, 2, 1, 7, 3, 2);
  check_fault_tolerance(fleet, 1, 2, 7, 3, 3);
  return fleet_check_all(fleet);
}

const test_case settings_tests[] = {
  { "bad_settings_are_refused", bad_settings_are_refused, 1, 1, 17 },
  { "the_chain_fits_tolerated_losses", the_chain_fits_tolerated_losses, 1, 1, 5 },
  { NULL, NULL, 0, 0, 0 }
};
