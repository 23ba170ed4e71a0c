#include "sim_connections.h"
#include <stdio.h>
#include <stdlib.h>

/* a place where requests come in; it is known after its process ended, so that calls to it are
 * refused */
typedef struct listener_address {
  list_node link;
  host *host;
  uint64_t incarnation;
  http_listener *listener;
  char addr[48];
  bool open;
} listener_address;

enum packet_kind {
  PACKET_REQUEST,
  PACKET_HEAD,
  PACKET_DATA,
  PACKET_END,
  PACKET_CLOSE,
  PACKET_RESET,
  PACKET_STRAY
};
typedef struct channel channel;
typedef struct exchange exchange;
typedef struct packet {
  list_node link;
  time_us deliver_at;
  enum packet_kind kind;
  exchange *exchange;
  GString *text;
  fields *fields;
  int status;
  bool clean_or_close;
} packet;
typedef struct packet_queue {
  channel *channel;
  list_node packets;
  time_us last_delivery_at;
  bool scheduled, up;
} packet_queue;

struct channel {
  list_node link, idle;
  sim *sim;
  host *client, *server;
  uint64_t client_incarnation, server_incarnation;
  char addr[48];
  http_listener *listener;
  bool client_open, server_open, served, established, idle_timer_set;
  time_us client_idle_at, server_idle_at;
  exchange *awaited_exchange; /* at the caller: whose answer is awaited */
  exchange *served_exchange;
  packet_queue to_server, to_client;
  unsigned requests;
  int refs;
};

struct exchange {
  list_node link;
  channel *channel;
  http_call *call;
  http_request *request;
  char *method, *target;
  fields *request_fields;
  GString *body;
  int refs;
  bool head_sent, end_sent, finished, skips_response, counted_pending;
};

static exchange *exchange_ref(exchange *exchange) {
  if (exchange)
    exchange->refs++;
  return exchange;
}

static void channel_free(channel *channel) {
  list_remove(&channel->link);
  list_remove(&channel->idle);
  g_free(channel);
}

static void channel_unref(channel *channel) {
  if (!--channel->refs)
    channel_free(channel);
}

static void exchange_unref(exchange *exchange) {
  if (!exchange || --exchange->refs)
    return;
  list_remove(&exchange->link);
  g_free(exchange->method);
  g_free(exchange->target);
  if (exchange->request_fields)
    g_string_free(exchange->request_fields, TRUE);
  if (exchange->body)
    g_string_free(exchange->body, TRUE);
  channel_unref(exchange->channel);
  g_free(exchange);
}

static void packet_free(packet *p) {
  list_remove(&p->link);
  if (p->text)
    g_string_free(p->text, TRUE);
  if (p->fields)
    g_string_free(p->fields, TRUE);
  exchange_unref(p->exchange);
  g_free(p);
}

static bool is_incarnation_alive(const host *host, uint64_t incarnation) {
  return host->alive && host->incarnation == incarnation;
}

static void packet_queue_clear(packet_queue *p) {
  list_for_each (k, &p->packets, packet, link)
    packet_free(k);
}

static void packet_queue_run(void *p);

static void packet_queue_schedule(packet_queue *p, time_us at) {
  if (p->scheduled)
    return;
  p->scheduled = true;
  p->channel->refs++;
  sim_schedule(p->channel->sim, at, packet_queue_run, p);
}

static void packet_queue_send(packet_queue *p, enum packet_kind kind, exchange *exchange,
                              const char *text, size_t n, fields *fields, int status, bool flag) {
  channel *channel = p->channel;
  host *from = p == &channel->to_server ? channel->client : channel->server,
       *to = p == &channel->to_server ? channel->server : channel->client;
  /* what a cut holds up is lost when its sender resets the channel */
  if (kind == PACKET_RESET && sim_is_partitioned(channel->sim, from, to))
    packet_queue_clear(p);
  packet *k = g_new0(packet, 1);
  k->kind = kind;
  k->exchange = exchange_ref(exchange);
  k->fields = fields;
  k->status = status;
  k->clean_or_close = flag;
  if (text)
    k->text = g_string_new_len(text, n);
  k->deliver_at = time_add(channel->sim->now, sim_draw_message_delay(channel->sim));
  if (k->deliver_at.us <= p->last_delivery_at.us)
    k->deliver_at.us = p->last_delivery_at.us + 1;
  p->last_delivery_at = k->deliver_at;
  list_append(&p->packets, &k->link);
  packet_queue_schedule(p, k->deliver_at);
}

