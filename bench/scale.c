/* Measures the cost of the control plane by the size of the fleet. It uses real sockets on loopback
 * addresses, controllers in processes of their own, complete gateways that forward no traffic as
 * threads of a few processes, and engines that only send heartbeats.
 *
 * The processes report to the main one through a pipe, one line per report:
 * - S: a sample of one node at the start of a phase: CPU time in us, voluntary context switches,
 *   messages and bytes
 * - K: messages and bytes of one node by the kind of message
 * - T: bytes and segments that TCP carried for a process, and its open descriptors
 * - C: a configuration is in force at a gateway
 * - L: a gateway has learned that an engine leaves
 *
 * usage: scale [--nodes 10,30] [--engines 90] [--models 14] [--secs 10] [--net 77] [--out FILE.tsv]
 *              [--svg FILE.svg], or scale --records */
#define _GNU_SOURCE
#include "gateway.h"
#include "controller.h"
#include "real_world.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/tcp.h>
#include <math.h>
#include <pcl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
  CONTROLLERS = 3,
  SOLO_GATEWAYS = 2,
  GATEWAYS_PER_PROCESS = 10,
  PHASES = 3,
  LEAVING_ENGINES = 5,
  NODES_MAX = 1000,
  PROCESSES_MAX = 140,
  PEER_PORT = 7661,
  CONTROL_PORT = 8146,
  FRONT_PORT = 8144,
  READY_PORT = 8140,
  HEARTBEAT_INTERVAL_MS = 1200,
  CHURN_PER_S = 5,
  CHANGES_PER_S = 1,
  SOLO_OPEN_FILES = 4100,
  MESSAGE_KINDS = 64,
  CHANGES_MAX = 64
};
static const char *const phase_name[PHASES] = { "quiet", "changes", "churn" };

typedef struct message_counts {
  uint64_t messages_out, bytes_out, messages_in, bytes_in;
} message_counts;
typedef struct bench_node {
  int index, is_solo;
  char name[40], ip[24];
  world *world;
  router *router;
  gateway *gateway;
  controller *controller;
  message_counts traffic_by_kind[MESSAGE_KINDS];
  void (*receive_message)(void *ctx, string_view msg);
  void (*on_installed)(void *gateway);
  void (*on_engines)(void *gateway, const Wire__ConfigPollResponse *b);
  peer_rpc_handler handle_engine_update;
  void *engines_ctx;
  uint64_t version;
  bool leave_reported[LEAVING_ENGINES];
} bench_node;

static _Thread_local bench_node *current_node;
static int report_pipe[2], nodes = 10, engines = 90, models = 14, phase_s = 10, loopback_net = 77;
static int64_t phase_starts_us[PHASES + 1];
static char data_root[64];
static pthread_mutex_t startup_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t now_us(void) {
  struct timespec t;
  clock_gettime(CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}
static void sleep_until(int64_t us) {
  while (now_us() < us)
    usleep((useconds_t)MIN(us - now_us() + 50, 200000));
}

__attribute__((format(printf, 1, 2))) static void report_line(const char *form, ...) {
  char line[512];
  va_list l;
  va_start(l, form);
  int n = vsnprintf(line, sizeof line, form, l);
  va_end(l);
  if (write(report_pipe[1], line, (size_t)n) != n)
    _exit(3);
}

/* Returns the field number of an envelope's body, found by its tag without unpacking the message.
 */
static int message_kind(string_view m) {
  const uint8_t *p = (const uint8_t *)m.data, *end = p + m.length;
  while (p < end) {
    uint64_t tag = 0, n = 0;
    int s = 0;
    for (; p < end; s += 7) {
      tag |= (uint64_t)(*p & 127) << s;
      if (!(*p++ & 128))
        break;
    }
    if (tag >> 3 >= 10)
      return (int)MIN(tag >> 3, MESSAGE_KINDS - 1);
    if ((tag & 7) == 0) {
      while (p < end && *p++ & 128)
        ;
      continue;
    }
    if ((tag & 7) == 1) {
      p += 8;
      continue;
    }
    for (s = 0; p < end; s += 7) {
      n |= (uint64_t)(*p & 127) << s;
      if (!(*p++ & 128))
        break;
    }
    p += n;
  }
  return 0;
}

static void (*real_post_message)(world *world, const char *addr, string_view msg);
static void count_and_post(world *world, const char *addr, string_view msg) {
  message_counts *k = &current_node->traffic_by_kind[message_kind(msg)];
  k->messages_out++;
  k->bytes_out += msg.length;
  real_post_message(world, addr, msg);
}
static void count_and_receive(void *ctx, string_view msg) {
  message_counts *k = &current_node->traffic_by_kind[message_kind(msg)];
  k->messages_in++;
  k->bytes_in += msg.length;
  current_node->receive_message(ctx, msg);
}

static void report_sample(int phase, const char *role) {
  struct rusage u;
  if (current_node->controller)
    getrusage(RUSAGE_SELF, &u);
  else
    getrusage(RUSAGE_THREAD, &u);
  int64_t cpu = (int64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 + u.ru_utime.tv_usec +
                u.ru_stime.tv_usec;
  message_counts t = { 0 };
  for (int k = 0; k < MESSAGE_KINDS; k++) {
    const message_counts *x = &current_node->traffic_by_kind[k];
    t.messages_out += x->messages_out;
    t.bytes_out += x->bytes_out;
    t.messages_in += x->messages_in;
    t.bytes_in += x->bytes_in;
    if (x->messages_out + x->messages_in && (current_node->controller || current_node->is_solo))
      report_line("K %d %s %d %d %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64 "\n", phase, role,
                  current_node->index, k, x->messages_out, x->bytes_out, x->messages_in,
                  x->bytes_in);
  }
  report_line("S %d %s %d %" PRId64 " %ld %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64 "\n", phase,
              role, current_node->index, cpu, u.ru_nvcsw, t.messages_out, t.bytes_out,
              t.messages_in, t.bytes_in);
}

/* Reports the bytes and segments that TCP carried for this process, and its open descriptors. */
static void report_sockets(int phase, const char *role, int count) {
  uint64_t out = 0, in = 0, segs = 0;
  int fds = 0;
  for (int fd = 3; fd < 20000; fd++) {
    struct tcp_info t;
    socklen_t n = sizeof t;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &t, &n)) {
      fds += fcntl(fd, F_GETFD) >= 0;
      continue;
    }
    fds++;
    out += t.tcpi_bytes_acked;
    in += t.tcpi_bytes_received;
    segs += t.tcpi_segs_out;
  }
  report_line("T %d %s %d %" PRIu64 " %" PRIu64 " %" PRIu64 " %d\n", phase, role, count, out, in,
              segs, fds);
}

