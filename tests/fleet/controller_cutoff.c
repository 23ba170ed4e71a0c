#include "deployment.h"
#include "gateway_check.h"
#include "tests.h"
#include <stdio.h>
#include <stdlib.h>

/**
 * A controller is cut off or frozen for about 20 s while operators change the configuration and
 * engines drain and return. The checks use only what is visible from outside: the responses of
 * gateways on routes that were just added, and the responses of controllers to configuration
 * changes.
 */

enum {
  /* A gateway without a fault of its own applies a configuration within this time after its
   * acknowledgement, whether the controllers are settled or not: 600 ms until a hedged poll, plus a
   * round trip. Each further controller that does not respond adds IN_FORCE_MARGIN_MS. The platform
   * allows APPLY_MS, and more while the controllers are unsettled. */
  IN_FORCE_MS = 800,
  IN_FORCE_MARGIN_MS = 300,
  PROBE_INTERVAL_MS = 100,
  PROBE_TIMEOUT_MS = 900,
  /* A controller that receives a configuration change directly responds within this time. */
  RESPONSE_TIMEOUT_MS = 1000,
  /* The controllers are settled once SETTLING_MS have passed since the last fault among them
   * began or ended. A configuration change that is sent then is acknowledged within SETTLED_ACK_MS,
   * including the client's backoff. One that is sent earlier waits for the next view and its leases
   * (up to 3 s when the head receives nothing but can still send), and for the client's current
   * attempt and backoff, at most 2.6 s. When two of five controllers are lost, the first view may
   * have too few members for a write, and a second view change follows (SECOND_VIEW_MS). */
  SETTLED_ACK_MS = 2000,
  SETTLING_MS = 2500,
  UNSETTLED_ACK_MS = 5600,
  SECOND_VIEW_MS = 4000,
  DIRECT_AFTER_MS = 1300,
  CUT_MS = 20000
};

/** One request to one gateway on the route that a configuration version added. */
typedef struct probe_result {
  int gateway, status;
  uint64_t version, incarnation;
  time_us sent;
} probe_result;

/** What was observed from outside in one run. */
typedef struct watch {
  deployment *deployment;
  fleet *fleet;
  host *client_host;
  GArray *probe_results;
  /* latest acknowledged version, and base version of the next change */
  uint64_t acked, version;
  /* when a link between controllers or a controller process last changed */
  time_us controllers_changed_at;
  int frozen;
  bool stop;
} watch;

typedef struct prober {
  watch *w;
  int gateway;
} prober;

static void copy_ip(const host *host, char *ip, size_t n) {
  g_strlcpy(ip, host->addr, n);
  ip[strcspn(ip, ":")] = 0;
}

/* Sends one request and returns the status of its response, or 0 if there is none. */
static int request_status(watch *w, const char *to, const char *verb, const char *path,
                          const fields *fields, const char *body, int64_t ms) {
  GString *got = g_string_new(NULL);
  world *from = &w->client_host->world;
  http_call *call =
      http_call_open_pooled(from, to, verb, path, fields, string_view_of(body), true, time_never());
  int r = http_call_read_all(call, got, time_add(world_now(from), time_from_ms(ms)));
  int status = r ? 0 : call->status;
  http_call_close(call);
  g_string_free(got, TRUE);
  return status;
}

static void probe_run(void *p) {
  prober *b = p;
  watch *w = b->w;
  host *host = w->fleet->router[b->gateway];
  char ip[48], to[64], path[64];
  copy_ip(host, ip, sizeof ip);
  snprintf(to, sizeof to, "%s:8144", ip);
  while (!w->stop && world_sleep(&w->client_host->world, time_from_ms(PROBE_INTERVAL_MS))) {
    probe_result a = { b->gateway, 0, w->acked, host->incarnation, w->deployment->sim->now };
    if (a.version < 2 || !host->alive)
      continue;
    fields *fields = g_string_new(NULL);
    fields_add(fields, "Host", string_view_of("front.example"));
    snprintf(path, sizeof path, "/mark-%" PRIu64 "/x", a.version);
    a.status = request_status(w, to, "GET", path, fields, "", PROBE_TIMEOUT_MS);
    g_string_free(fields, TRUE);
    if (a.incarnation == host->incarnation)
      g_array_append_val(w->probe_results, a);
  }
  g_free(b);
}

