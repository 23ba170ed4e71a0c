/**
 * Fuzz tests of the readers of external bytes (configurations, heartbeats, peer messages, disk
 * frames). Valid inputs are mutated at random by the seed; a test fails by a sanitizer report, or
 * by a property that must hold for every input. Configurations and heartbeats come from
 * tests/fuzz/corpus. tests/http/fuzz_check.py does the same for HTTP.
 */
#include "config_change.h"
#include "dialect.h"
#include "deployment.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

enum { CONFIGURATION_INPUTS = 700, HEARTBEAT_INPUTS = 250, PEER_INPUTS = 500, DISK_STARTS = 10 };
enum { MESSAGES_MAX = 400, MUTATIONS_MAX = 5 };
static const char corpus_dir[] = "tests/fuzz/corpus";

static gint compare_names(gconstpointer a, gconstpointer b) {
  return strcmp(*(char *const *)a, *(char *const *)b);
}

/* reads all files of one kind of input, ordered by name */
static GPtrArray *corpus_read(fleet *fleet, const char *kind) {
  GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
  char *folder = g_build_filename(corpus_dir, kind, NULL);
  GDir *dir = g_dir_open(folder, 0, NULL);
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  const char *name;
  while (dir && (name = g_dir_read_name(dir)))
    g_ptr_array_add(names, g_strdup(name));
  g_ptr_array_sort(names, compare_names);
  for (guint i = 0; i < names->len; i++) {
    char *path = g_build_filename(folder, names->pdata[i], NULL), *text = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL))
      g_ptr_array_add(all, text);
    g_free(path);
  }
  if (dir)
    g_dir_close(dir);
  if (!all->len)
    fleet_add_violation(fleet, "no input files in %s", folder);
  g_ptr_array_free(names, TRUE);
  g_free(folder);
  return all;
}

static const char *const tokens[] = {
  "null",    "true",        "-1",   "0",    "1e308",  "-1e308", "18446744073709551616",
  "1e-9",    "[]",          "{}",   "\"\"", "\"a\":", "[[[",    "}}}}",
  "\\u0000", "\"\\ud800\"", "\xff", ",",    ":",      "\""
};

static void mutate_once(sim *sim, GString *bytes, bool is_text) {
  size_t at = bytes->len ? sim_random(sim, bytes->len) : 0;
  switch (sim_random(sim, is_text ? 7 : 5)) {
  case 0:
    if (bytes->len)
      bytes->str[at] = (char)sim_random(sim, 256);
    return;
  case 1:
    if (bytes->len)
      bytes->str[at] ^= (char)(1 << sim_random(sim, 8));
    return;
  case 2: {
    size_t n = 1 + sim_random(sim, 40);
    g_string_erase(bytes, (gssize)at, (gssize)MIN(bytes->len - at, n));
    return;
  }
  case 3: {
    size_t from = bytes->len ? sim_random(sim, bytes->len) : 0, n = 1 + sim_random(sim, 60);
    char *copy = g_strndup(bytes->str + from, MIN(bytes->len - from, n));
    g_string_insert(bytes, (gssize)at, copy);
    g_free(copy);
    return;
  }
  case 4:
    g_string_truncate(bytes, at);
    return;
  default: {
    /* inserts a token, in half of the cases in place of the text up to the next delimiter */
    const char *token = tokens[sim_random(sim, G_N_ELEMENTS(tokens))];
    size_t n = strcspn(bytes->str + at, ",:]}");
    if (sim_random(sim, 2))
      g_string_erase(bytes, (gssize)at, (gssize)MIN(n, 30));
    g_string_insert(bytes, (gssize)at, token);
  }
  }
}

static GString *mutated_copy(sim *sim, const char *from, size_t n, bool is_text) {
  GString *bytes = g_string_new_len(from, (gssize)n);
  for (size_t i = 1 + sim_random(sim, MUTATIONS_MAX); i > 0; i--)
    mutate_once(sim, bytes, is_text);
  return bytes;
}

static const char *random_input(sim *sim, const GPtrArray *all) {
  return all->pdata[sim_random(sim, all->len)];
}

/* An accepted configuration must be valid, and must not change when it is parsed and written. */
static void check_accepted(fleet *fleet, const GString *text) {
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(text), &err);
  routing *routing = json ? routing_compile(json, &err) : NULL;
  if (!routing)
    fleet_add_violation(fleet, "an accepted configuration is invalid (%s): %s", err.text,
                        text->str);
  GString *again = g_string_new(NULL);
  if (json)
    json_write(json, again);
  if (json && !g_string_equal(again, text))
    fleet_add_violation(fleet, "a configuration changes when it is parsed and written: %s",
                        text->str);
  if (routing) {
    routing_find_route(routing, string_view_of("svc.example"), string_view_of("/once/x"));
    routing_unref(routing);
  }
  g_string_free(again, TRUE);
  json_free(json);
}