/* one side is done with a channel */
static void close_client_side(channel *channel) {
  if (!channel->client_open)
    return;
  channel->client_open = false;
  list_remove(&channel->idle);
  channel_unref(channel);
}

static void close_server_side(channel *channel) {
  if (!channel->server_open)
    return;
  channel->server_open = false;
  if (channel->listener && is_incarnation_alive(channel->server, channel->server_incarnation))
    channel->listener->connections--;
  channel_unref(channel);
}

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

static void parse_known_headers(http_headers *h, const fields *fields) {
  for (int i = 0; i < HEADER_COUNT; i++) {
    char *v = fields_dup(fields, http_header_names[i]);
    if (v)
      http_headers_set(h, i, v);
    g_free(v);
  }
}

static bool belongs_to_call(const http_call *call, const fields *fields) {
  if (!call->match_name)
    return true;
  string_view v;
  return fields && fields_get(fields, call->match_name, &v) &&
         string_view_equal(v, string_view_of(call->match_value));
}

/* the caller's side */
static void deliver_to_client(channel *channel, packet *p) {
  exchange *exchange = p->exchange;
  http_call *call = exchange ? exchange->call : NULL;
  sim *sim = channel->sim;
  switch (p->kind) {
  case PACKET_HEAD:
    if (!call || exchange->finished)
      break;
    if (!belongs_to_call(call, p->fields)) {
      call->skipped_responses++;
      exchange->skips_response = true;
      break;
    }
    call->status = p->status;
    call->closes_connection = p->clean_or_close;
    call->last_byte_at = sim->now;
    g_string_append_len(call->response_fields, p->fields->str, p->fields->len);
    parse_known_headers(&call->known_response_fields, p->fields);
    condition_broadcast(&call->progressed);
    break;
  case PACKET_DATA:
    if (!call || exchange->finished || exchange->skips_response)
      break;
    call->last_byte_at = sim->now;
    g_string_append_len(call->response_body, p->text->str, p->text->len);
    condition_broadcast(&call->progressed);
    break;
  case PACKET_END:
    if (!exchange || exchange->finished || exchange->skips_response)
      break;
    if (!p->clean_or_close || !call) {
      break_call(exchange);
      channel->awaited_exchange = NULL;
      close_client_side(channel);
      break;
    }
    exchange->finished = true;
    call->ended = true;
    call->last_byte_at = sim->now;
    channel->awaited_exchange = NULL;
    if (call->closes_connection)
      close_client_side(channel);
    else if (channel->client_open) {
      channel->served = true;
      channel->client_idle_at = sim->now;
      list_append(&channel->client->pooled_connections, &channel->idle);
    }
    condition_broadcast(&call->progressed);
    break;
  case PACKET_CLOSE:
  case PACKET_RESET:
    break_call(channel->awaited_exchange);
    channel->awaited_exchange = NULL;
    close_client_side(channel);
    break;
  case PACKET_STRAY:
    call = channel->awaited_exchange ? channel->awaited_exchange->call : NULL;
    /* bytes that nobody waits for end the channel */
    if (!call || call->status || !p->status) {
      break_call(channel->awaited_exchange);
      channel->awaited_exchange = NULL;
      close_client_side(channel);
      if (channel->server_open)
        packet_queue_send(&channel->to_server, PACKET_RESET, NULL, NULL, 0, NULL, 0, false);
      break;
    }
    if (!belongs_to_call(call, p->fields)) {
      call->skipped_responses++;
      break;
    }
    call->status = p->status;
    call->last_byte_at = sim->now;
    g_string_append_len(call->response_fields, p->fields->str, p->fields->len);
    parse_known_headers(&call->known_response_fields, p->fields);
    g_string_append_len(call->response_body, p->text->str, p->text->len);
    call->ended = call->closes_connection = channel->awaited_exchange->finished = true;
    channel->awaited_exchange = NULL;
    close_client_side(channel);
    if (channel->server_open)
      packet_queue_send(&channel->to_server, PACKET_CLOSE, NULL, NULL, 0, NULL, 0, false);
    condition_broadcast(&call->progressed);
    break;
  default:
    break;
  }
}