static void report_samples(void *p) {
  const char *role = p;
  for (int k = 0; k <= PHASES; k++) {
    int64_t wait = phase_starts_us[k] - now_us();
    if (wait > 0 && !world_sleep(current_node->world, (time_us){ wait }))
      return;
    report_sample(k, role);
    if (current_node->controller)
      report_sockets(k, role, 1);
  }
}

static void report_leaving_engines(void) {
  for (int i = 0; i < LEAVING_ENGINES; i++) {
    char name[16];
    snprintf(name, sizeof name, "e%d", i);
    gateway_engine *x =
        current_node->leave_reported[i] ? NULL : gateway_engine_find(current_node->gateway, name);
    if (!x || !(x->draining || x->gone))
      continue;
    current_node->leave_reported[i] = true;
    report_line("L %d %" PRId64 "\n", i, now_us());
  }
}

static void report_configuration(void *gateway) {
  current_node->on_installed(gateway);
  const char *text =
      strstr(current_node->router->sync.resources[RESOURCE_ROUTING]->str, "\"version\":");
  uint64_t version = text ? strtoull(text + 10, NULL, 10) : 0;
  if (!version || version == current_node->version)
    return;
  current_node->version = version;
  report_line("C %" PRIu64 " %" PRId64 "\n", current_node->version, now_us());
}
static void on_engines_received(void *gateway, const Wire__ConfigPollResponse *b) {
  current_node->on_engines(gateway, b);
  report_leaving_engines();
}
static enum error_code on_engine_update(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  int r = current_node->handle_engine_update(ctx, in, reply, err);
  report_leaving_engines();
  return r;
}

static void controller_ip(int i, char *to, size_t n) {
  snprintf(to, n, "127.%d.0.%d", loopback_net, i + 1);
}

static void bench_settings(settings *settings, enum role role, const bench_node *node, int zone) {
  memset(settings, 0, sizeof *settings);
  settings->role = role;
  settings->self = id_of_text(node->name);
  snprintf(settings->zone.text, sizeof settings->zone.text, "zone-%d", zone);
  snprintf(settings->address, sizeof settings->address, "%s:%d", node->ip, PEER_PORT);
  for (int i = 0; i < CONTROLLERS; i++) {
    char ip[24];
    controller_ip(i, ip, sizeof ip);
    snprintf(settings->seed_addresses[i], sizeof settings->seed_addresses[i], "%s:%d", ip,
             PEER_PORT);
    if (role == ROLE_CONTROLLER)
      g_strlcpy(settings->founder_addresses[i], settings->seed_addresses[i],
                sizeof settings->founder_addresses[i]);
  }
  settings->founder_count = role == ROLE_CONTROLLER ? CONTROLLERS : 0;
  settings->chain_members = CONTROLLERS;
  settings->write_replicas = 2;
  settings->write_zones = 1;
  settings->log_file_bytes = 4 << 20;
  settings->relaxed_timing = settings->is_gateway = true;
}

static void discard_log(world *world, const char *line) {
  (void)world;
  (void)line;
}

static world *make_world(bench_node *node, const char *data) {
  real_settings x = { .port = PEER_PORT, .body_max_bytes = 1 << 20 };
  error err = { 0 };
  g_strlcpy(x.ip, node->ip, sizeof x.ip);
  if (data)
    g_strlcpy(x.data_dir, data, sizeof x.data_dir);
  world *world = real_world_new(&x, &err);
  if (!world) {
    fprintf(stderr, "scale: %s\n", err.text);
    _exit(2);
  }
  world->write_log = discard_log;
  real_post_message = world->post_message;
  world->post_message = count_and_post;
  return world;
}

static void *run_gateway(void *p) {
  bench_node *node = current_node = p;
  co_thread_init();
  settings v;
  error err = { 0 };
  pthread_mutex_lock(&startup_lock);
  node->world = make_world(node, NULL);
  bench_settings(&v, ROLE_ROUTER, node, 1 + node->index % 15);
  node->router = router_new(node->world, &v);
  gateway_settings x = { .client_port = FRONT_PORT,
                         .ready_port = READY_PORT,
                         .dialect = &dialect_native,
                         .heartbeat_ms = HEARTBEAT_INTERVAL_MS,
                         .load_window_s = 5,
                         .load_limit_factor = 1.1 };
  g_strlcpy(x.client_ip, node->ip, sizeof x.client_ip);
  g_strlcpy(x.ready_ip, node->ip, sizeof x.ready_ip);
  node->gateway = gateway_new(node->router, &x, &err);
  if (!node->gateway || gateway_open(node->gateway, &err)) {
    fprintf(stderr, "scale: %s\n", err.text);
    _exit(2);
  }
  pthread_mutex_unlock(&startup_lock);
  node->receive_message = node->world->on_message;
  node->world->on_message = count_and_receive;
  node->on_installed = node->router->on_snapshot_installed;
  node->router->on_snapshot_installed = report_configuration;
  node->on_engines = node->router->on_engines_changed;
  node->router->on_engines_changed = on_engines_received;
  node->handle_engine_update =
      node->router->node.rpc.handlers[WIRE__ENVELOPE__BODY_ENGINE_UPDATE].fn;
  node->router->node.rpc.handlers[WIRE__ENVELOPE__BODY_ENGINE_UPDATE].fn = on_engine_update;
  task_start(&node->world->tasks, "sample", report_samples, node->is_solo ? "alone" : "node");
  real_world_run(node->world, NULL, NULL);
  return NULL;
}

