#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H
/**
 * Server of the HTTP engine: the connections of clients.
 *
 * A connection reads one request at a time (an exchange). When the request is complete, a task
 * serves it. What the client sends meanwhile (pipelined requests) is buffered, up to a limit above
 * which reading is paused. The task writes into the request's pending_output and marks the
 * connection as unflushed; the engine writes the output once per turn of the event loop. When the
 * response has been sent, the next request is parsed, so responses are in the order of requests.
 *
 * How a connection ends:
 * - After a response with "Connection: close", or after the engine itself rejected a request (4xx),
 *   the sending side is shut down, and the connection lingers until the client has closed it; what
 *   it still receives is discarded. Closing a socket with unread bytes would reset the connection,
 *   which may destroy a response in transit.
 * - A streamed response that can't be completed must not look complete. A chunked one lacks the
 *   last chunk; one that ends with the connection (HTTP/1.0) is ended by a reset.
 * - While the listener drains, a connection ends after the response in progress.
 *
 * The connection and the task share an exchange and end in either order. The last one frees it.
 */
#include "http_engine.h"

struct sockaddr_in;

/** Takes over a connection that a listener has accepted. */
void http_server_add(http_engine *http, http_listener *listener, int fd,
                     const struct sockaddr_in *client_sockaddr);
/** Writes what tasks have added to responses since the last call. */
void http_server_flush_all(http_engine *http);
#endif