static watch *watch_new(deployment *deployment) {
  watch *w = g_new0(watch, 1);
  *w = (watch){ .deployment = deployment,
                .fleet = deployment->fleet,
                .probe_results = g_array_new(FALSE, TRUE, sizeof(probe_result)),
                .acked = 1,
                .version = 1 };
  w->client_host = sim_add_host(deployment->sim, HOST_OTHER, "watcher", "mid", "127.0.0.60:1");
  host_start(w->client_host);
  for (int i = 0; i < deployment->fleet->routers; i++) {
    prober *b = g_new0(prober, 1);
    *b = (prober){ w, i };
    task_start(&w->client_host->world.tasks, "probe", probe_run, b);
  }
  return w;
}

/* Changes */

static char *marker_route_json(uint64_t version) {
  return g_strdup_printf("{\"version\":%" PRIu64 ",\"set\":{\"routes\":[{\"name\":\"r-mark-%" PRIu64
                         "\",\"host\":\"front.example\",\"prefix\":\"/mark-%" PRIu64
                         "/\",\"mode\":\"safe\",\"timeoutMs\":60,\"targetMs\":50,\"priority\":0,"
                         "\"service\":\"spare\",\"attempts\":1}]}}",
                         version, version, version);
}

static bool controllers_settled(const watch *w, time_us at) {
  return !w->controllers_changed_at.us || at.us > w->controllers_changed_at.us + SETTLING_MS * 1000;
}

/* Waits for the response to a configuration change and checks that it is an acknowledgement that
 * came in time. */
static void await_acknowledgement(watch *w, operator_sim_change *change, bool settled,
                                  const char *what) {
  while (!change->done)
    sim_run(w->deployment->sim, time_from_ms(10));
  if (!change->acked_at.us) {
    fleet_add_violation(w->fleet, "%s to version %" PRIu64 " was never acknowledged (status %d)",
                        what, change->version, change->status);
    return;
  }
  int64_t took_ms = time_sub(change->acked_at, change->sent_at).us / 1000;
  int64_t max_ms = (settled ? SETTLED_ACK_MS : UNSETTLED_ACK_MS) + w->frozen * 1000;
  if (!settled && w->fleet->controllers > 3)
    max_ms += SECOND_VIEW_MS;
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step ack%s %.3f\n", settled ? " settled" : "", (double)took_ms / 1000);
  if (took_ms > max_ms)
    fleet_add_violation(w->fleet,
                        "%s to version %" PRIu64 " took %" PRId64 " ms, with controllers %s", what,
                        change->version, took_ms, settled ? "settled" : "not settled");
  w->acked = MAX(w->acked, change->version);
}

static void send_change(watch *w) {
  uint64_t version = w->version + 1 + sim_random(w->deployment->sim, 3);
  char *text = marker_route_json(version);
  bool settled = controllers_settled(w, w->deployment->sim->now);
  operator_sim_change *k =
      operator_sim_send(w->deployment->operator, version, w->version, true, text, true);
  g_free(text);
  w->version = version;
  await_acknowledgement(w, k, settled, "configuration change");
}

/* Two operators send a change on the same base version at once: exactly one is acknowledged. */
static void send_racing_changes(watch *w) {
  uint64_t one = w->version + 1, two = w->version + 2;
  char *a = marker_route_json(one), *b = marker_route_json(two);
  operator_sim_change *x = operator_sim_send(w->deployment->operator, one, w->version, true, a,
                                             true),
                      *y = operator_sim_send(w->deployment->operator, two, w->version, true, b,
                                             true);
  g_free(a);
  g_free(b);
  while (!x->done || !y->done)
    sim_run(w->deployment->sim, time_from_ms(10));
  if (!x->acked_at.us == !y->acked_at.us)
    fleet_add_violation(w->fleet, "two racing changes of version %" PRIu64 " got status %d and %d",
                        w->version, x->status, y->status);
  w->version = y->acked_at.us ? two : one;
  w->acked = MAX(w->acked, w->version);
}

