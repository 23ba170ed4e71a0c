#define _GNU_SOURCE
#include "http.h"
#include "sock.h"
#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

enum {
  READS_MOST = 8,
  AHEAD_MOST = 16 * 1024,
  PIECE = 64 * 1024,
  GOT_MOST = 256 * 1024,
  HEAD_MOST = 64 * 1024,
  LINGER_MS = 1000,
  STALL_MS = 30000,
  SLACK_MS = 500,
  KEEP_ALIVE_MOST_S = 86400,
  TIMER_US = 50000,
  RETRY_MS = 50,
  BACKLOG = 4096,
  BODY_SPANS = 10
};

enum kind { LISTENER, SERVER, CLIENT };

/** What is alike in all sockets: bytes that wait to be written, and one timer. */
typedef struct conn {
  sock sim;
  http_engine *http;
  enum kind kind;
  bool closing;
  GString *out;
  size_t out_at;
  GSequenceIter *timer;
  time_us due, armed;
  list_node dirty;
} conn;

/** A caller's connection. */
typedef struct server {
  conn conn;
  http_listener *listener;
  struct visit *visit;
  http_parser parser;
  GString *ahead;
  struct sockaddr_in from;
  unsigned requests;
  bool lingers, reading_paused;
  list_node all;
} server;

/* The library lets some faults of framing pass that others may read in another way: fields that are
 * folded over lines, and chunks whose data does not end with a line end. */

/** Finds folded lines in the head of a message. */
typedef struct head_scan {
  bool at_line_start, over;
} head_scan;

/** The line end that is due after a chunk's data: where it is looked for, and how much is to come.
 */
typedef struct chunk_end {
  const char *at;
  unsigned due;
} chunk_end;

static bool head_is_folded(head_scan *scan, const char *p, size_t n) {
  for (size_t i = 0; i < n && !scan->over; i++) {
    if (p[i] == '\r')
      continue;
    if (p[i] == '\n') {
      scan->over = scan->at_line_start;
      scan->at_line_start = true;
      continue;
    }
    if (scan->at_line_start && (p[i] == ' ' || p[i] == '\t'))
      return true;
    scan->at_line_start = false;
  }
  return false;
}

/* checks as much of the line end as lies before a limit */
static bool chunk_end_fits(chunk_end *due, const char *limit) {
  static const char line_end[] = "\r\n";
  for (; due->due && due->at < limit; due->at++, due->due--)
    if (*due->at != line_end[2 - due->due])
      return false;
  return true;
}

/* to be called with each piece of a body; the library counts content_length down within a chunk */
static bool chunk_piece(chunk_end *due, const http_parser *parser, const char *at, size_t n) {
  if (!(parser->flags & F_CHUNKED))
    return true;
  if (!chunk_end_fits(due, at))
    return false;
  if (!parser->content_length)
    *due = (chunk_end){ at + n, 2 };
  return true;
}

/** An ask and its way over the wire. */
typedef struct visit {
  http_request request;
  server *node;
  GString *url;
  size_t head_len;
  head_scan scan;
  chunk_end chunk;
  time_us first;
  int fault;
  char last;
  bool headed, in_hand, served, head_sent, chunked, bare, close, expects, over;
} visit;

typedef struct listener {
  conn conn;
  http_listener *listener;
} listener;

/** The connections to an address; the idle ones, the latest last. */
typedef struct pool {
  char *addr;
  struct sockaddr_in to;
  list_node idle;
  int conns;
} pool;

/** A connection to another. */
typedef struct client {
  conn conn;
  pool *pool;
  list_node idle, choked;
  http_call *call;
  http_parser parser;
  size_t head_len;
  head_scan scan;
  chunk_end chunk;
  time_us idle_since, idle_till;
  char last;
  bool up, served, headed, passes, interim, keeps, all_sent;
} client;

struct http_engine {
  world *world;
  struct lws_vhost *vhost;
  GHashTable *pools;
  GSequence *timers;
  list_node dirty, choked, servers;
  GString *scratch;
};

/* sockets */
static int armed_cmp(gconstpointer a, gconstpointer b, gpointer ctx) {
  (void)ctx;
  int64_t x = ((const conn *)a)->armed.us, y = ((const conn *)b)->armed.us;
  return x < y ? -1 : x > y;
}

/* a timer that is put off keeps its place and is looked at again when it fires, so that putting off
 * costs nothing */
static void conn_due(conn *conn, time_us due) {
  if (due.us < time_never().us)
    due.us = (due.us / TIMER_US + 1) * TIMER_US;
  conn->due = due;
  if (due.us >= time_never().us || (conn->timer && conn->armed.us <= due.us))
    return;
  if (conn->timer)
    g_sequence_remove(conn->timer);
  conn->armed = due;
  conn->timer = g_sequence_insert_sorted(conn->http->timers, conn, armed_cmp, NULL);
}

static void conn_idle(conn *conn, int64_t ms) {
  conn_due(conn, ms > 0 ? time_add(world_now(conn->http->world), time_from_ms(ms)) : time_never());
}

static int conn_read(sock *k, const char *p, size_t n);
static int conn_room(sock *k);
static void conn_closed(sock *k);