static void exchange_uncount_pending(exchange *exchange) {
  if (!exchange->counted_pending)
    return;
  exchange->counted_pending = false;
  if (exchange->channel->listener &&
      is_incarnation_alive(exchange->channel->server, exchange->channel->server_incarnation))
    exchange->channel->listener->pending_exchanges--;
}

static void serve_task(void *p) {
  exchange *exchange = p;
  channel *channel = exchange->channel;
  http_request *request = exchange->request;
  host *host = channel->server;
  if (request->listener)
    request->listener->serve(request->listener->serve_context, request);
  else
    host->world.serve(host->world.serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  exchange_uncount_pending(exchange);
  /* a request that ended without an answer, as in a process that stops, is still noted here */
  if (channel->served_exchange == exchange)
    channel->served_exchange = NULL;
  exchange->request = NULL;
  request->impl = NULL;
  http_request_free(request);
  exchange_unref(exchange);
}

/* the other side ends a channel that was idle for too long */
static void close_when_idle(void *p) {
  channel *channel = p;
  sim *sim = channel->sim;
  channel->idle_timer_set = false;
  if (channel->server_open && is_incarnation_alive(channel->server, channel->server_incarnation) &&
      channel->listener && channel->listener->idle_timeout_ms && !channel->served_exchange) {
    time_us at =
        time_add(channel->server_idle_at, time_from_ms(channel->listener->idle_timeout_ms));
    if (sim->now.us < at.us) {
      channel->idle_timer_set = true;
      sim_schedule(sim, at, close_when_idle, channel);
      return;
    }
    packet_queue_send(&channel->to_client, PACKET_CLOSE, NULL, NULL, 0, NULL, 0, false);
    close_server_side(channel);
  }
  channel_unref(channel);
}

static void reject_request(exchange *exchange, int status) {
  channel *channel = exchange->channel;
  fields *fields = g_string_new("Connection: close\r\n");
  exchange->end_sent = true;
  packet_queue_send(&channel->to_client, PACKET_HEAD, exchange, NULL, 0, fields, status, true);
  packet_queue_send(&channel->to_client, PACKET_END, exchange, NULL, 0, NULL, 0, true);
  close_server_side(channel);
}

/* the side of the listener */
static void deliver_to_server(channel *channel, packet *p) {
  exchange *exchange = p->exchange;
  if (p->kind == PACKET_CLOSE || p->kind == PACKET_RESET) {
    close_server_side(channel);
    if (channel->served_exchange && channel->served_exchange->request) {
      http_request *request = channel->served_exchange->request;
      request->client_gone = true;
      exchange_uncount_pending(channel->served_exchange);
      condition_broadcast(&request->drained);
      if (request->client_gone_condition)
        condition_broadcast(request->client_gone_condition);
    }
    return;
  }
  if (p->kind != PACKET_REQUEST || !channel->server_open)
    return;
  http_listener *listener = channel->listener;
  if (listener && listener->header_max_bytes &&
      exchange->request_fields->len > listener->header_max_bytes) {
    reject_request(exchange, 431);
    return;
  }
  if (listener && listener->body_max_bytes && exchange->body->len > listener->body_max_bytes) {
    reject_request(exchange, 413);
    return;
  }
  http_request *request = g_new0(http_request, 1);
  request->world = &channel->server->world;
  request->listener = listener;
  char **t = g_strsplit(exchange->target, "?", 2);
  request->method = g_strdup(exchange->method);
  request->target = g_strdup(exchange->target);
  request->path = g_strdup(t[0] ? t[0] : "");
  request->query = g_strdup(t[0] && t[1] ? t[1] : "");
  g_strfreev(t);
  request->fields = g_string_new_len(exchange->request_fields->str, exchange->request_fields->len);
  request->host = fields_dup(exchange->request_fields, "host");
  if (!request->host)
    request->host = g_strdup("");
  char *colon = strchr(request->host, ':');
  if (colon)
    *colon = 0;
  request->response_fields = g_string_new(NULL);
  request->received_at = channel->sim->now;
  request->connection_request_number = ++channel->requests;
  g_strlcpy(request->client_address, channel->client->addr, sizeof request->client_address);
  parse_known_headers(&request->known_fields, request->fields);
  request->body = g_string_new_len(exchange->body->str, exchange->body->len);
  request->pending_output = g_string_new(NULL);
  condition_init(&request->drained);
  request->impl = exchange_ref(exchange);
  exchange->request = request;
  channel->served_exchange = exchange;
  if (listener) {
    listener->requests_received++;
    listener->pending_exchanges++;
    exchange->counted_pending = true;
  }
  task_start(&channel->server->world.tasks, "serve", serve_task, exchange);
}

static void packet_queue_run(void *v) {
  packet_queue *p = v;
  channel *channel = p->channel;
  sim *sim = channel->sim;
  bool down = p == &channel->to_server;
  host *from = down ? channel->client : channel->server,
       *to = down ? channel->server : channel->client;
  uint64_t incarnation = down ? channel->server_incarnation : channel->client_incarnation;
  p->scheduled = false;
  while (!list_is_empty(&p->packets)) {
    packet *k = list_item(p->packets.next, packet, link);
    if (k->deliver_at.us > sim->now.us) {
      packet_queue_schedule(p, k->deliver_at);
      break;
    }
    if (sim_is_partitioned(sim, from, to)) {
      packet_queue_schedule(p, time_add(sim->now, time_from_ms(20)));
      break;
    }
    if (is_incarnation_alive(to, incarnation) && to->frozen) {
      packet_queue_schedule(p, time_add(sim->now, time_from_ms(5)));
      break;
    }
    list_remove(&k->link);
    if (is_incarnation_alive(to, incarnation)) {
      if (down)
        deliver_to_server(channel, k);
      else if (channel->client_open || k->kind == PACKET_RESET || k->kind == PACKET_CLOSE)
        deliver_to_client(channel, k);
    } else if (k->kind != PACKET_RESET && !(to->powered_off && !to->alive)) {
      /* a later life, or a machine without the process, knows nothing of this channel */
      if (down)
        packet_queue_send(&channel->to_client, PACKET_RESET, NULL, NULL, 0, NULL, 0, false);
      else if (channel->server_open)
        packet_queue_send(&channel->to_server, PACKET_RESET, NULL, NULL, 0, NULL, 0, false);
    }
    packet_free(k);
  }
  channel_unref(channel);
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
    if (!request->response_ended)
      return;
    exchange->end_sent = true;
    exchange_uncount_pending(exchange);
    channel->served_exchange = NULL;
    packet_queue_send(&channel->to_client, PACKET_RESET, exchange, NULL, 0, NULL, 0, false);
    close_server_side(channel);
    return;
  }
  if (!exchange->head_sent) {
    exchange->head_sent = true;
    if (channel->listener && channel->listener->draining)
      request->close_connection = true;
    fields *fields = g_string_new_len(request->response_fields->str, request->response_fields->len);
    for (int i = 0; i < HEADER_COUNT; i++)
      if (request->known_response_fields.values[i])
        fields_add(fields, http_header_names[i],
                   string_view_of(request->known_response_fields.values[i]));
    if (request->close_connection)
      fields_add(fields, "Connection", string_view_of("close"));
    if (request->response_ended)
      fields_add_format(fields, "Content-Length", "%zu", request->pending_output->len);
    else
      fields_add(fields, "Transfer-Encoding", string_view_of("chunked"));
    packet_queue_send(&channel->to_client, PACKET_HEAD, exchange, NULL, 0, fields, request->status,
                      request->close_connection);
  }
  if (request->pending_output->len &&
      !(channel->client->reads_slowly && !request->response_ended)) {
    packet_queue_send(&channel->to_client, PACKET_DATA, exchange, request->pending_output->str,
                      request->pending_output->len, NULL, 0, false);
    g_string_truncate(request->pending_output, 0);
    condition_broadcast(&request->drained);
  }
  if (!request->response_ended)
    return;
  exchange->end_sent = true;
  exchange_uncount_pending(exchange);
  channel->served_exchange = NULL;
  packet_queue_send(&channel->to_client, PACKET_END, exchange, NULL, 0, NULL, 0,
                    request->ended_cleanly);
  if (request->close_connection || !request->ended_cleanly) {
    close_server_side(channel);
    return;
  }
  /* the process may have begun to leave after the head was sent */
  if (channel->listener && channel->listener->draining) {
    packet_queue_send(&channel->to_client, PACKET_CLOSE, NULL, NULL, 0, NULL, 0, false);
    close_server_side(channel);
    return;
  }
  channel->server_idle_at = channel->sim->now;
  if (!channel->listener || !channel->listener->idle_timeout_ms || channel->idle_timer_set)
    return;
  channel->idle_timer_set = true;
  channel->refs++;
  sim_schedule(channel->sim,
               time_add(channel->sim->now, time_from_ms(channel->listener->idle_timeout_ms)),
               close_when_idle, channel);
}