static bool is_refusal(int status) {
  return status == 307 || status == 503 || status == 504;
}

/* Sends a valid change to a controller that is cut off, which must refuse it, and then, as clients
 * do, to any controller. */
static void send_change_to_cut_off(watch *w, host *controller) {
  uint64_t version = w->version + 1;
  char *text = marker_route_json(version), ip[48], to[64];
  const dialect *dialect = &dialect_native;
  const dialect_path *how = &dialect->calls[DC_CONFIG_PATCH];
  copy_ip(controller, ip, sizeof ip);
  snprintf(to, sizeof to, "%s:8100", ip);
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(to));
  fields_add(fields, "Content-Type", string_view_of("application/json"));
  fields_add_format(fields, dialect->header_names[DF_BASE_VERSION], "%" PRIu64, w->version);
  world *from = &w->client_host->world;
  http_call *call = http_call_open_pooled(from, to, how->method, how->path, fields,
                                          string_view_of(text), true, time_never());
  g_string_free(fields, TRUE);
  time_us sent = w->deployment->sim->now;
  while (!call->status && !call->broken &&
         w->deployment->sim->now.us < sent.us + RESPONSE_TIMEOUT_MS * 1000)
    sim_run(w->deployment->sim, time_from_ms(5));
  if (!is_refusal(call->status))
    fleet_add_violation(
        w->fleet, "%s is cut off and responded with %d to a valid change after %.3f s",
        controller->self.text, call->status, (double)(w->deployment->sim->now.us - sent.us) / 1e6);
  http_call_close(call);
  bool settled = controllers_settled(w, w->deployment->sim->now);
  operator_sim_change *change =
      operator_sim_send(w->deployment->operator, version, w->version, true, text, true);
  g_free(text);
  w->version = version;
  await_acknowledgement(w, change, settled, "retried configuration change");
}

/* Faults */

static void cut_between(watch *w, host *a, host *b, int way, bool cut) {
  if (way != 2)
    sim_set_partition(w->deployment->sim, a->self.text, b->self.text, cut);
  if (way != 1)
    sim_set_partition(w->deployment->sim, b->self.text, a->self.text, cut);
}

/* way: 0 cuts both directions, 1 what the controller sends, 2 what it receives. */
static void cut_controller(watch *w, host *controller, int way, bool cut) {
  for (int i = 0; i < w->fleet->controllers; i++)
    if (w->fleet->controller[i] != controller)
      cut_between(w, controller, w->fleet->controller[i], way, cut);
  w->controllers_changed_at = w->deployment->sim->now;
}

static void cut_gateway(watch *w, host *gateway, const host *except, int way, bool cut) {
  for (int i = 0; i < w->fleet->controllers; i++)
    if (w->fleet->controller[i] != except)
      cut_between(w, gateway, w->fleet->controller[i], way, cut);
}

static host *most_polled_controller(fleet *fleet) {
  int best = 0, max_polls = -1;
  for (int m = 0; m < fleet->controllers; m++) {
    int polls = 0;
    for (int v = 0; v < fleet->routers; v++)
      polls += fleet->router[v]->router &&
               !strcmp(fleet->router[v]->router->controllers.polled_controller,
                       fleet->controller[m]->addr);
    if (polls > max_polls) {
      max_polls = polls;
      best = m;
    }
  }
  return fleet->controller[best];
}

