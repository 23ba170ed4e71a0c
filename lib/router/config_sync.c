#include "router.h"
#include "delta.h"
#include "routing.h"
#include <stdlib.h>

enum {
  CONFIG_POLL_MS = 900,
  CONFIG_POLL_RELAXED_MS = 1500,
  CONTROLLER_TIMEOUT_MS = 2000,
  ROUTER_POLL_INTERVAL_MS = 500,
  MIN_POLL_INTERVAL_MS = 50,
  MIN_POLL_INTERVAL_RELAXED_MS = 100,
  /* with no confirmation for so long, another core machine is asked, and one more each so often */
  HEDGE_AFTER_MS = 600,
  HEDGE_INTERVAL_MS = 300,
  /* after so long one counts as silent, but its answer is waited for longer: a node that is busy
     gets all answers late, and has to take what they bring */
  HEDGED_POLL_OVERDUE_MS = 600,
  HEDGED_POLL_TIMEOUT_MS = 5000,
  /* the most that a question which is held may take, on a node whose answers come late */
  MAX_POLL_MS = 6000,
  ROUTER_POLL_TIMEOUT_MS = 600
};

typedef struct {
  id holder;
  uint64_t epoch;
} singleton_grant;

bool config_sync_is_recent(router *router) {
  return router->config_confirmed_at.us &&
         !time_reached(world_now(router->node.world),
                       time_add(router->config_confirmed_at, time_from_ms(CONFIRMATION_VALID_MS)));
}

bool config_sync_find_grant(router *router, const char *duty, id *holder, uint64_t *epoch) {
  singleton_grant *g = g_hash_table_lookup(router->singleton_grants, duty);
  if (!g)
    return false;
  *holder = g->holder;
  *epoch = g->epoch;
  return true;
}

/* tells the core what is in force here; an answer to an operator waits for most routers */
static void announce_version(router *router) {
  Wire__VersionReport h = WIRE__VERSION_REPORT__INIT;
  h.sequence = router->config_version;
  h.fleet_id = router->fleet_id;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_VERSION_REPORT, &h);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER && !peer->gone)
      node_send(&router->node, peer->address, &m);
}

static time_us later_of(time_us a, time_us b) {
  return a.us > b.us ? a : b;
}
static bool within(router *router, time_us at, int64_t ms) {
  return at.us && !time_reached(world_now(router->node.world), time_add(at, time_from_ms(ms)));
}

/* how many routers there are, as far as anybody in reach knows */
static int count_known_routers(router *router) {
  int n = node_count_peers(&router->node, ROLE_ROUTER);
  list_for_each (peer, &router->node.peers, peer_node, link)
    if (peer->role == ROLE_ROUTER && within(router, peer->confirmed_at, CONFIRMATION_VALID_MS))
      n = MAX(n, (int)peer->known_routers);
  return n;
}

/* a write is acknowledged when half of the routers have it, so more than half together know of it
 */
