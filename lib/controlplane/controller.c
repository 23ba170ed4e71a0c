#include "controller.h"
#include "delta.h"
#include <stdio.h>
#include <stdlib.h>

enum { POLL_MS = 500, POLL_LOOSE_MS = 1000 };

/* duties: who may order what, granted by the chain, renewed in memory */
typedef struct {
  controller *controller;
  Wire__SingletonLeaseRequest *request;
  id requester;
  uint64_t nonce;
  Wire__SingletonLeaseResponse *response;
  reply *reply;
  int n;
} singleton_lease_context;

static time_us *renewed(controller *controller, const char *duty) {
  time_us *t = g_hash_table_lookup(controller->replica.singleton_renewed_at, duty);
  if (!t) {
    t = g_new(time_us, 1);
    *t = controller->replica.head_since;
    g_hash_table_insert(controller->replica.singleton_renewed_at, g_strdup(duty), t);
  }
  return t;
}

static Wire__SingletonClaimResult *got_add(singleton_lease_context *x, char *duty) {
  Wire__SingletonClaimResult *g = reply_alloc(x->reply, sizeof *g);
  wire__singleton_claim_result__init(g);
  g->singleton = duty;
  x->response->results[x->response->n_results++] = g;
  return g;
}

static char *held(reply *reply, const char *s) {
  char *p = reply_alloc(reply, strlen(s) + 1);
  strcpy(p, s);
  return p;
}

/* the tick until which a duty belongs to whom it was granted, whatever he says */
static time_us bound_till(controller *controller, const char *duty) {
  return time_add(*renewed(controller, duty),
                  time_from_ms(SINGLETON_LEASE_MS + SINGLETON_LEASE_GRACE_MS));
}

static int grants_make(void *ctx, state *spec, GString *op, error *err) {
  singleton_lease_context *x = ctx;
  (void)err;
  time_us now = world_now(x->controller->node.world);
  Wire__Operation o = WIRE__OPERATION__INIT;
  o.grants = g_new0(Wire__SingletonGrant *, x->request->n_claims + 1);
  for (size_t i = 0; i < x->request->n_claims; i++) {
    Wire__SingletonClaim *h = x->request->claims[i];
    const singleton_grant *grant = state_find_grant(spec, h->singleton);
    bool own = grant && id_equal(grant->holder, x->requester) && grant->nonce == x->nonce;
    if (own || h->release || !id_is_valid(string_view_of(h->singleton)))
      continue;
    Wire__SingletonClaimResult *a = got_add(x, h->singleton);
    if (grant) {
      time_us till = bound_till(x->controller, h->singleton);
      /* a later run of the holder itself: the run before it is over, and orders go on under the
       * same name */
      bool again = x->controller->node.settings.relaxed && id_equal(grant->holder, x->requester);
      if (!again && !time_reached(now, till)) {
        a->holder = held(x->reply, grant->holder.text);
        a->retry_after_ms = time_sub(till, now).us / 1000 + 1;
        continue;
      }
    }
    Wire__SingletonGrant *n = reply_alloc(x->reply, sizeof *n);
    wire__singleton_grant__init(n);
    n->singleton = h->singleton;
    n->holder = x->requester.text;
    n->nonce = x->nonce;
    n->epoch = grant ? grant->epoch + 1 : 1;
    o.grants[o.n_grants++] = n;
    a->granted = true;
    a->epoch = n->epoch;
    *renewed(x->controller, h->singleton) = now;
    uint64_t *to = g_new(uint64_t, 1);
    *to = n->epoch;
    g_hash_table_replace(x->controller->grants_in_flight, g_strdup(h->singleton), to);
  }
  if (o.n_grants) {
    size_t n = wire__operation__get_packed_size(&o);
    g_string_set_size(op, n);
    wire__operation__pack(&o, (uint8_t *)op->str);
  }
  g_free(o.grants);
  return OK;
}

static bool barred(controller *controller, const char *area) {
  config *config = state_compile_config(&controller->replica.committed, -1, NULL, NULL);
  bool b = config && config_is_zone_evacuated(config, id_of_text(area));
  config_free(config);
  return b;
}

