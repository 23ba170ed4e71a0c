/** @file
 * Rules about configurations: the service that ran a request shows which configurations may have
 * been in force, and these are compared with the changes that the operator sent and controllers
 * acknowledged. */
#include "gateway_check_allowed.h"
#include "gateway_check_index.h"

static const allowed_config *config_at(const GArray *configs, guint i) {
  return &g_array_index(configs, allowed_config, i);
}

void gateway_check_route(deployment *deployment) {
  check_index index = check_index_new(deployment);
  GArray *configs = allowed_configs_new(deployment);
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    const engine_run_record *run = deployment->log->runs->pdata[i];
    const client_sim_attempt *attempt =
        check_was_run(run) ? check_index_attempt(&index, run->request_id) : NULL;
    if (attempt && !allowed_configs_permit(configs, attempt, run->service.text))
      fleet_add_violation(deployment->fleet, "ROUTE %s on %s was run by %s of %s", run->request_id,
                          attempt->target, run->engine.text, run->service.text);
  }
  allowed_configs_free(configs);
  check_index_free(&index);
}

/* CONFIG, first part: the changes that controllers acknowledged */

static void check_forked(const deployment *deployment, const operator_sim_change *earlier,
                         const operator_sim_change *later) {
  if (earlier->acked_at.us && later->acked_at.us && earlier->base == later->base &&
      strcmp(earlier->text, later->text))
    fleet_add_violation(deployment->fleet,
                        "CONFIG versions %" PRIu64 " and %" PRIu64
                        " were both acknowledged with base %" PRIu64,
                        earlier->version, later->version, later->base);
}

static void check_acknowledged(const deployment *deployment) {
  const GPtrArray *changes = deployment->operator->changes;
  for (guint i = 0; i < changes->len; i++) {
    const operator_sim_change *change = changes->pdata[i];
    if (!change->valid && change->acked_at.us)
      fleet_add_violation(deployment->fleet,
                          "CONFIG the invalid version %" PRIu64 " was acknowledged",
                          change->version);
    for (guint k = 0; k < i; k++)
      check_forked(deployment, changes->pdata[k], change);
  }
}

/* second part: each attempt follows a configuration that may have been in force */

/* the newest version that was acknowledged early enough to be in force everywhere when an attempt
 * was sent, or 0 */
static uint64_t min_version(const GArray *configs, const client_sim_attempt *attempt) {
  uint64_t min = 0;
  for (guint i = 0; i < configs->len; i++) {
    const operator_sim_change *change = config_at(configs, i)->change;
    if (change->acked_at.us && change->acked_at.us + APPLY_MS * 1000 < attempt->sent_at.us)
      min = MAX(min, change->version);
  }
  return min;
}

static bool was_rejected(const operator_sim_change *change) {
  return change->done && !change->acked_at.us && change->status >= 400;
}

enum explanation { EXPLAINED, ONLY_BY_REJECTED_VERSION, BY_NO_VERSION };

/* whether some version from min_version on explains that a service ran an attempt, or, with service
 * NULL, that it was not found */
static enum explanation explain(const GArray *configs, const client_sim_attempt *attempt,
                                const char *service, uint64_t min_version) {
  enum explanation result = BY_NO_VERSION;
  for (guint i = 0; i < configs->len; i++) {
    const allowed_config *config = config_at(configs, i);
    if (config->change->version < min_version || config->change->sent_at.us > attempt->ended_at.us)
      continue;
    bool permits = allowed_config_permits(config, attempt, service);
    if (permits != (service != NULL))
      continue;
    if (!was_rejected(config->change))
      return EXPLAINED;
    result = ONLY_BY_REJECTED_VERSION;
  }
  return result;
}

/* the service of the last run of an attempt, or NULL */
static const char *service_of_attempt(const check_index *index, const client_sim_attempt *attempt) {
  const GPtrArray *runs = check_index_runs(index, attempt);
  const char *service = NULL;
  for (guint i = 0; i < runs->len; i++) {
    const engine_run_record *run = runs->pdata[i];
    if (check_was_run(run))
      service = run->service.text;
  }
  return service;
}

static void check_attempt_explained(const check_index *index, const GArray *configs,
                                    const client_sim_attempt *attempt) {
  const char *service = service_of_attempt(index, attempt);
  bool not_found = attempt->outcome == 's' && attempt->status == 404;
  if (!service && !not_found)
    return;
  uint64_t min = min_version(configs, attempt);
  enum explanation explanation = explain(configs, attempt, not_found ? NULL : service, min);
  if (explanation == EXPLAINED || check_sent_in_fault(index->deployment, attempt))
    return;
  fleet_add_violation(index->fleet, "CONFIG %s on %s was %s%s at %s, which %s", attempt->request_id,
                      attempt->target, not_found ? "not found" : "run by ",
                      not_found ? "" : service, attempt->node,
                      explanation == ONLY_BY_REJECTED_VERSION ? "only a rejected version allows"
                      : min ? "neither the newest acknowledged version nor a later one allows"
                            : "no version allows");
}

