#ifndef HTTP_HTTP_EXCHANGE_H
#define HTTP_HTTP_EXCHANGE_H
/**
 * An exchange of the HTTP engine's server: a request and its response. This module reads the
 * request; http_server.c, which owns the exchange, does the rest.
 *
 * A request is rejected if its framing, its target or its fields are ambiguous (400), or if it
 * exceeds the listener's limits (413 for the body, 431 for the head).
 */
#include "http_engine.h"
#include "http_framing.h"
#include <netinet/in.h>

struct server_connection;

/** A request and its response. */
typedef struct http_exchange {
  /** Must be the first member, so that http_request_free frees the exchange. */
  http_request request;
  /** The connection; NULL once it is done with the exchange. */
  struct server_connection *server;

  /** Reading: written by http_exchange.c. */
  http_parser parser;
  /** The request target, until the head has been read. */
  GString *url;
  head_scan scan;
  chunk_check chunk;
  field_reader field_reader;
  size_t head_bytes;
  time_us first_byte_at;
  bool head_read, expects_continue;
  /** The status with which the request is rejected; 0: it is not rejected. */
  int rejection_status;

  /** Serving and writing: written by http_server.c. in_progress: the request was read in full and
   * passed to a task; served: that task has finished. */
  bool in_progress, served;

  /** How the response is framed, decided with its head. */
  bool head_sent, is_chunked, has_no_body, close_after;
  /** The whole response was written, or is pending output. */
  bool output_complete;
} http_exchange;

/** Creates an exchange when the first byte of a request has arrived. request_number is the
 * request's number on its connection. */
http_exchange *http_exchange_new(http_listener *listener, unsigned request_number,
                                 const struct sockaddr_in *client_sockaddr);
/** Frees it, with its request. */
void http_exchange_free(http_exchange *exchange);
/** Parses bytes up to the end of the request. Returns 0, or the HTTP status with which the request
 * is rejected. *used is the number of bytes that were parsed, and *ended tells whether the request
 * ends with them. */
int http_exchange_parse(http_exchange *exchange, const char *bytes, size_t length, size_t *used,
                        bool *ended);
#endif
