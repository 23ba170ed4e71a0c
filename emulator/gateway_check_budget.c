/** @file
 * The retry budget of each service: every arrival of a request at an engine after its first is a
 * retry, and the retries in any window are bounded by a share of the requests sent around it. */
#include "gateway_check_allowed.h"
#include "gateway_check_index.h"

enum { WINDOW_US = RETRY_WINDOW_S * 1000000 };

/* the names of all services with runs, in the order of their first run */
static GPtrArray *list_services(const deployment *deployment) {
  GPtrArray *services = g_ptr_array_new();
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    char *name = ((engine_run_record *)deployment->log->runs->pdata[i])->service.text;
    if (!g_ptr_array_find_with_equal_func(services, name, g_str_equal, NULL))
      g_ptr_array_add(services, name);
  }
  return services;
}

static int compare_times(gconstpointer a, gconstpointer b) {
  const time_us *x = a, *y = b;
  return x->us < y->us ? -1 : x->us > y->us;
}

/* the arrival times of the retries at a service, sorted */
static GArray *list_retries(const deployment *deployment, const char *service) {
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  GArray *retries = g_array_new(FALSE, TRUE, sizeof(time_us));
  for (guint i = 0; i < deployment->log->runs->len; i++) {
    engine_run_record *run = deployment->log->runs->pdata[i];
    if (strcmp(run->service.text, service))
      continue;
    if (g_hash_table_contains(seen, run->request_id))
      g_array_append_val(retries, run->received_at);
    else
      g_hash_table_add(seen, run->request_id);
  }
  g_array_sort(retries, compare_times);
  g_hash_table_destroy(seen);
  return retries;
}

/* the times at which requests were sent that some configuration routes to a service */
static GArray *list_requests(const deployment *deployment, const GArray *configs,
                             const char *service) {
  GArray *requests = g_array_new(FALSE, TRUE, sizeof(time_us));
  for (guint i = 0; i < deployment->client->attempts->len; i++) {
    const client_sim_attempt *attempt = deployment->client->attempts->pdata[i];
    if (allowed_configs_permit(configs, attempt, service))
      g_array_append_val(requests, attempt->sent_at);
  }
  return requests;
}

/* the most requests in a window that begins, ends or is centred at an instant */
static int count_requests_around(const GArray *requests, int64_t at) {
  int after = check_count_between(requests, at, at + WINDOW_US);
  int before = check_count_between(requests, at - WINDOW_US, at);
  int around = check_count_between(requests, at - WINDOW_US / 2, at + WINDOW_US / 2);
  return MAX(after, MAX(before, around));
}

static void check_service(const deployment *deployment, const GArray *configs,
                          const char *service) {
  GArray *retries = list_retries(deployment, service);
  GArray *requests = list_requests(deployment, configs, service);
  for (guint i = 0; i < retries->len; i++) {
    int64_t from = g_array_index(retries, time_us, i).us;
    int retry_count = check_count_between(retries, from, from + WINDOW_US);
    int request_count = count_requests_around(requests, from);
    if (retry_count <= RETRY_RATIO * request_count + RETRY_SLACK)
      continue;
    fleet_add_violation(deployment->fleet, "BUDGET %d retries at %s for %d requests in %d s",
                        retry_count, service, request_count, RETRY_WINDOW_S);
    break;
  }
  g_array_free(retries, TRUE);
  g_array_free(requests, TRUE);
}

void gateway_check_budget(deployment *deployment) {
  GPtrArray *services = list_services(deployment);
  GArray *configs = allowed_configs_new(deployment);
  for (guint i = 0; i < services->len; i++)
    check_service(deployment, configs, services->pdata[i]);
  allowed_configs_free(configs);
  g_ptr_array_free(services, TRUE);
}
