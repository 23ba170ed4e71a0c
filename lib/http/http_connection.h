#ifndef HTTP_HTTP_CONNECTION_H
#define HTTP_HTTP_CONNECTION_H
/**
 * The common part of all sockets of the HTTP engine: listening sockets, server connections and
 * client connections embed an http_connection and set its callbacks.
 *
 * Output: data is written directly to the socket. What the socket does not accept is kept in
 * pending_output and written when the socket becomes writable. While there is pending output,
 * nothing else may be written.
 *
 * Timer: each connection has one deadline, which is moved often (at each request) and reached
 * rarely. So moving it to a later time changes only the deadline, and the entry in the engine's
 * sequence stays in place; if the entry fires before the deadline, it is inserted again. Deadlines
 * are rounded up to 50 ms, so that timers fire together.
 */
#include "http_engine.h"
#include "sock.h"
#include <sys/uio.h>

typedef struct http_connection http_connection;

/** The callbacks of a kind of socket. Those that return int return CONNECTION_KEEP (0), or
 * CONNECTION_CLOSE (-1) to close the connection. */
typedef struct http_connection_callbacks {
  /** Bytes were received; none for a listening socket. */
  int (*on_read)(http_connection *connection, const char *bytes, size_t length);
  /** The socket is writable. */
  int (*on_writable)(http_connection *connection);
  /** The deadline has passed. */
  int (*on_timeout)(http_connection *connection);
  /** The connection is closed. The callback frees what the connection points to; the connection
   * itself is freed afterwards. */
  void (*on_closed)(http_connection *connection);
  /** True while nothing should be read. */
  bool (*is_reading_paused)(const http_connection *connection);
} http_connection_callbacks;

struct http_connection {
  /** Must be the first member, since sock.h's callbacks cast it. */
  sock sock;
  http_engine *http;
  const http_connection_callbacks *callbacks;
  /** Bytes that the socket has not accepted yet, from the offset on; NULL if there are none. */
  GString *pending_output;
  size_t pending_output_offset;
  /** The entry in the engine's timers (NULL: none), when it fires, and the deadline. */
  GSequenceIter *timer;
  time_us timer_at, deadline;
};

/** Begins to poll a descriptor. On failure returns false; the descriptor is then closed, and no
 * callback is called. */
bool http_connection_adopt(http_engine *http, http_connection *connection, int fd, bool listening,
                           const http_connection_callbacks *callbacks);
/** Writes parts. There must be no pending output; what the socket does not accept becomes pending
 * output. Returns the number of bytes that the socket accepted, or -1 if the connection is broken.
 */
ssize_t http_connection_send(http_connection *connection, const struct iovec *parts, int count);
/** Writes pending output. Returns 0, or -1 if the connection is broken. */
int http_connection_flush(http_connection *connection);
/** Sets the deadline; time_never: none. */
void http_connection_set_deadline(http_connection *connection, time_us deadline);
/** Sets the deadline to timeout_ms from now; 0: none. */
void http_connection_set_timeout(http_connection *connection, int64_t timeout_ms);

/** Runs the timers that are due. */
void http_connection_run_timers(http_engine *http);
/** When the next timer fires; time_never if there is none. */
time_us http_connection_next_timer(const http_engine *http);
#endif
