/** @file
 * A message arrives after the time that the sender's link needs for it plus a random delay, and
 * never before an earlier one of the same direction. With tcp_channels, a message that is sent
 * during a partition is queued until the channel resumes; otherwise it is lost. */
#include "sim.h"
#include "peer_channel.h"
#include <stdio.h>

enum {
  /** Number of equally likely values from which a random event is drawn. */
  CHANCE_VALUES = 1000000,
  US_PER_S = 1000000
};

/* the arrival of a message */
typedef struct message_event {
  sim_event event;
  GString *text;
} message_event;

/* the channel from one host to another */
typedef struct peer_direction {
  host *sender, *receiver;
  peer_channel *channel;
  bool resume_scheduled;
} peer_direction;

static void peer_direction_free(void *argument) {
  peer_direction *direction = argument;
  peer_channel_free(direction->channel);
  g_free(direction);
}

void sim_messages_init(sim_messages *messages) {
  messages->last_arrivals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  messages->directions =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_direction_free);
}

void sim_messages_free(sim_messages *messages) {
  g_hash_table_destroy(messages->last_arrivals);
  g_hash_table_destroy(messages->directions);
}

static void deliver_message(sim_event *event) {
  host *host = event->host;
  string_view text = string_view_of_gstring(((message_event *)event)->text);
  if (host->alive && host->world.on_message)
    host->world.on_message(host->world.on_message_context, text);
}

static void release_message(sim_event *event) {
  message_event *message = (message_event *)event;
  g_string_free(message->text, TRUE);
  g_free(message);
}

static const sim_event_type message_type = { deliver_message, release_message, false };

/* returns when the link of a host has transmitted a message, after all earlier ones */
static time_us reserve_link(host *from, const host *to, size_t bytes) {
  sim *sim = from->sim;
  if (!sim->bytes_per_s || from == to)
    return sim->now;
  if (from->link_busy_until.us < sim->now.us)
    from->link_busy_until = sim->now;
  from->link_busy_until.us += (int64_t)bytes * US_PER_S / sim->bytes_per_s;
  return from->link_busy_until;
}

/* returns when the latest message of a direction arrives; the caller may change the value */
static time_us *last_arrival(host *from, host *to) {
  GHashTable *last_arrivals = from->sim->messages.last_arrivals;
  char key[SIM_DIRECTION_KEY_SIZE];
  snprintf(key, sizeof key, "%s>%s", from->self.text, to->self.text);
  time_us *last = g_hash_table_lookup(last_arrivals, key);
  if (!last) {
    last = g_new0(time_us, 1);
    g_hash_table_insert(last_arrivals, g_strdup(key), last);
  }
  return last;
}

static void schedule_delivery(host *from, host *to, string_view text) {
  sim *sim = from->sim;
  time_us delay = time_add(sim_draw_message_delay(sim), time_from_ms(to->read_delay_ms));
  time_us at = time_add(reserve_link(from, to, text.length), delay);
  time_us *last = last_arrival(from, to);
  if (at.us <= last->us)
    at.us = last->us + 1;
  *last = at;
  message_event *message = g_new0(message_event, 1);
  message->text = g_string_new_len(text.data, text.length);
  sim_events_schedule(&sim->events, &message->event, &message_type, at, to);
}

/* finds or creates the channel of a direction; resets it if the sender's process was restarted */
static peer_direction *find_direction(host *from, host *to) {
  GHashTable *directions = from->sim->messages.directions;
  char key[SIM_DIRECTION_KEY_SIZE];
  snprintf(key, sizeof key, "%s>%s", from->self.text, to->self.text);
  peer_direction *direction = g_hash_table_lookup(directions, key);
  if (!direction) {
    direction = g_new0(peer_direction, 1);
    *direction = (peer_direction){ from, to, peer_channel_new(), false };
    direction->channel->incarnation = from->incarnation;
    g_hash_table_insert(directions, g_strdup(key), direction);
  }
  if (direction->channel->incarnation != from->incarnation) {
    peer_channel_reset(direction->channel);
    direction->channel->incarnation = from->incarnation;
  }
  return direction;
}

static void flush_queued_messages(peer_direction *direction) {
  GString *text;
  while ((text = g_queue_pop_head(&direction->channel->queued_messages))) {
    schedule_delivery(direction->sender, direction->receiver, string_view_of_gstring(text));
    g_string_free(text, TRUE);
  }
  peer_channel_reset(direction->channel);
}

static void resume_channel(void *argument) {
  peer_direction *direction = argument;
  host *sender = direction->sender, *receiver = direction->receiver;
  peer_channel *channel = direction->channel;
  sim *sim = sender->sim;
  direction->resume_scheduled = false;
  bool cut = sim_is_partitioned(sim, sender, receiver) || sim_is_partitioned(sim, receiver, sender);
  bool resumes_now = channel->resumes_at.us && channel->resumes_at.us <= sim->now.us;
  if (resumes_now && channel->incarnation == sender->incarnation && sender->alive && !cut)
    flush_queued_messages(direction);
}

/* returns true when a message is to be sent now; otherwise the channel has queued or lost it */
static bool send_on_channel(host *from, host *to, string_view text) {
  sim *sim = from->sim;
  peer_direction *direction = find_direction(from, to);
  peer_channel *channel = direction->channel;
  bool forward_cut = sim_is_partitioned(sim, from, to);
  bool backward_cut = sim_is_partitioned(sim, to, from);
  enum peer_send_result result =
      peer_channel_send(channel, sim->now, forward_cut, backward_cut, sim->partitions.healed_at,
                        sim->peer_timeout_ms, sim_random(sim, CHANCE_VALUES));
  if (result == PEER_QUEUED && peer_channel_can_queue(channel))
    g_queue_push_tail(&channel->queued_messages, g_string_new_len(text.data, text.length));
  if (channel->resumes_at.us && !direction->resume_scheduled) {
    direction->resume_scheduled = true;
    sim_schedule(sim, channel->resumes_at, resume_channel, direction);
  }
  if (result == PEER_SENT && channel->resumes_at.us)
    flush_queued_messages(direction);
  return result == PEER_SENT;
}

static bool draw_loss(sim *sim) {
  return sim->loss_ratio > 0 &&
         (double)sim_random(sim, CHANCE_VALUES) < sim->loss_ratio * CHANCE_VALUES;
}

static void post_message(world *world, const char *address, string_view text) {
  host *from = (host *)world;
  sim *sim = from->sim;
  host *to = sim_find_host_by_address(sim, address);
  if (world->tasks.stopped || !from->alive || !to)
    return;
  sim->messages_sent++;
  sim->bytes_sent += text.length;
  if (!sim->tcp_channels && sim_is_partitioned(sim, from, to))
    return;
  if (from != to && draw_loss(sim))
    return;
  if (!sim->tcp_channels || from == to || send_on_channel(from, to, text))
    schedule_delivery(from, to, text);
}

void sim_messages_attach(host *host) {
  host->world.post_message = post_message;
}