static bool majority_confirmed(router *router) {
  int n = router->ever_confirmed;
  list_for_each (peer, &router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && within(router, peer->confirmed_at, CONFIRMATION_VALID_MS);
  return n > count_known_routers(router) / 2;
}

static bool majority_without_list(router *router) {
  int n = 1;
  list_for_each (peer, &router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && within(router, peer->list_outdated_at, ENGINE_LIST_VALID_MS);
  return n > count_known_routers(router) / 2;
}

bool config_sync_may_admit(router *router) {
  bool may = router->config && router->engine_list_known &&
             (config_sync_is_recent(router) || majority_confirmed(router)) &&
             (within(router, router->engine_list_at, ENGINE_LIST_VALID_MS) ||
              majority_without_list(router));
  if (may)
    router->admission_lost_at = (time_us){ 0 };
  else if (!router->admission_lost_at.us)
    router->admission_lost_at = world_now(router->node.world);
  return may;
}

bool config_sync_wait_may_admit(router *router) {
  while (!config_sync_may_admit(router)) {
    time_us till = time_add(router->admission_lost_at, time_from_ms(1000)),
            now = world_now(router->node.world);
    if (time_reached(now, till))
      return false;
    time_us step = time_add(now, time_from_ms(100));
    if (condition_wait(&router->node.world->tasks, &router->state_changed,
                       step.us < till.us ? step : till) == WAKE_STOPPED)
      return false;
  }
  return true;
}

/* what is held here does not fit what came: all of it is asked for next */
static void request_full_snapshot(router *router, bool moved) {
  if (!moved)
    memset(router->resource_versions, 0, sizeof router->resource_versions);
}

/* installs a digest whole, or not at all; never one that is older. moved: what is held here changed
 * after the question was sent, so that a digest that does not fit proves nothing */
static bool install_snapshot(router *router, const ProtobufCBinaryData *b, const char *from,
                             bool moved) {
  Wire__StateSnapshot *d = wire__state_snapshot__unpack(NULL, b->len, b->data);
  if (!d)
    return false;
  bool ok = (!router->fleet_id || d->fleet_id == router->fleet_id) &&
            (d->sequence > router->config_version || !router->config);
  if (router->fleet_id && d->fleet_id != router->fleet_id)
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
    if (!part[k] || (part[k]->same && part[k]->version != router->resource_versions[k])) {
      request_full_snapshot(router, moved);
      ok = false;
      break;
    }
    if (part[k]->delta.len) {
      /* only what changed came; where it does not fit what is held here, the whole is asked for
       * next */
      GString *whole = g_string_new(NULL);
      ok = part[k]->base_version == router->resource_versions[k] &&
           delta_apply(string_view_of_gstring(router->resources[k]),
                       (string_view){ (char *)part[k]->delta.data, part[k]->delta.len }, whole);
      if (!ok) {
        request_full_snapshot(router, moved);
        g_string_free(whole, TRUE);
        break;
      }
      free(part[k]->text.data);
      part[k]->text.len = whole->len;
      part[k]->text.data = (uint8_t *)g_string_free(whole, FALSE);
    }
    /* what is compiled already is left as it is */
    if (k == RESOURCE_ROUTING && part[k]->version == router->resource_versions[k])
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
      routing_unref(router->routing);
      router->routing = routes;
    }
    router->fleet_id = d->fleet_id;
    router->config_version = d->sequence;
    router->view_epoch = MAX(router->view_epoch, d->epoch);
    for (int k = 0; k < RESOURCE_COUNT; k++) {
      if (!part[k]) {
        router->resource_versions[k] = 0;
        g_string_assign(router->resources[k], "{}");
        continue;
      }
      router->resource_versions[k] = part[k]->version;
      if (part[k]->same)
        continue;
      g_string_truncate(router->resources[k], 0);
      g_string_append_len(router->resources[k], (char *)part[k]->text.data, part[k]->text.len);
    }
    router->sync_bytes += b->len;
    router->sync_count++;
    g_hash_table_remove_all(router->singleton_grants);
    for (size_t i = 0; i < d->n_grants; i++) {
      singleton_grant *g = g_new0(singleton_grant, 1);
      g->holder = id_of_text(d->grants[i]->holder);
      g->epoch = d->grants[i]->epoch;
      g_hash_table_insert(router->singleton_grants, g_strdup(d->grants[i]->singleton), g);
    }
    event_history_set_window(&router->history, time_from_ms(config->rate_window_s * 1000));
    router->history.smoothing_factor = config->smoothing_factor;
    log_debug(&router->node.log, "news",
              "Version %" PRIu64 " of view %" PRIu64 " is in force, from %s.", d->sequence,
              d->epoch, from);
    condition_broadcast(&router->singleton_grants_changed);
    if (!router->node.settings.relaxed)
      announce_version(router);
    condition_broadcast(&router->state_changed);
    if (router->on_installed)
      router->on_installed(router->gateway);
  }
  wire__state_snapshot__free_unpacked(d, NULL);
  return config != NULL;
}

/* what this router has of one core machine's registry; such a machine's changes hold whenever they
 * come */
static void load_registry_position(router *router, const char *addr) {
  router->registry_run = router->registry_seq = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(router->registry_positions); i++)
    if (!strcmp(router->registry_positions[i].addr, addr)) {
      router->registry_run = router->registry_positions[i].run;
      router->registry_seq = router->registry_positions[i].seq;
    }
}

