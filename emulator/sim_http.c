/** @file
 * An exchange is shared by its client, its server and its scheduled events, and freed with the last
 * of these references. The request arrives after the three random delays of a TCP handshake and a
 * request; the response arrives as a head, parts of the body and an end, in order. A partition
 * loses the parts that are sent during it; the client sees the broken connection at the first part
 * that is sent afterwards. */
#include "sim_http.h"
#include "sim_connections.h"
#include <stdio.h>
#include <stdlib.h>

/* one HTTP exchange between two hosts */
typedef struct sim_http_exchange {
  sim *sim;
  host *client, *server;
  uint64_t client_incarnation, server_incarnation;
  /* NULL once the client has released it */
  http_call *call;
  /* NULL before the server's process has received it, and once it has handled it */
  http_request *request;
  int references;
  bool head_sent, finished;
  /* a part of the response was lost in a partition; the client was sent a reset for it */
  bool bytes_lost, loss_reported;
  time_us last_delivery_at;
  list_node link;
} sim_http_exchange;

enum response_part_kind { RESPONSE_HEAD, RESPONSE_BODY, RESPONSE_END, RESPONSE_RESET };

/* a part of a response, as the server sends it; text and headers are copied */
typedef struct response_part {
  enum response_part_kind kind;
  int status;
  const GString *body;
  const http_headers *headers;
} response_part;

/* an event of an exchange, to which it holds a reference; the fields after exchange are for parts
 * of the response only */
typedef struct exchange_event {
  sim_event event;
  sim_http_exchange *exchange;
  enum response_part_kind kind;
  int status;
  GString *body;
  http_headers headers;
} exchange_event;

static void sim_http_exchange_unref(sim_http_exchange *exchange) {
  if (--exchange->references)
    return;
  list_remove(&exchange->link);
  g_free(exchange);
}

static void release_exchange_event(sim_event *event) {
  exchange_event *part = (exchange_event *)event;
  sim_http_exchange_unref(part->exchange);
  if (part->body)
    g_string_free(part->body, TRUE);
  http_headers_free(&part->headers);
  g_free(part);
}

static exchange_event *schedule_event(sim_http_exchange *exchange, const sim_event_type *type,
                                      time_us at, host *host) {
  exchange_event *event = g_new0(exchange_event, 1);
  event->exchange = exchange;
  exchange->references++;
  sim_events_schedule(&exchange->sim->events, &event->event, type, at, host);
  return event;
}

static time_us after_message_delay(sim *sim) {
  return time_add(sim->now, sim_draw_message_delay(sim));
}

static bool client_waits(const sim_http_exchange *exchange) {
  return exchange->call && exchange->client->alive &&
         exchange->client->incarnation == exchange->client_incarnation;
}

static bool server_lives(const sim_http_exchange *exchange) {
  return exchange->server->alive && exchange->server->incarnation == exchange->server_incarnation;
}

/* the response */

static void deliver_response_part(sim_event *event) {
  exchange_event *part = (exchange_event *)event;
  sim_http_exchange *exchange = part->exchange;
  if (!client_waits(exchange))
    return;
  http_call *call = exchange->call;
  switch (part->kind) {
  case RESPONSE_HEAD:
    call->status = part->status;
    http_headers_copy(&call->known_response_fields, &part->headers);
    break;
  case RESPONSE_BODY:
    g_string_append_len(call->response_body, part->body->str, part->body->len);
    break;
  case RESPONSE_END:
    call->ended = true;
    exchange->finished = true;
    break;
  case RESPONSE_RESET:
    call->broken = true;
    exchange->finished = true;
    break;
  }
  condition_broadcast(&call->progressed);
}

static const sim_event_type response_part_type = { deliver_response_part, release_exchange_event,
                                                   true };

static void schedule_response_part(sim_http_exchange *exchange, response_part part) {
  time_us at = after_message_delay(exchange->sim);
  if (at.us <= exchange->last_delivery_at.us)
    at.us = exchange->last_delivery_at.us + 1;
  exchange->last_delivery_at = at;
  exchange_event *event = schedule_event(exchange, &response_part_type, at, exchange->client);
  event->kind = part.kind;
  event->status = part.status;
  if (part.body)
    event->body = g_string_new_len(part.body->str, part.body->len);
  if (part.headers)
    http_headers_copy(&event->headers, part.headers);
}

