#include "router.h"
#include "delta.h"
#include "routing.h"
#include <stdlib.h>

enum {
  REQUEST_MS = 900,
  REQUEST_LOOSE_MS = 1500,
  SILENT_MS = 2000,
  PEER_EACH_MS = 500,
  CALM_MS = 50,
  CALM_LOOSE_MS = 100,
  /* with no confirmation for so long, another core machine is asked, and one more each so often */
  SECOND_MS = 600,
  SECOND_EACH_MS = 300,
  /* after so long one counts as silent, but its answer is waited for longer: a node that is busy
     gets all answers late, and has to take what they bring */
  SECOND_LATE_MS = 600,
  SECOND_REQUEST_MS = 5000,
  /* the most that a question which is held may take, on a node whose answers come late */
  REQUEST_SLOW_MS = 6000,
  PEER_REQUEST_MS = 600
};

typedef struct {
  id holder;
  uint64_t epoch;
} granted;

bool router_is_fresh(router *router) {
  return router->fresh.us && !time_reached(world_now(router->node.world),
                                           time_add(router->fresh, time_from_ms(FRESH_MS)));
}

bool router_grant(router *router, const char *duty, id *holder, uint64_t *epoch) {
  granted *g = g_hash_table_lookup(router->grants, duty);
  if (!g)
    return false;
  *holder = g->holder;
  *epoch = g->epoch;
  return true;
}

/* tells the core what is in force here; an answer to an operator waits for most routers */
static void announce_core(router *router) {
  Wire__VersionReport h = WIRE__VERSION_REPORT__INIT;
  h.sequence = router->seq;
  h.fleet_id = router->fleet;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_VERSION_REPORT, &h);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER && !peer->gone)
      node_send(&router->node, peer->address, &m);
}

static time_us young(time_us a, time_us b) {
  return a.us > b.us ? a : b;
}
static bool within(router *router, time_us at, int64_t ms) {
  return at.us && !time_reached(world_now(router->node.world), time_add(at, time_from_ms(ms)));
}

/* how many routers there are, as far as anybody in reach knows */
static int known(router *router) {
  int n = node_count_peers(&router->node, ROLE_ROUTER);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (peer->role == ROLE_ROUTER && within(router, peer->confirmed_at, FRESH_MS))
      n = MAX(n, (int)peer->known_routers);
  return n;
}

/* a write is acknowledged when half of the routers have it, so more than half together know of it
 */
