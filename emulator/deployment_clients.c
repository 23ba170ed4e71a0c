/** @file
 * The clients of a deployment with their load balancer, the operator, and the traffic of a test. */
#include "deployment_process.h"
#include "sim_connections.h"
#include <stdio.h>

/** Time limit of the last responses once no more requests are sent. */
enum { LAST_RESPONSE_MS = 60000 };

/* the most requested models and adapters first */
static const char *const requested_models[] = { "m0", "m1",    "m0/a1", "m2",  "m1/a2", "m3",
                                                "m4", "m5/a1", "m5",    "m6",  "m7",    "m8",
                                                "m9", "m10",   "m11",   "m12", "m13" };

static GPtrArray *most_requested_models(size_t n) {
  GPtrArray *models = g_ptr_array_new();
  for (size_t i = 0; i < MIN(n, G_N_ELEMENTS(requested_models)); i++)
    g_ptr_array_add(models, (char *)requested_models[i]);
  return models;
}

static void add_chat_kind(deployment *deployment) {
  deployment->chat = client_sim_add_kind(deployment->client,
                                         (client_sim_kind){ .name = "chat",
                                                            .host = "front.example",
                                                            .path = "/chat/v1/",
                                                            .mode = CLIENT_SIM_STREAM,
                                                            .requests_per_s = 6,
                                                            .tokens_in = 900,
                                                            .tokens_shared = 400,
                                                            .zipf_exponent = 1.1,
                                                            .tokens_out = 24,
                                                            .event_tokens = 2,
                                                            .retries_max = 1,
                                                            .priority = 0,
                                                            .deadline_ms = 5000,
                                                            .target_ms = 1000,
                                                            .gap_target_ms = 400,
                                                            .models = most_requested_models(9) });
}

static void add_note_kind(deployment *deployment) {
  deployment->note = client_sim_add_kind(deployment->client,
                                         (client_sim_kind){ .name = "note",
                                                            .host = "front.example",
                                                            .path = "/note/",
                                                            .mode = CLIENT_SIM_STREAM,
                                                            .resumable = true,
                                                            .requests_per_s = 2,
                                                            .tokens_in = 500,
                                                            .tokens_shared = 300,
                                                            .zipf_exponent = 1.1,
                                                            .tokens_out = 160,
                                                            .event_tokens = 2,
                                                            .retries_max = 1,
                                                            .priority = 1,
                                                            .deadline_ms = 20000,
                                                            .target_ms = 1500,
                                                            .gap_target_ms = 400,
                                                            .models = most_requested_models(6) });
}

static void add_status_kind(deployment *deployment) {
  deployment->status =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "status",
                                                                 .host = "front.example",
                                                                 .path = "/status/",
                                                                 .mode = CLIENT_SIM_SAFE,
                                                                 .requests_per_s = 5,
                                                                 .bytes = 800,
                                                                 .retries_max = 1,
                                                                 .deadline_ms = 4000,
                                                                 .target_ms = 300 });
}

static void add_book_kind(deployment *deployment) {
  deployment->book =
      client_sim_add_kind(deployment->client, (client_sim_kind){ .name = "book",
                                                                 .host = "front.example",
                                                                 .path = "/chat/",
                                                                 .mode = CLIENT_SIM_ONCE,
                                                                 .requests_per_s = 3,
                                                                 .bytes = 400,
                                                                 .retries_max = 1,
                                                                 .deadline_ms = 4000,
                                                                 .target_ms = 500,
                                                                 .new_connection = true });
}

static void create_clients(deployment *deployment, world *world) {
  deployment->balancer = balancer_sim_new(world, &dialect_native);
  deployment->client = client_sim_new(world, deployment->balancer, &dialect_native);
  deployment->client->connected = connections_has_pooled;
  for (int i = 0; i < deployment->fleet->routers; i++) {
    char front[64], ready[64], ip[48];
    deployment_ip_of(deployment->fleet->router[i], ip, sizeof ip);
    snprintf(front, sizeof front, "%s:%d", ip, DEPLOYMENT_FRONT_PORT);
    snprintf(ready, sizeof ready, "%s:%d", ip, DEPLOYMENT_READY_PORT);
    balancer_sim_add_gateway(deployment->balancer, front, ready,
                             deployment->fleet->router[i]->zone);
  }
  int zones = MIN(3, deployment->fleet->routers);
  for (int i = 0; i < zones; i++)
    deployment->client->areas[i] = deployment->fleet->zones[i];
  deployment->client->area_count = (unsigned)zones;
}

/* clients are created once: they survive a restart of their host */
static void start_clients(host *host) {
  deployment *deployment = host->context;
  if (deployment->balancer)
    return;
  create_clients(deployment, &host->world);
  if (deployment->add_client_kinds) {
    deployment->add_client_kinds(deployment);
    return;
  }
  add_chat_kind(deployment);
  add_note_kind(deployment);
  add_status_kind(deployment);
  add_book_kind(deployment);
}

static void start_operator(host *host) {
  deployment *deployment = host->context;
  if (deployment->operator)
    return;
  deployment->operator= operator_sim_new(&host->world, &dialect_native);
  g_ptr_array_free(deployment->operator->controllers, TRUE);
  deployment->operator->controllers = deployment_list_controllers(deployment);
}

void deployment_add_clients(deployment *deployment) {
  deployment->client_host =
      sim_add_host(deployment->sim, HOST_OTHER, "outside", "mid", "127.0.0.50:1");
  deployment->client_host->context = deployment;
  deployment->client_host->on_start = start_clients;
  deployment->operator_host =
      sim_add_host(deployment->sim, HOST_OTHER, "gw-operator", "mid", "127.0.0.51:1");
  deployment->operator_host->context = deployment;
  deployment->operator_host->on_start = start_operator;
}

void deployment_start_traffic(deployment *deployment, double rate) {
  deployment->client->rate_factor = rate;
  client_sim_start(deployment->client);
}

static bool all_client_requests_ended(sim *sim, void *context) {
  (void)sim;
  return !((deployment *)context)->client->open_requests;
}

void deployment_finish_traffic(deployment *deployment) {
  deployment->client->stop = true;
  if (!sim_run_until(deployment->sim, all_client_requests_ended, deployment,
                     time_from_ms(LAST_RESPONSE_MS)))
    fleet_add_violation(deployment->fleet, "%u requests did not end",
                        deployment->client->open_requests);
}

void deployment_run_traffic(deployment *deployment, double rate, int64_t ms) {
  deployment_start_traffic(deployment, rate);
  sim_run(deployment->sim, time_from_ms(ms));
  deployment_finish_traffic(deployment);
}

double deployment_served_ratio(deployment *deployment, const client_sim_kind *kind, time_us from,
                               time_us until) {
  double all = 0, served = 0;
  for (guint i = 0; i < deployment->client->requests->len; i++) {
    const client_sim_request *request = deployment->client->requests->pdata[i];
    if ((kind && request->kind != kind) || request->started_at.us < from.us ||
        request->started_at.us >= until.us)
      continue;
    all++;
    served += request->served;
  }
  return all ? served / all : 1;
}
