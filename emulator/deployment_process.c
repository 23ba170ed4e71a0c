/** @file
 * The processes of a deployment: the start and stop hooks of their hosts, and planned stops. */
#include "deployment_process.h"
#include "gateway_check.h"
#include <stdio.h>

enum {
  HEARTBEAT_MS = 1200,
  /** A planned stop counts as a fault until this long after the grace period. */
  KILL_SLACK_MS = 1000
};

void deployment_ip_of(const host *host, char *ip, size_t size) {
  g_strlcpy(ip, host->addr, size);
  char *colon = strchr(ip, ':');
  if (colon)
    *colon = 0;
}

/* a scheduled kill of a process; it does nothing if the process has ended by then */
typedef struct scheduled_kill {
  host *host;
  uint64_t incarnation;
} scheduled_kill;

static void kill_scheduled(void *argument) {
  scheduled_kill *kill = argument;
  if (kill->host->alive && kill->host->incarnation == kill->incarnation)
    host_kill(kill->host);
}

/* ends the present process of a host after a delay. The deployment frees the record, not the
 * callback, because callbacks that are still scheduled when a simulation ends do not run */
static void schedule_kill(deployment *deployment, host *host, time_us delay) {
  scheduled_kill *kill = g_new(scheduled_kill, 1);
  *kill = (scheduled_kill){ host, host->incarnation };
  g_ptr_array_add(deployment->scheduled_kills, kill);
  sim_schedule(deployment->sim, time_add(deployment->sim->now, delay), kill_scheduled, kill);
}

static void engine_stop(void *context, bool crashed) {
  deployment_process *process = context;
  process->engine->stop_record->crashed = crashed;
  schedule_kill(process->deployment, process->host, (time_us){ 0 });
}

static void start_engine(host *host) {
  deployment_process *process = host->context;
  error err = { 0 };
  process->engine = registering_engine_sim_new(&host->world, &process->plan, &err);
  if (!process->engine) {
    fleet_add_violation(process->deployment->fleet, "engine %s: %s", host->self.text, err.text);
    return;
  }
  process->engine->stop = engine_stop;
  process->engine->send_stray_response = sim_send_stray_response;
  process->engine->context = process;
  /* a restarted engine has no models loaded */
  process->plan.initial_models = NULL;
}

static void stop_engine(host *host) {
  deployment_process *process = host->context;
  if (process->engine)
    registering_engine_sim_free(process->engine);
  process->engine = NULL;
}

static void start_gateway(host *host) {
  deployment_process *process = host->context;
  gateway_settings settings = { .client_port = DEPLOYMENT_FRONT_PORT,
                                .ready_port = DEPLOYMENT_READY_PORT,
                                .dialect = &dialect_native,
                                .grace_ms = DEPLOYMENT_GRACE_S * 1000,
                                .lease_ms = DEPLOYMENT_LEASE_MS,
                                .heartbeat_ms = HEARTBEAT_MS,
                                .retry_ratio = RETRY_RATIO,
                                .retry_slack = RETRY_SLACK,
                                .retry_window_s = RETRY_WINDOW_S,
                                .load_window_s = LOAD_RATE_WINDOW_S,
                                .load_limit_factor = LOAD_RATE_EXCESS };
  deployment_ip_of(host, settings.client_ip, sizeof settings.client_ip);
  deployment_ip_of(host, settings.ready_ip, sizeof settings.ready_ip);
  error err = { 0 };
  process->gateway = gateway_new(host->router, &settings, &err);
  if (!process->gateway || gateway_open(process->gateway, &err))
    fleet_add_violation(process->deployment->fleet, "gateway %s: %s", host->self.text, err.text);
}

static void stop_gateway(host *host) {
  deployment_process *process = host->context;
  gateway_free(process->gateway);
  process->gateway = NULL;
}