static int on_holds(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  controller *controller = ctx;
  replica *replica = &controller->replica;
  singleton_lease_context x = { controller,
                                in->singleton_lease_request,
                                id_of_text(in->from->id),
                                in->singleton_lease_request->nonce,
                                reply_new_body(reply, WIRE__ENVELOPE__BODY_SINGLETON_LEASE_RESPONSE,
                                               &wire__singleton_lease_response__descriptor),
                                reply,
                                0 };
  x.response->results =
      reply_alloc(reply, sizeof(void *) * (in->singleton_lease_request->n_claims * 2 + 1));
  if (!replica_is_acting_head(replica)) {
    const member *h = replica_head(replica);
    x.response->head_address = h ? held(reply, h->address) : "";
    return OK;
  }
  time_us now = world_now(controller->node.world);
  int young = 0;
  for (size_t i = 0; i < in->singleton_lease_request->n_claims; i++) {
    Wire__SingletonClaim *h = in->singleton_lease_request->claims[i];
    /* a grant to another that is on its way, here or through the chain, ends this one: all must
     * name the asker */
    uint64_t *to = g_hash_table_lookup(controller->grants_in_flight, h->singleton);
    const singleton_grant *grant = state_find_grant(&replica->committed, h->singleton),
                          *next = state_find_grant(replica_ordered_state(replica), h->singleton);
    bool same = grant && next && grant->epoch == next->epoch && (!to || *to <= grant->epoch) &&
                id_equal(grant->holder, x.requester) && grant->nonce == x.nonce;
    if (!same && next && id_equal(next->holder, x.requester) && next->nonce == x.nonce)
      continue;
    if (same) {
      Wire__SingletonClaimResult *a = got_add(&x, h->singleton);
      a->granted = !h->release;
      a->epoch = grant->epoch;
      if (!h->release)
        *renewed(controller, h->singleton) = now;
      else if (h->quiet_ms) {
        time_us quiet = time_sub(now, time_from_ms((int64_t)MIN(h->quiet_ms, 100000)));
        if (quiet.us < renewed(controller, h->singleton)->us)
          *renewed(controller, h->singleton) = quiet;
      }
    } else if (!h->release)
      young++;
  }
  if (!young)
    return OK;
  if (in->from->draining || barred(controller, in->from->zone))
    return error_set(err, E_DRAINING,
                     "a machine that leaves, or whose area is emptied, gets no duties");
  uint64_t seq = 0;
  int r = replica_write(replica, grants_make, &x, time_from_ms(3000), &seq, err);
  /* a slow write makes a short contract; the next holder counts from when this one could begin */
  for (size_t i = 0; !r && seq && i < x.response->n_results; i++)
    if (x.response->results[i]->granted)
      *renewed(controller, x.response->results[i]->singleton) = world_now(controller->node.world);
  return r;
}

/* the end of a trial, by the one that holds its duty now, and of the very trial that it judged */
typedef struct {
  id judge;
  uint64_t nonce;
  Wire__CanaryEndRequest *request;
} canary_end_context;

static int end_make(void *ctx, state *spec, GString *op, error *err) {
  canary_end_context *x = ctx;
  const singleton_grant *grant = state_find_grant(spec, "canary");
  if (!grant || !id_equal(grant->holder, x->judge) || grant->nonce != x->nonce ||
      grant->epoch != x->request->epoch)
    return error_set(err, E_STALE_EPOCH, "another judges this trial");
  if (spec->resources[RESOURCE_CANARY].version != x->request->version)
    return error_set(err, E_VERSION_CONFLICT, "the trial is another, or has ended");
  json *was = json_parse(string_view_of_gstring(spec->resources[RESOURCE_CANARY].text), err),
       *end = was ? json_parse(
                        (string_view){ (char *)x->request->verdict.data, x->request->verdict.len },
                        err)
                  : NULL;
  if (!was || !end) {
    json_free(was);
    return err->code;
  }
  json *next = json_merge(json_copy(was), end);
  int r = canary_check_successor(was, next, err);
  if (!r) {
    GString *text = g_string_new(NULL);
    json_write(next, text);
    Wire__Resource res = WIRE__RESOURCE__INIT;
    Wire__Operation w = WIRE__OPERATION__INIT;
    res.name = (char *)resource_names[RESOURCE_CANARY];
    res.text.data = (uint8_t *)text->str;
    res.text.len = text->len;
    w.resource = &res;
    size_t n = wire__operation__get_packed_size(&w);
    g_string_set_size(op, n);
    wire__operation__pack(&w, (uint8_t *)op->str);
    g_string_free(text, TRUE);
  }
  json_free(was);
  json_free(end);
  json_free(next);
  return r;
}

static int on_canary_end(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  controller *controller = ctx;
  if (!replica_is_acting_head(&controller->replica))
    return error_set(err, E_NO_CONTROLLER, "not the acting head");
  canary_end_context x = { id_of_text(in->from->id), in->from->nonce, in->canary_end_request };
  uint64_t seq = 0;
  int r = replica_write(&controller->replica, end_make, &x, time_from_ms(3000), &seq, err);
  if (r) {
    log_info(&controller->node.log, "api", "Refused the end of a trial from %s: %s (code %d).",
             x.judge.text, err->text, r);
    return r;
  }
  log_info(&controller->node.log, "api", "The trial's judge %s ended it with write %" PRIu64 ".",
           x.judge.text, seq);
  Wire__CanaryEndResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_CANARY_END_RESPONSE,
                                              &wire__canary_end_response__descriptor);
  b->ok = true;
  return OK;
}

