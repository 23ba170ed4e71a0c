/** Listeners of the HTTP engine: see http_server.h. */
#define _GNU_SOURCE
#include "http_server.h"
#include "http_connection.h"
#include "http_engine_state.h"
#include "http_framing.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
  /* a connection is not read while more pipelined bytes than this are kept */
  READ_AHEAD_MAX_BYTES = 16 * 1024,
  /* a response is written in pieces of this size */
  PIECE_BYTES = 64 * 1024,
  /* how long a connection that was shut down waits for the caller to close it */
  LINGER_MS = 1000,
  /* how long a caller may leave the rest of a finished response unread */
  UNREAD_RESPONSE_TIMEOUT_MS = 30000,
  /* pause before accepting again when the process is out of descriptors */
  ACCEPT_RETRY_MS = 50,
  LISTEN_BACKLOG = 4096,
  /* a body that goes on coming may take so many times the listener's header_timeout_ms */
  BODY_TIMEOUT_FACTOR = 10
};

typedef struct http_exchange http_exchange;

/** A listening socket; http_listener.impl. */
typedef struct listener_socket {
  http_connection connection;
  http_listener *listener;
} listener_socket;

/** A caller's connection. */
typedef struct server_connection {
  http_connection connection;
  http_listener *listener;
  /** In http->servers; in http->unflushed_servers. */
  list_node all, unflushed;
  /** The request that is being read or served; NULL between requests. */
  http_exchange *exchange;
  http_parser parser;
  /** Bytes behind the present request; NULL: none. */
  GString *read_ahead;
  struct sockaddr_in client_sockaddr;
  unsigned request_count;
  bool reading_paused;
  /** No more requests are taken; and all has been written, and the sending side is shut down. */
  bool closing, lingering;
} server_connection;

/** A request and its response. */
struct http_exchange {
  /** First, so that http_request_free frees the exchange. */
  http_request request;
  /** NULL once the connection is done with it. */
  server_connection *server;

  /** Reading. The target, until the head has been read. */
  GString *url;
  head_scan scan;
  chunk_check chunk;
  field_reader field_reader;
  size_t head_bytes;
  time_us first_byte_at;
  bool head_read, expects_continue;
  /** The status with which it is refused; 0: it isn't. */
  int fault_status;

  /** It was read in full and handed to its task; the task is over. */
  bool in_progress, served;

  /** Writing. How the response is framed, settled with its head. */
  bool head_sent, is_chunked, has_no_body, close_after;
  /** All of it was written, or is pending output. */
  bool output_complete;
};

/* ---- exchanges ---- */

static void format_client_address(const struct sockaddr_in *sockaddr, char *to, size_t size) {
  uint32_t ip = ntohl(sockaddr->sin_addr.s_addr);
  snprintf(to, size, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
           ntohs(sockaddr->sin_port));
}

static void begin_exchange(server_connection *server) {
  http_engine *http = server->connection.http;
  http_exchange *exchange = g_new0(http_exchange, 1);
  exchange->server = server;
  exchange->first_byte_at = world_now(http->world);
  exchange->url = g_string_sized_new(64);
  http_request *request = &exchange->request;
  request->world = http->world;
  request->listener = server->listener;
  request->connection_request_number = ++server->request_count;
  request->body = g_string_new(NULL);
  request->pending_output = g_string_new(NULL);
  request->fields = g_string_sized_new(256);
  request->response_fields = g_string_new(NULL);
  request->impl = exchange;
  condition_init(&request->drained);
  format_client_address(&server->client_sockaddr, request->client_address,
                        sizeof request->client_address);
  http_parser_init(&server->parser, HTTP_REQUEST);
  server->parser.data = server;
  server->exchange = exchange;
}

static void exchange_free(http_exchange *exchange) {
  if (exchange->url)
    g_string_free(exchange->url, TRUE);
  http_request_free(&exchange->request);
}