static bool conn_adopt(http_engine *http, conn *conn, int fd, enum kind kind) {
  conn->sim =
      (sock){ .fd = fd, .on_read = conn_read, .on_room = conn_room, .on_closed = conn_closed };
  conn->http = http;
  conn->kind = kind;
  list_init(&conn->dirty);
  conn->due = conn->armed = time_never();
  return sock_watch(&conn->sim, http->vhost, kind == LISTENER);
}

/* the bytes taken, or -1 when the connection is broken; out must be empty and takes the rest when
 * keep is set */
static ssize_t conn_send(conn *conn, struct iovec *v, int n, bool keep) {
  size_t all = 0;
  for (int i = 0; i < n; i++)
    all += v[i].iov_len;
  struct msghdr m = { .msg_iov = v, .msg_iovlen = (size_t)n };
  ssize_t k;
  do
    k = sendmsg(conn->sim.fd, &m, MSG_NOSIGNAL | MSG_DONTWAIT);
  while (k < 0 && errno == EINTR);
  if (k < 0 && errno != EAGAIN)
    return -1;
  size_t took = k < 0 ? 0 : (size_t)k;
  if (took == all)
    return (ssize_t)took;
  sock_want_room(&conn->sim);
  if (!keep)
    return (ssize_t)took;
  conn->out = g_string_sized_new(all - took + 1);
  conn->out_at = 0;
  for (size_t i = 0, skip = took; i < (size_t)n; i++) {
    size_t s = MIN(skip, v[i].iov_len);
    skip -= s;
    g_string_append_len(conn->out, (char *)v[i].iov_base + s, (gssize)(v[i].iov_len - s));
  }
  return (ssize_t)took;
}

/* writes what waits; -1 when the connection is broken */
static int conn_flush(conn *conn) {
  if (!conn->out)
    return 0;
  ssize_t k;
  do
    k = send(conn->sim.fd, conn->out->str + conn->out_at, conn->out->len - conn->out_at,
             MSG_NOSIGNAL | MSG_DONTWAIT);
  while (k < 0 && errno == EINTR);
  if (k < 0 && errno != EAGAIN)
    return -1;
  if (k > 0)
    conn->out_at += (size_t)k;
  if (conn->out_at < conn->out->len) {
    sock_want_room(&conn->sim);
    return 0;
  }
  g_string_free(conn->out, TRUE);
  conn->out = NULL;
  return 0;
}

/* header fields come in pieces; last tells of which kind the latest was */
static void field_piece(GString *to, char *last, char kind, const char *p, size_t n) {
  if (kind == 'n' && *last == 'n') {
    g_string_append_len(to, p, (gssize)n);
    return;
  }
  if (kind == 'n') {
    if (*last == 'v')
      g_string_append_len(to, "\r\n", 2);
  } else if (*last == 'n')
    g_string_append_len(to, ": ", 2);
  g_string_append_len(to, p, (gssize)n);
  *last = kind;
}

static void field_end(GString *to, char *last) {
  if (*last == 'n')
    g_string_append_c(to, ':');
  if (*last)
    g_string_append_len(to, "\r\n", 2);
  *last = 0;
}

/* the library takes names with blanks before the colon, which others may read in another way */
static bool names_proper(const fields *fields) {
  size_t at = 0;
  string_view k, v;
  while (fields_next(fields, &at, &k, &v)) {
    if (!k.length)
      return false;
    for (size_t i = 0; i < k.length; i++)
      if (!g_ascii_isalnum(k.data[i]) && !strchr("!#$%&'*+-.^_`|~", k.data[i]))
        return false;
  }
  return true;
}

/* towards us */
static visit *visit_new(server *server) {
  http_engine *http = server->conn.http;
  visit *v = g_new0(visit, 1);
  http_request *request = &v->request;
  v->node = server;
  server->visit = v;
  v->first = world_now(http->world);
  v->url = g_string_sized_new(64);
  request->world = http->world;
  request->listener = server->listener;
  request->nth = ++server->requests;
  request->body = g_string_new(NULL);
  request->out = g_string_new(NULL);
  request->fields = g_string_sized_new(256);
  request->reply_fields = g_string_new(NULL);
  request->impl = v;
  condition_init(&request->drained);
  uint32_t ip = ntohl(server->from.sin_addr.s_addr);
  snprintf(request->caller_addr, sizeof request->caller_addr, "%u.%u.%u.%u:%u", ip >> 24,
           ip >> 16 & 255, ip >> 8 & 255, ip & 255, ntohs(server->from.sin_port));
  http_parser_init(&server->parser, HTTP_REQUEST);
  server->parser.data = server;
  return v;
}

static void visit_free(visit *visit) {
  if (visit->url)
    g_string_free(visit->url, TRUE);
  http_request_free(&visit->request);
}

static size_t body_most(const server *server) {
  return server->listener->body_most ? server->listener->body_most
                                     : server->conn.http->world->body_most;
}

static int on_url(http_parser *p, const char *at, size_t n) {
  g_string_append_len(((server *)p->data)->visit->url, at, (gssize)n);
  return 0;
}

