/** Client of the HTTP engine: see http_client.h. */
#include "http_client.h"
#include "address.h"
#include "http_connection.h"
#include "http_engine_state.h"
#include "http_framing.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
  /* reading is paused above this amount of unread body, and resumed at half of it */
  UNREAD_MAX_BYTES = 256 * 1024,
  /* an idle connection is closed this long before its peer is expected to close it */
  KEEP_ALIVE_MARGIN_MS = 500,
  KEEP_ALIVE_MAX_S = 86400
};

/** The connections to an address. Freed with the last connection. */
typedef struct connection_pool {
  char *address;
  struct sockaddr_in sockaddr;
  /** Idle client_connections, the most recently used last. */
  list_node idle;
  /** Open connections, and functions that are using the pool. */
  int references;
} connection_pool;

typedef struct client_connection {
  http_connection connection;
  connection_pool *pool;
  /** List nodes for pool->idle and http->paused_clients. */
  list_node idle, paused;
  /** NULL while it is idle. */
  http_call *call;
  bool connected, request_sent;
  /** While it is idle: since when, and when its peer may close it. */
  time_us idle_since, idle_deadline;

  /** The response that is being read; reset for each. */
  http_parser parser;
  head_scan scan;
  chunk_check chunk;
  field_reader field_reader;
  size_t head_bytes;
  bool head_read;
  /** The response is an interim one (1xx), or belongs to another request. Another one follows. */
  bool is_interim, is_skipped;
  /** The connection may be reused after this response. */
  bool keep_alive;
} client_connection;

/* ---- pools ---- */

static bool resolve(const char *address, struct sockaddr_in *sockaddr) {
  char ip[48];
  int port;
  if (!address_split(address, ip, sizeof ip, &port) || port < 1 || port > 65535)
    return false;
  const char *numeric = strcmp(ip, "localhost") ? ip : "127.0.0.1";
  *sockaddr = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
  return inet_pton(AF_INET, numeric, &sockaddr->sin_addr) == 1;
}

/* Finds or creates the pool of an address, and takes a reference; NULL for an invalid address. */
static connection_pool *acquire_pool(http_engine *http, const char *address) {
  connection_pool *pool = g_hash_table_lookup(http->pools, address);
  struct sockaddr_in sockaddr;
  if (!pool) {
    if (!resolve(address, &sockaddr))
      return NULL;
    pool = g_new0(connection_pool, 1);
    pool->address = g_strdup(address);
    pool->sockaddr = sockaddr;
    list_init(&pool->idle);
    g_hash_table_insert(http->pools, pool->address, pool);
  }
  pool->references++;
  return pool;
}

static void release_pool(http_engine *http, connection_pool *pool) {
  if (--pool->references > 0)
    return;
  g_hash_table_remove(http->pools, pool->address);
  g_free(pool->address);
  g_free(pool);
}

void http_engine_pool_close_idle(http_engine *http, const char *address) {
  connection_pool *pool = g_hash_table_lookup(http->pools, address);
  if (!pool)
    return;
  pool->references++;
  while (!list_is_empty(&pool->idle)) {
    client_connection *client = list_item(pool->idle.next, client_connection, idle);
    list_remove(&client->idle);
    sock_close(&client->connection.sock);
  }
  release_pool(http, pool);
}

/* ---- responses: http-parser's callbacks ---- */

static int on_response_begin(http_parser *parser) {
  client_connection *client = parser->data;
  client->head_read = client->is_skipped = client->is_interim = client->keep_alive = false;
  client->field_reader = (field_reader){ 0 };
  g_string_truncate(client->call->response_fields, 0);
  return 0;
}

/* Trailers (fields after the body) are dropped. */
static int on_field_name(http_parser *parser, const char *bytes, size_t length) {
  client_connection *client = parser->data;
  if (!client->head_read)
    field_reader_add_name(&client->field_reader, client->call->response_fields, bytes, length);
  return 0;
}

static int on_field_value(http_parser *parser, const char *bytes, size_t length) {
  client_connection *client = parser->data;
  if (!client->head_read)
    field_reader_add_value(&client->field_reader, client->call->response_fields, bytes, length);
  return 0;
}

/* Reads the value of the field that the call requires; false if the response lacks the field. */
static bool get_match_value(const http_call *call, string_view *value) {
  return fields_get(call->response_fields, call->match_name, value);
}

/* True if a response belongs to another request. A failure without the required field may be a
 * rejection that was sent before the field was read; a success without it belongs to another. */
static bool is_response_to_other(const http_call *call, int status) {
  string_view value;
  if (!call->match_name)
    return false;
  if (!get_match_value(call, &value))
    return status / 100 == 2;
  return !string_view_equal(value, string_view_of(call->match_value));
}

