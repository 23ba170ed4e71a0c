/** Compatibility of data folders: controllers of this version recover what an earlier version
 * stored. tests/compatibility/controllers/ holds the data folders of three real processes that were
 * killed, and their responses before that; README.md beside it describes how they were made. State
 * is read over HTTP, as operators would, except the acceptor's state, which has no page. */
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

static const char FOLDER[] = "tests/compatibility/controllers";

enum { RING_FILES = 4, STORED_CONTROLLERS = 3, CALL_MS = 10000, START_MS = 8000 };

/** What a data folder holds. */
typedef struct stored_controller {
  const char *zone, *address, *disk;
  double last_sequence;
  uint64_t acceptor_epoch, acceptor_round;
  const char *acceptor_proposer;
  bool acceptor_has_view;
} stored_controller;

static const stored_controller stored[STORED_CONTROLLERS] = {
  { "colombo", "127.91.1.1:7000", "fae70dbafc7be721", 10, 3, 3, "controller-1", true },
  { "gampaha", "127.91.1.2:7000", "f2503ffe9d239919", 10, 3, 3, "controller-1", true },
  { "kalutara", "127.91.1.3:7000", "3dfb5d43a8432dcd", 10, 0, 0, "", false },
};

static const double stored_epoch = 3;
static const char stored_key[] = "stored-2";
static const double stored_key_version = 9;
static const char stored_patch[] = "{\"loadsPerS\":3.5}\n";

/* Copies a stored ring file to the disk of a host. Files and trailing bytes that are not stored are
 * zero. */
static void load_ring_file(sim_disk *disk, unsigned file, const char *path) {
  char *bytes = NULL;
  gsize length = 0;
  disk->cached_data[file] = calloc(1, disk->size);
  disk->durable_data[file] = calloc(1, disk->size);
  disk->creation_synced[file] = true;
  if (!g_file_get_contents(path, &bytes, &length, NULL))
    return;
  g_assert(length <= disk->size);
  memcpy(disk->cached_data[file], bytes, length);
  memcpy(disk->durable_data[file], bytes, length);
  g_free(bytes);
}

static void load_data_folder(host *host) {
  host->disk->size = host->settings.log_file_bytes;
  for (unsigned file = 0; file < RING_FILES; file++) {
    char *path = g_strdup_printf("%s/%s/ring-%02u", FOLDER, host->self.text, file);
    load_ring_file(host->disk, file, path);
    g_free(path);
  }
}

/* Gives a controller of the emulated fleet the settings and the data folder of a stored one. */
static void prepare_controller(host *host, const stored_controller *from) {
  host->zone = host->settings.zone = id_of_text(from->zone);
  g_strlcpy(host->addr, from->address, sizeof host->addr);
  g_strlcpy(host->settings.address, from->address, sizeof host->settings.address);
  for (int i = 0; i < STORED_CONTROLLERS; i++)
    g_strlcpy(host->settings.seed_addresses[i], stored[i].address,
              sizeof host->settings.seed_addresses[i]);
  load_data_folder(host);
}

static void prepare_controllers(fleet *fleet) {
  for (int i = 0; i < STORED_CONTROLLERS; i++)
    prepare_controller(fleet->controller[i], &stored[i]);
}

static char *stored_text(fleet *fleet, const char *page) {
  char *path = g_strdup_printf("%s/%s.json", FOLDER, page), *text = NULL;
  if (!g_file_get_contents(path, &text, NULL, NULL))
    fleet_add_violation(fleet, "%s can't be read", path);
  g_free(path);
  return text;
}

static json *read_page(fleet *fleet, host *host, const char *page) {
  char *path = g_strdup_printf("/v1/%s", page);
  operator_call *call =
      fleet_call(fleet, host, "GET", path, NULL, NULL, NULL, time_from_ms(CALL_MS));
  json *value = call->status == 200 ? json_parse(string_view_of_gstring(call->body), NULL) : NULL;
  if (!value)
    fleet_add_violation(fleet, "%s: %s gives status %d", host->self.text, path, call->status);
  operator_call_free(call);
  g_free(path);
  return value;
}

static void expect_number(fleet *fleet, const char *what, double actual, double expected) {
  if (actual != expected)
    fleet_add_violation(fleet, "%s is %.0f, stored was %.0f", what, actual, expected);
}

static void expect_text(fleet *fleet, const char *what, const char *actual, const char *expected) {
  if (strcmp(actual, expected))
    fleet_add_violation(fleet, "%s is %.200s, stored was %.200s", what, actual, expected);
}

static void expect_same_json(fleet *fleet, const char *what, const json *actual,
                             const char *expected) {
  GString *text = g_string_new(NULL), *wanted = g_string_new(NULL);
  json *stored_value = json_parse(string_view_of(expected ? expected : ""), NULL);
  json_write(actual, text);
  json_write(stored_value, wanted);
  expect_text(fleet, what, text->str, wanted->str);
  json_free(stored_value);
  g_string_free(text, TRUE);
  g_string_free(wanted, TRUE);
}

static bool is_running(sim *sim, void *controller_host) {
  (void)sim;
  const host *host = controller_host;
  return host->controller && host->controller->replica.running;
}