static bool most_agree(router *router) {
  int n = router->sure;
  list_for_each (peer, &router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && within(router, peer->confirmed_at, FRESH_MS);
  return n > known(router) / 2;
}

static bool most_blind(router *router) {
  int n = 1;
  list_for_each (peer, &router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && within(router, peer->list_outdated_at, LIST_OLD_MS);
  return n > known(router) / 2;
}

bool router_may_enrol(router *router) {
  bool may = router->config && router->list_known &&
             (router_is_fresh(router) || most_agree(router)) &&
             (within(router, router->list_at, LIST_OLD_MS) || most_blind(router));
  if (may)
    router->lost = (time_us){ 0 };
  else if (!router->lost.us)
    router->lost = world_now(router->node.world);
  return may;
}

bool router_wait_enrol(router *router) {
  while (!router_may_enrol(router)) {
    time_us till = time_add(router->lost, time_from_ms(1000)), now = world_now(router->node.world);
    if (time_reached(now, till))
      return false;
    time_us step = time_add(now, time_from_ms(100));
    if (condition_wait(&router->node.world->tasks, &router->moved,
                       step.us < till.us ? step : till) == WAKE_STOPPED)
      return false;
  }
  return true;
}

/* what is held here does not fit what came: all of it is asked for next */
static void want_whole(router *router, bool moved) {
  if (!moved)
    memset(router->res_at, 0, sizeof router->res_at);
}

/* installs a digest whole, or not at all; never one that is older. moved: what is held here changed
 * after the question was sent, so that a digest that does not fit proves nothing */
static bool install(router *router, const ProtobufCBinaryData *b, const char *from, bool moved) {
  Wire__StateSnapshot *d = wire__state_snapshot__unpack(NULL, b->len, b->data);
  if (!d)
    return false;
  bool ok = (!router->fleet || d->fleet_id == router->fleet) &&
            (d->sequence > router->seq || !router->config);
  if (router->fleet && d->fleet_id != router->fleet)
    log_info(&router->node.log, "news", "Refused a digest of another fleet from %s (code %d).",
             from, E_VIEW_MISMATCH);
  json *j[RESOURCE_COUNT] = { 0 };
  Wire__Resource *part[RESOURCE_COUNT] = { 0 };
  config *config = NULL;
  routing *routes = NULL;
  bool rerouted = false;
  error err = { 0 };
  for (size_t i = 0; ok && i < d->n_resources; i++)
    for (int k = 0; k < RESOURCE_COUNT; k++)
      if (!strcmp(d->resources[i]->name, resource_names[k]))
        part[k] = d->resources[i];
  for (int k = 0; ok && k < RESOURCE_COUNT; k++) {
    /* a part that was left out must be held here in just that version, so that the whole is never a
     * mix */
    /* no trial was ever declared, or the core machine is of a version that knows of none */
    if (!part[k] && k == RESOURCE_CANARY)
      continue;
    if (!part[k] || (part[k]->same && part[k]->version != router->res_at[k])) {
      want_whole(router, moved);
      ok = false;
      break;
    }
    if (part[k]->delta.len) {
      /* only what changed came; where it does not fit what is held here, the whole is asked for
       * next */
      GString *whole = g_string_new(NULL);
      ok = part[k]->base_version == router->res_at[k] &&
           delta_apply(string_view_of_gstring(router->resources[k]),
                       (string_view){ (char *)part[k]->delta.data, part[k]->delta.len }, whole);
      if (!ok) {
        want_whole(router, moved);
        g_string_free(whole, TRUE);
        break;
      }
      free(part[k]->text.data);
      part[k]->text.len = whole->len;
      part[k]->text.data = (uint8_t *)g_string_free(whole, FALSE);
    }
    /* what is compiled already is left as it is */
    if (k == RESOURCE_ROUTING && part[k]->version == router->res_at[k])
      continue;
    ok = (j[k] = json_parse(part[k]->same
                                ? string_view_of_gstring(router->resources[k])
                                : (string_view){ (char *)part[k]->text.data, part[k]->text.len },
                            &err)) != NULL;
  }
  if (ok && j[RESOURCE_ROUTING]) {
    rerouted = true;
    if (json_count(j[RESOURCE_ROUTING]))
      ok = (routes = routing_compile(j[RESOURCE_ROUTING], &err)) != NULL;
    if (!ok)
      log_info(&router->node.log, "news",
               "Refused the routing of digest %" PRIu64 " from %s: %s (code %d).", d->sequence,
               from, err.text, err.code);
  }
  if (ok)
    config = config_compile((const json **)j, &err);
  if (!config)
    routing_unref(routes);
  for (int k = 0; k < RESOURCE_COUNT; k++)
    json_free(j[k]);
  if (ok && !config)
    log_info(&router->node.log, "news", "Refused digest %" PRIu64 " from %s: %s (code %d).",
             d->sequence, from, err.text, err.code);
  if (config) {
    config_free(router->config);
    router->config = config;
    if (rerouted) {
      routing_unref(router->routes);
      router->routes = routes;
    }
    router->fleet = d->fleet_id;
    router->seq = d->sequence;
    router->epoch = MAX(router->epoch, d->epoch);
    for (int k = 0; k < RESOURCE_COUNT; k++) {
      if (!part[k]) {
        router->res_at[k] = 0;
        g_string_assign(router->resources[k], "{}");
        continue;
      }
      router->res_at[k] = part[k]->version;
      if (part[k]->same)
        continue;
      g_string_truncate(router->resources[k], 0);
      g_string_append_len(router->resources[k], (char *)part[k]->text.data, part[k]->text.len);
    }
    router->news_bytes += b->len;
    router->news_count++;
    g_hash_table_remove_all(router->grants);
    for (size_t i = 0; i < d->n_grants; i++) {
      granted *g = g_new0(granted, 1);
      g->holder = id_of_text(d->grants[i]->holder);
      g->epoch = d->grants[i]->epoch;
      g_hash_table_insert(router->grants, g_strdup(d->grants[i]->singleton), g);
    }
    history_window(&router->history, time_from_ms(config->rate_window_s * 1000));
    router->history.smooth = config->smoothing_factor;
    log_debug(&router->node.log, "news",
              "Version %" PRIu64 " of view %" PRIu64 " is in force, from %s.", d->sequence,
              d->epoch, from);
    condition_broadcast(&router->contracts_changed);
    if (!router->node.settings.relaxed)
      announce_core(router);
    condition_broadcast(&router->moved);
    if (router->on_installed)
      router->on_installed(router->gateway);
  }
  wire__state_snapshot__free_unpacked(d, NULL);
  return config != NULL;
}

/* what this router has of one core machine's registry; such a machine's changes hold whenever they
 * come */
static void engines_of(router *router, const char *addr) {
  router->engine_run = router->engine_seq = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(router->engine_at); i++)
    if (!strcmp(router->engine_at[i].addr, addr)) {
      router->engine_run = router->engine_at[i].run;
      router->engine_seq = router->engine_at[i].seq;
    }
}

static void engines_note(router *router, const char *addr, uint64_t run, uint64_t seq) {
  size_t at = G_N_ELEMENTS(router->engine_at);
  for (size_t i = 0; i < G_N_ELEMENTS(router->engine_at); i++)
    if (!strcmp(router->engine_at[i].addr, addr))
      at = i;
  if (at == G_N_ELEMENTS(router->engine_at)) {
    at = router->engine_next++ % G_N_ELEMENTS(router->engine_at);
    g_strlcpy(router->engine_at[at].addr, addr, sizeof router->engine_at[at].addr);
  }
  router->engine_at[at].run = router->engine_run = run;
  router->engine_at[at].seq = router->engine_seq = seq;
}

/* whom to ask for news: a core machine, which holds the question until there are some; a core
 * machine that answers at once; or another router */
enum asked { REQUEST_CORE, REQUEST_SECOND, REQUEST_PEER };

static int64_t patience(const router *router, enum asked kind) {
  if (kind == REQUEST_CORE)
    return router->node.settings.relaxed
               ? CLAMP(3 * router->answer_ms, REQUEST_LOOSE_MS, REQUEST_SLOW_MS)
               : REQUEST_MS;
  return kind == REQUEST_SECOND ? SECOND_REQUEST_MS : PEER_REQUEST_MS;
}

static bool request_news(router *router, const char *addr, enum asked kind, id who) {
  time_us now = world_now(router->node.world);
  bool core = kind != REQUEST_PEER;
  uint64_t held[RESOURCE_COUNT];
  memcpy(held, router->res_at, sizeof held);
  Wire__ConfigPollRequest n = WIRE__CONFIG_POLL_REQUEST__INIT;
  n.epoch = router->epoch;
  n.sequence = router->seq;
  n.fleet_id = router->fleet;
  n.n_resource_versions = router->res_at[RESOURCE_CANARY] ? RESOURCE_COUNT : RESOURCE_CANARY;
  n.resource_versions = router->res_at;
  n.engine_list_age_ms =
      router->list_known ? (uint64_t)time_sub(now, router->list_at).us / 1000 + 1 : 0;
  n.want_engines = kind == REQUEST_CORE && router->on_engines;
  n.no_wait = kind == REQUEST_SECOND;
  n.deltas = core;
  if (n.want_engines) {
    engines_of(router, addr);
    n.registry_run = router->engine_run;
    n.registry_sequence = router->engine_seq;
  }
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, &n), *b;
  error err = { 0 };
  if (node_call(&router->node, addr, &m, time_from_ms(patience(router, kind)), &b, &err))
    return false;
  bool ok = false;
  if (b->body_case == WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE) {
    Wire__ConfigPollResponse *k = b->config_poll_response;
    int64_t took = time_sub(world_now(router->node.world), now).us / 1000;
    if (core)
      router->answer_ms = MAX(0, took - (int64_t)MIN(k->held_ms, REQUEST_SLOW_MS));
    bool moved = memcmp(held, router->res_at, sizeof held) != 0;
    bool got = k->changed && k->snapshot.len && install(router, &k->snapshot, addr, moved);
    bool level = k->sequence <= router->seq && router->config;
    ok = core ? k->confirmed : got;
    if (core && k->confirmed && level) {
      router->fresh = young(router->fresh, now);
      router->confirmed =
          young(router->confirmed,
                time_add(now, time_from_ms((int64_t)MIN(k->held_ms, REQUEST_LOOSE_MS))));
      router->sure = true;
    }
    if (core && k->epoch > router->epoch)
      router->epoch = k->epoch;
    if (core && k->epoch)
      router->core_at = world_now(router->node.world);
    if (core && k->n_controllers) {
      const char *hint = k->controllers[world_random(router->node.world, k->n_controllers)];
      if (address_is_valid(hint))
        g_strlcpy(router->core_hint, hint, sizeof router->core_hint);
    }
    if (n.want_engines && k->registry_run) {
      engines_note(router, addr, k->registry_run, k->registry_sequence);
      if (k->n_engines || k->engines_complete)
        router->on_engines(router->gateway, k);
    }
    /* what a router says counts from when it was asked, less the age that it gives; clocks are
     * never compared */
    peer_node *o = core ? NULL : node_find_peer(&router->node, who);
    if (o && k->confirmed_age_ms < 100000 && k->engine_list_age_ms < 100000000) {
      if (level && k->confirmed_age_ms) {
        time_us at = time_sub(now, time_from_ms((int64_t)k->confirmed_age_ms));
        if (within(router, at, FRESH_MS)) {
          router->fresh = young(router->fresh, at);
          router->sure = true;
        }
      }
      if (level && k->ever_confirmed) {
        o->confirmed_at = now;
        o->known_routers = MIN(k->known_routers, 10000);
      }
      if (!k->engine_list_age_ms || k->engine_list_age_ms > LIST_OLD_MS)
        o->list_outdated_at = now;
      time_us listed = time_sub(now, time_from_ms((int64_t)k->engine_list_age_ms));
      if (k->engine_list_age_ms && k->engine_list.len &&
          (!router->list_known || listed.us > router->list_at.us) &&
          !platform_heard(router, (string_view){ (char *)k->engine_list.data, k->engine_list.len },
                          listed))
        log_info(&router->node.log, "platform", "Refused a list that %s passed on (code %d).",
                 who.text, E_WIRE_MESSAGE);
    }
    condition_broadcast(&router->moved);
  }
  node_reply_free(b);
  return ok;
}