/* the connection is done with an exchange that is in progress, because it was answered or the
 * caller is gone */
static void leave_exchange(server_connection *server, bool client_gone) {
  http_exchange *exchange = server->exchange;
  http_request *request = &exchange->request;
  server->listener->pending_exchanges--;
  server->exchange = NULL;
  exchange->server = NULL;
  if (client_gone) {
    request->client_gone = true;
    condition_broadcast(&request->drained);
    if (request->client_gone_condition)
      condition_broadcast(request->client_gone_condition);
  }
  if (exchange->served)
    exchange_free(exchange);
}

static void serve_run(void *context) {
  http_exchange *exchange = context;
  http_request *request = &exchange->request;
  if (!request->world->tasks.stopped)
    request->listener->serve(request->listener->serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  exchange->served = true;
  if (!exchange->server)
    exchange_free(exchange);
}

static int start_serving(server_connection *server) {
  http_exchange *exchange = server->exchange;
  world *world = server->connection.http->world;
  if (world->tasks.stopped)
    return CONNECTION_CLOSE;
  exchange->in_progress = true;
  exchange->request.received_at = world_now(world);
  server->listener->pending_exchanges++;
  server->listener->requests_received++;
  http_connection_set_deadline(&server->connection, time_never());
  task_start(&world->tasks, "serve", serve_run, exchange);
  return CONNECTION_KEEP;
}

/* ---- requests: http-parser's callbacks ---- */

static http_exchange *exchange_of(const http_parser *parser) {
  return ((const server_connection *)parser->data)->exchange;
}

static size_t body_max_bytes(const server_connection *server) {
  size_t bound = server->listener->body_max_bytes;
  return bound ? bound : server->connection.http->world->body_max_bytes;
}

static int refuse(http_exchange *exchange, int status) {
  exchange->fault_status = status;
  return -1;
}

static int on_url(http_parser *parser, const char *bytes, size_t length) {
  g_string_append_len(exchange_of(parser)->url, bytes, (gssize)length);
  return 0;
}

/* fields behind the body (trailers) are dropped */
static int on_field_name(http_parser *parser, const char *bytes, size_t length) {
  http_exchange *exchange = exchange_of(parser);
  if (!exchange->head_read)
    field_reader_add_name(&exchange->field_reader, exchange->request.fields, bytes, length);
  return 0;
}

static int on_field_value(http_parser *parser, const char *bytes, size_t length) {
  http_exchange *exchange = exchange_of(parser);
  if (!exchange->head_read)
    field_reader_add_value(&exchange->field_reader, exchange->request.fields, bytes, length);
  return 0;
}

/* the name without its port, in lower case; the caller frees it */
static char *host_of(string_view authority) {
  size_t length = authority.length;
  bool is_ipv6 = length && *authority.data == '[';
  const char *end = length ? memchr(authority.data, is_ipv6 ? ']' : ':', length) : NULL;
  if (end)
    length = (size_t)(end - authority.data) + is_ipv6;
  return g_ascii_strdown(authority.data, (gssize)length);
}

static bool equals_ignoring_case(string_view text, const char *to) {
  return text.length == strlen(to) && !g_ascii_strncasecmp(text.data, to, text.length);
}

/* the first value of each field counts */
static void take_known_field(http_headers *known, string_view name, string_view value) {
  for (int i = 0; i < HEADER_COUNT; i++)
    if (!known->values[i] && equals_ignoring_case(name, http_header_names[i])) {
      known->values[i] = g_strndup(value.data, value.length);
      return;
    }
}

/* False unless there is exactly one Host, which HTTP/1.0 may leave out. */
static bool read_fields(http_exchange *exchange, const http_parser *parser) {
  http_request *request = &exchange->request;
  size_t at = 0;
  string_view name, value;
  int hosts = 0;
  while (fields_next(request->fields, &at, &name, &value)) {
    if (equals_ignoring_case(name, "host")) {
      if (!hosts++)
        request->host = host_of(value);
    } else if (equals_ignoring_case(name, "expect"))
      exchange->expects_continue = equals_ignoring_case(value, "100-continue");
    else
      take_known_field(&request->known_fields, name, value);
  }
  bool is_http_1_1 = parser->http_major == 1 && parser->http_minor >= 1;
  return hosts == 1 || (!hosts && !is_http_1_1);
}

/* http-parser lets tabs and form feeds pass, at which others may split a line */
static bool target_is_valid(const char *target) {
  for (const unsigned char *c = (const unsigned char *)target; *c; c++)
    if (*c <= ' ' || *c == 127 || *c == '#')
      return false;
  return true;
}

/* Splits a target into host and path. A target with a scheme brings the host that counts; NULL if
 * it is neither a path nor has a scheme. */
static const char *read_authority(http_request *request, const char *target) {
  if (*target == '/' || !strcmp(target, "*"))
    return target;
  const char *host = strstr(target, "://");
  if (!host)
    return NULL;
  host += strlen("://");
  const char *path = host + strcspn(host, "/?");
  g_free(request->host);
  request->host = host_of((string_view){ host, (size_t)(path - host) });
  return path;
}

static void set_target(http_request *request, const char *path) {
  bool is_rooted = *path == '/' || *path == '*';
  request->target = is_rooted ? g_strdup(path) : g_strconcat("/", path, NULL);
  size_t path_length = strcspn(request->target, "?");
  request->path = g_strndup(request->target, path_length);
  request->query = g_strdup(request->target[path_length] ? request->target + path_length + 1 : "");
}

static bool read_target(http_exchange *exchange) {
  char *url = g_string_free(exchange->url, FALSE);
  exchange->url = NULL;
  const char *path = NULL;
  if (target_is_valid(url))
    path = read_authority(&exchange->request, url);
  if (path)
    set_target(&exchange->request, path);
  g_free(url);
  return path != NULL;
}

static int on_head(http_parser *parser) {
  server_connection *server = parser->data;
  http_exchange *exchange = server->exchange;
  http_request *request = &exchange->request;
  field_reader_end(&exchange->field_reader, request->fields);
  exchange->head_read = true;
  parser->upgrade = 0;
  request->method = g_strdup(http_method_str(parser->method));
  if (parser->http_major != 1 || parser->method == HTTP_CONNECT ||
      !field_names_are_valid(request->fields) || !read_fields(exchange, parser) ||
      !read_target(exchange))
    return refuse(exchange, 400);
  if (!request->host)
    request->host = g_strdup("");
  request->close_connection = !http_should_keep_alive(parser);
  bool has_length = parser->content_length != UINT64_MAX;
  if (has_length && parser->content_length > body_max_bytes(server))
    return refuse(exchange, 413);
  if (parser->http_minor == 0)
    exchange->expects_continue = false;
  return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
  server_connection *server = parser->data;
  http_exchange *exchange = server->exchange;
  GString *body = exchange->request.body;
  if (!chunk_check_data(&exchange->chunk, parser, bytes, length))
    return refuse(exchange, 400);
  if (body->len + length > body_max_bytes(server))
    return refuse(exchange, 413);
  g_string_append_len(body, bytes, (gssize)length);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_url,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = http_framing_on_message_end,
};

/* ---- ends of a connection ---- */

static void pause_reading(server_connection *server) {
  if (server->reading_paused)
    return;
  server->reading_paused = true;
  sock_set_reading(&server->connection.sock, false);
}

static void resume_reading(server_connection *server) {
  if (!server->reading_paused)
    return;
  server->reading_paused = false;
  sock_set_reading(&server->connection.sock, true);
}

/* Takes no more requests, and lingers once all has been written. */
static void finish(server_connection *server) {
  server->closing = true;
  if (server->connection.pending_output) {
    http_connection_set_timeout(&server->connection, UNREAD_RESPONSE_TIMEOUT_MS);
    return;
  }
  shutdown(server->connection.sock.fd, SHUT_WR);
  server->lingering = true;
  resume_reading(server);
  http_connection_set_timeout(&server->connection, LINGER_MS);
}

typedef struct rejection {
  int status, code;
  const char *reason;
} rejection;

static const rejection *find_rejection(int status) {
  static const rejection rejections[] = {
    { 400, E_FIELD, "not a proper request" },
    { 408, E_NO_RESPONSE, "the request did not come whole in time" },
    { 413, E_TOO_LARGE, "body too large" },
    { 431, E_TOO_LARGE, "header fields too large" },
  };
  size_t i = 0;
  while (i < G_N_ELEMENTS(rejections) - 1 && rejections[i].status != status)
    i++;
  return &rejections[i];
}

/* Answers a request that was not read in full, and finishes the connection, since it is not known
 * where the next request begins. */
static int reject_request(server_connection *server, int status) {
  if (server->exchange) {
    exchange_free(server->exchange);
    server->exchange = NULL;
  }
  if (server->connection.pending_output)
    return CONNECTION_CLOSE;
  const rejection *rejection = find_rejection(status);
  char body[128], head[256];
  int body_length = snprintf(body, sizeof body, "{\"code\":%d,\"error\":\"%s\"}", rejection->code,
                             rejection->reason);
  int head_length = snprintf(head, sizeof head,
                             "HTTP/1.1 %d %s\r\n"
                             "Content-Type: application/json\r\n"
                             "Content-Length: %d\r\n"
                             "Connection: close\r\n\r\n",
                             status, http_status_str((enum http_status)status), body_length);
  struct iovec parts[2] = { { head, (size_t)head_length }, { body, (size_t)body_length } };
  if (http_connection_send(&server->connection, parts, 2) < 0)
    return CONNECTION_CLOSE;
  finish(server);
  return CONNECTION_KEEP;
}

/* ---- reading ---- */

static void keep_read_ahead(server_connection *server, const char *bytes, size_t length) {
  if (!length)
    return;
  if (!server->read_ahead)
    server->read_ahead = g_string_sized_new(length + 1);
  g_string_append_len(server->read_ahead, bytes, (gssize)length);
  if (server->read_ahead->len > READ_AHEAD_MAX_BYTES)
    pause_reading(server);
}

static int send_continue(server_connection *server) {
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct iovec part = { (char *)text, sizeof text - 1 };
  server->exchange->expects_continue = false;
  if (server->connection.pending_output)
    return CONNECTION_KEEP;
  return http_connection_send(&server->connection, &part, 1) < 0 ? CONNECTION_CLOSE
                                                                 : CONNECTION_KEEP;
}

/* A head must have come in full within the listener's timeout. A body may take as long after each
 * of its pieces, up to a multiple in all. */
static void set_request_deadline(server_connection *server) {
  const http_exchange *exchange = server->exchange;
  int64_t timeout_ms = server->listener->header_timeout_ms;
  if (timeout_ms <= 0) {
    http_connection_set_deadline(&server->connection, time_never());
    return;
  }
  time_us deadline = time_add(exchange->first_byte_at, time_from_ms(timeout_ms));
  if (exchange->head_read) {
    time_us max = time_add(exchange->first_byte_at, time_from_ms(timeout_ms * BODY_TIMEOUT_FACTOR));
    deadline = time_add(world_now(server->connection.http->world), time_from_ms(timeout_ms));
    if (deadline.us > max.us)
      deadline = max;
  }
  http_connection_set_deadline(&server->connection, deadline);
}

/* all bytes were parsed, and the request needs more */
static int wait_for_more(server_connection *server) {
  const http_exchange *exchange = server->exchange;
  if (!exchange)
    return CONNECTION_KEEP;
  if (exchange->head_read && exchange->expects_continue && send_continue(server))
    return CONNECTION_CLOSE;
  set_request_deadline(server);
  return CONNECTION_KEEP;
}

/* how many of the bytes may be parsed at once: up to the bound on the head, while that is read */
static size_t parsable_bytes(const server_connection *server, size_t length) {
  const http_exchange *exchange = server->exchange;
  size_t head_max = server->listener->header_max_bytes;
  if (!head_max)
    head_max = HEAD_MAX_BYTES;
  if (exchange->head_read || exchange->head_bytes + length <= head_max)
    return length;
  return head_max > exchange->head_bytes ? head_max - exchange->head_bytes : 0;
}

/* Parses bytes of a request. Returns 0, or the status with which it is refused; *used tells how
 * many bytes were parsed, and *ended whether the request ends with them. */
static int parse(server_connection *server, const char *bytes, size_t length, size_t *used,
                 bool *ended) {
  http_exchange *exchange = server->exchange;
  size_t parsable = parsable_bytes(server, length);
  *used = 0;
  *ended = false;
  if (!parsable)
    return 431;
  bool had_head = exchange->head_read;
  exchange->chunk.position = bytes;
  *used = http_parser_execute(&server->parser, &parser_settings, bytes, parsable);
  if (!had_head)
    exchange->head_bytes += *used;
  enum http_errno error_number = HTTP_PARSER_ERRNO(&server->parser);
  if (exchange->fault_status)
    return exchange->fault_status;
  if (head_scan_finds_folding(&exchange->scan, bytes, *used) ||
      !chunk_check_line_end(&exchange->chunk, bytes + *used))
    return 400;
  if (error_number == HPE_PAUSED) {
    *ended = true;
    return 0;
  }
  return error_number == HPE_OK && *used == parsable ? 0 : 400;
}

static int parse_requests(server_connection *server, const char *bytes, size_t length) {
  while (length) {
    /* line ends between requests are skipped */
    if (!server->exchange && (*bytes == '\r' || *bytes == '\n')) {
      bytes++;
      length--;
      continue;
    }
    if (!server->exchange)
      begin_exchange(server);
    size_t used;
    bool ended;
    int fault_status = parse(server, bytes, length, &used, &ended);
    if (fault_status)
      return reject_request(server, fault_status);
    bytes += used;
    length -= used;
    if (ended) {
      keep_read_ahead(server, bytes, length);
      return start_serving(server);
    }
  }
  return wait_for_more(server);
}

static int on_read(http_connection *connection, const char *bytes, size_t length) {
  server_connection *server = (server_connection *)connection;
  if (server->closing)
    return CONNECTION_KEEP;
  if (server->exchange && server->exchange->in_progress) {
    keep_read_ahead(server, bytes, length);
    return CONNECTION_KEEP;
  }
  return parse_requests(server, bytes, length);
}

static bool is_reading_paused(const http_connection *connection) {
  return ((const server_connection *)connection)->reading_paused;
}

/* ---- writing ---- */

static void append_known_fields(GString *head, const http_headers *headers) {
  for (int i = 0; i < HEADER_COUNT; i++) {
    if (!headers->values[i])
      continue;
    g_string_append(head, http_header_names[i]);
    g_string_append(head, ": ");
    g_string_append(head, headers->values[i]);
    g_string_append(head, "\r\n");
  }
}

/* A response that is complete when its head is written has a length. Others come in chunks, or end
 * with the connection if the caller speaks HTTP/1.0. */
static void write_head(http_exchange *exchange, GString *head) {
  http_request *request = &exchange->request;
  const server_connection *server = exchange->server;
  bool is_http_1_0 = server->parser.http_minor == 0;
  bool is_complete = request->response_ended && request->ended_cleanly;
  bool status_has_no_body = request->status == 204 || request->status == 304;
  exchange->has_no_body = status_has_no_body || server->parser.method == HTTP_HEAD;
  bool is_streamed = !is_complete && !exchange->has_no_body;
  exchange->is_chunked = is_streamed && !is_http_1_0;
  exchange->close_after =
      request->close_connection || server->listener->draining || (is_streamed && is_http_1_0);
  g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", request->status,
                         http_status_str((enum http_status)request->status));
  append_known_fields(head, &request->known_response_fields);
  if (request->response_fields)
    g_string_append_len(head, request->response_fields->str, (gssize)request->response_fields->len);
  size_t length = request->pending_output->len;
  /* the length of a response to HEAD is sent if its body was made */
  if (!status_has_no_body && is_complete && (length || !exchange->has_no_body))
    g_string_append_printf(head, "Content-Length: %zu\r\n", length);
  else if (exchange->is_chunked)
    g_string_append(head, "Transfer-Encoding: chunked\r\n");
  if (exchange->close_after)
    g_string_append(head, "Connection: close\r\n");
  else if (is_http_1_0)
    g_string_append(head, "Connection: keep-alive\r\n");
  g_string_append(head, "\r\n");
}