/* Picks the head, the tail, the controller that most gateways poll, or a random one. */
static host *pick_controller(fleet *fleet, const host *except) {
  host *h[] = { fleet_find_head(fleet), fleet_find_tail(fleet), most_polled_controller(fleet),
                fleet->controller[sim_random(fleet->sim, fleet->controllers)] };
  host *got = h[sim_random(fleet->sim, 4)];
  for (int i = 0; !got || got == except; i++)
    got = fleet->controller[i];
  return got;
}

static void drain_random_engine(watch *w) {
  deployment_process *process =
      w->deployment
          ->engine_processes[sim_random(w->deployment->sim, w->deployment->model_engine_count)];
  if (process->engine && process->host->alive)
    registering_engine_sim_drain(process->engine, 0);
}

static void restart_engines(watch *w) {
  for (size_t i = 0; i < w->deployment->model_engine_count; i++)
    if (!w->deployment->engine_processes[i]->host->alive)
      host_start(w->deployment->engine_processes[i]->host);
}

/* Runs one random step; a step takes about a second. */
static void random_step(watch *w, host *cut_off, bool direct) {
  int64_t begun = w->deployment->sim->now.us;
  uint64_t what = sim_random(w->deployment->sim, 8);
  if (what == 0)
    send_racing_changes(w);
  else if (what == 1)
    drain_random_engine(w);
  else if (what < 4 && cut_off && direct)
    send_change_to_cut_off(w, cut_off);
  else
    send_change(w);
  restart_engines(w);
  int64_t left =
      begun + 300000 + (int64_t)sim_random(w->deployment->sim, 900000) - w->deployment->sim->now.us;
  if (left > 0)
    sim_run(w->deployment->sim, (time_us){ left });
}

static void run_steps(watch *w, int64_t ms, host *cut_off, bool direct) {
  time_us from = w->deployment->sim->now;
  while (w->deployment->sim->now.us < from.us + ms * 1000) {
    bool late = w->deployment->sim->now.us > from.us + DIRECT_AFTER_MS * 1000;
    bool soon_over =
        w->deployment->sim->now.us + (RESPONSE_TIMEOUT_MS + 200) * 1000 > from.us + ms * 1000;
    random_step(w, cut_off, direct && late && !soon_over);
  }
}

/* Checks */

static bool had_fault(const watch *w, const host *host, time_us at) {
  for (guint i = 0; i < w->deployment->injected_faults->len; i++) {
    injected_fault *t = &g_array_index(w->deployment->injected_faults, injected_fault, i);
    if (t->host == host && t->from_at.us <= at.us &&
        t->until.us + FAULT_AFTERMATH_MS * 1000 >= at.us)
      return true;
  }
  return false;
}

static const operator_sim_change *change_of(const watch *w, uint64_t version) {
  for (guint i = 0; i < w->deployment->operator->changes->len; i++) {
    operator_sim_change *change = w->deployment->operator->changes->pdata[i];
    if (change->version == version && change->acked_at.us)
      return change;
  }
  return NULL;
}

/* Checks that every gateway without a fault applied each version within the time limit. */
static void check_config_delay(watch *w) {
  double worst = 0;
  int64_t max_ms = IN_FORCE_MS + (w->fleet->controllers > 3 ? IN_FORCE_MARGIN_MS : 0);
  for (guint i = 0; i < w->probe_results->len; i++) {
    probe_result *a = &g_array_index(w->probe_results, probe_result, i);
    const operator_sim_change *change = change_of(w, a->version);
    host *host = w->fleet->router[a->gateway];
    if (a->status != 404 || !change || had_fault(w, host, a->sent))
      continue;
    double age = (double)(a->sent.us - change->acked_at.us) / 1e6;
    worst = MAX(worst, age);
    if (age * 1000 > (double)max_ms)
      fleet_add_violation(w->fleet,
                          "%s has not applied version %" PRIu64 " %.3f s after its acknowledgement",
                          host->self.text, a->version, age);
  }
  if (g_getenv("SIM_COUNT"))
    fprintf(stderr, "  step age %.3f\n", worst);
}

