#include "client_sim.h"
#include "registering_engine_sim.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum { CONNECT_TIMEOUT_MS = 1000, HEALTH_CHECK_MS = 1000, FAILURES_TO_EJECT = 2 };

/* the balancer */
typedef struct balancer_health_check {
  balancer_sim *balancer;
  balancer_sim_node *node;
} balancer_health_check;

static void health_check_run(void *p) {
  balancer_health_check *k = p;
  balancer_sim *b = k->balancer;
  balancer_sim_node *n = k->node;
  GString *got = g_string_new(NULL);
  while (!b->stop && !b->world->tasks.stopped) {
    time_us from = world_now(b->world);
    int st = http_call_fetch(b->world, n->ready_address, b->dialect->calls[DC_READY].method,
                             b->dialect->calls[DC_READY].path, NULL, string_view_of(""), got,
                             time_from_ms(HEALTH_CHECK_MS), NULL);
    g_string_truncate(got, 0);
    n->checks++;
    n->checks_failed += st != 200;
    n->failures_in_row = st == 200 ? 0 : n->failures_in_row + 1;
    if (st == 200)
      n->in_rotation = true;
    else if (n->failures_in_row >= FAILURES_TO_EJECT)
      n->in_rotation = false;
    time_us next = time_sub(time_add(from, time_from_ms(HEALTH_CHECK_MS)), world_now(b->world));
    if (!world_sleep(b->world, next.us > 1000 ? next : time_from_ms(1)))
      break;
  }
  g_string_free(got, TRUE);
  g_free(k);
}

balancer_sim *balancer_sim_new(world *world, const dialect *words) {
  balancer_sim *b = g_new0(balancer_sim, 1);
  b->world = world;
  b->dialect = words;
  b->nodes = g_ptr_array_new_with_free_func(g_free);
  return b;
}

void balancer_sim_add_node(balancer_sim *b, const char *front, const char *ready, id area) {
  balancer_sim_node *n = g_new0(balancer_sim_node, 1);
  g_strlcpy(n->front_address, front, sizeof n->front_address);
  g_strlcpy(n->ready_address, ready, sizeof n->ready_address);
  n->area = area;
  g_ptr_array_add(b->nodes, n);
  balancer_health_check *k = g_new0(balancer_health_check, 1);
  *k = (balancer_health_check){ b, n };
  task_start(&b->world->tasks, "probe", health_check_run, k);
}

void balancer_sim_free(balancer_sim *b) {
  g_ptr_array_free(b->nodes, TRUE);
  g_free(b);
}

const balancer_sim_node *balancer_sim_pick(const balancer_sim *b, id area, unsigned user,
                                           unsigned turn) {
  unsigned all = 0, in = 0, any = 0;
  for (guint i = 0; i < b->nodes->len; i++) {
    balancer_sim_node *n = b->nodes->pdata[i];
    bool here = id_equal(n->area, area);
    all += here;
    in += here && n->in_rotation;
    any += n->in_rotation;
  }
  /* With fewer than half of the zone's nodes in rotation, all of its nodes are used. With none, the
   * nodes in rotation of other zones are used. */
  bool every = in * 2 < all && in, others = !in && any;
  const balancer_sim_node *fit[64];
  unsigned count = 0;
  for (guint i = 0; i < b->nodes->len && count < 64; i++) {
    balancer_sim_node *n = b->nodes->pdata[i];
    bool here = id_equal(n->area, area);
    if (others ? n->in_rotation : here && (every || n->in_rotation || !in))
      fit[count++] = n;
  }
  char a[32];
  snprintf(a, sizeof a, "user-%u", user);
  return count ? fit[(hash_bytes(a, strlen(a), 3) + turn) % count] : NULL;
}

