/** Server of the HTTP engine: see http_server.h. */
#include "http_server.h"
#include "http_connection.h"
#include "http_engine_state.h"
#include "http_exchange.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>

enum {
  /* reading is paused while more pipelined bytes than this are buffered */
  READ_AHEAD_MAX_BYTES = 16 * 1024,
  /* a response is written in pieces of at most this size */
  PIECE_BYTES = 64 * 1024,
  /* how long a connection that was shut down waits for the client to close it */
  LINGER_MS = 1000,
  /* how long a client may leave the rest of a finished response unread */
  UNREAD_RESPONSE_TIMEOUT_MS = 30000,
  /* a body that keeps arriving may take this many times the listener's header_timeout_ms */
  BODY_TIMEOUT_FACTOR = 10
};

/** A connection of a client. */
typedef struct server_connection {
  http_connection connection;
  http_listener *listener;
  /** List nodes for http->servers and http->unflushed_servers. */
  list_node all, unflushed;
  /** The request that is being read or served; NULL between requests. */
  http_exchange *exchange;
  /** Bytes that follow the current request; NULL: none. */
  GString *read_ahead;
  struct sockaddr_in client_sockaddr;
  unsigned request_count;
  bool reading_paused;
  /** closing: no more requests are accepted; lingering: everything has been written, and the
   * sending side is shut down. */
  bool closing, lingering;
} server_connection;

/* ---- exchanges ---- */

static void begin_exchange(server_connection *server) {
  server->exchange =
      http_exchange_new(server->listener, ++server->request_count, &server->client_sockaddr);
  server->exchange->server = server;
}

/* Detaches the connection from an exchange in progress, because its response was sent or the client
 * is gone. */