static void store_registry_position(router *router, const char *addr, uint64_t run, uint64_t seq) {
  size_t at = G_N_ELEMENTS(router->registry_positions);
  for (size_t i = 0; i < G_N_ELEMENTS(router->registry_positions); i++)
    if (!strcmp(router->registry_positions[i].addr, addr))
      at = i;
  if (at == G_N_ELEMENTS(router->registry_positions)) {
    at = router->registry_position_next++ % G_N_ELEMENTS(router->registry_positions);
    g_strlcpy(router->registry_positions[at].addr, addr,
              sizeof router->registry_positions[at].addr);
  }
  router->registry_positions[at].run = router->registry_run = run;
  router->registry_positions[at].seq = router->registry_seq = seq;
}

/* whom to ask for news: a core machine, which holds the question until there are some; a core
 * machine that answers at once; or another router */
enum poll_kind { POLL_CONTROLLER, POLL_CONTROLLER_HEDGED, POLL_ROUTER };

static int64_t poll_timeout_ms(const router *router, enum poll_kind kind) {
  if (kind == POLL_CONTROLLER)
    return router->node.settings.relaxed
               ? CLAMP(3 * router->last_answer_ms, CONFIG_POLL_RELAXED_MS, MAX_POLL_MS)
               : CONFIG_POLL_MS;
  return kind == POLL_CONTROLLER_HEDGED ? HEDGED_POLL_TIMEOUT_MS : ROUTER_POLL_TIMEOUT_MS;
}

static bool poll_config(router *router, const char *addr, enum poll_kind kind, id who) {
  time_us now = world_now(router->node.world);
  bool core = kind != POLL_ROUTER;
  uint64_t held[RESOURCE_COUNT];
  memcpy(held, router->resource_versions, sizeof held);
  Wire__ConfigPollRequest n = WIRE__CONFIG_POLL_REQUEST__INIT;
  n.epoch = router->view_epoch;
  n.sequence = router->config_version;
  n.fleet_id = router->fleet_id;
  n.n_resource_versions =
      router->resource_versions[RESOURCE_CANARY] ? RESOURCE_COUNT : RESOURCE_CANARY;
  n.resource_versions = router->resource_versions;
  n.engine_list_age_ms =
      router->engine_list_known ? (uint64_t)time_sub(now, router->engine_list_at).us / 1000 + 1 : 0;
  n.want_engines = kind == POLL_CONTROLLER && router->on_engines_changed;
  n.no_wait = kind == POLL_CONTROLLER_HEDGED;
  n.deltas = core;
  if (n.want_engines) {
    load_registry_position(router, addr);
    n.registry_run = router->registry_run;
    n.registry_sequence = router->registry_seq;
  }
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, &n), *b;
  error err = { 0 };
  if (node_call(&router->node, addr, &m, time_from_ms(poll_timeout_ms(router, kind)), &b, &err))
    return false;
  bool ok = false;
  if (b->body_case == WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE) {
    Wire__ConfigPollResponse *k = b->config_poll_response;
    int64_t took = time_sub(world_now(router->node.world), now).us / 1000;
    if (core)
      router->last_answer_ms = MAX(0, took - (int64_t)MIN(k->held_ms, MAX_POLL_MS));
    bool moved = memcmp(held, router->resource_versions, sizeof held) != 0;
    bool got = k->changed && k->snapshot.len && install_snapshot(router, &k->snapshot, addr, moved);
    bool level = k->sequence <= router->config_version && router->config;
    ok = core ? k->confirmed : got;
    if (core && k->confirmed && level) {
      router->config_confirmed_at = later_of(router->config_confirmed_at, now);
      router->controller_confirmed_at =
          later_of(router->controller_confirmed_at,
                   time_add(now, time_from_ms((int64_t)MIN(k->held_ms, CONFIG_POLL_RELAXED_MS))));
      router->ever_confirmed = true;
    }
    if (core && k->epoch > router->view_epoch)
      router->view_epoch = k->epoch;
    if (core && k->epoch)
      router->controller_answered_at = world_now(router->node.world);
    if (core && k->n_controllers) {
      const char *hint = k->controllers[world_random(router->node.world, k->n_controllers)];
      if (address_is_valid(hint))
        g_strlcpy(router->controller_hint, hint, sizeof router->controller_hint);
    }
    if (n.want_engines && k->registry_run) {
      store_registry_position(router, addr, k->registry_run, k->registry_sequence);
      if (k->n_engines || k->engines_complete)
        router->on_engines_changed(router->gateway, k);
    }
    /* what a router says counts from when it was asked, less the age that it gives; clocks are
     * never compared */
    peer_node *o = core ? NULL : node_find_peer(&router->node, who);
    if (o && k->confirmed_age_ms < 100000 && k->engine_list_age_ms < 100000000) {
      if (level && k->confirmed_age_ms) {
        time_us at = time_sub(now, time_from_ms((int64_t)k->confirmed_age_ms));
        if (within(router, at, CONFIRMATION_VALID_MS)) {
          router->config_confirmed_at = later_of(router->config_confirmed_at, at);
          router->ever_confirmed = true;
        }
      }
      if (level && k->ever_confirmed) {
        o->confirmed_at = now;
        o->known_routers = MIN(k->known_routers, 10000);
      }
      if (!k->engine_list_age_ms || k->engine_list_age_ms > ENGINE_LIST_VALID_MS)
        o->list_outdated_at = now;
      time_us listed = time_sub(now, time_from_ms((int64_t)k->engine_list_age_ms));
      if (k->engine_list_age_ms && k->engine_list.len &&
          (!router->engine_list_known || listed.us > router->engine_list_at.us) &&
          !engine_list_merge(
              router, (string_view){ (char *)k->engine_list.data, k->engine_list.len }, listed))
        log_info(&router->node.log, "platform", "Refused a list that %s passed on (code %d).",
                 who.text, E_WIRE_MESSAGE);
    }
    condition_broadcast(&router->state_changed);
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
  if (router->on_engines_changed && b.n_engines)
    router->on_engines_changed(router->gateway, &b);
  return OK;
}

