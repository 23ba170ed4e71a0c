/** Calls to others, over connections that are kept and shared: one request at a time on each. */
#include "http_internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum { GOT_MOST = 256 * 1024, SLACK_MS = 500, KEEP_ALIVE_MOST_S = 86400 };

static connection_pool *pool_of(http_engine *http, const char *addr) {
  connection_pool *p = g_hash_table_lookup(http->pools, addr);
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
  p = g_new0(connection_pool, 1);
  p->addr = g_strdup(addr);
  p->sockaddr = to;
  list_init(&p->idle);
  g_hash_table_insert(http->pools, p->addr, p);
  return p;
}

static void pool_leave(http_engine *http, connection_pool *pool) {
  if (--pool->connection_count > 0)
    return;
  g_hash_table_remove(http->pools, pool->addr);
  g_free(pool->addr);
  g_free(pool);
}

static int on_answer_begin(http_parser *p) {
  client_connection *client = p->data;
  client->head_read = client->skips_response = client->interim_response = client->keep_alive =
      false;
  client->last_field_kind = 0;
  g_string_truncate(client->call->response_fields, 0);
  return 0;
}

static int on_answer_name(http_parser *p, const char *at, size_t n) {
  client_connection *client = p->data;
  if (!client->head_read)
    field_append(client->call->response_fields, &client->last_field_kind, 'n', at, n);
  return 0;
}

static int on_answer_value(http_parser *p, const char *at, size_t n) {
  client_connection *client = p->data;
  if (!client->head_read)
    field_append(client->call->response_fields, &client->last_field_kind, 'v', at, n);
  return 0;
}

static bool answer_is_named(const http_call *call) {
  string_view name;
  return !call->match_name || fields_get(call->response_fields, call->match_name, &name);
}

/* an answer to another request; one that names no request may be a refusal that came before the
 * name was read */
static bool answers_other(const http_call *call, int status) {
  string_view v;
  if (!call->match_name)
    return false;
  if (!fields_get(call->response_fields, call->match_name, &v))
    return status / 100 == 2;
  return !string_view_equal(v, string_view_of(call->match_value));
}

/* On a connection that had served before, or that brought another's answer, a failure without a
 * name may be left over from an earlier request: it proves nothing, and least of all that this
 * request has not run. */
static bool response_is_ambiguous(const http_call *call, int status) {
  return status / 100 != 2 && (call->reused_connection || call->skipped_responses) &&
         !answer_is_named(call);
}

static int on_answer_head(http_parser *p) {
  client_connection *client = p->data;
  http_call *call = client->call;
  int status = p->status_code;
  field_end(call->response_fields, &client->last_field_kind);
  client->head_read = true;
  if (p->http_major != 1 || status < 100 || status == 101 ||
      !field_names_are_valid(call->response_fields))
    return -1;
  p->upgrade = 0;
  client->interim_response = status < 200;
  if (client->interim_response)
    return 0;
  if (response_is_ambiguous(call, status))
    return -1;
  bool head = !strcmp(call->method, "HEAD");
  client->skips_response = answers_other(call, status);
  /* whether a late second answer to HEAD has a body could not be known */
  client->keep_alive = p->http_minor >= 1 && http_should_keep_alive(p) && !head;
  if (!client->skips_response) {
    call->closes_connection = !client->keep_alive;
    call->status = status;
    condition_broadcast(&call->progressed);
  }
  return head && !client->skips_response;
}

static int on_answer_body(http_parser *p, const char *at, size_t n) {
  client_connection *client = p->data;
  http_call *call = client->call;
  if (!chunk_check_data(&client->chunk, p, at, n))
    return -1;
  if (client->skips_response)
    return 0;
  g_string_append_len(call->response_body, at, (gssize)n);
  call->received_bytes += n;
  condition_broadcast(&call->progressed);
  return 0;
}

static const http_parser_settings client_settings = { .on_message_begin = on_answer_begin,
                                                      .on_header_field = on_answer_name,
                                                      .on_header_value = on_answer_value,
                                                      .on_headers_complete = on_answer_head,
                                                      .on_body = on_answer_body,
                                                      .on_message_complete = on_message_end };

static void client_parser(client_connection *client) {
  http_parser_init(&client->parser, HTTP_RESPONSE);
  client->parser.data = client;
  client->head_length = 0;
  client->scan = (head_scan){ 0 };
  client->chunk = (chunk_end){ 0 };
  client->head_read = false;
}

