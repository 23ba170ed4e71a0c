/** Catching up: a member that was restarted, or comes back empty, is whole within the span for
 * which it counts as lost (syncS on the pages), whatever the state weighs and however fast it
 * changes; and no machine leads with, or gives out, an old state. */
#include "replica.h"
#include "tests.h"
#include <stdio.h>

enum {
  SMALL_SYNC_MS = 4000,
  GROWN_SYNC_MS = 6000,
  RING_BYTES = 8 << 20,
  CORE_LINK = 1000 * 1000 * 1000 / 8,
  SLOW_LINK = 10 * 1000 * 1000 / 8,
  SLOW_DISK_MS = 15,
  MODELS_MOST = 19000,
  READS_MOST = 2000,
  READ_EVERY_MS = 70
};

/** A read by the operator, and the youngest version that anyone had seen when it was sent. */
typedef struct read_back {
  op_call *call;
  uint64_t floor;
} read_back;

/** Changes and reads that go on while machines come and go. */
typedef struct storm {
  fleet *fleet;
  int64_t every_ms;
  /* models and adapters in the catalogue that each change brings; 0: small changes of the
   * evacuation */
  int entries;
  time_us change_due, read_due;
  int sent;
  uint64_t seen;
  guint acks;
  /* whom reads go to, and how often; NULL: to any */
  host *at;
  int64_t read_ms;
  read_back reads[READS_MOST];
  int open, answered, acked;
} storm;

/* a catalogue of so many models and adapters; each kind has a most */
static char *large_text(int entries) {
  int models = MIN(entries, MODELS_MOST);
  return fleet_catalogue(models, entries - models, NULL);
}

static void storm_change(storm *x) {
  fleet *fleet = x->fleet;
  char *text = x->entries ? large_text(x->entries + x->sent % 2) : area_text(1 + x->sent % 9);
  host *to = fleet->controller[sim_draw(fleet->sim, (uint64_t)fleet->controllers)];
  x->sent++;
  if (to->alive && !to->frozen)
    fleet_send(fleet, to, "PUT", x->entries ? "/v1/catalogue" : "/v1/evacuation", text, NULL, NULL)
        ->own = true;
  g_free(text);
}

/* what was acknowledged, and what was read, binds every read that begins later */
static void storm_fold(storm *x) {
  fleet *fleet = x->fleet;
  int which = x->entries ? RESOURCE_CATALOGUE : RESOURCE_EVACUATION;
  for (; x->acks < fleet->acks->len; x->acks++) {
    ack *a = &g_array_index(fleet->acks, ack, x->acks);
    if (a->which != which)
      continue;
    x->seen = MAX(x->seen, a->version);
    x->acked++;
  }
  for (int i = 0; i < x->open; i++) {
    op_call *call = x->reads[i].call;
    if (!call->done)
      continue;
    if (call->status == 200 && call->version < x->reads[i].floor)
      violation(fleet, "a read at %s gave version %" PRIu64 " after %" PRIu64 " was known: %.60s",
                call->addr, call->version, x->reads[i].floor, call->body->str);
    if (call->status == 200) {
      x->answered++;
      x->seen = MAX(x->seen, call->version);
    }
    call_free(call);
    x->reads[i--] = x->reads[--x->open];
  }
}

static void storm_read(storm *x) {
  fleet *fleet = x->fleet;
  host *to = x->at ? x->at : fleet->controller[sim_draw(fleet->sim, (uint64_t)fleet->controllers)];
  if (!to->alive || x->open == READS_MOST)
    return;
  op_call *call = fleet_send(fleet, to, "GET", x->entries ? "/v1/catalogue" : "/v1/evacuation",
                             NULL, NULL, NULL);
  x->reads[x->open++] = (read_back){ call, x->seen };
}

static void storm_step(storm *x, int64_t ms) {
  sim *sim = x->fleet->sim;
  sim_run(sim, time_from_ms(ms));
  storm_fold(x);
  if (x->every_ms && time_reached(sim->now, x->change_due)) {
    x->change_due = time_add(sim->now, time_from_ms(x->every_ms));
    storm_change(x);
  }
  if (time_reached(sim->now, x->read_due)) {
    x->read_due = time_add(sim->now, time_from_ms(x->read_ms ? x->read_ms : READ_EVERY_MS));
    storm_read(x);
  }
}

static void storm_run(storm *x, int64_t ms) {
  int64_t step = x->read_ms ? x->read_ms : 10;
  for (int64_t at = 0; at < ms; at += step)
    storm_step(x, step);
}

/* no more changes; waits for the calls that are open */
static void storm_end(storm *x) {
  x->every_ms = 0;
  x->read_due = time_never();
  for (int turn = 0; turn < 400 && x->open; turn++)
    storm_step(x, 100);
  if (!x->answered)
    violation(x->fleet, "no read was answered");
  while (x->open)
    call_free(x->reads[--x->open].call);
}