/* keeps the routing texts of late, so that a node that holds one of them is sent only what changed
 */
static void past_note(controller *controller) {
  const state *state = &controller->replica.committed;
  uint64_t version = state->resources[RESOURCE_ROUTING].version;
  if (!version)
    return;
  for (int i = 0; i < ROUTING_TEXTS_CACHED; i++)
    if (controller->routing_texts[i].version == version)
      return;
  routing_text_cache_entry *p =
      &controller->routing_texts[controller->routing_text_next++ % ROUTING_TEXTS_CACHED];
  if (!p->text) {
    p->text = g_string_new(NULL);
    p->delta = g_string_new(NULL);
  }
  p->version = version;
  p->delta_version = 0;
  g_string_assign(p->text, state->resources[RESOURCE_ROUTING].text->str);
}

static string_view past_delta(controller *controller, uint64_t base) {
  const state *state = &controller->replica.committed;
  for (int i = 0; base && i < ROUTING_TEXTS_CACHED; i++) {
    routing_text_cache_entry *p = &controller->routing_texts[i];
    if (p->version != base || base == state->resources[RESOURCE_ROUTING].version)
      continue;
    if (p->delta_version != state->resources[RESOURCE_ROUTING].version) {
      p->delta_version = state->resources[RESOURCE_ROUTING].version;
      g_string_truncate(p->delta, 0);
      if (!delta_encode(string_view_of_gstring(p->text),
                        string_view_of_gstring(state->resources[RESOURCE_ROUTING].text), p->delta))
        g_string_truncate(p->delta, 0);
    }
    return string_view_of_gstring(p->delta);
  }
  return (string_view){ NULL, 0 };
}

static int on_news(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  controller *controller = ctx;
  replica *replica = &controller->replica;
  Wire__ConfigPollRequest *q = in->config_poll_request;
  bool engines = q->want_engines && controller->has_control_listener,
       knows = replica->running && replica->view.epoch && replica_chain_index(replica) >= 0 &&
               replica_is_current(replica);
  if (!engines && !knows)
    return error_set(err, E_NO_CONTROLLER, "no state is known here");
  if (q->fleet_id && replica->view.epoch && q->fleet_id != replica->view.fleet_id) {
    if (!engines)
      return error_set(err, E_VIEW_MISMATCH, "another fleet");
    knows = false;
  }
  past_note(controller);
  /* a read that knows more than this copy mends it at once */
  if (knows && q->sequence > replica->committed.seq)
    condition_broadcast(&replica->replication_wanted);
  time_us came = world_now(controller->node.world),
          till = time_add(
              came, time_from_ms(controller->node.settings.relaxed ? POLL_LOOSE_MS : POLL_MS));
  /* one that may not act is no place to wait for news: its router has to look elsewhere at once */
  while (!q->no_wait && knows && replica->committed.seq <= q->sequence && q->sequence &&
         !(engines && registry_sync_has_changes(controller, q)) &&
         (!controller->node.settings.relaxed || replica_holds_lease(replica))) {
    time_us look = time_add(world_now(controller->node.world), time_from_ms(200));
    enum wake k = condition_wait(&controller->node.world->tasks, &replica->state_changed,
                                 look.us < till.us ? look : till);
    if (k == WAKE_STOPPED || time_reached(world_now(controller->node.world), till))
      break;
  }
  Wire__ConfigPollResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE,
                                               &wire__config_poll_response__descriptor);
  if (engines)
    registry_sync_fill_response(controller, q, b, reply);
  if (!knows) {
    /* whoever asks here for the state is told where it is */
    b->controllers = reply_alloc(reply, sizeof(char *) * CHAIN_MAX);
    for (int i = 0; replica->running && i < replica->view.chain_length; i++)
      if (!id_equal(replica->view.chain[i].self, controller->node.settings.self))
        b->controllers[b->n_controllers++] = held(reply, replica->view.chain[i].address);
    return OK;
  }
  b->confirmed = replica_holds_lease(replica);
  b->held_ms = (uint64_t)time_sub(world_now(controller->node.world), came).us / 1000;
  b->epoch = replica->view.epoch;
  b->sequence = replica->committed.seq;
  b->changed = replica->committed.seq > q->sequence || !q->sequence;
  if (b->changed) {
    GString *d = g_string_new(NULL);
    past_note(controller);
    uint64_t base = q->deltas && q->n_resource_versions > RESOURCE_ROUTING
                        ? q->resource_versions[RESOURCE_ROUTING]
                        : 0;
    string_view delta = past_delta(controller, base);
    state_pack_for_router_with_delta(&replica->committed, replica->view.epoch, q->resource_versions,
                                     q->n_resource_versions, base, delta, d);
    b->snapshot.len = d->len;
    b->snapshot.data = reply_alloc(reply, d->len + 1);
    memcpy(b->snapshot.data, d->str, d->len);
    g_string_free(d, TRUE);
    controller->config_updates_sent++;
  }
  return OK;
}