/* Checks that no gateway reverts to an older version once it has applied a newer one. */
static void check_no_config_revert(watch *w) {
  for (int v = 0; v < w->fleet->routers; v++) {
    uint64_t seen = 0, incarnation = 0;
    time_us at = { 0 };
    for (guint i = 0; i < w->probe_results->len; i++) {
      probe_result *a = &g_array_index(w->probe_results, probe_result, i);
      if (a->gateway != v || !a->status)
        continue;
      if (a->incarnation != incarnation)
        seen = 0;
      incarnation = a->incarnation;
      if (a->status == 404 && a->version <= seen && a->sent.us > at.us + REVERT_MS * 1000)
        fleet_add_violation(w->fleet,
                            "%s had applied version %" PRIu64 " and later lacked version %" PRIu64,
                            w->fleet->router[v]->self.text, seen, a->version);
      if (a->status != 404 && a->version > seen) {
        seen = a->version;
        at = a->sent;
      }
    }
  }
}

static bool watch_done(watch *w) {
  deployment *deployment = w->deployment;
  fleet *fleet = w->fleet;
  sim_run(deployment->sim, time_from_ms(4000));
  deployment_finish_traffic(deployment);
  operator_sim_read(deployment->operator);
  sim_run(deployment->sim, time_from_ms(4000));
  w->stop = true;
  sim_run(deployment->sim, time_from_ms(1500));
  if (deployment->operator->read_version<w->acked)
    fleet_add_violation(
        fleet, "version %" PRIu64 " was acknowledged, but version %" PRIu64 " is read back",
        w->acked, deployment->operator->read_version);
  if (w->probe_results->len < 200)
    fleet_add_violation(fleet, "only %u probes of gateways were recorded", w->probe_results->len);
  check_config_delay(w);
  check_no_config_revert(w);
  bool ok = deployment_finish(deployment, 0.6);
  g_array_free(w->probe_results, TRUE);
  g_free(w);
  return ok;
}

/* Tests */

static watch *start_watch(fleet *fleet, int members) {
  for (int i = fleet->controllers; i < members; i++) {
    char name[32], addr[48];
    snprintf(name, sizeof name, "controller-%d", i + 1);
    snprintf(addr, sizeof addr, "127.0.1.%d:7000", i + 1);
    host *host = fleet->controller[fleet->controllers++] =
        sim_add_host(fleet->sim, HOST_CONTROLLER, name, fleet->zones[i % 3].text, addr);
    host->settings = fleet->controller[0]->settings;
    host->settings.self = host->self;
    host->settings.zone = host->zone;
    g_strlcpy(host->settings.address, host->addr, sizeof host->settings.address);
  }
  for (int i = 0; i < fleet->controllers; i++) {
    fleet->controller[i]->settings.chain_members = members;
    fleet->controller[i]->settings.write_replicas = members / 2 + 1;
    fleet->controller[i]->settings.write_zones = 1;
  }
  fleet->sim->tcp_channels = true;
  deployment *deployment = deployment_new(fleet, 4, 2);
  if (!deployment_bring_up(deployment)) {
    deployment_finish(deployment, 0);
    return NULL;
  }
  deployment_start_traffic(deployment, 0.3);
  watch *w = watch_new(deployment);
  run_steps(w, 3000, NULL, false);
  return w;
}

/* Reproduces a failure on the users' platform: a gateway is cut off, reconnects for some seconds,
 * and then a controller is cut off. The gateway's channels must have recovered from the first
 * partition by then. */
