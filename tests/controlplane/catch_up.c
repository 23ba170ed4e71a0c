/**
 * Tests of catching up. A controller that was restarted or returns with an empty disk must be in
 * sync within the time for which it counts as lost (syncS in the requirements), regardless of the
 * size of the state and the rate of changes. No controller may act as head with an old state, or
 * return one.
 */
#include "replica.h"
#include "tests.h"
#include <stdio.h>

enum {
  SMALL_CHAIN_SYNC_MS = 4000,
  LARGE_CHAIN_SYNC_MS = 6000,
  LOG_FILE_BYTES = 8 << 20,
  FAST_LINK_BYTES_PER_S = 1000 * 1000 * 1000 / 8,
  SLOW_LINK_BYTES_PER_S = 10 * 1000 * 1000 / 8,
  SLOW_DISK_MS = 15,
  MAX_MODELS = 19000,
  MAX_READS = 2000,
  READ_INTERVAL_MS = 70
};

/** A read by the operator, and the highest version known when it was sent. */
typedef struct pending_read {
  operator_call *call;
  uint64_t min_version;
} pending_read;

/** Changes and reads that are sent while controllers stop and start. */
typedef struct workload {
  fleet *fleet;
  int64_t change_interval_ms;
  /* number of models and adapters in the catalogue that each change writes; 0: write small changes
   * of the evacuation */
  int entries;
  time_us next_change_at, next_read_at;
  int sent;
  uint64_t seen;
  guint next_ack;
  /* the host that reads are sent to (NULL: a random one), and the interval between them */
  host *read_host;
  int64_t read_interval_ms;
  pending_read reads[MAX_READS];
  int open_reads, answered, acked;
} workload;

/* Returns a catalogue with the given number of models and adapters, of which at most MAX_MODELS are
 * models. */
static char *catalogue_text(int entries) {
  int models = MIN(entries, MAX_MODELS);
  return fleet_catalogue_json(models, entries - models, NULL);
}

static void workload_send_change(workload *workload) {
  fleet *fleet = workload->fleet;
  char *text = workload->entries ? catalogue_text(workload->entries + workload->sent % 2)
                                 : scenario_evacuation_json(1 + workload->sent % 9);
  host *to = fleet->controller[sim_random(fleet->sim, (uint64_t)fleet->controllers)];
  workload->sent++;
  if (to->alive && !to->frozen)
    fleet_send(fleet, to, "PUT", workload->entries ? "/v1/catalogue" : "/v1/evacuation", text, NULL,
               NULL)
        ->self_freeing = true;
  g_free(text);
}

/* Collects acknowledged changes and finished reads. Every read that starts later must return the
 * highest version seen so far or a later one. */
static void workload_collect(workload *workload) {
  fleet *fleet = workload->fleet;
  int resource = workload->entries ? RESOURCE_CATALOGUE : RESOURCE_EVACUATION;
  for (; workload->next_ack < fleet->write_acks->len; workload->next_ack++) {
    write_ack *ack = &g_array_index(fleet->write_acks, write_ack, workload->next_ack);
    if (ack->resource != resource)
      continue;
    workload->seen = MAX(workload->seen, ack->version);
    workload->acked++;
  }
  for (int i = 0; i < workload->open_reads; i++) {
    operator_call *call = workload->reads[i].call;
    if (!call->done)
      continue;
    if (call->status == 200 && call->version < workload->reads[i].min_version)
      fleet_add_violation(
          fleet, "a read at %s gave version %" PRIu64 " after %" PRIu64 " was known: %.60s",
          call->addr, call->version, workload->reads[i].min_version, call->body->str);
    if (call->status == 200) {
      workload->answered++;
      workload->seen = MAX(workload->seen, call->version);
    }
    operator_call_free(call);
    workload->reads[i--] = workload->reads[--workload->open_reads];
  }
}

static void workload_send_read(workload *workload) {
  fleet *fleet = workload->fleet;
  host *to = workload->read_host
                 ? workload->read_host
                 : fleet->controller[sim_random(fleet->sim, (uint64_t)fleet->controllers)];
  if (!to->alive || workload->open_reads == MAX_READS)
    return;
  operator_call *call = fleet_send(
      fleet, to, "GET", workload->entries ? "/v1/catalogue" : "/v1/evacuation", NULL, NULL, NULL);
  workload->reads[workload->open_reads++] = (pending_read){ call, workload->seen };
}