/* what each router has in force; a router that restarted counts by its new run only */
typedef struct {
  uint64_t nonce, seq;
} reported_version;

static int on_have(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  controller *controller = ctx;
  (void)reply;
  (void)err;
  if (!controller->replica.running ||
      in->version_report->fleet_id != controller->replica.view.fleet_id ||
      in->from->role != ROLE_ROUTER)
    return OK;
  reported_version *h = g_hash_table_lookup(controller->reported_seq, in->from->id);
  if (!h) {
    h = g_new0(reported_version, 1);
    g_hash_table_insert(controller->reported_seq, g_strdup(in->from->id), h);
  }
  if (h->nonce != in->from->nonce || in->version_report->sequence > h->seq) {
    h->nonce = in->from->nonce;
    h->seq = in->version_report->sequence;
    condition_broadcast(&controller->reports_changed);
  }
  return OK;
}

/* half of the routers that are known, gone ones too: more than half serve without the core, so one
 * of these is among them */
bool controller_write_in_force(controller *controller, uint64_t seq, int *got, int *all) {
  *got = 0;
  *all = node_count_peers(&controller->node, ROLE_ROUTER);
  list_for_each (peer, &controller->node.peers, peer_node, link) {
    reported_version *h = peer->role == ROLE_ROUTER && !peer->draining
                              ? g_hash_table_lookup(controller->reported_seq, peer->self.text)
                              : NULL;
    *got += h && h->nonce == peer->nonce && h->seq >= seq;
  }
  return *got >= (*all + 1) / 2;
}

/* the operators' API */
typedef struct {
  controller *controller;
  int resource;
  http_request *request;
  uint64_t expected_version, first_seq, request_hash;
  bool any_version, is_repeat;
  const char *idempotency_key;
} resource_write;

static int routing_fits(string_view text, error *err) {
  json *json = json_parse(text, err);
  routing *made = json && json_count(json) ? routing_compile(json, err) : NULL;
  int r = json && (made || !json_count(json)) ? OK : err->code;
  routing_unref(made);
  json_free(json);
  return r;
}

static int canary_fits(const state *spec, string_view text, error *err) {
  json *was = json_parse(string_view_of_gstring(spec->resources[RESOURCE_CANARY].text), err),
       *next = json_parse(text, err);
  int r = was && next ? (int)canary_check_successor(was, next, err) : err->code;
  json_free(was);
  json_free(next);
  return r;
}

static int write_make(void *ctx, state *spec, GString *op, error *err) {
  resource_write *x = ctx;
  const idempotency_record *o =
      x->idempotency_key ? state_find_idempotency_record(spec, x->idempotency_key) : NULL;
  if (o) {
    if (o->hash != x->request_hash)
      return error_set(err, E_IDEMPOTENCY_KEY,
                       "this idempotency key came before with another request");
    x->is_repeat = true;
    x->first_seq = o->seq;
    return OK;
  }
  uint64_t is = spec->resources[x->resource].version;
  if (!x->any_version && x->expected_version != is)
    return error_set(err, E_VERSION_CONFLICT, "the version is %" PRIu64 ", not %" PRIu64, is,
                     x->expected_version);
  json *body = json_parse(string_view_of_gstring(x->request->body), err);
  if (!body)
    return err->code;
  if (!strcmp(x->request->method, "PATCH")) {
    json *was = json_parse(string_view_of_gstring(spec->resources[x->resource].text), err);
    if (!was) {
      json_free(body);
      return err->code;
    }
    /* routing has changes of its own, by name: see the control listener */
    json *next =
        x->resource == RESOURCE_ROUTING ? routing_patch(was, body, err) : json_merge(was, body);
    if (x->resource == RESOURCE_ROUTING)
      json_free(was);
    json_free(body);
    if (!next)
      return err->code;
    body = next;
  }
  /* gateways go from one version of it to a higher one only */
  if (x->resource == RESOURCE_ROUTING && json_count(body) &&
      routing_check_successor(
          body, config_change_version(string_view_of_gstring(spec->resources[x->resource].text)),
          err)) {
    json_free(body);
    return err->code;
  }
  GString *text = g_string_new(NULL);
  json_write(body, text);
  json_free(body);
  string_view t = string_view_of_gstring(text);
  int r = OK;
  if (t.length > RESOURCE_BYTES_MAX)
    r = error_set(err, E_TOO_LARGE, "%zu bytes; a resource may hold %d", t.length,
                  RESOURCE_BYTES_MAX);
  config *config = r ? NULL : state_compile_config(spec, x->resource, &t, err);
  if (!r && !config)
    r = err->code;
  config_free(config);
  if (!r && x->resource == RESOURCE_ROUTING)
    r = routing_fits(t, err);
  if (!r && x->resource == RESOURCE_CANARY)
    r = canary_fits(spec, t, err);
  if (!r) {
    Wire__Resource res = WIRE__RESOURCE__INIT;
    Wire__Operation w = WIRE__OPERATION__INIT;
    res.name = (char *)resource_names[x->resource];
    res.text.data = (uint8_t *)text->str;
    res.text.len = text->len;
    w.resource = &res;
    if (x->idempotency_key) {
      w.idempotency_key = (char *)x->idempotency_key;
      w.request_hash = x->request_hash;
    }
    size_t n = wire__operation__get_packed_size(&w);
    g_string_set_size(op, n);
    wire__operation__pack(&w, (uint8_t *)op->str);
  }
  g_string_free(text, TRUE);
  return r;
}

