#include "args.h"
#include "config.h"
#include "real_world.h"
#include "simulators.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static struct {
  char *routers, *file, *policy, *ip, *log;
  double rate, count, seconds, zipf;
  int tries;
} a = { NULL, NULL, NULL, "127.0.0.1", NULL, 5, 100, 60, 1.0, 0 };
static const struct argp_option opts[] = {
  { "routers", 'v', "A,B", 0, "addresses of routers", 0 },
  { "catalogue", 'c', "FILE", 0, "models and adapters to ask for", 0 },
  { "policy", 'p', "FILE", 0, "the policy that names the kinds", 0 },
  { "rate", 'r', "N", 0, "requests a second", 0 },
  { "count", 'n', "N", 0, "requests in all", 0 },
  { "seconds", 's', "N", 0, "at most so long", 0 },
  { "zipf", 'z', "X", 0, "how steep the demand is", 0 },
  { "log", 'l', "FILE", 0, "writes every try to a file at the end", 0 },
  { "tries", 't', "N", 0, "how often one comes back when told to (0)", 0 },
  { "ip", 'i', "IP", 0, "address to call from", 0 },
  { 0 }
};

static error_t parse(int key, char *arg, struct argp_state *st) {
  (void)st;
  switch (key) {
  case 'v':
    a.routers = arg;
    return 0;
  case 'c':
    a.file = arg;
    return 0;
  case 'p':
    a.policy = arg;
    return 0;
  case 'i':
    a.ip = arg;
    return 0;
  case 'l':
    a.log = arg;
    return 0;
  case 't':
    a.tries = atoi(arg);
    return 0;
  case 'r':
    a.rate = atof(arg);
    return 0;
  case 'n':
    a.count = atof(arg);
    return 0;
  case 's':
    a.seconds = atof(arg);
    return 0;
  case 'z':
    a.zipf = atof(arg);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void end_run(void *p) {
  loadgen *loadgen = p;
  time_us till = time_add(world_now(loadgen->world), time_from_ms((int64_t)(a.seconds * 1000)));
  while (loadgen->count < (uint64_t)a.count && !time_reached(world_now(loadgen->world), till))
    if (!world_sleep(loadgen->world, time_from_ms(20)))
      return;
  loadgen->stop = true;
  till = time_add(world_now(loadgen->world), time_from_ms(130000));
  while (loadgen->open_requests)
    if (condition_wait(&loadgen->world->tasks, &loadgen->idle, till) != WAKE_SIGNALLED)
      break;
  real_world_stop(loadgen->world);
}

int main(int argc, char **argv) {
  struct argp p = { opts, parse, NULL, "asterfall-loadgen: simulated callers", NULL, NULL, NULL };
  argp_parse(&p, argc, argv, 0, NULL, NULL);
  error err = { 0 };
  gchar *text = NULL;
  gsize n;
  if (!a.routers || !a.file || !g_file_get_contents(a.file, &text, &n, NULL) || a.rate <= 0) {
    fprintf(stderr, "asterfall-loadgen: --routers and --catalogue are needed\n");
    return 2;
  }
  json *j[RESOURCE_COUNT] = { json_parse((string_view){ text, n }, &err), NULL, NULL };
  g_free(text);
  if (a.policy && g_file_get_contents(a.policy, &text, &n, NULL)) {
    j[1] = json_parse((string_view){ text, n }, &err);
    g_free(text);
  }
  config *config = j[0] ? config_compile((const json **)j, &err) : NULL;
  json_free(j[0]);
  json_free(j[1]);
  real_settings e = { .port = 0 };
  g_strlcpy(e.ip, a.ip, sizeof e.ip);
  world *world = config ? real_world_new(&e, &err) : NULL;
  if (!world) {
    fprintf(stderr, "asterfall-loadgen: %s (code %d)\n", err.text, err.code);
    config_free(config);
    return 2;
  }
  loadgen *loadgen = loadgen_new(world, id_of_text("loadgen"));
  char **v = g_strsplit(a.routers, ",", -1);
  for (char **k = v; *k; k++)
    g_ptr_array_add(loadgen->plan.routers, g_strdup(*k));
  g_strfreev(v);
  for (guint i = 0; i < config->models->len; i++)
    loadgen_add_target(loadgen, g_array_index(config->models, catalogue_model, i).self,
                       id_of_text(""));
  for (guint i = 0; i < config->adapters->len; i++)
    loadgen_add_target(loadgen, g_array_index(config->adapters, catalogue_adapter, i).model,
                       g_array_index(config->adapters, catalogue_adapter, i).self);
  for (int i = 0; i < 3 && i < config->kind_count; i++)
    loadgen->plan.kinds[i] = config->kinds[i].self.text;
  loadgen->plan.requests_per_s = a.rate;
  loadgen->plan.zipf_exponent = a.zipf;
  loadgen->plan.attempts_max = a.tries;
  loadgen_start(loadgen);
  task_start(&world->tasks, "end", end_run, loadgen);
  real_world_run(world, NULL, NULL);
  GString *b = g_string_new(NULL);
  loadgen_json(loadgen, b);
  fputs(b->str, stdout);
  FILE *f = a.log ? fopen(a.log, "w") : NULL;
  static const char *const names[] = { "open",   "done",     "notRun", "unknown",
                                       "broken", "noAnswer", "wrong",  "left" };
  for (guint i = 0; f && i < loadgen->attempts->len; i++) {
    loadgen_attempt *attempt = &g_array_index(loadgen->attempts, loadgen_attempt, i);
    fprintf(f, "T %" PRId64 " %" PRId64 " %s %s %d %s %s %d\n", attempt->started_at.us,
            attempt->ended_at.us, attempt->request->tag, names[attempt->outcome], attempt->code,
            attempt->request->resumable ? "resumable" : "once", attempt->router, attempt->retry_s);
  }
  if (f)
    fclose(f);
  int wrong = loadgen_count(loadgen, OUTCOME_WRONG);
  g_string_free(b, TRUE);
  real_world_free(world);
  loadgen_free(loadgen);
  config_free(config);
  return wrong ? 1 : 0;
}
