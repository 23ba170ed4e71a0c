#include "connections.h"
#include <stdio.h>
#include <stdlib.h>

/* a place where requests come in; it is known after its process ended, so that calls to it are
 * refused */
typedef struct place {
  list_node link;
  host *host;
  uint64_t life;
  http_listener *listener;
  char addr[48];
  bool open;
} place;

enum request_kind { P_REQUEST, P_HEAD, P_DATA, P_END, P_CLOSE, P_RESET, P_STRAY };
typedef struct channel channel;
typedef struct exchange exchange;
typedef struct packet {
  list_node link;
  time_us at;
  enum request_kind kind;
  exchange *exchange;
  GString *text;
  fields *fields;
  int status;
  bool flag;
} packet;
typedef struct pipe {
  channel *channel;
  list_node packets;
  time_us last;
  bool armed, up;
} pipe;

struct channel {
  list_node link, idle;
  sim *sim;
  host *a, *b;
  uint64_t life_a, life_b;
  char addr[48];
  http_listener *listener;
  bool open_a, open_b, served, up, watched;
  time_us idle_at, idle_b;
  exchange *now; /* at the caller: whose answer is awaited */
  exchange *serving;
  pipe to_b, to_a;
  unsigned requests;
  int refs;
};

struct exchange {
  list_node link;
  channel *channel;
  http_call *call;
  http_request *request;
  char *verb, *target;
  fields *fleet;
  GString *body;
  int refs;
  bool head_sent, end_sent, over, skip, counted;
};

