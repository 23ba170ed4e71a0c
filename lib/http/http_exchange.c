/** Exchanges of the HTTP engine's server: see http_exchange.h. */
#include "http_exchange.h"
#include <arpa/inet.h>
#include <stdio.h>

enum { URL_BYTES = 64, FIELDS_BYTES = 256 };

static void format_client_address(const struct sockaddr_in *sockaddr, char *to, size_t size) {
  uint32_t ip = ntohl(sockaddr->sin_addr.s_addr);
  snprintf(to, size, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
           ntohs(sockaddr->sin_port));
}

http_exchange *http_exchange_new(http_listener *listener, unsigned request_number,
                                 const struct sockaddr_in *client_sockaddr) {
  world *world = listener->world;
  http_exchange *exchange = g_new0(http_exchange, 1);
  exchange->first_byte_at = world_now(world);
  exchange->url = g_string_sized_new(URL_BYTES);
  http_request *request = &exchange->request;
  request->world = world;
  request->listener = listener;
  request->connection_request_number = request_number;
  request->body = g_string_new(NULL);
  request->pending_output = g_string_new(NULL);
  request->fields = g_string_sized_new(FIELDS_BYTES);
  request->response_fields = g_string_new(NULL);
  request->impl = exchange;
  condition_init(&request->output_progressed);
  format_client_address(client_sockaddr, request->client_address, sizeof request->client_address);
  http_parser_init(&exchange->parser, HTTP_REQUEST);
  exchange->parser.data = exchange;
  return exchange;
}

void http_exchange_free(http_exchange *exchange) {
  if (exchange->url)
    g_string_free(exchange->url, TRUE);
  http_request_free(&exchange->request);
}

/* ---- http-parser's callbacks ---- */

static size_t body_max_bytes(const http_request *request) {
  size_t bound = request->listener->body_max_bytes;
  return bound ? bound : request->world->body_max_bytes;
}

static int reject_with_status(http_exchange *exchange, int status) {
  exchange->rejection_status = status;
  return -1;
}

static int on_url(http_parser *parser, const char *bytes, size_t length) {
  http_exchange *exchange = parser->data;
  g_string_append_len(exchange->url, bytes, (gssize)length);
  return 0;
}

/* Trailers (fields after the body) are dropped. */
static int on_field_name(http_parser *parser, const char *bytes, size_t length) {
  http_exchange *exchange = parser->data;
  if (!exchange->head_read)
    field_reader_add_name(&exchange->field_reader, exchange->request.fields, bytes, length);
  return 0;
}

static int on_field_value(http_parser *parser, const char *bytes, size_t length) {
  http_exchange *exchange = parser->data;
  if (!exchange->head_read)
    field_reader_add_value(&exchange->field_reader, exchange->request.fields, bytes, length);
  return 0;
}

/* The host of an authority, in lower case and without the port; the caller frees it. */
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

/* Stores the value of a known field. If a field is repeated, the first value counts. */
static void store_known_field(http_headers *known, string_view name, string_view value) {
  for (int i = 0; i < HEADER_COUNT; i++)
    if (!known->values[i] && equals_ignoring_case(name, http_header_names[i])) {
      known->values[i] = g_strndup(value.data, value.length);
      return;
    }
}

/* False unless there is exactly one Host, which HTTP/1.0 may leave out. */
static bool read_fields(http_exchange *exchange, const http_parser *parser) {
  http_request *request = &exchange->request;
  size_t position = 0;
  string_view name, value;
  int hosts = 0;
  while (fields_next(request->fields, &position, &name, &value)) {
    if (equals_ignoring_case(name, "host")) {
      if (!hosts++)
        request->host = host_of(value);
    } else if (equals_ignoring_case(name, "expect"))
      exchange->expects_continue = equals_ignoring_case(value, "100-continue");
    else
      store_known_field(&request->known_fields, name, value);
  }
  bool is_http_1_1 = parser->http_major == 1 && parser->http_minor >= 1;
  return hosts == 1 || (!hosts && !is_http_1_1);
}

/* http-parser accepts tabs and form feeds, at which other parsers may split the line. */
static bool target_is_valid(const char *target) {
  for (const unsigned char *c = (const unsigned char *)target; *c; c++)
    if (*c <= ' ' || *c == 127 || *c == '#')
      return false;
  return true;
}

/* Returns the path of a target. If the target has a scheme, its host replaces that of the Host
 * field. NULL if the target is neither a path nor has a scheme. */
static const char *split_target(http_request *request, const char *target) {
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
    path = split_target(&exchange->request, url);
  if (path)
    set_target(&exchange->request, path);
  g_free(url);
  return path != NULL;
}

static int on_head(http_parser *parser) {
  http_exchange *exchange = parser->data;
  http_request *request = &exchange->request;
  field_reader_end(&exchange->field_reader, request->fields);
  exchange->head_read = true;
  parser->upgrade = 0;
  request->method = g_strdup(http_method_str(parser->method));
  if (parser->http_major != 1 || parser->method == HTTP_CONNECT ||
      !field_names_are_valid(request->fields) || !read_fields(exchange, parser) ||
      !read_target(exchange))
    return reject_with_status(exchange, 400);
  if (!request->host)
    request->host = g_strdup("");
  request->close_connection = !http_should_keep_alive(parser);
  bool has_length = parser->content_length != UINT64_MAX;
  if (has_length && parser->content_length > body_max_bytes(&exchange->request))
    return reject_with_status(exchange, 413);
  if (parser->http_minor == 0)
    exchange->expects_continue = false;
  return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
  http_exchange *exchange = parser->data;
  GString *body = exchange->request.body;
  if (!chunk_check_data(&exchange->chunk, parser, bytes, length))
    return reject_with_status(exchange, 400);
  if (body->len + length > body_max_bytes(&exchange->request))
    return reject_with_status(exchange, 413);
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

/* The number of bytes that may be parsed at once: while the head is read, up to its limit. */
static size_t parsable_bytes(const http_exchange *exchange, size_t length) {
  size_t head_max = exchange->request.listener->header_max_bytes;
  if (!head_max)
    head_max = HEAD_MAX_BYTES;
  if (exchange->head_read || exchange->head_bytes + length <= head_max)
    return length;
  return head_max > exchange->head_bytes ? head_max - exchange->head_bytes : 0;
}

int http_exchange_parse(http_exchange *exchange, const char *bytes, size_t length, size_t *used,
                        bool *ended) {
  size_t parsable = parsable_bytes(exchange, length);
  *used = 0;
  *ended = false;
  if (!parsable)
    return 431;
  bool had_head = exchange->head_read;
  exchange->chunk.position = bytes;
  *used = http_parser_execute(&exchange->parser, &parser_settings, bytes, parsable);
  if (!had_head)
    exchange->head_bytes += *used;
  enum http_errno error_number = HTTP_PARSER_ERRNO(&exchange->parser);
  if (exchange->rejection_status)
    return exchange->rejection_status;
  if (head_scan_finds_folding(&exchange->scan, bytes, *used) ||
      !chunk_check_line_end(&exchange->chunk, bytes + *used))
    return 400;
  if (error_number == HPE_PAUSED) {
    *ended = true;
    return 0;
  }
  return error_number == HPE_OK && *used == parsable ? 0 : 400;
}
