/** Connections of the HTTP engine: what is alike in listeners, callers' connections and calls. */
#include "http_internal.h"
#include <errno.h>
#include <sys/socket.h>

enum { READS_MOST = 8, TIMER_US = 50000 };

/* the life of a socket */
static void conn_closed(sock *k) {
  http_connection *c = (http_connection *)k;
  if (c->timer)
    g_sequence_remove(c->timer);
  list_remove(&c->dirty);
  if (c->pending_output)
    g_string_free(c->pending_output, TRUE);
  if (c->kind == CONNECTION_LISTENER)
    ((listener_socket *)c)->listener->impl = NULL;
  if (c->kind == CONNECTION_SERVER)
    server_closed((server_connection *)c);
  if (c->kind == CONNECTION_CLIENT)
    client_closed((client_connection *)c);
  g_free(c);
}

static int conn_rx(http_connection *conn, const char *p, size_t n) {
  if (conn->kind == CONNECTION_LISTENER) {
    listener_accept((listener_socket *)conn);
    return 0;
  }
  return conn->kind == CONNECTION_SERVER ? server_receive((server_connection *)conn, p, n)
                                         : client_receive((client_connection *)conn, p, n);
}

static bool conn_reading_paused(http_connection *conn) {
  if (conn->kind == CONNECTION_SERVER)
    return ((server_connection *)conn)->reading_paused;
  return !list_is_empty(&((client_connection *)conn)->paused) || !((client_connection *)conn)->call;
}

/* the library reads once a poll; what is there beyond its buffer is read here */
static int conn_read(sock *k, const char *p, size_t n) {
  static _Thread_local char more[SOCK_READ_BYTES];
  http_connection *c = (http_connection *)k;
  int r = conn_rx(c, p, n);
  for (int i = 0; !r && n >= SOCK_READ_BYTES && i < READS_MOST && !conn_reading_paused(c); i++) {
    ssize_t got = recv(k->fd, more, SOCK_READ_BYTES, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
      return 0;
    if (got <= 0)
      return -1;
    n = (size_t)got;
    r = conn_rx(c, more, n);
  }
  return r;
}

static int conn_room(sock *k) {
  http_connection *c = (http_connection *)k;
  return c->kind == CONNECTION_SERVER ? server_write((server_connection *)c)
                                      : client_write((client_connection *)c);
}

/* what is to be done when the timer of a connection fires; -1 to close */
static int connection_timed_out(http_connection *conn) {
  if (conn->kind == CONNECTION_LISTENER) {
    sock_set_reading(&conn->sim, true);
    return 0;
  }
  return conn->kind == CONNECTION_SERVER ? server_timed_out((server_connection *)conn) : -1;
}

static int armed_cmp(gconstpointer a, gconstpointer b, gpointer ctx) {
  (void)ctx;
  int64_t x = ((const http_connection *)a)->timer_at.us,
          y = ((const http_connection *)b)->timer_at.us;
  return x < y ? -1 : x > y;
}

/* a timer that is put off keeps its place and is looked at again when it fires, so that putting off
 * costs nothing */
void connection_set_deadline(http_connection *conn, time_us due) {
  if (due.us < time_never().us)
    due.us = (due.us / TIMER_US + 1) * TIMER_US;
  conn->deadline = due;
  if (due.us >= time_never().us || (conn->timer && conn->timer_at.us <= due.us))
    return;
  if (conn->timer)
    g_sequence_remove(conn->timer);
  conn->timer_at = due;
  conn->timer = g_sequence_insert_sorted(conn->http->timers, conn, armed_cmp, NULL);
}

void connection_set_idle_timeout(http_connection *conn, int64_t ms) {
  connection_set_deadline(conn, ms > 0 ? time_add(world_now(conn->http->world), time_from_ms(ms))
                                       : time_never());
}

bool connection_adopt(http_engine *http, http_connection *conn, int fd, enum connection_kind kind) {
  conn->sim =
      (sock){ .fd = fd, .on_read = conn_read, .on_writable = conn_room, .on_closed = conn_closed };
  conn->http = http;
  conn->kind = kind;
  list_init(&conn->dirty);
  conn->deadline = conn->timer_at = time_never();
  return sock_watch(&conn->sim, http->vhost, kind == CONNECTION_LISTENER);
}

ssize_t connection_send(http_connection *conn, struct iovec *v, int n, bool keep) {
  size_t all = 0;
  for (int i = 0; i < n; i++)
    all += v[i].iov_len;
  struct msghdr m = { .msg_iov = v, .msg_iovlen = (size_t)n };
  ssize_t k;
  do
    k = sendmsg(conn->sim.fd, &m, MSG_NOSIGNAL | MSG_DONTWAIT);
  while (k < 0 && errno == EINTR);
  if (k < 0 && errno != EAGAIN)
    return -1;
  size_t took = k < 0 ? 0 : (size_t)k;
  if (took == all)
    return (ssize_t)took;
  sock_request_writable(&conn->sim);
  if (!keep)
    return (ssize_t)took;
  conn->pending_output = g_string_sized_new(all - took + 1);
  conn->pending_output_offset = 0;
  for (size_t i = 0, skip = took; i < (size_t)n; i++) {
    size_t s = MIN(skip, v[i].iov_len);
    skip -= s;
    g_string_append_len(conn->pending_output, (char *)v[i].iov_base + s,
                        (gssize)(v[i].iov_len - s));
  }
  return (ssize_t)took;
}

int connection_flush(http_connection *conn) {
  if (!conn->pending_output)
    return 0;
  ssize_t k;
  do
    k = send(conn->sim.fd, conn->pending_output->str + conn->pending_output_offset,
             conn->pending_output->len - conn->pending_output_offset, MSG_NOSIGNAL | MSG_DONTWAIT);
  while (k < 0 && errno == EINTR);
  if (k < 0 && errno != EAGAIN)
    return -1;
  if (k > 0)
    conn->pending_output_offset += (size_t)k;
  if (conn->pending_output_offset < conn->pending_output->len) {
    sock_request_writable(&conn->sim);
    return 0;
  }
  g_string_free(conn->pending_output, TRUE);
  conn->pending_output = NULL;
  return 0;
}

void connection_run_timers(http_engine *http) {
  GSequenceIter *it;
  if (g_sequence_is_empty(http->timers))
    return;
  time_us now = world_now(http->world);
  while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(http->timers))) {
    http_connection *c = g_sequence_get(it);
    if (!time_reached(now, c->timer_at))
      break;
    g_sequence_remove(it);
    c->timer = NULL;
    if (time_reached(now, c->deadline)) {
      c->deadline = time_never();
      if (connection_timed_out(c))
        sock_close(&c->sim);
    } else if (c->deadline.us < time_never().us) {
      c->deadline.us -= TIMER_US;
      connection_set_deadline(c, c->deadline);
    }
  }
}