/* A connection never skips bytes: once a part was lost, the next part that can be delivered is
 * replaced by a reset. */
static void send_response_part(sim_http_exchange *exchange, response_part part) {
  if (sim_is_partitioned(exchange->sim, exchange->server, exchange->client)) {
    exchange->bytes_lost = true;
    return;
  }
  if (!exchange->bytes_lost) {
    schedule_response_part(exchange, part);
    return;
  }
  if (exchange->loss_reported)
    return;
  exchange->loss_reported = exchange->finished = true;
  schedule_response_part(exchange, (response_part){ .kind = RESPONSE_RESET });
}

static void send_reset(sim_http_exchange *exchange) {
  send_response_part(exchange, (response_part){ .kind = RESPONSE_RESET });
}

static void send_head(sim_http_exchange *exchange) {
  http_request *request = exchange->request;
  exchange->head_sent = true;
  send_response_part(exchange, (response_part){ .kind = RESPONSE_HEAD,
                                                .status = request->status,
                                                .headers = &request->known_response_fields });
}

static void send_body(sim_http_exchange *exchange) {
  http_request *request = exchange->request;
  send_response_part(exchange,
                     (response_part){ .kind = RESPONSE_BODY, .body = request->pending_output });
  g_string_truncate(request->pending_output, 0);
  condition_broadcast(&request->output_progressed);
}

static void send_end(sim_http_exchange *exchange, enum response_part_kind kind) {
  exchange->finished = true;
  send_response_part(exchange, (response_part){ .kind = kind });
}

static void flush_response(http_request *request) {
  if (request->fields) {
    connections_flush_response(request);
    return;
  }
  sim_http_exchange *exchange = request->impl;
  if (!exchange || exchange->server->world.tasks.stopped)
    return;
  if (!request->response_started) {
    if (request->response_ended && !exchange->finished)
      send_end(exchange, RESPONSE_RESET);
    return;
  }
  if (request->client_gone)
    return;
  if (!exchange->head_sent)
    send_head(exchange);
  /* a client that reads slowly reads nothing until the response has ended */
  bool reads = !exchange->client->reads_slowly || request->response_ended;
  if (request->pending_output->len && reads)
    send_body(exchange);
  if (request->response_ended && !exchange->finished)
    send_end(exchange, request->ended_cleanly ? RESPONSE_END : RESPONSE_RESET);
}

/* the request at the server */