static int status_of(int code) {
  switch (code) {
  case E_VERSION_CONFLICT:
    return 412;
  case E_IDEMPOTENCY_KEY:
    return 422;
  case E_TOO_LARGE:
    return 413;
  case E_OUTCOME_UNKNOWN:
  case E_NO_RESPONSE:
  case E_TOO_FEW_ROUTERS:
    return 504;
  case E_NO_CONTROLLER:
  case E_TOO_FEW_ZONES:
  case E_OVERLOADED:
  case E_NO_MEMBER_LEASE:
  case E_VIEW_MISMATCH:
  case E_STOPPING:
  case E_DISK_FULL:
  case E_DISK:
    return 503;
  default:
    return code >= E_JSON && code < E_WIRE_MESSAGE ? 400 : 500;
  }
}

static void refuse(http_request *request, int code, const char *text) {
  int st = status_of(code);
  if (st == 503)
    http_headers_set(&request->known_response_fields, HEADER_RETRY_AFTER, "1");
  http_respond_error(request, st, code, text);
}

/* passes a request on to where it can be answered, once */
static void pass(controller *controller, http_request *request, const char *addr, bool writes) {
  GString *path = g_string_new(request->path), *got = g_string_new(NULL);
  if (request->query[0])
    json_appendf(path, "?%s", request->query);
  http_headers h = { { 0 } };
  http_headers_copy(&h, &request->known_fields);
  http_headers_set(&h, HEADER_HOP, controller->node.settings.self.text);
  http_call *call = http_call_open(controller->node.world, addr, request->method, path->str, &h,
                                   string_view_of_gstring(request->body), 4 << 20);
  int r = http_call_read_all(call, got,
                             time_add(world_now(controller->node.world), time_from_ms(8000)));
  if (!r) {
    if (call->known_response_fields.values[HEADER_RETRY_AFTER])
      http_headers_set(&request->known_response_fields, HEADER_RETRY_AFTER,
                       call->known_response_fields.values[HEADER_RETRY_AFTER]);
    if (call->known_response_fields.values[HEADER_ETAG])
      http_headers_set(&request->known_response_fields, HEADER_ETAG,
                       call->known_response_fields.values[HEADER_ETAG]);
    http_request_respond(request, call->status, "application/json", string_view_of_gstring(got));
  } else if (writes && call->sent)
    refuse(request, E_OUTCOME_UNKNOWN,
           "the machine that orders writes gave no answer; the outcome is not known");
  else
    refuse(request, E_NO_CONTROLLER, "the core does not answer; nothing was written");
  http_call_close(call);
  http_headers_free(&h);
  g_string_free(path, TRUE);
  g_string_free(got, TRUE);
}

