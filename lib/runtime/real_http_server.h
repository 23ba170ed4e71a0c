#ifndef RUNTIME_REAL_HTTP_SERVER_H
#define RUNTIME_REAL_HTTP_SERVER_H
/**
 * HTTP requests to the process's own port, in the real world: libwebsockets reads and frames them.
 *
 * The library calls back for the head, each piece of the body, its end, and when the connection can
 * be written to. A complete request starts a task that runs world.serve. The task writes into the
 * request's pending_output, which is sent piece by piece as the connection takes it. A response
 * that is complete when its head is written is sent with its length, others in chunks.
 *
 * Two sides share an exchange and end in either order: the connection, which the library may
 * destroy at any time, and the task. Whoever ends last frees it.
 */
#include "world.h"
#include <libwebsockets.h>

/** The library's callback for protocol "http", the first of the vhost. The context's user pointer
 * is the world. The library keeps a pointer for each request (REAL_HTTP_SERVER_USER_BYTES). */
int real_http_server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                              void *in, size_t length);
enum { REAL_HTTP_SERVER_USER_BYTES = sizeof(void *) };
/** Has what a request's response has come to sent (world.request_flush). */
void real_http_server_flush(http_request *request);
#endif
