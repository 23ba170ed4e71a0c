#include "client_sim.h"
#include <stdio.h>
#include <stdlib.h>

enum { ANSWER_MS = 1000, HOPS = 2 };

operator_sim *operator_sim_new(world *world, const dialect *words) {
  operator_sim *operator= g_new0(operator_sim, 1);
  operator->world = world;
  operator->dialect = words;
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
 * answer in time */
static int request_one(operator_sim *operator, const char * addr, const dialect_path *how,
                       const operator_sim_change *change, GString *got, int64_t ms) {
  char to[64];
  int st = 0;
  g_strlcpy(to, addr, sizeof to);
  char *path = g_strdup(how->path);
  for (int hop = 0; hop <= HOPS; hop++) {
    fields *fields = g_string_new(NULL);
    fields_add(fields, "Host", string_view_of(to));
    fields_add(fields, "Content-Type", string_view_of("application/json"));
    if (change)
      fields_add_format(fields, operator->dialect->header_names[DF_BASE_REVISION], "%" PRIu64,
                        change->base);
    http_call *call =
        http_call_open_fields(operator->world, to, how->method, path, fields,
                              string_view_of(change ? change->text : ""), true, time_never());
    g_string_free(fields, TRUE);
    g_string_truncate(got, 0);
    int r = http_call_read_all(call, got, time_add(world_now(operator->world), time_from_ms(ms)));
    st = r ? 0 : call->status;
    string_view loc = { "", 0 };
    char where[160] = "";
    if (st == 307 && fields_get(call->response_fields, "Location", &loc))
      memcpy(where, loc.data, MIN(loc.length, sizeof where - 1));
    http_call_close(call);
    if (st != 307 || strncmp(where, "http://", 7))
      break;
    char *slash = strchr(where + 7, '/');
    g_free(path);
    path = g_strdup(slash ? slash : "/");
    if (slash)
      *slash = 0;
    g_strlcpy(to, where + 7, sizeof to);
  }
  g_free(path);
  return st;
}

typedef struct job {
  operator_sim *order;
  operator_sim_change *change;
} job;

static void send_run(void *p) {
  job *t = p;
  operator_sim *operator= t->order;
  operator_sim_change *change = t->change;
  GString *got = g_string_new(NULL);
  int64_t ms = ANSWER_MS + (int64_t)strlen(change->text) / 400, pause = 100;
  time_us until = time_add(world_now(operator->world), time_from_ms(operator->timeout_ms));
  size_t at = operator->controllers->len ? world_random(operator->world, operator->controllers->len)
                                         : 0;
  unsigned odd = 0;
  while (operator->controllers->len && world_now(operator->world).us < until.us &&
         !operator->world->tasks.stopped) {
    change->attempt_count++;
    int st = request_one(
        operator, operator->controllers->pdata
                      [at++ % operator->controllers->len],
                       &operator->dialect->calls[change->patch ? DC_CONFIG_PATCH : DC_CONFIG_PUT],
                       change, got, ms);
    if (st)
      change->status = st;
    if (st == 200) {
      change->acked_at = world_now(operator->world);
      break;
    }
    if (st == 400 || st == 409 || st == 412 || st == 413 || st == 422)
      break;
    if (st >= 400 && st < 500 && st != 408 && st != 429 && ++odd >= 3)
      break;
    if (!world_sleep(operator->world, time_from_ms(pause)))
      break;
    pause = MIN(pause * 2, 2000);
  }
  change->ended_at = world_now(operator->world);
  change->done = true;
  g_string_free(got, TRUE);
  g_free(t);
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
  job *t = g_new0(job, 1);
  *t = (job){ operator, change };
  task_start(&operator->world->tasks, "order", send_run, t);
  return change;
}

static void read_run(void *p) {
  operator_sim *operator= p;
  GString *got = g_string_new(NULL);
  size_t at = operator->controllers->len ? world_random(operator->world, operator->controllers->len)
                                         : 0;
  time_us until = time_add(world_now(operator->world), time_from_ms(operator->timeout_ms));
  while (operator->controllers->len && world_now(operator->world).us < until.us &&
         !operator->world->tasks.stopped) {
    int st =
        request_one(operator, operator->controllers->pdata[at++ % operator->controllers->len],
                                                           &operator->dialect->calls[DC_CONFIG_GET],
                                                           NULL, got, ANSWER_MS * 3);
    if (st == 200) {
      json *json = json_parse(string_view_of_gstring(got), NULL);
      g_string_assign(operator->read_text, got->str);
      operator->read_version =(uint64_t) json_number(json, "version", 0);
      operator->read_at = world_now(operator->world);
      json_free(json);
      break;
    }
    if (!world_sleep(operator->world, time_from_ms(150)))
      break;
  }
  g_string_free(got, TRUE);
}

void operator_sim_read(operator_sim *operator) {
  operator->read_at =(time_us){ 0 };
  task_start(&operator->world->tasks, "read", read_run, operator);
}