static void workload_step(workload *workload, int64_t ms) {
  sim *sim = workload->fleet->sim;
  sim_run(sim, time_from_ms(ms));
  workload_collect(workload);
  if (workload->change_interval_ms && time_reached(sim->now, workload->next_change_at)) {
    workload->next_change_at = time_add(sim->now, time_from_ms(workload->change_interval_ms));
    workload_send_change(workload);
  }
  if (time_reached(sim->now, workload->next_read_at)) {
    workload->next_read_at =
        time_add(sim->now, time_from_ms(workload->read_interval_ms ? workload->read_interval_ms
                                                                   : READ_INTERVAL_MS));
    workload_send_read(workload);
  }
}

static void workload_run(workload *workload, int64_t ms) {
  int64_t step = workload->read_interval_ms ? workload->read_interval_ms : 10;
  for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += step)
    workload_step(workload, step);
}

/* Sends no more changes and waits for the calls in flight. */
static void workload_end(workload *workload) {
  workload->change_interval_ms = 0;
  workload->next_read_at = time_never();
  for (int round = 0; round < 400 && workload->open_reads; round++)
    workload_step(workload, 100);
  if (!workload->answered)
    fleet_add_violation(workload->fleet, "no read was answered");
  while (workload->open_reads)
    operator_call_free(workload->reads[--workload->open_reads].call);
}

static bool start_controllers(fleet *fleet, int members, size_t log_file_bytes) {
  while (fleet->controllers < members)
    chain_add_controller(fleet, fleet->controllers + 1);
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.log_file_bytes = log_file_bytes;
  chain_bootstrap_by_address(fleet, 3);
  chain_set_size(fleet, members, members / 2 + 1, 1);
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  chain_clear_founders(fleet);
  return chain_wait_for_shape(fleet, members, members, 10000);
}

static void put_catalogue(fleet *fleet, int entries) {
  char *text = catalogue_text(entries);
  if (!fleet_put(fleet, "catalogue", text))
    fleet_add_violation(fleet, "a catalogue of %zu bytes was not accepted", strlen(text));
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step state-kb %zu\n", strlen(text) >> 10);
  g_free(text);
}

/* Whether a controller is an in-sync member and voter of the latest view known to any live
 * controller; the view of a controller that has just started may be old. */
static bool is_in_sync_member(const fleet *fleet, const host *host) {
  if (!host->alive || !host->controller->replica.running)
    return false;
  uint64_t latest_epoch = 0;
  for (int i = 0; i < fleet->controllers; i++)
    if (fleet->controller[i]->alive)
      latest_epoch = MAX(latest_epoch, fleet->controller[i]->controller->replica.view.epoch);
  const replica *replica = &host->controller->replica;
  return replica->view.epoch == latest_epoch && replica_chain_index(replica) >= 0 &&
         replica->in_sync && replica_voter_index(replica) >= 0;
}

/* Runs until a returned controller is in sync and votes. Adds a violation if this takes longer than
 * max_ms. */
static void check_catch_up_time(workload *workload, host *host, time_us from, int64_t max_ms,
                                const char *what) {
  fleet *fleet = workload->fleet;
  while (!is_in_sync_member(fleet, host) && time_sub(fleet->sim->now, from).us < max_ms * 2000)
    workload_step(workload, 10);
  double s = (double)time_sub(fleet->sim->now, from).us / 1e6;
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step %s %.2f\n", what, s);
  if (s * 1000 > (double)max_ms)
    fleet_add_violation(fleet, "%s: %s is in sync %.2f s after its start, with %d changes accepted",
                        what, host->self.text, s, workload->acked);
}

static void restart_empty(host *host) {
  host_power_off(host);
  host_wipe_disk(host);
  host_start(host);
}