/* engines that leave are told by core machines at once, beside the news */
static int on_engines(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  (void)reply;
  if (in->from->role != ROLE_CONTROLLER)
    return error_set(err, E_WIRE_MESSAGE, "only core machines tell of engines");
  Wire__ConfigPollResponse b = WIRE__CONFIG_POLL_RESPONSE__INIT;
  b.n_engines = in->engine_update->n_engines;
  b.engines = in->engine_update->engines;
  if (router->on_engines && b.n_engines)
    router->on_engines(router->gateway, &b);
  return OK;
}

/* the core machine to ask: the one that was named, the one asked last, the one that confirmed while
 * that one was silent, or the next in turn */
static peer_node *core_to_request(router *router) {
  const char *wish = router->core_hint[0] ? router->core_hint
                     : router->core[0]    ? router->core
                                          : router->core_next;
  peer_node *peer = wish[0] ? node_pick_peer(&router->node, ROLE_CONTROLLER, wish) : NULL;
  if (!peer || strcmp(peer->address, wish))
    peer = sources_next(&router->sources, &router->node, NULL);
  router->core_hint[0] = router->core_next[0] = 0;
  return peer;
}

/* asks one controller after the other with the version held */
static void news_run(void *p) {
  router *router = p;
  for (;;) {
    peer_node *peer = core_to_request(router);
    if (peer)
      g_strlcpy(router->core, peer->address, sizeof router->core);
    time_us from = world_now(router->node.world);
    if (peer)
      sources_asked(&router->sources, router->core, from);
    if (peer && request_news(router, router->core, REQUEST_CORE, peer->self)) {
      /* an answer that came at once without news must not turn into a storm */
      int64_t calm = router->node.settings.relaxed ? CALM_LOOSE_MS : CALM_MS;
      if (!time_reached(world_now(router->node.world), time_add(from, time_from_ms(calm))) &&
          !world_sleep(router->node.world, time_from_ms(calm)))
        return;
      continue;
    }
    /* one that could not confirm is asked again only when all could not */
    if (peer)
      sources_failed(&router->sources, router->core, world_now(router->node.world));
    router->core[0] = 0;
    if (!world_sleep_with_jitter(router->node.world,
                                 time_from_ms(router->core_hint[0] || router->core_next[0] ? 30
                                              : peer                                       ? 120
                                                                                           : 250)))
      return;
  }
}

