#ifndef COMMON_WORLD_H
#define COMMON_WORLD_H
#include "base.h"
#include "fields.h"
#include "task.h"

/** The header fields that asterfall reads and writes; no others reach its code. */
enum http_header {
  HEADER_CONTENT_TYPE,
  HEADER_IF_MATCH,
  HEADER_ETAG,
  HEADER_IDEMPOTENCY_KEY,
  HEADER_RETRY_AFTER,
  HEADER_EPOCH,
  HEADER_LEASE_HOLDER,
  HEADER_ATTEMPT,
  HEADER_HOP,
  HEADER_COUNT
};
/** Header fields of a request or an answer; a NULL field is absent. */
typedef struct {
  char *values[HEADER_COUNT];
} http_headers;
/** The names of the fields, in lower case, as they go over the wire. */
extern const char *const http_header_names[HEADER_COUNT];
void http_headers_set(http_headers *h, enum http_header k, const char *v);
void http_headers_copy(http_headers *to, const http_headers *from);
void http_headers_free(http_headers *h);

/** A channel to another process of ours on which nothing is acknowledged for so long is closed, and
 * what it still held is lost. */
enum { PEER_CHANNEL_TIMEOUT_MS = 1500 };

typedef struct world world;
typedef struct http_request http_request;

/** A place of its own where requests come in, with all their header fields. The bounds may be
 * changed while it is open. */
typedef struct http_listener {
  world *world;
  char ip[48];
  int port;
  void (*serve)(void *serve_context, http_request *request);
  void *serve_context;
  /** Bounds on what a caller may send, and how long it may take or be idle. Past them it gets 431,
   * 413 or 408. */
  size_t header_max_bytes, body_max_bytes;
  int64_t header_timeout_ms, idle_timeout_ms;
  /** More channels than this are reset; 0: no bound. */
  int connections_max;
  /** Set while this process leaves: answers carry "Connection: close", and channels end after the
   * answer that is under way, also when its head was sent before. */
  bool draining;
  /** Exchanges whose request was read whole and that are not answered yet; and channels that are
   * open. */
  int pending_exchanges, connections;
  /** Whole requests that came in; and channels that this side closed before the answer to a request
   * in hand was whole. */
  uint64_t requests_received, requests_aborted;
  void *impl;
} http_listener;

/** A request that a caller sent to us. The task that serves it owns it until the serve function
 * returns. */
struct http_request {
  world *world;
  /** Where it came in, or NULL for the process's own port; what follows up to response_fields is
   * for listeners only. */
  http_listener *listener;
  /** Path and query as they came, the host without its port, and all header fields, ours and
   * unknown ones. */
  char *target, *host;
  fields *fields;
  /** Fields to send with the answer beside those of framing; set before it begins. */
  fields *response_fields;
  /** When the last byte of the request was read. */
  time_us received_at;
  /** Which request of its connection it is; 1 for the first. */
  unsigned connection_request_number;
  /** The channel ends after this answer. */
  bool close_connection;
  char *method, *path, *query;
  char client_address[48];
  http_headers known_fields;
  GString *body;
  GString *pending_output;
  http_headers known_response_fields;
  int status;
  bool response_started, response_ended, ended_cleanly, client_gone, too_large;
  condition drained;
  /** Signalled when the caller goes away, beside drained; NULL when nobody minds. */
  condition *client_gone_condition;
  void *impl;
};

/** A request that we send to somebody. */
typedef struct http_call {
  world *world;
  char *address, *method, *path;
  http_headers known_request_fields;
  GString *body;
  bool linked, sent;
  int status;
  http_headers known_response_fields;
  GString *response_body;
  bool ended, broken, reading;
  uint64_t read_bytes, received_bytes;
  size_t response_max_bytes;
  time_us send_deadline;
  condition progressed;
  /** For calls opened by http_call_open_fields: they share channels that are kept open; fields go
   * and come whole. */
  bool pooled;
  /** The channel must be a new one; it was one that had served before; the other side ends it after
   * this answer. */
  bool needs_new_connection, reused_connection, closes_connection;
  fields *request_fields, *response_fields;
  /** An answer whose field of this name has another value belongs to another request, and is passed
   * over. */
  char *match_name, *match_value;
  unsigned skipped_responses;
  /** When the channel was up, when all was handed over, and when the last byte came. */
  time_us connected_at, sent_at, last_byte_at;
  void *impl;
} http_call;

/** Everything outside a process: time, chance, disk and network. Daemons see nothing else of the
 * machine. */