/* Two controllers fetch the same state in many chunks, at different offsets, from one member. */
static bool two_come_back_empty_at_once(fleet *fleet) {
  if (!start_controllers(fleet, 5, LOG_FILE_BYTES))
    return false;
  fleet->sim->bytes_per_s = SLOW_LINK_BYTES_PER_S;
  put_catalogue(fleet, 10000 + (int)sim_random(fleet->sim, 20000));
  workload load = { .fleet = fleet, .change_interval_ms = 100 };
  for (int round = 0; round < 2; round++) {
    workload_run(&load, 3000);
    int a = (int)sim_random(fleet->sim, 5), b = (a + 1 + (int)sim_random(fleet->sim, 4)) % 5;
    restart_empty(fleet->controller[a]);
    time_us first = fleet->sim->now;
    sim_run(fleet->sim, (time_us){ (int64_t)sim_random(fleet->sim, 600000) });
    restart_empty(fleet->controller[b]);
    time_us second = fleet->sim->now;
    check_catch_up_time(&load, fleet->controller[a], first, LARGE_CHAIN_SYNC_MS, "empty-first");
    check_catch_up_time(&load, fleet->controller[b], second, LARGE_CHAIN_SYNC_MS, "empty-second");
  }
  workload_end(&load);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

/* Requests one chunk of a snapshot. Returns the number of bytes received, or 0 if the request was
 * refused. */
static size_t fetch_snapshot_chunk(host *host, uint64_t *seq, size_t off, GString *to) {
  Wire__SnapshotRequest request = WIRE__SNAPSHOT_REQUEST__INIT;
  Wire__Envelope in = wire_envelope(WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, &request);
  reply out = { WIRE__ENVELOPE__INIT, NULL };
  error err = { 0 };
  size_t n = 0;
  request.sequence = *seq;
  request.offset = off;
  if (!snapshot_on_request(&host->controller->replica, &in, &out, &err)) {
    n = out.envelope.snapshot_response->chunk.len;
    *seq = out.envelope.snapshot_response->sequence;
    g_string_append_len(to, (char *)out.envelope.snapshot_response->chunk.data, (gssize)n);
  }
  if (out.allocations)
    g_ptr_array_free(out.allocations, TRUE);
  return n;
}

/* All chunks of one fetch must belong to the same state, even if other fetches start and end in
 * between and the state changes. A snapshot that is no longer fetched must be freed. */
static bool a_snapshot_is_kept_for_all_fetches(fleet *fleet) {
  if (!start_controllers(fleet, 3, LOG_FILE_BYTES))
    return false;
  put_catalogue(fleet, 19000 + (int)sim_random(fleet->sim, 6000));
  host *host = fleet_find_head(fleet);
  GString *fetched[3];
  uint64_t seq[3] = { 0 };
  for (int i = 0; i < 3; i++)
    fetched[i] = g_string_new(NULL);
  /* the first fetch is in progress; the second starts after a change and fetches everything */
  if (!fetch_snapshot_chunk(host, &seq[0], 0, fetched[0]))
    fleet_add_violation(fleet, "a first chunk was refused");
  chain_put_evacuation(fleet, 1, "while a state is fetched");
  for (size_t n; (n = fetch_snapshot_chunk(host, &seq[1], fetched[1]->len, fetched[1]));)
    ;
  chain_put_evacuation(fleet, 2, "while a state is fetched");
  fetch_snapshot_chunk(host, &seq[2], 0, fetched[2]);
  for (int i = 0; i < 3; i++) {
    while (fetch_snapshot_chunk(host, &seq[i], fetched[i]->len, fetched[i]))
      ;
    state state;
    state_init(&state);
    if (!state_unpack(&state, string_view_of_gstring(fetched[i])) || state.seq != seq[i])
      fleet_add_violation(fleet, "the state that fetcher %d got in %zu bytes is not valid", i,
                          fetched[i]->len);
    state_free(&state);
    g_string_free(fetched[i], TRUE);
  }
  sim_run(fleet->sim, time_from_ms(2 * SNAPSHOT_IDLE_MS));
  for (int i = 0; i < SNAPSHOTS_MAX; i++)
    if (host->controller->replica.snapshot_cache.entries[i].packed)
      fleet_add_violation(fleet, "a snapshot that is no longer fetched was not freed");
  return true;
}

/* The state changes ten times a second while a controller fetches it. */
static bool catches_up_under_load(fleet *fleet, int members, int entries, int64_t rate,
                                  int64_t disk_ms) {
  if (!start_controllers(fleet, members, LOG_FILE_BYTES))
    return false;
  int64_t max_ms = members > 3 ? LARGE_CHAIN_SYNC_MS : SMALL_CHAIN_SYNC_MS;
  fleet->sim->bytes_per_s = rate;
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->operation_delay_ms = disk_ms;
  if (entries)
    put_catalogue(fleet, entries);
  workload load = { .fleet = fleet, .change_interval_ms = 100, .entries = entries };
  for (int round = 0; round < 3; round++) {
    workload_run(&load, 4000);
    host *host = fleet->controller[sim_random(fleet->sim, (uint64_t)members)];
    host_power_off(host);
    bool empty = sim_random(fleet->sim, 2);
    if (empty)
      host_wipe_disk(host);
    workload_run(&load, (int64_t)sim_random(fleet->sim, 4000));
    host_start(host);
    check_catch_up_time(&load, host, fleet->sim->now, max_ms,
                        empty ? "storm-empty" : "storm-restarted");
  }
  int acked = load.acked;
  workload_end(&load);
  if (acked < 20)
    fleet_add_violation(fleet, "only %d changes were accepted", acked);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

static bool a_member_catches_up_during_small_changes(fleet *fleet) {
  return catches_up_under_load(fleet, sim_random(fleet->sim, 2) ? 5 : 3, 0, FAST_LINK_BYTES_PER_S,
                               SLOW_DISK_MS);
}

static bool a_member_catches_up_during_large_changes(fleet *fleet) {
  return catches_up_under_load(fleet, sim_random(fleet->sim, 2) ? 5 : 3,
                               5000 + (int)sim_random(fleet->sim, 45000), FAST_LINK_BYTES_PER_S,
                               sim_random(fleet->sim, 2) ? SLOW_DISK_MS : 0);
}

static bool a_member_catches_up_over_slow_links(fleet *fleet) {
  return catches_up_under_load(fleet, sim_random(fleet->sim, 2) ? 5 : 3,
                               400 + (int)sim_random(fleet->sim, 1200), SLOW_LINK_BYTES_PER_S,
                               SLOW_DISK_MS);
}

/* While a member is down, several times more changes are made than are kept in memory. */
static bool a_member_misses_thousands_of_changes(fleet *fleet) {
  if (!start_controllers(fleet, 3, LOG_FILE_BYTES))
    return false;
  workload load = { .fleet = fleet, .change_interval_ms = 20 };
  for (int round = 0; round < 3; round++) {
    workload_run(&load, 2000);
    host *host = fleet->controller[sim_random(fleet->sim, 3)];
    host_power_off(host);
    workload_run(&load, 50000);
    host_start(host);
    check_catch_up_time(&load, host, fleet->sim->now, SMALL_CHAIN_SYNC_MS, "after-thousands");
  }
  if (load.acked < 3000)
    fleet_add_violation(fleet, "only %d changes were accepted", load.acked);
  workload_end(&load);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

/* Power fails at a random time during a snapshot fetch and the writes that store it: at the
 * fetching controller, at all others, or at all controllers. */
static bool power_fails_while_a_state_is_fetched(fleet *fleet) {
  int members = sim_random(fleet->sim, 2) ? 5 : 3;
  if (!start_controllers(fleet, members, 1 << 20))
    return false;
  fleet->sim->bytes_per_s = FAST_LINK_BYTES_PER_S;
  for (int i = 0; i < fleet->controllers; i++) {
    fleet->controller[i]->disk->tears_writes = true;
    fleet->controller[i]->disk->operation_delay_ms = 5;
  }
  put_catalogue(fleet, 4000 + (int)sim_random(fleet->sim, 4000));
  workload load = { .fleet = fleet, .change_interval_ms = 100 };
  for (int round = 0; round < 4; round++) {
    workload_run(&load, 2000);
    host *host = fleet->controller[sim_random(fleet->sim, (uint64_t)members)];
    restart_empty(host);
    time_us started_at = fleet->sim->now;
    int64_t us = (int64_t)sim_random(fleet->sim, 2500000);
    workload_run(&load, us / 1000);
    sim_run(fleet->sim, (time_us){ us % 1000 });
    int victims = (int)sim_random(fleet->sim, 3);
    for (int i = 0; i < fleet->controllers; i++)
      if (victims == 2 || (victims == 0) == (fleet->controller[i] == host))
        host_power_off(fleet->controller[i]);
    workload_run(&load, (int64_t)sim_random(fleet->sim, 700));
    for (int i = 0; i < fleet->controllers; i++)
      if (!fleet->controller[i]->alive) {
        host_start(fleet->controller[i]);
        started_at = fleet->sim->now;
      }
    int64_t max_ms = members > 3 ? LARGE_CHAIN_SYNC_MS : SMALL_CHAIN_SYNC_MS;
    check_catch_up_time(&load, host, started_at, max_ms, "power-in-a-fetch");
    if (!chain_wait_for_shape(fleet, members, members, max_ms))
      return false;
  }
  workload_end(&load);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

/* A member that has just joined drains and is removed. The others still hold its join request and
 * could let it join again without a new fetch, although it lacks what was written in between. */
static bool a_member_joins_twice_on_one_fetch(fleet *fleet) {
  if (!start_controllers(fleet, 3, LOG_FILE_BYTES))
    return false;
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->operation_delay_ms = SLOW_DISK_MS;
  workload load = { .fleet = fleet, .change_interval_ms = 40 };
  workload_run(&load, 2000);
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  restart_empty(host);
  check_catch_up_time(&load, host, fleet->sim->now, SMALL_CHAIN_SYNC_MS, "before-it-leaves");
  controller_drain(host->controller);
  load.read_host = host;
  load.read_interval_ms = 2;
  workload_run(&load, 2500);
  load.read_host = NULL;
  load.read_interval_ms = 0;
  host_kill(host);
  host_start(host);
  check_catch_up_time(&load, host, fleet->sim->now, SMALL_CHAIN_SYNC_MS, "after-it-left");
  workload_end(&load);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

/* All controllers lose power and one returns empty. The others know only the checkpoint of their
 * log to be committed, so this is what it fetches. It must not serve reads from that state once it
 * is the tail. */
static bool a_new_tail_reads_what_was_written(fleet *fleet) {
  if (!start_controllers(fleet, 3, LOG_FILE_BYTES))
    return false;
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->operation_delay_ms = SLOW_DISK_MS;
  workload load = { .fleet = fleet, .change_interval_ms = 100 };
  workload_run(&load, 3000);
  load.change_interval_ms = 0;
  workload_run(&load, 500);
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  for (int i = 0; i < fleet->controllers; i++)
    host_power_off(fleet->controller[i]);
  host_wipe_disk(host);
  for (int i = 0; i < fleet->controllers; i++)
    host_start(fleet->controller[i]);
  load.read_host = host;
  load.read_interval_ms = 2;
  workload_run(&load, SMALL_CHAIN_SYNC_MS);
  load.read_host = NULL;
  load.read_interval_ms = 0;
  workload_end(&load);
  scenario_check_acknowledged_writes(fleet);
  return true;
}

const test_case catch_up_tests[] = {
  { "two_come_back_empty_at_once", two_come_back_empty_at_once, 1, 1, 34 },
  { "a_snapshot_is_kept_for_all_fetches", a_snapshot_is_kept_for_all_fetches, 1, 1, 34 },
  { "a_member_catches_up_during_small_changes", a_member_catches_up_during_small_changes, 1, 1,
    100 },
  { "a_member_catches_up_during_large_changes", a_member_catches_up_during_large_changes, 1, 1,
    17 },
  { "a_member_catches_up_over_slow_links", a_member_catches_up_over_slow_links, 1, 1, 50 },
  { "a_member_joins_twice_on_one_fetch", a_member_joins_twice_on_one_fetch, 1, 1, 100 },
  { "a_new_tail_reads_what_was_written", a_new_tail_reads_what_was_written, 1, 1, 100 },
  { "a_member_misses_thousands_of_changes", a_member_misses_thousands_of_changes, 1, 1, 17 },
  { "power_fails_while_a_state_is_fetched", power_fails_while_a_state_is_fetched, 1, 1, 200 },
  { NULL, NULL, 0, 0, 0 }
};
