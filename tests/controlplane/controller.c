/** Tests of the operators' API in lib/controlplane/resource_api.c: conditional and repeated writes,
 * invalid and large resources. The fleet has three controllers, two or three routers and two
 * engines.
 */
#include "scenario.h"
#include "tests.h"
#include <stdio.h>

static bool concurrent_writes_conflict(fleet *fleet) {
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  for (int i = 0; i < 6; i++) {
    host *tail = fleet_find_tail(fleet);
    operator_call *read =
        fleet_call(fleet, tail, "GET", "/v1/evacuation", NULL, NULL, NULL, time_from_ms(5000));
    char if_match[32], race_key[32], *first = scenario_evacuation_json(i % 4),
                                     *second = scenario_evacuation_json(4 + i % 4);
    snprintf(race_key, sizeof race_key, "race-%d", i);
    snprintf(if_match, sizeof if_match, "%" PRIu64, read->version);
    operator_call_free(read);
    operator_call *a = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PUT",
                                  "/v1/evacuation", first, if_match, race_key),
                  *b = fleet_send(fleet, fleet->controller[sim_random(fleet->sim, 3)], "PATCH",
                                  "/v1/evacuation", second, if_match, NULL);
    sim_run(fleet->sim, time_from_ms(3000));
    if ((a->status == 200) + (b->status == 200) != 1 ||
        (a->status == 412) + (b->status == 412) != 1)
      fleet_add_violation(fleet, "two concurrent writes of one version got %d and %d", a->status,
                          b->status);
    operator_call_free(a);
    operator_call_free(b);
    /* a retry is not applied again */
    char key[32];
    snprintf(key, sizeof key, "again-%d", i);
    a = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/evacuation", first, NULL, key,
                   time_from_ms(5000));
    b = fleet_call(fleet, fleet->controller[1], "PUT", "/v1/evacuation", first, NULL, key,
                   time_from_ms(5000));
    if (a->status != 200 || b->status != 200 || a->version != b->version)
      fleet_add_violation(fleet, "a write and its retry gave versions %" PRIu64 " and %" PRIu64,
                          a->version, b->version);
    operator_call_free(a);
    operator_call_free(b);
    b = fleet_call(fleet, fleet->controller[2], "PUT", "/v1/evacuation", second, NULL, key,
                   time_from_ms(5000));
    if (b->status != 422)
      fleet_add_violation(fleet, "an idempotency key used for another request got %d", b->status);
    operator_call_free(b);
    g_free(first);
    g_free(second);
  }
  return true;
}

static bool invalid_configurations_are_refused(fleet *fleet) {
  static const struct {
    const char *resource, *text;
    int status, code;
  } bad[] = { { "catalogue", "{", 400, E_JSON },
              { "catalogue", "{\"models\":[{\"id\":\"x\"}]}", 400, E_FIELD },
              { "catalogue", "{\"models\":[{\"id\":\"x\",\"weightsMb\":-1}]}", 400, E_RANGE },
              { "catalogue", "{\"models\":[],\"adapters\":[{\"id\":\"a\",\"model\":\"none\"}]}",
                400, E_NAME },
              { "catalogue", "{\"models\":[{\"id\":\"a b\",\"weightsMb\":1}]}", 400, E_NAME },
              { "policy", "{\"eviction\":\"best\"}", 400, E_NAME },
              { "policy", "{\"loadsPerS\":\"2\"}", 400, E_TYPE },
              { "policy", "{\"loadsPerS\":1e999}", 400, E_RANGE },
              { "policy", "{\"speed\":2}", 400, E_FIELD },
              { "policy", "{\"rules\":[{\"when\":{\"kind\":\"none\"},\"then\":[\"refuse\"]}]}", 400,
                E_NAME },
              { "policy", "{\"rules\":[{\"then\":[\"answer\",\"enrol\"]}]}", 400, E_RANGE },
              { "policy", "{\"kinds\":[{\"id\":\"a\",\"share\":0.7},{\"id\":\"b\",\"share\":0.7}]}",
                400, E_RANGE },
              { "evacuation", "{\"areas\":[{\"area\":\"nowhere\"}]}", 400, E_NAME },
              { "evacuation", "{\"areas\":[{\"area\":\"north\",\"share\":2}]}", 400, E_RANGE },
              { "evacuation", "[]", 400, E_TYPE },
              { "evacuation", "{\"areas\":[],\"areas\":[]}", 400, E_FIELD },
              { "policy", "", 400, E_JSON } };
  if (!fleet_bring_up(fleet))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    char path[40];
    snprintf(path, sizeof path, "/v1/%s", bad[i].resource);
    operator_call *call = fleet_call(fleet, fleet->controller[i % 3], "PUT", path, bad[i].text,
                                     NULL, NULL, time_from_ms(5000));
    json *json = json_parse(string_view_of_gstring(call->body), NULL);
    if (call->status != bad[i].status || (int)json_number(json, "code", 0) != bad[i].code)
      fleet_add_violation(fleet, "%s got %d, %s", bad[i].text, call->status, call->body->str);
    json_free(json);
    operator_call_free(call);
  }
  /* a catalogue without a zone that an evacuation names is refused as well */
  if (!fleet_put(fleet, "evacuation", "{\"areas\":[{\"area\":\"north\",\"share\":0}]}"))
    return false;
  operator_call *call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/catalogue",
                                   "{\"areas\":[\"mid\"]}", NULL, NULL, time_from_ms(5000));
  if (call->status != 400)
    fleet_add_violation(fleet, "a catalogue without a zone in use got %d", call->status);
  operator_call_free(call);
  call = fleet_call(fleet, fleet->controller[0], "GET", "/v1/nothing", NULL, NULL, NULL,
                    time_from_ms(5000));
  if (call->status != 404)
    fleet_add_violation(fleet, "an unknown path got %d", call->status);
  operator_call_free(call);
  return true;
}

