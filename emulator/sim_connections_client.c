/** @file
 * The client's side of channels: calls, responses that arrive, and the pool of idle channels. */
#include "sim_channel.h"
#include "sim_connections.h"

enum {
  /** Interval of attempts to connect to a host that does not respond, and of checks whether a
   * frozen client runs again. */
  CONNECT_RETRY_MS = 1000,
  FROZEN_RETRY_MS = 5
};

static void break_call(exchange *exchange) {
  if (!exchange || exchange->finished)
    return;
  exchange->finished = true;
  if (!exchange->call)
    return;
  exchange->call->broken = true;
  exchange->call->last_byte_at = exchange->channel->sim->now;
  condition_broadcast(&exchange->call->progressed);
}

/* whether a response has the field value by which a call recognizes its own response */
static bool belongs_to_call(const http_call *call, const fields *fields) {
  string_view value;
  if (!call->match_name)
    return true;
  return fields && fields_get(fields, call->match_name, &value) &&
         string_view_equal(value, string_view_of(call->match_value));
}

/* responses */

static void take_head(http_call *call, const packet *packet, time_us now) {
  const fields *fields = packet->content.fields;
  call->status = packet->content.status;
  call->last_byte_at = now;
  g_string_append_len(call->response_fields, fields->str, fields->len);
  channel_parse_known_headers(&call->known_response_fields, fields);
}

static void receive_head(exchange *exchange, const packet *packet) {
  http_call *call = exchange ? exchange->call : NULL;
  if (!call || exchange->finished)
    return;
  if (!belongs_to_call(call, packet->content.fields)) {
    call->skipped_responses++;
    exchange->skips_response = true;
    return;
  }
  call->closes_connection = packet->content.closes_connection;
  take_head(call, packet, exchange->channel->sim->now);
  condition_broadcast(&call->progressed);
}

static void receive_data(exchange *exchange, const packet *packet) {
  http_call *call = exchange ? exchange->call : NULL;
  if (!call || exchange->finished || exchange->skips_response)
    return;
  call->last_byte_at = exchange->channel->sim->now;
  g_string_append_len(call->response_body, packet->content.text.data,
                      (gssize)packet->content.text.length);
  condition_broadcast(&call->progressed);
}

static void return_to_pool(channel *channel) {
  channel->client_idle_at = channel->sim->now;
  list_append(&channel->client->pooled_connections, &channel->idle);
}

static void break_and_close(channel *channel, exchange *exchange) {
  break_call(exchange);
  channel->awaited_exchange = NULL;
  channel_close_client_side(channel);
}

static void receive_end(channel *channel, exchange *exchange, const packet *packet) {
  if (!exchange || exchange->finished || exchange->skips_response)
    return;
  http_call *call = exchange->call;
  if (!packet->content.complete || !call) {
    break_and_close(channel, exchange);
    return;
  }
  exchange->finished = true;
  call->ended = true;
  call->last_byte_at = channel->sim->now;
  channel->awaited_exchange = NULL;
  if (call->closes_connection)
    channel_close_client_side(channel);
  else if (channel->client_open)
    return_to_pool(channel);
  condition_broadcast(&call->progressed);
}

static void receive_stray(channel *channel, const packet *packet) {
  exchange *awaited = channel->awaited_exchange;
  http_call *call = awaited ? awaited->call : NULL;
  /* the channel is closed when no call waits for a response, when the head of one has arrived
   * already, and when the bytes are not a response */
  if (!call || call->status || !packet->content.status) {
    break_and_close(channel, awaited);
    if (channel->server_open)
      packet_queue_send(&channel->to_server, (packet_content){ .kind = PACKET_RESET });
    return;
  }
  if (!belongs_to_call(call, packet->content.fields)) {
    call->skipped_responses++;
    return;
  }
  take_head(call, packet, channel->sim->now);
  g_string_append_len(call->response_body, packet->content.text.data,
                      (gssize)packet->content.text.length);
  call->ended = call->closes_connection = awaited->finished = true;
  channel->awaited_exchange = NULL;
  channel_close_client_side(channel);
  if (channel->server_open)
    packet_queue_send(&channel->to_server, (packet_content){ .kind = PACKET_CLOSE });
  condition_broadcast(&call->progressed);
}

void channel_deliver_to_client(channel *channel, const packet *packet) {
  exchange *exchange = packet->content.exchange;
  switch (packet->content.kind) {
  case PACKET_HEAD:
    receive_head(exchange, packet);
    break;
  case PACKET_DATA:
    receive_data(exchange, packet);
    break;
  case PACKET_END:
    receive_end(channel, exchange, packet);
    break;
  case PACKET_CLOSE:
  case PACKET_RESET:
    break_and_close(channel, channel->awaited_exchange);
    break;
  case PACKET_STRAY:
    receive_stray(channel, packet);
    break;
  case PACKET_REQUEST:
    break;
  }
}

/* connecting */

/* returns the host of the listener at an address, else the host with that address, else one with
 * the same IP; NULL when there is none */
static host *find_server(sim *sim, const char *addr) {
  host *of_listener = connections_listener_host(sim, addr), *of_ip = NULL;
  if (of_listener)
    return of_listener;
  size_t length = strcspn(addr, ":");
  list_for_each (h, &sim->hosts, host, link) {
    if (!strcmp(h->addr, addr))
      return h;
    if (strcspn(h->addr, ":") == length && !strncmp(h->addr, addr, length))
      of_ip = h;
  }
  return of_ip;
}

