#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H
/**
 * Pooled calls of the HTTP engine.
 *
 * Connections to an address form a pool. A connection carries one call at a time; when a response
 * has ended and both sides keep the connection, it waits in the pool for the next call, which takes
 * the one that was used last. The pool exists as long as it has connections.
 *
 * Two things make reuse unsafe, and the client is careful with both, since the requests of a
 * gateway may be costly and must not run twice unnoticed:
 *
 * - The other side may close an idle connection at the moment at which a request is sent. Before a
 *   connection is reused it is looked at, and it isn't reused later than its other side promised to
 *   keep it (Keep-Alive: timeout). If it breaks all the same after a byte was sent, the call is
 *   broken with sent and reused_connection set; whether to retry is the caller's decision.
 * - A late response to an earlier request may be on its way. A call that requires a field
 *   (http_call_require_field) skips responses with another value. A failure that doesn't have the
 *   field may be the response to either request, so the connection is dropped.
 *
 * A reader that is slow makes its connection be paused, so that a response needs no more memory
 * than a bound.
 */
#include "http_engine.h"

/** Lets paused connections whose readers have caught up be read again. */
void http_client_resume_reading(http_engine *http);
#endif
