#include "client_sim.h"
#include "registering_engine_sim.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum { CONNECT_TIMEOUT_MS = 1000, HEALTH_CHECK_MS = 1000, FAILURES_TO_EJECT = 2 };

/* the balancer */
typedef struct balancer_health_check {
  balancer_sim *balancer;
  balancer_sim_gateway *gateway;
} balancer_health_check;

static void health_check_run(void *context) {
  balancer_health_check *check = context;
  balancer_sim *balancer = check->balancer;
  balancer_sim_gateway *gateway = check->gateway;
  GString *response = g_string_new(NULL);
  while (!balancer->stop && !balancer->world->tasks.stopped) {
    time_us started_at = world_now(balancer->world);
    int status = http_call_fetch(balancer->world, gateway->ready_address,
                                 balancer->dialect->calls[DC_READY].method,
                                 balancer->dialect->calls[DC_READY].path, NULL, string_view_of(""),
                                 response, time_from_ms(HEALTH_CHECK_MS), NULL);
    g_string_truncate(response, 0);
    gateway->checks++;
    gateway->checks_failed += status != 200;
    gateway->failures_in_row = status == 200 ? 0 : gateway->failures_in_row + 1;
    if (status == 200)
      gateway->in_rotation = true;
    else if (gateway->failures_in_row >= FAILURES_TO_EJECT)
      gateway->in_rotation = false;
    time_us next =
        time_sub(time_add(started_at, time_from_ms(HEALTH_CHECK_MS)), world_now(balancer->world));
    if (!world_sleep(balancer->world, next.us > 1000 ? next : time_from_ms(1)))
      break;
  }
  g_string_free(response, TRUE);
  g_free(check);
}

balancer_sim *balancer_sim_new(world *world, const dialect *dialect) {
  balancer_sim *balancer = g_new0(balancer_sim, 1);
  balancer->world = world;
  balancer->dialect = dialect;
  balancer->gateways = g_ptr_array_new_with_free_func(g_free);
  return balancer;
}

void balancer_sim_add_gateway(balancer_sim *balancer, const char *front_address,
                              const char *ready_address, id area) {
  balancer_sim_gateway *gateway = g_new0(balancer_sim_gateway, 1);
  g_strlcpy(gateway->front_address, front_address, sizeof gateway->front_address);
  g_strlcpy(gateway->ready_address, ready_address, sizeof gateway->ready_address);
  gateway->area = area;
  g_ptr_array_add(balancer->gateways, gateway);
  balancer_health_check *check = g_new0(balancer_health_check, 1);
  *check = (balancer_health_check){ balancer, gateway };
  task_start(&balancer->world->tasks, "probe", health_check_run, check);
}

void balancer_sim_free(balancer_sim *balancer) {
  g_ptr_array_free(balancer->gateways, TRUE);
  g_free(balancer);
}

const balancer_sim_gateway *balancer_sim_pick(const balancer_sim *balancer, id area, unsigned user,
                                              unsigned earlier_attempts) {
  unsigned zone_gateways = 0, zone_in_rotation = 0, in_rotation_anywhere = 0;
  for (guint i = 0; i < balancer->gateways->len; i++) {
    balancer_sim_gateway *gateway = balancer->gateways->pdata[i];
    bool in_zone = id_equal(gateway->area, area);
    zone_gateways += in_zone;
    zone_in_rotation += in_zone && gateway->in_rotation;
    in_rotation_anywhere += gateway->in_rotation;
  }
  /* With fewer than half of the zone's gateways in rotation, all of its gateways are used. With
   * none, the gateways in rotation of other zones are used. */
  bool use_whole_zone = zone_in_rotation * 2 < zone_gateways && zone_in_rotation,
       use_other_zones = !zone_in_rotation && in_rotation_anywhere;
  const balancer_sim_gateway *candidates[64];
  unsigned count = 0;
  for (guint i = 0; i < balancer->gateways->len && count < 64; i++) {
    balancer_sim_gateway *gateway = balancer->gateways->pdata[i];
    bool in_zone = id_equal(gateway->area, area);
    if (use_other_zones ? gateway->in_rotation
                        : in_zone && (use_whole_zone || gateway->in_rotation || !zone_in_rotation))
      candidates[count++] = gateway;
  }
  char name[32];
  snprintf(name, sizeof name, "user-%u", user);
  return count ? candidates[(hash_bytes(name, strlen(name), 3) + earlier_attempts) % count] : NULL;
}