/* what follows a piece of a body in chunks */
static const char *chunk_tail(size_t length, bool is_last) {
  if (!is_last)
    return length ? "\r\n" : "";
  return length ? "\r\n0\r\n\r\n" : "0\r\n\r\n";
}

/* writes the head, if it wasn't sent, and a piece of the body */
static int write_piece(server_connection *server) {
  http_connection *connection = &server->connection;
  http_exchange *exchange = server->exchange;
  http_request *request = &exchange->request;
  GString *output = request->pending_output, *head = connection->http->scratch;
  g_string_truncate(head, 0);
  if (!exchange->head_sent)
    write_head(exchange, head);
  exchange->head_sent = true;
  if (exchange->has_no_body)
    g_string_truncate(output, 0);
  size_t length = MIN(output->len, (size_t)PIECE_BYTES);
  exchange->output_complete =
      request->response_ended && request->ended_cleanly && length == output->len;
  if (length && exchange->is_chunked)
    g_string_append_printf(head, "%zx\r\n", length);
  const char *tail = exchange->is_chunked ? chunk_tail(length, exchange->output_complete) : "";
  struct iovec parts[3] = { { head->str, head->len },
                            { output->str, length },
                            { (char *)tail, strlen(tail) } };
  if (http_connection_send(connection, parts, 3) < 0)
    return CONNECTION_CLOSE;
  g_string_erase(output, 0, (gssize)length);
  if (length)
    condition_broadcast(&request->drained);
  /* a caller that reads nothing more of what is left must not keep the connection for ever */
  if (connection->pending_output && exchange->output_complete)
    http_connection_set_timeout(connection, UNREAD_RESPONSE_TIMEOUT_MS);
  return CONNECTION_KEEP;
}