static void start_controller(host *host) {
  deployment_process *process = host->context;
  char ip[48];
  error err = { 0 };
  deployment_ip_of(host, ip, sizeof ip);
  if (controller_open_control_listener(host->controller, ip, DEPLOYMENT_CONTROL_PORT, NULL, &err))
    fleet_add_violation(process->deployment->fleet, "controller %s: %s", host->self.text, err.text);
}

static void process_free(host *host) {
  deployment_process *process = host->context;
  if (process->initial_models)
    g_ptr_array_free(process->initial_models, TRUE);
  if (process->plan.models_on_disk)
    g_hash_table_destroy(process->plan.models_on_disk);
  g_free(process);
}

static deployment_process *process_new(deployment *deployment, host *host,
                                       void (*on_start)(struct host *),
                                       void (*on_stop)(struct host *)) {
  deployment_process *process = g_new0(deployment_process, 1);
  process->deployment = deployment;
  process->host = host;
  host->context = process;
  host->on_start = on_start;
  host->on_stop = on_stop;
  host->on_dispose = process_free;
  return process;
}

deployment_process *deployment_add_controller(deployment *deployment, host *host) {
  host->settings.relaxed_timing = true;
  return process_new(deployment, host, start_controller, NULL);
}

deployment_process *deployment_add_gateway(deployment *deployment, host *host) {
  host->settings.is_gateway = host->settings.relaxed_timing = true;
  host->settings.platform_address[0] = 0;
  return process_new(deployment, host, start_gateway, stop_gateway);
}

GPtrArray *deployment_list_controllers(const deployment *deployment) {
  GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
  for (int i = 0; i < deployment->fleet->controllers; i++) {
    char ip[48];
    deployment_ip_of(deployment->fleet->controller[i], ip, sizeof ip);
    g_ptr_array_add(addresses, g_strdup_printf("%s:%d", ip, DEPLOYMENT_CONTROL_PORT));
  }
  return addresses;
}

deployment_process *deployment_add_engine(deployment *deployment, id area,
                                          registering_engine_plan plan, GPtrArray *initial_models) {
  char name[32], addr[48];
  size_t i = deployment->model_engine_count + deployment->plain_engine_count;
  snprintf(name, sizeof name, "unit-%zu", i + 1);
  snprintf(addr, sizeof addr, "127.0.5.%zu:9000", i + 1);
  host *host = sim_add_host(deployment->sim, HOST_OTHER, name, area.text, addr);
  deployment_process *process = deployment->engine_processes[i] =
      process_new(deployment, host, start_engine, stop_engine);
  process->plan = plan;
  process->plan.area = area;
  deployment_ip_of(host, process->plan.ip, sizeof process->plan.ip);
  process->plan.controllers = deployment_list_controllers(deployment);
  process->plan.models_on_disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  process->plan.initial_models = process->initial_models = initial_models;
  if (plan.model_count)
    deployment->model_engine_count++;
  else
    deployment->plain_engine_count++;
  return process;
}

void deployment_record_fault(deployment *deployment, host *host, char kind, int64_t ms) {
  time_us now = deployment->sim->now;
  injected_fault fault = { host, now, time_add(now, time_from_ms(ms)), kind };
  g_array_append_val(deployment->injected_faults, fault);
}

static void wait_until_drained(void *argument) {
  deployment_process *process = argument;
  if (condition_wait(&process->host->world.tasks, &process->gateway->drain.finished,
                     time_never()) != WAKE_STOPPED)
    schedule_kill(process->deployment, process->host, (time_us){ 0 });
}

void deployment_terminate_gateway(deployment *deployment, deployment_process *process) {
  deployment_record_fault(deployment, process->host, 't',
                          DEPLOYMENT_GRACE_S * 1000 + KILL_SLACK_MS);
  gateway_drain(process->gateway);
  task_start(&process->host->world.tasks, "over", wait_until_drained, process);
  schedule_kill(deployment, process->host, time_from_ms(DEPLOYMENT_GRACE_S * 1000));
}