struct world {
  scheduler tasks;
  uint64_t (*random)(world *world);
  const char *(*timestamp)(world *world, char *buf, size_t n);
  void (*write_log)(world *world, const char *line);
  void (*post_message)(world *world, const char *addr, string_view msg);
  void (*on_message)(void *ctx, string_view msg);
  void *on_message_context;
  void (*serve)(void *ctx, http_request *request);
  void *serve_context;
  size_t body_max_bytes;
  /** Opens a listener; its struct stays with the caller until the world ends. */
  int (*listener_open)(world *world, http_listener *listener, error *err);
  /** Stops taking new channels; those that are open live on. */
  void (*listener_stop_accepting)(world *world, http_listener *listener);
  /** Ends the channels of a listener on which no request is in hand, unread bytes and all, so that
   * their callers see that nothing of theirs was read. */
  void (*listener_close_idle)(world *world, http_listener *listener);
  /** Ends the idle channels that are kept to an address. */
  void (*pool_close_idle)(world *world, const char *addr);
  /** Ends a kept channel when it has been idle for so long; asked for when a call begins. In ms; 0:
   * no bound. */
  int64_t pool_idle_timeout_ms;
  void (*request_flush)(http_request *request);
  void (*call_start)(http_call *call);
  void (*call_cancel)(http_call *call);
  int (*disk_open)(world *world, unsigned file, size_t size, error *err);
  int (*disk_read)(world *world, unsigned file, size_t off, void *to, size_t n, error *err);
  int (*disk_write)(world *world, unsigned file, size_t off, const void *p, size_t n, error *err);
  int (*disk_sync)(world *world, unsigned file, error *err);
};

/** The time of the boot clock; it goes on while the machine is asleep. */
static inline time_us world_now(world *world) {
  return world->tasks.now(world->tasks.now_context);
}
/** A number drawn from 0 to n - 1. */
uint64_t world_random(world *world, uint64_t n);
/** Sleeps; says false when the process is to end. */
static inline bool world_sleep(world *world, time_us span) {
  return task_sleep(&world->tasks, span) != WAKE_STOPPED;
}
/** Sleeps for a span and up to a fifth more. */
bool world_sleep_with_jitter(world *world, time_us span);

/** Answers a request whole. */
void http_request_respond(http_request *request, int status, const char *type, string_view body);
/** Begins a streamed answer. */
void http_request_begin(http_request *request, int status, const char *type);
/** Adds to a streamed answer; waits while the caller is slow; says E_PEER_GONE when the caller is.
 */
int http_request_write(http_request *request, string_view bytes, time_us till);
/** Ends a streamed answer, either cleanly or so that the caller sees that it broke. */
void http_request_end(http_request *request, bool clean);
/** Frees a request; for the worlds only. */
void http_request_free(http_request *request);

/** Sends a request; the answer is waited for with http_call_wait. */
http_call *http_call_open(world *world, const char *addr, const char *verb, const char *path,
                          const http_headers *h, string_view body, size_t most);
/** The same, but nothing is sent after an instant: a process that slept in between must not act on
 * what it knew before. */
http_call *http_call_open_before(world *world, const char *addr, const char *verb, const char *path,
                                 const http_headers *h, string_view body, size_t most, time_us by);
/** A request with header fields of its own, on a channel that may be kept and shared. fresh asks
 * for a new channel. Nothing is sent after by. The fields hold all but Content-Length, Connection
 * and Transfer-Encoding; Host must be among them. http_call_wait and http_call_read serve as for
 * others. sent means that the first byte was handed over. Ends of a channel that had served before,
 * before any byte came, count as broken like others: what was sent may have run. */
http_call *http_call_open_fields(world *world, const char *addr, const char *verb,
                                 const char *target, const fields *fields, string_view body,
                                 bool fresh, time_us by);
/** Names the field that an answer must carry for it to be this request's; before anything is waited
 * for. */
void http_call_require_field(http_call *call, const char *name, string_view value);
/** Waits for the status line; gives OK, E_NO_RESPONSE, E_STOPPING, or E_NOT_CONNECTED
 * (E_CONNECTION_LOST_AFTER_SEND when bytes may have reached the other side). */
int http_call_wait(http_call *call, time_us till);
/** Gives what has come since, waiting for some: OK with bytes, E_PEER_GONE at a clean end,
 * E_STREAM_BROKEN, E_NO_RESPONSE, E_STOPPING. */
int http_call_read(http_call *call, GString *to, time_us till);
/** Reads the whole answer; OK only when it ended cleanly. */
int http_call_read_all(http_call *call, GString *to, time_us till);
/** Drops a request, wherever it is. */
void http_call_close(http_call *call);
/** Sends a request and reads the whole answer in one go; gives the HTTP status or 0 with err set.
 */
int http_call_fetch(world *world, const char *addr, const char *verb, const char *path,
                    const http_headers *h, string_view body, GString *to, time_us span, error *err);
/** The same, with nothing sent after an instant. */
int http_call_fetch_before(world *world, const char *addr, const char *verb, const char *path,
                           const http_headers *h, string_view body, GString *to, time_us span,
                           time_us by, error *err);
#endif
