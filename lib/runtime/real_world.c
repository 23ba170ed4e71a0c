/** The real world: see real_world.h. */
#include "real_world.h"
#include "dial.h"
#include "fault.h"
#include "http_engine.h"
#include "peer_channels.h"
#include "real_disk.h"
#include "real_http_client.h"
#include "real_http_server.h"
#include "sock.h"
#include <libwebsockets.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

enum {
  DEFAULT_BODY_MAX_BYTES = 1 << 20,
  /* maximum size of a request head, and maximum number of heads being read at the same time */
  HEAD_MAX_BYTES = 16384,
  HEADS_MAX = 512,
  /* The library closes connections that take longer than this to send a head. The tasks themselves
   * limit the time for responses. */
  LIBRARY_TIMEOUT_S = 600,
  KEEPALIVE_TIMEOUT_S = 30,
  /* maximum time that the loop waits for events, independent of deadlines */
  WAIT_MAX_MS = 500,
  /* the library polls in whole milliseconds, rounded down */
  POLL_UNIT_US = 1000,
  POLL_ROUNDING_US = 500
};

typedef struct real_world {
  /** First member, so that a pointer to it can be cast to real_world. */
  world world;
  real_settings settings;
  struct lws_context *context;
  struct lws_vhost *vhost;
  http_engine *http;
  peer_channels *peers;
  real_disk *disk;
  /** Timer that ends the wait for events at the next deadline. */
  lws_sorted_usec_list_t wakeup;
  bool stopping;
} real_world;

static real_world *real_world_of(world *world) {
  return (real_world *)world;
}

/* ---- signals ---- */

static volatile sig_atomic_t termination_requested;
/* the context whose wait for events a signal interrupts */
static struct lws_context *volatile interruptible_context;

/* Sets the flag and interrupts the wait for events. Without the interruption, a signal that arrives
 * just before the wait would be noticed only after it. */
static void on_termination_signal(int number) {
  (void)number;
  termination_requested = 1;
  if (interruptible_context)
    lws_cancel_service(interruptible_context);
}

static void install_signal_handlers(struct lws_context *context) {
  struct sigaction action = { .sa_handler = on_termination_signal };
  interruptible_context = context;
  sigaction(SIGTERM, &action, NULL);
  sigaction(SIGINT, &action, NULL);
  signal(SIGPIPE, SIG_IGN);
}

/* ---- clock, random numbers, log ---- */