static bool core_up(fleet *fleet, int members, size_t ring) {
  while (fleet->controllers < members)
    core_add_controller(fleet, fleet->controllers + 1);
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->settings.log_file_bytes = ring;
  core_found_by_address(fleet, 3);
  core_bounds(fleet, members, members / 2 + 1, 1);
  if (!fleet_up(fleet))
    return false;
  check_watch(fleet);
  core_later_starts(fleet);
  return core_wait_shape(fleet, members, members, 10000);
}

static void large_state(fleet *fleet, int entries) {
  char *text = large_text(entries);
  if (!fleet_put(fleet, "catalogue", text))
    violation(fleet, "a catalogue of %zu bytes was not taken", strlen(text));
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step state-kb %zu\n", strlen(text) >> 10);
  g_free(text);
}

/* in the youngest view that any live machine knows; what one that has just started believes of
 * itself may be old */
static bool is_whole_member(const fleet *fleet, const host *host) {
  if (!host->alive || !host->controller->replica.running)
    return false;
  uint64_t youngest = 0;
  for (int i = 0; i < fleet->controllers; i++)
    if (fleet->controller[i]->alive)
      youngest = MAX(youngest, fleet->controller[i]->controller->replica.view.epoch);
  const replica *core = &host->controller->replica;
  return core->view.epoch == youngest && replica_chain_index(core) >= 0 && core->in_sync &&
         replica_voter_index(core) >= 0;
}

/* runs until a machine that came back is whole and votes; it has to be in time */
static void caught_up(storm *x, host *host, time_us from, int64_t most, const char *what) {
  fleet *fleet = x->fleet;
  while (!is_whole_member(fleet, host) && time_sub(fleet->sim->now, from).us < most * 2000)
    storm_step(x, 10);
  double s = (double)time_sub(fleet->sim->now, from).us / 1e6;
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step %s %.2f\n", what, s);
  if (s * 1000 > (double)most)
    violation(fleet, "%s: %s is whole %.2f s after its start, with %d changes taken", what,
              host->self.text, s, x->acked);
}

static void comes_back_empty(host *host) {
  host_power(host);
  host_wipe(host);
  host_start(host);
}

/* two machines fetch the same state in many parts, out of step with each other, from one member */
static bool two_come_back_empty_at_once(fleet *fleet) {
  if (!core_up(fleet, 5, RING_BYTES))
    return false;
  fleet->sim->bytes_per_s = SLOW_LINK;
  large_state(fleet, 10000 + (int)sim_draw(fleet->sim, 20000));
  storm x = { .fleet = fleet, .every_ms = 100 };
  for (int turn = 0; turn < 2; turn++) {
    storm_run(&x, 3000);
    int a = (int)sim_draw(fleet->sim, 5), b = (a + 1 + (int)sim_draw(fleet->sim, 4)) % 5;
    comes_back_empty(fleet->controller[a]);
    time_us first = fleet->sim->now;
    sim_run(fleet->sim, (time_us){ (int64_t)sim_draw(fleet->sim, 600000) });
    comes_back_empty(fleet->controller[b]);
    time_us second = fleet->sim->now;
    caught_up(&x, fleet->controller[a], first, GROWN_SYNC_MS, "empty-first");
    caught_up(&x, fleet->controller[b], second, GROWN_SYNC_MS, "empty-second");
  }
  storm_end(&x);
  acked_stand(fleet);
  return true;
}

/* one part of a state, asked for by hand; the number of bytes that came, 0 when it was refused */
static size_t part_of(host *host, uint64_t *seq, size_t off, GString *to) {
  Wire__SnapshotRequest f = WIRE__SNAPSHOT_REQUEST__INIT;
  Wire__Envelope in = wire_envelope(WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, &f);
  reply out = { WIRE__ENVELOPE__INIT, NULL };
  error err = { 0 };
  size_t n = 0;
  f.sequence = *seq;
  f.offset = off;
  if (!snapshot_on_request(&host->controller->replica, &in, &out, &err)) {
    n = out.envelope.snapshot_response->chunk.len;
    *seq = out.envelope.snapshot_response->sequence;
    g_string_append_len(to, (char *)out.envelope.snapshot_response->chunk.data, (gssize)n);
  }
  if (out.allocations)
    g_ptr_array_free(out.allocations, TRUE);
  return n;
}

/* the parts that one gets are of one state, though others begin and end in between and the state
 * changes; and what nobody fetches any more is given back */