/* the client */
client_sim *client_sim_new(world *world, balancer_sim *balancer, const dialect *dialect) {
  client_sim *client = g_new0(client_sim, 1);
  client->world = world;
  client->balancer = balancer;
  client->dialect = dialect;
  client->kinds = g_ptr_array_new_with_free_func(g_free);
  client->requests = g_ptr_array_new_with_free_func(g_free);
  client->attempts = g_ptr_array_new_with_free_func(g_free);
  client->gateway_of_user = g_hash_table_new(g_direct_hash, g_direct_equal);
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
  g_hash_table_destroy(client->gateway_of_user);
  g_free(client);
}

client_sim_kind *client_sim_add_kind(client_sim *client, client_sim_kind kind) {
  client_sim_kind *added = g_memdup2(&kind, sizeof kind);
  g_ptr_array_add(client->kinds, added);
  return added;
}

static double random_fraction(world *world) {
  return (double)(world->random(world) >> 11) / (double)(1ull << 53);
}

static const char *draw_model(client_sim *client, const client_sim_kind *kind) {
  if (!kind->models || !kind->models->len)
    return NULL;
  double total = 0, remaining;
  for (guint i = 0; i < kind->models->len; i++)
    total += 1 / pow(i + 1, kind->zipf_exponent);
  remaining = random_fraction(client->world) * total;
  for (guint i = 0; i < kind->models->len; i++)
    if ((remaining -= 1 / pow(i + 1, kind->zipf_exponent)) <= 0)
      return kind->models->pdata[i];
  return kind->models->pdata[kind->models->len - 1];
}

typedef struct request_task {
  client_sim *client;
  client_sim_request *request;
  GString *body, *prefix;
  uint64_t resume_after;
  char *tag;
} request_task;

static void set_response_error(client_sim_attempt *attempt, const char *what) {
  if (!attempt->fault[0])
    g_strlcpy(attempt->fault, what, sizeof attempt->fault);
}

/* Removes and checks the complete events. Each must follow the previous one and, unless the kind is
 * resumable, belong to the run that the response names. */
static void parse_events(client_sim_attempt *attempt, GString *received, unsigned total_events,
                         bool *ended) {
  const client_sim_kind *kind = attempt->request->kind;
  char *event_end;
  while ((event_end = strstr(received->str, "\n\n"))) {
    *event_end = 0;
    uint64_t event_id = 0, repeated_id = 0;
    char run_id[80] = "", last_word[8] = "";
    int field_count = sscanf(received->str, "id: %" SCNu64 "\ndata: %79s %" SCNu64 " %7s",
                             &event_id, run_id, &repeated_id, last_word);
    if (field_count < 3 || event_id != repeated_id)
      set_response_error(attempt, "body");
    else if (*ended || event_id != attempt->last_event + 1)
      set_response_error(attempt, "order");
    else if (!kind->resumable && strcmp(run_id, attempt->run_id))
      set_response_error(attempt, "order");
    if (field_count >= 3)
      attempt->last_event = event_id;
    if (field_count == 4) {
      *ended = true;
      if (event_id != total_events)
        set_response_error(attempt, "end");
    }
    g_string_erase(received, 0, event_end - received->str + 2);
  }
}

/* A user's open connection stays with its gateway, even if the balancer sends no new ones there. */
static const balancer_sim_gateway *
pick_gateway(client_sim *client, const client_sim_request *request, unsigned earlier_attempts) {
  gpointer user = GUINT_TO_POINTER(request->user);
  const balancer_sim_gateway *kept = g_hash_table_lookup(client->gateway_of_user, user);
  if (kept && !earlier_attempts && !request->kind->new_connection && client->connected &&
      client->connected(client->world, kept->front_address))
    return kept;
  id area = client->areas[request->user % MAX(client->area_count, 1)];
  return balancer_sim_pick(client->balancer, area, request->user, earlier_attempts);
}

