/** @file
 * R4 by policy markers: each policy that the operator writes has a rule that refuses requests for
 * one model with a status code unique to that policy, so the response to such a request shows which
 * policy is in force at the router. */
#include "fleet.h"
#include <stdio.h>

enum {
  /** Status codes of markers. With more markers than codes the codes are no longer unique, and
   * probes are not checked. */
  MARKER_STATUS_MIN = 420,
  MARKER_STATUS_COUNT = 80,
  /** Time until an acknowledged policy is in force everywhere. */
  POLICY_APPLY_MS = 2000,
  PROBE_INTERVAL_MS = 350,
  PROBE_TIMEOUT_MS = 3000,
  /** The longest time that a response is in transit; it shows the policy in force when it was sent.
   */
  RESPONSE_TRANSIT_MS = 200
};

void fleet_write_policy_marker(fleet *fleet) {
  host *controller = fleet->controller[sim_random(fleet->sim, fleet->controllers)];
  if (!controller->alive || controller->frozen)
    return;
  int status = MARKER_STATUS_MIN + fleet->marker_count++ % MARKER_STATUS_COUNT;
  char *text = g_strdup_printf(
      "{\"rules\":[{\"when\":{\"model\":\"mark\"},\"then\":[{\"op\":\"refuse\",\"status\":%d}]},%s]}",
      status, fleet->rules);
  char key[40];
  snprintf(key, sizeof key, "mark-%d", fleet->marker_count);
  operator_call *call = fleet_send(fleet, controller, "PATCH", "/v1/policy", text, NULL, key);
  call->write->marker_status = status;
  call->self_freeing = true;
  g_free(text);
}

/* a task that probes one router */
typedef struct policy_prober {
  fleet *fleet;
  int router;
} policy_prober;

static policy_probe send_probe(const policy_prober *prober) {
  fleet *fleet = prober->fleet;
  world *world = &fleet->prober->world;
  const host *router = fleet->router[prober->router];
  policy_probe probe = { .sent_at = world_now(world),
                         .router = prober->router,
                         .incarnation = router->incarnation };
  GString *body = g_string_new(NULL);
  error err = { 0 };
  probe.status = http_call_fetch(world, router->addr, "POST", "/v1/generate", NULL,
                                 string_view_of("{\"model\":\"mark\"}"), body,
                                 time_from_ms(PROBE_TIMEOUT_MS), &err);
  json *json = json_parse(string_view_of_gstring(body), NULL);
  probe.code = json_number(json, "code", 0);
  json_free(json);
  g_string_free(body, TRUE);
  probe.received_at = world_now(world);
  return probe;
}

static void probe_task(void *argument) {
  policy_prober *prober = argument;
  fleet *fleet = prober->fleet;
  while (world_sleep_with_jitter(&fleet->prober->world, time_from_ms(PROBE_INTERVAL_MS))) {
    if (!fleet->probing)
      continue;
    policy_probe probe = send_probe(prober);
    if (probe.status)
      g_array_append_val(fleet->probes, probe);
  }
  g_free(prober);
}

void fleet_start_policy_probes(fleet *fleet) {
  fleet->probing = true;
  for (int i = 0; i < fleet->routers; i++) {
    policy_prober *prober = g_new(policy_prober, 1);
    *prober = (policy_prober){ fleet, i };
    task_start(&fleet->prober->world.tasks, "probe", probe_task, prober);
  }
}

static const operator_write *find_marker_write(const fleet *fleet, int status) {
  for (guint i = 0; i < fleet->writes->len; i++) {
    const operator_write *write = fleet->writes->pdata[i];
    if (write->marker_status == status)
      return write;
  }
  return NULL;
}

/* the newest marker that was acknowledged early enough to be in force at an instant, or NULL */
static const operator_write *required_marker_write(const fleet *fleet, time_us at) {
  const operator_write *required = NULL;
  for (guint i = 0; i < fleet->writes->len; i++) {
    const operator_write *write = fleet->writes->pdata[i];
    if (write->marker_status && write->status == 200 &&
        write->ended_at.us + POLICY_APPLY_MS * 1000 <= at.us &&
        (!required || write->version > required->version))
      required = write;
  }
  return required;
}

/* the newest marker that a router has shown, and when */
typedef struct shown_marker {
  uint64_t version;
  time_us at;
} shown_marker;

/* the earliest time at which the response to a probe may have been sent */
static time_us response_sent_at(const policy_probe *probe) {
  time_us response_at = time_sub(probe->received_at, time_from_ms(RESPONSE_TRANSIT_MS));
  return response_at.us < probe->sent_at.us ? probe->sent_at : response_at;
}

static void check_not_reverted(fleet *fleet, const policy_probe *probe,
                               const operator_write *marker, shown_marker *shown) {
  if (marker->version < shown->version && probe->sent_at.us > shown->at.us)
    fleet_add_violation(fleet, "R4 %s reverted from write %" PRIu64 " to %" PRIu64,
                        fleet->router[probe->router]->self.text, shown->version, marker->version);
  if (marker->version > shown->version)
    *shown = (shown_marker){ marker->version, probe->received_at };
}

static void check_probe(fleet *fleet, const policy_probe *probe, shown_marker *shown) {
  const char *router = fleet->router[probe->router]->self.text;
  time_us response_at = response_sent_at(probe);
  const operator_write *required = required_marker_write(fleet, response_at);
  double age_s = required ? (double)time_sub(response_at, required->ended_at).us / 1e6 : 0;
  /* a router that admits no requests shows no policy */
  if (probe->status == 503 || probe->status == 429 || fleet->marker_count > MARKER_STATUS_COUNT)
    return;
  if (probe->code != E_REJECTED_BY_RULE) {
    if (required)
      fleet_add_violation(
          fleet, "R4 %s accepts a request %.2f s after a rule that refuses it was acknowledged",
          router, age_s);
    return;
  }
  const operator_write *marker = find_marker_write(fleet, probe->status);
  if (!marker || marker->status != 200)
    return;
  if (required && marker->version < required->version)
    fleet_add_violation(fleet,
                        "R4 %s responds with marker %d of write %" PRIu64
                        ", %.2f s after write %" PRIu64 " was acknowledged",
                        router, probe->status, marker->version, age_s, required->version);
  check_not_reverted(fleet, probe, marker, shown);
}

void fleet_check_policy_markers(fleet *fleet) {
  shown_marker *shown = g_new0(shown_marker, fleet->routers);
  for (guint i = 0; i < fleet->probes->len; i++) {
    const policy_probe *probe = &g_array_index(fleet->probes, policy_probe, i);
    check_probe(fleet, probe, &shown[probe->router]);
  }
  g_free(shown);
}