static void detach_exchange(server_connection *server, bool client_gone) {
  http_exchange *exchange = server->exchange;
  http_request *request = &exchange->request;
  server->listener->pending_exchanges--;
  server->exchange = NULL;
  exchange->server = NULL;
  if (client_gone) {
    request->client_gone = true;
    condition_broadcast(&request->output_progressed);
    if (request->client_gone_condition)
      condition_broadcast(request->client_gone_condition);
  }
  if (exchange->served)
    http_exchange_free(exchange);
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
    http_exchange_free(exchange);
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

/* ---- ending a connection ---- */

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

/* Accepts no more requests, and lingers once everything has been written. */
static void begin_graceful_close(server_connection *server) {
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

/* Rejects a request that was not read in full, and finishes the connection, since it is not known
 * where the next request begins. */
static int reject_request(server_connection *server, int status) {
  if (server->exchange) {
    http_exchange_free(server->exchange);
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
  begin_graceful_close(server);
  return CONNECTION_KEEP;
}

/* ---- reading ---- */

static void buffer_read_ahead(server_connection *server, const char *bytes, size_t length) {
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

/* The head must arrive in full within the listener's timeout. Each piece of the body restarts the
 * timeout, up to a multiple of it in total. */
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

/* Called when all bytes were parsed and the request is not complete. */
static int wait_for_more(server_connection *server) {
  const http_exchange *exchange = server->exchange;
  if (!exchange)
    return CONNECTION_KEEP;
  if (exchange->head_read && exchange->expects_continue && send_continue(server))
    return CONNECTION_CLOSE;
  set_request_deadline(server);
  return CONNECTION_KEEP;
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
    int rejection_status = http_exchange_parse(server->exchange, bytes, length, &used, &ended);
    if (rejection_status)
      return reject_request(server, rejection_status);
    bytes += used;
    length -= used;
    if (ended) {
      buffer_read_ahead(server, bytes, length);
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
    buffer_read_ahead(server, bytes, length);
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

/* A response that is complete when its head is written has a Content-Length. Others are chunked, or
 * end with the connection if the client speaks HTTP/1.0. */
static void write_head(http_exchange *exchange, GString *head) {
  http_request *request = &exchange->request;
  const server_connection *server = exchange->server;
  bool is_http_1_0 = exchange->parser.http_minor == 0;
  bool is_complete = request->response_ended && request->ended_cleanly;
  bool status_has_no_body = request->status == 204 || request->status == 304;
  exchange->has_no_body = status_has_no_body || exchange->parser.method == HTTP_HEAD;
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
  /* a response to HEAD has a Content-Length if its body was generated */
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

/* What follows a piece of a chunked body. */
static const char *chunk_tail(size_t length, bool is_last) {
  if (!is_last)
    return length ? "\r\n" : "";
  return length ? "\r\n0\r\n\r\n" : "0\r\n\r\n";
}

/* Writes the head, if it was not sent yet, and a piece of the body. */
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
    condition_broadcast(&request->output_progressed);
  /* a client that stops reading the rest must not hold the connection forever */
  if (connection->pending_output && exchange->output_complete)
    http_connection_set_timeout(connection, UNREAD_RESPONSE_TIMEOUT_MS);
  return CONNECTION_KEEP;
}

/* Gives up a response that can't be completed. If the end of the connection marks the end of the
 * response, the connection is set to be reset, so that the response does not look complete. The
 * calling function closes the connection. */
static void abort_response(server_connection *server) {
  const http_exchange *exchange = server->exchange;
  if (exchange->head_sent && !exchange->is_chunked) {
    struct linger reset = { .l_onoff = 1, .l_linger = 0 };
    setsockopt(server->connection.sock.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  server->listener->requests_aborted++;
}

/* Ends an exchange whose response has been sent, and reads the next request, which may have been
 * received already. The drain state of the listener is checked here, since the drain may have begun
 * after the response's head was written. A pipelined request that was already received is still
 * answered. */
static int end_exchange(server_connection *server) {
  bool close = server->exchange->close_after || (server->listener->draining && !server->read_ahead);
  detach_exchange(server, false);
  if (close) {
    begin_graceful_close(server);
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

enum write_step { WRITE_STEP_FAILED, WRITE_STEP_DONE, WRITE_STEP_NOTHING_TO_DO };

/* Performs one step of writing. After WRITE_STEP_DONE another one may follow. */
static enum write_step write_step(server_connection *server) {
  if (http_connection_flush(&server->connection))
    return WRITE_STEP_FAILED;
  if (server->connection.pending_output)
    return WRITE_STEP_NOTHING_TO_DO;
  if (server->closing && !server->lingering) {
    begin_graceful_close(server);
    return WRITE_STEP_NOTHING_TO_DO;
  }
  http_exchange *exchange = server->exchange;
  if (!exchange || !exchange->in_progress)
    return WRITE_STEP_NOTHING_TO_DO;
  if (exchange->output_complete)
    return end_exchange(server) ? WRITE_STEP_FAILED : WRITE_STEP_DONE;
  http_request *request = &exchange->request;
  bool is_broken = request->response_ended && !request->ended_cleanly;
  bool all_written = exchange->head_sent && !request->pending_output->len;
  if (is_broken && (!exchange->head_sent || all_written)) {
    abort_response(server);
    return WRITE_STEP_FAILED;
  }
  if (!request->response_started || (all_written && !request->response_ended))
    return WRITE_STEP_NOTHING_TO_DO;
  return write_piece(server) ? WRITE_STEP_FAILED : WRITE_STEP_DONE;
}

/* Writes the output of the task, as far as the socket accepts it. */
static int on_writable(http_connection *connection) {
  enum write_step step;
  do
    step = write_step((server_connection *)connection);
  while (step == WRITE_STEP_DONE);
  return step == WRITE_STEP_FAILED ? CONNECTION_CLOSE : CONNECTION_KEEP;
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

/* ---- lifetime of a connection ---- */

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
    detach_exchange(server, true);
  else if (server->exchange)
    http_exchange_free(server->exchange);
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

void http_server_add(http_engine *http, http_listener *listener, int fd,
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

void http_engine_listener_close_idle(http_engine *http, http_listener *listener) {
  list_for_each (server, &http->servers, server_connection, all) {
    bool in_progress = server->exchange && server->exchange->in_progress;
    if (server->listener == listener && !in_progress && !server->lingering &&
        !server->connection.pending_output)
      sock_close(&server->connection.sock);
  }
}