static void remember_gateway(client_sim *client, const client_sim_request *request,
                             const balancer_sim_gateway *gateway, const http_call *call,
                             bool is_complete) {
  gpointer user = GUINT_TO_POINTER(request->user);
  if (is_complete && !call->closes_connection)
    g_hash_table_insert(client->gateway_of_user, user, (gpointer)gateway);
  else
    g_hash_table_remove(client->gateway_of_user, user);
}

static void run_attempt(request_task *task, unsigned earlier_attempts) {
  client_sim *client = task->client;
  client_sim_request *request = task->request;
  const client_sim_kind *kind = request->kind;
  world *world = client->world;
  client_sim_attempt *attempt = g_new0(client_sim_attempt, 1);
  g_ptr_array_add(client->attempts, attempt);
  attempt->request = request;
  attempt->outcome = 'o';
  client->attempt_count++;
  snprintf(attempt->request_id, sizeof attempt->request_id, "%016" PRIx64,
           hash_bytes(&client->attempt_count, sizeof client->attempt_count, 11));
  snprintf(attempt->target, sizeof attempt->target, "%s%x", kind->path, request->user & 0xff);
  const balancer_sim_gateway *gateway = pick_gateway(client, request, earlier_attempts);
  attempt->sent_at = world_now(world);
  time_us deadline = time_add(request->started_at, time_from_ms(kind->deadline_ms));
  attempt->time_left_ms = (deadline.us - attempt->sent_at.us) / 1000;
  attempt->resumed_after_event = attempt->last_event = task->resume_after;
  attempt->request_checksum =
      engine_request_checksum("POST", attempt->target, string_view_of_gstring(task->body));
  if (!gateway) {
    attempt->outcome = 'u';
    attempt->ended_at = attempt->sent_at;
    return;
  }
  g_strlcpy(attempt->node, gateway->front_address, sizeof attempt->node);
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(kind->host));
  fields_add(fields, "Content-Type", string_view_of("application/json"));
  fields_add(fields, client->dialect->header_names[DF_REQUEST_ID],
             string_view_of(attempt->request_id));
  fields_add_format(fields, client->dialect->header_names[DF_TIME_LEFT_MS], "%" PRId64,
                    attempt->time_left_ms);
  if (!id_is_empty(request->model)) {
    fields_add_format(fields, client->dialect->header_names[DF_MODEL], "%s%s%s",
                      request->model.text, id_is_empty(request->adapter) ? "" : "/",
                      request->adapter.text);
    fields_add_format(fields, client->dialect->header_names[DF_TOKENS], "%.0f,%u",
                      kind->tokens_in + kind->tokens_shared, kind->tokens_out);
    fields_add(fields, client->dialect->header_names[DF_PREFIX],
               string_view_of_gstring(task->prefix));
  }
  if (client->dialect->header_names[DF_SESSION])
    fields_add_format(fields, client->dialect->header_names[DF_SESSION], "%s-%u", kind->name,
                      request->user);
  if (task->resume_after)
    fields_add_format(fields, client->dialect->header_names[DF_LAST_EVENT_ID], "%" PRIu64,
                      task->resume_after);
  http_call *call =
      http_call_open_pooled(world, gateway->front_address, "POST", attempt->target, fields,
                            string_view_of_gstring(task->body),
                            kind->new_connection || earlier_attempts > 0, time_never());
  g_string_free(fields, TRUE);
  GString *received = g_string_new(NULL);
  time_us read_deadline = deadline;
  int64_t silence_ms = MAX(2000, MAX(4 * kind->target_ms, 8 * kind->gap_target_ms));
  bool is_stream = kind->mode == CLIENT_SIM_STREAM, ended = false;
  int code;
  /* gives up if the connection isn't established within CONNECT_TIMEOUT_MS */
  while (!call->sent && !call->broken &&
         world_now(world).us < time_add(attempt->sent_at, time_from_ms(CONNECT_TIMEOUT_MS)).us)
    if (condition_wait(&world->tasks, &call->progressed,
                       time_add(attempt->sent_at, time_from_ms(CONNECT_TIMEOUT_MS))) ==
        WAKE_STOPPED)
      break;
  attempt->request_sent = call->sent;
  attempt->reused_connection = call->reused_connection;
  if (!call->sent) {
    attempt->outcome = 'u';
    goto out;
  }
  if (is_stream) {
    time_us silence_until = time_add(world_now(world), time_from_ms(silence_ms));
    if (silence_until.us < read_deadline.us)
      read_deadline = silence_until;
  }
  code = http_call_wait(call, read_deadline);
  if (code) {
    attempt->outcome = code == E_NO_RESPONSE ? 'l' : code == E_STOPPING ? 'o' : 'e';
    goto out;
  }
  attempt->status = call->status;
  string_view value;
  if (fields_get(call->response_fields, "Retry-After", &value))
    attempt->retry_s = g_ascii_strtod(value.data, NULL);
  if (fields_get(call->response_fields, client->dialect->header_names[DF_STAMP], &value))
    memcpy(attempt->run_id, value.data, MIN(value.length, sizeof attempt->run_id - 1));
  bool is_success = call->status >= 200 && call->status < 300;
  if (is_success && !attempt->run_id[0])
    set_response_error(attempt, "stamp");
  if (fields_get(call->response_fields, client->dialect->header_names[DF_REQUEST_ID], &value) &&
      !string_view_equal(value, string_view_of(attempt->request_id)))
    set_response_error(attempt, "other");
  unsigned total_events =
      (kind->tokens_out + MAX(1, kind->event_tokens) - 1) / MAX(1, kind->event_tokens);
  for (;;) {
    code = http_call_read(call, received, is_stream && is_success ? read_deadline : deadline);
    if (code)
      break;
    time_us now = world_now(world);
    if (!attempt->first_byte_at.us) {
      attempt->first_byte_at = now;
      if (!request->first_byte_at.us && is_success)
        request->first_byte_at = now;
    } else
      attempt->longest_gap_ms =
          MAX(attempt->longest_gap_ms, (now.us - attempt->last_byte_at.us) / 1000);
    attempt->last_byte_at = now;
    if (is_stream && is_success) {
      parse_events(attempt, received, total_events, &ended);
      read_deadline = time_add(now, time_from_ms(silence_ms));
      if (read_deadline.us > deadline.us)
        read_deadline = deadline;
    }
  }
  attempt->outcome = code == E_PEER_GONE     ? is_success ? 'd' : 's'
                     : code == E_NO_RESPONSE ? 'l'
                     : code == E_STOPPING    ? 'o'
                                             : 'e';
  if (attempt->outcome == 'd' && is_stream &&
      ((!ended && task->resume_after < total_events) || received->len))
    set_response_error(attempt, "end");
  if (attempt->outcome == 'd' && !is_stream) {
    GString *expected = g_string_new(NULL);
    engine_response_body(expected, attempt->request_id, kind->bytes);
    if (!g_string_equal(expected, received))
      set_response_error(attempt, "body");
    g_string_free(expected, TRUE);
  }
