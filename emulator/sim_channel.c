/** @file
 * Channels are reference-counted: one reference for each open side, one for each exchange, and one
 * for each scheduled run of a packet queue or an idle timer. */
#include "sim_channel.h"

enum {
  /** Interval at which a queue checks whether a partition has healed, or its receiver is no longer
   * frozen. */
  CUT_RETRY_MS = 20,
  FROZEN_RETRY_MS = 5
};

static void packet_queue_init(packet_queue *queue, channel *channel) {
  queue->channel = channel;
  list_init(&queue->packets);
}

channel *channel_new(host *client, const char *addr) {
  channel *created = g_new0(channel, 1);
  created->sim = client->sim;
  created->client = client;
  created->client_incarnation = client->incarnation;
  g_strlcpy(created->addr, addr, sizeof created->addr);
  packet_queue_init(&created->to_client, created);
  packet_queue_init(&created->to_server, created);
  list_init(&created->idle);
  list_append(&created->sim->channels, &created->link);
  created->client_open = true;
  created->references = 1;
  return created;
}

void channel_ref(channel *channel) {
  channel->references++;
}

void channel_free(channel *channel) {
  list_remove(&channel->link);
  list_remove(&channel->idle);
  g_free(channel);
}

void channel_unref(channel *channel) {
  if (!--channel->references)
    channel_free(channel);
}

exchange *exchange_new(channel *channel, http_call *call) {
  exchange *created = g_new0(exchange, 1);
  list_append(&channel->sim->exchanges, &created->link);
  created->channel = channel;
  channel_ref(channel);
  created->call = call;
  created->references = 1;
  call->impl = created;
  created->method = g_strdup(call->method);
  created->target = g_strdup(call->path);
  created->request_fields = g_string_new_len(call->request_fields->str, call->request_fields->len);
  created->body = g_string_new_len(call->body->str, call->body->len);
  return created;
}

exchange *exchange_ref(exchange *exchange) {
  if (exchange)
    exchange->references++;
  return exchange;
}

void exchange_free(exchange *exchange) {
  list_remove(&exchange->link);
  g_free(exchange->method);
  g_free(exchange->target);
  g_string_free(exchange->request_fields, TRUE);
  g_string_free(exchange->body, TRUE);
  g_free(exchange);
}

void exchange_unref(exchange *exchange) {
  if (!exchange || --exchange->references)
    return;
  channel *channel = exchange->channel;
  exchange_free(exchange);
  channel_unref(channel);
}

bool channel_is_incarnation_alive(const host *host, uint64_t incarnation) {
  return host->alive && host->incarnation == incarnation;
}

void channel_parse_known_headers(http_headers *headers, const fields *fields) {
  for (int i = 0; i < HEADER_COUNT; i++) {
    char *value = fields_dup(fields, http_header_names[i]);
    if (value)
      http_headers_set(headers, i, value);
    g_free(value);
  }
}

void channel_append_known_headers(fields *fields, const http_headers *headers) {
  for (int i = 0; i < HEADER_COUNT; i++)
    if (headers->values[i])
      fields_add(fields, http_header_names[i], string_view_of(headers->values[i]));
}

void channel_close_client_side(channel *channel) {
  if (!channel->client_open)
    return;
  channel->client_open = false;
  list_remove(&channel->idle);
  channel_unref(channel);
}

void channel_close_server_side(channel *channel) {
  if (!channel->server_open)
    return;
  channel->server_open = false;
  if (channel->listener &&
      channel_is_incarnation_alive(channel->server, channel->server_incarnation))
    channel->listener->connections--;
  channel_unref(channel);
}

/* packets */

static void packet_free(packet *packet) {
  list_remove(&packet->link);
  if (packet->text)
    g_string_free(packet->text, TRUE);
  if (packet->content.fields)
    g_string_free(packet->content.fields, TRUE);
  exchange_unref(packet->content.exchange);
  g_free(packet);
}

void packet_queue_clear(packet_queue *queue) {
  list_for_each (packet, &queue->packets, struct packet, link)
    packet_free(packet);
}

