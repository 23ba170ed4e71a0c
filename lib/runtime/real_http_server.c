/** HTTP requests to the process's own port: see real_http_server.h. */
#include "real_http_server.h"
#include "connection_owner.h"
#include "lws_fields.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  /* maximum size of the head and of one write of a body */
  PIECE_BYTES = 16 * 1024,
  /* maximum size of the framing of a piece: its length in hexadecimal, line ends, and the last
   * chunk */
  CHUNK_FRAMING_BYTES = 64,
  /* maximum time between two parts of a request body */
  BODY_TIMEOUT_S = 10
};
enum write_result { WRITE_FAILED = -1, WRITE_UNFINISHED = 0, WRITE_FINISHED = 1 };

/** A request and its response. */
typedef struct exchange {
  connection_owner owner;
  world *world;
  http_request *request;
  /** task_started: the task was started. task_over: it has ended, or none will be started. */
  bool task_started, task_over;
  bool head_sent;
  /** The response is sent with Content-Length, not in chunks. */
  bool has_length;
} exchange;

static void exchange_free(exchange *exchange) {
  http_request_free(exchange->request);
  g_free(exchange);
}

static void serve_run(void *context) {
  exchange *exchange = context;
  http_request *request = exchange->request;
  exchange->world->serve(exchange->world->serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  exchange->task_over = true;
  if (!exchange->owner.wsi)
    exchange_free(exchange);
}

static void start_serving(exchange *exchange) {
  exchange->task_started = true;
  task_start(&exchange->world->tasks, "serve", serve_run, exchange);
}

/* Detaches the exchange from its connection, and frees it if its task is over. */
static void detach_exchange(exchange *exchange) {
  if (!exchange->task_started)
    exchange->task_over = true;
  connection_owner_detach(&exchange->owner);
  exchange->request->client_gone = true;
  condition_broadcast(&exchange->request->output_progressed);
  if (exchange->task_over)
    exchange_free(exchange);
}

static void connection_destroyed(connection_owner *owner) {
  detach_exchange((exchange *)owner);
}

/* Detaches the connection's current exchange. *user is cleared first, because the library frees the
 * memory that user points to together with the request. */
static void detach_current_exchange(exchange **user) {
  exchange *current = *user;
  *user = NULL;
  if (current)
    detach_exchange(current);
}

void real_http_server_flush(http_request *request) {
  exchange *exchange = request->impl;
  if (exchange && exchange->owner.wsi)
    lws_callback_on_writable(connection_owner_wsi(&exchange->owner));
}

static const struct {
  enum lws_token_indexes token;
  const char *name;
} methods[] = { { WSI_TOKEN_GET_URI, "GET" },       { WSI_TOKEN_POST_URI, "POST" },
                { WSI_TOKEN_PUT_URI, "PUT" },       { WSI_TOKEN_PATCH_URI, "PATCH" },
                { WSI_TOKEN_DELETE_URI, "DELETE" }, { WSI_TOKEN_HEAD_URI, "HEAD" } };

/* The library stores the path in a header token that depends on the method. */
static void read_method_and_path(struct lws *wsi, http_request *request) {
  for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
    request->path = lws_field_dup(wsi, methods[i].token);
    if (request->path) {
      request->method = g_strdup(methods[i].name);
      return;
    }
  }
  request->path = g_strdup("/");
  request->method = g_strdup("?");
}

static char *read_query(struct lws *wsi) {
  GString *query = g_string_new(NULL);
  char argument[512];
  for (int i = 0;
       lws_hdr_copy_fragment(wsi, argument, sizeof argument, WSI_TOKEN_HTTP_URI_ARGS, i) > 0; i++)
    g_string_append_printf(query, "%s%s", query->len ? "&" : "", argument);
  return g_string_free(query, FALSE);
}