/* the client */
client_sim *client_sim_new(world *world, balancer_sim *to, const dialect *words) {
  client_sim *client = g_new0(client_sim, 1);
  client->world = world;
  client->balancer = to;
  client->dialect = words;
  client->kinds = g_ptr_array_new_with_free_func(g_free);
  client->requests = g_ptr_array_new_with_free_func(g_free);
  client->attempts = g_ptr_array_new_with_free_func(g_free);
  client->node_of_user = g_hash_table_new(g_direct_hash, g_direct_equal);
  client->users = 60;
  client->rate_factor = 1;
  return client;
}

void client_sim_free(client_sim *client) {
  for (guint i = 0; i < client->kinds->len; i++) {
    client_sim_kind *kind = client->kinds->pdata[i];
    if (kind->models)
      g_ptr_array_free(kind->models, TRUE);
  }
  g_ptr_array_free(client->kinds, TRUE);
  g_ptr_array_free(client->requests, TRUE);
  g_ptr_array_free(client->attempts, TRUE);
  g_hash_table_destroy(client->node_of_user);
  g_free(client);
}

client_sim_kind *client_sim_add_kind(client_sim *client, client_sim_kind k) {
  client_sim_kind *p = g_memdup2(&k, sizeof k);
  g_ptr_array_add(client->kinds, p);
  return p;
}

static double random_fraction(world *world) {
  return (double)(world->random(world) >> 11) / (double)(1ull << 53);
}

static const char *draw_model(client_sim *client, const client_sim_kind *kind) {
  if (!kind->models || !kind->models->len)
    return NULL;
  double all = 0, at;
  for (guint i = 0; i < kind->models->len; i++)
    all += 1 / pow(i + 1, kind->zipf_exponent);
  at = random_fraction(client->world) * all;
  for (guint i = 0; i < kind->models->len; i++)
    if ((at -= 1 / pow(i + 1, kind->zipf_exponent)) <= 0)
      return kind->models->pdata[i];
  return kind->models->pdata[kind->models->len - 1];
}

typedef struct request_task {
  client_sim *client;
  client_sim_request *request;
  GString *body, *prefix;
  uint64_t resume;
  char *tag;
} request_task;

static void set_fault(client_sim_attempt *attempt, const char *what) {
  if (!attempt->fault[0])
    g_strlcpy(attempt->fault, what, sizeof attempt->fault);
}

/* Removes and checks the complete events. Each must follow the previous one and, unless the kind is
 * resumable, belong to the run that the response names. */
static void parse_events(client_sim_attempt *attempt, GString *got, unsigned total, bool *end) {
  const client_sim_kind *kind = attempt->caller_request->kind;
  char *cut;
  while ((cut = strstr(got->str, "\n\n"))) {
    *cut = 0;
    uint64_t n = 0, m = 0;
    char run[80] = "", last[8] = "";
    int got_n = sscanf(got->str, "id: %" SCNu64 "\ndata: %79s %" SCNu64 " %7s", &n, run, &m, last);
    if (got_n < 3 || n != m)
      set_fault(attempt, "body");
    else if (*end || n != attempt->last_event + 1)
      set_fault(attempt, "order");
    else if (!kind->resumable && strcmp(run, attempt->run_id))
      set_fault(attempt, "order");
    if (got_n >= 3)
      attempt->last_event = n;
    if (got_n == 4) {
      *end = true;
      if (n != total)
        set_fault(attempt, "end");
    }
    g_string_erase(got, 0, cut - got->str + 2);
  }
}

/* A user's open connection stays with its node, even if the balancer sends no new ones there. */
static const balancer_sim_node *node_for(client_sim *client, const client_sim_request *request,
                                         unsigned turn) {
  gpointer user = GUINT_TO_POINTER(request->user);
  const balancer_sim_node *kept = g_hash_table_lookup(client->node_of_user, user);
  if (kept && !turn && !request->kind->new_connection && client->connected &&
      client->connected(client->world, kept->front_address))
    return kept;
  id area = client->areas[request->user % MAX(client->area_count, 1)];
  return balancer_sim_pick(client->balancer, area, request->user, turn);
}

