#ifndef RUNTIME_HTTP_CALL_H
#define RUNTIME_HTTP_CALL_H
/**
 * Outbound HTTP requests.
 *
 * A task opens a call, waits for the status, reads the body as it arrives, and closes the call.
 * There are two ways to open a call, for two purposes:
 *
 * - http_call_open: for the process's own requests to controllers, engines and the platform's list.
 *   Each uses a separate connection, opened by libwebsockets, and carries only the header fields of
 *   http_headers.h.
 * - http_call_open_pooled: for requests that a gateway forwards, implemented by lib/http.
 *   Connections are pooled, and all header fields are passed in both directions. The call records
 *   exactly what a retry needs to know: whether a byte was sent (sent), and whether the connection
 *   had been used before (reused_connection).
 *
 * The second way could also serve the first purpose. The two are kept separate because the
 * process's own requests would then share connections and be framed by another library, which
 * changes what is sent on the wire.
 */
#include "fields.h"
#include "http_headers.h"
#include "task.h"

typedef struct world world;

typedef struct http_call {
  world *world;
  /** The server's IP:PORT, and the request. The world consumes body. */
  char *address, *method, *path;
  http_headers known_request_fields;
  GString *body;
  /** Nothing of the request is sent after this time. */
  time_us send_deadline;

  /** The world writes the members from here on. A byte of the request may have reached the server.
   */
  bool sent;
  /** 0 until the response head is received. */
  int status;
  http_headers known_response_fields;
  /** The part of the body that is received but not yet read. */
  GString *response_body;
  /** ended: the response is complete. broken: the connection failed before that. */
  bool ended, broken;
  /** Bytes of the body received so far. */
  uint64_t received_bytes;
  /** http_call_read_all fails if the body is larger. */
  size_t response_max_bytes;
  /** Broadcast whenever one of the members above changes. */
  condition progressed;

  /** Opened by http_call_open_pooled; the members below are for these calls only. */
  bool pooled;
  /** The call must use a connection that has not been used before. */
  bool needs_new_connection;
  /** The connection had been used before; the server closes it after this response. */
  bool reused_connection, closes_connection;
  fields *request_fields, *response_fields;
  /** A response whose field of this name has another value belongs to another request and is
   * skipped; NULL: responses are not checked. Set by http_call_require_field. */
  char *match_name, *match_value;
  unsigned skipped_responses;
  /** When the connection was established, the request was handed to the kernel, and the last byte
   * was received. */
  time_us connected_at, sent_at, last_byte_at;

  /** Private to the world; NULL once the connection is gone. */
  void *impl;
} http_call;

/** Opens a call. Never returns NULL; http_call_wait reports a failure. headers may be NULL. The
 * headers, the body and the strings are copied. */
http_call *http_call_open(world *world, const char *address, const char *method, const char *path,
                          const http_headers *headers, string_view body, size_t response_max_bytes);
/** Like http_call_open, but sends nothing after send_deadline: a process that was paused meanwhile
 * must not act on outdated information. */
http_call *http_call_open_before(world *world, const char *address, const char *method,
                                 const char *path, const http_headers *headers, string_view body,
                                 size_t response_max_bytes, time_us send_deadline);
/** Opens a call with the given header fields on a pooled connection, or on a new one. The fields
 * must include Host, but not Content-Length, Connection or Transfer-Encoding. If a reused
 * connection ends before any byte of a response, the call is broken as usual, because the request
 * may have been executed. */
http_call *http_call_open_pooled(world *world, const char *address, const char *method,
                                 const char *target, const fields *fields, string_view body,
                                 bool needs_new_connection, time_us send_deadline);
/** Sets the header field and value by which a response is recognized as belonging to this request.
 * Call it before waiting for anything. */
void http_call_require_field(http_call *call, const char *name, string_view value);
/** Waits for the status. Returns OK, E_NO_RESPONSE at the deadline, E_STOPPING, E_NOT_CONNECTED, or
 * E_CONNECTION_LOST_AFTER_SEND if bytes may have reached the server. */
enum error_code http_call_wait(http_call *call, time_us deadline);
/** Waits until unread bytes of the body are available, and appends them. Returns OK with bytes,
 * E_PEER_GONE at the clean end, E_STREAM_BROKEN, E_NO_RESPONSE at the deadline, or E_STOPPING. */
enum error_code http_call_read(http_call *call, GString *to, time_us deadline);
/** Waits for the status and appends the full body. Returns OK only if the body ended cleanly,
 * E_TOO_LARGE if it exceeds response_max_bytes, otherwise the errors of http_call_wait and
 * http_call_read. */
enum error_code http_call_read_all(http_call *call, GString *to, time_us deadline);
/** Cancels a call in whatever state it is, and frees it; NULL is allowed. */
void http_call_close(http_call *call);

/** Opens a call, appends the full body to `to` within the timeout, and closes the call. Returns the
 * status, or 0 with err set. */
int http_call_fetch(world *world, const char *address, const char *method, const char *path,
                    const http_headers *headers, string_view body, GString *to, time_us timeout,
                    error *err);
/** Like http_call_fetch, but sends nothing after send_deadline. */
int http_call_fetch_before(world *world, const char *address, const char *method, const char *path,
                           const http_headers *headers, string_view body, GString *to,
                           time_us timeout, time_us send_deadline, error *err);
#endif