typedef struct {
  router *router;
  id who;
  char addr[48];
  int slot;
} poll_target;

/* a free place for a further question, or -1; those that are silent count as failed from here on */
static int second_slot(router *router, time_us now) {
  int slot = -1;
  for (int i = 0; i < SECOND_OPEN_MOST; i++) {
    second_request *s = &router->second_requests[i];
    if (!s->open)
      slot = i;
    else if (!s->late && time_reached(now, time_add(s->sent, time_from_ms(SECOND_LATE_MS)))) {
      s->late = true;
      sources_failed(&router->sources, s->addr, now);
    }
  }
  return slot;
}

/* one more core machine is asked beside the one that may be silent */
static void second_request_run(void *p) {
  poll_target *q = p;
  router *router = q->router;
  if (request_news(router, q->addr, REQUEST_SECOND, q->who))
    g_strlcpy(router->core_next, q->addr, sizeof router->core_next);
  else if (!router->second_requests[q->slot].late)
    sources_failed(&router->sources, q->addr, world_now(router->node.world));
  router->second_requests[q->slot].open = false;
  g_free(q);
}

/* A question to a core machine is held for up to a second, so a machine that is cut off or frozen
 * looks like one that has no news. When no machine has confirmed for a while what is in force here,
 * others are asked, one after the other, without waiting for the first; so an acknowledged write is
 * in force here SECOND_MS + SECOND_EACH_MS for each machine that is silent, and one exchange, after
 * its acknowledgement. */
