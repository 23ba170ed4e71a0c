#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H
/**
 * Client of the HTTP engine: calls over pooled connections.
 *
 * Connections to an address form a pool. A connection carries one call at a time. When a response
 * has ended and both sides keep the connection open, it returns to the pool; the next call takes
 * the most recently used one. The pool exists as long as it has connections.
 *
 * Two races make reuse unsafe. The client handles both, since the requests of a gateway may be
 * expensive and must not run twice unnoticed:
 *
 * - The peer may close an idle connection while a request is being sent. A connection is therefore
 *   checked before it is reused, and not reused after the time for which its peer promised to keep
 *   it (Keep-Alive: timeout). If it still breaks after a byte was sent, the call ends with broken,
 *   sent and reused_connection set; the code that started it decides whether to retry.
 * - A late response to an earlier request may still arrive. A call that requires a field
 *   (http_call_require_field) skips responses in which the field has another value. A failure
 *   response without the field may belong to either request, so the connection is closed.
 *
 * Reading from a connection is paused while its call's reader is slow, which bounds the memory for
 * a response.
 */
#include "http_engine.h"

/** Resumes reading from paused connections whose readers have caught up. */
void http_client_resume_reading(http_engine *http);
#endif