static void res_write(controller *controller, http_request *request, int which) {
  replica *replica = &controller->replica;
  if (!replica_is_acting_head(replica)) {
    const member *h = replica_head(replica);
    if (request->known_fields.values[HEADER_HOP] || !h || replica_chain_index(replica) == 0) {
      refuse(request, E_NO_CONTROLLER, "no acting head is known here; nothing was written");
      return;
    }
    char addr[48];
    g_strlcpy(addr, h->address, sizeof addr);
    pass(controller, request, addr, true);
    return;
  }
  resource_write x = { .controller = controller,
                       .resource = which,
                       .request = request,
                       .any_version = true,
                       .idempotency_key = request->known_fields.values[HEADER_IDEMPOTENCY_KEY] };
  if (x.idempotency_key && (strlen(x.idempotency_key) >= 80 || !x.idempotency_key[0])) {
    refuse(request, E_IDEMPOTENCY_KEY, "an idempotency key has 1 to 79 bytes");
    return;
  }
  const char *im = request->known_fields.values[HEADER_IF_MATCH];
  if (im && strcmp(im, "*")) {
    char *end;
    x.expected_version = strtoull(im[0] == '"' ? im + 1 : im, &end, 10);
    if (*end && *end != '"') {
      refuse(request, E_IF_MATCH, "If-Match takes a version as GET gives it");
      return;
    }
    x.any_version = false;
  }
  x.request_hash = hash_bytes(request->body->str, request->body->len,
                              hash_two_names(request->method, resource_names[which]));
  uint64_t seq = 0;
  error err = { 0 };
  int r = replica_write(replica, write_make, &x, time_from_ms(5000), &seq, &err);
  if (!r && x.is_repeat) {
    seq = x.first_seq;
    time_us till = time_add(world_now(controller->node.world), time_from_ms(5000));
    while (replica->committed.seq < seq)
      if (condition_wait(&controller->node.world->tasks, &replica->state_changed, till) !=
          WAKE_SIGNALLED)
        break;
    if (replica->committed.seq < seq)
      r = error_set(&err, E_OUTCOME_UNKNOWN, "the first try of this write is not confirmed yet");
  }
  time_us till = time_add(world_now(controller->node.world), time_from_ms(4000));
  int got = 0, all = 0;
  /* gateways hold a poll open and do not say what they have; there a write counts once the chain
   * has it */
  while (!r && !controller->node.settings.relaxed &&
         !controller_write_in_force(controller, seq, &got, &all))
    if (condition_wait(&controller->node.world->tasks, &controller->reports_changed, till) !=
        WAKE_SIGNALLED)
      r = error_set(&err, E_TOO_FEW_ROUTERS,
                    "write %" PRIu64 " stands, but only %d of %d routers have it in force yet", seq,
                    got, all);
  if (r) {
    controller->writes_refused++;
    log_info(&controller->node.log, "api", "Refused a write of %s from %s: %s (code %d).",
             resource_names[which], request->client_address, err.text, r);
    refuse(request, r, err.text);
    return;
  }
  log_info(&controller->node.log, "api",
           "%s of %s from %s is write %" PRIu64 " in view %" PRIu64 "%s.", request->method,
           resource_names[which], request->client_address, seq, replica->view.epoch,
           x.is_repeat ? ", come again" : "");
  char buf[96];
  snprintf(buf, sizeof buf, "%" PRIu64, seq);
  http_headers_set(&request->known_response_fields, HEADER_ETAG, buf);
  snprintf(buf, sizeof buf, "{\"version\":%" PRIu64 ",\"repeated\":%s}\n", seq,
           x.is_repeat ? "true" : "false");
  http_request_respond(request, 200, "application/json", string_view_of(buf));
}