/* the core machine to ask: the one that was named, the one asked last, the one that confirmed while
 * that one was silent, or the next in turn */
static peer_node *choose_controller(router *router) {
  const char *wish = router->controller_hint[0]     ? router->controller_hint
                     : router->polled_controller[0] ? router->polled_controller
                                                    : router->confirming_controller;
  peer_node *peer = wish[0] ? node_pick_peer(&router->node, ROLE_CONTROLLER, wish) : NULL;
  if (!peer || strcmp(peer->address, wish))
    peer = controller_selection_next(&router->controller_selection, &router->node, NULL);
  router->controller_hint[0] = router->confirming_controller[0] = 0;
  return peer;
}

/* asks one controller after the other with the version held */
static void poll_controllers_run(void *p) {
  router *router = p;
  for (;;) {
    peer_node *peer = choose_controller(router);
    if (peer)
      g_strlcpy(router->polled_controller, peer->address, sizeof router->polled_controller);
    time_us from = world_now(router->node.world);
    if (peer)
      controller_selection_mark_asked(&router->controller_selection, router->polled_controller,
                                      from);
    if (peer && poll_config(router, router->polled_controller, POLL_CONTROLLER, peer->self)) {
      /* an answer that came at once without news must not turn into a storm */
      int64_t calm =
          router->node.settings.relaxed ? MIN_POLL_INTERVAL_RELAXED_MS : MIN_POLL_INTERVAL_MS;
      if (!time_reached(world_now(router->node.world), time_add(from, time_from_ms(calm))) &&
          !world_sleep(router->node.world, time_from_ms(calm)))
        return;
      continue;
    }
    /* one that could not confirm is asked again only when all could not */
    if (peer)
      controller_selection_mark_failed(&router->controller_selection, router->polled_controller,
                                       world_now(router->node.world));
    router->polled_controller[0] = 0;
    if (!world_sleep_with_jitter(
            router->node.world,
            time_from_ms(router->controller_hint[0] || router->confirming_controller[0] ? 30
                         : peer                                                         ? 120
                                                                                        : 250)))
      return;
  }
}

typedef struct {
  router *router;
  id self;
  char address[48];
  int poll_index;
} poll_target;

/* a free place for a further question, or -1; those that are silent count as failed from here on */
static int free_hedged_poll(router *router, time_us now) {
  int slot = -1;
  for (int i = 0; i < MAX_HEDGED_POLLS; i++) {
    hedged_poll *s = &router->hedged_polls[i];
    if (!s->in_flight)
      slot = i;
    else if (!s->overdue &&
             time_reached(now, time_add(s->sent_at, time_from_ms(HEDGED_POLL_OVERDUE_MS)))) {
      s->overdue = true;
      controller_selection_mark_failed(&router->controller_selection, s->address, now);
    }
  }
  return slot;
}

