#ifndef RUNTIME_REAL_HTTP_SERVER_H
#define RUNTIME_REAL_HTTP_SERVER_H
/**
 * HTTP requests to the process's own port, in the real world, based on libwebsockets.
 *
 * The library calls back for the head, each part of the body, the end of the body, and when the
 * connection is writable. A complete request starts a task that runs world.serve. The task writes
 * to the request's pending_output, which is sent in pieces while the connection is writable. A
 * response that is complete when its head is written is sent with Content-Length, others in chunks.
 *
 * The task and the connection, which the library may destroy at any time, share an exchange and end
 * in either order. The one that ends last frees it.
 */
#include "world.h"
#include <libwebsockets.h>

/** The libwebsockets callback for the protocol "http", the first of the vhost. The context's user
 * pointer is the world. The library stores one pointer per request (REAL_HTTP_SERVER_USER_BYTES).
 */
int real_http_server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                              void *in, size_t length);
enum { REAL_HTTP_SERVER_USER_BYTES = sizeof(void *) };
/** Requests that the pending output of a request be sent (world.request_flush). */
void real_http_server_flush(http_request *request);
#endif
