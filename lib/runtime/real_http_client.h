#ifndef RUNTIME_REAL_HTTP_CLIENT_H
#define RUNTIME_REAL_HTTP_CLIENT_H
/**
 * HTTP calls that are not pooled, in the real world: each on a connection of its own, which
 * libwebsockets opens, frames and closes. Pooled calls are lib/http's.
 *
 * The library reports a response as complete at its last byte, but also when the other side closes
 * the connection early. A response is taken as complete only if it has the length that its head
 * announced, or if it ended while bytes were being read (which is how the last chunk shows);
 * otherwise the call is broken.
 */
#include "world.h"
#include <libwebsockets.h>

/** The library's callback for protocol REAL_HTTP_CLIENT_PROTOCOL. */
int real_http_client_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                              void *in, size_t length);
#define REAL_HTTP_CLIENT_PROTOCOL "call"
/** The most that is read at once. */
enum { REAL_HTTP_CLIENT_READ_BYTES = 16 * 1024 };

/** Starts a call, from own_ip (empty: any). If it fails at once, the call is broken. */
void real_http_client_start(http_call *call, struct lws_context *context, struct lws_vhost *vhost,
                            const char *own_ip);
/** Closes the call's connection, if there is one. */
void real_http_client_cancel(http_call *call);
#endif
