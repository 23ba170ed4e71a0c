#ifndef RUNTIME_HTTP_REQUEST_H
#define RUNTIME_HTTP_REQUEST_H
/**
 * Inbound HTTP requests, and the listeners that accept them.
 *
 * Requests arrive in two ways, for two purposes:
 *
 * - On the process's own port (world.serve): status pages, the control API and the channels between
 *   processes. libwebsockets parses these requests, since it has to upgrade connections to
 *   channels. The handler sees only the header fields of http_headers.h.
 * - On listeners (http_listener): client traffic that a gateway forwards. lib/http parses these
 *   requests itself, validates their framing strictly, and keeps all header fields (request.fields)
 *   in addition to the known ones.
 *
 * The world creates the request, starts a task that calls the serve function, and sends the
 * response that the functions below put into the request. The task owns the request until the serve
 * function returns; then the world frees it. The client may disconnect at any time, which sets
 * client_gone.
 */
#include "fields.h"
#include "http_headers.h"
#include "task.h"

typedef struct world world;
typedef struct http_request http_request;

/** An additional port that accepts requests. The module that opens it owns it, and must keep it
 * until the world ends. The owner sets the first part, and may change the limits while the listener
 * is open. */
typedef struct http_listener {
  world *world;
  /** ip: "" for any. port: 0 for a free port, which is then filled in. */
  char ip[48];
  int port;
  void (*serve)(void *serve_context, http_request *request);
  void *serve_context;
  /** Limits on the size of a request, on the time that a client may take to send the head (a body
   * that keeps arriving may take ten times as long), and on idle time. A client that exceeds them
   * gets 431, 413 or 408. 0 means a default size, or no time limit. */
  size_t header_max_bytes, body_max_bytes;
  int64_t header_timeout_ms, idle_timeout_ms;
  /** Connections beyond this number are reset; 0: no limit. Only the emulator's world implements
   * it.
   */
  int connections_max;
  /** Set while the process drains: responses carry "Connection: close", and connections are closed
   * after the response in progress, even if its head was sent before. */
  bool draining;

  /** The world writes the members from here on. Requests that were fully read and are not yet
   * answered; open connections. */
  int pending_exchanges, connections;
  /** Requests that were fully read so far; those of them whose connection this process closed
   * before the response was complete. */
  uint64_t requests_received, requests_aborted;
  /** Private to the world; NULL while the listener is closed. */
  void *impl;
} http_listener;

struct http_request {
  world *world;
  /** NULL for the process's own port. */
  http_listener *listener;

  /** For listeners only: path with query as received, host (lower case, without port), and all
   * header fields. */
  char *target, *host;
  fields *fields;
  /** For listeners only: header fields to send in addition to the known ones and those for framing;
   * set before the response begins. */
  fields *response_fields;
  /** For listeners only: when the last byte of the request was read, and its number on its
   * connection, from 1. */
  time_us received_at;
  unsigned connection_request_number;
  /** For listeners only: the connection is closed after this response. */
  bool close_connection;

  /** path excludes the query; query is "" if there is none. client_address is IP or IP:PORT. */
  char *method, *path, *query;
  char client_address[48];
  http_headers known_fields;
  GString *body;

  /** The response: the output that is not yet sent, and the state of the response. Written by the
   * functions below; the world reads it and consumes pending_output. */
  GString *pending_output;
  http_headers known_response_fields;
  int status;
  bool response_started, response_ended, ended_cleanly;

  /** The client has disconnected, and nothing more can be sent. Written by the world. */
  bool client_gone;
  /** The announced body size exceeds the limit (own port only). Written by the world. */
  bool too_large;
  /** Broadcast when output was sent or the client has disconnected. */
  condition output_progressed;
  /** Broadcast when the client has disconnected; set by the serve function, or NULL. */
  condition *client_gone_condition;
  /** Private to the world. */
  void *impl;
};

/** Sends a complete response; without Content-Type if type is NULL. */
void http_request_respond(http_request *request, int status, const char *type, string_view body);
/** Sends {"code":...,"error":...} as a complete response. */
void http_request_respond_error(http_request *request, int status, int code, const char *text);
/** Begins a streamed response; does nothing if a response has already begun. */
void http_request_begin(http_request *request, int status, const char *type);
/** Appends to a streamed response, and waits while too much output is unsent. Returns OK,
 * E_PEER_GONE if the client has disconnected, E_NO_RESPONSE at the deadline, or E_STOPPING. */
enum error_code http_request_write(http_request *request, string_view bytes, time_us deadline);
/** Ends a streamed response: cleanly, or in a way that shows the client that it is incomplete. */
void http_request_end(http_request *request, bool clean);
/** Frees a request and all its strings; called by the world only. */
void http_request_free(http_request *request);
#endif