static void second_run(void *p) {
  router *router = p;
  time_us last = { 0 };
  for (;;) {
    time_us now = world_now(router->node.world),
            due = young(time_add(router->confirmed, time_from_ms(SECOND_MS)),
                        time_add(last, time_from_ms(SECOND_EACH_MS)));
    if (!time_reached(now, due)) {
      if (!world_sleep(router->node.world, time_add(time_sub(due, now), time_from_ms(1))))
        return;
      continue;
    }
    last = now;
    int slot = second_slot(router, now);
    peer_node *peer = slot < 0 ? NULL
                               : sources_next(&router->sources, &router->node,
                                              router->core[0] ? router->core : NULL);
    if (!peer)
      continue;
    sources_asked(&router->sources, peer->address, now);
    poll_target *q = g_new0(poll_target, 1);
    q->router = router;
    q->who = peer->self;
    g_strlcpy(q->addr, peer->address, sizeof q->addr);
    q->slot = slot;
    router->second_requests[slot] = (second_request){ .sent = now, .open = true };
    g_strlcpy(router->second_requests[slot].addr, peer->address, sizeof q->addr);
    task_start(&router->node.world->tasks, "second", second_request_run, q);
  }
}

static void peer_run(void *p) {
  poll_target *q = p;
  request_news(q->router, q->addr, REQUEST_PEER, q->who);
  peer_node *peer = node_find_peer(&q->router->node, q->who);
  if (peer)
    peer->poll_pending = false;
  g_free(q);
}

/* when the core or the platform has been silent for a while, all routers are asked: for news, for
   how old their own confirmation is, and whether they know anything younger */
static void peers_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(250))) {
    bool told = within(router, router->fresh, 900) && within(router, router->list_at, 1300);
    router_may_enrol(router);
    if (told)
      continue;
    list_for_each (m, &router->node.peers, peer_node, link) {
      if (m->role != ROLE_ROUTER || m->draining || m->poll_pending)
        continue;
      m->poll_pending = true;
      poll_target *q = g_new0(poll_target, 1);
      q->router = router;
      q->who = m->self;
      g_strlcpy(q->addr, m->address, sizeof q->addr);
      task_start(&router->node.world->tasks, "peer", peer_run, q);
    }
  }
}

/* where routers that hear no news serve on, one other is asked now and then, and only while the
 * core is silent */