/* The response in progress will never be complete. Where its end would be the connection's, that
 * must not look like a clean end, so the connection will be reset. The caller closes it. */
static void abort_response(server_connection *server) {
  const http_exchange *exchange = server->exchange;
  if (exchange->head_sent && !exchange->is_chunked) {
    struct linger reset = { .l_onoff = 1, .l_linger = 0 };
    setsockopt(server->connection.sock.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  server->listener->requests_aborted++;
}

/* The response has been sent; the next request, which may have come, is read. Whether the listener
 * drains is asked now, since it may have begun after the response's head was written. A request
 * that was read behind the response gets a response of its own. */
static int end_exchange(server_connection *server) {
  bool close = server->exchange->close_after || (server->listener->draining && !server->read_ahead);
  leave_exchange(server, false);
  if (close) {
    finish(server);
    return CONNECTION_KEEP;
  }
  http_connection_set_timeout(&server->connection, server->listener->idle_timeout_ms);
  resume_reading(server);
  if (!server->read_ahead)
    return CONNECTION_KEEP;
  GString *read_ahead = server->read_ahead;
  server->read_ahead = NULL;
  int result = parse_requests(server, read_ahead->str, read_ahead->len);
  g_string_free(read_ahead, TRUE);
  return result;
}

enum write_step { STEP_FAILED, STEP_DONE, STEP_NOTHING_TO_DO };

/* one step of what is to be written; more may follow when it is done */
static enum write_step write_step(server_connection *server) {
  if (http_connection_flush(&server->connection))
    return STEP_FAILED;
  if (server->connection.pending_output)
    return STEP_NOTHING_TO_DO;
  if (server->closing && !server->lingering) {
    finish(server);
    return STEP_NOTHING_TO_DO;
  }
  http_exchange *exchange = server->exchange;
  if (!exchange || !exchange->in_progress)
    return STEP_NOTHING_TO_DO;
  if (exchange->output_complete)
    return end_exchange(server) ? STEP_FAILED : STEP_DONE;
  http_request *request = &exchange->request;
  bool is_broken = request->response_ended && !request->ended_cleanly;
  bool all_written = exchange->head_sent && !request->pending_output->len;
  if (is_broken && (!exchange->head_sent || all_written)) {
    abort_response(server);
    return STEP_FAILED;
  }
  if (!request->response_started || (all_written && !request->response_ended))
    return STEP_NOTHING_TO_DO;
  return write_piece(server) ? STEP_FAILED : STEP_DONE;
}

/* writes what the task has made, as far as the socket takes it */
static int on_writable(http_connection *connection) {
  enum write_step step;
  do
    step = write_step((server_connection *)connection);
  while (step == STEP_DONE);
  return step == STEP_FAILED ? CONNECTION_CLOSE : CONNECTION_KEEP;
}

void http_engine_flush_request(http_engine *http, http_request *request) {
  server_connection *server = ((http_exchange *)request->impl)->server;
  if (server && list_is_empty(&server->unflushed))
    list_append(&http->unflushed_servers, &server->unflushed);
}

void http_server_flush_all(http_engine *http) {
  while (!list_is_empty(&http->unflushed_servers)) {
    server_connection *server =
        list_item(http->unflushed_servers.next, server_connection, unflushed);
    list_remove(&server->unflushed);
    if (on_writable(&server->connection))
      sock_close(&server->connection.sock);
  }
}

/* ---- the life of a connection ---- */

static int on_timeout(http_connection *connection) {
  server_connection *server = (server_connection *)connection;
  bool is_half_read = server->exchange && !server->exchange->in_progress;
  if (is_half_read && !server->closing)
    return reject_request(server, 408);
  return CONNECTION_CLOSE;
}

static void on_closed(http_connection *connection) {
  server_connection *server = (server_connection *)connection;
  server->listener->connections--;
  list_remove(&server->all);
  list_remove(&server->unflushed);
  if (server->exchange && server->exchange->in_progress)
    leave_exchange(server, true);
  else if (server->exchange)
    exchange_free(server->exchange);
  if (server->read_ahead)
    g_string_free(server->read_ahead, TRUE);
}

static const http_connection_callbacks server_callbacks = {
  .on_read = on_read,
  .on_writable = on_writable,
  .on_timeout = on_timeout,
  .on_closed = on_closed,
  .is_reading_paused = is_reading_paused,
};

static void add_server(http_engine *http, http_listener *listener, int fd,
                       const struct sockaddr_in *client_sockaddr) {
  int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  server_connection *server = g_new0(server_connection, 1);
  server->listener = listener;
  server->client_sockaddr = *client_sockaddr;
  list_init(&server->all);
  list_init(&server->unflushed);
  if (!http_connection_adopt(http, &server->connection, fd, false, &server_callbacks)) {
    g_free(server);
    return;
  }
  listener->connections++;
  list_append(&http->servers, &server->all);
  http_connection_set_timeout(&server->connection, listener->idle_timeout_ms);
}

/* ---- listeners ---- */

static void accept_all(listener_socket *socket) {
  http_connection *connection = &socket->connection;
  for (;;) {
    struct sockaddr_in client_sockaddr;
    socklen_t size = sizeof client_sockaddr;
    int fd = accept4(connection->sock.fd, (struct sockaddr *)&client_sockaddr, &size,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      add_server(connection->http, socket->listener, fd, &client_sockaddr);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN) {
      /* no descriptors are left: the socket would be reported as readable again at once */
      sock_set_reading(&connection->sock, false);
      http_connection_set_timeout(connection, ACCEPT_RETRY_MS);
    }
    return;
  }
}

static int on_listener_read(http_connection *connection, const char *bytes, size_t length) {
  (void)bytes;
  (void)length;
  accept_all((listener_socket *)connection);
  return CONNECTION_KEEP;
}

static int on_listener_writable(http_connection *connection) {
  (void)connection;
  return CONNECTION_KEEP;
}

static int on_listener_timeout(http_connection *connection) {
  sock_set_reading(&connection->sock, true);
  return CONNECTION_KEEP;
}

static void on_listener_closed(http_connection *connection) {
  ((listener_socket *)connection)->listener->impl = NULL;
}

static bool is_listener_reading_paused(const http_connection *connection) {
  (void)connection;
  return true;
}

static const http_connection_callbacks listener_callbacks = {
  .on_read = on_listener_read,
  .on_writable = on_listener_writable,
  .on_timeout = on_listener_timeout,
  .on_closed = on_listener_closed,
  .is_reading_paused = is_listener_reading_paused,
};

/* a listening socket; -1 with err set. Port 0 is replaced by the one that the kernel chose. */
static int open_listening_socket(const char *ip, int *port, error *err) {
  struct sockaddr_in sockaddr = { .sin_family = AF_INET, .sin_port = htons((uint16_t)*port) };
  if (inet_pton(AF_INET, ip, &sockaddr.sin_addr) != 1) {
    error_set(err, E_LISTEN, "%s is not an address", ip);
    return -1;
  }
  int enabled = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    error_set(err, E_LISTEN, "no socket: %s", strerror(errno));
    return -1;
  }
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd, (struct sockaddr *)&sockaddr, sizeof sockaddr) || listen(fd, LISTEN_BACKLOG)) {
    error_set(err, E_LISTEN, "can't listen on %s:%d: %s", ip, *port, strerror(errno));
    close(fd);
    return -1;
  }
  socklen_t size = sizeof sockaddr;
  if (!*port && !getsockname(fd, (struct sockaddr *)&sockaddr, &size))
    *port = ntohs(sockaddr.sin_port);
  return fd;
}

enum error_code http_engine_listener_open(http_engine *http, http_listener *listener, error *err) {
  const char *ip = listener->ip[0] ? listener->ip : "0.0.0.0";
  int fd = open_listening_socket(ip, &listener->port, err);
  if (fd < 0)
    return E_LISTEN;
  listener_socket *socket = g_new0(listener_socket, 1);
  socket->listener = listener;
  listener->world = http->world;
  /* on failure the library has closed the descriptor */
  if (!http_connection_adopt(http, &socket->connection, fd, true, &listener_callbacks)) {
    g_free(socket);
    return error_set(err, E_LISTEN, "can't watch the listening socket");
  }
  listener->impl = socket;
  return OK;
}

void http_engine_listener_stop_accepting(http_engine *http, http_listener *listener) {
  (void)http;
  listener_socket *socket = listener->impl;
  if (socket)
    sock_close(&socket->connection.sock);
}

void http_engine_listener_close_idle(http_engine *http, http_listener *listener) {
  list_for_each (server, &http->servers, server_connection, all) {
    bool in_progress = server->exchange && server->exchange->in_progress;
    if (server->listener == listener && !in_progress && !server->lingering &&
        !server->connection.pending_output)
      sock_close(&server->connection.sock);
  }
}