static void res_read(controller *controller, http_request *request, int which) {
  replica *replica = &controller->replica;
  uint64_t after = 0;
  bool watch = false;
  char **q = g_strsplit(request->query, "&", 8);
  for (char **k = q; *k; k++)
    if (g_str_has_prefix(*k, "after=")) {
      watch = true;
      after = strtoull(*k + 6, NULL, 10);
    }
  g_strfreev(q);
  if (watch) {
    time_us till = time_add(world_now(controller->node.world), time_from_ms(20000));
    while (replica->committed.resources[which].version <= after && !request->client_gone)
      if (condition_wait(&controller->node.world->tasks, &replica->state_changed, till) !=
          WAKE_SIGNALLED)
        break;
    if (replica->committed.resources[which].version <= after) {
      http_request_respond(request, 304, NULL, string_view_of(""));
      return;
    }
    if (!replica_holds_lease(replica)) {
      refuse(request, E_NO_MEMBER_LEASE, "this machine cannot tell how fresh it is");
      return;
    }
  } else if (!replica_is_acting_tail(replica)) {
    const member *t = replica_tail(replica);
    if (request->known_fields.values[HEADER_HOP] || !t ||
        id_equal(t->self, controller->node.settings.self)) {
      refuse(request, E_NO_MEMBER_LEASE, "no acting tail is known here");
      return;
    }
    char addr[48];
    g_strlcpy(addr, t->address, sizeof addr);
    pass(controller, request, addr, false);
    return;
  }
  GString *b = g_string_new(NULL);
  json_appendf(b,
               "{\"version\":%" PRIu64 ",\"value\":", replica->committed.resources[which].version);
  g_string_append(b, replica->committed.resources[which].text->str);
  g_string_append(b, "}\n");
  char tag[32];
  snprintf(tag, sizeof tag, "%" PRIu64, replica->committed.resources[which].version);
  http_headers_set(&request->known_response_fields, HEADER_ETAG, tag);
  http_request_respond(request, 200, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

static void status(controller *controller, GString *b) {
  replica *replica = &controller->replica;
  json_appendf(b,
               "{\"id\":\"%s\",\"role\":\"controller\",\"area\":\"%s\",\"epoch\":%" PRIu64
               ",\"version\":%" PRIu64 ",\"last\":%" PRIu64
               ",\"place\":%d,\"acts\":%s,\"whole\":%s,\"thin\":%s,",
               controller->node.settings.self.text, controller->node.settings.zone.text,
               replica->view.epoch, replica->committed.seq, replica->last_seq,
               replica_chain_index(replica), replica_holds_lease(replica) ? "true" : "false",
               replica_in_sync(replica) ? "true" : "false",
               replica_view_is_under_replicated(replica, &replica->view) ? "true" : "false");
  json_appendf(b, "\"head\":\"%s\",\"tail\":\"%s\",",
               replica->view.chain_length ? replica_head(replica)->address : "",
               replica->view.chain_length ? replica_tail(replica)->address : "");
  json_appendf(b,
               "\"disk\":{\"id\":\"%016" PRIx64 "\",\"broken\":%s,\"lastWriteMs\":%" PRId64
               ",\"file\":%u,\"used\":%zu,\"size\":%zu,\"fill\":%.3f},\"refused\":%" PRIu64 ",",
               replica->disk_id, replica->wal.failed ? "true" : "false",
               replica->wal.last_write_time.us / 1000, replica->wal.current_file,
               replica->wal.offset, replica->wal.size,
               (double)replica->wal.base_size / (double)(replica->wal.size ? replica->wal.size : 1),
               controller->writes_refused);
  node_status_json(&controller->node, b);
  g_string_append_c(b, '}');
}

static void contracts(controller *controller, GString *b) {
  GHashTableIter it;
  gpointer v;
  bool first = true;
  g_string_append_c(b, '[');
  g_hash_table_iter_init(&it, controller->replica.committed.grants);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    singleton_grant *grant = v;
    time_us *t =
        replica_chain_index(&controller->replica) == 0
            ? g_hash_table_lookup(controller->replica.singleton_renewed_at, grant->singleton.text)
            : NULL;
    json_appendf(
        b, "%s{\"duty\":\"%s\",\"holder\":\"%s\",\"epoch\":%" PRIu64 ",\"renewedMs\":%" PRId64 "}",
        first ? "" : ",", grant->singleton.text, grant->holder.text, grant->epoch,
        t ? time_sub(world_now(controller->node.world), *t).us / 1000 : -1);
    first = false;
  }
  g_string_append_c(b, ']');
}

/* the engines that have registered themselves, as this machine has heard of them */
static void registry_json(controller *controller, GString *b) {
  GHashTableIter it;
  gpointer v;
  bool first = true;
  g_string_append_c(b, '[');
  g_hash_table_iter_init(&it, controller->registry.engines);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Wire__EngineState w;
    registry_pack_engine(v, world_now(controller->node.world), &w);
    json_appendf(
        b,
        "%s{\"id\":\"%s\",\"service\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"slots\":%u,\"state\":\"%s\",\"count\":%" PRIu64
        ",\"heardMs\":%" PRIu64 ",\"models\":[",
        first ? "" : ",", w.id, w.service, w.zone, w.address, w.slots,
        w.gone && w.draining ? "signed off"
        : w.gone             ? "silent"
        : w.draining         ? "leaving"
                             : "ready",
        w.heartbeat_count, w.age_ms);
    for (size_t i = 0; i < w.n_models; i++) {
      json_appendf(b, "%s{\"model\":\"%s\",\"adapters\":[", i ? "," : "", w.models[i]->model);
      for (size_t k = 0; k < w.models[i]->n_adapters; k++)
        json_appendf(b, "%s\"%s\"", k ? "," : "", w.models[i]->adapters[k]);
      g_string_append(b, "]}");
    }
    g_string_append(b, "]}");
    first = false;
  }
  g_string_append_c(b, ']');
}