static time_us read_boot_clock(void *context) {
  (void)context;
  struct timespec now;
  clock_gettime(CLOCK_BOOTTIME, &now);
  return (time_us){ (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000 };
}

static uint64_t random_bits(world *world) {
  (void)world;
  uint64_t bits = 0;
  if (getrandom(&bits, sizeof bits, 0) != (ssize_t)sizeof bits)
    abort();
  return bits;
}

static const char *format_timestamp(world *world, char *buffer, size_t size) {
  (void)world;
  struct timespec now;
  struct tm utc;
  clock_gettime(CLOCK_REALTIME, &now);
  gmtime_r(&now.tv_sec, &utc);
  size_t length = strftime(buffer, size, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf(buffer + length, size - length, ".%03ldZ", now.tv_nsec / 1000000);
  return buffer;
}

static void write_log(world *world, const char *line) {
  (void)world;
  fprintf(stderr, "%s\n", line);
}

/* ---- the functions of struct world that other modules implement ---- */

static void post_message(world *world, const char *address, string_view message) {
  peer_channels_post(real_world_of(world)->peers, address, message);
}

static void request_flush(http_request *request) {
  if (request->listener)
    http_engine_flush_request(real_world_of(request->world)->http, request);
  else
    real_http_server_flush(request);
}

static void call_start(http_call *call) {
  real_world *real = real_world_of(call->world);
  if (call->pooled)
    http_engine_start_call(real->http, call);
  else
    real_http_client_start(call, real->context, real->vhost, real->settings.ip);
}

static void call_cancel(http_call *call) {
  if (call->pooled)
    http_engine_cancel_call(real_world_of(call->world)->http, call);
  else
    real_http_client_cancel(call);
}

static enum error_code listener_open(world *world, http_listener *listener, error *err) {
  return http_engine_listener_open(real_world_of(world)->http, listener, err);
}

static void listener_stop_accepting(world *world, http_listener *listener) {
  http_engine_listener_stop_accepting(real_world_of(world)->http, listener);
}

static void listener_close_idle(world *world, http_listener *listener) {
  http_engine_listener_close_idle(real_world_of(world)->http, listener);
}

static void pool_close_idle(world *world, const char *address) {
  http_engine_pool_close_idle(real_world_of(world)->http, address);
}

static enum error_code disk_open(world *world, unsigned file, size_t size, error *err) {
  return real_disk_open_file(real_world_of(world)->disk, file, size, err);
}

static enum error_code disk_read(world *world, unsigned file, size_t offset, void *to, size_t size,
                                 error *err) {
  return real_disk_read(real_world_of(world)->disk, file, offset, to, size, err);
}

static enum error_code disk_write(world *world, unsigned file, size_t offset, const void *from,
                                  size_t size, error *err) {
  return real_disk_write(real_world_of(world)->disk, file, offset, from, size, err);
}

static enum error_code disk_sync(world *world, unsigned file, error *err) {
  return real_disk_sync(real_world_of(world)->disk, file, err);
}

static void set_functions(world *world) {
  world->random = random_bits;
  world->timestamp = format_timestamp;
  world->write_log = write_log;
  world->post_message = post_message;
  world->request_flush = request_flush;
  world->call_start = call_start;
  world->call_cancel = call_cancel;
  world->listener_open = listener_open;
  world->listener_stop_accepting = listener_stop_accepting;
  world->listener_close_idle = listener_close_idle;
  world->pool_close_idle = pool_close_idle;
  world->disk_open = disk_open;
  world->disk_read = disk_read;
  world->disk_write = disk_write;
  world->disk_sync = disk_sync;
}

/* ---- libwebsockets ---- */

static int peer_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
                         size_t length) {
  real_world *real = lws_context_user(lws_get_context(wsi));
  return peer_channels_event(real->peers, wsi, (int)reason, user, in, length);
}

static int sock_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
                         size_t length) {
  (void)user;
  return sock_event(wsi, (int)reason, in, length);
}

/* The server's protocol must be first: the vhost's first protocol gets LWS_CALLBACK_WSI_DESTROY for
 * the connections of all protocols. */
static const struct lws_protocols protocols[] = {
  { .name = "http",
    .callback = real_http_server_callback,
    .per_session_data_size = REAL_HTTP_SERVER_USER_BYTES },
  { .name = REAL_HTTP_CLIENT_PROTOCOL,
    .callback = real_http_client_callback,
    .rx_buffer_size = REAL_HTTP_CLIENT_READ_BYTES },
  { .name = PEER_PROTOCOL, .callback = peer_callback, .rx_buffer_size = SOCK_READ_BYTES },
  { .name = SOCK_PROTOCOL, .callback = sock_callback, .rx_buffer_size = SOCK_READ_BYTES },
  { .name = NULL }
};

static struct lws_context *create_context(real_world *real) {
  lws_set_log_level(LLL_ERR, NULL);
  struct lws_context_creation_info info = {
    .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6,
    .user = real,
    .port = CONTEXT_PORT_NO_LISTEN,
    .gid = (gid_t)-1,
    .uid = (uid_t)-1,
    .max_http_header_data = HEAD_MAX_BYTES,
    .max_http_header_pool = HEADS_MAX,
    .pt_serv_buf_size = SOCK_READ_BYTES + LWS_PRE,
    .timeout_secs = LIBRARY_TIMEOUT_S,
  };
  return lws_create_context(&info);
}

static struct lws_vhost *create_vhost(real_world *real) {
  const real_settings *settings = &real->settings;
  bool listens = settings->port != 0;
  struct lws_context_creation_info info = {
    .options =
        LWS_SERVER_OPTION_DISABLE_IPV6 | (listens ? LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND : 0),
    .user = real,
    .port = listens ? settings->port : CONTEXT_PORT_NO_LISTEN,
    .iface = listens ? settings->ip : NULL,
    .gid = (gid_t)-1,
    .uid = (uid_t)-1,
    .max_http_header_data = HEAD_MAX_BYTES,
    .max_http_header_pool = HEADS_MAX,
    .pt_serv_buf_size = SOCK_READ_BYTES + LWS_PRE,
    .timeout_secs = LIBRARY_TIMEOUT_S,
    .keepalive_timeout = KEEPALIVE_TIMEOUT_S,
    .vhost_name = "asterfall",
    .protocols = protocols,
  };
  return lws_create_vhost(real->context, &info);
}

