/** Connections of the HTTP engine: what is alike in listeners, callers' connections and calls. */
#include "http_internal.h"
#include <errno.h>
#include <sys/socket.h>

enum { READS_MOST = 8, TIMER_US = 50000 };

/* the life of a socket */
static void conn_closed(sock *k) {
  conn *c = (conn *)k;
  if (c->timer)
    g_sequence_remove(c->timer);
  list_remove(&c->dirty);
  if (c->out)
    g_string_free(c->out, TRUE);
  if (c->kind == LISTENER)
    ((listener *)c)->listener->impl = NULL;
  if (c->kind == SERVER)
    server_closed((server *)c);
  if (c->kind == CLIENT)
    client_closed((client *)c);
  g_free(c);
}

static int conn_rx(conn *conn, const char *p, size_t n) {
  if (conn->kind == LISTENER) {
    listener_accept((listener *)conn);
    return 0;
  }
  return conn->kind == SERVER ? server_rx((server *)conn, p, n) : client_rx((client *)conn, p, n);
}

static bool conn_reading_paused(conn *conn) {
  if (conn->kind == SERVER)
    return ((server *)conn)->reading_paused;
  return !list_is_empty(&((client *)conn)->choked) || !((client *)conn)->call;
}

/* the library reads once a poll; what is there beyond its buffer is read here */
static int conn_read(sock *k, const char *p, size_t n) {
  static _Thread_local char more[SOCK_READ];
  conn *c = (conn *)k;
  int r = conn_rx(c, p, n);
  for (int i = 0; !r && n >= SOCK_READ && i < READS_MOST && !conn_reading_paused(c); i++) {
    ssize_t got = recv(k->fd, more, SOCK_READ, MSG_DONTWAIT);
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
  conn *c = (conn *)k;
  return c->kind == SERVER ? server_write((server *)c) : client_write((client *)c);
}

/* what is to be done when the timer of a connection fires; -1 to close */
static int conn_late(conn *conn) {
  if (conn->kind == LISTENER) {
    sock_hear(&conn->sim, true);
    return 0;
  }
  return conn->kind == SERVER ? server_late((server *)conn) : -1;
}

static int armed_cmp(gconstpointer a, gconstpointer b, gpointer ctx) {
  (void)ctx;
  int64_t x = ((const conn *)a)->armed.us, y = ((const conn *)b)->armed.us;
  return x < y ? -1 : x > y;
}

/* a timer that is put off keeps its place and is looked at again when it fires, so that putting off
 * costs nothing */
void conn_due(conn *conn, time_us due) {
  if (due.us < time_never().us)
    due.us = (due.us / TIMER_US + 1) * TIMER_US;
  conn->due = due;
  if (due.us >= time_never().us || (conn->timer && conn->armed.us <= due.us))
    return;
  if (conn->timer)
    g_sequence_remove(conn->timer);
  conn->armed = due;
  conn->timer = g_sequence_insert_sorted(conn->http->timers, conn, armed_cmp, NULL);
}

void conn_idle(conn *conn, int64_t ms) {
  conn_due(conn, ms > 0 ? time_add(world_now(conn->http->world), time_from_ms(ms)) : time_never());
}

bool conn_adopt(http_engine *http, conn *conn, int fd, enum kind kind) {
  conn->sim =
      (sock){ .fd = fd, .on_read = conn_read, .on_room = conn_room, .on_closed = conn_closed };
  conn->http = http;
  conn->kind = kind;
  list_init(&conn->dirty);
  conn->due = conn->armed = time_never();
  return sock_watch(&conn->sim, http->vhost, kind == LISTENER);
}

ssize_t conn_send(conn *conn, struct iovec *v, int n, bool keep) {
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
  sock_want_room(&conn->sim);
  if (!keep)
    return (ssize_t)took;
  conn->out = g_string_sized_new(all - took + 1);
  conn->out_at = 0;
  for (size_t i = 0, skip = took; i < (size_t)n; i++) {
    size_t s = MIN(skip, v[i].iov_len);
    skip -= s;
    g_string_append_len(conn->out, (char *)v[i].iov_base + s, (gssize)(v[i].iov_len - s));
  }
  return (ssize_t)took;
}

int conn_flush(conn *conn) {
  if (!conn->out)
    return 0;
  ssize_t k;
  do
    k = send(conn->sim.fd, conn->out->str + conn->out_at, conn->out->len - conn->out_at,
             MSG_NOSIGNAL | MSG_DONTWAIT);
  while (k < 0 && errno == EINTR);
  if (k < 0 && errno != EAGAIN)
    return -1;
  if (k > 0)
    conn->out_at += (size_t)k;
  if (conn->out_at < conn->out->len) {
    sock_want_room(&conn->sim);
    return 0;
  }
  g_string_free(conn->out, TRUE);
  conn->out = NULL;
  return 0;
}

void conn_run_timers(http_engine *http) {
  GSequenceIter *it;
  if (g_sequence_is_empty(http->timers))
    return;
  time_us now = world_now(http->world);
  while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(http->timers))) {
    conn *c = g_sequence_get(it);
    if (!time_reached(now, c->armed))
      break;
    g_sequence_remove(it);
    c->timer = NULL;
    if (time_reached(now, c->due)) {
      c->due = time_never();
      if (conn_late(c))
        sock_kill(&c->sim);
    } else if (c->due.us < time_never().us) {
      c->due.us -= TIMER_US;
      conn_due(c, c->due);
    }
  }
}