static bool large_resources_are_replicated(fleet *fleet) {
  for (int i = 0; i < 3; i++)
    fleet->controller[i]->settings.log_file_bytes = 8 << 20;
  if (!fleet_bring_up(fleet))
    return false;
  fleet_start_sampling(fleet);
  char *big = fleet_catalogue_json(12000, 12000, NULL);
  uint64_t version = fleet_put(fleet, "catalogue", big);
  if (!version)
    fleet_add_violation(fleet, "a catalogue of %zu bytes was refused", strlen(big));
  g_free(big);
  sim_run(fleet->sim, time_from_ms(2500));
  for (int i = 0; i < fleet->routers; i++)
    if (fleet->router[i]->router->sync.config_version < version)
      fleet_add_violation(fleet, "R4 %s does not have the large catalogue after 2.5 s",
                          fleet->router[i]->self.text);
  /* it is sent in chunks to a controller with an empty disk, and survives a power loss */
  host *host = fleet->controller[sim_random(fleet->sim, 3)];
  host_power_off(host);
  host_wipe_disk(host);
  host_start(host);
  if (!scenario_wait_for_chain(fleet, 3, 20000))
    return false;
  for (int i = 0; i < 3; i++)
    host_power_off(fleet->controller[i]);
  for (int i = 0; i < 3; i++)
    host_start(fleet->controller[i]);
  if (!scenario_wait_for_chain(fleet, 3, 20000))
    return false;
  scenario_check_acknowledged_writes(fleet);
  GString *oversized = g_string_new("{\"areas\":[");
  while (oversized->len < (1 << 20))
    json_appendf(oversized, "%s\"area-with-a-long-name-%zu\"",
                 oversized->str[oversized->len - 1] == '[' ? "" : ",", oversized->len);
  g_string_append(oversized, "]}");
  operator_call *call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/catalogue",
                                   oversized->str, NULL, NULL, time_from_ms(9000));
  for (int i = 0; i < 10 && call->status == 503; i++) {
    operator_call_free(call);
    sim_run(fleet->sim, time_from_ms(500));
    call = fleet_call(fleet, fleet->controller[0], "PUT", "/v1/catalogue", oversized->str, NULL,
                      NULL, time_from_ms(9000));
  }
  if (call->status != 413 && call->status != 400)
    fleet_add_violation(fleet, "a resource of %zu bytes got %d", oversized->len, call->status);
  operator_call_free(call);
  g_string_free(oversized, TRUE);
  return true;
}

const test_case controller_tests[] = {
  { "concurrent_writes_conflict", concurrent_writes_conflict, 2, 2, 100 },
  { "invalid_configurations_are_refused", invalid_configurations_are_refused, 2, 2, 20 },
  { "large_resources_are_replicated", large_resources_are_replicated, 3, 2, 34 },
  { NULL, NULL, 0, 0, 0 }
};
