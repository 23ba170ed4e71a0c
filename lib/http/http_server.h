#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H
/**
 * Callers' connections of the HTTP engine.
 *
 * A connection reads one request at a time (an exchange). When the request has come in full, a task
 * serves it; what the caller sends meanwhile (pipelined requests) is kept, up to a bound beyond
 * which the connection is not read. The task writes into the request's pending_output and marks the
 * connection as unflushed; the engine writes it once a turn. When the response has been sent, the
 * next request is parsed. So responses are in the order of requests.
 *
 * Ends of a connection:
 * - After a response with "Connection: close", or of a caller that is refused (4xx by the engine
 *   itself), the sending side is shut down and the connection lingers, unread, until the caller has
 *   closed it: a socket that is closed with unread bytes resets the connection, which may destroy a
 *   response on its way.
 * - A streamed response that can't be completed must not look complete. One in chunks lacks its
 * last chunk; one that ends with the connection (HTTP/1.0) is ended by a reset.
 * - When the listener drains, a connection ends after the response in progress.
 *
 * Two sides share an exchange and end in either order: the connection, and the task. Whoever ends
 * last frees it.
 */
#include "http_engine.h"

struct sockaddr_in;

/** Takes over a connection that a listener has accepted. */
void http_server_add(http_engine *http, http_listener *listener, int fd,
                     const struct sockaddr_in *client_sockaddr);
/** Writes what tasks have added to responses since the last call. */
void http_server_flush_all(http_engine *http);
#endif
