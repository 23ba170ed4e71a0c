#ifndef RUNTIME_HTTP_REQUEST_H
#define RUNTIME_HTTP_REQUEST_H
/**
 * HTTP requests that come in, and the listeners where they do.
 *
 * There are two ways in, since they serve two purposes:
 *
 * - The process's own port (world.serve): status pages, the control API and the channels between
 *   processes. libwebsockets reads and frames these requests, which it needs to do to upgrade a
 *   channel. Only the fields of http_headers.h reach the handler.
 * - Listeners (http_listener): the traffic of callers, which a gateway passes on. lib/http reads
 *   these requests itself, checks their framing strictly, and keeps all their fields
 *   (request.fields) beside the known ones.
 *
 * A world makes the request, starts a task that calls the serve function, and sends what the
 * functions below leave in the request. The task owns the request until the serve function returns;
 * the world frees it afterwards. The caller may go away at any time, which shows as client_gone.
 */
#include "fields.h"
#include "http_headers.h"
#include "task.h"

typedef struct world world;
typedef struct http_request http_request;

/** A port of its own where requests come in. It belongs to whoever opens it, and must last until
 * the world ends. The opener sets the first part, and may change the bounds while it is open. */
typedef struct http_listener {
  world *world;
  /** ip "": any. port 0: a free one, which is filled in. */
  char ip[48];
  int port;
  void (*serve)(void *serve_context, http_request *request);
  void *serve_context;
  /** Bounds on what a caller may send, and on the time that it may take for a head (a body may take
   * ten times as long while it goes on coming) and be idle. Beyond them it gets 431, 413 or 408. 0:
   * a default, or no bound on time. */
  size_t header_max_bytes, body_max_bytes;
  int64_t header_timeout_ms, idle_timeout_ms;
  /** Connections beyond this number are reset; 0: no bound. Only the emulator's world does that. */
  int connections_max;
  /** Set while the process drains: responses bear "Connection: close", and connections end after
   * the response that is under way, even if its head was sent before. */
  bool draining;

  /** Written by the world. Requests that were read in full and are not answered yet, and open
   * connections. */
  int pending_exchanges, connections;
  /** Requests read in full so far, and those whose connection this side closed before the response
   * was complete. */
  uint64_t requests_received, requests_aborted;
  /** The world's own; NULL while it is closed. */
  void *impl;
} http_listener;

struct http_request {
  world *world;
  /** NULL for the process's own port. */
  http_listener *listener;

  /** For listeners only: path with query and host (lower case, without port) as they came, and all
   * header fields. */
  char *target, *host;
  fields *fields;
  /** For listeners only: fields to send beside the known ones and those of framing; to be set
   * before the response begins. */
  fields *response_fields;
  /** For listeners only: when the last byte of the request was read, and its number on its
   * connection, from 1. */
  time_us received_at;
  unsigned connection_request_number;
  /** For listeners only: the connection ends after this response. */
  bool close_connection;

  /** path is without the query; query is "" if there is none. client_address is IP or IP:PORT. */
  char *method, *path, *query;
  char client_address[48];
  http_headers known_fields;
  GString *body;

  /** The response: what waits to be sent, and how far it has been made. Written by the functions
   * below, read (and pending_output consumed) by the world. */
  GString *pending_output;
  http_headers known_response_fields;
  int status;
  bool response_started, response_ended, ended_cleanly;

  /** The caller is gone: nothing can be sent any more. Written by the world. */
  bool client_gone;
  /** The body was announced as larger than the bound (own port only). Written by the world. */
  bool too_large;
  /** Broadcast when output was sent or the caller is gone. */
  condition drained;
  /** Broadcast when the caller is gone; set by the serve function, NULL: none. */
  condition *client_gone_condition;
  /** The world's own. */
  void *impl;
};

/** Sends a complete response. type NULL: without Content-Type. */
void http_request_respond(http_request *request, int status, const char *type, string_view body);
/** Sends {"code":...,"error":...} as a complete response. */
void http_request_respond_error(http_request *request, int status, int code, const char *text);
/** Begins a streamed response; nothing happens if one has begun. */
void http_request_begin(http_request *request, int status, const char *type);
/** Adds to a streamed response, and waits while more than a bound waits to be sent. OK,
 * E_PEER_GONE when the caller is gone, E_NO_RESPONSE at the deadline, E_STOPPING. */
enum error_code http_request_write(http_request *request, string_view bytes, time_us deadline);
/** Ends a streamed response: cleanly, or so that the caller sees that it is incomplete. */
void http_request_end(http_request *request, bool clean);
/** Frees a request and all its texts; for worlds only. */
void http_request_free(http_request *request);
#endif
