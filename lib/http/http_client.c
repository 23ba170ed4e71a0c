/** Calls to others, over connections that are kept and shared: one request at a time on each. */
#include "http_internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum { GOT_MOST = 256 * 1024, SLACK_MS = 500, KEEP_ALIVE_MOST_S = 86400 };

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

void client_listen(client *client) {
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

int client_rx(client *client, const char *p, size_t n) {
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

int client_write(client *client) {
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

void client_closed(client *client) {
  list_remove(&client->idle);
  list_remove(&client->choked);
  if (client->call) {
    client->call->impl = NULL;
    client->call->broken = true;
    condition_broadcast(&client->call->news);
  }
  pool_leave(client->conn.http, client->pool);
}

void clients_listen(http_engine *http) {
  list_for_each (k, &http->choked, client, choked)
    if (!k->call || k->call->received->len <= GOT_MOST / 2)
      client_listen(k);
}