out:
  remember_gateway(client, request, gateway, call,
                   attempt->outcome == 'd' || attempt->outcome == 's');
  attempt->ended_at = world_now(world);
  http_call_close(call);
  g_string_free(received, TRUE);
  if (is_stream && kind->resumable && attempt->last_event > task->resume_after)
    task->resume_after = attempt->last_event;
}

/* waits before the next attempt; false when the client doesn't retry */
static bool wait_for_retry(request_task *task, const client_sim_attempt *attempt,
                           time_us deadline) {
  const client_sim_kind *kind = task->request->kind;
  bool is_retryable =
      kind->mode == CLIENT_SIM_SAFE || (kind->mode == CLIENT_SIM_STREAM && kind->resumable);
  int status = attempt->outcome == 's' ? attempt->status : 0;
  bool promises_not_run = status == 408 || status == 421 || status == 429 || status == 503;
  if (status == 400 || status == 401 || status == 404 || status == 413 || status == 431)
    return false;
  if (!is_retryable && !promises_not_run && attempt->outcome != 'u')
    return false;
  int64_t left_ms = (deadline.us - world_now(task->client->world).us) / 1000;
  if (left_ms < 20)
    return false;
  if (promises_not_run && attempt->retry_s > 0) {
    double wait = MIN(attempt->retry_s * 1000, (double)left_ms / 3);
    return world_sleep(task->client->world, time_from_ms((int64_t)wait));
  }
  return world_sleep(task->client->world,
                     time_from_ms(20 + (int64_t)world_random(task->client->world, 60)));
}