static int on_name(http_parser *p, const char *at, size_t n) {
  visit *visit = ((server *)p->data)->visit;
  if (!visit->headed)
    field_piece(visit->request.fields, &visit->last, 'n', at, n);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t n) {
  visit *visit = ((server *)p->data)->visit;
  if (!visit->headed)
    field_piece(visit->request.fields, &visit->last, 'v', at, n);
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

static bool read_fields(visit *visit, const http_parser *p) {
  http_request *request = &visit->request;
  size_t at = 0;
  string_view k, x;
  int hosts = 0;
  while (fields_next(request->fields, &at, &k, &x)) {
    if (k.length == 4 && !g_ascii_strncasecmp(k.data, "host", 4)) {
      if (!hosts++)
        request->host = host_of(x);
    } else if (k.length == 6 && !g_ascii_strncasecmp(k.data, "expect", 6))
      visit->expects = x.length == 12 && !g_ascii_strncasecmp(x.data, "100-continue", 12);
    else
      for (int i = 0; i < HEADER_COUNT; i++)
        if (!request->own_fields.values[i] &&
            !g_ascii_strncasecmp(k.data, http_header_name[i], k.length) &&
            !http_header_name[i][k.length]) {
          request->own_fields.values[i] = g_strndup(x.data, x.length);
          break;
        }
  }
  bool eleven = p->http_major == 1 && p->http_minor >= 1;
  return hosts == 1 || (!hosts && !eleven);
}

/* the library lets tabs and form feeds pass, at which others may part a line */
static bool target_proper(const char *target) {
  for (const unsigned char *c = (const unsigned char *)target; *c; c++)
    if (*c <= ' ' || *c == 127 || *c == '#')
      return false;
  return true;
}

/* a target with a scheme brings the host that counts */
static bool read_target(visit *visit) {
  http_request *request = &visit->request;
  char *all = g_string_free(visit->url, FALSE), *path = all;
  visit->url = NULL;
  if (!target_proper(all)) {
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
  server *server = p->data;
  visit *visit = server->visit;
  http_request *request = &visit->request;
  field_end(request->fields, &visit->last);
  visit->headed = true;
  p->upgrade = 0;
  request->method = g_strdup(http_method_str(p->method));
  if (p->http_major != 1 || p->method == HTTP_CONNECT || !names_proper(request->fields) ||
      !read_fields(visit, p) || !read_target(visit)) {
    visit->fault = 400;
    return -1;
  }
  if (!request->host)
    request->host = g_strdup("");
  request->shut = !http_should_keep_alive(p);
  if (p->content_length != UINT64_MAX && p->content_length > body_most(server)) {
    visit->fault = 413;
    return -1;
  }
  if (p->http_minor == 0)
    visit->expects = false;
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t n) {
  server *server = p->data;
  visit *visit = server->visit;
  if (!chunk_piece(&visit->chunk, p, at, n)) {
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

static int on_whole(http_parser *p) {
  http_parser_pause(p, 1);
  return 0;
}

static const http_parser_settings server_settings = { .on_url = on_url,
                                                      .on_header_field = on_name,
                                                      .on_header_value = on_value,
                                                      .on_headers_complete = on_head,
                                                      .on_body = on_body,
                                                      .on_message_complete = on_whole };

static int server_parse(server *server, const char *p, size_t n);

/* the other side must have read all before the socket is closed, or a reset may destroy it */
static void server_finish(server *server) {
  server->conn.closing = true;
  if (server->conn.out) {
    conn_idle(&server->conn, STALL_MS);
    return;
  }
  shutdown(server->conn.sim.fd, SHUT_WR);
  server->lingers = true;
  if (server->reading_paused) {
    server->reading_paused = false;
    sock_hear(&server->conn.sim, true);
  }
  conn_idle(&server->conn, LINGER_MS);
}

static int refuse(server *server, int status) {
  static const struct {
    int status, code;
    const char *why;
  } whys[] = { { 400, E_FIELD, "not a proper request" },
               { 408, E_NO_ANSWER, "the request did not come whole in time" },
               { 413, E_TOO_LARGE, "body too large" },
               { 431, E_TOO_LARGE, "header fields too large" } };
  size_t i = 0;
  while (i < G_N_ELEMENTS(whys) - 1 && whys[i].status != status)
    i++;
  if (server->visit) {
    visit_free(server->visit);
    server->visit = NULL;
  }
  if (server->conn.out)
    return -1;
  char body[128], head[256];
  int n = snprintf(body, sizeof body, "{\"code\":%d,\"error\":\"%s\"}", whys[i].code, whys[i].why);
  int m = snprintf(
      head, sizeof head,
      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
      status, http_status_str((enum http_status)status), n);
  struct iovec v[2] = { { head, (size_t)m }, { body, (size_t)n } };
  if (conn_send(&server->conn, v, 2, true) < 0)
    return -1;
  server_finish(server);
  return 0;
}

static void serve_task(void *p) {
  visit *visit = p;
  http_request *request = &visit->request;
  if (!request->world->tasks.dead)
    request->listener->serve(request->listener->ctx, request);
  if (!request->ended)
    http_request_end(request, false);
  visit->served = true;
  if (!visit->node)
    visit_free(visit);
}

static void server_keep(server *server, const char *p, size_t n) {
  if (!n)
    return;
  if (!server->ahead)
    server->ahead = g_string_sized_new(n + 1);
  g_string_append_len(server->ahead, p, (gssize)n);
  if (server->ahead->len > AHEAD_MOST && !server->reading_paused) {
    server->reading_paused = true;
    sock_hear(&server->conn.sim, false);
  }
}

static int serve(server *server) {
  visit *visit = server->visit;
  world *world = server->conn.http->world;
  if (world->tasks.dead)
    return -1;
  visit->in_hand = true;
  visit->request.came = world_now(world);
  server->listener->exchanges++;
  server->listener->requests++;
  conn_due(&server->conn, time_never());
  task_start(&world->tasks, "serve", serve_task, visit);
  return 0;
}

static int server_parse(server *server, const char *p, size_t n) {
  size_t most = server->listener->header_most ? server->listener->header_most : HEAD_MOST;
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
    visit *v = server->visit;
    size_t take = n;
    if (!v->headed && v->head_len + take > most)
      take = most > v->head_len ? most - v->head_len : 0;
    if (!take)
      return refuse(server, 431);
    body = v->headed;
    v->chunk.at = p;
    size_t used = http_parser_execute(&server->parser, &server_settings, p, take);
    if (!body)
      v->head_len += used;
    enum http_errno bad = HTTP_PARSER_ERRNO(&server->parser);
    if (!v->fault && (head_is_folded(&v->scan, p, used) || !chunk_end_fits(&v->chunk, p + used)))
      v->fault = 400;
    p += used;
    n -= used;
    if (v->fault)
      return refuse(server, v->fault);
    if (bad == HPE_PAUSED) {
      server_keep(server, p, n);
      return serve(server);
    }
    if (bad != HPE_OK || used != take)
      return refuse(server, 400);
  }
  visit *v = server->visit;
  if (!v)
    return 0;
  if (v->headed && v->expects) {
    static const char go[] = "HTTP/1.1 100 Continue\r\n\r\n";
    v->expects = false;
    struct iovec i = { (char *)go, sizeof go - 1 };
    if (!server->conn.out && conn_send(&server->conn, &i, 1, true) < 0)
      return -1;
  }
  /* a body that goes on coming may take longer than the head, up to a bound */
  if (server->listener->header_ms > 0) {
    time_us due = time_add(v->first, time_from_ms(server->listener->header_ms)),
            most_due = time_add(v->first, time_from_ms(server->listener->header_ms * BODY_SPANS));
    if (v->headed) {
      due =
          time_add(world_now(server->conn.http->world), time_from_ms(server->listener->header_ms));
      if (due.us > most_due.us)
        due = most_due;
    }
    conn_due(&server->conn, due);
  } else
    conn_due(&server->conn, time_never());
  return 0;
}

static int server_rx(server *server, const char *p, size_t n) {
  if (server->lingers || server->conn.closing)
    return 0;
  if (server->visit && server->visit->in_hand) {
    server_keep(server, p, n);
    return 0;
  }
  return server_parse(server, p, n);
}

static void visit_leave(visit *visit, bool gone) {
  visit->node->listener->exchanges--;
  visit->node->visit = NULL;
  visit->node = NULL;
  if (gone) {
    visit->request.gone = true;
    condition_broadcast(&visit->request.drained);
    if (visit->request.left)
      condition_broadcast(visit->request.left);
  }
  if (visit->served)
    visit_free(visit);
}

/* The answer is over: the next request, which may have come, is read. Whether this process leaves
 * is asked now, since it may have begun to leave after the answer's head was written. A request
 * that was read behind the answer gets an answer of its own. */
static int server_next(server *server) {
  bool close = server->visit->close || (server->listener->leaving && !server->ahead);
  visit_leave(server->visit, false);
  if (close) {
    server_finish(server);
    return 0;
  }
  conn_idle(&server->conn, server->listener->idle_ms);
  if (server->reading_paused) {
    server->reading_paused = false;
    sock_hear(&server->conn.sim, true);
  }
  if (!server->ahead)
    return 0;
  GString *g = server->ahead;
  server->ahead = NULL;
  int r = server_parse(server, g->str, g->len);
  g_string_free(g, TRUE);
  return r;
}

static void put_head(visit *visit, GString *g) {
  http_request *request = &visit->request;
  server *server = visit->node;
  bool ten = server->parser.http_minor == 0, plain = request->ended && request->clean;
  visit->bare =
      request->status == 204 || request->status == 304 || server->parser.method == HTTP_HEAD;
  visit->chunked = !plain && !ten && !visit->bare;
  visit->close = request->shut || server->listener->leaving || (!plain && ten && !visit->bare);
  g_string_append_printf(g, "HTTP/1.1 %d %s\r\n", request->status,
                         http_status_str((enum http_status)request->status));
  for (int k = 0; k < HEADER_COUNT; k++)
    if (request->own_reply_fields.values[k]) {
      g_string_append(g, http_header_name[k]);
      g_string_append_len(g, ": ", 2);
      g_string_append(g, request->own_reply_fields.values[k]);
      g_string_append_len(g, "\r\n", 2);
    }
  if (request->reply_fields)
    g_string_append_len(g, request->reply_fields->str, (gssize)request->reply_fields->len);
  if (request->status != 204 && request->status != 304) {
    if (plain && !(visit->bare && !request->out->len))
      g_string_append_printf(g, "Content-Length: %zu\r\n", request->out->len);
    else if (visit->chunked)
      g_string_append(g, "Transfer-Encoding: chunked\r\n");
  }
  if (visit->close)
    g_string_append(g, "Connection: close\r\n");
  else if (ten)
    g_string_append(g, "Connection: keep-alive\r\n");
  g_string_append_len(g, "\r\n", 2);
}

/* the answer in hand will never be whole; -1, to close */
static int server_break_off(server *server) {
  server->listener->broken_off++;
  return -1;
}

/* what the task has said and the socket takes; -1 to close */
static int server_write(server *server) {
  for (;;) {
    if (conn_flush(&server->conn))
      return -1;
    if (server->conn.out)
      return 0;
    if (server->conn.closing && !server->lingers) {
      server_finish(server);
      return 0;
    }
    visit *visit = server->visit;
    if (!visit || !visit->in_hand)
      return 0;
    http_request *request = &visit->request;
    if (visit->over) {
      if (server_next(server))
        return -1;
      continue;
    }
    bool broke = request->ended && !request->clean;
    if (broke && !visit->head_sent)
      return server_break_off(server);
    if (!request->began)
      return 0;
    if (visit->head_sent && !request->out->len) {
      if (broke) {
        struct linger l = { 1, 0 };
        if (!visit->chunked)
          setsockopt(server->conn.sim.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
        return server_break_off(server);
      }
      if (!request->ended)
        return 0;
    }
    GString *g = server->conn.http->scratch;
    g_string_truncate(g, 0);
    if (!visit->head_sent)
      put_head(visit, g);
    visit->head_sent = true;
    if (visit->bare)
      g_string_truncate(request->out, 0);
    size_t n = MIN(request->out->len, PIECE);
    visit->over = request->ended && request->clean && n == request->out->len;
    if (n && visit->chunked)
      g_string_append_printf(g, "%zx\r\n", n);
    const char *tail = !visit->chunked ? ""
                       : visit->over   ? n ? "\r\n0\r\n\r\n" : "0\r\n\r\n"
                       : n             ? "\r\n"
                                       : "";
    struct iovec i[3] = { { g->str, g->len },
                          { request->out->str, n },
                          { (char *)tail, strlen(tail) } };
    if (conn_send(&server->conn, i, 3, true) < 0)
      return -1;
    g_string_erase(request->out, 0, (gssize)n);
    if (n)
      condition_broadcast(&request->drained);
    /* a caller that reads nothing more of what is left must not hold us for ever */
    if (server->conn.out && visit->over)
      conn_idle(&server->conn, STALL_MS);
  }
}

static void accept_some(listener *l) {
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
      sock_hear(&l->conn.sim, false);
      conn_idle(&l->conn, RETRY_MS);
      return;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    server *s = g_new0(server, 1);
    s->listener = l->listener;
    s->from = from;
    list_init(&s->all);
    if (!conn_adopt(http, &s->conn, fd, SERVER)) {
      g_free(s);
      continue;
    }
    l->listener->channels++;
    list_append(&http->servers, &s->all);
    conn_idle(&s->conn, l->listener->idle_ms);
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
  listener *l = g_new0(listener, 1);
  l->listener = d;
  d->world = http->world;
  if (!conn_adopt(http, &l->conn, fd, LISTENER)) {
    g_free(l);
    close(fd);
    return error_set(err, E_LISTEN, "can't watch the listening socket");
  }
  d->impl = l;
  return OK;
}

void http_engine_listener_shut(http_engine *http, http_listener *d) {
  (void)http;
  listener *l = d->impl;
  if (l)
    sock_kill(&l->conn.sim);
}

void http_engine_listener_end(http_engine *http, http_listener *listener) {
  list_for_each(s, &http->servers, server,
                all) if (s->listener == listener && !(s->visit && s->visit->in_hand) &&
                         !s->lingers && !s->conn.out) sock_kill(&s->conn.sim);
}

void http_engine_push(http_engine *http, http_request *request) {
  server *server = ((visit *)request->impl)->node;
  if (server && list_is_empty(&server->conn.dirty))
    list_append(&http->dirty, &server->conn.dirty);
}

/* from us */
static pool *pool_of(http_engine *http, const char *addr) {
  pool *p = g_hash_table_lookup(http->pools, addr);
  if (p)
    return p;
  char ip[48];
  const char *colon = strrchr(addr, ':');
  struct sockaddr_in to = { .sin_family = AF_INET };
  if (!colon || (size_t)(colon - addr) >= sizeof ip)
    return NULL;
  memcpy(ip, addr, (size_t)(colon - addr));
  ip[colon - addr] = 0;
  int port = atoi(colon + 1);
  if (port < 1 || port > 65535)
    return NULL;
  to.sin_port = htons((uint16_t)port);
  if (inet_pton(AF_INET, strcmp(ip, "localhost") ? ip : "127.0.0.1", &to.sin_addr) != 1)
    return NULL;
  p = g_new0(pool, 1);
  p->addr = g_strdup(addr);
  p->to = to;
  list_init(&p->idle);
  g_hash_table_insert(http->pools, p->addr, p);
  return p;
}

static void pool_leave(http_engine *http, pool *pool) {
  if (--pool->conns > 0)
    return;
  g_hash_table_remove(http->pools, pool->addr);
  g_free(pool->addr);
  g_free(pool);
}

static int on_answer_begin(http_parser *p) {
  client *client = p->data;
  client->headed = client->passes = client->interim = client->keeps = false;
  client->last = 0;
  g_string_truncate(client->call->in_fields, 0);
  return 0;
}

static int on_answer_name(http_parser *p, const char *at, size_t n) {
  client *client = p->data;
  if (!client->headed)
    field_piece(client->call->in_fields, &client->last, 'n', at, n);
  return 0;
}

static int on_answer_value(http_parser *p, const char *at, size_t n) {
  client *client = p->data;
  if (!client->headed)
    field_piece(client->call->in_fields, &client->last, 'v', at, n);
  return 0;
}

static bool answer_is_named(const http_call *call) {
  string_view name;
  return !call->match_name || fields_get(call->in_fields, call->match_name, &name);
}

/* an answer to another request; one that names no request may be a refusal that came before the
 * name was read */
static bool answers_other(const http_call *call, int status) {
  string_view v;
  if (!call->match_name)
    return false;
  if (!fields_get(call->in_fields, call->match_name, &v))
    return status / 100 == 2;
  return !string_view_equal(v, string_view_of(call->match_value));
}

/* On a connection that had served before, or that brought another's answer, a failure without a
 * name may be left over from an earlier request: it proves nothing, and least of all that this
 * request has not run. */
static bool answer_is_doubtful(const http_call *call, int status) {
  return status / 100 != 2 && (call->reused || call->passed_over) && !answer_is_named(call);
}

static int on_answer_head(http_parser *p) {
  client *client = p->data;
  http_call *call = client->call;
  int status = p->status_code;
  field_end(call->in_fields, &client->last);
  client->headed = true;
  if (p->http_major != 1 || status < 100 || status == 101 || !names_proper(call->in_fields))
    return -1;
  p->upgrade = 0;
  client->interim = status < 200;
  if (client->interim)
    return 0;
  if (answer_is_doubtful(call, status))
    return -1;
  bool head = !strcmp(call->method, "HEAD");
  client->passes = answers_other(call, status);
  /* whether a late second answer to HEAD has a body could not be known */
  client->keeps = p->http_minor >= 1 && http_should_keep_alive(p) && !head;
  if (!client->passes) {
    call->closes = !client->keeps;
    call->status = status;
    condition_broadcast(&call->news);
  }
  return head && !client->passes;
}

static int on_answer_body(http_parser *p, const char *at, size_t n) {
  client *client = p->data;
  http_call *call = client->call;
  if (!chunk_piece(&client->chunk, p, at, n))
    return -1;
  if (client->passes)
    return 0;
  g_string_append_len(call->received, at, (gssize)n);
  call->came += n;
  condition_broadcast(&call->news);
  return 0;
}

static const http_parser_settings client_settings = { .on_message_begin = on_answer_begin,
                                                      .on_header_field = on_answer_name,
                                                      .on_header_value = on_answer_value,
                                                      .on_headers_complete = on_answer_head,
                                                      .on_body = on_answer_body,
                                                      .on_message_complete = on_whole };

static void client_parser(client *client) {
  http_parser_init(&client->parser, HTTP_RESPONSE);
  client->parser.data = client;
  client->head_len = 0;
  client->scan = (head_scan){ 0 };
  client->chunk = (chunk_end){ 0 };
  client->headed = false;
}

static void client_listen(client *client) {
  if (list_is_empty(&client->choked))
    return;
  list_remove(&client->choked);
  sock_hear(&client->conn.sim, true);
}

/* until when a connection may be used again, as its other side says; never without a word */
static time_us keep_alive_till(const http_call *call, time_us now) {
  string_view v;
  if (!fields_get(call->in_fields, "keep-alive", &v))
    return time_never();
  for (size_t i = 0; i + 8 < v.length; i++)
    if (!g_ascii_strncasecmp(v.data + i, "timeout=", 8)) {
      int64_t seconds = CLAMP(strtoll(v.data + i + 8, NULL, 10), 0, KEEP_ALIVE_MOST_S);
      return time_add(now, time_from_ms(seconds * 1000 - SLACK_MS));
    }
  return time_never();
}

/* the call has its whole answer; -1 when the connection is not to be kept */
static int client_done(client *client, bool more) {
  http_engine *http = client->conn.http;
  http_call *call = client->call;
  client->call = NULL;
  call->impl = NULL;
  call->ended = true;
  condition_broadcast(&call->news);
  if (!client->keeps || more || !client->all_sent || http->world->tasks.dead)
    return -1;
  time_us now = world_now(http->world), till = keep_alive_till(call, now);
  client->idle_since = now;
  client->idle_till = till;
  if (time_reached(now, till))
    return -1;
  client_listen(client);
  list_append(&client->pool->idle, &client->idle);
  time_us due = till;
  if (http->world->kept_idle_ms > 0)
    due.us = MIN(due.us, now.us + http->world->kept_idle_ms * 1000);
  conn_due(&client->conn, due);
  return 0;
}

static int client_rx(client *client, const char *p, size_t n) {
  http_call *call = client->call;
  if (!call || !call->sent)
    return -1;
  call->last = world_now(client->conn.http->world);
  while (n) {
    bool headed = client->headed;
    client->chunk.at = p;
    size_t used = http_parser_execute(&client->parser, &client_settings, p, n);
    enum http_errno bad = HTTP_PARSER_ERRNO(&client->parser);
    if (head_is_folded(&client->scan, p, used) || !chunk_end_fits(&client->chunk, p + used))
      return -1;
    p += used;
    n -= used;
    if (!headed && (client->head_len += used) > HEAD_MOST && !client->headed)
      return -1;
    if (bad == HPE_PAUSED) {
      if (!client->interim && !client->passes)
        return client_done(client, n > 0);
      if (client->passes) {
        call->passed_over++;
        if (!client->keeps)
          return -1;
      }
      client_parser(client);
      continue;
    }
    if (bad != HPE_OK)
      return -1;
  }
  if (call->received->len > GOT_MOST && list_is_empty(&client->choked)) {
    list_append(&client->conn.http->choked, &client->choked);
    sock_hear(&client->conn.sim, false);
  }
  return 0;
}

static void put_request(const http_call *call, GString *g) {
  g_string_truncate(g, 0);
  g_string_append(g, call->method);
  g_string_append_c(g, ' ');
  g_string_append(g, call->path);
  g_string_append_len(g, " HTTP/1.1\r\n", 11);
  g_string_append_len(g, call->out_fields->str, (gssize)call->out_fields->len);
  if (call->body->len || !strcmp(call->method, "POST") || !strcmp(call->method, "PUT") ||
      !strcmp(call->method, "PATCH"))
    g_string_append_printf(g, "Content-Length: %zu\r\n", call->body->len);
  g_string_append_len(g, "\r\n", 2);
}

/* -1 when nothing can be sent any more */
static int client_write(client *client) {
  http_call *call = client->call;
  if (!call)
    return -1;
  if (client->all_sent)
    return 0;
  world *world = client->conn.http->world;
  time_us now = world_now(world);
  if (time_reached(now, call->send_by))
    return -1;
  if (!client->up) {
    int bad = 0;
    socklen_t n = sizeof bad;
    if (getsockopt(client->conn.sim.fd, SOL_SOCKET, SO_ERROR, &bad, &n) || bad)
      return -1;
    client->up = true;
    call->up_at = now;
  }
  if (!client->conn.out) {
    GString *g = client->conn.http->scratch;
    put_request(call, g);
    struct iovec i[2] = { { g->str, g->len }, { call->body->str, call->body->len } };
    ssize_t took = conn_send(&client->conn, i, call->body->len ? 2 : 1, true);
    if (took < 0)
      return -1;
    if (took)
      call->sent = true;
  } else {
    if (conn_flush(&client->conn))
      return -1;
    call->sent = call->sent || !client->conn.out || client->conn.out_at;
  }
  if (!client->conn.out) {
    client->all_sent = true;
    call->sent_at = now;
  }
  return 0;
}

/* nothing has come on an idle connection, and it has not ended */
static bool client_quiet(const client *client) {
  char b;
  return recv(client->conn.sim.fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static bool take_idle(http_engine *http, pool *pool, http_call *call) {
  time_us now = world_now(http->world);
  while (!list_is_empty(&pool->idle)) {
    client *k = list_item(pool->idle.prev, client, idle);
    list_remove(&k->idle);
    bool old = time_reached(now, k->idle_till) ||
               (http->world->kept_idle_ms > 0 &&
                now.us - k->idle_since.us >= http->world->kept_idle_ms * 1000);
    if (!old && client_quiet(k)) {
      conn_due(&k->conn, time_never());
      client_parser(k);
      k->all_sent = false;
      k->call = call;
      call->impl = k;
      call->reused = true;
      call->up_at = now;
      if (!client_write(k))
        return true;
      k->call = NULL;
      call->impl = NULL;
      call->reused = false;
    }
    sock_kill(&k->conn.sim);
    if (call->sent) {
      call->broken = true;
      return true;
    }
  }
  return false;
}

static void client_new(http_engine *http, pool *pool, http_call *call) {
  int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    call->broken = true;
    return;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, (struct sockaddr *)&pool->to, sizeof pool->to) && errno != EINPROGRESS) {
    call->broken = true;
    close(fd);
    return;
  }
  client *k = g_new0(client, 1);
  list_init(&k->idle);
  list_init(&k->choked);
  if (!conn_adopt(http, &k->conn, fd, CLIENT)) {
    g_free(k);
    call->broken = true;
    return;
  }
  k->pool = pool;
  pool->conns++;
  client_parser(k);
  k->call = call;
  call->impl = k;
  sock_want_room(&k->conn.sim);
}

void http_engine_call(http_engine *http, http_call *call) {
  pool *pool;
  if (http->world->tasks.dead || time_reached(world_now(http->world), call->send_by) ||
      !(pool = pool_of(http, call->addr))) {
    call->broken = true;
    return;
  }
  pool->conns++;
  if (call->fresh || !take_idle(http, pool, call))
    client_new(http, pool, call);
  pool_leave(http, pool);
}

void http_engine_call_drop(http_engine *http, http_call *call) {
  (void)http;
  client *client = call->impl;
  if (!client)
    return;
  call->impl = NULL;
  client->call = NULL;
  sock_kill(&client->conn.sim);
}

void http_engine_kept_drop(http_engine *http, const char *addr) {
  pool *pool = g_hash_table_lookup(http->pools, addr);
  if (!pool)
    return;
  pool->conns++;
  while (!list_is_empty(&pool->idle)) {
    client *k = list_item(pool->idle.next, client, idle);
    list_remove(&k->idle);
    sock_kill(&k->conn.sim);
  }
  pool_leave(http, pool);
}

/* the life of a socket */
static void conn_closed(sock *k) {
  conn *c = (conn *)k;
  http_engine *http = c->http;
  if (c->timer)
    g_sequence_remove(c->timer);
  list_remove(&c->dirty);
  if (c->out)
    g_string_free(c->out, TRUE);
  if (c->kind == LISTENER)
    ((listener *)c)->listener->impl = NULL;
  if (c->kind == SERVER) {
    server *s = (server *)c;
    s->listener->channels--;
    list_remove(&s->all);
    if (s->visit && s->visit->in_hand)
      visit_leave(s->visit, true);
    else if (s->visit)
      visit_free(s->visit);
    if (s->ahead)
      g_string_free(s->ahead, TRUE);
  }
  if (c->kind == CLIENT) {
    client *k = (client *)c;
    list_remove(&k->idle);
    list_remove(&k->choked);
    if (k->call) {
      k->call->impl = NULL;
      k->call->broken = true;
      condition_broadcast(&k->call->news);
    }
    pool_leave(http, k->pool);
  }
  g_free(c);
}

static int conn_rx(conn *conn, const char *p, size_t n) {
  if (conn->kind == LISTENER) {
    accept_some((listener *)conn);
    return 0;
  }
  return conn->kind == SERVER ? server_rx((server *)conn, p, n) : client_rx((client *)conn, p, n);
}

static bool conn_reading_paused(conn *conn) {
  if (conn->kind == SERVER)
    return ((server *)conn)->reading_paused;
  return !list_is_empty(&((client *)conn)->choked) || !((client *)conn)->call;
}

/* the library reads once a poll; what is there beyond its buffer is read here */
static int conn_read(sock *k, const char *p, size_t n) {
  static _Thread_local char more[SOCK_READ];
  conn *c = (conn *)k;
  int r = conn_rx(c, p, n);
  for (int i = 0; !r && n >= SOCK_READ && i < READS_MOST && !conn_reading_paused(c); i++) {
    ssize_t got = recv(k->fd, more, SOCK_READ, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
      return 0;
    if (got <= 0)
      return -1;
    n = (size_t)got;
    r = conn_rx(c, more, n);
  }
  return r;
}

static int conn_room(sock *k) {
  conn *c = (conn *)k;
  return c->kind == SERVER ? server_write((server *)c) : client_write((client *)c);
}

/* what is to be done when the timer of a connection fires; -1 to close */
static int conn_late(conn *conn) {
  if (conn->kind == LISTENER) {
    sock_hear(&conn->sim, true);
    return 0;
  }
  if (conn->kind == CLIENT)
    return -1;
  server *s = (server *)conn;
  return s->visit && !s->visit->in_hand && !s->lingers && !conn->closing ? refuse(s, 408) : -1;
}

bool http_engine_turn(http_engine *http) {
  while (!list_is_empty(&http->dirty)) {
    conn *c = list_item(http->dirty.next, conn, dirty);
    list_remove(&c->dirty);
    if (server_write((server *)c))
      sock_kill(&c->sim);
  }
  list_for_each(k, &http->choked, client,
                choked) if (!k->call || k->call->received->len <= GOT_MOST / 2) client_listen(k);
  GSequenceIter *it;
  if (!g_sequence_is_empty(http->timers)) {
    time_us now = world_now(http->world);
    while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(http->timers))) {
      conn *c = g_sequence_get(it);
      if (!time_reached(now, c->armed))
        break;
      g_sequence_remove(it);
      c->timer = NULL;
      if (time_reached(now, c->due)) {
        c->due = time_never();
        if (conn_late(c))
          sock_kill(&c->sim);
      } else if (c->due.us < time_never().us) {
        c->due.us -= TIMER_US;
        conn_due(c, c->due);
      }
    }
  }
  return !list_is_empty(&http->world->tasks.ready);
}

time_us http_engine_due(const http_engine *http) {
  GSequenceIter *it = g_sequence_get_begin_iter(http->timers);
  return g_sequence_iter_is_end(it) ? time_never() : ((conn *)g_sequence_get(it))->armed;
}

http_engine *http_engine_new(world *world, struct lws_vhost *vhost) {
  http_engine *http = g_new0(http_engine, 1);
  http->world = world;
  http->vhost = vhost;
  http->pools = g_hash_table_new(g_str_hash, g_str_equal);
  http->timers = g_sequence_new(NULL);
  http->scratch = g_string_sized_new(1024);
  list_init(&http->dirty);
  list_init(&http->choked);
  list_init(&http->servers);
  /* our own bounds hold */
  http_parser_set_max_header_size(16 << 20);
  return http;
}

void http_engine_free(http_engine *http) {
  if (!http)
    return;
  g_hash_table_destroy(http->pools);
  g_sequence_free(http->timers);
  g_string_free(http->scratch, TRUE);
  g_free(http);
}
