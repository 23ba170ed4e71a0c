/**
 * Injection of a day's faults. Beginning a fault can schedule its end. A fault whose target is down
 * already has no effect and no end, except DAY_ENGINE_DEGRADED, which changes the engine's plan, so
 * that it also affects a restarted engine.
 */
#include "day_inject.h"
#include "day_config.h"
#include <math.h>

enum { CHANGE_POLL_MS = 50, CHANGE_POLLS_MAX = 600 };
/* probability that a run fails at a degraded engine */
static const double DEGRADED_FAILURES = 0.5;

/* an event of the schedule: the beginning or end of a fault */
typedef struct scheduled_event {
  double at_s;
  const day_fault *fault;
  bool is_end;
  /* for ends: the target of the fault, if it has one */
  host *host;
  deployment_process *process;
} scheduled_event;

static void schedule(day_run *run, scheduled_event event) {
  guint i = 0;
  while (i < run->schedule->len &&
         g_array_index(run->schedule, scheduled_event, i).at_s <= event.at_s)
    i++;
  g_array_insert_val(run->schedule, i, event);
}

static int64_t duration_ms(const day_fault *fault) {
  return (int64_t)(fault->duration_s * 1000);
}

/* returns the index of the target among count hosts of its role; random if the fault names none */
static size_t choose_index(const day_run *run, const day_fault *fault, size_t count) {
  if (fault->target_number)
    return (fault->target_number - 1) % count;
  return sim_random(run->fleet->sim, count);
}

static void choose_engine(const day_run *run, scheduled_event *event) {
  const deployment *deployment = run->deployment;
  size_t count = deployment->model_engine_count + deployment->plain_engine_count;
  event->process = deployment->engine_processes[choose_index(run, event->fault, count)];
  event->host = event->process->host;
}

/* returns false when the gateway is down or frozen already */
static bool choose_gateway(const day_run *run, scheduled_event *event) {
  const fleet *fleet = run->fleet;
  event->host = fleet->router[choose_index(run, event->fault, (size_t)fleet->routers)];
  return event->host->alive && !event->host->frozen;
}

/* returns false when the controller is down already */
static bool choose_controller(const day_run *run, scheduled_event *event) {
  const fleet *fleet = run->fleet;
  event->host = fleet->controller[choose_index(run, event->fault, (size_t)fleet->controllers)];
  return event->host->alive;
}

static bool begin_engine_crash(day_run *run, scheduled_event *end_event) {
  choose_engine(run, end_event);
  if (!end_event->host->alive)
    return false;
  deployment_record_fault(run->deployment, end_event->host, 'e', duration_ms(end_event->fault));
  host_kill(end_event->host);
  return true;
}

static bool begin_engine_power_off(day_run *run, scheduled_event *end_event) {
  choose_engine(run, end_event);
  if (!end_event->host->alive)
    return false;
  deployment_record_fault(run->deployment, end_event->host, 'e', duration_ms(end_event->fault));
  host_power_off(end_event->host);
  return true;
}

static bool begin_engine_degraded(day_run *run, scheduled_event *end_event) {
  choose_engine(run, end_event);
  end_event->process->plan.faults.intermittent_failures = DEGRADED_FAILURES;
  return true;
}

static void end_engine_degraded(day_run *run, const scheduled_event *end_event) {
  (void)run;
  end_event->process->plan.faults.intermittent_failures = 0;
}

static bool begin_engine_drain(day_run *run, scheduled_event *end_event) {
  choose_engine(run, end_event);
  if (!end_event->host->alive)
    return false;
  if (end_event->process->engine)
    registering_engine_sim_drain(end_event->process->engine, 0);
  return true;
}

static bool begin_gateway_kill(day_run *run, scheduled_event *end_event) {
  if (!choose_gateway(run, end_event))
    return false;
  deployment_record_fault(run->deployment, end_event->host, 'k', duration_ms(end_event->fault));
  host_kill(end_event->host);
  return true;
}

static bool begin_gateway_drain(day_run *run, scheduled_event *end_event) {
  if (!choose_gateway(run, end_event))
    return false;
  deployment_terminate_gateway(run->deployment, end_event->host->context);
  return true;
}