void sim_send_stray_response(http_request *request, int status, const fields *fields,
                             string_view body) {
  exchange *exchange = request->impl;
  if (!exchange || !exchange->channel->server_open || request->client_gone)
    return;
  packet_queue_send(&exchange->channel->to_client, PACKET_STRAY, NULL, body.data ? body.data : "",
                    body.length, g_string_new(fields ? fields->str : ""), status, false);
}

/* listeners */
static listener_address *find_listener_address(sim *sim, const char *addr) {
  list_for_each (p, &sim->listeners, listener_address, link)
    if (!strcmp(p->addr, addr))
      return p;
  return NULL;
}

bool connections_is_listener_address(sim *sim, const char *addr) {
  return find_listener_address(sim, addr) != NULL;
}

enum error_code connections_open_listener(world *world, http_listener *listener, error *err) {
  host *h = (host *)world;
  char addr[64];
  snprintf(addr, sizeof addr, "%s:%d", listener->ip, listener->port);
  listener_address *p = find_listener_address(h->sim, addr);
  if (p && p->open)
    return error_set(err, E_LISTEN, "%s is taken", addr);
  if (!p) {
    p = g_new0(listener_address, 1);
    g_strlcpy(p->addr, addr, sizeof p->addr);
    list_append(&h->sim->listeners, &p->link);
  }
  p->host = h;
  p->incarnation = h->incarnation;
  p->listener = listener;
  p->open = true;
  listener->world = world;
  listener->impl = p;
  return OK;
}

