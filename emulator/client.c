#include "client.h"
#include "instance.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum { UP_MS = 1000, READY_MS = 1000, OUT_AFTER = 2 };

/* the balancer */
typedef struct probe {
  em_balancer *balancer;
  em_node *node;
} probe;

static void probe_run(void *p) {
  probe *k = p;
  em_balancer *b = k->balancer;
  em_node *n = k->node;
  GString *got = g_string_new(NULL);
  while (!b->stop && !b->world->tasks.stopped) {
    time_us from = world_now(b->world);
    int st = http_call_fetch(b->world, n->ready, b->dialect->calls[DC_READY].method,
                             b->dialect->calls[DC_READY].path, NULL, string_view_of(""), got,
                             time_from_ms(READY_MS), NULL);
    g_string_truncate(got, 0);
    n->asked++;
    n->missed += st != 200;
    n->misses = st == 200 ? 0 : n->misses + 1;
    if (st == 200)
      n->in = true;
    else if (n->misses >= OUT_AFTER)
      n->in = false;
    time_us next = time_sub(time_add(from, time_from_ms(READY_MS)), world_now(b->world));
    if (!world_sleep(b->world, next.us > 1000 ? next : time_from_ms(1)))
      break;
  }
  g_string_free(got, TRUE);
  g_free(k);
}

em_balancer *em_balancer_new(world *world, const dialect *words) {
  em_balancer *b = g_new0(em_balancer, 1);
  b->world = world;
  b->dialect = words;
  b->nodes = g_ptr_array_new_with_free_func(g_free);
  return b;
}

void em_balancer_add(em_balancer *b, const char *front, const char *ready, id area) {
  em_node *n = g_new0(em_node, 1);
  g_strlcpy(n->front, front, sizeof n->front);
  g_strlcpy(n->ready, ready, sizeof n->ready);
  n->area = area;
  g_ptr_array_add(b->nodes, n);
  probe *k = g_new0(probe, 1);
  *k = (probe){ b, n };
  task_start(&b->world->tasks, "probe", probe_run, k);
}

void em_balancer_free(em_balancer *b) {
  g_ptr_array_free(b->nodes, TRUE);
  g_free(b);
}

const em_node *em_balancer_pick(const em_balancer *b, id area, unsigned user, unsigned turn) {
  unsigned all = 0, in = 0, any = 0;
  for (guint i = 0; i < b->nodes->len; i++) {
    em_node *n = b->nodes->pdata[i];
    bool here = id_equal(n->area, area);
    all += here;
    in += here && n->in;
    any += n->in;
  }
  /* under half of a zone's nodes in: all of them; none: those of other zones */
  bool every = in * 2 < all && in, others = !in && any;
  const em_node *fit[64];
  unsigned count = 0;
  for (guint i = 0; i < b->nodes->len && count < 64; i++) {
    em_node *n = b->nodes->pdata[i];
    bool here = id_equal(n->area, area);
    if (others ? n->in : here && (every || n->in || !in))
      fit[count++] = n;
  }
  char a[32];
  snprintf(a, sizeof a, "user-%u", user);
  return count ? fit[(hash_bytes(a, strlen(a), 3) + turn) % count] : NULL;
}

/* the client */
em_client *em_client_new(world *world, em_balancer *to, const dialect *words) {
  em_client *client = g_new0(em_client, 1);
  client->world = world;
  client->to = to;
  client->dialect = words;
  client->kinds = g_ptr_array_new_with_free_func(g_free);
  client->requests = g_ptr_array_new_with_free_func(g_free);
  client->tries = g_ptr_array_new_with_free_func(g_free);
  client->node_of = g_hash_table_new(g_direct_hash, g_direct_equal);
  client->users = 60;
  client->rate = 1;
  return client;
}

void em_client_free(em_client *client) {
  for (guint i = 0; i < client->kinds->len; i++) {
    em_kind *kind = client->kinds->pdata[i];
    if (kind->models)
      g_ptr_array_free(kind->models, TRUE);
  }
  g_ptr_array_free(client->kinds, TRUE);
  g_ptr_array_free(client->requests, TRUE);
  g_ptr_array_free(client->tries, TRUE);
  g_hash_table_destroy(client->node_of);
  g_free(client);
}

