/** Listeners, and callers' connections: requests are read whole, served by a task, and answered in
 * the order in which they came. */
#define _GNU_SOURCE
#include "http_internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
  AHEAD_MOST = 16 * 1024,
  PIECE = 64 * 1024,
  LINGER_MS = 1000,
  DISK_STALL_MS = 30000,
  RETRY_MS = 50,
  BACKLOG = 4096,
  BODY_SPANS = 10
};

static http_exchange *visit_new(server_connection *server) {
  http_engine *http = server->conn.http;
  http_exchange *v = g_new0(http_exchange, 1);
  http_request *request = &v->request;
  v->node = server;
  server->visit = v;
  v->first_byte_at = world_now(http->world);
  v->url = g_string_sized_new(64);
  request->world = http->world;
  request->listener = server->listener;
  request->connection_request_number = ++server->request_count;
  request->body = g_string_new(NULL);
  request->pending_output = g_string_new(NULL);
  request->fields = g_string_sized_new(256);
  request->response_fields = g_string_new(NULL);
  request->impl = v;
  condition_init(&request->drained);
  uint32_t ip = ntohl(server->client_sockaddr.sin_addr.s_addr);
  snprintf(request->client_address, sizeof request->client_address, "%u.%u.%u.%u:%u", ip >> 24,
           ip >> 16 & 255, ip >> 8 & 255, ip & 255, ntohs(server->client_sockaddr.sin_port));
  http_parser_init(&server->parser, HTTP_REQUEST);
  server->parser.data = server;
  return v;
}

static void visit_free(http_exchange *visit) {
  if (visit->url)
    g_string_free(visit->url, TRUE);
  http_request_free(&visit->request);
}

static size_t body_most(const server_connection *server) {
  return server->listener->body_max_bytes ? server->listener->body_max_bytes
                                          : server->conn.http->world->body_max_bytes;
}

static int on_url(http_parser *p, const char *at, size_t n) {
  g_string_append_len(((server_connection *)p->data)->visit->url, at, (gssize)n);
  return 0;
}

