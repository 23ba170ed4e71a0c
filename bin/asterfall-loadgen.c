/** asterfall-loadgen: simulated clients of a real fleet. It requests the models and adapters of a
 * catalogue at a given rate, checks every event of the responses, and prints the outcomes of the
 * requests as JSON. It exits with PROGRAM_EXIT_FAULT when a response was wrong. */
#include "config.h"
#include "program.h"
#include "simulators.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const char program_name[] = "asterfall-loadgen";

enum {
  /** The interval between two checks whether all requests were sent. */
  SEND_POLL_MS = 20,
  /** How long it then waits for open requests: longer than a request can take. */
  OPEN_REQUESTS_WAIT_MS = 130000
};

/** The command line; the strings belong to argv. */
struct options {
  /** Separated by commas. */
  const char *routers;
  const char *catalogue_file, *policy_file, *ip;
  /** NULL: no log is written. */
  const char *attempt_log_file;
  double requests_per_s, request_count, duration_s, zipf_exponent;
  /** How many times a client repeats a rejected request after the wait that Retry-After asks for.
   */
  int retries_max;
};

static const struct options defaults = { .ip = "127.0.0.1",
                                         .requests_per_s = 5,
                                         .request_count = 100,
                                         .duration_s = 60,
                                         .zipf_exponent = 1.0 };