em_kind *em_client_kind(em_client *client, em_kind k) {
  em_kind *p = g_memdup2(&k, sizeof k);
  g_ptr_array_add(client->kinds, p);
  return p;
}

static double unit(world *world) {
  return (double)(world->random(world) >> 11) / (double)(1ull << 53);
}

static const char *model_drawn(em_client *client, const em_kind *kind) {
  if (!kind->models || !kind->models->len)
    return NULL;
  double all = 0, at;
  for (guint i = 0; i < kind->models->len; i++)
    all += 1 / pow(i + 1, kind->zipf);
  at = unit(client->world) * all;
  for (guint i = 0; i < kind->models->len; i++)
    if ((at -= 1 / pow(i + 1, kind->zipf)) <= 0)
      return kind->models->pdata[i];
  return kind->models->pdata[kind->models->len - 1];
}

typedef struct trip {
  em_client *client;
  em_request *request;
  GString *body, *prefix;
  uint64_t resume;
  char *tag;
} trip;

static void faulty(em_attempt *attempt, const char *what) {
  if (!attempt->fault[0])
    g_strlcpy(attempt->fault, what, sizeof attempt->fault);
}

/* takes whole events, each held against the one before it and, where none may be resumed, against
 * its run */
static void events_take(em_attempt *attempt, GString *got, unsigned total, bool *end) {
  const em_kind *kind = attempt->caller_request->kind;
  char *cut;
  while ((cut = strstr(got->str, "\n\n"))) {
    *cut = 0;
    uint64_t n = 0, m = 0;
    char run[80] = "", last[8] = "";
    int got_n = sscanf(got->str, "id: %" SCNu64 "\ndata: %79s %" SCNu64 " %7s", &n, run, &m, last);
    if (got_n < 3 || n != m)
      faulty(attempt, "body");
    else if (*end || n != attempt->last_id + 1)
      faulty(attempt, "order");
    else if (!kind->resumable && strcmp(run, attempt->stamp))
      faulty(attempt, "order");
    if (got_n >= 3)
      attempt->last_id = n;
    if (got_n == 4) {
      *end = true;
      if (n != total)
        faulty(attempt, "end");
    }
    g_string_erase(got, 0, cut - got->str + 2);
  }
}

/* An open connection stays on its node, also when the balancer sends no new ones there. */
static const em_node *node_for(em_client *client, const em_request *request, unsigned turn) {
  gpointer user = GUINT_TO_POINTER(request->user);
  const em_node *kept = g_hash_table_lookup(client->node_of, user);
  if (kept && !turn && !request->kind->fresh && client->connected &&
      client->connected(client->world, kept->front))
    return kept;
  id area = client->areas[request->user % MAX(client->area_count, 1)];
  return em_balancer_pick(client->to, area, request->user, turn);
}

static void note_node(em_client *client, const em_request *request, const em_node *node,
                      const http_call *call, bool whole) {
  gpointer user = GUINT_TO_POINTER(request->user);
  if (whole && !call->closes_connection)
    g_hash_table_insert(client->node_of, user, (gpointer)node);
  else
    g_hash_table_remove(client->node_of, user);
}