/* third part: no process of a gateway reverts to an older configuration */

/* the newest version that a gateway has shown, and when */
typedef struct shown_version {
  uint64_t version;
  time_us at;
} shown_version;

static void check_run_not_reverted(const check_index *index, const GArray *configs,
                                   const host *host, const client_sim_attempt *attempt,
                                   const engine_run_record *run, shown_version *shown) {
  uint64_t lowest = UINT64_MAX, highest = 0;
  for (guint i = 0; i < configs->len; i++) {
    const allowed_config *config = config_at(configs, i);
    if (!allowed_config_permits(config, attempt, run->service.text))
      continue;
    lowest = MIN(lowest, config->change->version);
    highest = MAX(highest, config->change->version);
  }
  if (highest && highest < shown->version && attempt->sent_at.us > shown->at.us + REVERT_MS * 1000)
    fleet_add_violation(index->fleet, "CONFIG %s reverted from version %" PRIu64 " to %" PRIu64,
                        host->self.text, shown->version, highest);
  if (lowest != UINT64_MAX && lowest > shown->version)
    *shown = (shown_version){ lowest, run->received_at };
}

static void check_gateway_not_reverted(const check_index *index, const GArray *configs,
                                       const host *host) {
  const deployment *deployment = index->deployment;
  shown_version shown = { 0 };
  if (host->incarnation > 1)
    return;
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    const client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    const GPtrArray *runs = check_index_runs(index, attempt);
    if (!runs->len || check_host_of_ip(deployment, attempt->node) != host)
      continue;
    for (guint k = 0; k < runs->len; k++)
      if (check_was_run(runs->pdata[k]))
        check_run_not_reverted(index, configs, host, attempt, runs->pdata[k], &shown);
  }
}

/* fourth part: the configuration that the operator read back */

static bool is_same_text(const json *a, const json *b) {
  GString *text_a = g_string_new(NULL), *text_b = g_string_new(NULL);
  json_write(a, text_a);
  json_write(b, text_b);
  bool same = g_string_equal(text_a, text_b);
  g_string_free(text_a, TRUE);
  g_string_free(text_b, TRUE);
  return same;
}

/* for a patch, only the number of routes is compared, since their order is not specified */
static bool is_read_as_sent(const json *read, const allowed_config *config) {
  if (config->change->patch)
    return json_count(json_get(read, "routes")) == json_count(json_get(config->json, "routes"));
  return is_same_text(read, config->json);
}

static void check_read_text(const deployment *deployment, const GArray *configs) {
  const operator_sim *operator= deployment->operator;
  json *read = json_parse(string_view_of_gstring(operator->read_text), NULL);
  bool known = false, same = false;
  for (guint i = 0; i < configs->len && !same; i++) {
    const allowed_config *config = config_at(configs, i);
    if (config->change->version != operator->read_version)
      continue;
    known = true;
    same = is_read_as_sent(read, config);
  }
  if (known && !same)
    fleet_add_violation(deployment->fleet,
                        "CONFIG version %" PRIu64 " that was read back differs from the one sent",
                        operator->read_version);
  json_free(read);
}

static void check_read(const deployment *deployment, const GArray *configs) {
  const operator_sim *operator= deployment->operator;
  uint64_t acknowledged = 0;
  if (!operator->read_at.us)
    return;
  for (guint i = 0; i < configs->len; i++) {
    const operator_sim_change *change = config_at(configs, i)->change;
    if (change->acked_at.us)
      acknowledged = MAX(acknowledged, change->version);
  }
  if (operator->read_version<acknowledged)
    fleet_add_violation(deployment->fleet,
                        "CONFIG version %" PRIu64 " was read back, but %" PRIu64
                        " was acknowledged",
                        operator->read_version, acknowledged);
  check_read_text(deployment, configs);
}

void gateway_check_config(deployment *deployment) {
  check_index index = check_index_new(deployment);
  GArray *configs = allowed_configs_new(deployment);
  check_acknowledged(deployment);
  for (guint i = 0; i < deployment->client->attempts->len; i++)
    check_attempt_explained(&index, configs, deployment->client->attempts->pdata[i]);
  for (int i = 0; i < deployment->fleet->routers; i++)
    check_gateway_not_reverted(&index, configs, deployment->fleet->router[i]);
  check_read(deployment, configs);
  allowed_configs_free(configs);
  check_index_free(&index);
}