static void send_request(exchange *exchange) {
  channel *channel = exchange->channel;
  http_call *call = exchange->call;
  call->sent = true;
  call->sent_at = channel->sim->now;
  if (!call->connected_at.us)
    call->connected_at = channel->sim->now;
  channel->awaited_exchange = exchange;
  packet_queue_send(&channel->to_server,
                    (packet_content){ .kind = PACKET_REQUEST, .exchange = exchange });
}

/* whether an attempt to connect is neither accepted nor refused */
static bool is_server_silent(const channel *channel) {
  host *client = channel->client, *server = channel->server;
  sim *sim = channel->sim;
  return !server || sim_is_partitioned(sim, client, server) ||
         sim_is_partitioned(sim, server, client) || (!server->alive && server->powered_off);
}

/* establishes a channel, or breaks its call when it is refused; runs again later while the server
 * does not respond or the client is frozen */
static void complete_connect(void *argument) {
  exchange *exchange = argument;
  channel *channel = exchange->channel;
  sim *sim = channel->sim;
  if (!exchange->call ||
      !channel_is_incarnation_alive(channel->client, channel->client_incarnation)) {
    channel_close_client_side(channel);
    exchange_unref(exchange);
    return;
  }
  channel->server = find_server(sim, channel->addr);
  bool silent = is_server_silent(channel);
  if (silent || channel->client->frozen) {
    int64_t retry_ms = silent ? CONNECT_RETRY_MS : FROZEN_RETRY_MS;
    sim_schedule(sim, time_add(sim->now, time_from_ms(retry_ms)), complete_connect, exchange);
    return;
  }
  if (time_reached(sim->now, exchange->call->send_deadline) || !connections_accept(channel)) {
    break_call(exchange);
    channel_close_client_side(channel);
  } else {
    send_request(exchange);
    connections_enforce_limit(channel);
  }
  exchange_unref(exchange);
}

/* calls */

/* builds the request fields of a call to a listener that has only known headers, and requests a new
 * channel for it */
static void add_request_fields(http_call *call) {
  call->request_fields = g_string_new(NULL);
  call->response_fields = g_string_new(NULL);
  fields_add(call->request_fields, "Host", string_view_of(call->address));
  channel_append_known_headers(call->request_fields, &call->known_request_fields);
  call->needs_new_connection = true;
}

static bool is_idle_for_too_long(const channel *channel, const world *world) {
  time_us timeout = time_from_ms(world->pool_idle_timeout_ms);
  return world->pool_idle_timeout_ms &&
         time_reached(channel->sim->now, time_add(channel->client_idle_at, timeout));
}

/* removes the most recently used idle channel to a call's address from the pool and returns it, or
 * NULL; closes channels that were idle for too long */
static channel *take_from_pool(host *client, const http_call *call) {
  channel *found = NULL;
  list_for_each (idle_channel, &client->pooled_connections, channel, idle) {
    if (is_idle_for_too_long(idle_channel, call->world)) {
      if (idle_channel->server_open)
        packet_queue_send(&idle_channel->to_server, (packet_content){ .kind = PACKET_CLOSE });
      channel_close_client_side(idle_channel);
    } else if (!call->needs_new_connection && !strcmp(idle_channel->addr, call->address))
      found = idle_channel;
  }
  if (found)
    list_remove(&found->idle);
  return found;
}

void connections_start_call(http_call *call) {
  host *client = (host *)call->world;
  sim *sim = client->sim;
  if (!call->request_fields)
    add_request_fields(call);
  if (call->world->tasks.stopped || time_reached(sim->now, call->send_deadline)) {
    call->broken = true;
    return;
  }
  channel *pooled = take_from_pool(client, call);
  if (pooled) {
    call->reused_connection = true;
    send_request(exchange_new(pooled, call));
    return;
  }
  exchange *exchange = exchange_new(channel_new(client, call->address), call);
  time_us handshake = time_add(sim_draw_message_delay(sim), sim_draw_message_delay(sim));
  sim_schedule(sim, time_add(sim->now, handshake), complete_connect, exchange_ref(exchange));
}

void connections_cancel_call(http_call *call) {
  exchange *exchange = call->impl;
  if (!exchange)
    return;
  call->impl = NULL;
  exchange->call = NULL;
  channel *channel = exchange->channel;
  if (!exchange->finished) {
    /* a channel with an open response can't be used again */
    exchange->finished = true;
    if (channel->awaited_exchange == exchange)
      channel->awaited_exchange = NULL;
    if (channel->established && channel->client_open && !channel->client->powered_off)
      packet_queue_send(&channel->to_server, (packet_content){ .kind = PACKET_RESET });
    channel_close_client_side(channel);
  }
  exchange_unref(exchange);
}

/* the pool */

static void close_pooled(channel *channel) {
  if (channel->established && channel->server_open && !channel->client->powered_off)
    packet_queue_send(&channel->to_server, (packet_content){ .kind = PACKET_CLOSE });
  channel_close_client_side(channel);
}

void connections_close_pooled(world *world, const char *addr) {
  host *client = (host *)world;
  list_for_each (pooled, &client->pooled_connections, channel, idle)
    if (!addr || !strcmp(pooled->addr, addr))
      close_pooled(pooled);
}

bool connections_has_pooled(world *world, const char *addr) {
  host *client = (host *)world;
  list_for_each (pooled, &client->pooled_connections, channel, idle)
    if (!strcmp(pooled->addr, addr))
      return true;
  return false;
}

void connections_drop_pool(host *host) {
  list_for_each (pooled, &host->pooled_connections, channel, idle)
    close_pooled(pooled);
  list_init(&host->pooled_connections);
}