static void remember_node(client_sim *client, const client_sim_request *request,
                          const balancer_sim_node *node, const http_call *call, bool whole) {
  gpointer user = GUINT_TO_POINTER(request->user);
  if (whole && !call->closes_connection)
    g_hash_table_insert(client->node_of_user, user, (gpointer)node);
  else
    g_hash_table_remove(client->node_of_user, user);
}

static void run_attempt(request_task *trip, unsigned turn) {
  client_sim *client = trip->client;
  client_sim_request *a = trip->request;
  const client_sim_kind *kind = a->kind;
  world *world = client->world;
  client_sim_attempt *attempt = g_new0(client_sim_attempt, 1);
  g_ptr_array_add(client->attempts, attempt);
  attempt->caller_request = a;
  attempt->outcome = 'o';
  client->attempt_count++;
  snprintf(attempt->request_id, sizeof attempt->request_id, "%016" PRIx64,
           hash_bytes(&client->attempt_count, sizeof client->attempt_count, 11));
  snprintf(attempt->target, sizeof attempt->target, "%s%x", kind->path, a->user & 0xff);
  const balancer_sim_node *n = node_for(client, a, turn);
  attempt->sent_at = world_now(world);
  time_us deadline = time_add(a->started_at, time_from_ms(kind->deadline_ms));
  attempt->left_ms = (deadline.us - attempt->sent_at.us) / 1000;
  attempt->resumed_after_event = attempt->last_event = trip->resume;
  attempt->request_checksum =
      engine_request_checksum("POST", attempt->target, string_view_of_gstring(trip->body));
  if (!n) {
    attempt->outcome = 'u';
    attempt->ended_at = attempt->sent_at;
    return;
  }
  g_strlcpy(attempt->node, n->front_address, sizeof attempt->node);
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(kind->host));
  fields_add(fields, "Content-Type", string_view_of("application/json"));
  fields_add(fields, client->dialect->header_names[DF_REQUEST_ID],
             string_view_of(attempt->request_id));
  fields_add_format(fields, client->dialect->header_names[DF_TIME_LEFT_MS], "%" PRId64,
                    attempt->left_ms);
  if (!id_is_empty(a->model)) {
    fields_add_format(fields, client->dialect->header_names[DF_MODEL], "%s%s%s", a->model.text,
                      id_is_empty(a->adapter) ? "" : "/", a->adapter.text);
    fields_add_format(fields, client->dialect->header_names[DF_TOKENS], "%.0f,%u",
                      kind->tokens_in + kind->tokens_shared, kind->tokens_out);
    fields_add(fields, client->dialect->header_names[DF_PREFIX],
               string_view_of_gstring(trip->prefix));
  }
  if (client->dialect->header_names[DF_SESSION])
    fields_add_format(fields, client->dialect->header_names[DF_SESSION], "%s-%u", kind->name,
                      a->user);
  if (trip->resume)
    fields_add_format(fields, client->dialect->header_names[DF_LAST_EVENT_ID], "%" PRIu64,
                      trip->resume);
  http_call *l = http_call_open_fields(world, n->front_address, "POST", attempt->target, fields,
                                       string_view_of_gstring(trip->body),
                                       kind->new_connection || turn > 0, time_never());
  g_string_free(fields, TRUE);
  GString *got = g_string_new(NULL);
  time_us quiet = deadline;
  int64_t silence = MAX(2000, MAX(4 * kind->target_ms, 8 * kind->gap_target_ms));
  bool stream = kind->mode == CLIENT_SIM_STREAM, end = false;
  int r;
  /* gives up if the connection isn't established within CONNECT_TIMEOUT_MS */
  while (!l->sent && !l->broken &&
         world_now(world).us < time_add(attempt->sent_at, time_from_ms(CONNECT_TIMEOUT_MS)).us)
    if (condition_wait(&world->tasks, &l->progressed,
                       time_add(attempt->sent_at, time_from_ms(CONNECT_TIMEOUT_MS))) ==
        WAKE_STOPPED)
      break;
  attempt->request_sent = l->sent;
  attempt->reused_connection = l->reused_connection;
  if (!l->sent) {
    attempt->outcome = 'u';
    goto out;
  }
  if (stream) {
    time_us s = time_add(world_now(world), time_from_ms(silence));
    if (s.us < quiet.us)
      quiet = s;
  }
  r = http_call_wait(l, quiet);
  if (r) {
    attempt->outcome = r == E_NO_RESPONSE ? 'l' : r == E_STOPPING ? 'o' : 'e';
    goto out;
  }
  attempt->status = l->status;
  string_view v;
  if (fields_get(l->response_fields, "Retry-After", &v))
    attempt->retry_s = g_ascii_strtod(v.data, NULL);
  if (fields_get(l->response_fields, client->dialect->header_names[DF_STAMP], &v))
    memcpy(attempt->run_id, v.data, MIN(v.length, sizeof attempt->run_id - 1));
  bool good = l->status >= 200 && l->status < 300;
  if (good && !attempt->run_id[0])
    set_fault(attempt, "stamp");
  if (fields_get(l->response_fields, client->dialect->header_names[DF_REQUEST_ID], &v) &&
      !string_view_equal(v, string_view_of(attempt->request_id)))
    set_fault(attempt, "other");
  unsigned total = (kind->tokens_out + MAX(1, kind->event_tokens) - 1) / MAX(1, kind->event_tokens);
  for (;;) {
    r = http_call_read(l, got, stream && good ? quiet : deadline);
    if (r)
      break;
    time_us now = world_now(world);
    if (!attempt->first_byte_at.us) {
      attempt->first_byte_at = now;
      if (!a->first_byte_at.us && good)
        a->first_byte_at = now;
    } else
      attempt->longest_gap_ms =
          MAX(attempt->longest_gap_ms, (now.us - attempt->last_byte_at.us) / 1000);
    attempt->last_byte_at = now;
    if (stream && good) {
      parse_events(attempt, got, total, &end);
      quiet = time_add(now, time_from_ms(silence));
      if (quiet.us > deadline.us)
        quiet = deadline;
    }
  }
  attempt->outcome = r == E_PEER_GONE     ? good ? 'd' : 's'
                     : r == E_NO_RESPONSE ? 'l'
                     : r == E_STOPPING    ? 'o'
                                          : 'e';
  if (attempt->outcome == 'd' && stream && ((!end && trip->resume < total) || got->len))
    set_fault(attempt, "end");
  if (attempt->outcome == 'd' && !stream) {
    GString *want = g_string_new(NULL);
    engine_response_body(want, attempt->request_id, kind->bytes);
    if (!g_string_equal(want, got))
      set_fault(attempt, "body");
    g_string_free(want, TRUE);
  }
