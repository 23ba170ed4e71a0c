/** @file
 * The server's side of channels: listeners, requests that arrive, and their responses. */
#include "sim_channel.h"
#include "sim_connections.h"
#include "sim_http.h"
#include <stdio.h>

/* an address at which requests are, or were, accepted; it is kept after its process has ended, so
 * that calls to it are refused */
typedef struct listener_address {
  list_node link;
  host *host;
  uint64_t incarnation;
  /* NULL while not open */
  http_listener *listener;
  char addr[48];
  bool open;
} listener_address;

/* listeners */

static listener_address *find_listener_address(sim *sim, const char *addr) {
  list_for_each (address, &sim->listeners, listener_address, link)
    if (!strcmp(address->addr, addr))
      return address;
  return NULL;
}

static void close_address(listener_address *address) {
  address->open = false;
  address->listener = NULL;
}

bool connections_is_listener_address(sim *sim, const char *addr) {
  return find_listener_address(sim, addr) != NULL;
}

host *connections_listener_host(sim *sim, const char *addr) {
  const listener_address *address = find_listener_address(sim, addr);
  return address ? address->host : NULL;
}

enum error_code connections_open_listener(world *world, http_listener *listener, error *err) {
  host *h = (host *)world;
  char addr[64];
  snprintf(addr, sizeof addr, "%s:%d", listener->ip, listener->port);
  listener_address *address = find_listener_address(h->sim, addr);
  if (address && address->open)
    return error_set(err, E_LISTEN, "%s is taken", addr);
  if (!address) {
    address = g_new0(listener_address, 1);
    g_strlcpy(address->addr, addr, sizeof address->addr);
    list_append(&h->sim->listeners, &address->link);
  }
  address->host = h;
  address->incarnation = h->incarnation;
  address->listener = listener;
  address->open = true;
  listener->world = world;
  listener->impl = address;
  return OK;
}

void connections_stop_accepting(world *world, http_listener *listener) {
  (void)world;
  listener_address *address = listener->impl;
  if (address && address->listener == listener)
    close_address(address);
}

void connections_close_listener_idle(world *world, http_listener *listener) {
  host *h = (host *)world;
  list_for_each (c, &h->sim->channels, channel, link)
    if (c->listener == listener && c->server_open && !c->served_exchange &&
        channel_is_incarnation_alive(c->server, c->server_incarnation)) {
      packet_queue_send(&c->to_client, (packet_content){ .kind = PACKET_CLOSE });
      channel_close_server_side(c);
    }
}

bool connections_accept(channel *channel) {
  const host *server = channel->server;
  const listener_address *address = find_listener_address(channel->sim, channel->addr);
  bool listens = address && address->open && address->host == server &&
                 address->incarnation == server->incarnation;
  bool own_api = !address && !strcmp(server->addr, channel->addr) && server->world.serve;
  if (!server->alive || (!listens && !own_api))
    return false;
  channel->server_incarnation = server->incarnation;
  channel->listener = listens ? address->listener : NULL;
  channel->server_open = channel->established = true;
  channel_ref(channel);
  if (channel->listener)
    channel->listener->connections++;
  return true;
}

void connections_enforce_limit(channel *channel) {
  const http_listener *listener = channel->listener;
  if (!listener || !listener->connections_max || listener->connections <= listener->connections_max)
    return;
  packet_queue_send(&channel->to_client, (packet_content){ .kind = PACKET_RESET });
  channel_close_server_side(channel);
}

/* requests */

static void uncount_pending(exchange *exchange) {
  const channel *channel = exchange->channel;
  if (!exchange->counted_pending)
    return;
  exchange->counted_pending = false;
  if (channel->listener &&
      channel_is_incarnation_alive(channel->server, channel->server_incarnation))
    channel->listener->pending_exchanges--;
}