static bool fuzz_configurations(fleet *fleet) {
  sim *sim = fleet->sim;
  GPtrArray *full = corpus_read(fleet, "configuration"), *patches = corpus_read(fleet, "patch");
  int accepted = 0, refused = 0;
  if (!full->len || !patches->len)
    return false;
  for (int i = 0; i < CONFIGURATION_INPUTS; i++) {
    bool is_full = sim_random(sim, 2);
    const char *input = random_input(sim, is_full ? full : patches), *base = full->pdata[0];
    GString *text = mutated_copy(sim, input, strlen(input), true), *to = g_string_new(NULL);
    error err = { 0 };
    json *body = json_parse(string_view_of_gstring(text), &err);
    if (!body && !err.code)
      fleet_add_violation(fleet, "JSON is refused without an error code: %s", text->str);
    if (body) {
      uint64_t current = is_full ? 0 : config_change_version(string_view_of(base));
      int code = config_change_apply(string_view_of(is_full ? "" : base), current, is_full, current,
                                     body, to, &err);
      if (code)
        refused++;
      else {
        accepted++;
        check_accepted(fleet, to);
      }
      dialect_translate_in(&dialect_native, body);
      dialect_translate_out(&dialect_native, body);
    }
    json_free(body);
    g_string_free(text, TRUE);
    g_string_free(to, TRUE);
  }
  if (!accepted || !refused)
    fleet_add_violation(fleet,
                        "%d configurations accepted, %d refused: the inputs cover only one outcome",
                        accepted, refused);
  g_ptr_array_free(full, TRUE);
  g_ptr_array_free(patches, TRUE);
  return fleet_check_all(fleet);
}

/** A client that sends requests to a control listener, one after the other. */
typedef struct control_calls {
  fleet *fleet;
  host *from;
  GPtrArray *heartbeats, *configurations;
  char address[64];
  int answered, accepted;
  bool done;
} control_calls;

static void send_control(control_calls *calls, const char *path, const char *verb,
                         string_view body) {
  world *world = &calls->from->world;
  fields *head = g_string_new("Host: control\r\n");
  http_call *call =
      http_call_open_pooled(world, calls->address, verb, path, head, body, false, time_never());
  GString *got = g_string_new(NULL);
  if (http_call_read_all(call, got, time_add(world_now(world), time_from_ms(3000))) == OK)
    calls->answered++;
  calls->accepted += call->status == 200;
  http_call_close(call);
  g_string_free(got, TRUE);
  g_string_free(head, TRUE);
}

static void control_run(void *p) {
  control_calls *calls = p;
  sim *sim = calls->fleet->sim;
  for (int i = 0; i < HEARTBEAT_INPUTS; i++) {
    const char *input = random_input(sim, calls->heartbeats);
    GString *body = mutated_copy(sim, input, strlen(input), true);
    char path[48];
    snprintf(path, sizeof path, "/v1/engines/fuzz-%d/beat", (int)sim_random(sim, 20));
    send_control(calls, path, "POST", string_view_of_gstring(body));
    if (!sim_random(sim, 8))
      send_control(calls, "/v1/routing", "PATCH", string_view_of_gstring(body));
    g_string_free(body, TRUE);
  }
  calls->done = true;
}

/* Mutated heartbeats reach a controller: each gets a response, and gateways keep serving. */
static bool fuzz_heartbeats(fleet *fleet) {
  deployment *deployment = deployment_new(fleet, 2, 1);
  control_calls calls = { .fleet = fleet, .heartbeats = corpus_read(fleet, "beat") };
  if (!deployment_bring_up(deployment) || !calls.heartbeats->len) {
    g_ptr_array_free(calls.heartbeats, TRUE);
    return deployment_finish(deployment, 0);
  }
  const controller *controller = deployment->controller_processes[0]->host->controller;
  snprintf(calls.address, sizeof calls.address, "%s:%d", controller->control_listener.http.ip,
           controller->control_listener.http.port);
  calls.from = sim_add_host(deployment->sim, HOST_OTHER, "fuzzer", "north", "10.9.9.9:7660");
  host_start(calls.from);
  task_start(&calls.from->world.tasks, "control", control_run, &calls);
  for (int i = 0; i < 600 && !calls.done; i++)
    sim_run(deployment->sim, time_from_ms(200));
  if (!calls.done || calls.answered < HEARTBEAT_INPUTS)
    fleet_add_violation(fleet, "only %d requests got a response, for %d heartbeats alone",
                        calls.answered, HEARTBEAT_INPUTS);
  if (!calls.accepted)
    fleet_add_violation(fleet, "no request was accepted: the inputs cover only refusals");
  host_kill(calls.from);
  g_ptr_array_free(calls.heartbeats, TRUE);
  deployment_run_traffic(deployment, 0.5, 3000);
  return deployment_finish(deployment, 0);
}

