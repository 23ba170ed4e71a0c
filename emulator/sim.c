#include "sim_connections.h"
#include "peer_channel.h"
#include <stdio.h>
#include <stdlib.h>

enum { SECTOR = 512 };

typedef struct connection connection;
struct event {
  time_us at;
  uint64_t sequence;
  host *host;
  uint64_t incarnation;
  void (*run)(event *event);
  connection *connection;
  GString *text;
  char addr[48];
  int n;
  http_headers headers;
  bool flag;
  list_node wait;
  void (*callback)(void *);
  void *callback_arg;
};
/* one HTTP exchange between two machines; each side lets go of it by itself */
struct connection {
  sim *sim;
  host *caller, *server;
  uint64_t caller_incarnation, server_incarnation;
  http_call *call;
  http_request *request;
  int refs;
  bool head_sent, finished, bytes_lost, loss_reported;
  time_us last_delivery_at;
  list_node link;
};

static time_us host_now(void *p) {
  return ((host *)p)->sim->now;
}

static uint64_t random_next(sim *sim) {
  uint64_t z = (sim->random_state += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

uint64_t sim_random(sim *sim, uint64_t n) {
  return n ? random_next(sim) % n : 0;
}
/* a machine may have chance of its own, so that what it does is the same whatever the others draw
 */
static uint64_t host_draw(world *world) {
  host *h = (host *)world;
  if (!h->random_state)
    return random_next(h->sim);
  uint64_t z = (h->random_state += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

static const char *host_timestamp(world *world, char *buf, size_t n) {
  host *h = (host *)world;
  snprintf(buf, n, "%9.3f", (double)(h->sim->now.us + h->wall_clock_offset_us) / 1e6);
  return buf;
}

static void host_write_log(world *world, const char *line) {
  if (((host *)world)->sim->log_to_stderr)
    fprintf(stderr, "%s\n", line);
}

static int event_cmp(gconstpointer a, gconstpointer b, gpointer x) {
  (void)x;
  const event *p = a, *q = b;
  if (p->at.us != q->at.us)
    return p->at.us < q->at.us ? -1 : 1;
  return p->sequence < q->sequence ? -1 : p->sequence > q->sequence;
}

static event *event_schedule(sim *sim, time_us at, host *host, void (*run)(event *)) {
  event *e = g_new0(event, 1);
  e->at = at;
  e->sequence = ++sim->event_sequence;
  e->host = host;
  e->run = run;
  e->incarnation = host ? host->incarnation : 0;
  list_init(&e->wait);
  g_sequence_insert_sorted(sim->events, e, event_cmp, NULL);
  return e;
}

static void event_free(event *event) {
  if (event->text)
    g_string_free(event->text, TRUE);
  http_headers_free(&event->headers);
  g_free(event);
}

static void event_run_callback(event *event) {
  event->callback(event->callback_arg);
}

void sim_schedule(sim *sim, time_us at, void (*fn)(void *), void *arg) {
  event *event = event_schedule(sim, at, NULL, event_run_callback);
  event->callback = fn;
  event->callback_arg = arg;
}

bool sim_is_partitioned(sim *sim, host *a, host *b) {
  char k[120];
  const char *one[] = { a->self.text, "*" }, *two[] = { b->self.text, "*" };
  if (a == b)
    return false;
  for (int i = 0; i < 2; i++)
    for (int j = 0; j < 2; j++) {
      snprintf(k, sizeof k, "%s>%s", one[i], two[j]);
      if (g_hash_table_contains(sim->partitions, k))
        return true;
    }
  return false;
}

void sim_set_partition(sim *sim, const char *a, const char *b, bool cut) {
  char *k = g_strdup_printf("%s>%s", a ? a : "*", b ? b : "*");
  if (cut)
    g_hash_table_add(sim->partitions, k);
  else {
    sim->healed_at = sim->now;
    g_hash_table_remove(sim->partitions, k);
    g_free(k);
  }
}
void sim_set_partition_both_ways(sim *sim, const char *a, const char *b, bool cut) {
  sim_set_partition(sim, a, b, cut);
  sim_set_partition(sim, b, a, cut);
}
void sim_heal_partitions(sim *sim) {
  sim->healed_at = sim->now;
  g_hash_table_remove_all(sim->partitions);
}

time_us sim_draw_message_delay(sim *sim) {
  return (time_us){ sim->delay_ms * 1000 + (int64_t)sim_random(sim, sim->jitter_ms * 1000 + 1) };
}

static host *host_at_address(sim *sim, const char *addr) {
  list_for_each (h, &sim->hosts, host, link)
    if (!strcmp(h->addr, addr))
      return h;
  return NULL;
}

/* peer messages */
static void deliver_message(event *event) {
  host *host = event->host;
  if (host->alive && host->world.on_message)
    host->world.on_message(host->world.on_message_context, string_view_of_gstring(event->text));
}

/* when the link of a machine has taken a message, after all that it took before */
static time_us link_reserve(host *from, const host *to, size_t bytes) {
  sim *sim = from->sim;
  if (!sim->bytes_per_s || from == to)
    return sim->now;
  if (from->link_busy_until.us < sim->now.us)
    from->link_busy_until = sim->now;
  from->link_busy_until.us += (int64_t)bytes * 1000000 / sim->bytes_per_s;
  return from->link_busy_until;
}

static void send_message(host *a, host *b, string_view msg) {
  sim *sim = a->sim;
  char k[120];
  snprintf(k, sizeof k, "%s>%s", a->self.text, b->self.text);
  time_us at = time_add(link_reserve(a, b, msg.length),
                        time_add(sim_draw_message_delay(sim), time_from_ms(b->read_delay_ms))),
          *last = g_hash_table_lookup(sim->last_arrivals, k);
  if (!last) {
    last = g_new0(time_us, 1);
    g_hash_table_insert(sim->last_arrivals, g_strdup(k), last);
  }
  if (at.us <= last->us)
    at.us = last->us + 1;
  *last = at;
  event *event = event_schedule(sim, at, b, deliver_message);
  event->incarnation = 0;
  event->text = g_string_new_len(msg.data, msg.length);
}

/* a channel between two processes that holds what a cut held up */
typedef struct peer_pair {
  host *sender, *receiver;
  peer_channel *channel;
  bool resume_scheduled;
} peer_pair;

static void pair_free(void *p) {
  peer_channel_free(((peer_pair *)p)->channel);
  g_free(p);
}

static peer_pair *pair_of(host *a, host *b) {
  char k[120];
  snprintf(k, sizeof k, "%s>%s", a->self.text, b->self.text);
  peer_pair *p = g_hash_table_lookup(a->sim->peer_channels, k);
  if (!p) {
    p = g_new0(peer_pair, 1);
    *p = (peer_pair){ a, b, peer_channel_new(), false };
    p->channel->incarnation = a->incarnation;
    g_hash_table_insert(a->sim->peer_channels, g_strdup(k), p);
  }
  if (p->channel->incarnation != a->incarnation) {
    peer_channel_reset(p->channel);
    p->channel->incarnation = a->incarnation;
  }
  return p;
}

static void pair_flush(peer_pair *p) {
  GString *t;
  while ((t = g_queue_pop_head(&p->channel->queued_messages))) {
    send_message(p->sender, p->receiver, string_view_of_gstring(t));
    g_string_free(t, TRUE);
  }
  peer_channel_reset(p->channel);
}

static void pair_resume(void *arg) {
  peer_pair *p = arg;
  sim *sim = p->sender->sim;
  p->resume_scheduled = false;
  bool cut = sim_is_partitioned(sim, p->sender, p->receiver) ||
             sim_is_partitioned(sim, p->receiver, p->sender);
  if (p->channel->resumes_at.us && p->channel->resumes_at.us <= sim->now.us &&
      p->channel->incarnation == p->sender->incarnation && p->sender->alive && !cut)
    pair_flush(p);
}

/* true when a message goes out now */
static bool pair_send(host *a, host *b, string_view msg) {
  sim *sim = a->sim;
  peer_pair *p = pair_of(a, b);
  enum peer_fate f = peer_channel_send(p->channel, sim->now, sim_is_partitioned(sim, a, b),
                                       sim_is_partitioned(sim, b, a), sim->healed_at,
                                       sim->peer_timeout_ms, sim_random(sim, 1000000));
  if (f == PEER_QUEUED && peer_channel_can_queue(p->channel))
    g_queue_push_tail(&p->channel->queued_messages, g_string_new_len(msg.data, msg.length));
  if (p->channel->resumes_at.us && !p->resume_scheduled) {
    p->resume_scheduled = true;
    sim_schedule(sim, p->channel->resumes_at, pair_resume, p);
  }
  if (f == PEER_SENT && p->channel->resumes_at.us)
    pair_flush(p);
  return f == PEER_SENT;
}

static void host_post(world *world, const char *addr, string_view msg) {
  host *a = (host *)world, *b = host_at_address(a->sim, addr);
  sim *sim = a->sim;
  if (world->tasks.stopped || !a->alive || !b)
    return;
  sim->messages_sent++;
  sim->bytes_sent += msg.length;
  if (!sim->tcp_channels && sim_is_partitioned(sim, a, b))
    return;
  if (a != b && sim->loss_ratio > 0 && (double)sim_random(sim, 1000000) < sim->loss_ratio * 1e6)
    return;
  if (!sim->tcp_channels || a == b || pair_send(a, b, msg))
    send_message(a, b, msg);
}

/* HTTP */
static void connection_unref(connection *connection) {
  if (!--connection->refs) {
    list_remove(&connection->link);
    g_free(connection);
  }
}

static void deliver_to_caller(event *event) {
  connection *connection = event->connection;
  if (connection->call && connection->caller->alive &&
      connection->caller->incarnation == connection->caller_incarnation) {
    http_call *call = connection->call;
    if (event->n == 1) {
      call->status = atoi(event->text->str);
      http_headers_copy(&call->known_response_fields, &event->headers);
    }
    if (event->n == 2)
      g_string_append_len(call->response_body, event->text->str, event->text->len);
    if (event->n == 3) {
      if (event->flag)
        call->ended = true;
      else
        call->broken = true;
      connection->finished = true;
    }
    condition_broadcast(&call->progressed);
  }
  connection_unref(connection);
}

static void send_to_caller(connection *connection, int n, const char *p, size_t len, bool flag,
                           const http_headers *h) {
  sim *sim = connection->sim;
  /* a channel never skips bytes: once some were lost, it is broken when the path is back */
  if (sim_is_partitioned(sim, connection->server, connection->caller)) {
    connection->bytes_lost = true;
    return;
  }
  if (connection->bytes_lost) {
    if (connection->loss_reported)
      return;
    connection->loss_reported = connection->finished = true;
    n = 3;
    p = NULL;
    len = 0;
    flag = false;
    h = NULL;
  }
  time_us at = time_add(sim->now, sim_draw_message_delay(sim));
  if (at.us <= connection->last_delivery_at.us)
    at.us = connection->last_delivery_at.us + 1;
  connection->last_delivery_at = at;
  event *event = event_schedule(sim, at, connection->caller, deliver_to_caller);
  event->connection = connection;
  event->n = n;
  event->flag = flag;
  event->incarnation = 0;
  event->text = g_string_new_len(p ? p : "", len);
  if (h)
    http_headers_copy(&event->headers, h);
  connection->refs++;
}

static void host_flush_response(http_request *request) {
  if (request->fields) {
    connections_flush_response(request);
    return;
  }
  connection *connection = request->impl;
  if (!connection || connection->server->world.tasks.stopped || request->client_gone ||
      !request->response_started) {
    if (connection && request->response_ended && !request->response_started &&
        !connection->server->world.tasks.stopped && !connection->finished) {
      connection->finished = true;
      send_to_caller(connection, 3, NULL, 0, false, NULL);
    }
    return;
  }
  if (!connection->head_sent) {
    char st[16];
    snprintf(st, sizeof st, "%d", request->status);
    connection->head_sent = true;
    send_to_caller(connection, 1, st, strlen(st), false, &request->known_response_fields);
  }
  /* a slow caller takes nothing more from its channel */
  if (request->pending_output->len &&
      !(connection->caller->reads_slowly && !request->response_ended)) {
    send_to_caller(connection, 2, request->pending_output->str, request->pending_output->len, false,
                   NULL);
    g_string_truncate(request->pending_output, 0);
    condition_broadcast(&request->drained);
  }
  if (request->response_ended && !connection->finished) {
    connection->finished = true;
    send_to_caller(connection, 3, NULL, 0, request->ended_cleanly, NULL);
  }
}

static void serve_task(void *p) {
  connection *connection = p;
  http_request *request = connection->request;
  host *host = connection->server;
  host->world.serve(host->world.serve_context, request);
  if (!request->response_ended)
    http_request_end(request, false);
  connection->request = NULL;
  http_request_free(request);
  connection_unref(connection);
}

static void deliver_client_gone(event *event) {
  connection *connection = event->connection;
  if (connection->request && connection->server->alive &&
      connection->server->incarnation == connection->server_incarnation) {
    connection->request->client_gone = true;
    condition_broadcast(&connection->request->drained);
  }
  connection_unref(connection);
}

static void deliver_request(event *event) {
  connection *connection = event->connection;
  host *b = connection->server;
  if (b->alive && b->incarnation == connection->server_incarnation && connection->call &&
      b->world.serve) {
    http_request *request = g_new0(http_request, 1);
    request->world = &b->world;
    char **q = g_strsplit(event->addr[0] ? connection->call->path : "", "?", 2);
    request->method = g_strdup(connection->call->method);
    request->path = g_strdup(q[0] ? q[0] : "");
    request->query = g_strdup(q[0] && q[1] ? q[1] : "");
    g_strfreev(q);
    g_strlcpy(request->client_address, connection->caller->addr, sizeof request->client_address);
    http_headers_copy(&request->known_fields, &connection->call->known_request_fields);
    request->body = g_string_new_len(connection->call->body->str, connection->call->body->len);
    request->pending_output = g_string_new(NULL);
    condition_init(&request->drained);
    request->impl = connection;
    connection->request = request;
    connection->refs++;
    task_start(&b->world.tasks, "serve", serve_task, connection);
  } else if (!b->powered_off)
    send_to_caller(connection, 3, NULL, 0, false, NULL);
  connection_unref(connection);
}

static void connection_established(event *e) {
  connection *connection = e->connection;
  sim *sim = connection->sim;
  if (connection->call && connection->caller->alive &&
      connection->caller->incarnation == connection->caller_incarnation) {
    if (time_reached(sim->now, connection->call->send_deadline)) {
      connection->call->broken = true;
      condition_broadcast(&connection->call->progressed);
    } else if (!connection->server->alive) {
      if (!connection->server->powered_off) {
        connection->call->broken = true;
        condition_broadcast(&connection->call->progressed);
      }
    } else if (!sim_is_partitioned(sim, connection->caller, connection->server) &&
               !sim_is_partitioned(sim, connection->server, connection->caller)) {
      connection->server_incarnation = connection->server->incarnation;
      connection->call->sent = true;
      event *k = event_schedule(sim, time_add(sim->now, sim_draw_message_delay(sim)),
                                connection->server, deliver_request);
      k->connection = connection;
      g_strlcpy(k->addr, "x", sizeof k->addr);
      k->incarnation = 0;
      connection->refs++;
    }
  }
  connection_unref(connection);
}

static void host_call(http_call *call) {
  host *a = (host *)call->world, *b = host_at_address(a->sim, call->address);
  if (call->pooled || (!b && connections_is_listener_address(a->sim, call->address))) {
    connections_start_call(call);
    return;
  }
  if (call->world->tasks.stopped || !b) {
    call->broken = true;
    return;
  }
  connection *c = g_new0(connection, 1);
  c->sim = a->sim;
  c->caller = a;
  c->server = b;
  c->call = call;
  c->caller_incarnation = a->incarnation;
  c->server_incarnation = b->incarnation;
  call->impl = c;
  list_append(&a->sim->connections, &c->link);
  c->refs = 2;
  event *event = event_schedule(a->sim,
                                time_add(a->sim->now, time_add(sim_draw_message_delay(a->sim),
                                                               sim_draw_message_delay(a->sim))),
                                a, connection_established);
  event->incarnation = 0;
  event->connection = c;
}

static void host_cancel_call(http_call *call) {
  if (call->request_fields) {
    connections_cancel_call(call);
    return;
  }
  connection *connection = call->impl;
  if (!connection)
    return;
  call->impl = NULL;
  connection->call = NULL;
  if (!sim_is_partitioned(connection->sim, connection->caller, connection->server) &&
      !connection->caller->powered_off) {
    event *event = event_schedule(
        connection->sim, time_add(connection->sim->now, sim_draw_message_delay(connection->sim)),
        connection->server, deliver_client_gone);
    event->incarnation = 0;
    event->connection = connection;
    connection->refs++;
  }
  connection_unref(connection);
}

/* disks */
static enum error_code disk_wait(host *host, error *err);

static enum error_code disk_open(world *world, unsigned f, size_t size, error *err) {
  host *h = (host *)world;
  sim_disk *disk = h->disk;
  if (f >= SIM_DISK_FILES_MAX || disk->fails)
    return error_set(err, E_DISK, "no such file");
  if (!disk->cached_data[f]) {
    disk->cached_data[f] = calloc(1, size);
    disk->durable_data[f] = calloc(1, size);
    disk->size = size;
    disk->creation_synced[f] = !disk->tears_writes;
  }
  int r = disk->creation_synced[f] ? OK : disk_wait(h, err);
  disk->creation_synced[f] |= !r;
  return r;
}

static enum error_code disk_wait(host *host, error *err) {
  sim_disk *disk = host->disk;
  time_us from = host->sim->now;
  do {
    int64_t us = disk->stalled_until.us > host->sim->now.us
                     ? disk->stalled_until.us - host->sim->now.us
                     : disk->sync_delay_ms * 1000 + 200 + (int64_t)sim_random(host->sim, 1500);
    if (task_sleep(&host->world.tasks, (time_us){ us }) == WAKE_STOPPED)
      return error_set(err, E_STOPPING, "stopping");
  } while (disk->stalled_until.us > host->sim->now.us && disk->stalled_until.us > from.us);
  if (disk->fails)
    return error_set(err, E_DISK_SYNC, "the disk fails");
  return OK;
}

static enum error_code disk_read(world *world, unsigned f, size_t off, void *to, size_t n,
                                 error *err) {
  sim_disk *disk = ((host *)world)->disk;
  if (off + n > disk->size)
    return error_set(err, E_DISK, "past the end");
  memcpy(to, disk->cached_data[f] + off, n);
  return OK;
}

static enum error_code disk_write(world *world, unsigned f, size_t off, const void *p, size_t n,
                                  error *err) {
  host *h = (host *)world;
  int r = disk_wait(h, err);
  if (r)
    return r;
  if (h->disk->full)
    return error_set(err, E_DISK_FULL, "the disk is full");
  if (off + n > h->disk->size)
    return error_set(err, E_DISK, "past the end");
  memcpy(h->disk->cached_data[f] + off, p, n);
  unsynced_write l = { f, off, n, g_memdup2(p, n) };
  g_array_append_val(h->disk->unsynced_writes, l);
  return OK;
}

static enum error_code disk_sync(world *world, unsigned f, error *err) {
  host *h = (host *)world;
  int r = disk_wait(h, err);
  if (r)
    return r;
  for (guint i = 0; i < h->disk->unsynced_writes->len;) {
    unsynced_write *l = &g_array_index(h->disk->unsynced_writes, unsynced_write, i);
    if (l->file != f) {
      i++;
      continue;
    }
    memcpy(h->disk->durable_data[f] + l->offset, l->data, l->length);
    g_free(l->data);
    g_array_remove_index(h->disk->unsynced_writes, i);
  }
  return OK;
}

/* each sector of a write is there or missing by itself */
static void lose_unsynced_sectors(sim *sim, sim_disk *disk, const unsynced_write *l) {
  for (size_t at = 0; at < l->length; at += SECTOR)
    if (sim_random(sim, 2))
      memcpy(disk->durable_data[l->file] + l->offset + at, l->data + at,
             MIN((size_t)SECTOR, l->length - at));
}

static void lose_file(sim_disk *disk, int file) {
  free(disk->cached_data[file]);
  free(disk->durable_data[file]);
  disk->cached_data[file] = disk->durable_data[file] = NULL;
}

static void disk_lose_unsynced(sim *sim, sim_disk *disk) {
  for (guint i = 0; i < disk->unsynced_writes->len; i++) {
    unsynced_write *l = &g_array_index(disk->unsynced_writes, unsynced_write, i);
    if (disk->tears_writes && sim_random(sim, 2)) {
      lose_unsynced_sectors(sim, disk, l);
      g_free(l->data);
      continue;
    }
    size_t keep = sim_random(sim, 3) == 0 ? l->length
                  : sim_random(sim, 2)    ? 0
                                          : sim_random(sim, l->length / 64 + 1) * 64;
    memcpy(disk->durable_data[l->file] + l->offset, l->data, MIN(keep, l->length));
    g_free(l->data);
  }
  g_array_set_size(disk->unsynced_writes, 0);
  for (int i = 0; i < SIM_DISK_FILES_MAX; i++) {
    if (disk->cached_data[i] && !disk->creation_synced[i] && sim_random(sim, 2))
      lose_file(disk, i);
    if (disk->cached_data[i])
      memcpy(disk->cached_data[i], disk->durable_data[i], disk->size);
  }
}

static void disk_clear(sim_disk *disk) {
  for (guint i = 0; i < disk->unsynced_writes->len; i++)
    g_free(g_array_index(disk->unsynced_writes, unsynced_write, i).data);
  g_array_set_size(disk->unsynced_writes, 0);
  for (int i = 0; i < SIM_DISK_FILES_MAX; i++)
    lose_file(disk, i);
}

void host_wipe_disk(host *host) {
  disk_clear(host->disk);
}

/* machines */
host *sim_add_host(sim *sim, enum host_role what, const char *self, const char *area,
                   const char *addr) {
  host *h = g_new0(host, 1);
  h->sim = sim;
  h->role = what;
  h->self = id_of_text(self);
  h->area = id_of_text(area);
  g_strlcpy(h->addr, addr, sizeof h->addr);
  h->next_wake_at = time_never();
  h->past_engines = g_ptr_array_new();
  list_init(&h->inbox);
  list_init(&h->pooled_connections);
  h->disk = g_new0(sim_disk, 1);
  h->disk->unsynced_writes = g_array_new(FALSE, TRUE, sizeof(unsynced_write));
  list_append(&sim->hosts, &h->link);
  return h;
}

host *sim_find_host(sim *sim, const char *self) {
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
  world->timestamp = host_timestamp;
  world->write_log = host_write_log;
  world->post_message = host_post;
  world->request_flush = host_flush_response;
  world->call_start = host_call;
  world->call_cancel = host_cancel_call;
  world->listener_open = connections_open_listener;
  world->listener_stop_accepting = connections_stop_accepting;
  world->listener_close_idle = connections_close_listener_idle;
  world->pool_close_idle = connections_close_pooled;
  world->disk_open = disk_open;
  world->disk_read = disk_read;
  world->disk_write = disk_write;
  world->disk_sync = disk_sync;
  world->body_max_bytes = 1 << 20;
  host->alive = true;
  host->frozen = host->powered_off = false;
  host->incarnation++;
  host->controller = NULL;
  host->router = NULL;
  host->config_version_seen = 0;
  if (host->role == HOST_CONTROLLER)
    host->controller = controller_new(world, &host->settings);
  if (host->role == HOST_ROUTER)
    host->router = router_new(world, &host->settings);
  if (host->role == HOST_ENGINE) {
    if (host->engine)
      g_ptr_array_add(host->past_engines, host->engine);
    host->engine = engine_sim_new(world, host->self, id_of_text(host->settings.platform_address),
                                  host->area, host->weights_mb, host->slots);
    host->engine->faults = host->faults;
  }
  if (host->role == HOST_PLATFORM && !host->platform)
    host->platform = platform_sim_new(world);
  else if (host->role == HOST_PLATFORM) {
    platform_sim *old = host->platform;
    host->platform = platform_sim_new(world);
    g_array_free(host->platform->engines, TRUE);
    g_array_free(host->platform->changes, TRUE);
    host->platform->engines = old->engines;
    host->platform->changes = old->changes;
    g_free(old);
  }
  if (host->role == HOST_CALLERS && !host->loadgen)
    host->loadgen = loadgen_new(world, host->self);
  if (host->on_start)
    host->on_start(host);
  host->next_wake_at = host->sim->now;
}

/* those who wait for an answer of a dead process see a reset, unless the whole machine went dark */
static void reset_pending_calls(host *host, bool dark) {
  list_for_each (c, &host->sim->connections, connection, link)
    if (c->server == host && c->server_incarnation == host->incarnation && c->call &&
        c->call->sent && !c->finished && !dark) {
      c->finished = true;
      send_to_caller(c, 3, NULL, 0, false, NULL);
    }
}

static void end(host *host, bool dark) {
  if (!host->alive)
    return;
  host->powered_off = dark;
  reset_pending_calls(host, dark);
  connections_reset_served(host);
  scheduler_stop(&host->world.tasks);
  if (host->world.tasks.count) {
    fprintf(stderr, "sim: %zu tasks of %s would not end\n", host->world.tasks.count,
            host->self.text);
    abort();
  }
  connections_drop_pool(host);
  host->alive = false;
  host->next_wake_at = time_never();
  while (!list_is_empty(&host->inbox)) {
    event *e = list_item(host->inbox.next, event, wait);
    list_remove(&e->wait);
    if (e->connection) {
      e->run(e);
    }
    event_free(e);
  }
  if (host->on_stop)
    host->on_stop(host);
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
void host_power_off(host *host) {
  end(host, true);
  disk_lose_unsynced(host->sim, host->disk);
}
void host_freeze(host *host) {
  host->frozen = true;
}
void host_unfreeze(host *host) {
  host->frozen = false;
  host->next_wake_at = host->sim->now;
  if (host->engine)
    host->engine->unfrozen_at = host->sim->now;
}

sim *sim_new(uint64_t seed) {
  sim *s = g_new0(sim, 1);
  s->random_state = seed * 0x9e3779b97f4a7c15ull + 1;
  s->now = time_from_ms(1000000 + (int64_t)sim_random(s, 1000));
  s->events = g_sequence_new(NULL);
  s->partitions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  s->peer_channels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pair_free);
  s->peer_timeout_ms = PEER_CHANNEL_TIMEOUT_MS;
  s->last_arrivals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  s->delay_ms = 1;
  s->jitter_ms = 2;
  s->log_to_stderr = g_getenv("SIM_LOG") != NULL;
  list_init(&s->hosts);
  list_init(&s->connections);
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
    if (event->connection)
      connection_unref(event->connection);
    event_free(event);
  }
  connections_free(sim);
  list_for_each (h, &sim->hosts, host, link) {
    if (h->on_dispose)
      h->on_dispose(h);
    if (h->engine)
      engine_sim_free(h->engine);
    for (guint i = 0; i < h->past_engines->len; i++)
      engine_sim_free(h->past_engines->pdata[i]);
    g_ptr_array_free(h->past_engines, TRUE);
    if (h->platform)
      platform_sim_free(h->platform);
    if (h->loadgen)
      loadgen_free(h->loadgen);
    disk_clear(h->disk);
    g_array_free(h->disk->unsynced_writes, TRUE);
    g_free(h->disk);
    list_remove(&h->link);
    g_free(h);
  }
  g_sequence_free(sim->events);
  g_hash_table_destroy(sim->partitions);
  g_hash_table_destroy(sim->last_arrivals);
  g_hash_table_destroy(sim->peer_channels);
  g_free(sim);
}

static void wake_hosts(sim *sim) {
  list_for_each (h, &sim->hosts, host, link) {
    if (!h->alive || h->frozen)
      continue;
    if (!list_is_empty(&h->world.tasks.ready) || h->next_wake_at.us <= sim->now.us)
      h->next_wake_at = scheduler_run(&h->world.tasks);
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
    if (h->next_wake_at.us < next.us)
      next = h->next_wake_at;
  }
  if (sim->on_sample && sim->next_sample_at.us < next.us)
    next = sim->next_sample_at;
  if (next.us > sim->now.us)
    sim->now = next;
  sim->steps++;
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
  if (sim->on_sample && sim->next_sample_at.us <= sim->now.us) {
    sim->next_sample_at = time_add(sim->now, time_from_ms(50));
    sim->on_sample(sim, sim->on_sample_context);
  }
  return sim->now.us < end.us;
}

void sim_run(sim *sim, time_us span) {
  time_us end = time_add(sim->now, span);
  while (sim_step(sim, end)) {
  }
  wake_hosts(sim);
}

bool sim_run_until(sim *s, bool (*test)(sim *s, void *ctx), void *ctx, time_us span) {
  time_us end = time_add(s->now, span);
  do {
    if (test(s, ctx))
      return true;
    sim_run(s, time_from_ms(20));
  } while (s->now.us < end.us);
  return test(s, ctx);
}
