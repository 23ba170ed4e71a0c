#include "real.h"
#include "connection_owner.h"
#include "dial.h"
#include "fault.h"
#include "http.h"
#include "peer_channels.h"
#include "sock.h"
#include <sys/socket.h>
#include <errno.h>
#include <fcntl.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { FILES = 32, PIECE = 16 * 1024, GOT_MOST = 1 << 20 };

typedef struct job {
  list_node link;
  int op, fd, code;
  size_t off, len;
  char *buf;
  bool done, orphan;
  condition finished;
} job;
typedef struct real {
  world world;
  real_settings settings;
  struct lws_context *ctx;
  struct lws_vhost *host;
  http_engine *http;
  lws_sorted_usec_list_t sul;
  peer_channels *peers;
  int fd[FILES];
  pthread_t hand;
  pthread_mutex_t lock;
  pthread_cond_t cond;
  list_node jobs, done;
  bool stop, quit;
} real;

/** A request to our own API, from its head to the end of its answer. */
typedef struct chan {
  connection_owner owner;
  http_request *request;
  bool begun, served, sent_head, plain;
  real *real;
} chan;

/** The connection of a call of ours that is not kept for others. */
typedef struct outgoing_call {
  connection_owner owner;
  http_call *call;
} outgoing_call;

static volatile sig_atomic_t asked;
/* the context whose wait a signal ends */
static struct lws_context *volatile waiting;

/* a signal that comes just before the wait would else be seen only when the wait is over */
static void on_signal(int n) {
  (void)n;
  asked = 1;
  if (waiting)
    lws_cancel_service(waiting);
}