static GPtrArray *messages;
static void (*sim_post_message)(world *world, const char *addr, string_view msg);

static void post_and_record(world *world, const char *addr, string_view msg) {
  if (messages && messages->len < MESSAGES_MAX)
    g_ptr_array_add(messages, g_string_new_len(msg.data, (gssize)msg.length));
  sim_post_message(world, addr, msg);
}

static void free_message(void *p) {
  g_string_free(p, TRUE);
}

/* starts or stops recording the messages that controllers and routers send */
static void record_messages(fleet *fleet, bool on) {
  for (int i = 0; i < fleet->controllers + fleet->routers; i++) {
    host *host =
        i < fleet->controllers ? fleet->controller[i] : fleet->router[i - fleet->controllers];
    if (on)
      sim_post_message = host->world.post_message;
    host->world.post_message = on ? post_and_record : sim_post_message;
  }
}

/* Delivers mutated peer messages to controllers and routers. A valid message may have an effect,
 * since peers are not authenticated, but no reader may crash. */
static bool fuzz_peer_messages(fleet *fleet) {
  sim *sim = fleet->sim;
  messages = g_ptr_array_new_with_free_func(free_message);
  if (!fleet_bring_up(fleet))
    return false;
  scenario_start_traffic(fleet, 5);
  record_messages(fleet, true);
  fleet_put(fleet, "evacuation", "{\"areas\":[]}");
  sim_run(sim, time_from_ms(400));
  record_messages(fleet, false);
  int read = 0;
  for (int i = 0; i < PEER_INPUTS && messages->len; i++) {
    const GString *from = messages->pdata[sim_random(sim, messages->len)];
    GString *bytes = mutated_copy(sim, from->str, from->len, false);
    Wire__Envelope *envelope =
        wire__envelope__unpack(NULL, bytes->len, (const uint8_t *)bytes->str);
    read += envelope != NULL;
    if (envelope)
      wire__envelope__free_unpacked(envelope, NULL);
    host *host = sim_random(sim, 2) ? fleet->controller[sim_random(sim, fleet->controllers)]
                                    : fleet->router[sim_random(sim, fleet->routers)];
    if (host->alive && host->world.on_message)
      host->world.on_message(host->world.on_message_context, string_view_of_gstring(bytes));
    g_string_free(bytes, TRUE);
    sim_run(sim, time_from_ms(10));
  }
  if (!read)
    fleet_add_violation(fleet, "no mutated message could be parsed (%u messages recorded)",
                        messages->len);
  g_ptr_array_free(messages, TRUE);
  messages = NULL;
  return true;
}

/* Changes bytes where frames are stored: in the first 256 bytes or the first 16 KiB of a file. */
static void mutate_disk(sim *sim, sim_disk *disk) {
  for (int k = 1 + (int)sim_random(sim, 12); k > 0; k--) {
    unsigned file = (unsigned)sim_random(sim, 4);
    size_t at = sim_random(sim, sim_random(sim, 2) ? 256 : 16384), n = 1 + sim_random(sim, 16);
    if (!disk->cached_data[file] || at + n > disk->size)
      continue;
    size_t from = sim_random(sim, 16384);
    bool copies = sim_random(sim, 2);
    for (size_t i = 0; i < n; i++) {
      char byte = copies ? disk->cached_data[file][from + i] : (char)sim_random(sim, 256);
      disk->cached_data[file][at + i] = disk->durable_data[file][at + i] = byte;
    }
  }
}

/* Mutates the frames on the disk of one controller at a time. The controller restarts under its
 * identity or as a new member, and no acknowledged write is lost. */
static bool fuzz_disk_frames(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  for (int i = 0; i < DISK_STARTS; i++) {
    host *host = fleet->controller[i % 3];
    if (!fleet_put(fleet, "evacuation", "{\"areas\":[]}"))
      fleet_add_violation(fleet, "no write was acknowledged before restart %d", i);
    host_power_off(host);
    mutate_disk(fleet->sim, host->disk);
    host_start(host);
    sim_run(fleet->sim, time_from_ms(2500));
    if (!scenario_wait_for_chain(fleet, 3, 20000))
      return false;
  }
  scenario_check_acknowledged_writes(fleet);
  return true;
}

const test_case input_fuzzing_tests[] = { { "fuzz_configurations", fuzz_configurations, 1, 1, 100 },
                                          { "fuzz_heartbeats", fuzz_heartbeats, 2, 0, 34 },
                                          { "fuzz_peer_messages", fuzz_peer_messages, 3, 3, 50 },
                                          { "fuzz_disk_frames", fuzz_disk_frames, 2, 2, 100 },
                                          { NULL, NULL, 0, 0, 0 } };