/* one more core machine is asked beside the one that may be silent */
static void hedged_poll_run(void *p) {
  poll_target *q = p;
  router *router = q->router;
  if (poll_config(router, q->address, POLL_CONTROLLER_HEDGED, q->self))
    g_strlcpy(router->confirming_controller, q->address, sizeof router->confirming_controller);
  else if (!router->hedged_polls[q->poll_index].overdue)
    controller_selection_mark_failed(&router->controller_selection, q->address,
                                     world_now(router->node.world));
  router->hedged_polls[q->poll_index].in_flight = false;
  g_free(q);
}

/* A question to a core machine is held for up to a second, so a machine that is cut off or frozen
 * looks like one that has no news. When no machine has confirmed for a while what is in force here,
 * others are asked, one after the other, without waiting for the first; so an acknowledged write is
 * in force here SECOND_MS + SECOND_EACH_MS for each machine that is silent, and one exchange, after
 * its acknowledgement. */
static void hedging_run(void *p) {
  router *router = p;
  time_us last = { 0 };
  for (;;) {
    time_us now = world_now(router->node.world),
            due = later_of(time_add(router->controller_confirmed_at, time_from_ms(HEDGE_AFTER_MS)),
                           time_add(last, time_from_ms(HEDGE_INTERVAL_MS)));
    if (!time_reached(now, due)) {
      if (!world_sleep(router->node.world, time_add(time_sub(due, now), time_from_ms(1))))
        return;
      continue;
    }
    last = now;
    int slot = free_hedged_poll(router, now);
    peer_node *peer = slot < 0
                          ? NULL
                          : controller_selection_next(
                                &router->controller_selection, &router->node,
                                router->polled_controller[0] ? router->polled_controller : NULL);
    if (!peer)
      continue;
    controller_selection_mark_asked(&router->controller_selection, peer->address, now);
    poll_target *q = g_new0(poll_target, 1);
    q->router = router;
    q->self = peer->self;
    g_strlcpy(q->address, peer->address, sizeof q->address);
    q->poll_index = slot;
    router->hedged_polls[slot] = (hedged_poll){ .sent_at = now, .in_flight = true };
    g_strlcpy(router->hedged_polls[slot].address, peer->address, sizeof q->address);
    task_start(&router->node.world->tasks, "second", hedged_poll_run, q);
  }
}

static void poll_router_run(void *p) {
  poll_target *q = p;
  poll_config(q->router, q->address, POLL_ROUTER, q->self);
  peer_node *peer = node_find_peer(&q->router->node, q->self);
  if (peer)
    peer->poll_pending = false;
  g_free(q);
}

/* when the core or the platform has been silent for a while, all routers are asked: for news, for
   how old their own confirmation is, and whether they know anything younger */
static void poll_all_routers_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(250))) {
    bool told = within(router, router->config_confirmed_at, 900) &&
                within(router, router->engine_list_at, 1300);
    config_sync_may_admit(router);
    if (told)
      continue;
    list_for_each (m, &router->node.peers, peer_node, link) {
      if (m->role != ROLE_ROUTER || m->draining || m->poll_pending)
        continue;
      m->poll_pending = true;
      poll_target *q = g_new0(poll_target, 1);
      q->router = router;
      q->self = m->self;
      g_strlcpy(q->address, m->address, sizeof q->address);
      task_start(&router->node.world->tasks, "peer", poll_router_run, q);
    }
  }
}

/* where routers that hear no news serve on, one other is asked now and then, and only while the
 * core is silent */
static void poll_one_router_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(ROUTER_POLL_INTERVAL_MS))) {
    if (router->config && within(router, router->controller_answered_at, CONTROLLER_TIMEOUT_MS))
      continue;
    peer_node *peer = node_pick_peer(&router->node, ROLE_ROUTER, NULL);
    if (!peer || peer->gone)
      continue;
    id who = peer->self;
    char addr[48];
    g_strlcpy(addr, peer->address, sizeof addr);
    poll_config(router, addr, POLL_ROUTER, who);
  }
}