static bool begin_gateway_freeze(day_run *run, scheduled_event *end_event) {
  if (!choose_gateway(run, end_event))
    return false;
  deployment_record_fault(run->deployment, end_event->host, 'f', duration_ms(end_event->fault));
  host_freeze(end_event->host);
  return true;
}

static void end_gateway_freeze(day_run *run, const scheduled_event *end_event) {
  (void)run;
  if (end_event->host->alive && end_event->host->frozen)
    host_unfreeze(end_event->host);
}

static bool begin_controller_kill(day_run *run, scheduled_event *end_event) {
  if (!choose_controller(run, end_event))
    return false;
  deployment_record_fault(run->deployment, NULL, 'k', duration_ms(end_event->fault));
  host_kill(end_event->host);
  return true;
}

static bool begin_controller_partition(day_run *run, scheduled_event *end_event) {
  if (!choose_controller(run, end_event))
    return false;
  deployment_record_fault(run->deployment, NULL, 'k', duration_ms(end_event->fault));
  sim_set_partition_both_ways(run->fleet->sim, end_event->host->self.text, NULL, true);
  return true;
}

static void end_controller_partition(day_run *run, const scheduled_event *end_event) {
  sim_set_partition_both_ways(run->fleet->sim, end_event->host->self.text, NULL, false);
}

static bool begin_controller_wipe(day_run *run, scheduled_event *end_event) {
  if (!begin_controller_kill(run, end_event))
    return false;
  host_wipe_disk(end_event->host);
  return true;
}

/* waits until the operator's change has ended, and adopts its version if it was acknowledged */
static void wait_for_change(day_run *run, const operator_sim_change *change) {
  for (int i = 0; i < CHANGE_POLLS_MAX && !change->done; i++)
    sim_run(run->fleet->sim, time_from_ms(CHANGE_POLL_MS));
  if (change->acked_at.us && change->version > run->config_version)
    run->config_version = change->version;
}

/* sends a patch of one route; number distinguishes concurrent patches of the same base version */
static operator_sim_change *send_patch(day_run *run, uint64_t base, uint64_t number) {
  const day *day = run->day;
  const day_kind *kind = &day->kinds[(base + number) % day->kind_count];
  uint64_t version = base + 1 + number;
  GString *text = g_string_new(NULL);
  json_appendf(text, "{\"version\":%" PRIu64 ",\"set\":{\"routes\":[", version);
  day_config_append_route(kind, kind->attempts + 1, text);
  g_string_append(text, "]}}");
  operator_sim_change *change =
      operator_sim_send(run->deployment->operator, version, base, true, text->str, true);
  g_string_free(text, TRUE);
  return change;
}

static bool begin_config_change(day_run *run, scheduled_event *end_event) {
  (void)end_event;
  wait_for_change(run, send_patch(run, run->config_version, 0));
  return false;
}

/* sends two concurrent changes of the same base version, of which at most one may be accepted */
static bool begin_config_race(day_run *run, scheduled_event *end_event) {
  (void)end_event;
  uint64_t base = run->config_version;
  const operator_sim_change *first = send_patch(run, base, 0);
  const operator_sim_change *second = send_patch(run, base, 1);
  wait_for_change(run, first);
  wait_for_change(run, second);
  return false;
}

/* sends a configuration whose route names a service that doesn't exist */
static bool begin_config_invalid(day_run *run, scheduled_event *end_event) {
  (void)end_event;
  uint64_t base = run->config_version;
  char *text = g_strdup_printf(
      "{\"version\":%" PRIu64
      ",\"routes\":[{\"name\":\"x\",\"host\":\"x.example\",\"prefix\":\"/x/\",\"mode\":\"safe\",\"timeoutMs\":100,\"service\":\"nobody\"}],\"services\":[]}",
      base + 1);
  wait_for_change(run,
                  operator_sim_send(run->deployment->operator, base + 1, base, false, text, false));
  g_free(text);
  return false;
}

