#ifndef HTTP_HTTP_CONNECTION_H
#define HTTP_HTTP_CONNECTION_H
/**
 * What all sockets of the HTTP engine have in common: listening sockets, callers' connections and
 * connections of calls embed an http_connection and give it their callbacks.
 *
 * Output. A connection is written to directly; what the socket doesn't take is kept in
 * pending_output and written when the socket takes bytes again. While there is any, nothing else
 * may be written.
 *
 * Timer. Each connection has one deadline, which is moved often (at each request) and reached
 * seldom. So moving it later changes the deadline only, and the entry in the engine's sequence
 * stays where it is; when that fires and the deadline has not come, it is entered again. Deadlines
 * are rounded up to 50 ms, so that timers fire together.
 */
#include "http_engine.h"
#include "sock.h"
#include <sys/uio.h>

typedef struct http_connection http_connection;

/** What a kind of socket does. Those that return int return 0, or -1 to close the connection. */
typedef struct http_connection_callbacks {
  /** Bytes came; none for a listening socket. */
  int (*on_read)(http_connection *connection, const char *bytes, size_t length);
  /** The socket takes bytes again. */
  int (*on_writable)(http_connection *connection);
  /** The deadline has come. */
  int (*on_timeout)(http_connection *connection);
  /** The connection is closed; frees what it points to. The connection itself is freed after. */
  void (*on_closed)(http_connection *connection);
  /** Nothing is to be read for now. */
  bool (*is_reading_paused)(const http_connection *connection);
} http_connection_callbacks;

struct http_connection {
  /** First, for sock.h's callbacks. */
  sock sock;
  http_engine *http;
  const http_connection_callbacks *callbacks;
  /** Bytes that the socket has not taken yet, from the offset on; NULL if there are none. */
  GString *pending_output;
  size_t pending_output_offset;
  /** The entry in the engine's timers (NULL: none), when it fires, and the deadline. */
  GSequenceIter *timer;
  time_us timer_at, deadline;
};

/** Begins to poll a descriptor. False when that can't be; the descriptor is closed then, and no
 * callback is called. */
bool http_connection_adopt(http_engine *http, http_connection *connection, int fd, bool listening,
                           const http_connection_callbacks *callbacks);
/** Writes parts. There must be no pending output; what the socket doesn't take becomes it. Returns
 * the number of bytes that the socket took, or -1 when the connection is broken. */
ssize_t http_connection_send(http_connection *connection, const struct iovec *parts, int count);
/** Writes pending output. 0, or -1 when the connection is broken. */
int http_connection_flush(http_connection *connection);
/** Sets the deadline; time_never: none. */
void http_connection_set_deadline(http_connection *connection, time_us deadline);
/** The same, so many ms from now; 0: none. */
void http_connection_set_timeout(http_connection *connection, int64_t timeout_ms);

/** Runs the timers whose time has come. */
void http_connection_run_timers(http_engine *http);
/** When the next timer fires; time_never if there is none. */
time_us http_connection_next_timer(const http_engine *http);
#endif