out:
  remember_node(client, a, n, l, attempt->outcome == 'd' || attempt->outcome == 's');
  attempt->ended_at = world_now(world);
  http_call_close(l);
  g_string_free(got, TRUE);
  if (stream && kind->resumable && attempt->last_event > trip->resume)
    trip->resume = attempt->last_event;
}

/* waits before the next attempt; false when the client doesn't retry */
static bool wait_for_retry(request_task *trip, const client_sim_attempt *attempt,
                           time_us deadline) {
  const client_sim_kind *kind = trip->request->kind;
  bool repeats =
      kind->mode == CLIENT_SIM_SAFE || (kind->mode == CLIENT_SIM_STREAM && kind->resumable);
  int s = attempt->outcome == 's' ? attempt->status : 0;
  bool promise = s == 408 || s == 421 || s == 429 || s == 503;
  if (s == 400 || s == 401 || s == 404 || s == 413 || s == 431)
    return false;
  if (!repeats && !promise && attempt->outcome != 'u')
    return false;
  int64_t left = (deadline.us - world_now(trip->client->world).us) / 1000;
  if (left < 20)
    return false;
  if (promise && attempt->retry_s > 0) {
    double wait = MIN(attempt->retry_s * 1000, (double)left / 3);
    return world_sleep(trip->client->world, time_from_ms((int64_t)wait));
  }
  return world_sleep(trip->client->world,
                     time_from_ms(20 + (int64_t)world_random(trip->client->world, 60)));
}