static void expect_acceptor_state(fleet *fleet, const host *host, const stored_controller *from) {
  const acceptor_state *acceptor = &host->controller->replica.acceptor;
  expect_number(fleet, "the acceptor's epoch", (double)acceptor->epoch,
                (double)from->acceptor_epoch);
  expect_number(fleet, "the promised round", (double)acceptor->promised.round,
                (double)from->acceptor_round);
  expect_text(fleet, "the promised proposer", acceptor->promised.proposer.text,
              from->acceptor_proposer);
  expect_number(fleet, "whether a view is accepted", acceptor->has_accepted,
                from->acceptor_has_view);
}

static void expect_view(fleet *fleet, host *host) {
  char *expected = stored_text(fleet, "view");
  json *view = read_page(fleet, host, "view");
  expect_same_json(fleet, "the view", view, expected);
  json_free(view);
  g_free(expected);
}

static void expect_status(fleet *fleet, host *host, const stored_controller *from) {
  json *status = read_page(fleet, host, "status");
  expect_text(fleet, "the disk's id", json_text(json_get(status, "disk"), "id", ""), from->disk);
  expect_number(fleet, "the view's epoch", json_number(status, "epoch", 0), stored_epoch);
  expect_number(fleet, "the sequence number of the last record", json_number(status, "last", 0),
                from->last_sequence);
  if (!json_bool(status, "whole", false))
    fleet_add_violation(fleet, "the stored replica no longer counts as complete");
  json_free(status);
}

/* Each controller starts alone, so its state can only come from its disk. */
static bool each_stored_folder_is_recovered(fleet *fleet) {
  prepare_controllers(fleet);
  host_start(fleet->operator);
  for (int i = 0; i < STORED_CONTROLLERS; i++) {
    host *host = fleet->controller[i];
    host_start(host);
    if (!sim_run_until(fleet->sim, is_running, host, time_from_ms(START_MS))) {
      fleet_add_violation(fleet, "%s does not start on its stored folder", host->self.text);
      return false;
    }
    expect_acceptor_state(fleet, host, &stored[i]);
    expect_status(fleet, host, &stored[i]);
    expect_view(fleet, host);
    host_kill(host);
  }
  return true;
}

static void expect_resource(fleet *fleet, const char *resource) {
  char *expected = stored_text(fleet, resource);
  json *value = read_page(fleet, fleet_find_tail(fleet), resource);
  expect_same_json(fleet, resource, value, expected);
  json_free(value);
  g_free(expected);
}

/* True if the page has the stored singleton lease. */
static bool has_singleton_lease(const json *page, const json *singleton_lease) {
  for (size_t i = 0; i < json_count(page); i++) {
    const json *candidate = json_at(page, i);
    if (!strcmp(json_text(candidate, "duty", ""), json_text(singleton_lease, "duty", "?")) &&
        !strcmp(json_text(candidate, "holder", ""), json_text(singleton_lease, "holder", "?")) &&
        json_number(candidate, "epoch", 0) == json_number(singleton_lease, "epoch", -1))
      return true;
  }
  return false;
}

static void expect_singleton_leases(fleet *fleet) {
  char *text = stored_text(fleet, "contracts");
  json *expected = json_parse(string_view_of(text ? text : ""), NULL);
  json *page = read_page(fleet, fleet_find_tail(fleet), "contracts");
  expect_number(fleet, "the number of singleton leases", (double)json_count(page),
                (double)json_count(expected));
  for (size_t i = 0; i < json_count(expected); i++)
    if (!has_singleton_lease(page, json_at(expected, i)))
      fleet_add_violation(fleet, "the singleton lease %s changed",
                          json_text(json_at(expected, i), "duty", ""));
  json_free(page);
  json_free(expected);
  g_free(text);
}

/* A write that is repeated with its stored idempotency key is recognized and not applied again. */
static void expect_stored_key(fleet *fleet) {
  operator_call *call = fleet_call(fleet, fleet_find_head(fleet), "PATCH", "/v1/policy",
                                   stored_patch, NULL, stored_key, time_from_ms(CALL_MS));
  json *response = json_parse(string_view_of_gstring(call->body), NULL);
  expect_number(fleet, "the status of a repeated write", call->status, 200);
  expect_number(fleet, "the version of a repeated write", json_number(response, "version", 0),
                stored_key_version);
  if (!json_bool(response, "repeated", false))
    fleet_add_violation(fleet, "a write with a stored idempotency key was applied again");
  json_free(response);
  operator_call_free(call);
}

static bool stored_folders_form_a_fleet(fleet *fleet) {
  prepare_controllers(fleet);
  host_start(fleet->operator);
  for (int i = 0; i < STORED_CONTROLLERS; i++)
    host_start(fleet->controller[i]);
  if (!scenario_wait_for_chain(fleet, STORED_CONTROLLERS, START_MS))
    return false;
  sim_run(fleet->sim, time_from_ms(1000));
  for (int i = 0; i < RESOURCE_COUNT; i++)
    expect_resource(fleet, resource_names[i]);
  expect_singleton_leases(fleet);
  expect_stored_key(fleet);
  if (fleet_put(fleet, "evacuation", "{\"areas\":[]}") <= stored[0].last_sequence)
    fleet_add_violation(fleet, "no new write was accepted after the stored ones");
  return true;
}

const test_case stored_data_tests[] = {
  { "each_stored_folder_is_recovered", each_stored_folder_is_recovered, 1, 1, 34 },
  { "stored_folders_form_a_fleet", stored_folders_form_a_fleet, 1, 1, 34 },
  { NULL, NULL, 0, 0, 0 }
};