/* the hosts at which a queue's packets arrive, and from which they are sent */
static host *receiver_of(const packet_queue *queue) {
  const channel *channel = queue->channel;
  return queue == &channel->to_server ? channel->server : channel->client;
}

static host *sender_of(const packet_queue *queue) {
  const channel *channel = queue->channel;
  return queue == &channel->to_server ? channel->client : channel->server;
}

static bool is_cut(const packet_queue *queue) {
  return sim_is_partitioned(queue->channel->sim, sender_of(queue), receiver_of(queue));
}

static void run_queue(void *argument);

static void schedule_queue(packet_queue *queue, time_us at) {
  if (queue->scheduled)
    return;
  queue->scheduled = true;
  channel_ref(queue->channel);
  sim_schedule(queue->channel->sim, at, run_queue, queue);
}

void packet_queue_send(packet_queue *queue, packet_content content) {
  sim *sim = queue->channel->sim;
  /* packets that a partition holds up are lost when their sender resets the channel */
  if (content.kind == PACKET_RESET && is_cut(queue))
    packet_queue_clear(queue);
  packet *sent = g_new0(packet, 1);
  sent->content = content;
  exchange_ref(content.exchange);
  if (content.text.data) {
    sent->text = g_string_new_len(content.text.data, content.text.length);
    sent->content.text = string_view_of_gstring(sent->text);
  }
  sent->deliver_at = time_add(sim->now, sim_draw_message_delay(sim));
  if (sent->deliver_at.us <= queue->last_delivery_at.us)
    sent->deliver_at.us = queue->last_delivery_at.us + 1;
  queue->last_delivery_at = sent->deliver_at;
  list_append(&queue->packets, &sent->link);
  schedule_queue(queue, sent->deliver_at);
}

/* a restarted process, or a host without a process, does not know this channel */
static void reply_with_reset(packet_queue *queue) {
  channel *channel = queue->channel;
  if (queue == &channel->to_server)
    packet_queue_send(&channel->to_client, (packet_content){ .kind = PACKET_RESET });
  else if (channel->server_open)
    packet_queue_send(&channel->to_server, (packet_content){ .kind = PACKET_RESET });
}

static bool receiver_lives(const packet_queue *queue) {
  const channel *channel = queue->channel;
  uint64_t incarnation =
      queue == &channel->to_server ? channel->server_incarnation : channel->client_incarnation;
  return channel_is_incarnation_alive(receiver_of(queue), incarnation);
}

static void deliver(packet_queue *queue, const packet *packet) {
  channel *channel = queue->channel;
  const host *receiver = receiver_of(queue);
  enum packet_kind kind = packet->content.kind;
  if (receiver_lives(queue)) {
    if (queue == &channel->to_server)
      channel_deliver_to_server(channel, packet);
    else if (channel->client_open || kind == PACKET_RESET || kind == PACKET_CLOSE)
      channel_deliver_to_client(channel, packet);
    return;
  }
  bool silent = receiver->powered_off && !receiver->alive;
  if (kind != PACKET_RESET && !silent)
    reply_with_reset(queue);
}

/* returns when a queue's first packet can be delivered or tried again; the present time when it can
 * be delivered at once */
static time_us next_delivery(const packet_queue *queue) {
  time_us now = queue->channel->sim->now;
  const packet *first = list_item(queue->packets.next, packet, link);
  if (first->deliver_at.us > now.us)
    return first->deliver_at;
  if (is_cut(queue))
    return time_add(now, time_from_ms(CUT_RETRY_MS));
  if (receiver_lives(queue) && receiver_of(queue)->frozen)
    return time_add(now, time_from_ms(FROZEN_RETRY_MS));
  return now;
}

static void run_queue(void *argument) {
  packet_queue *queue = argument;
  channel *channel = queue->channel;
  queue->scheduled = false;
  while (!list_is_empty(&queue->packets)) {
    time_us at = next_delivery(queue);
    if (at.us > channel->sim->now.us) {
      schedule_queue(queue, at);
      break;
    }
    packet *first = list_item(queue->packets.next, packet, link);
    list_remove(&first->link);
    deliver(queue, first);
    packet_free(first);
  }
  channel_unref(channel);
}
