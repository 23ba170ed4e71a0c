/** @file
 * The loop of the simulation. A step runs all tasks that are ready, moves the clock to the next
 * event, wake-up or sample, and runs at most one event from the queue, so that tasks react to each
 * event before the next one happens. Hosts are visited in the order in which they were added. */
#include "sim.h"
#include "peer_channel.h"
#include "sim_connections.h"
#include "trace.h"

enum {
  /** Virtual time between two calls of on_sample. */
  SAMPLE_INTERVAL_MS = 50,
  /** Virtual time between two evaluations of the condition of sim_run_until. */
  TEST_INTERVAL_MS = 20,
  /** The clock starts at START_MS plus a random part of START_JITTER_MS. */
  START_MS = 1000000,
  START_JITTER_MS = 1000,
  /** Delay and jitter of messages unless the caller sets others. */
  DEFAULT_DELAY_MS = 1,
  DEFAULT_JITTER_MS = 2
};

/** The increment of splitmix64; multiplying by it gives neighbouring seeds distant states. */
static const uint64_t SEED_FACTOR = 0x9e3779b97f4a7c15ull;

uint64_t sim_random(sim *sim, uint64_t n) {
  return n ? splitmix64_next(&sim->random_state) % n : 0;
}

time_us sim_draw_message_delay(sim *sim) {
  int64_t jitter_us = (int64_t)sim_random(sim, sim->jitter_ms * 1000 + 1);
  return (time_us){ sim->delay_ms * 1000 + jitter_us };
}

sim *sim_new(uint64_t seed) {
  sim *created = g_new0(sim, 1);
  created->random_state = seed * SEED_FACTOR + 1;
  created->now = time_from_ms(START_MS + (int64_t)sim_random(created, START_JITTER_MS));
  sim_events_init(&created->events);
  sim_partitions_init(&created->partitions);
  sim_messages_init(&created->messages);
  created->peer_timeout_ms = PEER_CHANNEL_TIMEOUT_MS;
  created->delay_ms = DEFAULT_DELAY_MS;
  created->jitter_ms = DEFAULT_JITTER_MS;
  created->log_to_stderr = g_getenv("SIM_LOG") != NULL;
  list_init(&created->hosts);
  list_init(&created->http_exchanges);
  list_init(&created->listeners);
  list_init(&created->channels);
  list_init(&created->exchanges);
  return created;
}

static void drop_events(sim *sim) {
  GSequenceIter *position;
  sim_event *event;
  while ((event = sim_events_first(&sim->events, &position))) {
    sim_events_remove(position);
    event->type->release(event);
  }
}

void sim_free(sim *sim) {
  list_for_each (h, &sim->hosts, host, link)
    host_kill(h);
  drop_events(sim);
  connections_free(sim);
  list_for_each (h, &sim->hosts, host, link)
    host_free(h);
  sim_events_free(&sim->events);
  sim_partitions_free(&sim->partitions);
  sim_messages_free(&sim->messages);
  g_free(sim);
}

static bool is_runnable(const host *host) {
  return host->alive && !host->frozen;
}

static void wake_hosts(sim *sim) {
  list_for_each (h, &sim->hosts, host, link) {
    if (!is_runnable(h))
      continue;
    if (!list_is_empty(&h->world.tasks.ready) || h->next_wake_at.us <= sim->now.us)
      h->next_wake_at = scheduler_run(&h->world.tasks);
  }
}

static time_us earlier(time_us a, time_us b) {
  return a.us < b.us ? a : b;
}

/* returns when the next event, wake-up or sample is due, at the latest end */
static time_us next_instant(sim *sim, const sim_event *first, time_us end) {
  time_us next = first ? earlier(first->at, end) : end;
  list_for_each (h, &sim->hosts, host, link) {
    if (!is_runnable(h))
      continue;
    if (!list_is_empty(&h->inbox))
      next = sim->now;
    next = earlier(h->next_wake_at, next);
  }
  return sim->on_sample ? earlier(sim->next_sample_at, next) : next;
}

/* runs the events that arrived while their host was frozen */
static void run_inboxes(sim *sim) {
  list_for_each (h, &sim->hosts, host, link)
    while (is_runnable(h) && !list_is_empty(&h->inbox)) {
      sim_event *event = list_item(h->inbox.next, sim_event, inbox_link);
      list_remove(&event->inbox_link);
      sim_event_run(event);
    }
}

static void run_or_queue(sim_event *event) {
  host *host = event->host;
  if (host && host->alive && host->frozen)
    list_append(&host->inbox, &event->inbox_link);
  else
    sim_event_run(event);
}

static void take_sample(sim *sim) {
  if (!sim->on_sample || sim->next_sample_at.us > sim->now.us)
    return;
  sim->next_sample_at = time_add(sim->now, time_from_ms(SAMPLE_INTERVAL_MS));
  sim->on_sample(sim, sim->on_sample_context);
}

/* runs one step of virtual time; returns false when the end is reached */
static bool step(sim *sim, time_us end) {
  wake_hosts(sim);
  GSequenceIter *position;
  sim_event *first = sim_events_first(&sim->events, &position);
  time_us next = next_instant(sim, first, end);
  if (next.us > sim->now.us)
    sim->now = next;
  sim->steps++;
  run_inboxes(sim);
  if (first && first->at.us <= sim->now.us) {
    sim_events_remove(position);
    run_or_queue(first);
  }
  take_sample(sim);
  return sim->now.us < end.us;
}

void sim_run(sim *sim, time_us duration) {
  time_us end = time_add(sim->now, duration);
  while (step(sim, end)) {
  }
  wake_hosts(sim);
}

bool sim_run_until(sim *sim, bool (*test)(struct sim *sim, void *context), void *context,
                   time_us timeout) {
  time_us end = time_add(sim->now, timeout);
  do {
    if (test(sim, context))
      return true;
    sim_run(sim, time_from_ms(TEST_INTERVAL_MS));
  } while (sim->now.us < end.us);
  return test(sim, context);
}
