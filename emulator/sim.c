#include "connections.h"
#include "peer_channel.h"
#include <stdio.h>
#include <stdlib.h>

enum { SECTOR = 512 };

typedef struct conn conn;
struct event {
  time_us at;
  uint64_t order;
  host *host;
  uint64_t life;
  void (*run)(event *event);
  conn *conn;
  GString *text;
  char addr[48];
  int n;
  http_headers h_;
  bool flag;
  list_node wait;
  void (*fn)(void *);
  void *arg;
};
/* one HTTP exchange between two machines; each side lets go of it by itself */
struct conn {
  sim *sim;
  host *a, *b;
  uint64_t life_a, life_b;
  http_call *call;
  http_request *request;
  int refs;
  bool head_sent, over, torn, torn_reported;
  time_us last_a;
  list_node link;
};

static time_us host_now(void *p) {
  return ((host *)p)->sim->now;
}

static uint64_t mix(sim *sim) {
  uint64_t z = (sim->rnd += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

uint64_t sim_draw(sim *sim, uint64_t n) {
  return n ? mix(sim) % n : 0;
}
/* a machine may have chance of its own, so that what it does is the same whatever the others draw
 */
static uint64_t host_draw(world *world) {
  host *h = (host *)world;
  if (!h->rnd)
    return mix(h->sim);
  uint64_t z = (h->rnd += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

static const char *host_stamp(world *world, char *buf, size_t n) {
  host *h = (host *)world;
  snprintf(buf, n, "%9.3f", (double)(h->sim->now.us + h->wall) / 1e6);
  return buf;
}

static void host_say(world *world, const char *line) {
  if (((host *)world)->sim->loud)
    fprintf(stderr, "%s\n", line);
}

static int event_cmp(gconstpointer a, gconstpointer b, gpointer x) {
  (void)x;
  const event *p = a, *q = b;
  if (p->at.us != q->at.us)
    return p->at.us < q->at.us ? -1 : 1;
  return p->order < q->order ? -1 : p->order > q->order;
}

static event *later(sim *sim, time_us at, host *host, void (*run)(event *)) {
  event *e = g_new0(event, 1);
  e->at = at;
  e->order = ++sim->order;
  e->host = host;
  e->run = run;
  e->life = host ? host->life : 0;
  list_init(&e->wait);
  g_sequence_insert_sorted(sim->events, e, event_cmp, NULL);
  return e;
}

static void event_free(event *event) {
  if (event->text)
    g_string_free(event->text, TRUE);
  http_headers_free(&event->h_);
  g_free(event);
}

static void run_fn(event *event) {
  event->fn(event->arg);
}

void sim_at(sim *sim, time_us at, void (*fn)(void *), void *arg) {
  event *event = later(sim, at, NULL, run_fn);
  event->fn = fn;
  event->arg = arg;
}

bool sim_is_cut(sim *sim, host *a, host *b) {
  char k[120];
  const char *one[] = { a->self.text, "*" }, *two[] = { b->self.text, "*" };
  if (a == b)
    return false;
  for (int i = 0; i < 2; i++)
    for (int j = 0; j < 2; j++) {
      snprintf(k, sizeof k, "%s>%s", one[i], two[j]);
      if (g_hash_table_contains(sim->cuts, k))
        return true;
    }
  return false;
}

void sim_cut(sim *sim, const char *a, const char *b, bool cut) {
  char *k = g_strdup_printf("%s>%s", a ? a : "*", b ? b : "*");
  if (cut)
    g_hash_table_add(sim->cuts, k);
  else {
    sim->healed = sim->now;
    g_hash_table_remove(sim->cuts, k);
    g_free(k);
  }
}
void sim_part(sim *sim, const char *a, const char *b, bool cut) {
  sim_cut(sim, a, b, cut);
  sim_cut(sim, b, a, cut);
}
void sim_mend(sim *sim) {
  sim->healed = sim->now;
  g_hash_table_remove_all(sim->cuts);
}

time_us sim_trip(sim *sim) {
  return (time_us){ sim->delay_ms * 1000 + (int64_t)sim_draw(sim, sim->spread_ms * 1000 + 1) };
}

static host *at_addr(sim *sim, const char *addr) {
  list_for_each (h, &sim->hosts, host, link)
    if (!strcmp(h->addr, addr))
      return h;
  return NULL;
}

/* peer messages */
static void post_in(event *event) {
  host *host = event->host;
  if (host->alive && host->world.on_message)
    host->world.on_message(host->world.on_message_context, string_view_of_gstring(event->text));
}

/* when the link of a machine has taken a message, after all that it took before */
static time_us host_link(host *from, const host *to, size_t bytes) {
  sim *sim = from->sim;
  if (!sim->bytes_per_s || from == to)
    return sim->now;
  if (from->sending.us < sim->now.us)
    from->sending = sim->now;
  from->sending.us += (int64_t)bytes * 1000000 / sim->bytes_per_s;
  return from->sending;
}

static void carry(host *a, host *b, string_view msg) {
  sim *sim = a->sim;
  char k[120];
  snprintf(k, sizeof k, "%s>%s", a->self.text, b->self.text);
  time_us at = time_add(host_link(a, b, msg.length),
                        time_add(sim_trip(sim), time_from_ms(b->reads_late_ms))),
          *last = g_hash_table_lookup(sim->arrive, k);
  if (!last) {
    last = g_new0(time_us, 1);
    g_hash_table_insert(sim->arrive, g_strdup(k), last);
  }
  if (at.us <= last->us)
    at.us = last->us + 1;
  *last = at;
  event *event = later(sim, at, b, post_in);
  event->life = 0;
  event->text = g_string_new_len(msg.data, msg.length);
}

/* a channel between two processes that holds what a cut held up */
typedef struct peer_pair {
  host *a, *b;
  peer_channel *c;
  bool waits;
} peer_pair;

static void pair_free(void *p) {
  peer_channel_free(((peer_pair *)p)->c);
  g_free(p);
}

static peer_pair *pair_of(host *a, host *b) {
  char k[120];
  snprintf(k, sizeof k, "%s>%s", a->self.text, b->self.text);
  peer_pair *p = g_hash_table_lookup(a->sim->peers, k);
  if (!p) {
    p = g_new0(peer_pair, 1);
    *p = (peer_pair){ a, b, peer_channel_new(), false };
    p->c->life = a->life;
    g_hash_table_insert(a->sim->peers, g_strdup(k), p);
  }
  if (p->c->life != a->life) {
    peer_channel_reset(p->c);
    p->c->life = a->life;
  }
  return p;
}

static void pair_flush(peer_pair *p) {
  GString *t;
  while ((t = g_queue_pop_head(&p->c->held))) {
    carry(p->a, p->b, string_view_of_gstring(t));
    g_string_free(t, TRUE);
  }
  peer_channel_reset(p->c);
}

static void pair_resume(void *arg) {
  peer_pair *p = arg;
  sim *sim = p->a->sim;
  p->waits = false;
  bool cut = sim_is_cut(sim, p->a, p->b) || sim_is_cut(sim, p->b, p->a);
  if (p->c->resumes.us && p->c->resumes.us <= sim->now.us && p->c->life == p->a->life &&
      p->a->alive && !cut)
    pair_flush(p);
}

/* true when a message goes out now */
static bool pair_send(host *a, host *b, string_view msg) {
  sim *sim = a->sim;
  peer_pair *p = pair_of(a, b);
  enum peer_fate f = peer_channel_send(p->c, sim->now, sim_is_cut(sim, a, b), sim_is_cut(sim, b, a),
                                       sim->healed, sim->give_up_ms, sim_draw(sim, 1000000));
  if (f == PEER_WAITS && peer_channel_holds(p->c))
    g_queue_push_tail(&p->c->held, g_string_new_len(msg.data, msg.length));
  if (p->c->resumes.us && !p->waits) {
    p->waits = true;
    sim_at(sim, p->c->resumes, pair_resume, p);
  }
  if (f == PEER_GOES && p->c->resumes.us)
    pair_flush(p);
  return f == PEER_GOES;
}

static void host_post(world *world, const char *addr, string_view msg) {
  host *a = (host *)world, *b = at_addr(a->sim, addr);
  sim *sim = a->sim;
  if (world->tasks.stopped || !a->alive || !b)
    return;
  sim->posts++;
  sim->bytes += msg.length;
  if (!sim->tcp && sim_is_cut(sim, a, b))
    return;
  if (a != b && sim->loss > 0 && (double)sim_draw(sim, 1000000) < sim->loss * 1e6)
    return;
  if (!sim->tcp || a == b || pair_send(a, b, msg))
    carry(a, b, msg);
}

/* HTTP */
static void conn_drop(conn *conn) {
  if (!--conn->refs) {
    list_remove(&conn->link);
    g_free(conn);
  }
}

static void to_caller(event *event) {
  conn *conn = event->conn;
  if (conn->call && conn->a->alive && conn->a->life == conn->life_a) {
    http_call *call = conn->call;
    if (event->n == 1) {
      call->status = atoi(event->text->str);
      http_headers_copy(&call->known_response_fields, &event->h_);
    }
    if (event->n == 2)
      g_string_append_len(call->response_body, event->text->str, event->text->len);
    if (event->n == 3) {
      if (event->flag)
        call->ended = true;
      else
        call->broken = true;
      conn->over = true;
    }
    condition_broadcast(&call->progressed);
  }
  conn_drop(conn);
}

static void send_caller(conn *conn, int n, const char *p, size_t len, bool flag,
                        const http_headers *h) {
  sim *sim = conn->sim;
  /* a channel never skips bytes: once some were lost, it is broken when the path is back */
  if (sim_is_cut(sim, conn->b, conn->a)) {
    conn->torn = true;
    return;
  }
  if (conn->torn) {
    if (conn->torn_reported)
      return;
    conn->torn_reported = conn->over = true;
    n = 3;
    p = NULL;
    len = 0;
    flag = false;
    h = NULL;
  }
  time_us at = time_add(sim->now, sim_trip(sim));
  if (at.us <= conn->last_a.us)
    at.us = conn->last_a.us + 1;
  conn->last_a = at;
  event *event = later(sim, at, conn->a, to_caller);
  event->conn = conn;
  event->n = n;
  event->flag = flag;
  event->life = 0;
  event->text = g_string_new_len(p ? p : "", len);
  if (h)
    http_headers_copy(&event->h_, h);
  conn->refs++;
}

static void host_push(http_request *request) {
  if (request->fields) {
    kept_push(request);
    return;
  }
  conn *conn = request->impl;
  if (!conn || conn->b->world.tasks.stopped || request->client_gone || !request->response_started) {
    if (conn && request->response_ended && !request->response_started &&
        !conn->b->world.tasks.stopped && !conn->over) {
      conn->over = true;
      send_caller(conn, 3, NULL, 0, false, NULL);
    }
    return;
  }
  if (!conn->head_sent) {
    char st[16];
    snprintf(st, sizeof st, "%d", request->status);
    conn->head_sent = true;
    send_caller(conn, 1, st, strlen(st), false, &request->known_response_fields);
  }
  /* a slow caller takes nothing more from its channel */
  if (request->pending_output->len && !(conn->a->slow && !request->response_ended)) {
    send_caller(conn, 2, request->pending_output->str, request->pending_output->len, false, NULL);
    g_string_truncate(request->pending_output, 0);
    condition_broadcast(&request->drained);
  }
  if (request->response_ended && !conn->over) {
    conn->over = true;
    send_caller(conn, 3, NULL, 0, request->ended_cleanly, NULL);
  }
}

static void serve_task(void *p) {
  conn *conn = p;
  http_request *request = conn->request;
  host *host = conn->b;
  host->world.serve(host->world.serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  conn->request = NULL;
  http_request_free(request);
  conn_drop(conn);
}

static void gone_in(event *event) {
  conn *conn = event->conn;
  if (conn->request && conn->b->alive && conn->b->life == conn->life_b) {
    conn->request->client_gone = true;
    condition_broadcast(&conn->request->drained);
  }
  conn_drop(conn);
}

static void request_in(event *event) {
  conn *conn = event->conn;
  host *b = conn->b;
  if (b->alive && b->life == conn->life_b && conn->call && b->world.serve) {
    http_request *request = g_new0(http_request, 1);
    request->world = &b->world;
    char **q = g_strsplit(event->addr[0] ? conn->call->path : "", "?", 2);
    request->method = g_strdup(conn->call->method);
    request->path = g_strdup(q[0] ? q[0] : "");
    request->query = g_strdup(q[0] && q[1] ? q[1] : "");
    g_strfreev(q);
    g_strlcpy(request->client_address, conn->a->addr, sizeof request->client_address);
    http_headers_copy(&request->known_fields, &conn->call->known_request_fields);
    request->body = g_string_new_len(conn->call->body->str, conn->call->body->len);
    request->pending_output = g_string_new(NULL);
    condition_init(&request->drained);
    request->impl = conn;
    conn->request = request;
    conn->refs++;
    task_start(&b->world.tasks, "serve", serve_task, conn);
  } else if (!b->dark)
    send_caller(conn, 3, NULL, 0, false, NULL);
  conn_drop(conn);
}

static void linked(event *e) {
  conn *conn = e->conn;
  sim *sim = conn->sim;
  if (conn->call && conn->a->alive && conn->a->life == conn->life_a) {
    if (time_reached(sim->now, conn->call->send_deadline)) {
      conn->call->broken = true;
      condition_broadcast(&conn->call->progressed);
    } else if (!conn->b->alive) {
      if (!conn->b->dark) {
        conn->call->broken = true;
        condition_broadcast(&conn->call->progressed);
      }
    } else if (!sim_is_cut(sim, conn->a, conn->b) && !sim_is_cut(sim, conn->b, conn->a)) {
      conn->life_b = conn->b->life;
      conn->call->sent = true;
      event *k = later(sim, time_add(sim->now, sim_trip(sim)), conn->b, request_in);
      k->conn = conn;
      g_strlcpy(k->addr, "x", sizeof k->addr);
      k->life = 0;
      conn->refs++;
    }
  }
  conn_drop(conn);
}

static void host_call(http_call *call) {
  host *a = (host *)call->world, *b = at_addr(a->sim, call->address);
  if (call->pooled || (!b && kept_listener(a->sim, call->address))) {
    kept_call(call);
    return;
  }
  if (call->world->tasks.stopped || !b) {
    call->broken = true;
    return;
  }
  conn *c = g_new0(conn, 1);
  c->sim = a->sim;
  c->a = a;
  c->b = b;
  c->call = call;
  c->life_a = a->life;
  c->life_b = b->life;
  call->impl = c;
  list_append(&a->sim->conns, &c->link);
  c->refs = 2;
  event *event =
      later(a->sim, time_add(a->sim->now, time_add(sim_trip(a->sim), sim_trip(a->sim))), a, linked);
  event->life = 0;
  event->conn = c;
}

static void host_drop(http_call *call) {
  if (call->request_fields) {
    kept_drop(call);
    return;
  }
  conn *conn = call->impl;
  if (!conn)
    return;
  call->impl = NULL;
  conn->call = NULL;
  if (!sim_is_cut(conn->sim, conn->a, conn->b) && !conn->a->dark) {
    event *event =
        later(conn->sim, time_add(conn->sim->now, sim_trip(conn->sim)), conn->b, gone_in);
    event->life = 0;
    event->conn = conn;
    conn->refs++;
  }
  conn_drop(conn);
}

/* disks */
static int disk_wait(host *host, error *err);

static int disk_open(world *world, unsigned f, size_t size, error *err) {
  host *h = (host *)world;
  disk *disk = h->disk;
  if (f >= FILES_MOST || disk->fails)
    return error_set(err, E_DISK, "no such file");
  if (!disk->file[f]) {
    disk->file[f] = calloc(1, size);
    disk->sure[f] = calloc(1, size);
    disk->size = size;
    disk->made[f] = !disk->harsh;
  }
  int r = disk->made[f] ? OK : disk_wait(h, err);
  disk->made[f] |= !r;
  return r;
}

static int disk_wait(host *host, error *err) {
  disk *disk = host->disk;
  time_us from = host->sim->now;
  do {
    int64_t us = disk->stall.us > host->sim->now.us
                     ? disk->stall.us - host->sim->now.us
                     : disk->slow_ms * 1000 + 200 + (int64_t)sim_draw(host->sim, 1500);
    if (task_sleep(&host->world.tasks, (time_us){ us }) == WAKE_STOPPED)
      return error_set(err, E_STOPPING, "stopping");
  } while (disk->stall.us > host->sim->now.us && disk->stall.us > from.us);
  if (disk->fails)
    return error_set(err, E_DISK_SYNC, "the disk fails");
  return OK;
}

static int disk_read(world *world, unsigned f, size_t off, void *to, size_t n, error *err) {
  disk *disk = ((host *)world)->disk;
  if (off + n > disk->size)
    return error_set(err, E_DISK, "past the end");
  memcpy(to, disk->file[f] + off, n);
  return OK;
}

static int disk_write(world *world, unsigned f, size_t off, const void *p, size_t n, error *err) {
  host *h = (host *)world;
  int r = disk_wait(h, err);
  if (r)
    return r;
  if (h->disk->full)
    return error_set(err, E_DISK_FULL, "the disk is full");
  if (off + n > h->disk->size)
    return error_set(err, E_DISK, "past the end");
  memcpy(h->disk->file[f] + off, p, n);
  loose l = { f, off, n, g_memdup2(p, n) };
  g_array_append_val(h->disk->loose, l);
  return OK;
}

static int disk_sync(world *world, unsigned f, error *err) {
  host *h = (host *)world;
  int r = disk_wait(h, err);
  if (r)
    return r;
  for (guint i = 0; i < h->disk->loose->len;) {
    loose *l = &g_array_index(h->disk->loose, loose, i);
    if (l->file != f) {
      i++;
      continue;
    }
    memcpy(h->disk->sure[f] + l->off, l->p, l->n);
    g_free(l->p);
    g_array_remove_index(h->disk->loose, i);
  }
  return OK;
}

/* each sector of a write is there or missing by itself */
static void sectors_lose(sim *sim, disk *disk, const loose *l) {
  for (size_t at = 0; at < l->n; at += SECTOR)
    if (sim_draw(sim, 2))
      memcpy(disk->sure[l->file] + l->off + at, l->p + at, MIN((size_t)SECTOR, l->n - at));
}

static void file_lose(disk *disk, int file) {
  free(disk->file[file]);
  free(disk->sure[file]);
  disk->file[file] = disk->sure[file] = NULL;
}

static void disk_lose(sim *sim, disk *disk) {
  for (guint i = 0; i < disk->loose->len; i++) {
    loose *l = &g_array_index(disk->loose, loose, i);
    if (disk->harsh && sim_draw(sim, 2)) {
      sectors_lose(sim, disk, l);
      g_free(l->p);
      continue;
    }
    size_t keep = sim_draw(sim, 3) == 0 ? l->n
                  : sim_draw(sim, 2)    ? 0
                                        : sim_draw(sim, l->n / 64 + 1) * 64;
    memcpy(disk->sure[l->file] + l->off, l->p, MIN(keep, l->n));
    g_free(l->p);
  }
  g_array_set_size(disk->loose, 0);
  for (int i = 0; i < FILES_MOST; i++) {
    if (disk->file[i] && !disk->made[i] && sim_draw(sim, 2))
      file_lose(disk, i);
    if (disk->file[i])
      memcpy(disk->file[i], disk->sure[i], disk->size);
  }
}

static void disk_clear(disk *disk) {
  for (guint i = 0; i < disk->loose->len; i++)
    g_free(g_array_index(disk->loose, loose, i).p);
  g_array_set_size(disk->loose, 0);
  for (int i = 0; i < FILES_MOST; i++)
    file_lose(disk, i);
}

void host_wipe(host *host) {
  disk_clear(host->disk);
}

/* machines */
host *sim_host(sim *sim, enum host_role what, const char *self, const char *area,
               const char *addr) {
  host *h = g_new0(host, 1);
  h->sim = sim;
  h->role = what;
  h->self = id_of_text(self);
  h->area = id_of_text(area);
  g_strlcpy(h->addr, addr, sizeof h->addr);
  h->due = time_never();
  h->past = g_ptr_array_new();
  list_init(&h->inbox);
  list_init(&h->kept);
  h->disk = g_new0(disk, 1);
  h->disk->loose = g_array_new(FALSE, TRUE, sizeof(loose));
  list_append(&sim->hosts, &h->link);
  return h;
}

host *sim_find(sim *sim, const char *self) {
  list_for_each (h, &sim->hosts, host, link)
    if (!strcmp(h->self.text, self))
      return h;
  return NULL;
}

void host_start(host *host) {
  world *world = &host->world;
  memset(world, 0, sizeof *world);
  scheduler_init(&world->tasks, host_now, host);
  world->random = host_draw;
  world->timestamp = host_stamp;
  world->write_log = host_say;
  world->post_message = host_post;
  world->request_flush = host_push;
  world->call_start = host_call;
  world->call_cancel = host_drop;
  world->listener_open = kept_listener_open;
  world->listener_stop_accepting = kept_listener_shut;
  world->listener_close_idle = kept_listener_end;
  world->pool_close_idle = kept_forget;
  world->disk_open = disk_open;
  world->disk_read = disk_read;
  world->disk_write = disk_write;
  world->disk_sync = disk_sync;
  world->body_max_bytes = 1 << 20;
  host->alive = true;
  host->frozen = host->dark = false;
  host->life++;
  host->controller = NULL;
  host->router = NULL;
  host->seq_seen = 0;
  if (host->role == HOST_CONTROLLER)
    host->controller = controller_new(world, &host->settings);
  if (host->role == HOST_ROUTER)
    host->router = router_new(world, &host->settings);
  if (host->role == HOST_ENGINE) {
    if (host->engine)
      g_ptr_array_add(host->past, host->engine);
    host->engine = engine_sim_new(world, host->self, id_of_text(host->settings.platform_address),
                                  host->area, host->megs, host->slots);
    host->engine->faults = host->faults;
  }
  if (host->role == HOST_PLATFORM && !host->platform)
    host->platform = platform_sim_new(world);
  else if (host->role == HOST_PLATFORM) {
    platform_sim *old = host->platform;
    host->platform = platform_sim_new(world);
    g_array_free(host->platform->engines, TRUE);
    g_array_free(host->platform->marks, TRUE);
    host->platform->engines = old->engines;
    host->platform->marks = old->marks;
    g_free(old);
  }
  if (host->role == HOST_CALLERS && !host->loadgen)
    host->loadgen = loadgen_new(world, host->self);
  if (host->begin)
    host->begin(host);
  host->due = host->sim->now;
}

/* those who wait for an answer of a dead process see a reset, unless the whole machine went dark */
static void conns_end(host *host, bool dark) {
  list_for_each (c, &host->sim->conns, conn, link)
    if (c->b == host && c->life_b == host->life && c->call && c->call->sent && !c->over && !dark) {
      c->over = true;
      send_caller(c, 3, NULL, 0, false, NULL);
    }
}

static void end(host *host, bool dark) {
  if (!host->alive)
    return;
  host->dark = dark;
  conns_end(host, dark);
  kept_end(host);
  scheduler_stop(&host->world.tasks);
  if (host->world.tasks.count) {
    fprintf(stderr, "sim: %zu tasks of %s would not end\n", host->world.tasks.count,
            host->self.text);
    abort();
  }
  kept_ended(host);
  host->alive = false;
  host->due = time_never();
  while (!list_is_empty(&host->inbox)) {
    event *e = list_item(host->inbox.next, event, wait);
    list_remove(&e->wait);
    if (e->conn) {
      e->run(e);
    }
    event_free(e);
  }
  if (host->finish)
    host->finish(host);
  if (host->controller)
    controller_free(host->controller);
  if (host->router)
    router_free(host->router);
  host->controller = NULL;
  host->router = NULL;
  scheduler_free(&host->world.tasks);
}

void host_kill(host *host) {
  end(host, false);
}
void host_power(host *host) {
  end(host, true);
  disk_lose(host->sim, host->disk);
}
void host_freeze(host *host) {
  host->frozen = true;
}
void host_wake(host *host) {
  host->frozen = false;
  host->due = host->sim->now;
  if (host->engine)
    host->engine->woke = host->sim->now;
}

sim *sim_new(uint64_t seed) {
  sim *s = g_new0(sim, 1);
  s->rnd = seed * 0x9e3779b97f4a7c15ull + 1;
  s->now = time_from_ms(1000000 + (int64_t)sim_draw(s, 1000));
  s->events = g_sequence_new(NULL);
  s->cuts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  s->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pair_free);
  s->give_up_ms = PEER_CHANNEL_TIMEOUT_MS;
  s->arrive = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  s->delay_ms = 1;
  s->spread_ms = 2;
  s->loud = g_getenv("SIM_LOG") != NULL;
  list_init(&s->hosts);
  list_init(&s->conns);
  list_init(&s->listeners);
  list_init(&s->channels);
  list_init(&s->exchanges);
  return s;
}

void sim_free(sim *sim) {
  list_for_each (h, &sim->hosts, host, link)
    end(h, false);
  GSequenceIter *it;
  while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(sim->events))) {
    event *event = g_sequence_get(it);
    g_sequence_remove(it);
    if (event->conn)
      conn_drop(event->conn);
    event_free(event);
  }
  kept_free(sim);
  list_for_each (h, &sim->hosts, host, link) {
    if (h->dispose)
      h->dispose(h);
    if (h->engine)
      engine_sim_free(h->engine);
    for (guint i = 0; i < h->past->len; i++)
      engine_sim_free(h->past->pdata[i]);
    g_ptr_array_free(h->past, TRUE);
    if (h->platform)
      platform_sim_free(h->platform);
    if (h->loadgen)
      loadgen_free(h->loadgen);
    disk_clear(h->disk);
    g_array_free(h->disk->loose, TRUE);
    g_free(h->disk);
    list_remove(&h->link);
    g_free(h);
  }
  g_sequence_free(sim->events);
  g_hash_table_destroy(sim->cuts);
  g_hash_table_destroy(sim->arrive);
  g_hash_table_destroy(sim->peers);
  g_free(sim);
}

static void wake_hosts(sim *sim) {
  list_for_each (h, &sim->hosts, host, link) {
    if (!h->alive || h->frozen)
      continue;
    if (!list_is_empty(&h->world.tasks.ready) || h->due.us <= sim->now.us)
      h->due = scheduler_run(&h->world.tasks);
  }
}

/* one step of virtual time; false when nothing is left before the end */
static bool sim_step(sim *sim, time_us end) {
  wake_hosts(sim);
  time_us next = end;
  GSequenceIter *it = g_sequence_get_begin_iter(sim->events);
  event *e = g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
  if (e && e->at.us < next.us)
    next = e->at;
  list_for_each (h, &sim->hosts, host, link) {
    if (!h->alive || h->frozen)
      continue;
    if (!list_is_empty(&h->inbox))
      next = sim->now;
    if (h->due.us < next.us)
      next = h->due;
  }
  if (sim->each && sim->each_at.us < next.us)
    next = sim->each_at;
  if (next.us > sim->now.us)
    sim->now = next;
  sim->turns++;
  list_for_each (h, &sim->hosts, host, link)
    while (h->alive && !h->frozen && !list_is_empty(&h->inbox)) {
      event *k = list_item(h->inbox.next, event, wait);
      list_remove(&k->wait);
      k->run(k);
      event_free(k);
    }
  if (e && e->at.us <= sim->now.us) {
    g_sequence_remove(it);
    if (e->host && e->host->alive && e->host->frozen)
      list_append(&e->host->inbox, &e->wait);
    else {
      e->run(e);
      event_free(e);
    }
  }
  if (sim->each && sim->each_at.us <= sim->now.us) {
    sim->each_at = time_add(sim->now, time_from_ms(50));
    sim->each(sim, sim->each_ctx);
  }
  return sim->now.us < end.us;
}

void sim_run(sim *sim, time_us span) {
  time_us end = time_add(sim->now, span);
  while (sim_step(sim, end)) {
  }
  wake_hosts(sim);
}

bool sim_until(sim *s, bool (*test)(sim *s, void *ctx), void *ctx, time_us span) {
  time_us end = time_add(s->now, span);
  do {
    if (test(s, ctx))
      return true;
    sim_run(s, time_from_ms(20));
  } while (s->now.us < end.us);
  return test(s, ctx);
}