static void serve_task(void *argument) {
  exchange *exchange = argument;
  channel *channel = exchange->channel;
  http_request *request = exchange->request;
  world *world = &channel->server->world;
  if (request->listener)
    request->listener->serve(request->listener->serve_context, request);
  else
    world->serve(world->serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  uncount_pending(exchange);
  /* a request that ended without a response, as in a process that stops, is still set here */
  if (channel->served_exchange == exchange)
    channel->served_exchange = NULL;
  exchange->request = NULL;
  request->impl = NULL;
  http_request_free(request);
  exchange_unref(exchange);
}

static void send_end(exchange *exchange, bool complete) {
  exchange->end_sent = true;
  packet_queue_send(
      &exchange->channel->to_client,
      (packet_content){ .kind = PACKET_END, .exchange = exchange, .complete = complete });
}

static void reject_request(exchange *exchange, int status) {
  packet_queue_send(&exchange->channel->to_client,
                    (packet_content){ .kind = PACKET_HEAD,
                                      .exchange = exchange,
                                      .fields = g_string_new("Connection: close\r\n"),
                                      .status = status,
                                      .closes_connection = true });
  send_end(exchange, true);
  channel_close_server_side(exchange->channel);
}

/* returns the status with which a listener rejects a request that is too large, or 0 */
static int rejection_status(const http_listener *listener, const exchange *exchange) {
  if (!listener)
    return 0;
  if (listener->header_max_bytes && exchange->request_fields->len > listener->header_max_bytes)
    return 431;
  if (listener->body_max_bytes && exchange->body->len > listener->body_max_bytes)
    return 413;
  return 0;
}

/* the host field without the port */
static char *dup_host_name(const fields *request_fields) {
  char *name = fields_dup(request_fields, "host");
  if (!name)
    return g_strdup("");
  char *colon = strchr(name, ':');
  if (colon)
    *colon = 0;
  return name;
}

static http_request *request_new(exchange *exchange) {
  channel *channel = exchange->channel;
  http_request *request = g_new0(http_request, 1);
  request->world = &channel->server->world;
  request->listener = channel->listener;
  request->method = g_strdup(exchange->method);
  request->target = g_strdup(exchange->target);
  sim_http_set_path(request, exchange->target);
  request->fields = g_string_new_len(exchange->request_fields->str, exchange->request_fields->len);
  request->host = dup_host_name(exchange->request_fields);
  request->response_fields = g_string_new(NULL);
  request->received_at = channel->sim->now;
  request->connection_request_number = ++channel->requests;
  g_strlcpy(request->client_address, channel->client->addr, sizeof request->client_address);
  channel_parse_known_headers(&request->known_fields, request->fields);
  request->body = g_string_new_len(exchange->body->str, exchange->body->len);
  request->pending_output = g_string_new(NULL);
  condition_init(&request->output_progressed);
  request->impl = exchange_ref(exchange);
  return request;
}

static void receive_request(channel *channel, exchange *exchange) {
  http_listener *listener = channel->listener;
  int status = rejection_status(listener, exchange);
  if (status) {
    reject_request(exchange, status);
    return;
  }
  exchange->request = request_new(exchange);
  channel->served_exchange = exchange;
  if (listener) {
    listener->requests_received++;
    listener->pending_exchanges++;
    exchange->counted_pending = true;
  }
  task_start(&channel->server->world.tasks, "serve", serve_task, exchange);
}

static void receive_close(channel *channel) {
  exchange *served = channel->served_exchange;
  channel_close_server_side(channel);
  if (!served || !served->request)
    return;
  http_request *request = served->request;
  request->client_gone = true;
  uncount_pending(served);
  condition_broadcast(&request->output_progressed);
  if (request->client_gone_condition)
    condition_broadcast(request->client_gone_condition);
}

void channel_deliver_to_server(channel *channel, const packet *packet) {
  enum packet_kind kind = packet->content.kind;
  if (kind == PACKET_CLOSE || kind == PACKET_RESET)
    receive_close(channel);
  else if (kind == PACKET_REQUEST && channel->server_open)
    receive_request(channel, packet->content.exchange);
}

/* responses */

/* closes a channel that has been idle for too long; runs again at its timeout if it has been used
 * meanwhile */
static void close_when_idle(void *argument) {
  channel *channel = argument;
  sim *sim = channel->sim;
  const http_listener *listener = channel->listener;
  channel->idle_timer_set = false;
  if (channel->server_open &&
      channel_is_incarnation_alive(channel->server, channel->server_incarnation) && listener &&
      listener->idle_timeout_ms && !channel->served_exchange) {
    time_us at = time_add(channel->server_idle_at, time_from_ms(listener->idle_timeout_ms));
    if (sim->now.us < at.us) {
      channel->idle_timer_set = true;
      sim_schedule(sim, at, close_when_idle, channel);
      return;
    }
    packet_queue_send(&channel->to_client, (packet_content){ .kind = PACKET_CLOSE });
    channel_close_server_side(channel);
  }
  channel_unref(channel);
}

static void start_idle_timer(channel *channel) {
  const http_listener *listener = channel->listener;
  sim *sim = channel->sim;
  channel->server_idle_at = sim->now;
  if (!listener || !listener->idle_timeout_ms || channel->idle_timer_set)
    return;
  channel->idle_timer_set = true;
  channel_ref(channel);
  sim_schedule(sim, time_add(sim->now, time_from_ms(listener->idle_timeout_ms)), close_when_idle,
               channel);
}

/* returns the fields of a response, including those that frame its body */
static fields *list_response_fields(const http_request *request) {
  fields *fields = g_string_new_len(request->response_fields->str, request->response_fields->len);
  channel_append_known_headers(fields, &request->known_response_fields);
  if (request->close_connection)
    fields_add(fields, "Connection", string_view_of("close"));
  if (request->response_ended)
    fields_add_format(fields, "Content-Length", "%zu", request->pending_output->len);
  else
    fields_add(fields, "Transfer-Encoding", string_view_of("chunked"));
  return fields;
}

static void send_head(exchange *exchange) {
  channel *channel = exchange->channel;
  http_request *request = exchange->request;
  exchange->head_sent = true;
  if (channel->listener && channel->listener->draining)
    request->close_connection = true;
  packet_queue_send(&channel->to_client,
                    (packet_content){ .kind = PACKET_HEAD,
                                      .exchange = exchange,
                                      .fields = list_response_fields(request),
                                      .status = request->status,
                                      .closes_connection = request->close_connection });
}

static void send_data(exchange *exchange) {
  http_request *request = exchange->request;
  packet_queue_send(&exchange->channel->to_client,
                    (packet_content){ .kind = PACKET_DATA,
                                      .exchange = exchange,
                                      .text = string_view_of_gstring(request->pending_output) });
  g_string_truncate(request->pending_output, 0);
  condition_broadcast(&request->output_progressed);
}

/* resets the channel of a request that ends without a response */
static void reset_without_response(exchange *exchange) {
  channel *channel = exchange->channel;
  exchange->end_sent = true;
  uncount_pending(exchange);
  channel->served_exchange = NULL;
  packet_queue_send(&channel->to_client,
                    (packet_content){ .kind = PACKET_RESET, .exchange = exchange });
  channel_close_server_side(channel);
}

static void complete_response(exchange *exchange) {
  channel *channel = exchange->channel;
  const http_request *request = exchange->request;
  uncount_pending(exchange);
  channel->served_exchange = NULL;
  send_end(exchange, request->ended_cleanly);
  if (request->close_connection || !request->ended_cleanly) {
    channel_close_server_side(channel);
    return;
  }
  /* the process may have begun to drain after the head was sent */
  if (channel->listener && channel->listener->draining) {
    packet_queue_send(&channel->to_client, (packet_content){ .kind = PACKET_CLOSE });
    channel_close_server_side(channel);
    return;
  }
  start_idle_timer(channel);
}

void connections_flush_response(http_request *request) {
  exchange *exchange = request->impl;
  if (!exchange)
    return;
  channel *channel = exchange->channel;
  if (channel->server->world.tasks.stopped || request->client_gone || exchange->end_sent ||
      !channel->server_open)
    return;
  if (request->response_ended && !request->ended_cleanly && channel->listener)
    channel->listener->requests_aborted++;
  if (!request->response_started) {
    if (request->response_ended)
      reset_without_response(exchange);
    return;
  }
  if (!exchange->head_sent)
    send_head(exchange);
  /* a client that reads slowly reads nothing until the response has ended */
  bool reads = !channel->client->reads_slowly || request->response_ended;
  if (request->pending_output->len && reads)
    send_data(exchange);
  if (request->response_ended)
    complete_response(exchange);
}

void sim_send_stray_response(http_request *request, int status, const fields *fields,
                             string_view body) {
  exchange *exchange = request->impl;
  if (!exchange || !exchange->channel->server_open || request->client_gone)
    return;
  packet_queue_send(&exchange->channel->to_client,
                    (packet_content){ .kind = PACKET_STRAY,
                                      .text = body.data ? body : string_view_of(""),
                                      .fields = g_string_new(fields ? fields->str : ""),
                                      .status = status });
}

/* end of a process and of the simulation */

void connections_reset_served(host *host) {
  list_for_each (address, &host->sim->listeners, listener_address, link)
    if (address->host == host)
      close_address(address);
  list_for_each (c, &host->sim->channels, channel, link) {
    if (c->server != host || !c->server_open || c->server_incarnation != host->incarnation)
      continue;
    if (!host->powered_off)
      packet_queue_send(&c->to_client, (packet_content){ .kind = PACKET_RESET });
    c->listener = NULL;
    channel_close_server_side(c);
  }
}

void connections_free(sim *sim) {
  list_for_each (c, &sim->channels, channel, link) {
    packet_queue_clear(&c->to_client);
    packet_queue_clear(&c->to_server);
  }
  list_for_each (x, &sim->exchanges, exchange, link)
    exchange_free(x);
  list_for_each (c, &sim->channels, channel, link)
    channel_free(c);
  list_for_each (address, &sim->listeners, listener_address, link) {
    list_remove(&address->link);
    g_free(address);
  }
}