static void serve_task(void *argument) {
  sim_http_exchange *exchange = argument;
  http_request *request = exchange->request;
  world *world = &exchange->server->world;
  world->serve(world->serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  exchange->request = NULL;
  http_request_free(request);
  sim_http_exchange_unref(exchange);
}

void sim_http_set_path(http_request *request, const char *target) {
  char **parts = g_strsplit(target, "?", 2);
  request->path = g_strdup(parts[0] ? parts[0] : "");
  request->query = g_strdup(parts[0] && parts[1] ? parts[1] : "");
  g_strfreev(parts);
}

static http_request *request_new(sim_http_exchange *exchange) {
  http_call *call = exchange->call;
  http_request *request = g_new0(http_request, 1);
  request->world = &exchange->server->world;
  request->method = g_strdup(call->method);
  sim_http_set_path(request, call->path);
  g_strlcpy(request->client_address, exchange->client->addr, sizeof request->client_address);
  http_headers_copy(&request->known_fields, &call->known_request_fields);
  request->body = g_string_new_len(call->body->str, call->body->len);
  request->pending_output = g_string_new(NULL);
  condition_init(&request->output_progressed);
  request->impl = exchange;
  return request;
}

static void deliver_request(sim_event *event) {
  sim_http_exchange *exchange = ((exchange_event *)event)->exchange;
  host *server = exchange->server;
  if (server_lives(exchange) && exchange->call && server->world.serve) {
    exchange->request = request_new(exchange);
    exchange->references++;
    task_start(&server->world.tasks, "serve", serve_task, exchange);
  } else if (!server->powered_off)
    send_reset(exchange);
}

static const sim_event_type request_type = { deliver_request, release_exchange_event, true };

static void deliver_client_gone(sim_event *event) {
  sim_http_exchange *exchange = ((exchange_event *)event)->exchange;
  if (!exchange->request || !server_lives(exchange))
    return;
  exchange->request->client_gone = true;
  condition_broadcast(&exchange->request->output_progressed);
}

static const sim_event_type client_gone_type = { deliver_client_gone, release_exchange_event,
                                                 true };

/* the client */

static void break_call(sim_http_exchange *exchange) {
  exchange->call->broken = true;
  condition_broadcast(&exchange->call->progressed);
}

static void send_request(sim_http_exchange *exchange) {
  exchange->server_incarnation = exchange->server->incarnation;
  exchange->call->sent = true;
  schedule_event(exchange, &request_type, after_message_delay(exchange->sim), exchange->server);
}

static void complete_connect(sim_event *event) {
  sim_http_exchange *exchange = ((exchange_event *)event)->exchange;
  sim *sim = exchange->sim;
  host *client = exchange->client, *server = exchange->server;
  if (!client_waits(exchange))
    return;
  if (time_reached(sim->now, exchange->call->send_deadline)) {
    break_call(exchange);
    return;
  }
  if (!server->alive) {
    /* a host without power does not refuse connections: the call stays open until its timeout */
    if (!server->powered_off)
      break_call(exchange);
    return;
  }
  if (!sim_is_partitioned(sim, client, server) && !sim_is_partitioned(sim, server, client))
    send_request(exchange);
}

static const sim_event_type connect_type = { complete_connect, release_exchange_event, true };

static sim_http_exchange *sim_http_exchange_new(http_call *call, host *client, host *server) {
  sim_http_exchange *exchange = g_new0(sim_http_exchange, 1);
  exchange->sim = client->sim;
  exchange->client = client;
  exchange->server = server;
  exchange->call = call;
  exchange->client_incarnation = client->incarnation;
  exchange->server_incarnation = server->incarnation;
  exchange->references = 1;
  call->impl = exchange;
  list_append(&client->sim->http_exchanges, &exchange->link);
  return exchange;
}

static void start_call(http_call *call) {
  host *client = (host *)call->world;
  sim *sim = client->sim;
  host *server = sim_find_host_by_address(sim, call->address);
  if (call->pooled || (!server && connections_is_listener_address(sim, call->address))) {
    connections_start_call(call);
    return;
  }
  if (call->world->tasks.stopped || !server) {
    call->broken = true;
    return;
  }
  sim_http_exchange *exchange = sim_http_exchange_new(call, client, server);
  time_us handshake = time_add(sim_draw_message_delay(sim), sim_draw_message_delay(sim));
  schedule_event(exchange, &connect_type, time_add(sim->now, handshake), client);
}

static void cancel_call(http_call *call) {
  if (call->request_fields) {
    connections_cancel_call(call);
    return;
  }
  sim_http_exchange *exchange = call->impl;
  if (!exchange)
    return;
  sim *sim = exchange->sim;
  call->impl = NULL;
  exchange->call = NULL;
  bool cut = sim_is_partitioned(sim, exchange->client, exchange->server);
  if (!cut && !exchange->client->powered_off)
    schedule_event(exchange, &client_gone_type, after_message_delay(sim), exchange->server);
  sim_http_exchange_unref(exchange);
}

void sim_http_attach(host *host) {
  host->world.request_flush = flush_response;
  host->world.call_start = start_call;
  host->world.call_cancel = cancel_call;
}

void sim_http_reset_pending_calls(host *host) {
  list_for_each (exchange, &host->sim->http_exchanges, sim_http_exchange, link)
    if (exchange->server == host && exchange->server_incarnation == host->incarnation &&
        exchange->call && exchange->call->sent && !exchange->finished)
      send_end(exchange, RESPONSE_RESET);
}
