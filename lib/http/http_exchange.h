#ifndef HTTP_HTTP_EXCHANGE_H
#define HTTP_HTTP_EXCHANGE_H
/**
 * Exchanges of the HTTP engine's server: a request that is being read, served and answered. This
 * module reads it; http_server.c, which owns it, does the rest.
 *
 * A request is refused if its framing, its target or its fields may be read in more than one way
 * (400), or if it is larger than the listener's bounds (413 for the body, 431 for the head).
 */
#include "http_engine.h"
#include "http_framing.h"
#include <netinet/in.h>

struct server_connection;

/** A request and its response. */
typedef struct http_exchange {
  /** First, so that http_request_free frees the exchange. */
  http_request request;
  /** The connection, which sets it; NULL once that is done with the exchange. */
  struct server_connection *server;

  /** Reading: written by http_exchange.c. */
  http_parser parser;
  /** The target, until the head has been read. */
  GString *url;
  head_scan scan;
  chunk_check chunk;
  field_reader field_reader;
  size_t head_bytes;
  time_us first_byte_at;
  bool head_read, expects_continue;
  /** The status with which it is refused; 0: it isn't. */
  int fault_status;

  /** Serving and writing: written by http_server.c. It was read in full and handed to its task; the
   * task is over. */
  bool in_progress, served;

  /** How the response is framed, decided with its head. */
  bool head_sent, is_chunked, has_no_body, close_after;
  /** All of it was written, or is pending output. */
  bool output_complete;
} http_exchange;

/** Makes an exchange for a request of which the first byte has come. request_number is its number
 * on its connection. */
http_exchange *http_exchange_new(http_listener *listener, unsigned request_number,
                                 const struct sockaddr_in *client_sockaddr);
/** Frees it, with its request. */
void http_exchange_free(http_exchange *exchange);
/** Parses bytes up to the end of the request. Returns 0, or the HTTP status with which the request
 * is refused. *used tells how many bytes were parsed, and *ended whether the request ends with
 * them. */
int http_exchange_parse(http_exchange *exchange, const char *bytes, size_t length, size_t *used,
                        bool *ended);
#endif