/* what is in force is told again and again, since a cast may be lost and a head is new at times */
static void announce_version_run(void *p) {
  router *router = p;
  while (world_sleep_with_jitter(router->node.world, time_from_ms(500)))
    if (router->config)
      announce_version(router);
}

/* tells another router what this one knows, how long ago it was confirmed, and the platform's list
 * if it is younger */
static int on_config_poll(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  router *router = ctx;
  if (in->config_poll_request->fleet_id && router->fleet_id &&
      in->config_poll_request->fleet_id != router->fleet_id)
    return error_set(err, E_VIEW_MISMATCH, "another fleet");
  time_us now = world_now(router->node.world);
  Wire__ConfigPollResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_CONFIG_POLL_RESPONSE,
                                               &wire__config_poll_response__descriptor);
  b->epoch = router->view_epoch;
  b->sequence = router->config_version;
  b->confirmed_age_ms = config_sync_is_recent(router)
                            ? (uint64_t)time_sub(now, router->config_confirmed_at).us / 1000 + 1
                            : 0;
  b->ever_confirmed = router->ever_confirmed;
  b->known_routers = (uint32_t)node_count_peers(&router->node, ROLE_ROUTER);
  b->engine_list_age_ms =
      router->engine_list_known ? (uint64_t)time_sub(now, router->engine_list_at).us / 1000 + 1 : 0;
  if (b->engine_list_age_ms && router->engine_list_json->len &&
      (!in->config_poll_request->engine_list_age_ms ||
       in->config_poll_request->engine_list_age_ms > b->engine_list_age_ms + 200)) {
    b->engine_list.len = router->engine_list_json->len;
    b->engine_list.data = reply_alloc(reply, router->engine_list_json->len + 1);
    memcpy(b->engine_list.data, router->engine_list_json->str, router->engine_list_json->len);
  }
  b->changed = router->config && router->config_version > in->config_poll_request->sequence;
  if (!b->changed)
    return OK;
  Wire__StateSnapshot d = WIRE__STATE_SNAPSHOT__INIT;
  Wire__Resource res[RESOURCE_COUNT], *parts[RESOURCE_COUNT];
  guint n = g_hash_table_size(router->singleton_grants), i = 0;
  Wire__SingletonGrant *gs = g_new(Wire__SingletonGrant, n + 1),
                       **gp = g_new(Wire__SingletonGrant *, n + 1);
  for (int k = 0; k < RESOURCE_COUNT; k++) {
    wire__resource__init(&res[k]);
    res[k].name = (char *)resource_names[k];
    res[k].version = router->resource_versions[k];
    res[k].text.data = (uint8_t *)router->resources[k]->str;
    res[k].text.len = router->resources[k]->len;
    parts[k] = &res[k];
  }
  GHashTableIter it;
  gpointer key, val;
  g_hash_table_iter_init(&it, router->singleton_grants);
  while (g_hash_table_iter_next(&it, &key, &val)) {
    wire__singleton_grant__init(&gs[i]);
    gs[i].singleton = key;
    gs[i].holder = ((singleton_grant *)val)->holder.text;
    gs[i].epoch = ((singleton_grant *)val)->epoch;
    gp[i] = &gs[i];
    i++;
  }
  d.fleet_id = router->fleet_id;
  d.sequence = router->config_version;
  d.epoch = router->view_epoch;
  d.n_resources = router->resource_versions[RESOURCE_CANARY] ? RESOURCE_COUNT : RESOURCE_CANARY;
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

void config_sync_start(router *router) {
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_CONFIG_POLL_REQUEST, on_config_poll,
                        router);
  task_start(&router->node.world->tasks, "news", poll_controllers_run, router);
  if (router->node.settings.relaxed)
    task_start(&router->node.world->tasks, "second", hedging_run, router);
  /* a gateway takes these messages itself, since its fellows send them too */
  node_register_handler(&router->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, on_engines, router);
  if (router->node.settings.relaxed) {
    task_start(&router->node.world->tasks, "peers", poll_one_router_run, router);
    return;
  }
  task_start(&router->node.world->tasks, "peers", poll_all_routers_run, router);
  task_start(&router->node.world->tasks, "have", announce_version_run, router);
}