static const struct argp_option option_table[] = {
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

static error_t parse(int key, char *value, struct argp_state *state) {
  struct options *options = state->input;
  switch (key) {
  case 'v':
    options->routers = value;
    return 0;
  case 'c':
    options->catalogue_file = value;
    return 0;
  case 'p':
    options->policy_file = value;
    return 0;
  case 'i':
    options->ip = value;
    return 0;
  case 'l':
    options->attempt_log_file = value;
    return 0;
  case 't':
    options->retries_max = atoi(value);
    return 0;
  case 'r':
    options->requests_per_s = atof(value);
    return 0;
  case 'n':
    options->request_count = atof(value);
    return 0;
  case 's':
    options->duration_s = atof(value);
    return 0;
  case 'z':
    options->zipf_exponent = atof(value);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/** Compiles the catalogue and, when it can be read, the policy. The caller frees the configuration;
 * NULL with err set when it is invalid. */
static config *make_config(const GString *catalogue, const char *policy_file, error *err) {
  json *resources[RESOURCE_COUNT] = { 0 };
  resources[RESOURCE_CATALOGUE] = json_parse(string_view_of_gstring(catalogue), err);
  GString *policy = policy_file ? program_read_file(policy_file) : NULL;
  if (policy) {
    resources[RESOURCE_POLICY] = json_parse(string_view_of_gstring(policy), err);
    g_string_free(policy, TRUE);
  }
  config *config = NULL;
  if (resources[RESOURCE_CATALOGUE])
    config = config_compile((const json **)resources, err);
  json_free(resources[RESOURCE_CATALOGUE]);
  json_free(resources[RESOURCE_POLICY]);
  return config;
}

/** Sets the models, adapters and kinds of request from which the generator chooses at random. */
static void set_demand(loadgen *loadgen, const config *config) {
  for (guint i = 0; i < config->models->len; i++) {
    const catalogue_model *model = &g_array_index(config->models, catalogue_model, i);
    loadgen_add_target(loadgen, model->self, id_of_text(""));
  }
  for (guint i = 0; i < config->adapters->len; i++) {
    const catalogue_adapter *adapter = &g_array_index(config->adapters, catalogue_adapter, i);
    loadgen_add_target(loadgen, adapter->model, adapter->self);
  }
  int kind_max = G_N_ELEMENTS(loadgen->plan.kinds);
  for (int i = 0; i < kind_max && i < config->kind_count; i++)
    loadgen->plan.kinds[i] = config->kinds[i].self.text;
}

static void set_plan(loadgen *loadgen, const struct options *options) {
  char **routers = g_strsplit(options->routers, ",", -1);
  for (char **router = routers; *router; router++)
    g_ptr_array_add(loadgen->plan.routers, g_strdup(*router));
  g_strfreev(routers);
  loadgen->plan.requests_per_s = options->requests_per_s;
  loadgen->plan.zipf_exponent = options->zipf_exponent;
  loadgen->plan.retries_max = options->retries_max;
}

/** The argument of the task that ends the run. */
struct run {
  loadgen *loadgen;
  const struct options *options;
};

/** Waits until all requests were sent or the time is over. Returns false when the process shuts
 * down. */
static bool wait_until_sent(const struct run *run) {
  loadgen *loadgen = run->loadgen;
  int64_t duration_ms = (int64_t)(run->options->duration_s * 1000);
  uint64_t request_count = (uint64_t)run->options->request_count;
  time_us deadline = time_add(world_now(loadgen->world), time_from_ms(duration_ms));
  while (loadgen->count < request_count && !time_reached(world_now(loadgen->world), deadline))
    if (!world_sleep(loadgen->world, time_from_ms(SEND_POLL_MS)))
      return false;
  return true;
}

/** The task that stops the generator and ends the event loop once open requests have ended. */
static void end_run(void *argument) {
  const struct run *run = argument;
  loadgen *loadgen = run->loadgen;
  if (!wait_until_sent(run))
    return;
  loadgen->stop = true;
  time_us deadline = time_add(world_now(loadgen->world), time_from_ms(OPEN_REQUESTS_WAIT_MS));
  while (loadgen->open_requests)
    if (condition_wait(&loadgen->world->tasks, &loadgen->idle, deadline) != WAKE_SIGNALLED)
      break;
  real_world_stop(loadgen->world);
}

static void print_summary(loadgen *loadgen) {
  GString *text = g_string_new(NULL);
  loadgen_json(loadgen, text);
  fputs(text->str, stdout);
  g_string_free(text, TRUE);
}

/** Writes one line per attempt: T, start and end in us, tag, outcome, code, "resumable" or "once",
 * router, and the seconds of Retry-After. */
static void write_attempt_log(const loadgen *loadgen, const char *file) {
  static const char *const outcome_names[] = {
    [OUTCOME_OPEN] = "open",      [OUTCOME_DONE] = "done",
    [OUTCOME_NOT_RUN] = "notRun", [OUTCOME_UNKNOWN] = "unknown",
    [OUTCOME_BROKEN] = "broken",  [OUTCOME_NO_RESPONSE] = "noAnswer",
    [OUTCOME_WRONG] = "wrong",    [OUTCOME_CALLER_GONE] = "left",
  };
  FILE *stream = fopen(file, "w");
  if (!stream)
    return;
  for (guint i = 0; i < loadgen->attempts->len; i++) {
    const loadgen_attempt *attempt = &g_array_index(loadgen->attempts, loadgen_attempt, i);
    const loadgen_request *request = attempt->request;
    fprintf(stream, "T %" PRId64 " %" PRId64 " %s %s %d %s %s %d\n", attempt->started_at.us,
            attempt->ended_at.us, request->tag, outcome_names[attempt->outcome], attempt->code,
            request->resumable ? "resumable" : "once", attempt->router, attempt->retry_s);
  }
  fclose(stream);
}

/** Runs the clients until all requests have ended, and prints the outcomes. */
static enum program_exit generate_load(const struct options *options, const config *config) {
  real_settings client_settings = { .port = 0 };
  g_strlcpy(client_settings.ip, options->ip, sizeof client_settings.ip);
  world *world = program_client_world(program_name, &client_settings);
  if (!world)
    return PROGRAM_EXIT_NOT_STARTED;
  loadgen *loadgen = loadgen_new(world, id_of_text("loadgen"));
  set_plan(loadgen, options);
  set_demand(loadgen, config);
  loadgen_start(loadgen);
  struct run run = { loadgen, options };
  task_start(&world->tasks, "end", end_run, &run);
  real_world_run(world, NULL, NULL);
  print_summary(loadgen);
  if (options->attempt_log_file)
    write_attempt_log(loadgen, options->attempt_log_file);
  bool has_wrong_answers = loadgen_count(loadgen, OUTCOME_WRONG) > 0;
  real_world_free(world);
  loadgen_free(loadgen);
  return has_wrong_answers ? PROGRAM_EXIT_FAULT : PROGRAM_EXIT_OK;
}

int main(int argc, char **argv) {
  struct options options = defaults;
  struct argp parser = { .options = option_table,
                         .parser = parse,
                         .doc = "asterfall-loadgen: simulated callers" };
  argp_parse(&parser, argc, argv, 0, NULL, &options);
  GString *catalogue = NULL;
  if (!options.routers || !options.catalogue_file ||
      !(catalogue = program_read_file(options.catalogue_file)) || options.requests_per_s <= 0) {
    program_error(program_name, "--routers and --catalogue are needed");
    return PROGRAM_EXIT_NOT_STARTED;
  }
  error err = { 0 };
  config *config = make_config(catalogue, options.policy_file, &err);
  g_string_free(catalogue, TRUE);
  if (!config) {
    program_report_error(program_name, &err);
    return PROGRAM_EXIT_NOT_STARTED;
  }
  enum program_exit exit_code = generate_load(&options, config);
  config_free(config);
  return exit_code;
}