static void request_task_run(void *p) {
  request_task *trip = p;
  client_sim *client = trip->client;
  client_sim_request *a = trip->request;
  const client_sim_kind *kind = a->kind;
  a->started_at = world_now(client->world);
  time_us deadline = time_add(a->started_at, time_from_ms(kind->deadline_ms));
  for (;;) {
    run_attempt(trip, a->attempt_count);
    a->attempt_count++;
    client_sim_attempt *attempt = client->attempts->pdata[client->attempts->len - 1];
    for (guint i = client->attempts->len; i-- > 0 && attempt->caller_request != a;)
      attempt = client->attempts->pdata[i];
    if (attempt->outcome == 'd') {
      a->served = true;
      break;
    }
    if (attempt->outcome == 'o' || a->attempt_count > kind->retries_max ||
        !wait_for_retry(trip, attempt, deadline))
      break;
  }
  a->ended_at = world_now(client->world);
  a->done = true;
  time_us judged = kind->mode == CLIENT_SIM_STREAM ? a->first_byte_at : a->ended_at;
  a->met_target = a->served && judged.us - a->started_at.us <= kind->target_ms * 1000;
  client->open_requests--;
  g_string_free(trip->body, TRUE);
  g_string_free(trip->prefix, TRUE);
  g_free(trip);
}

client_sim_request *client_sim_send(client_sim *client, const client_sim_kind *kind,
                                    const char *model) {
  client_sim_request *a = g_new0(client_sim_request, 1);
  request_task *t = g_new0(request_task, 1);
  g_ptr_array_add(client->requests, a);
  a->kind = kind;
  a->started_at = world_now(client->world);
  a->user = (unsigned)world_random(client->world, client->users);
  if (!model)
    model = draw_model(client, kind);
  if (model) {
    const char *slash = strchr(model, '/');
    a->model = id_of((string_view){ model, slash ? (size_t)(slash - model) : strlen(model) });
    if (slash)
      a->adapter = id_of_text(slash + 1);
  }
  t->client = client;
  t->request = a;
  t->body = g_string_new(NULL);
  json_appendf(t->body, "{\"bytes\":%u,\"user\":%u}", kind->bytes, a->user);
  t->prefix = g_string_new(NULL);
  if (model)
    g_string_printf(t->prefix, "%08x:%.0f,%08x:%.0f",
                    (unsigned)hash_two_names(kind->name, a->model.text), kind->tokens_shared,
                    a->user + 1, kind->tokens_in);
  client->open_requests++;
  task_start(&client->world->tasks, "trip", request_task_run, t);
  return a;
}

typedef struct kind_source {
  client_sim *client;
  const client_sim_kind *kind;
} kind_source;

static void source_run(void *p) {
  kind_source *s = p;
  client_sim *client = s->client;
  while (!client->stop) {
    double gap = -log(1 - random_fraction(client->world)) /
                 MAX(1e-6, s->kind->requests_per_s * client->rate_factor);
    if (!world_sleep(client->world, (time_us){ (int64_t)(MIN(gap, 3600) * 1e6) + 1 }) ||
        client->stop)
      break;
    client_sim_send(client, s->kind, NULL);
  }
  g_free(s);
}

void client_sim_start(client_sim *client) {
  client->stop = false;
  for (guint i = 0; i < client->kinds->len; i++) {
    kind_source *s = g_new0(kind_source, 1);
    *s = (kind_source){ client, client->kinds->pdata[i] };
    if (s->kind->requests_per_s > 0)
      task_start(&client->world->tasks, "source", source_run, s);
    else
      g_free(s);
  }
}
