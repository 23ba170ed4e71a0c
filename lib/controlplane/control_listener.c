#include "controller.h"
#include <stdio.h>

enum {
  ANSWER_MS = 850,
  HEAD_MS = 600,
  WRITE_MS = 5000,
  BODY_MOST = RESOURCE_BYTES_MAX,
  HEADER_MOST = 16384,
  HEADER_MS = 3000,
  IDLE_MS = 15000
};
/* whole numbers up to this one, 2^53, are exact in JSON */
static const double whole_number_most = 9007199254740992.0;

/* configuration */
uint64_t config_change_version(string_view text) {
  json *json = json_parse(text, NULL);
  uint64_t n = (uint64_t)MAX(0, json_number(json, "version", 0));
  json_free(json);
  return n;
}

int config_change_apply(string_view text, uint64_t current, bool whole, uint64_t base,
                        const json *body, GString *to, error *err) {
  if (base != current)
    return error_set(err, E_VERSION_CONFLICT, "the version is %" PRIu64 ", not %" PRIu64, current,
                     base);
  json *next = NULL;
  if (!whole) {
    json *was = json_parse(text, err);
    if (!was)
      return err->code;
    next = routing_patch(was, body, err);
    json_free(was);
    if (!next)
      return err->code;
  }
  const json *new = whole ? body : next;
  routing *made = NULL;
  int r = routing_check_successor(new, current, err);
  if (!r && !(made = routing_compile(new, err)))
    r = err->code;
  routing_unref(made);
  if (!r)
    json_write(new, to);
  if (!r && to->len > RESOURCE_BYTES_MAX)
    r = error_set(err, E_TOO_LARGE, "%zu bytes; a configuration may hold %d", to->len,
                  RESOURCE_BYTES_MAX);
  json_free(next);
  return r;
}

/* the version in a text is looked up often, and the text may be long */
static uint64_t revision(controller *controller, string_view text) {
  uint64_t h = hash_bytes(text.data, text.length, text.length);
  if (h != controller->revision_text_hash) {
    controller->revision = config_change_version(text);
    controller->revision_text_hash = h;
  }
  return controller->revision;
}

/* what is ordered next is known without reading it again */
static void revision_note(controller *controller, string_view text, uint64_t version) {
  controller->revision_text_hash = hash_bytes(text.data, text.length, text.length);
  controller->revision = version;
}

