#ifndef HTTP_HTTP_ENGINE_H
#define HTTP_HTTP_ENGINE_H
/**
 * The HTTP/1.1 engine of the real world: listeners (http_request.h) and pooled calls (http_call.h),
 * over sockets that libwebsockets polls (sock.h).
 *
 * It exists beside libwebsockets' own HTTP because a gateway needs more than that gives: all header
 * fields in both directions, strict framing on both sides (a message that two readers may frame in
 * different ways is refused, so that no request can be smuggled behind another), pipelined
 * requests, bounds and timeouts for each listener, and exact knowledge of what was sent before a
 * connection was lost. http-parser parses; the modules are:
 *
 *   http_connection.h  what connections have in common: output, one timer
 *   http_framing.h     checks that http-parser leaves out, and fields that come in pieces
 *   http_listener.c    listening sockets
 *   http_server.h      callers' connections
 *   http_exchange.h    requests as they are read, and their responses
 *   http_client.h      calls and pools of connections
 *
 * Everything runs in the event loop's thread. Tasks write into requests and open calls at any time;
 * http_engine_run sends what they have written.
 */
#include "world.h"

struct lws_vhost;

typedef struct http_engine http_engine;

/** Makes an engine for a world. The vhost must have the protocol of sock.h. */
http_engine *http_engine_new(world *world, struct lws_vhost *vhost);
/** Frees an engine, or NULL; the library's context must have been destroyed, and all connections
 * with it. */
void http_engine_free(http_engine *http);

/** Writes what tasks have added to responses, reads on where it was paused, and runs timers. To be
 * called after each scheduler_run. True if tasks became ready by it. */
bool http_engine_run(http_engine *http);
/** When http_engine_run has to be called again at the latest; time_never if there is no timer. */
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
