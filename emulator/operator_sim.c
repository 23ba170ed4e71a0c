/** @file
 * The simulated operator of a deployment: changes and reads of the configuration, each a task that
 * tries the controllers in turn until one gives a definite response. */
#include "client_sim.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  /** Timeout of a call; large changes and reads get more. */
  BASE_TIMEOUT_MS = 1000,
  FOLLOWED_REDIRECTS_MAX = 2
};

operator_sim *operator_sim_new(world *world, const dialect *dialect) {
  operator_sim *operator= g_new0(operator_sim, 1);
  operator->world = world;
  operator->dialect = dialect;
  operator->controllers = g_ptr_array_new_with_free_func(g_free);
  operator->changes = g_ptr_array_new();
  operator->read_text = g_string_new(NULL);
  operator->timeout_ms = 60000;
  return operator;
}

void operator_sim_free(operator_sim *operator) {
  for (guint i = 0; i < operator->changes->len; i++) {
    operator_sim_change *change = operator->changes->pdata[i];
    g_free(change->text);
    g_free(change);
  }
  g_ptr_array_free(operator->changes, TRUE);
  g_ptr_array_free(operator->controllers, TRUE);
  g_string_free(operator->read_text, TRUE);
  g_free(operator);
}

/* makes one call, following at most two redirects; returns the status, or 0 when there was no
 * response in time */
static int send_to_controller(operator_sim *operator, const char * addr,
                              const dialect_path *endpoint, const operator_sim_change *change,
                              GString *body, int64_t timeout_ms) {
  char address[64];
  int status = 0;
  g_strlcpy(address, addr, sizeof address);
  char *path = g_strdup(endpoint->path);
  for (int redirects = 0; redirects <= FOLLOWED_REDIRECTS_MAX; redirects++) {
    fields *fields = g_string_new(NULL);
    fields_add(fields, "Host", string_view_of(address));
    fields_add(fields, "Content-Type", string_view_of("application/json"));
    if (change)
      fields_add_format(fields, operator->dialect->header_names[DF_BASE_VERSION], "%" PRIu64,
                        change->base);
    http_call *call =
        http_call_open_pooled(operator->world, address, endpoint->method, path, fields,
                              string_view_of(change ? change->text : ""), true, time_never());
    g_string_free(fields, TRUE);
    g_string_truncate(body, 0);
    int result = http_call_read_all(call, body,
                                    time_add(world_now(operator->world), time_from_ms(timeout_ms)));
    status = result ? 0 : call->status;
    string_view location = { "", 0 };
    char redirect_url[160] = "";
    if (status == 307 && fields_get(call->response_fields, "Location", &location))
      memcpy(redirect_url, location.data, MIN(location.length, sizeof redirect_url - 1));
    http_call_close(call);
    if (status != 307 || strncmp(redirect_url, "http://", 7))
      break;
    char *slash = strchr(redirect_url + 7, '/');
    g_free(path);
    path = g_strdup(slash ? slash : "/");
    if (slash)
      *slash = 0;
    g_strlcpy(address, redirect_url + 7, sizeof address);
  }
  g_free(path);
  return status;
}

/* the argument of send_change_task */
typedef struct operator_send_job {
  operator_sim *operator;
  operator_sim_change *change;
} operator_send_job;

static void send_change_task(void *argument) {
  operator_send_job *job = argument;
  operator_sim *operator= job->operator;
  operator_sim_change *change = job->change;
  GString *body = g_string_new(NULL);
  /* a large change gets 1 ms more for each 400 bytes */
  int64_t timeout_ms = BASE_TIMEOUT_MS + (int64_t)strlen(change->text) / 400, retry_ms = 100;
  time_us deadline = time_add(world_now(operator->world), time_from_ms(operator->timeout_ms));
  size_t next_controller = operator->controllers->len
                               ? world_random(operator->world, operator->controllers->len)
                               : 0;
  unsigned client_errors = 0;
  while (operator->controllers->len && world_now(operator->world).us < deadline.us &&
         !operator->world->tasks.stopped) {
    change->attempt_count++;
    int status = send_to_controller(
        operator, operator->controllers->pdata
                      [next_controller++ % operator->controllers->len],
                       &operator->dialect->calls[change->patch ? DC_CONFIG_PATCH : DC_CONFIG_PUT],
                       change, body, timeout_ms);
    if (status)
      change->status = status;
    if (status == 200) {
      change->acked_at = world_now(operator->world);
      break;
    }
    if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422)
      break;
    /* other client errors, except timeouts and overload, end the change when the third comes */
    if (status >= 400 && status < 500 && status != 408 && status != 429 && ++client_errors >= 3)
      break;
    if (!world_sleep(operator->world, time_from_ms(retry_ms)))
      break;
    retry_ms = MIN(retry_ms * 2, 2000);
  }
  change->ended_at = world_now(operator->world);
  change->done = true;
  g_string_free(body, TRUE);
  g_free(job);
}

operator_sim_change *operator_sim_send(operator_sim *operator, uint64_t version, uint64_t base,
                                       bool patch, const char *text, bool valid) {
  operator_sim_change *change = g_new0(operator_sim_change, 1);
  change->version = version;
  change->base = base;
  change->patch = patch;
  change->valid = valid;
  change->text = g_strdup(text);
  change->sent_at = world_now(operator->world);
  g_ptr_array_add(operator->changes, change);
  operator_send_job *job = g_new0(operator_send_job, 1);
  *job = (operator_send_job){ operator, change };
  task_start(&operator->world->tasks, "order", send_change_task, job);
  return change;
}

static void read_config_task(void *argument) {
  operator_sim *operator= argument;
  GString *body = g_string_new(NULL);
  size_t next_controller = operator->controllers->len
                               ? world_random(operator->world, operator->controllers->len)
                               : 0;
  time_us deadline = time_add(world_now(operator->world), time_from_ms(operator->timeout_ms));
  while (operator->controllers->len && world_now(operator->world).us < deadline.us &&
         !operator->world->tasks.stopped) {
    int status = send_to_controller(
        operator, operator->controllers->pdata[next_controller++ % operator->controllers->len],
                                               &operator->dialect->calls[DC_CONFIG_GET], NULL, body,
                                               BASE_TIMEOUT_MS * 3);
    if (status == 200) {
      json *json = json_parse(string_view_of_gstring(body), NULL);
      g_string_assign(operator->read_text, body->str);
      operator->read_version =(uint64_t) json_number(json, "version", 0);
      operator->read_at = world_now(operator->world);
      json_free(json);
      break;
    }
    if (!world_sleep(operator->world, time_from_ms(150)))
      break;
  }
  g_string_free(body, TRUE);
}

void operator_sim_read(operator_sim *operator) {
  operator->read_at =(time_us){ 0 };
  task_start(&operator->world->tasks, "read", read_config_task, operator);
}