/* answers */
static void send_json(controller *controller, http_request *request, int status, json *json) {
  GString *b = g_string_new(NULL);
  dialect_translate_out(controller->dialect, json);
  json_write(json, b);
  json_free(json);
  http_request_respond(request, status, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

static void send_text(controller *controller, http_request *request, int status, string_view own) {
  json *json = json_parse(own, NULL);
  if (json)
    send_json(controller, request, status, json);
  else
    http_request_respond(request, status, NULL, string_view_of(""));
}

static fields *reply_of(http_request *request) {
  if (!request->response_fields)
    request->response_fields = g_string_new(NULL);
  return request->response_fields;
}

static int status_of(int code) {
  switch (code) {
  case E_VERSION_CONFLICT:
    return 412;
  case E_TOO_LARGE:
    return 413;
  case E_NOT_FOUND:
    return 404;
  case E_OUTCOME_UNKNOWN:
  case E_NO_RESPONSE:
  case E_TOO_FEW_ROUTERS:
  case E_IN_PROGRESS:
    return 504;
  default:
    return code >= E_JSON && code < E_WIRE_MESSAGE ? 400 : 503;
  }
}

static void refuse(controller *controller, http_request *request, int code, const char *text) {
  int st = status_of(code);
  if (st == 503)
    fields_add(reply_of(request), "Retry-After", string_view_of("0.3"));
  GString *b = g_string_new(NULL);
  json_appendf(b, "{\"code\":%d,\"error\":", code);
  json_append_quoted(b, string_view_of(text));
  g_string_append_c(b, '}');
  send_text(controller, request, st, string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

/* sends a caller on to another core machine, which serves at the same port of its own address */
static void lead(controller *controller, http_request *request, const member *to) {
  char ip[48];
  const char *colon = strrchr(to->address, ':');
  g_strlcpy(ip, to->address, MIN(sizeof ip, (size_t)(colon - to->address) + 1));
  fields_add_format(reply_of(request), "Location", "http://%s:%d%s", ip,
                    controller->control_listener.port,
                    request->target ? request->target : request->path);
  http_request_respond(request, 307, NULL, string_view_of(""));
}

/* true when this machine itself may answer as head or tail; a caller that can't be served here is
 * answered */
static bool answered_here(controller *controller, http_request *request, time_us came,
                          bool (*acts)(replica *c), const member *(*who)(const replica *c)) {
  replica *c = &controller->replica;
  time_us till = time_add(came, time_from_ms(HEAD_MS));
  for (;;) {
    if (c->running && acts(c))
      return true;
    const member *h = c->running ? who(c) : NULL;
    bool self = h && id_equal(h->self, controller->node.settings.self);
    peer_node *peer = h && !self ? node_find_peer(&controller->node, h->self) : NULL;
    if (h && !self && !(peer && (peer->gone || peer->draining))) {
      lead(controller, request, h);
      return false;
    }
    /* it may act, or be replaced, in a moment */
    time_us step = time_add(world_now(controller->node.world), time_from_ms(50));
    if (time_reached(world_now(controller->node.world), till) || request->client_gone ||
        condition_wait(&controller->node.world->tasks, &c->state_changed,
                       step.us < till.us ? step : till) == WAKE_STOPPED)
      break;
  }
  refuse(controller, request, E_NO_CONTROLLER, "no acting core is known here; nothing was written");
  return false;
}

/** One configuration order under way. Copies of it that come meanwhile join it, so that it is
 * decided once. */
typedef struct config_change {
  controller *controller;
  bool is_full, was_accepted_before, decided, done;
  uint64_t base_version, version, hash;
  /* the write that it became */
  uint64_t seq;
  /* what it was decided on: the last write ordered then, and the count of resets of this copy */
  uint64_t decided_at_seq, log_resets;
  /* it is not written later than this, since its caller has been answered by then */
  time_us decide_deadline;
  json *body;
  char key[80];
  int reference_count;
  error err;
  condition completed;
} config_change;

static void order_unref(config_change *o) {
  if (--o->reference_count)
    return;
  json_free(o->body);
  g_free(o);
}

/* a write that an earlier copy of this order became */
static bool accepted_before(config_change *o, const state *ordered) {
  const accepted_change *was = accepted_changes_find(&ordered->accepted, o->base_version, o->hash);
  if (was) {
    o->seq = was->seq;
    return true;
  }
  /* from a state of an older version of asterfall */
  const idempotency_record *old = state_find_idempotency_record(ordered, o->key);
  if (old)
    o->seq = old->seq;
  return old != NULL;
}

static void order_pack(const config_change *o, string_view text, GString *op) {
  Wire__Resource res = WIRE__RESOURCE__INIT;
  Wire__AcceptedChange key = WIRE__ACCEPTED_CHANGE__INIT;
  Wire__Operation w = WIRE__OPERATION__INIT;
  res.name = (char *)resource_names[RESOURCE_ROUTING];
  res.text.data = (uint8_t *)text.data;
  res.text.len = text.length;
  key.base_version = o->base_version;
  key.hash = o->hash;
  w.resource = &res;
  w.accepted_change = &key;
  size_t n = wire__operation__get_packed_size(&w);
  g_string_set_size(op, n);
  wire__operation__pack(&w, (uint8_t *)op->str);
}

/* decides an order on the state with all that is ordered, committed or not */
static int order_make(void *ctx, state *ordered, GString *op, error *err) {
  config_change *o = ctx;
  controller *controller = o->controller;
  if (time_reached(world_now(controller->node.world), o->decide_deadline))
    return error_set(err, E_NO_CONTROLLER, "the head was busy for too long; nothing was written");
  o->decided = true;
  o->decided_at_seq = ordered->seq;
  o->log_resets = controller->replica.log_resets;
  o->was_accepted_before = accepted_before(o, ordered);
  if (o->was_accepted_before)
    return OK;
  uint64_t current =
      revision(controller, string_view_of_gstring(ordered->resources[RESOURCE_ROUTING].text));
  if (o->base_version != current &&
      accepted_changes_may_include(&ordered->accepted, o->base_version))
    return error_set(err, E_OUTCOME_UNKNOWN,
                     "it builds on a version so old that nobody remembers whether it was taken");
  GString *next = g_string_new(NULL);
  int r = config_change_apply(string_view_of_gstring(ordered->resources[RESOURCE_ROUTING].text),
                              current, o->is_full, o->base_version, o->body, next, err);
  if (!r) {
    order_pack(o, string_view_of_gstring(next), op);
    revision_note(controller, string_view_of_gstring(next), o->version);
  }
  g_string_free(next, TRUE);
  return r;
}

/* waits until a write that the decision rests on stands; false when it may be lost */
static bool stands(const config_change *o, uint64_t seq, time_us till) {
  replica *replica = &o->controller->replica;
  while (replica->committed.seq < seq && replica->log_resets == o->log_resets)
    if (condition_wait(&o->controller->node.world->tasks, &replica->state_changed, till) !=
        WAKE_SIGNALLED)
      break;
  /* after a reset another write may have that number */
  return replica->log_resets == o->log_resets && replica->committed.seq >= seq;
}

/* a decision becomes an answer only when what it rests on is committed: the write of an earlier
 * copy, or the writes because of which it is refused */
static int settle(config_change *o, int r, time_us till) {
  error was = o->err;
  if (!r && o->was_accepted_before && !stands(o, o->seq, till))
    return error_set(&o->err, E_OUTCOME_UNKNOWN,
                     "the first try of this order is not confirmed yet");
  bool final = r && status_of(r) < 500;
  if (final && o->decided && !stands(o, o->decided_at_seq, till))
    return error_set(&o->err, E_NO_CONTROLLER, "another order is under way; nothing was written");
  o->err = was;
  return r;
}

/* the write goes on when the caller has been answered */
static void order_run(void *p) {
  config_change *o = p;
  controller *controller = o->controller;
  time_us till = time_add(world_now(controller->node.world), time_from_ms(WRITE_MS));
  int r =
      replica_write(&controller->replica, order_make, o, time_from_ms(WRITE_MS), &o->seq, &o->err);
  r = settle(o, r, till);
  int got, all;
  while (!r && !controller->node.settings.relaxed &&
         !controller_write_in_force(controller, o->seq, &got, &all))
    if (condition_wait(&controller->node.world->tasks, &controller->reports_changed, till) !=
        WAKE_SIGNALLED)
      r = error_set(&o->err, E_TOO_FEW_ROUTERS,
                    "write %" PRIu64 " stands, but only %d of %d routers have it in force yet",
                    o->seq, got, all);
  o->err.code = r;
  o->done = true;
  g_hash_table_remove(controller->config_changes, o->key);
  condition_broadcast(&o->completed);
  order_unref(o);
}

/* the order of a request: the one that an earlier copy began, or a new one; NULL when it can't be
 * read */
static config_change *order_of(controller *controller, http_request *request, bool whole,
                               uint64_t base, time_us came, error *err) {
  uint64_t kind = base * 2 + whole;
  char key[80];
  uint64_t hash = hash_bytes(request->body->str, request->body->len, kind);
  snprintf(key, sizeof key, "cfg-%016" PRIx64 "%016" PRIx64, hash,
           hash_bytes(request->body->str, request->body->len, ~kind));
  config_change *o = g_hash_table_lookup(controller->config_changes, key);
  if (o) {
    o->reference_count++;
    return o;
  }
  json *body = json_parse(string_view_of_gstring(request->body), err);
  if (!body)
    return NULL;
  dialect_translate_in(controller->dialect, body);
  o = g_new0(config_change, 1);
  o->controller = controller;
  o->is_full = whole;
  o->base_version = base;
  o->hash = hash;
  o->body = body;
  o->version = (uint64_t)MAX(0, json_number(body, "version", 0));
  o->decide_deadline = time_add(came, time_from_ms(ANSWER_MS));
  g_strlcpy(o->key, key, sizeof o->key);
  /* one for the request, one for the task */
  o->reference_count = 2;
  condition_init(&o->completed);
  g_hash_table_insert(controller->config_changes, o->key, o);
  task_start(&controller->node.world->tasks, "order", order_run, o);
  return o;
}

static void order_answer(controller *controller, http_request *request, const config_change *o,
                         const error *err) {
  if (err->code) {
    controller->writes_refused++;
    log_info(&controller->node.log, "control",
             "Refused configuration %" PRIu64 " over %" PRIu64 " from %s: %s (code %d).",
             o ? o->version : 0, o ? o->base_version : 0, request->client_address, err->text,
             err->code);
    refuse(controller, request, err->code, err->text);
    return;
  }
  log_info(&controller->node.log, "control",
           "Configuration %" PRIu64 " over %" PRIu64 " from %s is write %" PRIu64 "%s.", o->version,
           o->base_version, request->client_address, o->seq,
           o->was_accepted_before ? ", come again" : "");
  char buf[48];
  snprintf(buf, sizeof buf, "{\"version\":%" PRIu64 "}", o->version);
  send_text(controller, request, 200, string_view_of(buf));
}

static void config_write(controller *controller, http_request *request, bool whole, time_us came) {
  if (!answered_here(controller, request, came, replica_is_acting_head, replica_head))
    return;
  int64_t base =
      fields_get_number(request->fields, controller->dialect->header_names[DF_BASE_REVISION], -1);
  if (base < 0) {
    refuse(controller, request, E_IF_MATCH,
           "the version that it builds on is missing, or is no number");
    return;
  }
  if (request->body->len > RESOURCE_BYTES_MAX) {
    refuse(controller, request, E_TOO_LARGE, "too large");
    return;
  }
  error err = { 0 };
  config_change *o = order_of(controller, request, whole, (uint64_t)base, came, &err);
  time_us till = time_add(came, time_from_ms(ANSWER_MS));
  while (o && !o->done)
    if (condition_wait(&controller->node.world->tasks, &o->completed, till) != WAKE_SIGNALLED)
      break;
  if (o && o->done)
    err = o->err;
  else if (o)
    error_set(&err, E_OUTCOME_UNKNOWN,
              "the core has not confirmed it yet; the outcome is not known");
  order_answer(controller, request, o, &err);
  if (o)
    order_unref(o);
}

static void config_read(controller *controller, http_request *request, time_us came) {
  if (!answered_here(controller, request, came, replica_is_acting_tail, replica_tail))
    return;
  replica *replica = &controller->replica;
  if (!replica->committed.resources[RESOURCE_ROUTING].version) {
    refuse(controller, request, E_NOT_FOUND, "there is no configuration yet");
    return;
  }
  if (!controller->config_text ||
      controller->config_text_version != replica->committed.resources[RESOURCE_ROUTING].version) {
    error err = { 0 };
    json *json = json_parse(
        string_view_of_gstring(replica->committed.resources[RESOURCE_ROUTING].text), &err);
    if (!json || !json_get(json, "version")) {
      json_free(json);
      refuse(controller, request, E_NOT_FOUND, "there is no configuration yet");
      return;
    }
    dialect_translate_out(controller->dialect, json);
    if (!controller->config_text)
      controller->config_text = g_string_new(NULL);
    g_string_truncate(controller->config_text, 0);
    json_write(json, controller->config_text);
    json_free(json);
    controller->config_text_version = replica->committed.resources[RESOURCE_ROUTING].version;
  }
  http_request_respond(request, 200, "application/json",
                       string_view_of_gstring(controller->config_text));
}

/* beats */
static int beat_in(const json *value, const id *who, Wire__EngineState *w, GPtrArray *hold,
                   error *err) {
  wire__engine_state__init(w);
  w->id = (char *)who->text;
  if (!value || value->kind != JSON_OBJECT)
    return error_set(err, E_TYPE, "a beat is an object");
  w->service = (char *)json_text(value, "service", "");
  w->address = (char *)json_text(value, "address", "");
  w->zone = (char *)json_text(value, "zone", "");
  w->version = (char *)json_text(value, "version", "");
  if (!id_is_valid(string_view_of(w->service)))
    return error_set(err, E_NAME, "service: missing, or no name");
  if (!address_is_valid(w->address))
    return error_set(err, E_SETTINGS_ADDRESS, "address: not an ip:port");
  if (!id_is_valid(string_view_of(w->zone)))
    w->zone = "";
  const json *count = json_get(value, "count");
  if (!count || count->kind != JSON_NUMBER ||
      !(count->number >= 0 && count->number <= whole_number_most))
    return error_set(err, E_FIELD, "count: missing, or no whole number up to 2^53");
  w->heartbeat_count = (uint64_t)count->number;
  w->slots = (uint32_t)CLAMP(json_number(value, "slots", 0), 0, 1e6);
  w->draining = !strcmp(json_text(value, "state", "ready"), "leaving");
  w->slow_start_ms = (uint64_t)CLAMP(json_number(value, "coldMs", 0), 0, 1e9);
  const json *ends = json_get(value, "leavesMs");
  if (ends && ends->kind == JSON_NUMBER)
    w->ends_in_ms = (uint64_t)CLAMP(ends->number, 1, 1e9);
  const json *models = json_get(value, "models");
  size_t n = models && models->kind == JSON_ARRAY ? json_count(models) : 0;
  if (!n)
    return OK;
  Wire__ResidentModel *all = g_new(Wire__ResidentModel, n);
  g_ptr_array_add(hold, all);
  w->models = g_new(Wire__ResidentModel *, n);
  g_ptr_array_add(hold, w->models);
  for (size_t i = 0; i < n; i++) {
    const json *k = json_at(models, i), *list = json_get(k, "adapters");
    const char *name = json_text(k, "name", "");
    if (!id_is_valid(string_view_of(name)))
      return error_set(err, E_NAME, "models: a name is missing, or none");
    Wire__ResidentModel *r = w->models[w->n_models++] = &all[i];
    wire__resident_model__init(r);
    r->model = (char *)name;
    r->weights_version = (uint64_t)CLAMP(json_number(k, "version", 0), 0, 1e15);
    size_t have = list && list->kind == JSON_ARRAY ? json_count(list) : 0;
    if (!have)
      continue;
    r->adapters = g_new(char *, have);
    g_ptr_array_add(hold, r->adapters);
    for (size_t x = 0; x < have; x++) {
      const json *t = json_at(list, x);
      if (t->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(t->text)))
        return error_set(err, E_NAME, "adapters: no name");
      r->adapters[r->n_adapters++] = t->text->str;
    }
  }
  return OK;
}

static void beat(controller *controller, http_request *request, id who) {
  error err = { 0 };
  json *json = json_parse(string_view_of_gstring(request->body), &err);
  GPtrArray *hold = g_ptr_array_new_with_free_func(g_free);
  Wire__EngineState w;
  int r = err.code;
  if (json) {
    dialect_translate_in(controller->dialect, json);
    r = beat_in(json, &who, &w, hold, &err);
  }
  if (!r) {
    controller->heartbeats++;
    registry_sync_announce(
        controller, who.text,
        registry_heartbeat(&controller->registry, &w, world_now(controller->node.world)));
    http_request_respond(request, 200, "application/json", string_view_of("{}"));
  } else {
    GString *b = g_string_new(NULL);
    json_appendf(b, "{\"code\":%d,\"error\":", r);
    json_append_quoted(b, string_view_of(err.text));
    g_string_append_c(b, '}');
    send_text(controller, request, 400, string_view_of_gstring(b));
    g_string_free(b, TRUE);
  }
  json_free(json);
  g_ptr_array_free(hold, TRUE);
}

static void sign_off(controller *controller, http_request *request, id who) {
  registry_sync_announce(
      controller, who.text,
      registry_sign_off(&controller->registry, who.text, world_now(controller->node.world)));
  http_request_respond(request, 200, "application/json", string_view_of("{}"));
}

/* the listener */
static void serve(void *ctx, http_request *request) {
  controller *controller = ctx;
  time_us now = world_now(controller->node.world),
          came = request->received_at.us && request->received_at.us <= now.us ? request->received_at
                                                                              : now;
  const dialect *dialect = controller->dialect;
  id who;
  controller->http_requests++;
  if (dialect_matches_call(dialect, DC_HEARTBEAT, request->method, request->path, &who))
    beat(controller, request, who);
  else if (dialect_matches_call(dialect, DC_LEAVE, request->method, request->path, &who))
    sign_off(controller, request, who);
  else if (dialect_matches_call(dialect, DC_CONFIG_PUT, request->method, request->path, NULL))
    config_write(controller, request, true, came);
  else if (dialect_matches_call(dialect, DC_CONFIG_PATCH, request->method, request->path, NULL))
    config_write(controller, request, false, came);
  else if (dialect_matches_call(dialect, DC_CONFIG_GET, request->method, request->path, NULL))
    config_read(controller, request, came);
  else if (dialect_matches_call(dialect, DC_READY, request->method, request->path, NULL)) {
    bool ready =
        controller->replica.running && controller->replica.view.epoch && !controller->node.draining;
    if (ready)
      http_request_respond(request, 200, NULL, string_view_of(""));
    else
      refuse(controller, request, E_NO_CONTROLLER,
             controller->node.draining ? "leaving" : "no view is known here yet");
  } else
    refuse(controller, request, E_NOT_FOUND, "there is no such page");
}

int controller_open_control_listener(controller *controller, const char *ip, int port,
                                     const dialect *words, error *err) {
  world *world = controller->node.world;
  if (!world->listener_open)
    return error_set(err, E_LISTEN, "this world has no doors");
  controller->dialect = words ? words : &dialect_native;
  controller->control_listener = (http_listener){ .world = world,
                                                  .port = port,
                                                  .serve = serve,
                                                  .serve_context = controller,
                                                  .header_max_bytes = HEADER_MOST,
                                                  .body_max_bytes = BODY_MOST,
                                                  .header_timeout_ms = HEADER_MS,
                                                  .idle_timeout_ms = IDLE_MS };
  g_strlcpy(controller->control_listener.ip, ip, sizeof controller->control_listener.ip);
  int r = world->listener_open(world, &controller->control_listener, err);
  if (r)
    return r;
  controller->has_control_listener = true;
  registry_sync_start(controller);
  return OK;
}