/* A failure without the required field may be a late response to an earlier request if the
 * connection is reused or has delivered a response to another request. It then says nothing about
 * this request, and in particular does not prove that this request has not run. */
static bool response_is_ambiguous(const http_call *call, int status) {
  string_view value;
  bool may_be_late = call->reused_connection || call->skipped_responses;
  return status / 100 != 2 && may_be_late && call->match_name && !get_match_value(call, &value);
}

static int on_head(http_parser *parser) {
  client_connection *client = parser->data;
  http_call *call = client->call;
  int status = (int)parser->status_code;
  field_reader_end(&client->field_reader, call->response_fields);
  client->head_read = true;
  if (parser->http_major != 1 || status < 100 || status == 101 ||
      !field_names_are_valid(call->response_fields))
    return -1;
  parser->upgrade = 0;
  client->is_interim = status < 200;
  if (client->is_interim)
    return 0;
  if (response_is_ambiguous(call, status))
    return -1;
  bool is_head_request = !strcmp(call->method, "HEAD");
  client->is_skipped = is_response_to_other(call, status);
  /* it could not be known whether a late second response to HEAD has a body */
  client->keep_alive =
      parser->http_minor >= 1 && http_should_keep_alive(parser) && !is_head_request;
  if (client->is_skipped)
    return 0;
  call->closes_connection = !client->keep_alive;
  call->status = status;
  condition_broadcast(&call->progressed);
  /* 1: there is no body, whatever the fields say */
  return is_head_request ? 1 : 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
  client_connection *client = parser->data;
  http_call *call = client->call;
  if (!chunk_check_data(&client->chunk, parser, bytes, length))
    return -1;
  if (client->is_skipped)
    return 0;
  g_string_append_len(call->response_body, bytes, (gssize)length);
  call->received_bytes += length;
  condition_broadcast(&call->progressed);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_response_begin,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = http_framing_on_message_end,
};

static void reset_parser(client_connection *client) {
  http_parser_init(&client->parser, HTTP_RESPONSE);
  client->parser.data = client;
  client->scan = (head_scan){ 0 };
  client->chunk = (chunk_check){ 0 };
  client->head_bytes = 0;
  client->head_read = false;
}

/* ---- reading ---- */

static void pause_reading(client_connection *client) {
  if (!list_is_empty(&client->paused))
    return;
  list_append(&client->connection.http->paused_clients, &client->paused);
  sock_set_reading(&client->connection.sock, false);
}

static void resume_reading(client_connection *client) {
  if (list_is_empty(&client->paused))
    return;
  list_remove(&client->paused);
  sock_set_reading(&client->connection.sock, true);
}

void http_client_resume_reading(http_engine *http) {
  list_for_each (client, &http->paused_clients, client_connection, paused)
    if (!client->call || client->call->response_body->len <= UNREAD_MAX_BYTES / 2)
      resume_reading(client);
}

/* Until when the peer keeps the connection open; time_never if it does not say. */
static time_us keep_alive_deadline(const http_call *call, time_us now) {
  static const char key[] = "timeout=";
  const size_t key_length = sizeof key - 1;
  string_view value;
  if (!fields_get(call->response_fields, "keep-alive", &value))
    return time_never();
  for (size_t i = 0; i + key_length < value.length; i++)
    if (!g_ascii_strncasecmp(value.data + i, key, key_length)) {
      int64_t seconds = strtoll(value.data + i + key_length, NULL, 10);
      seconds = CLAMP(seconds, 0, KEEP_ALIVE_MAX_S);
      return time_add(now, time_from_ms(seconds * 1000 - KEEP_ALIVE_MARGIN_MS));
    }
  return time_never();
}

/* Returns a connection whose call has ended to its pool. */
static int make_idle(client_connection *client, time_us keep_until) {
  world *world = client->connection.http->world;
  time_us now = world_now(world);
  if (time_reached(now, keep_until))
    return CONNECTION_CLOSE;
  client->idle_since = now;
  client->idle_deadline = keep_until;
  resume_reading(client);
  list_append(&client->pool->idle, &client->idle);
  time_us deadline = keep_until;
  if (world->pool_idle_timeout_ms > 0)
    deadline.us = MIN(deadline.us, now.us + world->pool_idle_timeout_ms * 1000);
  http_connection_set_deadline(&client->connection, deadline);
  return CONNECTION_KEEP;
}

/* Ends a call that has its complete response. The connection is not reused if more bytes follow,
 * since they belong to no request, or if the request was not sent in full. */
