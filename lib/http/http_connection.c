/** The common part of all sockets of the HTTP engine: see http_connection.h. */
#include "http_connection.h"
#include "http_engine_state.h"
#include <errno.h>
#include <sys/socket.h>

enum {
  /* reads beyond the first one, if that filled the library's buffer, before other connections are
   * served */
  MORE_READS_MAX = 8,
  TIMER_GRANULARITY_US = 50000
};

static void on_closed(sock *sock) {
  http_connection *connection = (http_connection *)sock;
  if (connection->timer)
    g_sequence_remove(connection->timer);
  if (connection->pending_output)
    g_string_free(connection->pending_output, TRUE);
  connection->callbacks->on_closed(connection);
  g_free(connection);
}

/* libwebsockets reads once per turn of the event loop; data beyond its buffer is read here. */
static int on_read(sock *sock, const char *bytes, size_t length) {
  static _Thread_local char buffer[SOCK_READ_BYTES];
  http_connection *connection = (http_connection *)sock;
  const http_connection_callbacks *callbacks = connection->callbacks;
  int result = callbacks->on_read(connection, bytes, length);
  for (int i = 0; !result && length >= SOCK_READ_BYTES && i < MORE_READS_MAX; i++) {
    if (callbacks->is_reading_paused(connection))
      break;
    ssize_t count = recv(sock->fd, buffer, SOCK_READ_BYTES, MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
      return 0;
    if (count <= 0)
      return -1;
    length = (size_t)count;
    result = callbacks->on_read(connection, buffer, length);
  }
  return result;
}

static int on_writable(sock *sock) {
  http_connection *connection = (http_connection *)sock;
  return connection->callbacks->on_writable(connection);
}

bool http_connection_adopt(http_engine *http, http_connection *connection, int fd, bool listening,
                           const http_connection_callbacks *callbacks) {
  connection->sock =
      (sock){ .fd = fd, .on_read = on_read, .on_writable = on_writable, .on_closed = on_closed };
  connection->http = http;
  connection->callbacks = callbacks;
  connection->deadline = connection->timer_at = time_never();
  return sock_watch(&connection->sock, http->vhost, listening);
}

/* Copies the bytes of the parts that were not sent. */
static GString *copy_unsent_bytes(const struct iovec *parts, int count, size_t total, size_t sent) {
  GString *rest = g_string_sized_new(total - sent + 1);
  for (int i = 0; i < count; i++) {
    size_t skipped = MIN(sent, parts[i].iov_len);
    sent -= skipped;
    g_string_append_len(rest, (const char *)parts[i].iov_base + skipped,
                        (gssize)(parts[i].iov_len - skipped));
  }
  return rest;
}

ssize_t http_connection_send(http_connection *connection, const struct iovec *parts, int count) {
  size_t total = 0;
  for (int i = 0; i < count; i++)
    total += parts[i].iov_len;
  struct msghdr message = { .msg_iov = (struct iovec *)parts, .msg_iovlen = (size_t)count };
  ssize_t result;
  do
    result = sendmsg(connection->sock.fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  while (result < 0 && errno == EINTR);
  if (result < 0 && errno != EAGAIN)
    return -1;
  size_t sent = result < 0 ? 0 : (size_t)result;
  if (sent < total) {
    sock_request_writable(&connection->sock);
    connection->pending_output = copy_unsent_bytes(parts, count, total, sent);
    connection->pending_output_offset = 0;
  }
  return (ssize_t)sent;
}

int http_connection_flush(http_connection *connection) {
  GString *output = connection->pending_output;
  if (!output)
    return 0;
  size_t *offset = &connection->pending_output_offset;
  ssize_t sent;
  do
    sent = send(connection->sock.fd, output->str + *offset, output->len - *offset,
                MSG_NOSIGNAL | MSG_DONTWAIT);
  while (sent < 0 && errno == EINTR);
  if (sent < 0 && errno != EAGAIN)
    return -1;
  if (sent > 0)
    *offset += (size_t)sent;
  if (*offset < output->len) {
    sock_request_writable(&connection->sock);
    return 0;
  }
  g_string_free(output, TRUE);
  connection->pending_output = NULL;
  return 0;
}

static int compare_timers(gconstpointer left, gconstpointer right, gpointer context) {
  (void)context;
  const http_connection *a = left, *b = right;
  return a->timer_at.us < b->timer_at.us ? -1 : a->timer_at.us > b->timer_at.us;
}

static bool is_never(time_us at) {
  return time_reached(at, time_never());
}

/* Ensures that the timer fires at the deadline or earlier. */
static void arm_timer(http_connection *connection) {
  time_us deadline = connection->deadline;
  if (is_never(deadline) || (connection->timer && connection->timer_at.us <= deadline.us))
    return;
  if (connection->timer)
    g_sequence_remove(connection->timer);
  connection->timer_at = deadline;
  connection->timer =
      g_sequence_insert_sorted(connection->http->timers, connection, compare_timers, NULL);
}

void http_connection_set_deadline(http_connection *connection, time_us deadline) {
  if (!is_never(deadline))
    deadline.us = (deadline.us / TIMER_GRANULARITY_US + 1) * TIMER_GRANULARITY_US;
  connection->deadline = deadline;
  arm_timer(connection);
}

void http_connection_set_timeout(http_connection *connection, int64_t timeout_ms) {
  time_us deadline = time_never();
  if (timeout_ms > 0)
    deadline = time_add(world_now(connection->http->world), time_from_ms(timeout_ms));
  http_connection_set_deadline(connection, deadline);
}

/* The connection whose timer fires next; NULL if there is none. */
static http_connection *next_timer(const http_engine *http) {
  GSequenceIter *first = g_sequence_get_begin_iter(http->timers);
  return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

time_us http_connection_next_timer(const http_engine *http) {
  const http_connection *connection = next_timer(http);
  return connection ? connection->timer_at : time_never();
}

static void on_timer(http_connection *connection, time_us now) {
  g_sequence_remove(connection->timer);
  connection->timer = NULL;
  if (!time_reached(now, connection->deadline)) {
    arm_timer(connection);
    return;
  }
  connection->deadline = time_never();
  if (connection->callbacks->on_timeout(connection))
    sock_close(&connection->sock);
}

void http_connection_run_timers(http_engine *http) {
  http_connection *connection = next_timer(http);
  if (!connection)
    return;
  time_us now = world_now(http->world);
  for (; connection && time_reached(now, connection->timer_at); connection = next_timer(http))
    on_timer(connection, now);
}