static bool a_gateway_reconnects_and_a_controller_is_cut_off(fleet *fleet) {
  watch *w = start_watch(fleet, 3);
  if (!w)
    return false;
  deployment *deployment = w->deployment;
  host *gateway = fleet->router[sim_random(fleet->sim, fleet->routers)];
  int way = (int)sim_random(fleet->sim, 3);
  int64_t cut_ms = 13000 + (int64_t)sim_random(fleet->sim, 9000);
  /* from all controllers, or from all except the one that is cut off next */
  host *controller = pick_controller(fleet, NULL),
       *except = sim_random(fleet->sim, 2) ? controller : NULL;
  deployment_record_fault(deployment, gateway, 'n', cut_ms);
  cut_gateway(w, gateway, except, way, true);
  run_steps(w, cut_ms, NULL, false);
  cut_gateway(w, gateway, except, way, false);
  for (guint i = 0; i < deployment->injected_faults->len; i++)
    g_array_index(deployment->injected_faults, injected_fault, i).until = deployment->sim->now;
  run_steps(w, 1000 + (int64_t)sim_random(fleet->sim, 3000), NULL, false);
  deployment_record_fault(deployment, NULL, 'c', 12000);
  cut_controller(w, controller, 0, true);
  run_steps(w, 4000 + (int64_t)sim_random(fleet->sim, 3000), controller, true);
  cut_controller(w, controller, 0, false);
  run_steps(w, 6000, NULL, false);
  return watch_done(w);
}

static bool cut_off_for_long(fleet *fleet, int members, int count) {
  watch *w = start_watch(fleet, members);
  if (!w)
    return false;
  deployment *deployment = w->deployment;
  host *cut[2] = { pick_controller(fleet, NULL), NULL };
  if (count > 1)
    cut[1] = pick_controller(fleet, cut[0]);
  int way = (int)sim_random(fleet->sim, 3);
  deployment_record_fault(deployment, NULL, 'c', CUT_MS + 14000);
  for (int i = 0; i < count; i++)
    cut_controller(w, cut[i], way, true);
  run_steps(w, CUT_MS + (int64_t)sim_random(fleet->sim, 6000),
            cut[sim_random(fleet->sim, (uint64_t)count)], true);
  /* sends changes at the moment the controllers return */
  for (int i = 0; i < count; i++)
    cut_controller(w, cut[i], way, false);
  send_racing_changes(w);
  run_steps(w, 8000, NULL, false);
  return watch_done(w);
}

static bool a_controller_is_cut_off_for_long(fleet *fleet) {
  return cut_off_for_long(fleet, 3, 1);
}
static bool two_of_five_controllers_are_cut_off_for_long(fleet *fleet) {
  return cut_off_for_long(fleet, 5, 2);
}

static bool frozen_for_long(fleet *fleet, int members, int count) {
  watch *w = start_watch(fleet, members);
  if (!w)
    return false;
  deployment *deployment = w->deployment;
  host *cut[2] = { pick_controller(fleet, NULL), NULL };
  if (count > 1)
    cut[1] = pick_controller(fleet, cut[0]);
  deployment_record_fault(deployment, NULL, 'c', CUT_MS + 14000);
  for (int i = 0; i < count; i++)
    host_freeze(cut[i]);
  w->controllers_changed_at = deployment->sim->now;
  w->frozen = count;
  run_steps(w, CUT_MS, NULL, false);
  for (int i = 0; i < count; i++)
    host_unfreeze(cut[i]);
  w->controllers_changed_at = deployment->sim->now;
  send_racing_changes(w);
  w->frozen = 0;
  run_steps(w, 8000, NULL, false);
  return watch_done(w);
}

static bool a_controller_is_frozen_for_long(fleet *fleet) {
  return frozen_for_long(fleet, 3, 1);
}
static bool two_of_five_controllers_are_frozen_for_long(fleet *fleet) {
  return frozen_for_long(fleet, 5, 2);
}

/* Whether a gateway has applied the latest acknowledged version, judged by its latest response on
 * the route that a version added. */
static bool has_latest(watch *w, int gateway) {
  for (guint i = w->probe_results->len; i > 0; i--) {
    probe_result *a = &g_array_index(w->probe_results, probe_result, i - 1);
    if (a->gateway == gateway && a->status)
      return a->version == w->acked && a->status != 404;
  }
  return false;
}

/* A gateway that is short of CPU reads every message seconds late. It must not discard the
 * responses to its own polls. */