static int end_call(client_connection *client, bool bytes_follow) {
  http_engine *http = client->connection.http;
  http_call *call = client->call;
  client->call = NULL;
  call->impl = NULL;
  call->ended = true;
  condition_broadcast(&call->progressed);
  if (!client->keep_alive || bytes_follow || !client->request_sent || http->world->tasks.stopped)
    return CONNECTION_CLOSE;
  return make_idle(client, keep_alive_deadline(call, world_now(http->world)));
}

enum parse_result { PARSE_FAILED, PARSE_NEEDS_MORE, PARSE_MESSAGE_ENDED };

/* Parses bytes up to the end of a response; *used is set to their number. */
static enum parse_result parse(client_connection *client, const char *bytes, size_t length,
                               size_t *used) {
  bool had_head = client->head_read;
  client->chunk.position = bytes;
  *used = http_parser_execute(&client->parser, &parser_settings, bytes, length);
  enum http_errno error_number = HTTP_PARSER_ERRNO(&client->parser);
  if (head_scan_finds_folding(&client->scan, bytes, *used) ||
      !chunk_check_line_end(&client->chunk, bytes + *used))
    return PARSE_FAILED;
  if (!had_head)
    client->head_bytes += *used;
  if (client->head_bytes > HEAD_MAX_BYTES && !client->head_read)
    return PARSE_FAILED;
  if (error_number == HPE_PAUSED)
    return PARSE_MESSAGE_ENDED;
  return error_number == HPE_OK ? PARSE_NEEDS_MORE : PARSE_FAILED;
}

static int on_read(http_connection *connection, const char *bytes, size_t length) {
  client_connection *client = (client_connection *)connection;
  http_call *call = client->call;
  /* no data is expected before a byte of a request was sent */
  if (!call || !call->sent)
    return CONNECTION_CLOSE;
  call->last_byte_at = world_now(connection->http->world);
  while (length) {
    size_t used;
    enum parse_result result = parse(client, bytes, length, &used);
    if (result == PARSE_FAILED)
      return CONNECTION_CLOSE;
    bytes += used;
    length -= used;
    if (result == PARSE_NEEDS_MORE)
      continue;
    if (!client->is_interim && !client->is_skipped)
      return end_call(client, length > 0);
    if (client->is_skipped) {
      call->skipped_responses++;
      if (!client->keep_alive)
        return CONNECTION_CLOSE;
    }
    reset_parser(client);
  }
  if (call->response_body->len > UNREAD_MAX_BYTES)
    pause_reading(client);
  return CONNECTION_KEEP;
}

static bool is_reading_paused(const http_connection *connection) {
  const client_connection *client = (const client_connection *)connection;
  return !list_is_empty(&client->paused) || !client->call;
}

/* ---- writing ---- */

static bool method_has_body(const char *method) {
  return !strcmp(method, "POST") || !strcmp(method, "PUT") || !strcmp(method, "PATCH");
}

static void write_head(const http_call *call, GString *head) {
  g_string_truncate(head, 0);
  g_string_append(head, call->method);
  g_string_append_c(head, ' ');
  g_string_append(head, call->path);
  g_string_append(head, " HTTP/1.1\r\n");
  g_string_append_len(head, call->request_fields->str, (gssize)call->request_fields->len);
  if (call->body->len || method_has_body(call->method))
    g_string_append_printf(head, "Content-Length: %zu\r\n", call->body->len);
  g_string_append(head, "\r\n");
}

static int finish_connecting(client_connection *client, time_us now) {
  int error_number = 0;
  socklen_t size = sizeof error_number;
  int fd = client->connection.sock.fd;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error_number, &size) || error_number)
    return CONNECTION_CLOSE;
  client->connected = true;
  client->call->connected_at = now;
  return CONNECTION_KEEP;
}

static int write_request(client_connection *client) {
  http_connection *connection = &client->connection;
  http_call *call = client->call;
  GString *head = connection->http->scratch;
  write_head(call, head);
  struct iovec parts[2] = { { head->str, head->len }, { call->body->str, call->body->len } };
  ssize_t sent_bytes = http_connection_send(connection, parts, call->body->len ? 2 : 1);
  if (sent_bytes < 0)
    return CONNECTION_CLOSE;
  if (sent_bytes > 0)
    call->sent = true;
  return CONNECTION_KEEP;
}

static int write_rest(client_connection *client) {
  http_connection *connection = &client->connection;
  http_call *call = client->call;
  if (http_connection_flush(connection))
    return CONNECTION_CLOSE;
  if (!connection->pending_output || connection->pending_output_offset)
    call->sent = true;
  return CONNECTION_KEEP;
}

