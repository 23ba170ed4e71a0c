#ifndef HTTP_HTTP_ENGINE_H
#define HTTP_HTTP_ENGINE_H
/**
 * The HTTP/1.1 engine of the real world: listeners (http_request.h) and pooled calls (http_call.h),
 * over sockets that libwebsockets polls (sock.h).
 *
 * It exists beside the HTTP of libwebsockets because a gateway needs more: all header fields in
 * both directions, strict framing on both sides (a message whose framing is ambiguous is rejected,
 * to prevent request smuggling), pipelined requests, limits and timeouts for each listener, and
 * exact knowledge of what was sent before a connection was lost. http-parser does the parsing. The
 * modules are:
 *
 *   http_connection.h  the common part of all connections: output, one timer
 *   http_framing.h     framing checks that http-parser lacks, and fields that arrive in pieces
 *   http_listener.c    listening sockets
 *   http_server.h      server connections
 *   http_exchange.h    a request that is being read, and its response
 *   http_client.h      calls and connection pools
 *
 * Everything runs in the event loop's thread. Tasks may write into requests and open calls at any
 * time; http_engine_run sends what they have written.
 */
#include "world.h"

struct lws_vhost;

typedef struct http_engine http_engine;

/** Creates an engine for a world. The vhost must have the protocol of sock.h. */
http_engine *http_engine_new(world *world, struct lws_vhost *vhost);
/** Frees an engine, or NULL. The context of libwebsockets, and so all connections, must have been
 * destroyed before. */
void http_engine_free(http_engine *http);

/** Writes what tasks have added to responses, resumes paused reading, and runs timers. Must be
 * called after each scheduler_run. True if tasks became ready. */
bool http_engine_run(http_engine *http);
/** The latest time at which http_engine_run must be called again; time_never if there is no timer.
 */
time_us http_engine_next_deadline(const http_engine *http);

/** The functions of struct world that the engine implements: see world.h. */
enum error_code http_engine_listener_open(http_engine *http, http_listener *listener, error *err);
void http_engine_listener_stop_accepting(http_engine *http, http_listener *listener);
void http_engine_listener_close_idle(http_engine *http, http_listener *listener);
void http_engine_flush_request(http_engine *http, http_request *request);
void http_engine_pool_close_idle(http_engine *http, const char *address);
void http_engine_start_call(http_engine *http, http_call *call);
void http_engine_cancel_call(http_engine *http, http_call *call);
#endif