static void set_open_files_limit(rlim_t n) {
  struct rlimit r;
  getrlimit(RLIMIT_NOFILE, &r);
  r.rlim_cur = MIN(n, r.rlim_max);
  setrlimit(RLIMIT_NOFILE, &r);
}

static void gateways_process(int from, int count, bool is_solo) {
  bench_node *node = g_new0(bench_node, (gsize)count);
  set_open_files_limit(is_solo ? SOLO_OPEN_FILES : 20000);
  for (int i = 0; i < count; i++) {
    node[i].index = from + i;
    node[i].is_solo = is_solo;
    snprintf(node[i].name, sizeof node[i].name, "node-%d", from + i);
    snprintf(node[i].ip, sizeof node[i].ip, "127.%d.%d.%d", loopback_net + 1, (from + i) / 200,
             1 + (from + i) % 200);
    pthread_t t;
    pthread_create(&t, NULL, run_gateway, &node[i]);
  }
  for (int k = 0; k <= PHASES; k++) {
    sleep_until(phase_starts_us[k]);
    report_sockets(k, is_solo ? "alone" : "node", count);
  }
  pause();
}

static void controller_process(int i) {
  bench_node *node = current_node = g_new0(bench_node, 1);
  char data[128];
  error err = { 0 };
  settings v;
  set_open_files_limit(20000);
  node->index = i;
  snprintf(node->name, sizeof node->name, "core-%d", i);
  controller_ip(i, node->ip, sizeof node->ip);
  snprintf(data, sizeof data, "%s/%d", data_root, i);
  g_mkdir_with_parents(data, 0700);
  node->world = make_world(node, data);
  bench_settings(&v, ROLE_CONTROLLER, node, 1 + i * 5);
  g_strlcpy(v.data_dir, data, sizeof v.data_dir);
  node->controller = controller_new(node->world, &v);
  node->receive_message = node->world->on_message;
  node->world->on_message = count_and_receive;
  if (controller_open_control_listener(node->controller, node->ip, CONTROL_PORT, NULL, &err)) {
    fprintf(stderr, "scale: %s\n", err.text);
    _exit(2);
  }
  task_start(&node->world->tasks, "sample", report_samples, "core");
  real_world_run(node->world, NULL, NULL);
  _exit(0);
}

static int connect_to(const char *ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
  struct timeval t = { 5, 0 };
  inet_pton(AF_INET, ip, &a.sin_addr);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  if (connect(fd, (struct sockaddr *)&a, sizeof a)) {
    close(fd);
    return -1;
  }
  return fd;
}

/* One process sends the heartbeats of all engines, with one connection per engine. */
static void engines_process(void) {
  typedef struct {
    int fd;
    uint64_t count;
    int64_t due;
    int model;
  } simulated_engine;
  simulated_engine *all = g_new0(simulated_engine, (gsize)engines);
  set_open_files_limit(20000);
  int64_t begin = now_us() + 1500000, churned = 0;
  for (int i = 0; i < engines; i++)
    all[i] = (simulated_engine){ -1, 0, begin + (int64_t)HEARTBEAT_INTERVAL_MS * 1000 * i / engines,
                                 i % models };
  uint64_t failed = 0;
  for (;;) {
    int64_t now = now_us(), next = now + 20000;
    if (now >= phase_starts_us[2] && now < phase_starts_us[3] &&
        now - churned >= 1000000 / CHURN_PER_S) {
      churned = now;
      simulated_engine *engine = &all[LEAVING_ENGINES + rand() % MAX(1, engines - LEAVING_ENGINES)];
      engine->model = (engine->model + 1) % models;
    }
    for (int i = 0; i < engines; i++) {
      simulated_engine *engine = &all[i];
      if (engine->due <= now) {
        char response[4096], body[512], text[1024];
        char ip[24];
        engine->due += (int64_t)HEARTBEAT_INTERVAL_MS * 1000;
        controller_ip(i % CONTROLLERS, ip, sizeof ip);
        if (engine->fd >= 0) {
          ssize_t n = recv(engine->fd, response, sizeof response, MSG_DONTWAIT);
          if (n == 0 || (n < 0 && errno != EAGAIN)) {
            close(engine->fd);
            engine->fd = -1;
            failed++;
          }
        }
        if (engine->fd < 0 && (engine->fd = connect_to(ip, CONTROL_PORT)) < 0)
          continue;
        int n = snprintf(
            body, sizeof body,
            "{\"service\":\"llm\",\"address\":\"127.%d.%d.%d:9\",\"zone\":\"zone-%d\",\"version\":\"v1\",\"slots\":16,\"count\":%" PRIu64
            ",\"state\":\"ready\",\"coldMs\":0,"
            "\"models\":[{\"name\":\"m%d\",\"adapters\":[]},{\"name\":\"m%d\",\"adapters\":[\"a1\",\"a2\"]}]}",
            loopback_net + 2, i / 200, 1 + i % 200, 1 + i % 15, ++engine->count, engine->model,
            (engine->model + 7) % models);
        n = snprintf(
            text, sizeof text,
            "POST /v1/engines/e%d/beat HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
            i, ip, n, body);
        if (send(engine->fd, text, (size_t)n, MSG_NOSIGNAL) != n) {
          close(engine->fd);
          engine->fd = -1;
          failed++;
        }
      }
      next = MIN(next, engine->due);
    }
    int64_t gap = next - now_us();
    if (gap > 0)
      usleep((useconds_t)gap);
  }
}

