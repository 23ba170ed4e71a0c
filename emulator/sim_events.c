/** @file
 * Event queue on a GSequence (a balanced tree): inserting takes logarithmic time, and the order is
 * total, so a run depends on nothing but its seed. */
#include "sim.h"

/* an event that calls a function; made by sim_schedule */
typedef struct callback_event {
  sim_event event;
  void (*function)(void *);
  void *argument;
} callback_event;

void sim_events_init(sim_event_queue *queue) {
  queue->pending = g_sequence_new(NULL);
}

void sim_events_free(sim_event_queue *queue) {
  g_sequence_free(queue->pending);
}

static int compare_events(gconstpointer left, gconstpointer right, gpointer unused) {
  (void)unused;
  const sim_event *a = left, *b = right;
  if (a->at.us != b->at.us)
    return a->at.us < b->at.us ? -1 : 1;
  return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

void sim_events_schedule(sim_event_queue *queue, sim_event *event, const sim_event_type *type,
                         time_us at, host *host) {
  event->type = type;
  event->at = at;
  event->sequence = ++queue->last_sequence;
  event->host = host;
  list_init(&event->inbox_link);
  g_sequence_insert_sorted(queue->pending, event, compare_events, NULL);
}

sim_event *sim_events_first(const sim_event_queue *queue, GSequenceIter **position) {
  *position = g_sequence_get_begin_iter(queue->pending);
  return g_sequence_iter_is_end(*position) ? NULL : g_sequence_get(*position);
}

void sim_events_remove(GSequenceIter *position) {
  g_sequence_remove(position);
}

void sim_event_run(sim_event *event) {
  const sim_event_type *type = event->type;
  type->run(event);
  type->release(event);
}

static void run_callback(sim_event *event) {
  callback_event *callback = (callback_event *)event;
  callback->function(callback->argument);
}

static void release_callback(sim_event *event) {
  g_free(event);
}

static const sim_event_type callback_type = { run_callback, release_callback, false };

void sim_schedule(sim *sim, time_us at, void (*function)(void *), void *argument) {
  callback_event *callback = g_new0(callback_event, 1);
  callback->function = function;
  callback->argument = argument;
  sim_events_schedule(&sim->events, &callback->event, &callback_type, at, NULL);
}