void client_resume_reading(client_connection *client) {
  if (list_is_empty(&client->paused))
    return;
  list_remove(&client->paused);
  sock_set_reading(&client->conn.sim, true);
}

/* until when a connection may be used again, as its other side says; never without a word */
static time_us keep_alive_deadline(const http_call *call, time_us now) {
  string_view v;
  if (!fields_get(call->response_fields, "keep-alive", &v))
    return time_never();
  for (size_t i = 0; i + 8 < v.length; i++)
    if (!g_ascii_strncasecmp(v.data + i, "timeout=", 8)) {
      int64_t seconds = CLAMP(strtoll(v.data + i + 8, NULL, 10), 0, KEEP_ALIVE_MOST_S);
      return time_add(now, time_from_ms(seconds * 1000 - SLACK_MS));
    }
  return time_never();
}

/* the call has its whole answer; -1 when the connection is not to be kept */
static int client_done(client_connection *client, bool more) {
  http_engine *http = client->conn.http;
  http_call *call = client->call;
  client->call = NULL;
  call->impl = NULL;
  call->ended = true;
  condition_broadcast(&call->progressed);
  if (!client->keep_alive || more || !client->request_sent || http->world->tasks.stopped)
    return -1;
  time_us now = world_now(http->world), till = keep_alive_deadline(call, now);
  client->idle_since = now;
  client->idle_deadline = till;
  if (time_reached(now, till))
    return -1;
  client_resume_reading(client);
  list_append(&client->pool->idle, &client->idle);
  time_us due = till;
  if (http->world->pool_idle_timeout_ms > 0)
    due.us = MIN(due.us, now.us + http->world->pool_idle_timeout_ms * 1000);
  connection_set_deadline(&client->conn, due);
  return 0;
}

int client_receive(client_connection *client, const char *p, size_t n) {
  http_call *call = client->call;
  if (!call || !call->sent)
    return -1;
  call->last_byte_at = world_now(client->conn.http->world);
  while (n) {
    bool headed = client->head_read;
    client->chunk.position = p;
    size_t used = http_parser_execute(&client->parser, &client_settings, p, n);
    enum http_errno bad = HTTP_PARSER_ERRNO(&client->parser);
    if (head_is_folded(&client->scan, p, used) || !chunk_end_is_valid(&client->chunk, p + used))
      return -1;
    p += used;
    n -= used;
    if (!headed && (client->head_length += used) > HEAD_BYTES_MAX && !client->head_read)
      return -1;
    if (bad == HPE_PAUSED) {
      if (!client->interim_response && !client->skips_response)
        return client_done(client, n > 0);
      if (client->skips_response) {
        call->skipped_responses++;
        if (!client->keep_alive)
          return -1;
      }
      client_parser(client);
      continue;
    }
    if (bad != HPE_OK)
      return -1;
  }
  if (call->response_body->len > GOT_MOST && list_is_empty(&client->paused)) {
    list_append(&client->conn.http->paused_clients, &client->paused);
    sock_set_reading(&client->conn.sim, false);
  }
  return 0;
}

static void put_request(const http_call *call, GString *g) {
  g_string_truncate(g, 0);
  g_string_append(g, call->method);
  g_string_append_c(g, ' ');
  g_string_append(g, call->path);
  g_string_append_len(g, " HTTP/1.1\r\n", 11);
  g_string_append_len(g, call->request_fields->str, (gssize)call->request_fields->len);
  if (call->body->len || !strcmp(call->method, "POST") || !strcmp(call->method, "PUT") ||
      !strcmp(call->method, "PATCH"))
    g_string_append_printf(g, "Content-Length: %zu\r\n", call->body->len);
  g_string_append_len(g, "\r\n", 2);
}