static time_us real_now(void *p) {
  (void)p;
  struct timespec t;
  clock_gettime(CLOCK_BOOTTIME, &t);
  return (time_us){ (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000 };
}

static uint64_t real_random(world *world) {
  (void)world;
  uint64_t n = 0;
  if (getrandom(&n, sizeof n, 0) != (ssize_t)sizeof n)
    abort();
  return n;
}

static const char *real_stamp(world *world, char *buf, size_t n) {
  (void)world;
  struct timespec t;
  struct tm m;
  clock_gettime(CLOCK_REALTIME, &t);
  gmtime_r(&t.tv_sec, &m);
  size_t k = strftime(buf, n, "%Y-%m-%dT%H:%M:%S", &m);
  snprintf(buf + k, n - k, ".%03ldZ", t.tv_nsec / 1000000);
  return buf;
}

static void real_write_log(world *world, const char *line) {
  (void)world;
  fprintf(stderr, "%s\n", line);
}

/* what the helper thread is asked to do */
enum { DISK_READ, DISK_WRITE, DISK_SYNC };

/* disk: a helper thread does the slow calls, so that a stalled disk never stops the loop */
static void *disk_worker_run(void *p) {
  real *real = p;
  pthread_mutex_lock(&real->lock);
  for (;;) {
    while (list_is_empty(&real->jobs) && !real->quit)
      pthread_cond_wait(&real->cond, &real->lock);
    if (list_is_empty(&real->jobs))
      break;
    job *j = list_item(real->jobs.next, job, link);
    list_remove(&j->link);
    pthread_mutex_unlock(&real->lock);
    int c = 0;
    if (j->op == DISK_SYNC)
      c = fdatasync(j->fd) ? E_DISK_SYNC : 0;
    for (size_t k = 0; j->op < DISK_SYNC && k < j->len && !c;) {
      ssize_t m = j->op == DISK_WRITE ? pwrite(j->fd, j->buf + k, j->len - k, j->off + k)
                                      : pread(j->fd, j->buf + k, j->len - k, j->off + k);
      if (m < 0 && errno == EINTR)
        continue;
      if (m <= 0)
        c = m < 0 && errno == ENOSPC ? E_DISK_FULL : E_DISK;
      else
        k += m;
    }
    pthread_mutex_lock(&real->lock);
    j->code = c;
    list_append(&real->done, &j->link);
    lws_cancel_service(real->ctx);
  }
  pthread_mutex_unlock(&real->lock);
  return NULL;
}

static void disk_worker_drain(real *real) {
  for (;;) {
    pthread_mutex_lock(&real->lock);
    job *j = list_is_empty(&real->done) ? NULL : list_item(real->done.next, job, link);
    if (j)
      list_remove(&j->link);
    pthread_mutex_unlock(&real->lock);
    if (!j)
      return;
    if (j->orphan) {
      g_free(j->buf);
      g_free(j);
      continue;
    }
    j->done = true;
    condition_broadcast(&j->finished);
  }
}

static int disk_worker_do(world *world, int op, unsigned file, size_t off, void *to,
                          const void *from, size_t n, error *err) {
  real *r = (real *)world;
  if (file >= FILES || r->fd[file] < 0)
    return error_set(err, E_DISK, "file %u is not open", file);
  job *j = g_new0(job, 1);
  j->op = op;
  j->fd = r->fd[file];
  j->off = off;
  j->len = n;
  j->buf = n ? g_malloc(n) : NULL;
  if (from)
    memcpy(j->buf, from, n);
  condition_init(&j->finished);
  pthread_mutex_lock(&r->lock);
  list_append(&r->jobs, &j->link);
  pthread_cond_signal(&r->cond);
  pthread_mutex_unlock(&r->lock);
  while (!j->done)
    if (condition_wait(&world->tasks, &j->finished, time_never()) == WAKE_STOPPED && !j->done) {
      j->orphan = true;
      return error_set(err, E_STOPPING, "stopping");
    }
  int c = j->code;
  if (to && !c)
    memcpy(to, j->buf, n);
  g_free(j->buf);
  g_free(j);
  return c ? error_set(err, c, "disk file %u failed", file) : OK;
}

static int real_open(world *world, unsigned file, size_t size, error *err) {
  real *r = (real *)world;
  char path[600];
  snprintf(path, sizeof path, "%s/ring-%02u", r->settings.data_dir, file);
  int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (fd < 0)
    return error_set(err, E_DISK, "%s: %s", path, strerror(errno));
  struct stat st;
  bool young = fstat(fd, &st) || (size_t)st.st_size < size;
  int c = young ? posix_fallocate(fd, 0, size) : 0;
  if (c) {
    close(fd);
    return error_set(err, c == ENOSPC ? E_DISK_FULL : E_DISK, "%s: %s", path, strerror(c));
  }
  /* an old one too: whoever made it may have ended, or failed, before it was synced */
  int d = open(r->settings.data_dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  c = fsync(fd) || d < 0 || fsync(d);
  if (d >= 0)
    close(d);
  if (c) {
    close(fd);
    return error_set(err, E_DISK_SYNC, "%s: %s", path, strerror(errno));
  }
  r->fd[file] = fd;
  return OK;
}
static int real_read(world *world, unsigned f, size_t off, void *to, size_t n, error *err) {
  return disk_worker_do(world, DISK_READ, f, off, to, NULL, n, err);
}
static int real_write(world *world, unsigned f, size_t off, const void *p, size_t n, error *err) {
  return disk_worker_do(world, DISK_WRITE, f, off, NULL, p, n, err);
}
static int real_sync(world *world, unsigned f, error *err) {
  return disk_worker_do(world, DISK_SYNC, f, 0, NULL, NULL, 0, err);
}

/* towards us: HTTP */
static char *hdr_text(struct lws *wsi, enum lws_token_indexes k) {
  int n = lws_hdr_total_length(wsi, k);
  if (n <= 0)
    return NULL;
  char *s = g_malloc0(n + 1);
  lws_hdr_copy(wsi, s, n + 1, k);
  return s;
}

static char *hdr_own(struct lws *wsi, enum http_header k) {
  char name[40];
  snprintf(name, sizeof name, "%s:", http_header_names[k]);
  int n = lws_hdr_custom_length(wsi, name, strlen(name));
  if (n <= 0)
    return NULL;
  char *s = g_malloc0(n + 1);
  lws_hdr_custom_copy(wsi, s, n + 1, name, strlen(name));
  return s;
}

static void serve_task(void *p) {
  chan *c = p;
  http_request *request = c->request;
  c->real->world.serve(c->real->world.serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  c->served = true;
  if (!c->owner.wsi) {
    http_request_free(request);
    g_free(c);
  }
}

static void chan_drop(chan *c) {
  if (!c->begun)
    c->served = true;
  connection_owner_detach(&c->owner);
  c->request->client_gone = true;
  condition_broadcast(&c->request->drained);
  if (c->served) {
    http_request_free(c->request);
    g_free(c);
  }
}

static void chan_destroyed(connection_owner *owner) {
  chan_drop((chan *)owner);
}

static void real_push(http_request *request) {
  if (request->listener) {
    http_engine_flush_request(((real *)request->world)->http, request);
    return;
  }
  chan *c = request->impl;
  if (c && c->owner.wsi)
    lws_callback_on_writable(connection_owner_wsi(&c->owner));
}

static const struct {
  enum lws_token_indexes k;
  const char *verb;
} verbs[] = { { WSI_TOKEN_GET_URI, "GET" },       { WSI_TOKEN_POST_URI, "POST" },
              { WSI_TOKEN_PUT_URI, "PUT" },       { WSI_TOKEN_PATCH_URI, "PATCH" },
              { WSI_TOKEN_DELETE_URI, "DELETE" }, { WSI_TOKEN_HEAD_URI, "HEAD" } };

static int http_in(real *real, struct lws *wsi, chan **pc) {
  http_request *request = g_new0(http_request, 1);
  chan *c = g_new0(chan, 1);
  request->world = &real->world;
  request->body = g_string_new(NULL);
  request->pending_output = g_string_new(NULL);
  condition_init(&request->drained);
  for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
    if ((request->path = hdr_text(wsi, verbs[i].k))) {
      request->method = g_strdup(verbs[i].verb);
      break;
    }
  if (!request->path) {
    request->path = g_strdup("/");
    request->method = g_strdup("?");
  }
  GString *q = g_string_new(NULL);
  char part[512];
  for (int i = 0; lws_hdr_copy_fragment(wsi, part, sizeof part, WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
       i++)
    g_string_append_printf(q, "%s%s", q->len ? "&" : "", part);
  request->query = g_string_free(q, FALSE);
  lws_get_peer_simple(wsi, request->client_address, sizeof request->client_address);
  request->known_fields.values[HEADER_CONTENT_TYPE] = hdr_text(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
  request->known_fields.values[HEADER_IF_MATCH] = hdr_text(wsi, WSI_TOKEN_HTTP_IF_MATCH);
  for (enum http_header k = HEADER_IDEMPOTENCY_KEY; k < HEADER_COUNT; k++)
    if (k != HEADER_RETRY_AFTER)
      request->known_fields.values[k] = hdr_own(wsi, k);
  char *len = hdr_text(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  char *enc = hdr_text(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);
  size_t n = len ? strtoull(len, NULL, 10) : 0;
  g_free(len);
  request->too_large = n > real->world.body_max_bytes;
  bool odd = enc && n == 0;
  g_free(enc);
  request->impl = c;
  c->request = request;
  c->owner.on_destroyed = chan_destroyed;
  connection_owner_attach(&c->owner, wsi);
  c->real = real;
  *pc = c;
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  if (request->too_large || odd || real->world.tasks.stopped) {
    c->served = true;
    const char *why = odd ? "{\"code\":302,\"error\":\"a length is needed, not chunks\"}"
                          : "{\"code\":301,\"error\":\"body too large\"}";
    http_request_respond(request, odd ? 411 : 413, "application/json", string_view_of(why));
    return 0;
  }
  if (!n) {
    c->begun = true;
    task_start(&real->world.tasks, "serve", serve_task, c);
  } else
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, 10);
  return 0;
}

static int http_head(chan *c) {
  http_request *request = c->request;
  unsigned char buf[LWS_PRE + PIECE], *p = buf + LWS_PRE, *end = buf + sizeof buf;
  c->sent_head = true;
  c->plain = request->response_ended && request->ended_cleanly;
  if (lws_add_http_header_status(c->owner.wsi, request->status, &p, end))
    return -1;
  for (int k = 0; k < HEADER_COUNT; k++) {
    if (!request->known_response_fields.values[k])
      continue;
    char name[40];
    snprintf(name, sizeof name, "%s:", http_header_names[k]);
    if (lws_add_http_header_by_name(c->owner.wsi, (unsigned char *)name,
                                    (unsigned char *)request->known_response_fields.values[k],
                                    strlen(request->known_response_fields.values[k]), &p, end))
      return -1;
  }
  if (request->too_large && lws_add_http_header_by_token(c->owner.wsi, WSI_TOKEN_CONNECTION,
                                                         (unsigned char *)"close", 5, &p, end))
    return -1;
  if (c->plain
          ? lws_add_http_header_content_length(c->owner.wsi, request->pending_output->len, &p, end)
          : lws_add_http_header_by_token(c->owner.wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING,
                                         (unsigned char *)"chunked", 7, &p, end))
    return -1;
  if (lws_finalize_write_http_header(c->owner.wsi, buf + LWS_PRE, &p, end))
    return -1;
  return 0;
}

/* one write a call; 1 when the exchange is over */
static int http_out(chan *c) {
  http_request *request = c->request;
  unsigned char buf[LWS_PRE + PIECE + 64], *p = buf + LWS_PRE;
  if (!request->response_started)
    return request->response_ended && !request->ended_cleanly ? -1 : 0;
  if (!c->sent_head) {
    if (http_head(c))
      return -1;
    lws_callback_on_writable(c->owner.wsi);
    return 0;
  }
  size_t n = request->pending_output->len < PIECE ? request->pending_output->len : PIECE;
  bool over = request->response_ended && n == request->pending_output->len;
  if (!n && !over)
    return 0;
  if (over && !request->ended_cleanly && !n)
    return -1;
  if (n && !c->plain)
    p += sprintf((char *)p, "%zx\r\n", n);
  memcpy(p, request->pending_output->str, n);
  p += n;
  g_string_erase(request->pending_output, 0, n);
  if (n && !c->plain) {
    memcpy(p, "\r\n", 2);
    p += 2;
  }
  if (over && request->ended_cleanly && !c->plain) {
    memcpy(p, "0\r\n\r\n", 5);
    p += 5;
  }
  bool last = over && request->ended_cleanly;
  size_t size = p - buf - LWS_PRE;
  if (size && lws_write(c->owner.wsi, buf + LWS_PRE, size,
                        last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
    return -1;
  condition_broadcast(&request->drained);
  if (last)
    return 1;
  if (request->pending_output->len || request->response_ended)
    lws_callback_on_writable(c->owner.wsi);
  return 0;
}

static int http_cb(struct lws *wsi, enum lws_callback_reasons why, void *user, void *in,
                   size_t len) {
  chan **pc = user;
  switch (why) {
  case LWS_CALLBACK_WSI_DESTROY:
    connection_owner_destroyed(wsi);
    return 0;
  case LWS_CALLBACK_HTTP: {
    real *real = lws_context_user(lws_get_context(wsi));
    if (*pc) {
      chan_drop(*pc);
      *pc = NULL;
    }
    return http_in(real, wsi, pc);
  }
  case LWS_CALLBACK_HTTP_BODY:
    if (!*pc || (*pc)->request->too_large)
      return 0;
    if ((*pc)->request->body->len + len > (*pc)->real->world.body_max_bytes)
      return -1;
    g_string_append_len((*pc)->request->body, in, len);
    return 0;
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    if (!*pc || (*pc)->request->too_large)
      return 0;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    (*pc)->begun = true;
    task_start(&(*pc)->real->world.tasks, "serve", serve_task, *pc);
    return 0;
  case LWS_CALLBACK_HTTP_WRITEABLE: {
    if (!*pc)
      return 0;
    int n = http_out(*pc);
    if (n != 1)
      return n;
    /* the library frees what pc points to with the exchange, so it is let go first */
    bool shut = (*pc)->request->too_large;
    chan_drop(*pc);
    *pc = NULL;
    return shut || lws_http_transaction_completed(wsi) ? -1 : 0;
  }
  case LWS_CALLBACK_CLOSED_HTTP:
    if (pc && *pc) {
      chan_drop(*pc);
      *pc = NULL;
    }
    return 0;
  default:
    return lws_callback_http_dummy(wsi, why, user, in, len);
  }
}

/* from us: HTTP */
static http_call *call_of(struct lws *wsi) {
  outgoing_call *outgoing = (outgoing_call *)connection_owner_of(wsi);
  return outgoing ? outgoing->call : NULL;
}

/* the connection of a call is gone; what has come until then is all that comes */
static void outgoing_call_destroyed(connection_owner *owner) {
  outgoing_call *outgoing = (outgoing_call *)owner;
  http_call *call = outgoing->call;
  call->impl = NULL;
  call->broken = !call->ended;
  condition_broadcast(&call->progressed);
  g_free(outgoing);
}

static int call_cb(struct lws *wsi, enum lws_callback_reasons why, void *user, void *in,
                   size_t len) {
  http_call *call = call_of(wsi);
  (void)user;
  switch (why) {
  case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
    if (!call || time_reached(world_now(call->world), call->send_deadline))
      return -1;
    unsigned char **p = in, *end = *p + len;
    char name[40], num[24];
    call->sent = true;
    for (int k = 0; k < HEADER_COUNT; k++) {
      if (!call->known_request_fields.values[k])
        continue;
      snprintf(name, sizeof name, "%s:", http_header_names[k]);
      if (lws_add_http_header_by_name(wsi, (unsigned char *)name,
                                      (unsigned char *)call->known_request_fields.values[k],
                                      strlen(call->known_request_fields.values[k]), p, end))
        return -1;
    }
    snprintf(num, sizeof num, "%zu", call->body->len);
    if (strcmp(call->method, "GET") &&
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, (unsigned char *)num,
                                     strlen(num), p, end))
      return -1;
    if (call->body->len) {
      lws_client_http_body_pending(wsi, 1);
      lws_callback_on_writable(wsi);
    }
    return 0;
  }
  case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE: {
    if (!call || time_reached(world_now(call->world), call->send_deadline))
      return -1;
    if (!call->body->len)
      return 0;
    unsigned char buf[LWS_PRE + PIECE];
    size_t n = call->body->len < PIECE ? call->body->len : PIECE;
    memcpy(buf + LWS_PRE, call->body->str, n);
    g_string_erase(call->body, 0, n);
    bool last = !call->body->len;
    if (last)
      lws_client_http_body_pending(wsi, 0);
    if (lws_write(wsi, buf + LWS_PRE, n, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
      return -1;
    if (!last)
      lws_callback_on_writable(wsi);
    return 0;
  }
  case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP: {
    if (!call)
      return -1;
    call->known_response_fields.values[HEADER_RETRY_AFTER] =
        hdr_text(wsi, WSI_TOKEN_HTTP_RETRY_AFTER);
    call->known_response_fields.values[HEADER_ETAG] = hdr_text(wsi, WSI_TOKEN_HTTP_ETAG);
    call->known_response_fields.values[HEADER_CONTENT_TYPE] =
        hdr_text(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    call->status = lws_http_client_http_response(wsi);
    char *size = hdr_text(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    call->read_bytes = size ? strtoull(size, NULL, 10) : UINT64_MAX;
    if (call->status == 204 || call->status == 304)
      call->read_bytes = 0;
    g_free(size);
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    condition_broadcast(&call->progressed);
    return 0;
  }
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
    if (!call)
      return -1;
    char buf[LWS_PRE + PIECE], *p = buf + LWS_PRE;
    int n = PIECE;
    /* at the end of the bytes the library's reader calls the exchange complete, last chunk or not
     */
    char peek;
    call->reading = recv(lws_get_socket_fd(wsi), &peek, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    n = lws_http_client_read(wsi, &p, &n);
    /* the call may have been dropped meanwhile */
    if (call_of(wsi) == call)
      call->reading = false;
    return n < 0 ? -1 : 0;
  }
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    if (!call)
      return -1;
    g_string_append_len(call->response_body, in, len);
    call->received_bytes += len;
    if (call->response_body->len > call->response_max_bytes + GOT_MOST)
      return -1;
    condition_broadcast(&call->progressed);
    return 0;
  case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    /* whole is only what ended while bytes were read, or what has the length that was said */
    if (call && (call->reading || call->received_bytes == call->read_bytes))
      call->ended = true;
    else if (call)
      call->broken = true;
    if (call)
      condition_broadcast(&call->progressed);
    return -1;
  default:
    return lws_callback_http_dummy(wsi, why, user, in, len);
  }
}

static void real_call(http_call *call) {
  real *r = (real *)call->world;
  if (call->pooled) {
    http_engine_start_call(r->http, call);
    return;
  }
  if (r->world.tasks.stopped) {
    call->broken = true;
    return;
  }
  outgoing_call *outgoing = g_new0(outgoing_call, 1);
  outgoing->owner.on_destroyed = outgoing_call_destroyed;
  outgoing->call = call;
  call->impl = outgoing;
  dial_target target = { r->ctx,       r->host,    r->settings.ip, call->address,
                         call->method, call->path, "call" };
  if (!dial_open(&target, &outgoing->owner))
    outgoing_call_destroyed(&outgoing->owner);
}

static void real_drop(http_call *call) {
  if (call->pooled) {
    http_engine_cancel_call(((real *)call->world)->http, call);
    return;
  }
  outgoing_call *outgoing = call->impl;
  if (!outgoing)
    return;
  call->impl = NULL;
  struct lws *wsi = connection_owner_wsi(&outgoing->owner);
  connection_owner_detach(&outgoing->owner);
  g_free(outgoing);
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void real_post(world *world, const char *addr, string_view bytes) {
  peer_channels_post(((real *)world)->peers, addr, bytes);
}

static int peer_cb(struct lws *wsi, enum lws_callback_reasons why, void *user, void *in,
                   size_t len) {
  real *real = lws_context_user(lws_get_context(wsi));
  return peer_channels_event(real->peers, wsi, why, user, in, len);
}

static int sock_cb(struct lws *wsi, enum lws_callback_reasons why, void *user, void *in,
                   size_t len) {
  (void)user;
  return sock_event(wsi, why, in, len);
}

static int real_listener_open(world *world, http_listener *listener, error *err) {
  return http_engine_listener_open(((real *)world)->http, listener, err);
}
static void real_listener_stop_accepting(world *world, http_listener *listener) {
  http_engine_listener_stop_accepting(((real *)world)->http, listener);
}
static void real_listener_close_idle(world *world, http_listener *listener) {
  http_engine_listener_close_idle(((real *)world)->http, listener);
}
static void real_pool_close_idle(world *world, const char *addr) {
  http_engine_pool_close_idle(((real *)world)->http, addr);
}

static const struct lws_protocols protos[] = {
  { "http", http_cb, sizeof(chan *), 0, 0, NULL, 0 },
  { "call", call_cb, 0, PIECE, 0, NULL, 0 },
  { PEER_PROTOCOL, peer_cb, 0, SOCK_READ_BYTES, 0, NULL, 0 },
  { SOCK_PROTOCOL, sock_cb, 0, SOCK_READ_BYTES, 0, NULL, 0 },
  { NULL, NULL, 0, 0, 0, NULL, 0 }
};

/* the timer fires inside lws_service, which then would go on to wait for something else */
static void on_due(lws_sorted_usec_list_t *s) {
  lws_cancel_service(((real *)((char *)s - offsetof(real, sul)))->ctx);
}

world *real_world_new(const real_settings *v, error *err) {
  fault_reports_install();
  real *r = g_new0(real, 1);
  r->settings = *v;
  scheduler_init(&r->world.tasks, real_now, r);
  r->world.random = real_random;
  r->world.timestamp = real_stamp;
  r->world.write_log = real_write_log;
  r->world.post_message = real_post;
  r->world.request_flush = real_push;
  r->world.call_start = real_call;
  r->world.call_cancel = real_drop;
  r->world.listener_open = real_listener_open;
  r->world.listener_stop_accepting = real_listener_stop_accepting;
  r->world.listener_close_idle = real_listener_close_idle;
  r->world.pool_close_idle = real_pool_close_idle;
  r->world.disk_open = real_open;
  r->world.disk_read = real_read;
  r->world.disk_write = real_write;
  r->world.disk_sync = real_sync;
  r->world.body_max_bytes = v->body_max_bytes ? v->body_max_bytes : 1 << 20;
  list_init(&r->jobs);
  list_init(&r->done);
  for (int i = 0; i < FILES; i++)
    r->fd[i] = -1;
  pthread_mutex_init(&r->lock, NULL);
  pthread_cond_init(&r->cond, NULL);
  lws_set_log_level(LLL_ERR, NULL);
  struct lws_context_creation_info i = { 0 };
  i.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  i.user = r;
  i.port = CONTEXT_PORT_NO_LISTEN;
  i.gid = -1;
  i.uid = -1;
  i.max_http_header_data = 16384;
  i.max_http_header_pool = 512;
  i.pt_serv_buf_size = SOCK_READ_BYTES + LWS_PRE;
  /* how long an answer may take is each task's own affair; the library only drops those who never
   * finish their header */
  i.timeout_secs = 600;
  r->ctx = lws_create_context(&i);
  if (r->ctx) {
    i.port = v->port ? v->port : CONTEXT_PORT_NO_LISTEN;
    i.iface = v->port ? v->ip : NULL;
    i.protocols = protos;
    i.vhost_name = "asterfall";
    i.keepalive_timeout = 30;
    i.options =
        LWS_SERVER_OPTION_DISABLE_IPV6 | (v->port ? LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND : 0);
    r->host = lws_create_vhost(r->ctx, &i);
  }
  if (!r->host) {
    error_set(err, E_LISTEN, "can't listen on %s:%d", v->ip, v->port);
    if (r->ctx)
      lws_context_destroy(r->ctx);
    scheduler_free(&r->world.tasks);
    g_free(r);
    return NULL;
  }
  r->http = http_engine_new(&r->world, r->host);
  r->peers = peer_channels_new(&r->world, r->ctx, r->host, r->settings.ip);
  pthread_create(&r->hand, NULL, disk_worker_run, r);
  return &r->world;
}

void real_world_run(world *world, void (*on_term)(void *), void *ctx) {
  real *r = (real *)world;
  struct sigaction s = { .sa_handler = on_signal };
  waiting = r->ctx;
  sigaction(SIGTERM, &s, NULL);
  sigaction(SIGINT, &s, NULL);
  signal(SIGPIPE, SIG_IGN);
  while (!r->stop) {
    disk_worker_drain(r);
    time_us due;
    do
      due = scheduler_run(&world->tasks);
    while (http_engine_run(r->http));
    if (r->stop)
      break;
    if (asked) {
      asked = 0;
      if (on_term)
        on_term(ctx);
      else
        r->stop = true;
      continue;
    }
    time_us late = http_engine_next_deadline(r->http),
            gap = time_sub(late.us < due.us ? late : due, world_now(world)),
            most = time_from_ms(500);
    if (gap.us > most.us)
      gap = most;
    /* poll counts whole milliseconds; a wait that is cut down to the one before would be spun out
     */
    bool soon = gap.us <= 0;
    if (!soon)
      lws_sul_schedule(r->ctx, 0, &r->sul, on_due, (gap.us + 999) / 1000 * 1000 + 500);
    if (lws_service(r->ctx, soon ? -1 : 0) < 0)
      break;
  }
}

void real_world_stop(world *world) {
  ((real *)world)->stop = true;
}

void real_world_free(world *world) {
  real *r = (real *)world;
  waiting = NULL;
  scheduler_stop(&world->tasks);
  lws_sul_schedule(r->ctx, 0, &r->sul, NULL, LWS_SET_TIMER_USEC_CANCEL);
  pthread_mutex_lock(&r->lock);
  r->quit = true;
  pthread_cond_signal(&r->cond);
  pthread_mutex_unlock(&r->lock);
  pthread_join(r->hand, NULL);
  disk_worker_drain(r);
  lws_context_destroy(r->ctx);
  scheduler_stop(&world->tasks);
  http_engine_free(r->http);
  for (int i = 0; i < FILES; i++)
    if (r->fd[i] >= 0)
      close(r->fd[i]);
  peer_channels_free(r->peers);
  scheduler_free(&world->tasks);
  g_free(r);
}