/* Writes the request, or the rest of it. */
static int on_writable(http_connection *connection) {
  client_connection *client = (client_connection *)connection;
  http_call *call = client->call;
  if (!call)
    return CONNECTION_CLOSE;
  if (client->request_sent)
    return CONNECTION_KEEP;
  time_us now = world_now(connection->http->world);
  if (time_reached(now, call->send_deadline))
    return CONNECTION_CLOSE;
  if (!client->connected && finish_connecting(client, now))
    return CONNECTION_CLOSE;
  if (connection->pending_output ? write_rest(client) : write_request(client))
    return CONNECTION_CLOSE;
  if (!connection->pending_output) {
    client->request_sent = true;
    call->sent_at = now;
  }
  return CONNECTION_KEEP;
}

/* ---- lifetime of a connection ---- */

/* Closes a connection that has been idle for too long. */
static int on_timeout(http_connection *connection) {
  (void)connection;
  return CONNECTION_CLOSE;
}

static void on_closed(http_connection *connection) {
  client_connection *client = (client_connection *)connection;
  list_remove(&client->idle);
  list_remove(&client->paused);
  if (client->call) {
    client->call->impl = NULL;
    client->call->broken = true;
    condition_broadcast(&client->call->progressed);
  }
  release_pool(connection->http, client->pool);
}

static const http_connection_callbacks client_callbacks = {
  .on_read = on_read,
  .on_writable = on_writable,
  .on_timeout = on_timeout,
  .on_closed = on_closed,
  .is_reading_paused = is_reading_paused,
};

/* Opens a socket and begins to connect it. Returns -1 on failure. */
static int open_socket(const struct sockaddr_in *sockaddr) {
  int enabled = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  if (connect(fd, (const struct sockaddr *)sockaddr, sizeof *sockaddr) && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

static void start_on_new_connection(http_engine *http, connection_pool *pool, http_call *call) {
  int fd = open_socket(&pool->sockaddr);
  if (fd < 0) {
    call->broken = true;
    return;
  }
  client_connection *client = g_new0(client_connection, 1);
  list_init(&client->idle);
  list_init(&client->paused);
  if (!http_connection_adopt(http, &client->connection, fd, false, &client_callbacks)) {
    g_free(client);
    call->broken = true;
    return;
  }
  client->pool = pool;
  pool->references++;
  reset_parser(client);
  client->call = call;
  call->impl = client;
  sock_request_writable(&client->connection.sock);
}

/* True if an idle connection has received no data and was not closed. */
static bool has_no_unread_data(const client_connection *client) {
  char byte;
  ssize_t result = recv(client->connection.sock.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return result < 0 && errno == EAGAIN;
}

static bool is_reusable(const client_connection *client, time_us now) {
  int64_t timeout_ms = client->connection.http->world->pool_idle_timeout_ms;
  if (time_reached(now, client->idle_deadline))
    return false;
  if (timeout_ms > 0 && time_reached(now, time_add(client->idle_since, time_from_ms(timeout_ms))))
    return false;
  return has_no_unread_data(client);
}

/* Sends the call on an idle connection. False if the connection turns out to be broken. The call is
 * then unchanged, except that `sent`
 * may be set. */
static bool start_on_idle_connection(client_connection *client, http_call *call, time_us now) {
  http_connection_set_deadline(&client->connection, time_never());
  reset_parser(client);
  client->request_sent = false;
  client->call = call;
  call->impl = client;
  call->reused_connection = true;
  call->connected_at = now;
  if (on_writable(&client->connection) == CONNECTION_KEEP)
    return true;
  client->call = NULL;
  call->impl = NULL;
  call->reused_connection = false;
  return false;
}

/* Starts the call on an idle connection of the pool. True if it was started, or broke after a byte
 * was sent; false if it needs a new connection. */
static bool start_from_pool(http_engine *http, connection_pool *pool, http_call *call) {
  time_us now = world_now(http->world);
  while (!list_is_empty(&pool->idle)) {
    client_connection *client = list_item(pool->idle.prev, client_connection, idle);
    list_remove(&client->idle);
    if (is_reusable(client, now) && start_on_idle_connection(client, call, now))
      return true;
    sock_close(&client->connection.sock);
    if (call->sent) {
      call->broken = true;
      return true;
    }
  }
  return false;
}

void http_engine_start_call(http_engine *http, http_call *call) {
  connection_pool *pool = NULL;
  bool too_late = time_reached(world_now(http->world), call->send_deadline);
  if (!http->world->tasks.stopped && !too_late)
    pool = acquire_pool(http, call->address);
  if (!pool) {
    call->broken = true;
    return;
  }
  if (call->needs_new_connection || !start_from_pool(http, pool, call))
    start_on_new_connection(http, pool, call);
  release_pool(http, pool);
}

void http_engine_cancel_call(http_engine *http, http_call *call) {
  (void)http;
  client_connection *client = call->impl;
  if (!client)
    return;
  call->impl = NULL;
  client->call = NULL;
  sock_close(&client->connection.sock);
}