void connections_stop_accepting(world *world, http_listener *listener) {
  (void)world;
  listener_address *p = listener->impl;
  if (p && p->listener == listener) {
    p->open = false;
    p->listener = NULL;
  }
}

void connections_close_listener_idle(world *world, http_listener *listener) {
  host *h = (host *)world;
  list_for_each (c, &h->sim->channels, channel, link)
    if (c->listener == listener && c->server_open && !c->served_exchange &&
        is_incarnation_alive(c->server, c->server_incarnation)) {
      packet_queue_send(&c->to_client, PACKET_CLOSE, NULL, NULL, 0, NULL, 0, false);
      close_server_side(c);
    }
}

/* the calling side */
static host *host_at_address(sim *sim, const char *addr) {
  listener_address *p = find_listener_address(sim, addr);
  if (p)
    return p->host;
  size_t n = strcspn(addr, ":");
  host *near = NULL;
  list_for_each (h, &sim->hosts, host, link) {
    if (!strcmp(h->addr, addr))
      return h;
    if (strcspn(h->addr, ":") == n && !strncmp(h->addr, addr, n))
      near = h;
  }
  return near;
}

static void send_request(exchange *exchange) {
  channel *channel = exchange->channel;
  sim *sim = channel->sim;
  exchange->call->sent = true;
  exchange->call->sent_at = sim->now;
  if (!exchange->call->connected_at.us)
    exchange->call->connected_at = sim->now;
  channel->awaited_exchange = exchange;
  packet_queue_send(&channel->to_server, PACKET_REQUEST, exchange, NULL, 0, NULL, 0, false);
}