static int on_name(http_parser *p, const char *at, size_t n) {
  http_exchange *visit = ((server_connection *)p->data)->visit;
  if (!visit->head_read)
    field_append(visit->request.fields, &visit->last_field_kind, 'n', at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  http_exchange *visit = ((server_connection *)p->data)->visit;
  if (!visit->head_read)
    field_append(visit->request.fields, &visit->last_field_kind, 'v', at, n);
  return 0;
}

/* the name without its port, in lower case */
static char *host_of(string_view s) {
  size_t n = s.length;
  if (n && *s.data == '[') {
    const char *e = memchr(s.data, ']', n);
    if (e)
      n = (size_t)(e - s.data) + 1;
  } else {
    const char *e = memchr(s.data, ':', n);
    if (e)
      n = (size_t)(e - s.data);
  }
  return g_ascii_strdown(s.data, (gssize)n);
}

static bool read_fields(http_exchange *visit, const http_parser *p) {
  http_request *request = &visit->request;
  size_t at = 0;
  string_view k, x;
  int hosts = 0;
  while (fields_next(request->fields, &at, &k, &x)) {
    if (k.length == 4 && !g_ascii_strncasecmp(k.data, "host", 4)) {
      if (!hosts++)
        request->host = host_of(x);
    } else if (k.length == 6 && !g_ascii_strncasecmp(k.data, "expect", 6))
      visit->expects_continue = x.length == 12 && !g_ascii_strncasecmp(x.data, "100-continue", 12);
    else
      for (int i = 0; i < HEADER_COUNT; i++)
        if (!request->known_fields.values[i] &&
            !g_ascii_strncasecmp(k.data, http_header_names[i], k.length) &&
            !http_header_names[i][k.length]) {
          request->known_fields.values[i] = g_strndup(x.data, x.length);
          break;
        }
  }
  bool eleven = p->http_major == 1 && p->http_minor >= 1;
  return hosts == 1 || (!hosts && !eleven);
}

/* the library lets tabs and form feeds pass, at which others may part a line */
static bool target_is_valid(const char *target) {
  for (const unsigned char *c = (const unsigned char *)target; *c; c++)
    if (*c <= ' ' || *c == 127 || *c == '#')
      return false;
  return true;
}

/* a target with a scheme brings the host that counts */
static bool read_target(http_exchange *visit) {
  http_request *request = &visit->request;
  char *all = g_string_free(visit->url, FALSE), *path = all;
  visit->url = NULL;
  if (!target_is_valid(all)) {
    g_free(all);
    return false;
  }
  if (*all != '/' && strcmp(all, "*")) {
    char *host = strstr(all, "://");
    if (!host) {
      g_free(all);
      return false;
    }
    host += 3;
    path = host + strcspn(host, "/?");
    g_free(request->host);
    request->host = host_of((string_view){ host, (size_t)(path - host) });
  }
  request->target = *path == '/' || *path == '*' ? g_strdup(path) : g_strconcat("/", path, NULL);
  g_free(all);
  size_t n = strcspn(request->target, "?");
  request->path = g_strndup(request->target, n);
  request->query = g_strdup(request->target[n] ? request->target + n + 1 : "");
  return true;
}

static int on_head(http_parser *p) {
  server_connection *server = p->data;
  http_exchange *visit = server->visit;
  http_request *request = &visit->request;
  field_end(request->fields, &visit->last_field_kind);
  visit->head_read = true;
  p->upgrade = 0;
  request->method = g_strdup(http_method_str(p->method));
  if (p->http_major != 1 || p->method == HTTP_CONNECT || !field_names_are_valid(request->fields) ||
      !read_fields(visit, p) || !read_target(visit)) {
    visit->fault = 400;
    return -1;
  }
  if (!request->host)
    request->host = g_strdup("");
  request->close_connection = !http_should_keep_alive(p);
  if (p->content_length != UINT64_MAX && p->content_length > body_most(server)) {
    visit->fault = 413;
    return -1;
  }
  if (p->http_minor == 0)
    visit->expects_continue = false;
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  server_connection *server = p->data;
  http_exchange *visit = server->visit;
  if (!chunk_check_data(&visit->chunk, p, at, n)) {
    visit->fault = 400;
    return -1;
  }
  if (visit->request.body->len + n > body_most(server)) {
    visit->fault = 413;
    return -1;
  }
  g_string_append_len(visit->request.body, at, (gssize)n);
  return 0;
}

static const http_parser_settings server_settings = { .on_url = on_url,
                                                      .on_header_field = on_name,
                                                      .on_header_value = on_value,
                                                      .on_headers_complete = on_head,
                                                      .on_body = on_body,
                                                      .on_message_complete = on_message_end };

static int server_parse(server_connection *server, const char *p, size_t n);

/* the other side must have read all before the socket is closed, or a reset may destroy it */
static void server_finish(server_connection *server) {
  server->conn.closing = true;
  if (server->conn.pending_output) {
    connection_set_idle_timeout(&server->conn, DISK_STALL_MS);
    return;
  }
  shutdown(server->conn.sim.fd, SHUT_WR);
  server->lingering = true;
  if (server->reading_paused) {
    server->reading_paused = false;
    sock_set_reading(&server->conn.sim, true);
  }
  connection_set_idle_timeout(&server->conn, LINGER_MS);
}

static int reject_request(server_connection *server, int status) {
  static const struct {
    int status, code;
    const char *why;
  } whys[] = { { 400, E_FIELD, "not a proper request" },
               { 408, E_NO_RESPONSE, "the request did not come whole in time" },
               { 413, E_TOO_LARGE, "body too large" },
               { 431, E_TOO_LARGE, "header fields too large" } };
  size_t i = 0;
  while (i < G_N_ELEMENTS(whys) - 1 && whys[i].status != status)
    i++;
  if (server->visit) {
    visit_free(server->visit);
    server->visit = NULL;
  }
  if (server->conn.pending_output)
    return -1;
  char body[128], head[256];
  int n = snprintf(body, sizeof body, "{\"code\":%d,\"error\":\"%s\"}", whys[i].code, whys[i].why);
  int m = snprintf(
      head, sizeof head,
      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
      status, http_status_str((enum http_status)status), n);
  struct iovec v[2] = { { head, (size_t)m }, { body, (size_t)n } };
  if (connection_send(&server->conn, v, 2, true) < 0)
    return -1;
  server_finish(server);
  return 0;
}

static void serve_task(void *p) {
  http_exchange *visit = p;
  http_request *request = &visit->request;
  if (!request->world->tasks.stopped)
    request->listener->serve(request->listener->serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  visit->served = true;
  if (!visit->node)
    visit_free(visit);
}

static void server_keep(server_connection *server, const char *p, size_t n) {
  if (!n)
    return;
  if (!server->read_ahead)
    server->read_ahead = g_string_sized_new(n + 1);
  g_string_append_len(server->read_ahead, p, (gssize)n);
  if (server->read_ahead->len > AHEAD_MOST && !server->reading_paused) {
    server->reading_paused = true;
    sock_set_reading(&server->conn.sim, false);
  }
}

static int serve(server_connection *server) {
  http_exchange *visit = server->visit;
  world *world = server->conn.http->world;
  if (world->tasks.stopped)
    return -1;
  visit->in_hand = true;
  visit->request.received_at = world_now(world);
  server->listener->pending_exchanges++;
  server->listener->requests_received++;
  connection_set_deadline(&server->conn, time_never());
  task_start(&world->tasks, "serve", serve_task, visit);
  return 0;
}

static int server_parse(server_connection *server, const char *p, size_t n) {
  size_t most =
      server->listener->header_max_bytes ? server->listener->header_max_bytes : HEAD_BYTES_MAX;
  bool body = false;
  while (n) {
    if (!server->visit) {
      while (n && (*p == '\r' || *p == '\n')) {
        p++;
        n--;
      }
      if (!n)
        break;
      visit_new(server);
    }
    http_exchange *v = server->visit;
    size_t take = n;
    if (!v->head_read && v->head_length + take > most)
      take = most > v->head_length ? most - v->head_length : 0;
    if (!take)
      return reject_request(server, 431);
    body = v->head_read;
    v->chunk.position = p;
    size_t used = http_parser_execute(&server->parser, &server_settings, p, take);
    if (!body)
      v->head_length += used;
    enum http_errno bad = HTTP_PARSER_ERRNO(&server->parser);
    if (!v->fault &&
        (head_is_folded(&v->scan, p, used) || !chunk_end_is_valid(&v->chunk, p + used)))
      v->fault = 400;
    p += used;
    n -= used;
    if (v->fault)
      return reject_request(server, v->fault);
    if (bad == HPE_PAUSED) {
      server_keep(server, p, n);
      return serve(server);
    }
    if (bad != HPE_OK || used != take)
      return reject_request(server, 400);
  }
  http_exchange *v = server->visit;
  if (!v)
    return 0;
  if (v->head_read && v->expects_continue) {
    static const char go[] = "HTTP/1.1 100 Continue\r\n\r\n";
    v->expects_continue = false;
    struct iovec i = { (char *)go, sizeof go - 1 };
    if (!server->conn.pending_output && connection_send(&server->conn, &i, 1, true) < 0)
      return -1;
  }
  /* a body that goes on coming may take longer than the head, up to a bound */
  if (server->listener->header_timeout_ms > 0) {
    time_us due = time_add(v->first_byte_at, time_from_ms(server->listener->header_timeout_ms)),
            most_due = time_add(v->first_byte_at,
                                time_from_ms(server->listener->header_timeout_ms * BODY_SPANS));
    if (v->head_read) {
      due = time_add(world_now(server->conn.http->world),
                     time_from_ms(server->listener->header_timeout_ms));
      if (due.us > most_due.us)
        due = most_due;
    }
    connection_set_deadline(&server->conn, due);
  } else
    connection_set_deadline(&server->conn, time_never());
  return 0;
}

int server_receive(server_connection *server, const char *p, size_t n) {
  if (server->lingering || server->conn.closing)
    return 0;
  if (server->visit && server->visit->in_hand) {
    server_keep(server, p, n);
    return 0;
  }
  return server_parse(server, p, n);
}

static void visit_leave(http_exchange *visit, bool gone) {
  visit->node->listener->pending_exchanges--;
  visit->node->visit = NULL;
  visit->node = NULL;
  if (gone) {
    visit->request.client_gone = true;
    condition_broadcast(&visit->request.drained);
    if (visit->request.client_gone_condition)
      condition_broadcast(visit->request.client_gone_condition);
  }
  if (visit->served)
    visit_free(visit);
}

/* The answer is over: the next request, which may have come, is read. Whether this process leaves
 * is asked now, since it may have begun to leave after the answer's head was written. A request
 * that was read behind the answer gets an answer of its own. */
static int server_next(server_connection *server) {
  bool close = server->visit->close_after || (server->listener->draining && !server->read_ahead);
  visit_leave(server->visit, false);
  if (close) {
    server_finish(server);
    return 0;
  }
  connection_set_idle_timeout(&server->conn, server->listener->idle_timeout_ms);
  if (server->reading_paused) {
    server->reading_paused = false;
    sock_set_reading(&server->conn.sim, true);
  }
  if (!server->read_ahead)
    return 0;
  GString *g = server->read_ahead;
  server->read_ahead = NULL;
  int r = server_parse(server, g->str, g->len);
  g_string_free(g, TRUE);
  return r;
}

static void put_head(http_exchange *visit, GString *g) {
  http_request *request = &visit->request;
  server_connection *server = visit->node;
  bool ten = server->parser.http_minor == 0,
       plain = request->response_ended && request->ended_cleanly;
  visit->has_no_body =
      request->status == 204 || request->status == 304 || server->parser.method == HTTP_HEAD;
  visit->chunked = !plain && !ten && !visit->has_no_body;
  visit->close_after = request->close_connection || server->listener->draining ||
                       (!plain && ten && !visit->has_no_body);
  g_string_append_printf(g, "HTTP/1.1 %d %s\r\n", request->status,
                         http_status_str((enum http_status)request->status));
  for (int k = 0; k < HEADER_COUNT; k++)
    if (request->known_response_fields.values[k]) {
      g_string_append(g, http_header_names[k]);
      g_string_append_len(g, ": ", 2);
      g_string_append(g, request->known_response_fields.values[k]);
      g_string_append_len(g, "\r\n", 2);
    }
  if (request->response_fields)
    g_string_append_len(g, request->response_fields->str, (gssize)request->response_fields->len);
  if (request->status != 204 && request->status != 304) {
    if (plain && !(visit->has_no_body && !request->pending_output->len))
      g_string_append_printf(g, "Content-Length: %zu\r\n", request->pending_output->len);
    else if (visit->chunked)
      g_string_append(g, "Transfer-Encoding: chunked\r\n");
  }
  if (visit->close_after)
    g_string_append(g, "Connection: close\r\n");
  else if (ten)
    g_string_append(g, "Connection: keep-alive\r\n");
  g_string_append_len(g, "\r\n", 2);
}

/* the answer in hand will never be whole; -1, to close */
static int server_break_off(server_connection *server) {
  server->listener->requests_aborted++;
  return -1;
}

int server_write(server_connection *server) {
  for (;;) {
    if (connection_flush(&server->conn))
      return -1;
    if (server->conn.pending_output)
      return 0;
    if (server->conn.closing && !server->lingering) {
      server_finish(server);
      return 0;
    }
    http_exchange *visit = server->visit;
    if (!visit || !visit->in_hand)
      return 0;
    http_request *request = &visit->request;
    if (visit->output_complete) {
      if (server_next(server))
        return -1;
      continue;
    }
    bool broke = request->response_ended && !request->ended_cleanly;
    if (broke && !visit->head_sent)
      return server_break_off(server);
    if (!request->response_started)
      return 0;
    if (visit->head_sent && !request->pending_output->len) {
      if (broke) {
        struct linger l = { 1, 0 };
        if (!visit->chunked)
          setsockopt(server->conn.sim.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
        return server_break_off(server);
      }
      if (!request->response_ended)
        return 0;
    }
    GString *g = server->conn.http->scratch;
    g_string_truncate(g, 0);
    if (!visit->head_sent)
      put_head(visit, g);
    visit->head_sent = true;
    if (visit->has_no_body)
      g_string_truncate(request->pending_output, 0);
    size_t n = MIN(request->pending_output->len, PIECE);
    visit->output_complete =
        request->response_ended && request->ended_cleanly && n == request->pending_output->len;
    if (n && visit->chunked)
      g_string_append_printf(g, "%zx\r\n", n);
    const char *tail = !visit->chunked          ? ""
                       : visit->output_complete ? n ? "\r\n0\r\n\r\n" : "0\r\n\r\n"
                       : n                      ? "\r\n"
                                                : "";
    struct iovec i[3] = { { g->str, g->len },
                          { request->pending_output->str, n },
                          { (char *)tail, strlen(tail) } };
    if (connection_send(&server->conn, i, 3, true) < 0)
      return -1;
    g_string_erase(request->pending_output, 0, (gssize)n);
    if (n)
      condition_broadcast(&request->drained);
    /* a caller that reads nothing more of what is left must not hold us for ever */
    if (server->conn.pending_output && visit->output_complete)
      connection_set_idle_timeout(&server->conn, DISK_STALL_MS);
  }
}

void listener_accept(listener_socket *l) {
  http_engine *http = l->conn.http;
  for (;;) {
    struct sockaddr_in from;
    socklen_t n = sizeof from;
    int fd = accept4(l->conn.sim.fd, (struct sockaddr *)&from, &n, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
      continue;
    if (fd < 0) {
      if (errno == EAGAIN)
        return;
      /* no descriptors left: it would be called again at once */
      sock_set_reading(&l->conn.sim, false);
      connection_set_idle_timeout(&l->conn, RETRY_MS);
      return;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    server_connection *s = g_new0(server_connection, 1);
    s->listener = l->listener;
    s->client_sockaddr = from;
    list_init(&s->all);
    if (!connection_adopt(http, &s->conn, fd, CONNECTION_SERVER)) {
      g_free(s);
      continue;
    }
    l->listener->connections++;
    list_append(&http->servers, &s->all);
    connection_set_idle_timeout(&s->conn, l->listener->idle_timeout_ms);
  }
}

int http_engine_listener_open(http_engine *http, http_listener *d, error *err) {
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons((uint16_t)d->port) };
  int one = 1;
  if (inet_pton(AF_INET, d->ip[0] ? d->ip : "0.0.0.0", &to.sin_addr) != 1)
    return error_set(err, E_LISTEN, "%s is not an address", d->ip);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return error_set(err, E_LISTEN, "no socket: %s", strerror(errno));
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&to, sizeof to) || listen(fd, BACKLOG)) {
    error_set(err, E_LISTEN, "can't listen on %s:%d: %s", d->ip, d->port, strerror(errno));
    close(fd);
    return E_LISTEN;
  }
  socklen_t n = sizeof to;
  if (!d->port && !getsockname(fd, (struct sockaddr *)&to, &n))
    d->port = ntohs(to.sin_port);
  listener_socket *l = g_new0(listener_socket, 1);
  l->listener = d;
  d->world = http->world;
  if (!connection_adopt(http, &l->conn, fd, CONNECTION_LISTENER)) {
    g_free(l);
    close(fd);
    return error_set(err, E_LISTEN, "can't watch the listening socket");
  }
  d->impl = l;
  return OK;
}

void http_engine_listener_stop_accepting(http_engine *http, http_listener *d) {
  (void)http;
  listener_socket *l = d->impl;
  if (l)
    sock_close(&l->conn.sim);
}

void http_engine_listener_close_idle(http_engine *http, http_listener *listener) {
  list_for_each (s, &http->servers, server_connection, all)
    if (s->listener == listener && !(s->visit && s->visit->in_hand) && !s->lingering &&
        !s->conn.pending_output)
      sock_close(&s->conn.sim);
}

void http_engine_flush_request(http_engine *http, http_request *request) {
  server_connection *server = ((http_exchange *)request->impl)->node;
  if (server && list_is_empty(&server->conn.dirty))
    list_append(&http->dirty, &server->conn.dirty);
}

void server_closed(server_connection *server) {
  server->listener->connections--;
  list_remove(&server->all);
  if (server->visit && server->visit->in_hand)
    visit_leave(server->visit, true);
  else if (server->visit)
    visit_free(server->visit);
  if (server->read_ahead)
    g_string_free(server->read_ahead, TRUE);
}

int server_timed_out(server_connection *server) {
  bool half_read = server->visit && !server->visit->in_hand;
  return half_read && !server->lingering && !server->conn.closing ? reject_request(server, 408)
                                                                  : -1;
}