static void peer_of_loose_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(PEER_EACH_MS))) {
    if (router->config && within(router, router->core_at, SILENT_MS))
      continue;
    peer_node *peer = node_pick_peer(&router->node, ROLE_ROUTER, NULL);
    if (!peer || peer->gone)
      continue;
    id who = peer->self;
    char addr[48];
    g_strlcpy(addr, peer->address, sizeof addr);
    request_news(router, addr, REQUEST_PEER, who);
  }
}

/* what is in force is told again and again, since a cast may be lost and a head is new at times */
static void have_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(500)))
    if (router->config)
      announce_core(router);
}

/* tells another router what this one knows, how long ago it was confirmed, and the platform's list
 * if it is younger */
static int on_news(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  if (in->config_poll_request->fleet_id && router->fleet &&
      in->config_poll_request->fleet_id != router->fleet)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  time_us now = world_now(router->node.world);
  Wire__ConfigPollResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE,
                                               &wire__config_poll_response__descriptor);
  b->epoch = router->epoch;
  b->sequence = router->seq;
  b->confirmed_age_ms =
      router_is_fresh(router) ? (uint64_t)time_sub(now, router->fresh).us / 1000 + 1 : 0;
  b->ever_confirmed = router->sure;
  b->known_routers = (uint32_t)node_count_peers(&router->node, ROLE_ROUTER);
  b->engine_list_age_ms =
      router->list_known ? (uint64_t)time_sub(now, router->list_at).us / 1000 + 1 : 0;
  if (b->engine_list_age_ms && router->list->len &&
      (!in->config_poll_request->engine_list_age_ms ||
       in->config_poll_request->engine_list_age_ms > b->engine_list_age_ms + 200)) {
    b->engine_list.len = router->list->len;
    b->engine_list.data = reply_alloc(reply, router->list->len + 1);
    memcpy(b->engine_list.data, router->list->str, router->list->len);
  }
  b->changed = router->config && router->seq > in->config_poll_request->sequence;
  if (!b->changed)
    return OK;
  Wire__StateSnapshot d = WIRE__STATE_SNAPSHOT__INIT;
  Wire__Resource res[RESOURCE_COUNT], *parts[RESOURCE_COUNT];
  guint n = g_hash_table_size(router->grants), i = 0;
  Wire__SingletonGrant *gs = g_new(Wire__SingletonGrant, n + 1),
                       **gp = g_new(Wire__SingletonGrant *, n + 1);
  for (int k = 0; k < RESOURCE_COUNT; k++) {
    wire__resource__init(&res[k]);
    res[k].name = (char *)resource_names[k];
    res[k].version = router->res_at[k];
    res[k].text.data = (uint8_t *)router->resources[k]->str;
    res[k].text.len = router->resources[k]->len;
    parts[k] = &res[k];
  }
  GHashTableIter it;
  gpointer key, val;
  g_hash_table_iter_init(&it, router->grants);
  while (g_hash_table_iter_next(&it, &key, &val)) {
    wire__singleton_grant__init(&gs[i]);
    gs[i].singleton = key;
    gs[i].holder = ((granted *)val)->holder.text;
    gs[i].epoch = ((granted *)val)->epoch;
    gp[i] = &gs[i];
    i++;
  }
  d.fleet_id = router->fleet;
  d.sequence = router->seq;
  d.epoch = router->epoch;
  d.n_resources = router->res_at[RESOURCE_CANARY] ? RESOURCE_COUNT : RESOURCE_CANARY;
  d.resources = parts;
  d.n_grants = n;
  d.grants = gp;
  b->snapshot.len = wire__state_snapshot__get_packed_size(&d);
  b->snapshot.data = reply_alloc(reply, b->snapshot.len + 1);
  wire__state_snapshot__pack(&d, b->snapshot.data);
  g_free(gs);
  g_free(gp);
  return OK;
}

void news_start(router *router) {
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, on_news, router);
  task_start(&router->node.world->tasks, "news", news_run, router);
  if (router->node.settings.relaxed)
    task_start(&router->node.world->tasks, "second", second_run, router);
  /* a gateway takes these messages itself, since its fellows send them too */
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, on_engines, router);
  if (router->node.settings.relaxed) {
    task_start(&router->node.world->tasks, "peers", peer_of_loose_run, router);
    return;
  }
  task_start(&router->node.world->tasks, "peers", peers_run, router);
  task_start(&router->node.world->tasks, "have", have_run, router);
}