static void metrics(controller *controller, GString *b) {
  replica *replica = &controller->replica;
  json_appendf(
      b,
      "asterfall_view_epoch %" PRIu64 "\nasterfall_version %" PRIu64
      "\nasterfall_chain_links %d\nasterfall_acts %d\nasterfall_disk_broken %d\nasterfall_disk_last_write_us %" PRId64
      "\nasterfall_writes_refused %" PRIu64 "\nasterfall_news_sent %" PRIu64
      "\nasterfall_tasks %zu\n",
      replica->view.epoch, replica->committed.seq, replica->view.chain_length,
      replica_holds_lease(replica), replica->wal.failed, replica->wal.last_write_time.us,
      controller->writes_refused, controller->config_updates_sent,
      controller->node.world->tasks.count);
}

static void serve(void *ctx, http_request *request) {
  controller *controller = ctx;
  controller->http_requests++;
  const char *p = request->path;
  bool get = !strcmp(request->method, "GET");
  if (!controller->replica.running) {
    refuse(request, E_NO_CONTROLLER, "starting");
    return;
  }
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (g_str_has_prefix(p, "/v1/") && !strcmp(p + 4, resource_names[i])) {
      if (get)
        res_read(controller, request, i);
      else if (!strcmp(request->method, "PUT") || !strcmp(request->method, "PATCH"))
        res_write(controller, request, i);
      else
        http_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "GET, PUT or PATCH");
      return;
    }
  GString *b = g_string_new(NULL);
  const char *type = "application/json";
  if (!strcmp(p, "/v1/view"))
    view_json(&controller->replica, b);
  else if (!strcmp(p, "/v1/nodes"))
    node_peers_json(&controller->node, b);
  else if (!strcmp(p, "/v1/status"))
    status(controller, b);
  else if (!strcmp(p, "/v1/contracts"))
    contracts(controller, b);
  else if (!strcmp(p, "/v1/registry"))
    registry_json(controller, b);
  else if (!strcmp(p, "/metrics")) {
    metrics(controller, b);
    type = "text/plain";
  } else if (!strcmp(p, "/v1/engines") || !strcmp(p, "/v1/holdings")) {
    peer_node *v = node_pick_peer(&controller->node, ROLE_ROUTER, NULL);
    char addr[48];
    if (v)
      g_strlcpy(addr, v->address, sizeof addr);
    if (!get)
      http_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "GET");
    else if (!v)
      refuse(request, E_NO_CONTROLLER, "no router is known here");
    else
      pass(controller, request, addr, false);
    g_string_free(b, TRUE);
    return;
  }
  if (!b->len)
    http_respond_error(request, 404, E_NOT_FOUND, "there is no such page");
  else if (!get)
    http_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "GET");
  else
    http_request_respond(request, 200, type, string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

static void start_run(void *p) {
  controller *controller = p;
  error err = { 0 };
  controller->exit_code = replica_start(&controller->replica, &controller->node, &err);
  if (controller->exit_code) {
    if (controller->exit_code != E_STOPPING)
      log_info(&controller->node.log, "core", "Can't start: %s (code %d).", err.text,
               controller->exit_code);
    condition_broadcast(&controller->stopped);
    return;
  }
  controller->running = true;
}

controller *controller_new(world *world, const settings *settings) {
  controller *m = g_new0(controller, 1);
  condition_init(&m->stopped);
  node_init(&m->node, world, settings);
  node_register_handler(&m->node, WIRE__ENVELOPE__BODY_SINGLETON_LEASE_REQUEST, on_holds, m);
  node_register_handler(&m->node, WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, on_news, m);
  node_register_handler(&m->node, WIRE__ENVELOPE__BODY_VERSION_REPORT, on_have, m);
  node_register_handler(&m->node, WIRE__ENVELOPE__BODY_CANARY_END_REQUEST, on_canary_end, m);
  m->reported_seq = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  m->grants_in_flight = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  m->config_changes = g_hash_table_new(g_str_hash, g_str_equal);
  condition_init(&m->reports_changed);
  registry_sync_init(m);
  world->serve = serve;
  world->serve_context = m;
  node_start(&m->node);
  task_start(&world->tasks, "start", start_run, m);
  return m;
}

void controller_free(controller *controller) {
  for (int i = 0; i < ROUTING_TEXTS_CACHED; i++)
    if (controller->routing_texts[i].text) {
      g_string_free(controller->routing_texts[i].text, TRUE);
      g_string_free(controller->routing_texts[i].delta, TRUE);
    }
  replica_free(&controller->replica);
  g_hash_table_destroy(controller->reported_seq);
  g_hash_table_destroy(controller->grants_in_flight);
  g_hash_table_destroy(controller->config_changes);
  registry_free(&controller->registry);
  if (controller->config_text)
    g_string_free(controller->config_text, TRUE);
  node_free(&controller->node);
  g_free(controller);
}