static void request_task_run(void *context) {
  request_task *task = context;
  client_sim *client = task->client;
  client_sim_request *request = task->request;
  const client_sim_kind *kind = request->kind;
  request->started_at = world_now(client->world);
  time_us deadline = time_add(request->started_at, time_from_ms(kind->deadline_ms));
  for (;;) {
    run_attempt(task, request->attempt_count);
    request->attempt_count++;
    client_sim_attempt *attempt = client->attempts->pdata[client->attempts->len - 1];
    for (guint i = client->attempts->len; i-- > 0 && attempt->request != request;)
      attempt = client->attempts->pdata[i];
    if (attempt->outcome == 'd') {
      request->served = true;
      break;
    }
    if (attempt->outcome == 'o' || request->attempt_count > kind->retries_max ||
        !wait_for_retry(task, attempt, deadline))
      break;
  }
  request->ended_at = world_now(client->world);
  request->done = true;
  time_us responded_at =
      kind->mode == CLIENT_SIM_STREAM ? request->first_byte_at : request->ended_at;
  request->met_target =
      request->served && responded_at.us - request->started_at.us <= kind->target_ms * 1000;
  client->open_requests--;
  g_string_free(task->body, TRUE);
  g_string_free(task->prefix, TRUE);
  g_free(task);
}

client_sim_request *client_sim_send(client_sim *client, const client_sim_kind *kind,
                                    const char *model) {
  client_sim_request *request = g_new0(client_sim_request, 1);
  request_task *task = g_new0(request_task, 1);
  g_ptr_array_add(client->requests, request);
  request->kind = kind;
  request->started_at = world_now(client->world);
  request->user = (unsigned)world_random(client->world, client->users);
  if (!model)
    model = draw_model(client, kind);
  if (model) {
    const char *slash = strchr(model, '/');
    request->model = id_of((string_view){ model, slash ? (size_t)(slash - model) : strlen(model) });
    if (slash)
      request->adapter = id_of_text(slash + 1);
  }
  task->client = client;
  task->request = request;
  task->body = g_string_new(NULL);
  json_appendf(task->body, "{\"bytes\":%u,\"user\":%u}", kind->bytes, request->user);
  task->prefix = g_string_new(NULL);
  if (model)
    g_string_printf(task->prefix, "%08x:%.0f,%08x:%.0f",
                    (unsigned)hash_two_names(kind->name, request->model.text), kind->tokens_shared,
                    request->user + 1, kind->tokens_in);
  client->open_requests++;
  task_start(&client->world->tasks, "trip", request_task_run, task);
  return request;
}

typedef struct kind_source {
  client_sim *client;
  const client_sim_kind *kind;
} kind_source;

static void source_run(void *context) {
  kind_source *source = context;
  client_sim *client = source->client;
  while (!client->stop) {
    double gap_s = -log(1 - random_fraction(client->world)) /
                   MAX(1e-6, source->kind->requests_per_s * client->rate_factor);
    if (!world_sleep(client->world, (time_us){ (int64_t)(MIN(gap_s, 3600) * 1e6) + 1 }) ||
        client->stop)
      break;
    client_sim_send(client, source->kind, NULL);
  }
  g_free(source);
}

void client_sim_start(client_sim *client) {
  client->stop = false;
  for (guint i = 0; i < client->kinds->len; i++) {
    kind_source *source = g_new0(kind_source, 1);
    *source = (kind_source){ client, client->kinds->pdata[i] };
    if (source->kind->requests_per_s > 0)
      task_start(&client->world->tasks, "source", source_run, source);
    else
      g_free(source);
  }
}