int client_write(client_connection *client) {
  http_call *call = client->call;
  if (!call)
    return -1;
  if (client->request_sent)
    return 0;
  world *world = client->conn.http->world;
  time_us now = world_now(world);
  if (time_reached(now, call->send_deadline))
    return -1;
  if (!client->connected) {
    int bad = 0;
    socklen_t n = sizeof bad;
    if (getsockopt(client->conn.sim.fd, SOL_SOCKET, SO_ERROR, &bad, &n) || bad)
      return -1;
    client->connected = true;
    call->connected_at = now;
  }
  if (!client->conn.pending_output) {
    GString *g = client->conn.http->scratch;
    put_request(call, g);
    struct iovec i[2] = { { g->str, g->len }, { call->body->str, call->body->len } };
    ssize_t took = connection_send(&client->conn, i, call->body->len ? 2 : 1, true);
    if (took < 0)
      return -1;
    if (took)
      call->sent = true;
  } else {
    if (connection_flush(&client->conn))
      return -1;
    call->sent = call->sent || !client->conn.pending_output || client->conn.pending_output_offset;
  }
  if (!client->conn.pending_output) {
    client->request_sent = true;
    call->sent_at = now;
  }
  return 0;
}

/* nothing has come on an idle connection, and it has not ended */
static bool client_is_idle(const client_connection *client) {
  char b;
  return recv(client->conn.sim.fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static bool take_idle(http_engine *http, connection_pool *pool, http_call *call) {
  time_us now = world_now(http->world);
  while (!list_is_empty(&pool->idle)) {
    client_connection *k = list_item(pool->idle.prev, client_connection, idle);
    list_remove(&k->idle);
    bool old = time_reached(now, k->idle_deadline) ||
               (http->world->pool_idle_timeout_ms > 0 &&
                now.us - k->idle_since.us >= http->world->pool_idle_timeout_ms * 1000);
    if (!old && client_is_idle(k)) {
      connection_set_deadline(&k->conn, time_never());
      client_parser(k);
      k->request_sent = false;
      k->call = call;
      call->impl = k;
      call->reused_connection = true;
      call->connected_at = now;
      if (!client_write(k))
        return true;
      k->call = NULL;
      call->impl = NULL;
      call->reused_connection = false;
    }
    sock_close(&k->conn.sim);
    if (call->sent) {
      call->broken = true;
      return true;
    }
  }
  return false;
}

static void client_new(http_engine *http, connection_pool *pool, http_call *call) {
  int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    call->broken = true;
    return;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, (struct sockaddr *)&pool->sockaddr, sizeof pool->sockaddr) &&
      errno != EINPROGRESS) {
    call->broken = true;
    close(fd);
    return;
  }
  client_connection *k = g_new0(client_connection, 1);
  list_init(&k->idle);
  list_init(&k->paused);
  if (!connection_adopt(http, &k->conn, fd, CONNECTION_CLIENT)) {
    g_free(k);
    call->broken = true;
    return;
  }
  k->pool = pool;
  pool->connection_count++;
  client_parser(k);
  k->call = call;
  call->impl = k;
  sock_request_writable(&k->conn.sim);
}

void http_engine_start_call(http_engine *http, http_call *call) {
  connection_pool *pool;
  if (http->world->tasks.stopped || time_reached(world_now(http->world), call->send_deadline) ||
      !(pool = pool_of(http, call->address))) {
    call->broken = true;
    return;
  }
  pool->connection_count++;
  if (call->needs_new_connection || !take_idle(http, pool, call))
    client_new(http, pool, call);
  pool_leave(http, pool);
}

void http_engine_cancel_call(http_engine *http, http_call *call) {
  (void)http;
  client_connection *client = call->impl;
  if (!client)
    return;
  call->impl = NULL;
  client->call = NULL;
  sock_close(&client->conn.sim);
}

void http_engine_pool_close_idle(http_engine *http, const char *addr) {
  connection_pool *pool = g_hash_table_lookup(http->pools, addr);
  if (!pool)
    return;
  pool->connection_count++;
  while (!list_is_empty(&pool->idle)) {
    client_connection *k = list_item(pool->idle.next, client_connection, idle);
    list_remove(&k->idle);
    sock_close(&k->conn.sim);
  }
  pool_leave(http, pool);
}

void client_closed(client_connection *client) {
  list_remove(&client->idle);
  list_remove(&client->paused);
  if (client->call) {
    client->call->impl = NULL;
    client->call->broken = true;
    condition_broadcast(&client->call->progressed);
  }
  pool_leave(client->conn.http, client->pool);
}

void clients_resume_reading(http_engine *http) {
  list_for_each (k, &http->paused_clients, client_connection, paused)
    if (!k->call || k->call->response_body->len <= GOT_MOST / 2)
      client_resume_reading(k);
}