static bool begin_burst(day_run *run, scheduled_event *end_event) {
  run->deployment->client->rate_factor *= end_event->fault->factor;
  return true;
}

static void end_burst(day_run *run, const scheduled_event *end_event) {
  run->deployment->client->rate_factor /= end_event->fault->factor;
}

static void reverse(GPtrArray *items) {
  for (guint i = 0; i < items->len / 2; i++) {
    gpointer *first = &items->pdata[i], *last = &items->pdata[items->len - 1 - i];
    gpointer swapped = *first;
    *first = *last;
    *last = swapped;
  }
}

/* makes the least requested models the most requested ones */
static bool begin_model_shift(day_run *run, scheduled_event *end_event) {
  (void)end_event;
  const GPtrArray *kinds = run->deployment->client->kinds;
  for (guint i = 0; i < kinds->len; i++) {
    const client_sim_kind *kind = kinds->pdata[i];
    if (kind->models)
      reverse(kind->models);
  }
  return false;
}

static void restart_host(day_run *run, const scheduled_event *end_event) {
  (void)run;
  if (!end_event->host->alive)
    host_start(end_event->host);
}

/* the functions that begin and end a kind of fault. begin sets the target in end_event, the event
 * that ends the fault, and returns whether that event is to be scheduled */
typedef struct fault_actions {
  bool (*begin)(day_run *run, scheduled_event *end_event);
  void (*end)(day_run *run, const scheduled_event *end_event);
} fault_actions;

static const fault_actions actions[DAY_FAULT_KIND_COUNT] = {
  [DAY_ENGINE_CRASH] = { begin_engine_crash, restart_host },
  [DAY_ENGINE_POWER_OFF] = { begin_engine_power_off, restart_host },
  [DAY_ENGINE_DEGRADED] = { begin_engine_degraded, end_engine_degraded },
  [DAY_ENGINE_DRAIN] = { begin_engine_drain, restart_host },
  [DAY_GATEWAY_KILL] = { begin_gateway_kill, restart_host },
  [DAY_GATEWAY_DRAIN] = { begin_gateway_drain, restart_host },
  [DAY_GATEWAY_FREEZE] = { begin_gateway_freeze, end_gateway_freeze },
  [DAY_CONTROLLER_KILL] = { begin_controller_kill, restart_host },
  [DAY_CONTROLLER_PARTITION] = { begin_controller_partition, end_controller_partition },
  [DAY_CONTROLLER_WIPE] = { begin_controller_wipe, restart_host },
  [DAY_CONFIG_CHANGE] = { begin_config_change, NULL },
  [DAY_CONFIG_RACE] = { begin_config_race, NULL },
  [DAY_CONFIG_INVALID] = { begin_config_invalid, NULL },
  [DAY_BURST] = { begin_burst, end_burst },
  [DAY_MODEL_SHIFT] = { begin_model_shift, NULL },
};

void day_inject_init(day_run *run) {
  run->schedule = g_array_new(FALSE, TRUE, sizeof(scheduled_event));
  for (size_t i = 0; i < run->day->fault_count; i++) {
    const day_fault *fault = &run->day->faults[i];
    schedule(run, (scheduled_event){ .at_s = fault->at_s, .fault = fault });
  }
}

void day_inject_clear(day_run *run) {
  g_array_free(run->schedule, TRUE);
}

double day_inject_next_at(const day_run *run, bool *is_end) {
  if (!run->schedule->len)
    return NAN;
  const scheduled_event *next = &g_array_index(run->schedule, scheduled_event, 0);
  *is_end = next->is_end;
  return next->at_s;
}

void day_inject_next(day_run *run) {
  scheduled_event event = g_array_index(run->schedule, scheduled_event, 0);
  const day_fault *fault = event.fault;
  g_array_remove_index(run->schedule, 0);
  if (event.is_end) {
    actions[fault->kind].end(run, &event);
    return;
  }
  scheduled_event end_event = { .at_s = fault->at_s + fault->duration_s,
                                .fault = fault,
                                .is_end = true };
  if (actions[fault->kind].begin(run, &end_event))
    schedule(run, end_event);
}