/* ---- event loop ---- */

world *real_world_new(const real_settings *settings, error *err) {
  fault_reports_install();
  real_world *real = g_new0(real_world, 1);
  world *world = &real->world;
  real->settings = *settings;
  scheduler_init(&world->tasks, read_boot_clock, real);
  set_functions(world);
  world->body_max_bytes =
      settings->body_max_bytes ? settings->body_max_bytes : DEFAULT_BODY_MAX_BYTES;
  real->context = create_context(real);
  if (real->context)
    real->vhost = create_vhost(real);
  if (!real->vhost) {
    error_set(err, E_LISTEN, "can't listen on %s:%d", settings->ip, settings->port);
    if (real->context)
      lws_context_destroy(real->context);
    scheduler_free(&world->tasks);
    g_free(real);
    return NULL;
  }
  real->http = http_engine_new(world, real->vhost);
  real->peers = peer_channels_new(world, real->context, real->vhost, real->settings.ip);
  real->disk = real_disk_new(world, real->context, real->settings.data_dir);
  return world;
}

/* Runs tasks, and the HTTP engine's work that results from them, until no task is ready. Returns
 * the deadline of the next sleeping task. */
static time_us run_ready_tasks(real_world *real) {
  time_us deadline;
  real_disk_complete_jobs(real->disk);
  do
    deadline = scheduler_run(&real->world.tasks);
  while (http_engine_run(real->http));
  return deadline;
}

/* Interrupts lws_service, which calls this timer callback and would otherwise wait again. */
static void on_wakeup(lws_sorted_usec_list_t *wakeup) {
  real_world *real = (real_world *)((char *)wakeup - offsetof(real_world, wakeup));
  lws_cancel_service(real->context);
}

/* Waits for events until a deadline, and handles them. Returns false if the library has failed. */
static bool wait_for_events(real_world *real, time_us deadline) {
  time_us wait = time_sub(deadline, world_now(&real->world)), max_wait = time_from_ms(WAIT_MAX_MS);
  if (wait.us > max_wait.us)
    wait = max_wait;
  if (wait.us <= 0)
    return lws_service(real->context, -1) >= 0;
  /* a wait that is rounded down would end too early, and many empty loop iterations would follow */
  int64_t rounded_us = (wait.us + POLL_UNIT_US - 1) / POLL_UNIT_US * POLL_UNIT_US;
  lws_sul_schedule(real->context, 0, &real->wakeup, on_wakeup, rounded_us + POLL_ROUNDING_US);
  return lws_service(real->context, 0) >= 0;
}

void real_world_run(world *world, void (*on_term)(void *context), void *context) {
  real_world *real = real_world_of(world);
  install_signal_handlers(real->context);
  while (!real->stopping) {
    time_us task_deadline = run_ready_tasks(real);
    if (real->stopping)
      break;
    if (termination_requested) {
      termination_requested = 0;
      if (on_term)
        on_term(context);
      else
        real->stopping = true;
      continue;
    }
    time_us http_deadline = http_engine_next_deadline(real->http);
    if (!wait_for_events(real, http_deadline.us < task_deadline.us ? http_deadline : task_deadline))
      break;
  }
}

void real_world_stop(world *world) {
  real_world_of(world)->stopping = true;
}

/* Tasks are stopped twice, because destroying the connections wakes the tasks that wait for them;
 * these may still use what is freed afterwards. */
void real_world_free(world *world) {
  real_world *real = real_world_of(world);
  interruptible_context = NULL;
  scheduler_stop(&world->tasks);
  lws_sul_schedule(real->context, 0, &real->wakeup, NULL, LWS_SET_TIMER_USEC_CANCEL);
  real_disk_stop(real->disk);
  lws_context_destroy(real->context);
  scheduler_stop(&world->tasks);
  http_engine_free(real->http);
  peer_channels_free(real->peers);
  real_disk_free(real->disk);
  scheduler_free(&world->tasks);
  g_free(real);
}