static bool a_state_is_kept_for_all_who_fetch_it(fleet *fleet) {
  if (!core_up(fleet, 3, RING_BYTES))
    return false;
  large_state(fleet, 19000 + (int)sim_draw(fleet->sim, 6000));
  host *host = fleet_head(fleet);
  GString *got[3];
  uint64_t seq[3] = { 0 };
  for (int i = 0; i < 3; i++)
    got[i] = g_string_new(NULL);
  /* the first is half through; the second begins after a change, and fetches all */
  if (!part_of(host, &seq[0], 0, got[0]))
    violation(fleet, "a first part was refused");
  core_put(fleet, 1, "while a state is fetched");
  for (size_t n; (n = part_of(host, &seq[1], got[1]->len, got[1]));)
    ;
  core_put(fleet, 2, "while a state is fetched");
  part_of(host, &seq[2], 0, got[2]);
  for (int i = 0; i < 3; i++) {
    while (part_of(host, &seq[i], got[i]->len, got[i]))
      ;
    state t;
    state_init(&t);
    if (!state_unpack(&t, string_view_of_gstring(got[i])) || t.seq != seq[i])
      violation(fleet, "the state that fetcher %d got in %zu bytes is none", i, got[i]->len);
    state_free(&t);
    g_string_free(got[i], TRUE);
  }
  sim_run(fleet->sim, time_from_ms(2 * SNAPSHOT_IDLE_MS));
  for (int i = 0; i < SNAPSHOTS_MAX; i++)
    if (host->controller->replica.snapshot_cache.entries[i].text)
      violation(fleet, "a state that nobody fetches is still kept");
  return true;
}

/* the state changes ten times a second while one fetches it */
static bool storm_over(fleet *fleet, int members, int entries, int64_t rate, int64_t disk_ms) {
  if (!core_up(fleet, members, RING_BYTES))
    return false;
  int64_t most = members > 3 ? GROWN_SYNC_MS : SMALL_SYNC_MS;
  fleet->sim->bytes_per_s = rate;
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->slow_ms = disk_ms;
  if (entries)
    large_state(fleet, entries);
  storm x = { .fleet = fleet, .every_ms = 100, .entries = entries };
  for (int turn = 0; turn < 3; turn++) {
    storm_run(&x, 4000);
    host *host = fleet->controller[sim_draw(fleet->sim, (uint64_t)members)];
    host_power(host);
    bool empty = sim_draw(fleet->sim, 2);
    if (empty)
      host_wipe(host);
    storm_run(&x, (int64_t)sim_draw(fleet->sim, 4000));
    host_start(host);
    caught_up(&x, host, fleet->sim->now, most, empty ? "storm-empty" : "storm-restarted");
  }
  int acked = x.acked;
  storm_end(&x);
  if (acked < 20)
    violation(fleet, "only %d changes were taken", acked);
  acked_stand(fleet);
  return true;
}

static bool a_member_catches_up_in_a_storm(fleet *fleet) {
  return storm_over(fleet, sim_draw(fleet->sim, 2) ? 5 : 3, 0, CORE_LINK, SLOW_DISK_MS);
}

static bool a_member_catches_up_in_a_storm_of_large_changes(fleet *fleet) {
  return storm_over(fleet, sim_draw(fleet->sim, 2) ? 5 : 3, 5000 + (int)sim_draw(fleet->sim, 45000),
                    CORE_LINK, sim_draw(fleet->sim, 2) ? SLOW_DISK_MS : 0);
}

static bool a_member_catches_up_over_slow_links(fleet *fleet) {
  return storm_over(fleet, sim_draw(fleet->sim, 2) ? 5 : 3, 400 + (int)sim_draw(fleet->sim, 1200),
                    SLOW_LINK, SLOW_DISK_MS);
}

/* more changes than are kept in memory pass while a member is away, several times over */
static bool thousands_of_changes_pass(fleet *fleet) {
  if (!core_up(fleet, 3, RING_BYTES))
    return false;
  storm x = { .fleet = fleet, .every_ms = 20 };
  for (int turn = 0; turn < 3; turn++) {
    storm_run(&x, 2000);
    host *host = fleet->controller[sim_draw(fleet->sim, 3)];
    host_power(host);
    storm_run(&x, 50000);
    host_start(host);
    caught_up(&x, host, fleet->sim->now, SMALL_SYNC_MS, "after-thousands");
  }
  if (x.acked < 3000)
    violation(fleet, "only %d changes were taken", x.acked);
  storm_end(&x);
  acked_stand(fleet);
  return true;
}

/* power goes at any instant of a fetch and of the writes that put it on the disk, on the one that
 * fetches, the one that sends, or all */