/* Sends one request to a control listener, as an operator does. Returns the HTTP status, or 0
 * without a response. On a redirect (307), stores the IP of the head of the chain in
 * `redirect_ip`, unless that is NULL. */
static int request_once(const char *ip, const char *method, const char *path,
                        const char *extra_fields, const char *body, char *redirect_ip,
                        size_t redirect_ip_size) {
  int fd = connect_to(ip, CONTROL_PORT);
  if (fd < 0)
    return 0;
  GString *t = g_string_new(NULL);
  g_string_printf(
      t,
      "%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Type: application/json\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s",
      method, path, extra_fields, strlen(body), body);
  ssize_t k = send(fd, t->str, t->len, MSG_NOSIGNAL);
  char response[4096] = "";
  size_t len = 0;
  int status = 0;
  while (k > 0 && len < sizeof response - 1 &&
         (k = recv(fd, response + len, sizeof response - 1 - len, 0)) > 0)
    len += (size_t)k;
  sscanf(response, "HTTP/1.1 %d", &status);
  const char *l = strstr(response, "http://");
  if (redirect_ip && status == 307 && l) {
    g_strlcpy(redirect_ip, l + 7, redirect_ip_size);
    char *c = strchr(redirect_ip, ':');
    if (c)
      *c = 0;
  }
  close(fd);
  g_string_free(t, TRUE);
  return status;
}

static char *make_config_text(uint64_t version) {
  GString *b = g_string_new(NULL);
  g_string_printf(
      b,
      "{\"version\":%" PRIu64
      ",\"routes\":[{\"name\":\"r-chat\",\"host\":\"front.example\",\"prefix\":\"/chat/\",\"mode\":\"stream\",\"timeoutMs\":5000,\"targetMs\":1000,\"priority\":0,\"service\":\"llm\","
      "\"attempts\":2,\"affinity\":true,\"resumable\":false,\"gapTargetMs\":400}],\"services\":[{\"name\":\"llm\",\"health\":\"/health\",\"connectionsMost\":200,\"protocol\":\"h1\",\"tls\":false,"
      "\"engine\":{\"slots\":16,\"kvTokens\":60000,\"kvTokenBytes\":131072,\"stride\":2,\"weightsMb\":83000,\"adapterSlots\":4,\"loadsPerS\":5,\"models\":[",
      version);
  for (int i = 0; i < models; i++)
    g_string_append_printf(
        b, "%s{\"name\":\"m%d\",\"weightsMb\":16100,\"loadS\":%d,\"adapters\":5,\"adapterMb\":40}",
        i ? "," : "", i, 1 + i % 3);
  g_string_append(
      b,
      "]}}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}");
  return g_string_free(b, FALSE);
}

static char head_ip[24];
static int64_t put_config(uint64_t version) {
  char extra_fields[80], *text = make_config_text(version);
  snprintf(extra_fields, sizeof extra_fields, "Asterfall-Base-Version: %" PRIu64 "\r\n",
           version - 1);
  int64_t sent = now_us();
  int st = request_once(head_ip, "PUT", "/v1/routing", extra_fields, text, head_ip, sizeof head_ip);
  if (st == 307)
    st = request_once(head_ip, "PUT", "/v1/routing", extra_fields, text, NULL, 0);
  g_free(text);
  return st == 200 ? sent : 0;
}

/* What the processes have reported. */
typedef struct node_sample {
  char role[8];
  int64_t cpu_us, context_switches;
  message_counts counts;
} node_sample;
typedef struct size_result {
  int nodes, engines, models, changes_everywhere, leaves_everywhere, processes, changes;
  double cpu_pct[PHASES][3], cpu_pct_max[PHASES][3], wakes_per_s[PHASES][3],
      messages_out_per_s[PHASES][3], bytes_out_per_s[PHASES][3], messages_in_per_s[PHASES][3],
      bytes_in_per_s[PHASES][3], tcp_bytes_out_per_s[PHASES][3], tcp_bytes_in_per_s[PHASES][3],
      segments_per_s[PHASES][3];
  double rss_mb[3], fds[3], change_p50_ms, change_max_ms, leave_p50_ms, leave_max_ms;
} size_result;
enum { R_NODE, R_SOLO, R_CORE, ROLES };
static const char *const role_name[ROLES] = { "node", "alone", "core" };
static int role_of(const char *s) {
  for (int i = 0; i < ROLES; i++)
    if (!strcmp(s, role_name[i]))
      return i;
  return R_NODE;
}