static bool a_busy_gateway_accepts_late_responses(fleet *fleet) {
  watch *w = start_watch(fleet, 3);
  if (!w)
    return false;
  host *busy = fleet->router[0];
  deployment_record_fault(w->deployment, busy, 'c', 40000);
  busy->read_delay_ms = 1800 + (int64_t)sim_random(fleet->sim, 1200);
  run_steps(w, 10000, NULL, false);
  /* No more changes are sent: the acknowledged version reaches the gateway with one late response,
   * or with a second one if the first was too old. */
  sim_run(w->deployment->sim, time_from_ms(3 * busy->read_delay_ms + 2000));
  if (!has_latest(w, 0))
    fleet_add_violation(fleet,
                        "a gateway that reads %" PRId64 " ms late never applied version %" PRIu64,
                        busy->read_delay_ms, w->acked);
  busy->read_delay_ms = 0;
  run_steps(w, 4000, NULL, false);
  return watch_done(w);
}

/* Processes restart with the controller that is cut off as their first or only seed address. */
static bool processes_restart_with_a_cut_off_seed(fleet *fleet) {
  watch *w = start_watch(fleet, 3);
  if (!w)
    return false;
  deployment *deployment = w->deployment;
  host *controller = pick_controller(fleet, NULL);
  deployment_record_fault(deployment, NULL, 'c', CUT_MS + 14000);
  cut_controller(w, controller, 0, true);
  run_steps(w, 2000 + (int64_t)sim_random(fleet->sim, 3000), controller, true);
  bool only = sim_random(fleet->sim, 2);
  list_for_each (h, &deployment->sim->hosts, host, link) {
    if (h->role > HOST_ROUTER)
      continue;
    for (int i = 2; i > 0 && !only; i--)
      g_strlcpy(h->settings.seed_addresses[i], h->settings.seed_addresses[i - 1],
                sizeof h->settings.seed_addresses[i]);
    for (int i = 1; i < 3 && only; i++)
      h->settings.seed_addresses[i][0] = 0;
    g_strlcpy(h->settings.seed_addresses[0], controller->addr,
              sizeof h->settings.seed_addresses[0]);
  }
  int again = 1 + (int)sim_random(fleet->sim, 2);
  for (int i = 0; i < again; i++) {
    deployment_record_fault(deployment, fleet->router[i], 'k', 500);
    host_kill(fleet->router[i]);
  }
  if (sim_random(fleet->sim, 2))
    host_kill(controller);
  sim_run(deployment->sim, time_from_ms(500));
  for (int i = 0; i < again; i++)
    host_start(fleet->router[i]);
  if (!controller->alive)
    host_start(controller);
  w->controllers_changed_at = deployment->sim->now;
  run_steps(w, CUT_MS, controller, true);
  cut_controller(w, controller, 0, false);
  send_racing_changes(w);
  run_steps(w, 8000, NULL, false);
  return watch_done(w);
}

const test_case controller_cutoff_tests[] = {
  { "a_gateway_reconnects_and_a_controller_is_cut_off",
    a_gateway_reconnects_and_a_controller_is_cut_off, 4, 0, 100 },
  { "a_controller_is_cut_off_for_long", a_controller_is_cut_off_for_long, 4, 0, 100 },
  { "two_of_five_controllers_are_cut_off_for_long", two_of_five_controllers_are_cut_off_for_long, 4,
    0, 100 },
  { "a_controller_is_frozen_for_long", a_controller_is_frozen_for_long, 4, 0, 500 },
  { "two_of_five_controllers_are_frozen_for_long", two_of_five_controllers_are_frozen_for_long, 4,
    0, 100 },
  { "a_busy_gateway_accepts_late_responses", a_busy_gateway_accepts_late_responses, 4, 0, 100 },
  { "processes_restart_with_a_cut_off_seed", processes_restart_with_a_cut_off_seed, 4, 0, 100 },
  { NULL, NULL, 0, 0, 0 }
};