static void read_known_fields(struct lws *wsi, http_headers *fields) {
  fields->values[HEADER_CONTENT_TYPE] = lws_field_dup(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
  fields->values[HEADER_IF_MATCH] = lws_field_dup(wsi, WSI_TOKEN_HTTP_IF_MATCH);
  for (enum http_header i = HEADER_IDEMPOTENCY_KEY; i < HEADER_COUNT; i++)
    if (i != HEADER_RETRY_AFTER)
      fields->values[i] = lws_custom_field_dup(wsi, i);
}

static size_t read_content_length(struct lws *wsi) {
  char *text = lws_field_dup(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  size_t length = text ? strtoull(text, NULL, 10) : 0;
  g_free(text);
  return length;
}

static bool has_transfer_encoding(struct lws *wsi) {
  return lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
}

static exchange *new_exchange(world *world, struct lws *wsi) {
  http_request *request = g_new0(http_request, 1);
  exchange *created = g_new0(exchange, 1);
  request->world = world;
  request->body = g_string_new(NULL);
  request->pending_output = g_string_new(NULL);
  request->impl = created;
  condition_init(&request->output_progressed);
  created->world = world;
  created->request = request;
  created->owner.on_destroyed = connection_destroyed;
  connection_owner_attach(&created->owner, wsi);
  return created;
}

static void respond_without_task(exchange *exchange, int status, const char *body) {
  exchange->task_over = true;
  http_request_respond(exchange->request, status, "application/json", string_view_of(body));
}

/* Handles a request head. Chunked bodies are refused, because the library does not report where
 * they end. */
static void on_head(world *world, struct lws *wsi, exchange **user) {
  exchange *exchange = new_exchange(world, wsi);
  http_request *request = exchange->request;
  *user = exchange;
  read_method_and_path(wsi, request);
  request->query = read_query(wsi);
  lws_get_peer_simple(wsi, request->client_address, sizeof request->client_address);
  read_known_fields(wsi, &request->known_fields);
  size_t length = read_content_length(wsi);
  request->too_large = length > world->body_max_bytes;
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  if (has_transfer_encoding(wsi) && !length)
    respond_without_task(exchange, 411,
                         "{\"code\":302,\"error\":\"a length is needed, not chunks\"}");
  else if (request->too_large || world->tasks.stopped)
    respond_without_task(exchange, 413, "{\"code\":301,\"error\":\"body too large\"}");
  else if (!length)
    start_serving(exchange);
  else
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, BODY_TIMEOUT_S);
}

static int on_body(const exchange *exchange, const char *bytes, size_t length) {
  http_request *request = exchange->request;
  if (request->too_large)
    return CONNECTION_KEEP;
  if (request->body->len + length > exchange->world->body_max_bytes)
    return CONNECTION_CLOSE;
  g_string_append_len(request->body, bytes, (gssize)length);
  return CONNECTION_KEEP;
}

static void on_body_complete(exchange *exchange, struct lws *wsi) {
  if (exchange->request->too_large)
    return;
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  start_serving(exchange);
}

static bool add_token(struct lws *wsi, enum lws_token_indexes token, const char *value,
                      unsigned char **cursor, unsigned char *end) {
  return !lws_add_http_header_by_token(wsi, token, (const unsigned char *)value, (int)strlen(value),
                                       cursor, end);
}

static enum write_result write_head(exchange *exchange) {
  http_request *request = exchange->request;
  struct lws *wsi = exchange->owner.wsi;
  unsigned char buffer[LWS_PRE + PIECE_BYTES];
  unsigned char *cursor = buffer + LWS_PRE, *end = buffer + sizeof buffer;
  exchange->head_sent = true;
  exchange->has_length = request->response_ended && request->ended_cleanly;
  if (lws_add_http_header_status(wsi, (unsigned)request->status, &cursor, end))
    return WRITE_FAILED;
  if (!lws_fields_append(wsi, &request->known_response_fields, &cursor, end))
    return WRITE_FAILED;
  if (request->too_large && !add_token(wsi, WSI_TOKEN_CONNECTION, "close", &cursor, end))
    return WRITE_FAILED;
  if (exchange->has_length) {
    if (lws_add_http_header_content_length(wsi, request->pending_output->len, &cursor, end))
      return WRITE_FAILED;
  } else if (!add_token(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING, "chunked", &cursor, end))
    return WRITE_FAILED;
  if (lws_finalize_write_http_header(wsi, buffer + LWS_PRE, &cursor, end))
    return WRITE_FAILED;
  lws_callback_on_writable(wsi);
  return WRITE_UNFINISHED;
}

/* Moves length bytes of the output to `cursor`. If the response is chunked, frames them as a chunk
 * and adds the last chunk after the last piece. Returns the number of bytes written to `cursor`. */
static size_t take_piece(exchange *exchange, size_t length, bool is_last, unsigned char *cursor) {
  GString *output = exchange->request->pending_output;
  unsigned char *start = cursor;
  bool chunked = !exchange->has_length;
  if (length && chunked)
    cursor += sprintf((char *)cursor, "%zx\r\n", length);
  memcpy(cursor, output->str, length);
  cursor += length;
  g_string_erase(output, 0, (gssize)length);
  if (length && chunked)
    cursor = (unsigned char *)g_stpcpy((char *)cursor, "\r\n");
  if (is_last && chunked)
    cursor = (unsigned char *)g_stpcpy((char *)cursor, "0\r\n\r\n");
  return (size_t)(cursor - start);
}

/* Writes at most once, since the library allows one write per callback. */
static enum write_result write_piece(exchange *exchange) {
  http_request *request = exchange->request;
  struct lws *wsi = exchange->owner.wsi;
  unsigned char buffer[LWS_PRE + PIECE_BYTES + CHUNK_FRAMING_BYTES];
  size_t length = MIN(request->pending_output->len, (size_t)PIECE_BYTES);
  bool is_last = request->response_ended && length == request->pending_output->len;
  if (!length && !is_last)
    return WRITE_UNFINISHED;
  if (is_last && !request->ended_cleanly && !length)
    return WRITE_FAILED;
  is_last = is_last && request->ended_cleanly;
  size_t size = take_piece(exchange, length, is_last, buffer + LWS_PRE);
  enum lws_write_protocol kind = is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (size && lws_write(wsi, buffer + LWS_PRE, size, kind) < 0)
    return WRITE_FAILED;
  condition_broadcast(&request->output_progressed);
  if (is_last)
    return WRITE_FINISHED;
  if (request->pending_output->len || request->response_ended)
    lws_callback_on_writable(wsi);
  return WRITE_UNFINISHED;
}

static enum write_result write_response(exchange *exchange) {
  const http_request *request = exchange->request;
  if (!request->response_started)
    return request->response_ended && !request->ended_cleanly ? WRITE_FAILED : WRITE_UNFINISHED;
  return exchange->head_sent ? write_piece(exchange) : write_head(exchange);
}

static int on_writable(exchange **user, struct lws *wsi) {
  switch (write_response(*user)) {
  case WRITE_FAILED:
    return CONNECTION_CLOSE;
  case WRITE_UNFINISHED:
    return CONNECTION_KEEP;
  default:
    break;
  }
  /* the rest of a too large request body is not read */
  bool close = (*user)->request->too_large;
  detach_current_exchange(user);
  return close || lws_http_transaction_completed(wsi) ? CONNECTION_CLOSE : CONNECTION_KEEP;
}

int real_http_server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                              void *in, size_t length) {
  exchange **current = user;
  switch (reason) {
  case LWS_CALLBACK_WSI_DESTROY:
    /* called for connections of all protocols, because this is the vhost's first protocol */
    connection_owner_destroyed(wsi);
    return CONNECTION_KEEP;
  case LWS_CALLBACK_HTTP:
    detach_current_exchange(current);
    on_head(lws_context_user(lws_get_context(wsi)), wsi, current);
    return CONNECTION_KEEP;
  case LWS_CALLBACK_HTTP_BODY:
    return *current ? on_body(*current, in, length) : CONNECTION_KEEP;
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    if (*current)
      on_body_complete(*current, wsi);
    return CONNECTION_KEEP;
  case LWS_CALLBACK_HTTP_WRITEABLE:
    return *current ? on_writable(current, wsi) : CONNECTION_KEEP;
  case LWS_CALLBACK_CLOSED_HTTP:
    if (current)
      detach_current_exchange(current);
    return CONNECTION_KEEP;
  default:
    return lws_callback_http_dummy(wsi, reason, user, in, length);
  }
}
