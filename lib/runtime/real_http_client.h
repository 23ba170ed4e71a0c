#ifndef RUNTIME_REAL_HTTP_CLIENT_H
#define RUNTIME_REAL_HTTP_CLIENT_H
/**
 * HTTP calls that are not pooled, in the real world. Each uses a separate connection, which
 * libwebsockets opens, frames and closes. lib/http implements pooled calls.
 *
 * The library reports a response as complete after its last byte, but also when the server closes
 * the connection early. A call therefore counts as complete only if the response has the announced
 * length, or if it ended while bytes were being read (as it does with the last chunk). Otherwise
 * the call is broken.
 */
#include "world.h"
#include <libwebsockets.h>

/** The libwebsockets callback for the protocol REAL_HTTP_CLIENT_PROTOCOL. */
int real_http_client_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                              void *in, size_t length);
#define REAL_HTTP_CLIENT_PROTOCOL "call"
/** Maximum number of bytes per read. */
enum { REAL_HTTP_CLIENT_READ_BYTES = 16 * 1024 };

/** Starts a call from the address own_ip (empty for any). If it fails immediately, the call is
 * broken. */
void real_http_client_start(http_call *call, struct lws_context *context, struct lws_vhost *vhost,
                            const char *own_ip);
/** Closes the connection of a call, if there is one. */
void real_http_client_cancel(http_call *call);
#endif