static int compare_doubles(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

typedef struct collected_reports {
  GString *unparsed;
  node_sample *samples[PHASES + 1];
  message_counts counts_by_kind[PHASES + 1][ROLES][MESSAGE_KINDS];
  uint64_t tcp[PHASES + 1][ROLES][4];
  int tcp_count[PHASES + 1][ROLES];
  GArray *change_at[CHANGES_MAX], *leave_at[LEAVING_ENGINES];
} collected_reports;

static void parse_report(collected_reports *reports, const char *line) {
  char role[8];
  int k, i, kind;
  message_counts s;
  int64_t cpu, us;
  long wakes;
  unsigned long long a, b, c;
  uint64_t version;
  if (sscanf(line, "S %d %7s %d %" SCNd64 " %ld %" SCNu64 " %" SCNu64 " %" SCNu64 " %" SCNu64, &k,
             role, &i, &cpu, &wakes, &s.messages_out, &s.bytes_out, &s.messages_in,
             &s.bytes_in) == 9) {
    node_sample *p = &reports->samples[k][role_of(role) == R_CORE ? NODES_MAX + i : i];
    g_strlcpy(p->role, role, sizeof p->role);
    p->cpu_us = cpu;
    p->context_switches = wakes;
    p->counts = s;
  } else if (sscanf(line, "K %d %7s %d %d %" SCNu64 " %" SCNu64 " %" SCNu64 " %" SCNu64, &k, role,
                    &i, &kind, &s.messages_out, &s.bytes_out, &s.messages_in, &s.bytes_in) == 8) {
    message_counts *t = &reports->counts_by_kind[k][role_of(role)][kind];
    t->messages_out += s.messages_out;
    t->bytes_out += s.bytes_out;
    t->messages_in += s.messages_in;
    t->bytes_in += s.bytes_in;
  } else if (sscanf(line, "T %d %7s %d %llu %llu %llu %d", &k, role, &i, &a, &b, &c, &kind) == 7) {
    uint64_t *t = reports->tcp[k][role_of(role)];
    t[0] += a;
    t[1] += b;
    t[2] += c;
    t[3] += (uint64_t)kind;
    reports->tcp_count[k][role_of(role)] += i;
  } else if (sscanf(line, "C %" SCNu64 " %" SCNd64, &version, &us) == 2) {
    if (version < CHANGES_MAX)
      g_array_append_val(reports->change_at[version], us);
  } else if (sscanf(line, "L %d %" SCNd64, &i, &us) == 2)
    g_array_append_val(reports->leave_at[i], us);
}

static void collect_reports(collected_reports *reports, int64_t until) {
  do {
    struct pollfd p = { report_pipe[0], POLLIN, 0 };
    int64_t remaining_ms = (until - now_us()) / 1000;
    if (poll(&p, 1, (int)CLAMP(remaining_ms, 0, 200)) <= 0)
      continue;
    char buf[65536];
    ssize_t n = read(report_pipe[0], buf, sizeof buf);
    if (n <= 0)
      return;
    g_string_append_len(reports->unparsed, buf, n);
    char *from = reports->unparsed->str, *nl;
    while ((nl = strchr(from, '\n'))) {
      *nl = 0;
      parse_report(reports, from);
      from = nl + 1;
    }
    g_string_erase(reports->unparsed, 0, from - reports->unparsed->str);
  } while (now_us() < until);
}

static double rss_mb(pid_t pid) {
  char path[64];
  long all, res = 0;
  snprintf(path, sizeof path, "/proc/%d/statm", (int)pid);
  FILE *f = fopen(path, "r");
  if (!f || fscanf(f, "%ld %ld", &all, &res) != 2)
    res = 0;
  if (f)
    fclose(f);
  return (double)res * (double)sysconf(_SC_PAGESIZE) / 1048576;
}

static int count_descriptors(pid_t pid) {
  char path[64];
  snprintf(path, sizeof path, "/proc/%d/fd", (int)pid);
  GDir *d = g_dir_open(path, 0, NULL);
  int n = 0;
  while (d && g_dir_read_name(d))
    n++;
  if (d)
    g_dir_close(d);
  return n;
}

static void summarize_delays(GArray **reported_at_us, const int64_t *started_at_us, int count,
                             int expected, double *p50, double *max, int *complete) {
  GArray *ms = g_array_new(FALSE, FALSE, sizeof(double));
  *complete = 0;
  *max = 0;
  for (int i = 0; i < count; i++) {
    if (!started_at_us[i])
      continue;
    *complete += (int)reported_at_us[i]->len >= expected;
    for (guint k = 0; k < reported_at_us[i]->len; k++) {
      double d = (double)(g_array_index(reported_at_us[i], int64_t, k) - started_at_us[i]) / 1000;
      g_array_append_val(ms, d);
      *max = MAX(*max, d);
    }
  }
  qsort(ms->data, ms->len, sizeof(double), compare_doubles);
  *p50 = ms->len ? g_array_index(ms, double, ms->len / 2) : -1;
  g_array_free(ms, TRUE);
}

static size_result measure_size(void) {
  size_result result = { .nodes = nodes, .engines = engines, .models = models };
  collected_reports *reports = g_new0(collected_reports, 1);
  reports->unparsed = g_string_new(NULL);
  for (int k = 0; k <= PHASES; k++)
    reports->samples[k] = g_new0(node_sample, NODES_MAX + CONTROLLERS);
  for (int i = 0; i < CHANGES_MAX; i++)
    reports->change_at[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
  for (int i = 0; i < LEAVING_ENGINES; i++)
    reports->leave_at[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
  if (pipe(report_pipe))
    abort();
  snprintf(data_root, sizeof data_root, "/tmp/scale-XXXXXX");
  if (!mkdtemp(data_root))
    abort();
  int64_t settle = (int64_t)(12 + nodes / 15) * 1000000, start = now_us();
  for (int k = 0; k <= PHASES; k++)
    phase_starts_us[k] = start + settle + (int64_t)phase_s * 1000000 * k;
  struct {
    pid_t pid;
    int role, count;
  } proc[PROCESSES_MAX];
  int n = 0;
#define FORK(ROLE, COUNT, WORK)                                                                    \
  do {                                                                                             \
    pid_t p = fork();                                                                              \
    if (!p) {                                                                                      \
      close(report_pipe[0]);                                                                       \
      WORK;                                                                                        \
      _exit(0);                                                                                    \
    }                                                                                              \
    proc[n].pid = p;                                                                               \
    proc[n].role = ROLE;                                                                           \
    proc[n++].count = COUNT;                                                                       \
  } while (0)
  for (int i = 0; i < CONTROLLERS; i++)
    FORK(R_CORE, 1, controller_process(i));
  usleep(300000);
  for (int i = 0; i < SOLO_GATEWAYS; i++)
    FORK(R_SOLO, 1, gateways_process(i, 1, true));
  for (int i = SOLO_GATEWAYS; i < nodes; i += GATEWAYS_PER_PROCESS)
    FORK(R_NODE, MIN(GATEWAYS_PER_PROCESS, nodes - i),
         gateways_process(i, MIN(GATEWAYS_PER_PROCESS, nodes - i), false));
  FORK(-1, 0, engines_process());
  result.processes = n + 1;
  int64_t change_sent_at_us[CHANGES_MAX] = { 0 }, leave_started_at_us[LEAVING_ENGINES] = { 0 };
  uint64_t version = 0;
  collect_reports(reports, start + 3000000);
  while (!version && now_us() < phase_starts_us[0] - 4000000) {
    if (put_config(1))
      version = 1;
    else
      collect_reports(reports, now_us() + 500000);
  }
  if (!version)
    fprintf(stderr, "scale: the first configuration was not accepted\n");
  collect_reports(reports, phase_starts_us[1] - 100000);
  for (int i = 0; i < n; i++) {
    if (proc[i].role < 0)
      continue;
    double mb = rss_mb(proc[i].pid);
    result.rss_mb[proc[i].role] = MAX(result.rss_mb[proc[i].role], mb / proc[i].count);
    result.fds[proc[i].role] =
        MAX(result.fds[proc[i].role], (double)count_descriptors(proc[i].pid) / proc[i].count);
  }
  for (int64_t next = phase_starts_us[1] + 500000; version && next < phase_starts_us[2] - 1000000;
       next += 1000000 / CHANGES_PER_S) {
    collect_reports(reports, next);
    if (version + 1 < CHANGES_MAX && (change_sent_at_us[version + 1] = put_config(version + 1))) {
      version++;
      result.changes++;
    }
  }
  collect_reports(reports, phase_starts_us[3] + 500000);
  for (int i = 0; i < LEAVING_ENGINES; i++) {
    char path[64], ip[48];
    snprintf(path, sizeof path, "/v1/engines/e%d/leave", i);
    controller_ip(i % CONTROLLERS, ip, sizeof ip);
    leave_started_at_us[i] = now_us();
    if (request_once(ip, "POST", path, "", "{}", NULL, 0) != 200)
      leave_started_at_us[i] = 0;
    collect_reports(reports, now_us() + 800000);
  }
  collect_reports(reports, now_us() + 1500000);
  for (int i = 0; i < n; i++)
    kill(proc[i].pid, SIGKILL);
  for (int i = 0; i < n; i++)
    waitpid(proc[i].pid, NULL, 0);
  close(report_pipe[0]);
  close(report_pipe[1]);
  char *rm[] = { "/bin/rm", "-rf", data_root, NULL };
  g_spawn_sync(NULL, rm, NULL, 0, NULL, NULL, NULL, NULL, NULL, NULL);

  summarize_delays(reports->change_at + 2, change_sent_at_us + 2, CHANGES_MAX - 2, nodes,
                   &result.change_p50_ms, &result.change_max_ms, &result.changes_everywhere);
  summarize_delays(reports->leave_at, leave_started_at_us, LEAVING_ENGINES, nodes,
                   &result.leave_p50_ms, &result.leave_max_ms, &result.leaves_everywhere);
  for (int k = 0; k < PHASES; k++) {
    int count[ROLES] = { 0 };
    double s = phase_s;
    for (int i = 0; i < NODES_MAX + CONTROLLERS; i++) {
      const node_sample *a = &reports->samples[k][i], *b = &reports->samples[k + 1][i];
      if (!a->role[0] || !b->role[0])
        continue;
      int o = role_of(a->role);
      double cpu = (double)(b->cpu_us - a->cpu_us) / s / 1e4;
      count[o]++;
      result.cpu_pct[k][o] += cpu;
      result.cpu_pct_max[k][o] = MAX(result.cpu_pct_max[k][o], cpu);
      result.wakes_per_s[k][o] += (double)(b->context_switches - a->context_switches) / s;
      result.messages_out_per_s[k][o] +=
          (double)(b->counts.messages_out - a->counts.messages_out) / s;
      result.bytes_out_per_s[k][o] += (double)(b->counts.bytes_out - a->counts.bytes_out) / s;
      result.messages_in_per_s[k][o] += (double)(b->counts.messages_in - a->counts.messages_in) / s;
      result.bytes_in_per_s[k][o] += (double)(b->counts.bytes_in - a->counts.bytes_in) / s;
    }
    for (int o = 0; o < ROLES; o++) {
      double c = MAX(1, count[o]), t = MAX(1, reports->tcp_count[k][o]);
      result.cpu_pct[k][o] /= c;
      result.wakes_per_s[k][o] /= c;
      result.messages_out_per_s[k][o] /= c;
      result.bytes_out_per_s[k][o] /= c;
      result.messages_in_per_s[k][o] /= c;
      result.bytes_in_per_s[k][o] /= c;
      result.tcp_bytes_out_per_s[k][o] =
          (double)(int64_t)(reports->tcp[k + 1][o][0] - reports->tcp[k][o][0]) / s / t;
      result.tcp_bytes_in_per_s[k][o] =
          (double)(int64_t)(reports->tcp[k + 1][o][1] - reports->tcp[k][o][1]) / s / t;
      result.segments_per_s[k][o] =
          (double)(int64_t)(reports->tcp[k + 1][o][2] - reports->tcp[k][o][2]) / s / t;
      printf(
          "%d nodes, %d engines, %-7s %-5s: %d of them, cpu %.2f%% (most %.2f%%), wakes %.0f/s, out %.1f msg/s %.0f B/s, in %.1f msg/s %.0f B/s, TCP out %.0f in %.0f B/s, %.0f segments/s\n",
          nodes, engines, phase_name[k], role_name[o], count[o], result.cpu_pct[k][o],
          result.cpu_pct_max[k][o], result.wakes_per_s[k][o], result.messages_out_per_s[k][o],
          result.bytes_out_per_s[k][o], result.messages_in_per_s[k][o], result.bytes_in_per_s[k][o],
          result.tcp_bytes_out_per_s[k][o], result.tcp_bytes_in_per_s[k][o],
          result.segments_per_s[k][o]);
      for (int q = 0; q < MESSAGE_KINDS && o; q++) {
        const message_counts *a = &reports->counts_by_kind[k][o][q],
                             *b = &reports->counts_by_kind[k + 1][o][q];
        if (b->messages_out + b->messages_in == a->messages_out + a->messages_in)
          continue;
        const ProtobufCFieldDescriptor *f =
            protobuf_c_message_descriptor_get_field(&wire__envelope__descriptor, (unsigned)q);
        double w = s * c;
        printf("    %-10s out %.1f msg/s %.0f B/s, in %.1f msg/s %.0f B/s\n", f ? f->name : "none",
               (double)(b->messages_out - a->messages_out) / w,
               (double)(b->bytes_out - a->bytes_out) / w,
               (double)(b->messages_in - a->messages_in) / w,
               (double)(b->bytes_in - a->bytes_in) / w);
      }
    }
  }
  printf(
      "%d nodes, %d engines: memory node %.1f (in a process of its own %.1f), core %.1f MB; descriptors node %.0f, core %.0f; change in force p50 %.0f, most %.0f ms (%d of %d everywhere); leave known p50 %.0f, most %.0f ms (%d of %d everywhere); %d processes\n",
      nodes, engines, result.rss_mb[R_NODE], result.rss_mb[R_SOLO], result.rss_mb[R_CORE],
      result.fds[R_SOLO], result.fds[R_CORE], result.change_p50_ms, result.change_max_ms,
      result.changes_everywhere, result.changes, result.leave_p50_ms, result.leave_max_ms,
      result.leaves_everywhere, LEAVING_ENGINES, result.processes);
  fflush(stdout);
  return result;
}

static void write_table(const char *path, const size_result *r, int n) {
  FILE *f = fopen(path, "w");
  if (!f) {
    perror(path);
    return;
  }
  fprintf(
      f,
      "nodes\tengines\tmodels\tphase\trole\tcpu_pct\tcpu_pct_most\twakes_s\tout_msg_s\tout_B_s\tin_msg_s\tin_B_s\ttcp_out_B_s\ttcp_in_B_s\tsegments_s\trss_MB\tdescriptors\tchange_p50_ms\tchange_most_ms\tleave_p50_ms\tleave_most_ms\n");
  for (int i = 0; i < n; i++)
    for (int k = 0; k < PHASES; k++)
      for (int o = 0; o < ROLES; o++)
        fprintf(
            f,
            "%d\t%d\t%d\t%s\t%s\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
            r[i].nodes, r[i].engines, r[i].models, phase_name[k], role_name[o], r[i].cpu_pct[k][o],
            r[i].cpu_pct_max[k][o], r[i].wakes_per_s[k][o], r[i].messages_out_per_s[k][o],
            r[i].bytes_out_per_s[k][o], r[i].messages_in_per_s[k][o], r[i].bytes_in_per_s[k][o],
            r[i].tcp_bytes_out_per_s[k][o], r[i].tcp_bytes_in_per_s[k][o],
            r[i].segments_per_s[k][o], r[i].rss_mb[o], r[i].fds[o], r[i].change_p50_ms,
            r[i].change_max_ms, r[i].leave_p50_ms, r[i].leave_max_ms);
  fclose(f);
}

/* The position of a value on a logarithmic axis. */
static double log_position(double v, double low, double high, double from, double to) {
  return from + (log10(MAX(v, low)) - log10(low)) / (log10(high) - log10(low)) * (to - from);
}
/* Plots the CPU use of nodes and controllers by the number of nodes, on logarithmic axes. */
static void write_svg(const char *path, const size_result *r, int n) {
  FILE *f = fopen(path, "w");
  if (!f) {
    perror(path);
    return;
  }
  fprintf(
      f,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 400\" font-family=\"sans-serif\" font-size=\"12\"><rect width=\"640\" height=\"400\" fill=\"white\"/>\n");
  for (double x = 10; x <= 1000; x *= 10)
    fprintf(
        f,
        "<line x1=\"%.0f\" y1=\"30\" x2=\"%.0f\" y2=\"350\" stroke=\"#ddd\"/><text x=\"%.0f\" y=\"368\" text-anchor=\"middle\">%.0f nodes</text>\n",
        log_position(x, 10, 1000, 60, 600), log_position(x, 10, 1000, 60, 600),
        log_position(x, 10, 1000, 60, 600), x);
  for (double y = 0.1; y <= 100; y *= 10)
    fprintf(
        f,
        "<line x1=\"60\" y1=\"%.0f\" x2=\"600\" y2=\"%.0f\" stroke=\"#ddd\"/><text x=\"54\" y=\"%.0f\" text-anchor=\"end\">%g%%</text>\n",
        log_position(y, 0.1, 100, 350, 30), log_position(y, 0.1, 100, 350, 30),
        log_position(y, 0.1, 100, 354, 34), y);
  fprintf(
      f,
      "<line x1=\"60\" y1=\"%.0f\" x2=\"600\" y2=\"%.0f\" stroke=\"red\" stroke-dasharray=\"4\"/><text x=\"604\" y=\"%.0f\" fill=\"red\">1.2%%</text>\n",
      log_position(1.2, 0.1, 100, 350, 30), log_position(1.2, 0.1, 100, 350, 30),
      log_position(1.2, 0.1, 100, 354, 34));
  fprintf(
      f,
      "<text x=\"60\" y=\"20\">Share of a core, quiet: nodes (black) and core machines (blue)</text>\n");
  for (int i = 0; i < n; i++)
    for (int o = 0; o < ROLES; o++) {
      if (o == R_SOLO || r[i].cpu_pct[0][o] <= 0)
        continue;
      fprintf(
          f,
          "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"><title>%d nodes, %d engines: %.2f%%</title></circle>\n",
          log_position(r[i].nodes, 10, 1000, 60, 600),
          log_position(r[i].cpu_pct[0][o], 0.1, 100, 350, 30), o == R_CORE ? "#26c" : "black",
          r[i].nodes, r[i].engines, r[i].cpu_pct[0][o]);
    }
  fprintf(f, "</svg>\n");
  fclose(f);
}

/* Prints the encoded sizes of the records that messages consist of, with names as long as those in
 * a large fleet. */
static void print_record_sizes(void) {
  char *adapters[] = { "adapter-0417", "adapter-1193" };
  Wire__NodeInfo n = WIRE__NODE_INFO__INIT;
  n.id = "node-r2-z07-0412";
  n.incarnation = 3;
  n.nonce = ~0ull;
  n.address = "10.107.14.112:7661";
  n.zone = "region-2-zone-07";
  n.role = ROLE_ROUTER;
  Wire__EngineTraffic l = WIRE__ENGINE_TRAFFIC__INIT;
  uint32_t keys[2] = { 1, 2 };
  l.engine = "engine-r2-4417";
  l.running_streams = 12;
  l.waiting_tokens = 9000;
  l.n_model_hashes = 2;
  l.model_hashes = keys;
  Wire__RequestCount r = WIRE__REQUEST_COUNT__INIT;
  r.key = "model-0231+adapter-0417";
  r.total = 100000;
  r.in_window = 4000;
  Wire__SingletonGrant g = WIRE__SINGLETON_GRANT__INIT;
  g.singleton = "engine:engine-r2-4417";
  g.holder = n.id;
  g.nonce = ~0ull;
  g.epoch = 40;
  Wire__ResidentModel m = WIRE__RESIDENT_MODEL__INIT, *mp[2] = { &m, &m };
  m.model = "model-0231";
  m.weights_version = 7;
  m.n_adapters = 2;
  m.adapters = adapters;
  Wire__EngineState e = WIRE__ENGINE_STATE__INIT, brief = WIRE__ENGINE_STATE__INIT;
  e.id = l.engine;
  e.service = "chat";
  e.address = "10.131.14.112:9000";
  e.zone = n.zone;
  e.version = "v40";
  e.slots = 64;
  e.heartbeat_count = 100000;
  e.age_ms = 400;
  e.n_models = 2;
  e.models = mp;
  e.checksum = ~0ull;
  brief.id = e.id;
  brief.heartbeat_count = e.heartbeat_count;
  brief.checksum = e.checksum;
  brief.age_ms = 400;
  Wire__LoadPermitRequest t = WIRE__LOAD_PERMIT_REQUEST__INIT;
  t.engine = e.id;
  t.key = "model-0231";
  t.epoch = 40;
  Wire__SingletonClaim h = WIRE__SINGLETON_CLAIM__INIT;
  h.singleton = g.singleton;
  h.epoch = 40;
  printf(
      "bytes of a record: machine %zu, load %zu, rate %zu, grant %zu, engine %zu, engine that is only alive %zu, ticket %zu, contract's renewal %zu\n",
      wire__node_info__get_packed_size(&n) + 2, wire__engine_traffic__get_packed_size(&l) + 2,
      wire__request_count__get_packed_size(&r) + 2, wire__singleton_grant__get_packed_size(&g) + 2,
      wire__engine_state__get_packed_size(&e) + 2, wire__engine_state__get_packed_size(&brief) + 2,
      wire__load_permit_request__get_packed_size(&t) + 2,
      wire__singleton_claim__get_packed_size(&h) + 2);
  for (int k = 14; k <= 260; k += 246) {
    models = k;
    char *text = make_config_text(1);
    printf("configuration of one service with %d models: %zu bytes\n", k, strlen(text));
    g_free(text);
  }
}

int main(int argc, char **argv) {
  if (argc == 2 && !strcmp(argv[1], "--records")) {
    print_record_sizes();
    return 0;
  }
  const char *node_counts = "10", *engine_counts = "90", *out = NULL, *svg = NULL;
  for (int i = 1; i + 1 < argc; i += 2) {
    if (!strcmp(argv[i], "--nodes"))
      node_counts = argv[i + 1];
    else if (!strcmp(argv[i], "--engines"))
      engine_counts = argv[i + 1];
    else if (!strcmp(argv[i], "--models"))
      models = MAX(1, atoi(argv[i + 1]));
    else if (!strcmp(argv[i], "--secs"))
      phase_s = MAX(3, atoi(argv[i + 1]));
    else if (!strcmp(argv[i], "--net"))
      loopback_net = CLAMP(atoi(argv[i + 1]), 1, 250);
    else if (!strcmp(argv[i], "--out"))
      out = argv[i + 1];
    else if (!strcmp(argv[i], "--svg"))
      svg = argv[i + 1];
    else {
      fprintf(
          stderr,
          "usage: scale [--nodes 10,30] [--engines 90] [--models 14] [--secs 10] [--net 77] [--out FILE.tsv] [--svg FILE.svg]\n");
      return 2;
    }
  }
  signal(SIGPIPE, SIG_IGN);
  controller_ip(0, head_ip, sizeof head_ip);
  char **n = g_strsplit(node_counts, ",", 32), **m = g_strsplit(engine_counts, ",", 32);
  size_result all[32 * 32];
  int count = 0;
  for (char **x = n; *x; x++)
    for (char **y = m; *y; y++) {
      nodes = CLAMP(atoi(*x), SOLO_GATEWAYS, NODES_MAX - 1);
      engines = CLAMP(atoi(*y), LEAVING_ENGINES + 1, 6000);
      all[count++] = measure_size();
    }
  if (out)
    write_table(out, all, count);
  if (svg)
    write_svg(svg, all, count);
  g_strfreev(n);
  g_strfreev(m);
  return 0;
}