static void one_try(trip *trip, unsigned turn) {
  em_client *client = trip->client;
  em_request *a = trip->request;
  const em_kind *kind = a->kind;
  world *world = client->world;
  em_attempt *attempt = g_new0(em_attempt, 1);
  g_ptr_array_add(client->tries, attempt);
  attempt->caller_request = a;
  attempt->how = 'o';
  client->count++;
  snprintf(attempt->request, sizeof attempt->request, "%016" PRIx64,
           hash_bytes(&client->count, sizeof client->count, 11));
  snprintf(attempt->target, sizeof attempt->target, "%s%x", kind->path, a->user & 0xff);
  const em_node *n = node_for(client, a, turn);
  attempt->sent = world_now(world);
  time_us due = time_add(a->from, time_from_ms(kind->deadline_ms));
  attempt->left_ms = (due.us - attempt->sent.us) / 1000;
  attempt->from_id = attempt->last_id = trip->resume;
  attempt->sum = em_sum("POST", attempt->target, string_view_of_gstring(trip->body));
  if (!n) {
    attempt->how = 'u';
    attempt->to = attempt->sent;
    return;
  }
  g_strlcpy(attempt->node, n->front, sizeof attempt->node);
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(kind->host));
  fields_add(fields, "Content-Type", string_view_of("application/json"));
  fields_add(fields, client->dialect->header_names[DF_REQUEST_ID],
             string_view_of(attempt->request));
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
  http_call *l = http_call_open_fields(world, n->front, "POST", attempt->target, fields,
                                       string_view_of_gstring(trip->body), kind->fresh || turn > 0,
                                       time_never());
  g_string_free(fields, TRUE);
  GString *got = g_string_new(NULL);
  time_us quiet = due;
  int64_t silence = MAX(2000, MAX(4 * kind->target_ms, 8 * kind->gap_ms));
  bool stream = kind->mode == EM_STREAM, end = false;
  int r;
  /* a connection that does not come up within a second is left */
  while (!l->sent && !l->broken &&
         world_now(world).us < time_add(attempt->sent, time_from_ms(UP_MS)).us)
    if (condition_wait(&world->tasks, &l->progressed,
                       time_add(attempt->sent, time_from_ms(UP_MS))) == WAKE_STOPPED)
      break;
  attempt->read = l->sent;
  attempt->reused = l->reused_connection;
  if (!l->sent) {
    attempt->how = 'u';
    goto out;
  }
  if (stream) {
    time_us s = time_add(world_now(world), time_from_ms(silence));
    if (s.us < quiet.us)
      quiet = s;
  }
  r = http_call_wait(l, quiet);
  if (r) {
    attempt->how = r == E_NO_RESPONSE ? 'l' : r == E_STOPPING ? 'o' : 'e';
    goto out;
  }
  attempt->status = l->status;
  string_view v;
  if (fields_get(l->response_fields, "Retry-After", &v))
    attempt->retry_s = g_ascii_strtod(v.data, NULL);
  if (fields_get(l->response_fields, client->dialect->header_names[DF_STAMP], &v))
    memcpy(attempt->stamp, v.data, MIN(v.length, sizeof attempt->stamp - 1));
  bool good = l->status >= 200 && l->status < 300;
  if (good && !attempt->stamp[0])
    faulty(attempt, "stamp");
  if (fields_get(l->response_fields, client->dialect->header_names[DF_REQUEST_ID], &v) &&
      !string_view_equal(v, string_view_of(attempt->request)))
    faulty(attempt, "other");
  unsigned total = (kind->tokens_out + MAX(1, kind->event_tokens) - 1) / MAX(1, kind->event_tokens);
  for (;;) {
    r = http_call_read(l, got, stream && good ? quiet : due);
    if (r)
      break;
    time_us now = world_now(world);
    if (!attempt->first.us) {
      attempt->first = now;
      if (!a->first.us && good)
        a->first = now;
    } else
      attempt->longest_gap_ms = MAX(attempt->longest_gap_ms, (now.us - attempt->last.us) / 1000);
    attempt->last = now;
    if (stream && good) {
      events_take(attempt, got, total, &end);
      quiet = time_add(now, time_from_ms(silence));
      if (quiet.us > due.us)
        quiet = due;
    }
  }
  attempt->how = r == E_PEER_GONE     ? good ? 'd' : 's'
                 : r == E_NO_RESPONSE ? 'l'
                 : r == E_STOPPING    ? 'o'
                                      : 'e';
  if (attempt->how == 'd' && stream && ((!end && trip->resume < total) || got->len))
    faulty(attempt, "end");
  if (attempt->how == 'd' && !stream) {
    GString *want = g_string_new(NULL);
    em_bytes(want, attempt->request, kind->bytes);
    if (!g_string_equal(want, got))
      faulty(attempt, "body");
    g_string_free(want, TRUE);
  }