static bool power_goes_while_a_state_is_fetched(fleet *fleet) {
  int members = sim_draw(fleet->sim, 2) ? 5 : 3;
  if (!core_up(fleet, members, 1 << 20))
    return false;
  fleet->sim->bytes_per_s = CORE_LINK;
  for (int i = 0; i < fleet->controllers; i++) {
    fleet->controller[i]->disk->harsh = true;
    fleet->controller[i]->disk->slow_ms = 5;
  }
  large_state(fleet, 4000 + (int)sim_draw(fleet->sim, 4000));
  storm x = { .fleet = fleet, .every_ms = 100 };
  for (int turn = 0; turn < 4; turn++) {
    storm_run(&x, 2000);
    host *host = fleet->controller[sim_draw(fleet->sim, (uint64_t)members)];
    comes_back_empty(host);
    time_us began = fleet->sim->now;
    int64_t us = (int64_t)sim_draw(fleet->sim, 2500000);
    storm_run(&x, us / 1000);
    sim_run(fleet->sim, (time_us){ us % 1000 });
    int who = (int)sim_draw(fleet->sim, 3);
    for (int i = 0; i < fleet->controllers; i++)
      if (who == 2 || (who == 0) == (fleet->controller[i] == host))
        host_power(fleet->controller[i]);
    storm_run(&x, (int64_t)sim_draw(fleet->sim, 700));
    for (int i = 0; i < fleet->controllers; i++)
      if (!fleet->controller[i]->alive) {
        host_start(fleet->controller[i]);
        began = fleet->sim->now;
      }
    int64_t most = members > 3 ? GROWN_SYNC_MS : SMALL_SYNC_MS;
    caught_up(&x, host, began, most, "power-in-a-fetch");
    if (!core_wait_shape(fleet, members, members, most))
      return false;
  }
  storm_end(&x);
  acked_stand(fleet);
  return true;
}

/* a member that has just come in says that it leaves, and is left out; what it said before, that it
 * has caught up, still stands with the others, and they take it in again without a new fetch. What
 * was written in between it does not have. */
static bool a_member_comes_in_twice_on_one_fetch(fleet *fleet) {
  if (!core_up(fleet, 3, RING_BYTES))
    return false;
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->slow_ms = SLOW_DISK_MS;
  storm x = { .fleet = fleet, .every_ms = 40 };
  storm_run(&x, 2000);
  host *host = fleet->controller[sim_draw(fleet->sim, 3)];
  comes_back_empty(host);
  caught_up(&x, host, fleet->sim->now, SMALL_SYNC_MS, "before-it-leaves");
  controller_drain(host->controller);
  x.at = host;
  x.read_ms = 2;
  storm_run(&x, 2500);
  x.at = NULL;
  x.read_ms = 0;
  host_kill(host);
  host_start(host);
  caught_up(&x, host, fleet->sim->now, SMALL_SYNC_MS, "after-it-left");
  storm_end(&x);
  acked_stand(fleet);
  return true;
}

/* all lose power and one comes back empty: the others know as committed only what the base of their
 * file holds, and that is what it fetches. It must not answer from that once it is the tail. */
static bool a_new_tail_reads_what_was_written(fleet *fleet) {
  if (!core_up(fleet, 3, RING_BYTES))
    return false;
  for (int i = 0; i < fleet->controllers; i++)
    fleet->controller[i]->disk->slow_ms = SLOW_DISK_MS;
  storm x = { .fleet = fleet, .every_ms = 100 };
  storm_run(&x, 3000);
  x.every_ms = 0;
  storm_run(&x, 500);
  host *host = fleet->controller[sim_draw(fleet->sim, 3)];
  for (int i = 0; i < fleet->controllers; i++)
    host_power(fleet->controller[i]);
  host_wipe(host);
  for (int i = 0; i < fleet->controllers; i++)
    host_start(fleet->controller[i]);
  x.at = host;
  x.read_ms = 2;
  storm_run(&x, SMALL_SYNC_MS);
  x.at = NULL;
  x.read_ms = 0;
  storm_end(&x);
  acked_stand(fleet);
  return true;
}

const test_case catch_up_tests[] = {
  { "two_come_back_empty_at_once", two_come_back_empty_at_once, 1, 1, 34 },
  { "a_state_is_kept_for_all_who_fetch_it", a_state_is_kept_for_all_who_fetch_it, 1, 1, 34 },
  { "a_member_catches_up_in_a_storm", a_member_catches_up_in_a_storm, 1, 1, 100 },
  { "a_member_catches_up_in_a_storm_of_large_changes",
    a_member_catches_up_in_a_storm_of_large_changes, 1, 1, 17 },
  { "a_member_catches_up_over_slow_links", a_member_catches_up_over_slow_links, 1, 1, 50 },
  { "a_member_comes_in_twice_on_one_fetch", a_member_comes_in_twice_on_one_fetch, 1, 1, 100 },
  { "a_new_tail_reads_what_was_written", a_new_tail_reads_what_was_written, 1, 1, 100 },
  { "thousands_of_changes_pass", thousands_of_changes_pass, 1, 1, 17 },
  { "power_goes_while_a_state_is_fetched", power_goes_while_a_state_is_fetched, 1, 1, 200 },
  { NULL, NULL, 0, 0, 0 }
};