static exchange *x_ref(exchange *exchange) {
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

static void x_unref(exchange *exchange) {
  if (!exchange || --exchange->refs)
    return;
  list_remove(&exchange->link);
  g_free(exchange->verb);
  g_free(exchange->target);
  if (exchange->fleet)
    g_string_free(exchange->fleet, TRUE);
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
  x_unref(p->exchange);
  g_free(p);
}

static bool alive_at(const host *host, uint64_t life) {
  return host->alive && host->life == life;
}

static void pipe_clear(pipe *p) {
  list_for_each (k, &p->packets, packet, link)
    packet_free(k);
}

static void pipe_run(void *p);

static void pipe_arm(pipe *p, time_us at) {
  if (p->armed)
    return;
  p->armed = true;
  p->channel->refs++;
  sim_at(p->channel->sim, at, pipe_run, p);
}

static void pipe_send(pipe *p, enum request_kind kind, exchange *exchange, const char *text,
                      size_t n, fields *fields, int status, bool flag) {
  channel *channel = p->channel;
  host *from = p == &channel->to_b ? channel->a : channel->b,
       *to = p == &channel->to_b ? channel->b : channel->a;
  /* what a cut holds up is lost when its sender resets the channel */
  if (kind == P_RESET && sim_is_cut(channel->sim, from, to))
    pipe_clear(p);
  packet *k = g_new0(packet, 1);
  k->kind = kind;
  k->exchange = x_ref(exchange);
  k->fields = fields;
  k->status = status;
  k->flag = flag;
  if (text)
    k->text = g_string_new_len(text, n);
  k->at = time_add(channel->sim->now, sim_trip(channel->sim));
  if (k->at.us <= p->last.us)
    k->at.us = p->last.us + 1;
  p->last = k->at;
  list_append(&p->packets, &k->link);
  pipe_arm(p, k->at);
}

/* one side is done with a channel */
static void leave_a(channel *channel) {
  if (!channel->open_a)
    return;
  channel->open_a = false;
  list_remove(&channel->idle);
  channel_unref(channel);
}

static void leave_b(channel *channel) {
  if (!channel->open_b)
    return;
  channel->open_b = false;
  if (channel->listener && alive_at(channel->b, channel->life_b))
    channel->listener->connections--;
  channel_unref(channel);
}

static void call_breaks(exchange *exchange) {
  if (!exchange || exchange->over)
    return;
  exchange->over = true;
  if (!exchange->call)
    return;
  exchange->call->broken = true;
  exchange->call->last_byte_at = exchange->channel->sim->now;
  condition_broadcast(&exchange->call->progressed);
}

static void fill_head(http_headers *h, const fields *fields) {
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
static void to_a(channel *channel, packet *p) {
  exchange *exchange = p->exchange;
  http_call *call = exchange ? exchange->call : NULL;
  sim *sim = channel->sim;
  switch (p->kind) {
  case P_HEAD:
    if (!call || exchange->over)
      break;
    if (!belongs_to_call(call, p->fields)) {
      call->skipped_responses++;
      exchange->skip = true;
      break;
    }
    call->status = p->status;
    call->closes_connection = p->flag;
    call->last_byte_at = sim->now;
    g_string_append_len(call->response_fields, p->fields->str, p->fields->len);
    fill_head(&call->known_response_fields, p->fields);
    condition_broadcast(&call->progressed);
    break;
  case P_DATA:
    if (!call || exchange->over || exchange->skip)
      break;
    call->last_byte_at = sim->now;
    g_string_append_len(call->response_body, p->text->str, p->text->len);
    condition_broadcast(&call->progressed);
    break;
  case P_END:
    if (!exchange || exchange->over || exchange->skip)
      break;
    if (!p->flag || !call) {
      call_breaks(exchange);
      channel->now = NULL;
      leave_a(channel);
      break;
    }
    exchange->over = true;
    call->ended = true;
    call->last_byte_at = sim->now;
    channel->now = NULL;
    if (call->closes_connection)
      leave_a(channel);
    else if (channel->open_a) {
      channel->served = true;
      channel->idle_at = sim->now;
      list_append(&channel->a->kept, &channel->idle);
    }
    condition_broadcast(&call->progressed);
    break;
  case P_CLOSE:
  case P_RESET:
    call_breaks(channel->now);
    channel->now = NULL;
    leave_a(channel);
    break;
  case P_STRAY:
    call = channel->now ? channel->now->call : NULL;
    /* bytes that nobody waits for end the channel */
    if (!call || call->status || !p->status) {
      call_breaks(channel->now);
      channel->now = NULL;
      leave_a(channel);
      if (channel->open_b)
        pipe_send(&channel->to_b, P_RESET, NULL, NULL, 0, NULL, 0, false);
      break;
    }
    if (!belongs_to_call(call, p->fields)) {
      call->skipped_responses++;
      break;
    }
    call->status = p->status;
    call->last_byte_at = sim->now;
    g_string_append_len(call->response_fields, p->fields->str, p->fields->len);
    fill_head(&call->known_response_fields, p->fields);
    g_string_append_len(call->response_body, p->text->str, p->text->len);
    call->ended = call->closes_connection = channel->now->over = true;
    channel->now = NULL;
    leave_a(channel);
    if (channel->open_b)
      pipe_send(&channel->to_b, P_CLOSE, NULL, NULL, 0, NULL, 0, false);
    condition_broadcast(&call->progressed);
    break;
  default:
    break;
  }
}

static void answered(exchange *exchange) {
  if (!exchange->counted)
    return;
  exchange->counted = false;
  if (exchange->channel->listener && alive_at(exchange->channel->b, exchange->channel->life_b))
    exchange->channel->listener->pending_exchanges--;
}

static void serve_task(void *p) {
  exchange *exchange = p;
  channel *channel = exchange->channel;
  http_request *request = exchange->request;
  host *host = channel->b;
  if (request->listener)
    request->listener->serve(request->listener->serve_context, request);
  else
    host->world.serve(host->world.serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  answered(exchange);
  /* a request that ended without an answer, as in a process that stops, is still noted here */
  if (channel->serving == exchange)
    channel->serving = NULL;
  exchange->request = NULL;
  request->impl = NULL;
  http_request_free(request);
  x_unref(exchange);
}

/* the other side ends a channel that was idle for too long */
static void idle_out(void *p) {
  channel *channel = p;
  sim *sim = channel->sim;
  channel->watched = false;
  if (channel->open_b && alive_at(channel->b, channel->life_b) && channel->listener &&
      channel->listener->idle_timeout_ms && !channel->serving) {
    time_us at = time_add(channel->idle_b, time_from_ms(channel->listener->idle_timeout_ms));
    if (sim->now.us < at.us) {
      channel->watched = true;
      sim_at(sim, at, idle_out, channel);
      return;
    }
    pipe_send(&channel->to_a, P_CLOSE, NULL, NULL, 0, NULL, 0, false);
    leave_b(channel);
  }
  channel_unref(channel);
}

static void refuse(exchange *exchange, int status) {
  channel *channel = exchange->channel;
  fields *fields = g_string_new("Connection: close\r\n");
  exchange->end_sent = true;
  pipe_send(&channel->to_a, P_HEAD, exchange, NULL, 0, fields, status, true);
  pipe_send(&channel->to_a, P_END, exchange, NULL, 0, NULL, 0, true);
  leave_b(channel);
}

/* the side of the listener */
static void to_b(channel *channel, packet *p) {
  exchange *exchange = p->exchange;
  if (p->kind == P_CLOSE || p->kind == P_RESET) {
    leave_b(channel);
    if (channel->serving && channel->serving->request) {
      http_request *request = channel->serving->request;
      request->client_gone = true;
      answered(channel->serving);
      condition_broadcast(&request->drained);
      if (request->client_gone_condition)
        condition_broadcast(request->client_gone_condition);
    }
    return;
  }
  if (p->kind != P_REQUEST || !channel->open_b)
    return;
  http_listener *listener = channel->listener;
  if (listener && listener->header_max_bytes && exchange->fleet->len > listener->header_max_bytes) {
    refuse(exchange, 431);
    return;
  }
  if (listener && listener->body_max_bytes && exchange->body->len > listener->body_max_bytes) {
    refuse(exchange, 413);
    return;
  }
  http_request *request = g_new0(http_request, 1);
  request->world = &channel->b->world;
  request->listener = listener;
  char **t = g_strsplit(exchange->target, "?", 2);
  request->method = g_strdup(exchange->verb);
  request->target = g_strdup(exchange->target);
  request->path = g_strdup(t[0] ? t[0] : "");
  request->query = g_strdup(t[0] && t[1] ? t[1] : "");
  g_strfreev(t);
  request->fields = g_string_new_len(exchange->fleet->str, exchange->fleet->len);
  request->host = fields_dup(exchange->fleet, "host");
  if (!request->host)
    request->host = g_strdup("");
  char *colon = strchr(request->host, ':');
  if (colon)
    *colon = 0;
  request->response_fields = g_string_new(NULL);
  request->received_at = channel->sim->now;
  request->connection_request_number = ++channel->requests;
  g_strlcpy(request->client_address, channel->a->addr, sizeof request->client_address);
  fill_head(&request->known_fields, request->fields);
  request->body = g_string_new_len(exchange->body->str, exchange->body->len);
  request->pending_output = g_string_new(NULL);
  condition_init(&request->drained);
  request->impl = x_ref(exchange);
  exchange->request = request;
  channel->serving = exchange;
  if (listener) {
    listener->requests_received++;
    listener->pending_exchanges++;
    exchange->counted = true;
  }
  task_start(&channel->b->world.tasks, "serve", serve_task, exchange);
}

static void pipe_run(void *v) {
  pipe *p = v;
  channel *channel = p->channel;
  sim *sim = channel->sim;
  bool down = p == &channel->to_b;
  host *from = down ? channel->a : channel->b, *to = down ? channel->b : channel->a;
  uint64_t life = down ? channel->life_b : channel->life_a;
  p->armed = false;
  while (!list_is_empty(&p->packets)) {
    packet *k = list_item(p->packets.next, packet, link);
    if (k->at.us > sim->now.us) {
      pipe_arm(p, k->at);
      break;
    }
    if (sim_is_cut(sim, from, to)) {
      pipe_arm(p, time_add(sim->now, time_from_ms(20)));
      break;
    }
    if (alive_at(to, life) && to->frozen) {
      pipe_arm(p, time_add(sim->now, time_from_ms(5)));
      break;
    }
    list_remove(&k->link);
    if (alive_at(to, life)) {
      if (down)
        to_b(channel, k);
      else if (channel->open_a || k->kind == P_RESET || k->kind == P_CLOSE)
        to_a(channel, k);
    } else if (k->kind != P_RESET && !(to->dark && !to->alive)) {
      /* a later life, or a machine without the process, knows nothing of this channel */
      if (down)
        pipe_send(&channel->to_a, P_RESET, NULL, NULL, 0, NULL, 0, false);
      else if (channel->open_b)
        pipe_send(&channel->to_b, P_RESET, NULL, NULL, 0, NULL, 0, false);
    }
    packet_free(k);
  }
  channel_unref(channel);
}

void kept_push(http_request *request) {
  exchange *exchange = request->impl;
  if (!exchange)
    return;
  channel *channel = exchange->channel;
  if (channel->b->world.tasks.stopped || request->client_gone || exchange->end_sent ||
      !channel->open_b)
    return;
  if (request->response_ended && !request->ended_cleanly && channel->listener)
    channel->listener->requests_aborted++;
  if (!request->response_started) {
    if (!request->response_ended)
      return;
    exchange->end_sent = true;
    answered(exchange);
    channel->serving = NULL;
    pipe_send(&channel->to_a, P_RESET, exchange, NULL, 0, NULL, 0, false);
    leave_b(channel);
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
    pipe_send(&channel->to_a, P_HEAD, exchange, NULL, 0, fields, request->status,
              request->close_connection);
  }
  if (request->pending_output->len && !(channel->a->slow && !request->response_ended)) {
    pipe_send(&channel->to_a, P_DATA, exchange, request->pending_output->str,
              request->pending_output->len, NULL, 0, false);
    g_string_truncate(request->pending_output, 0);
    condition_broadcast(&request->drained);
  }
  if (!request->response_ended)
    return;
  exchange->end_sent = true;
  answered(exchange);
  channel->serving = NULL;
  pipe_send(&channel->to_a, P_END, exchange, NULL, 0, NULL, 0, request->ended_cleanly);
  if (request->close_connection || !request->ended_cleanly) {
    leave_b(channel);
    return;
  }
  /* the process may have begun to leave after the head was sent */
  if (channel->listener && channel->listener->draining) {
    pipe_send(&channel->to_a, P_CLOSE, NULL, NULL, 0, NULL, 0, false);
    leave_b(channel);
    return;
  }
  channel->idle_b = channel->sim->now;
  if (!channel->listener || !channel->listener->idle_timeout_ms || channel->watched)
    return;
  channel->watched = true;
  channel->refs++;
  sim_at(channel->sim,
         time_add(channel->sim->now, time_from_ms(channel->listener->idle_timeout_ms)), idle_out,
         channel);
}

void sim_stray(http_request *request, int status, const fields *fields, string_view body) {
  exchange *exchange = request->impl;
  if (!exchange || !exchange->channel->open_b || request->client_gone)
    return;
  pipe_send(&exchange->channel->to_a, P_STRAY, NULL, body.data ? body.data : "", body.length,
            g_string_new(fields ? fields->str : ""), status, false);
}

/* listeners */
static place *place_of(sim *sim, const char *addr) {
  list_for_each (p, &sim->listeners, place, link)
    if (!strcmp(p->addr, addr))
      return p;
  return NULL;
}

bool kept_listener(sim *sim, const char *addr) {
  return place_of(sim, addr) != NULL;
}

int kept_listener_open(world *world, http_listener *listener, error *err) {
  host *h = (host *)world;
  char addr[64];
  snprintf(addr, sizeof addr, "%s:%d", listener->ip, listener->port);
  place *p = place_of(h->sim, addr);
  if (p && p->open)
    return error_set(err, E_LISTEN, "%s is taken", addr);
  if (!p) {
    p = g_new0(place, 1);
    g_strlcpy(p->addr, addr, sizeof p->addr);
    list_append(&h->sim->listeners, &p->link);
  }
  p->host = h;
  p->life = h->life;
  p->listener = listener;
  p->open = true;
  listener->world = world;
  listener->impl = p;
  return OK;
}

void kept_listener_shut(world *world, http_listener *listener) {
  (void)world;
  place *p = listener->impl;
  if (p && p->listener == listener) {
    p->open = false;
    p->listener = NULL;
  }
}

void kept_listener_end(world *world, http_listener *listener) {
  host *h = (host *)world;
  list_for_each (c, &h->sim->channels, channel, link)
    if (c->listener == listener && c->open_b && !c->serving && alive_at(c->b, c->life_b)) {
      pipe_send(&c->to_a, P_CLOSE, NULL, NULL, 0, NULL, 0, false);
      leave_b(c);
    }
}

/* the calling side */
static host *machine_at(sim *sim, const char *addr) {
  place *p = place_of(sim, addr);
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
  channel->now = exchange;
  pipe_send(&channel->to_b, P_REQUEST, exchange, NULL, 0, NULL, 0, false);
}

static void never_up(exchange *exchange) {
  call_breaks(exchange);
  leave_a(exchange->channel);
}

static void connected(void *p) {
  exchange *exchange = p;
  channel *channel = exchange->channel;
  sim *sim = channel->sim;
  if (!exchange->call || !alive_at(channel->a, channel->life_a)) {
    leave_a(channel);
    x_unref(exchange);
    return;
  }
  channel->b = machine_at(sim, channel->addr);
  bool silent = !channel->b || sim_is_cut(sim, channel->a, channel->b) ||
                sim_is_cut(sim, channel->b, channel->a) || (!channel->b->alive && channel->b->dark);
  if (silent || channel->a->frozen) {
    sim_at(sim, time_add(sim->now, time_from_ms(silent ? 1000 : 5)), connected, exchange);
    return;
  }
  place *at = place_of(sim, channel->addr);
  bool door_open = at && at->open && at->host == channel->b && at->life == channel->b->life;
  bool own = !at && !strcmp(channel->b->addr, channel->addr) && channel->b->world.serve;
  if (time_reached(sim->now, exchange->call->send_deadline) || !channel->b->alive ||
      (!door_open && !own)) {
    never_up(exchange);
    x_unref(exchange);
    return;
  }
  channel->life_b = channel->b->life;
  channel->listener = door_open ? at->listener : NULL;
  channel->open_b = channel->up = true;
  channel->refs++;
  if (channel->listener)
    channel->listener->connections++;
  send_request(exchange);
  if (channel->listener && channel->listener->connections_max &&
      channel->listener->connections > channel->listener->connections_max) {
    pipe_send(&channel->to_a, P_RESET, NULL, NULL, 0, NULL, 0, false);
    leave_b(channel);
  }
  x_unref(exchange);
}

void kept_call(http_call *call) {
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
  list_for_each (i, &a->kept, channel, idle) {
    if (call->world->pool_idle_timeout_ms &&
        time_reached(sim->now,
                     time_add(i->idle_at, time_from_ms(call->world->pool_idle_timeout_ms)))) {
      if (i->open_b)
        pipe_send(&i->to_b, P_CLOSE, NULL, NULL, 0, NULL, 0, false);
      leave_a(i);
    } else if (!call->needs_new_connection && !strcmp(i->addr, call->address))
      c = i; /* the one that was used last */
  }
  bool old = c != NULL;
  if (old)
    list_remove(&c->idle);
  else {
    c = g_new0(channel, 1);
    c->sim = sim;
    c->a = a;
    c->life_a = a->life;
    g_strlcpy(c->addr, call->address, sizeof c->addr);
    c->to_a.channel = c->to_b.channel = c;
    list_init(&c->to_a.packets);
    list_init(&c->to_b.packets);
    list_init(&c->idle);
    list_append(&sim->channels, &c->link);
    c->open_a = true;
    c->refs = 1;
  }
  exchange *x = g_new0(exchange, 1);
  list_append(&sim->exchanges, &x->link);
  x->channel = c;
  c->refs++;
  x->call = call;
  x->refs = 1;
  call->impl = x;
  x->verb = g_strdup(call->method);
  x->target = g_strdup(call->path);
  x->fleet = g_string_new_len(call->request_fields->str, call->request_fields->len);
  x->body = g_string_new_len(call->body->str, call->body->len);
  if (old) {
    call->reused_connection = true;
    send_request(x);
  } else
    sim_at(sim, time_add(sim->now, time_add(sim_trip(sim), sim_trip(sim))), connected, x_ref(x));
}

void kept_drop(http_call *call) {
  exchange *exchange = call->impl;
  if (!exchange)
    return;
  call->impl = NULL;
  exchange->call = NULL;
  channel *channel = exchange->channel;
  if (!exchange->over) {
    /* a channel with an open answer can't be used again */
    exchange->over = true;
    if (channel->now == exchange)
      channel->now = NULL;
    if (channel->up && channel->open_a && !channel->a->dark)
      pipe_send(&channel->to_b, P_RESET, NULL, NULL, 0, NULL, 0, false);
    leave_a(channel);
  }
  x_unref(exchange);
}

static void close_a(channel *channel) {
  if (channel->up && channel->open_b && !channel->a->dark)
    pipe_send(&channel->to_b, P_CLOSE, NULL, NULL, 0, NULL, 0, false);
  leave_a(channel);
}

void kept_forget(world *world, const char *addr) {
  host *h = (host *)world;
  list_for_each (c, &h->kept, channel, idle)
    if (!addr || !strcmp(c->addr, addr))
      close_a(c);
}

bool kept_idle(world *world, const char *addr) {
  host *h = (host *)world;
  list_for_each (c, &h->kept, channel, idle)
    if (!strcmp(c->addr, addr))
      return true;
  return false;
}

void kept_end(host *host) {
  list_for_each (p, &host->sim->listeners, place, link)
    if (p->host == host) {
      p->open = false;
      p->listener = NULL;
    }
  list_for_each (c, &host->sim->channels, channel, link) {
    if (c->b != host || !c->open_b || c->life_b != host->life)
      continue;
    if (!host->dark)
      pipe_send(&c->to_a, P_RESET, NULL, NULL, 0, NULL, 0, false);
    c->listener = NULL;
    leave_b(c);
  }
}

void kept_ended(host *host) {
  list_for_each (c, &host->kept, channel, idle)
    close_a(c);
  list_init(&host->kept);
}

void kept_free(sim *sim) {
  list_for_each (c, &sim->channels, channel, link) {
    pipe_clear(&c->to_a);
    pipe_clear(&c->to_b);
  }
  list_for_each (x, &sim->exchanges, exchange, link) {
    list_remove(&x->link);
    g_free(x->verb);
    g_free(x->target);
    g_string_free(x->fleet, TRUE);
    g_string_free(x->body, TRUE);
    g_free(x);
  }
  list_for_each (c, &sim->channels, channel, link)
    channel_free(c);
  list_for_each (p, &sim->listeners, place, link) {
    list_remove(&p->link);
    g_free(p);
  }
}