out:
  note_node(client, a, n, l, attempt->how == 'd' || attempt->how == 's');
  attempt->to = world_now(world);
  http_call_close(l);
  g_string_free(got, TRUE);
  if (stream && kind->resumable && attempt->last_id > trip->resume)
    trip->resume = attempt->last_id;
}

/* what a client does after a try: false when it tries no more */
static bool again(trip *trip, const em_attempt *attempt, time_us due) {
  const em_kind *kind = trip->request->kind;
  bool repeats = kind->mode == EM_SAFE || (kind->mode == EM_STREAM && kind->resumable);
  int s = attempt->how == 's' ? attempt->status : 0;
  bool promise = s == 408 || s == 421 || s == 429 || s == 503;
  if (s == 400 || s == 401 || s == 404 || s == 413 || s == 431)
    return false;
  if (!repeats && !promise && attempt->how != 'u')
    return false;
  int64_t left = (due.us - world_now(trip->client->world).us) / 1000;
  if (left < 20)
    return false;
  if (promise && attempt->retry_s > 0) {
    double wait = MIN(attempt->retry_s * 1000, (double)left / 3);
    return world_sleep(trip->client->world, time_from_ms((int64_t)wait));
  }
  return world_sleep(trip->client->world,
                     time_from_ms(20 + (int64_t)world_random(trip->client->world, 60)));
}

static void trip_run(void *p) {
  trip *trip = p;
  em_client *client = trip->client;
  em_request *a = trip->request;
  const em_kind *kind = a->kind;
  a->from = world_now(client->world);
  time_us due = time_add(a->from, time_from_ms(kind->deadline_ms));
  for (;;) {
    one_try(trip, a->tries);
    a->tries++;
    em_attempt *attempt = client->tries->pdata[client->tries->len - 1];
    for (guint i = client->tries->len; i-- > 0 && attempt->caller_request != a;)
      attempt = client->tries->pdata[i];
    if (attempt->how == 'd') {
      a->served = true;
      break;
    }
    if (attempt->how == 'o' || a->tries > kind->more_tries || !again(trip, attempt, due))
      break;
  }
  a->to = world_now(client->world);
  a->done = true;
  time_us judged = kind->mode == EM_STREAM ? a->first : a->to;
  a->in_time = a->served && judged.us - a->from.us <= kind->target_ms * 1000;
  client->open--;
  g_string_free(trip->body, TRUE);
  g_string_free(trip->prefix, TRUE);
  g_free(trip);
}

em_request *em_client_send(em_client *client, const em_kind *kind, const char *model) {
  em_request *a = g_new0(em_request, 1);
  trip *t = g_new0(trip, 1);
  g_ptr_array_add(client->requests, a);
  a->kind = kind;
  a->from = world_now(client->world);
  a->user = (unsigned)world_random(client->world, client->users);
  if (!model)
    model = model_drawn(client, kind);
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
  client->open++;
  task_start(&client->world->tasks, "trip", trip_run, t);
  return a;
}

typedef struct source {
  em_client *client;
  const em_kind *kind;
} source;

static void source_run(void *p) {
  source *s = p;
  em_client *client = s->client;
  while (!client->stop) {
    double gap = -log(1 - unit(client->world)) / MAX(1e-6, s->kind->per_s * client->rate);
    if (!world_sleep(client->world, (time_us){ (int64_t)(MIN(gap, 3600) * 1e6) + 1 }) ||
        client->stop)
      break;
    em_client_send(client, s->kind, NULL);
  }
  g_free(s);
}

void em_client_start(em_client *client) {
  client->stop = false;
  for (guint i = 0; i < client->kinds->len; i++) {
    source *s = g_new0(source, 1);
    *s = (source){ client, client->kinds->pdata[i] };
    if (s->kind->per_s > 0)
      task_start(&client->world->tasks, "source", source_run, s);
    else
      g_free(s);
  }
}