static void fail_connect(exchange *exchange) {
  break_call(exchange);
  close_client_side(exchange->channel);
}

static void finish_connect(void *p) {
  exchange *exchange = p;
  channel *channel = exchange->channel;
  sim *sim = channel->sim;
  if (!exchange->call || !is_incarnation_alive(channel->client, channel->client_incarnation)) {
    close_client_side(channel);
    exchange_unref(exchange);
    return;
  }
  channel->server = host_at_address(sim, channel->addr);
  bool silent = !channel->server || sim_is_partitioned(sim, channel->client, channel->server) ||
                sim_is_partitioned(sim, channel->server, channel->client) ||
                (!channel->server->alive && channel->server->powered_off);
  if (silent || channel->client->frozen) {
    sim_schedule(sim, time_add(sim->now, time_from_ms(silent ? 1000 : 5)), finish_connect,
                 exchange);
    return;
  }
  listener_address *at = find_listener_address(sim, channel->addr);
  bool door_open = at && at->open && at->host == channel->server &&
                   at->incarnation == channel->server->incarnation;
  bool own = !at && !strcmp(channel->server->addr, channel->addr) && channel->server->world.serve;
  if (time_reached(sim->now, exchange->call->send_deadline) || !channel->server->alive ||
      (!door_open && !own)) {
    fail_connect(exchange);
    exchange_unref(exchange);
    return;
  }
  channel->server_incarnation = channel->server->incarnation;
  channel->listener = door_open ? at->listener : NULL;
  channel->server_open = channel->established = true;
  channel->refs++;
  if (channel->listener)
    channel->listener->connections++;
  send_request(exchange);
  if (channel->listener && channel->listener->connections_max &&
      channel->listener->connections > channel->listener->connections_max) {
    packet_queue_send(&channel->to_client, PACKET_RESET, NULL, NULL, 0, NULL, 0, false);
    close_server_side(channel);
  }
  exchange_unref(exchange);
}

void connections_start_call(http_call *call) {
  host *a = (host *)call->world;
  sim *sim = a->sim;
  if (!call->request_fields) {
    /* a plain call to a listener */
    call->request_fields = g_string_new(NULL);
    call->response_fields = g_string_new(NULL);
    fields_add(call->request_fields, "Host", string_view_of(call->address));
    for (int i = 0; i < HEADER_COUNT; i++)
      if (call->known_request_fields.values[i])
        fields_add(call->request_fields, http_header_names[i],
                   string_view_of(call->known_request_fields.values[i]));
    call->needs_new_connection = true;
  }
  if (call->world->tasks.stopped || time_reached(sim->now, call->send_deadline)) {
    call->broken = true;
    return;
  }
  channel *c = NULL;
  list_for_each (i, &a->pooled_connections, channel, idle) {
    if (call->world->pool_idle_timeout_ms &&
        time_reached(sim->now, time_add(i->client_idle_at,
                                        time_from_ms(call->world->pool_idle_timeout_ms)))) {
      if (i->server_open)
        packet_queue_send(&i->to_server, PACKET_CLOSE, NULL, NULL, 0, NULL, 0, false);
      close_client_side(i);
    } else if (!call->needs_new_connection && !strcmp(i->addr, call->address))
      c = i; /* the one that was used last */
  }
  bool old = c != NULL;
  if (old)
    list_remove(&c->idle);
  else {
    c = g_new0(channel, 1);
    c->sim = sim;
    c->client = a;
    c->client_incarnation = a->incarnation;
    g_strlcpy(c->addr, call->address, sizeof c->addr);
    c->to_client.channel = c->to_server.channel = c;
    list_init(&c->to_client.packets);
    list_init(&c->to_server.packets);
    list_init(&c->idle);
    list_append(&sim->channels, &c->link);
    c->client_open = true;
    c->refs = 1;
  }
  exchange *x = g_new0(exchange, 1);
  list_append(&sim->exchanges, &x->link);
  x->channel = c;
  c->refs++;
  x->call = call;
  x->refs = 1;
  call->impl = x;
  x->method = g_strdup(call->method);
  x->target = g_strdup(call->path);
  x->request_fields = g_string_new_len(call->request_fields->str, call->request_fields->len);
  x->body = g_string_new_len(call->body->str, call->body->len);
  if (old) {
    call->reused_connection = true;
    send_request(x);
  } else
    sim_schedule(
        sim, time_add(sim->now, time_add(sim_draw_message_delay(sim), sim_draw_message_delay(sim))),
        finish_connect, exchange_ref(x));
}

