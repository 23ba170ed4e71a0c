#ifndef RUNTIME_HTTP_CALL_H
#define RUNTIME_HTTP_CALL_H
/**
 * HTTP requests that this process sends.
 *
 * A task opens a call, waits for the status, reads the body as it comes, and closes the call. There
 * are two ways to open one, since they serve two purposes:
 *
 * - http_call_open: for requests of the process itself to controllers, engines and the platform's
 *   list. Each has a connection of its own, made by libwebsockets, and carries the fields of
 *   http_headers.h.
 * - http_call_open_fields: for requests that a gateway passes on. Connections are pooled, all
 * fields are carried in both directions, and the caller learns exactly what a retry has to know:
 * whether a byte was sent (sent), and whether the connection had served before (reused_connection).
 *   lib/http does it.
 *
 * They are not one, though the second could do the first's work: requests of the process itself
 * would then share connections and be framed by another library, which is a change on the wire.
 */
#include "fields.h"
#include "http_headers.h"
#include "task.h"

typedef struct world world;

typedef struct http_call {
  world *world;
  /** IP:PORT, and the request. The world consumes body. */
  char *address, *method, *path;
  http_headers known_request_fields;
  GString *body;
  /** Nothing of the request is sent after this instant. */
  time_us send_deadline;

  /** Written by the world from here on. A byte of the request may have reached the other side. */
  bool sent;
  /** 0 until the head of the response has come. */
  int status;
  http_headers known_response_fields;
  /** What has come of the body and was not read yet. */
  GString *response_body;
  /** The response is complete; the connection failed before it was. */
  bool ended, broken;
  /** Bytes of the body that have come so far. */
  uint64_t received_bytes;
  /** http_call_read_all gives up beyond this. */
  size_t response_max_bytes;
  /** Broadcast at each change of the above. */
  condition progressed;

  /** Opened by http_call_open_fields; the rest is for these calls only. */
  bool pooled;
  /** Asked for: a connection that has not served before. */
  bool needs_new_connection;
  /** The connection had served before; the other side ends it after this response. */
  bool reused_connection, closes_connection;
  fields *request_fields, *response_fields;
  /** A response whose field of this name has another value belongs to another request and is
   * skipped; NULL: none is. Set by http_call_require_field. */
  char *match_name, *match_value;
  unsigned skipped_responses;
  /** When the connection was up, the request was handed to the kernel, and the last byte came. */
  time_us connected_at, sent_at, last_byte_at;

  /** The world's own; NULL once the connection is gone. */
  void *impl;
} http_call;

/** Opens a call; never NULL (a failure shows in http_call_wait). headers may be NULL, and is copied
 * like the rest. */
http_call *http_call_open(world *world, const char *address, const char *method, const char *path,
                          const http_headers *headers, string_view body, size_t response_max_bytes);
/** The same, but nothing is sent after send_deadline: a process that slept in between must not act
 * on what it knew before. */
http_call *http_call_open_before(world *world, const char *address, const char *method,
                                 const char *path, const http_headers *headers, string_view body,
                                 size_t response_max_bytes, time_us send_deadline);
/** Opens a call with fields of its own on a pooled connection, or on a new one. The fields hold all
 * but Content-Length, Connection and Transfer-Encoding; Host must be among them. If a connection
 * that had served before ends before any byte of a response, the call is broken like others: the
 * request may have been carried out. */
http_call *http_call_open_fields(world *world, const char *address, const char *method,
                                 const char *target, const fields *fields, string_view body,
                                 bool needs_new_connection, time_us send_deadline);
/** Names the field that a response must bear with a value to be this request's; to be called before
 * anything is waited for. */
void http_call_require_field(http_call *call, const char *name, string_view value);
/** Waits for the status. OK, E_NO_RESPONSE at the deadline, E_STOPPING, E_NOT_CONNECTED, or
 * E_CONNECTION_LOST_AFTER_SEND when bytes may have reached the other side. */
enum error_code http_call_wait(http_call *call, time_us deadline);
/** Appends what has come of the body since, waiting for some. OK with bytes, E_PEER_GONE at the
 * clean end, E_STREAM_BROKEN, E_NO_RESPONSE at the deadline, E_STOPPING. */
enum error_code http_call_read(http_call *call, GString *to, time_us deadline);
/** Waits for the status and appends the full body. OK only if it ended cleanly; E_TOO_LARGE beyond
 * response_max_bytes, otherwise the errors of the two above. */
enum error_code http_call_read_all(http_call *call, GString *to, time_us deadline);
/** Drops a call, however far it is, and frees it; NULL is allowed. */
void http_call_close(http_call *call);

/** Opens a call, appends the full body to `to`, and closes it, within a time. The status, or 0 with
 * err set. */
int http_call_fetch(world *world, const char *address, const char *method, const char *path,
                    const http_headers *headers, string_view body, GString *to, time_us timeout,
                    error *err);
/** The same, with nothing sent after send_deadline. */
int http_call_fetch_before(world *world, const char *address, const char *method, const char *path,
                           const http_headers *headers, string_view body, GString *to,
                           time_us timeout, time_us send_deadline, error *err);
#endif
