#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H
#include "world.h"

struct lws_vhost;
/** HTTP/1.1 with whole header fields, for listeners and kept calls, over raw sockets of
 * libwebsockets.
 */
typedef struct http_engine http_engine;
/** Makes it for a world; the vhost must have the protocol of sock.h. */
http_engine *http_engine_new(world *world, struct lws_vhost *vhost);
/** Frees it; the library's context must be gone, and all connections with it. */
void http_engine_free(http_engine *http);
/** Writes what tasks have said since, and runs timers; to be called after scheduler_run. True when
 * tasks became ready by it. */
bool http_engine_run(http_engine *http);
/** When http_engine_run has to run again at the latest. */
time_us http_engine_next_deadline(const http_engine *http);
int http_engine_listener_open(http_engine *http, http_listener *listener, error *err);
void http_engine_listener_stop_accepting(http_engine *http, http_listener *listener);
void http_engine_listener_close_idle(http_engine *http, http_listener *listener);
void http_engine_pool_close_idle(http_engine *http, const char *addr);
void http_engine_flush_request(http_engine *http, http_request *request);
void http_engine_start_call(http_engine *http, http_call *call);
void http_engine_cancel_call(http_engine *http, http_call *call);
#endif