void connections_cancel_call(http_call *call) {
  exchange *exchange = call->impl;
  if (!exchange)
    return;
  call->impl = NULL;
  exchange->call = NULL;
  channel *channel = exchange->channel;
  if (!exchange->finished) {
    /* a channel with an open answer can't be used again */
    exchange->finished = true;
    if (channel->awaited_exchange == exchange)
      channel->awaited_exchange = NULL;
    if (channel->established && channel->client_open && !channel->client->powered_off)
      packet_queue_send(&channel->to_server, PACKET_RESET, NULL, NULL, 0, NULL, 0, false);
    close_client_side(channel);
  }
  exchange_unref(exchange);
}

static void client_close_channel(channel *channel) {
  if (channel->established && channel->server_open && !channel->client->powered_off)
    packet_queue_send(&channel->to_server, PACKET_CLOSE, NULL, NULL, 0, NULL, 0, false);
  close_client_side(channel);
}

void connections_close_pooled(world *world, const char *addr) {
  host *h = (host *)world;
  list_for_each (c, &h->pooled_connections, channel, idle)
    if (!addr || !strcmp(c->addr, addr))
      client_close_channel(c);
}

bool connections_has_pooled(world *world, const char *addr) {
  host *h = (host *)world;
  list_for_each (c, &h->pooled_connections, channel, idle)
    if (!strcmp(c->addr, addr))
      return true;
  return false;
}

void connections_reset_served(host *host) {
  list_for_each (p, &host->sim->listeners, listener_address, link)
    if (p->host == host) {
      p->open = false;
      p->listener = NULL;
    }
  list_for_each (c, &host->sim->channels, channel, link) {
    if (c->server != host || !c->server_open || c->server_incarnation != host->incarnation)
      continue;
    if (!host->powered_off)
      packet_queue_send(&c->to_client, PACKET_RESET, NULL, NULL, 0, NULL, 0, false);
    c->listener = NULL;
    close_server_side(c);
  }
}

void connections_drop_pool(host *host) {
  list_for_each (c, &host->pooled_connections, channel, idle)
    client_close_channel(c);
  list_init(&host->pooled_connections);
}

void connections_free(sim *sim) {
  list_for_each (c, &sim->channels, channel, link) {
    packet_queue_clear(&c->to_client);
    packet_queue_clear(&c->to_server);
  }
  list_for_each (x, &sim->exchanges, exchange, link) {
    list_remove(&x->link);
    g_free(x->method);
    g_free(x->target);
    g_string_free(x->request_fields, TRUE);
    g_string_free(x->body, TRUE);
    g_free(x);
  }
  list_for_each (c, &sim->channels, channel, link)
    channel_free(c);
  list_for_each (p, &sim->listeners, listener_address, link) {
    list_remove(&p->link);
    g_free(p);
  }
}
