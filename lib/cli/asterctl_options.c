/** The command line of asterctl, read by argp. See asterctl_options.h. */
#include "asterctl_options.h"
#include "exit_code.h"
#include <argp.h>
#include <stdlib.h>

enum { WAIT_DEFAULT_S = 10, WAIT_MIN_S = 1, WAIT_MAX_S = 3600 };

static const struct argp_option option_table[] = {
  { "at", 'a', "IP:PORT,...", 0, "controllers (or routers) to ask, tried in turn; or ASTERCTL_AT",
    0 },
  { "file", 'f', "FILE", 0, "the value to send; - reads from the input", 0 },
  { "if-version", 'm', "N", 0, "write only over this version", 0 },
  { "key", 'k', "TEXT", 0, "idempotency key; the same key is applied once", 0 },
  { "wait", 'W', "S", OPTION_ARG_OPTIONAL,
    "after a write: return when every live node has it in force, or name those that have not after S seconds (10)",
    0 },
  { "json", 'j', NULL, 0, "print what came, as it came", 0 },
  { 0, 0, 0, 0, "For trial:", 1 },
  { "seeds", 's', "N", 0, "traces to draw (11)", 1 },
  { "requests", 'n', "N", 0, "requests in each (4000)", 1 },
  { "things", 't', "N", 0, "models to ask for (60)", 1 },
  { "room", 'r', "SHARE", 0, "room, as a share of all models (0.3)", 1 },
  { "zipf", 'z', "X", 0, "steepness of demand (0.9)", 1 },
  { "rate", 'q', "N", 0, "requests a second (1)", 1 },
  { "bursts", 'b', "SHARE", 0, "how often one thing is asked for in a row (0.01)", 1 },
  { "relation", 'l', "HOW", 0, "popularity against load time: none, like, unlike (none)", 1 },
  { "policies", 'p', "A,B", 0, "policies to run, parted by ; or ,; expr:EXPRESSION is one too", 1 },
  { "window", 'w', "S", 0, "window of the rates (600)", 1 },
  { "start", 'o', "MS", 0, "start value of load times (4000)", 1 },
  { "smooth", 'x', "W", 0, "weight of a new timed load (0.3)", 1 },
  { 0 }
};

/** The defaults that the help text states. In the replay, 0 stands for its own default. */
static const struct asterctl_options defaults = {
  .trace_count = 11,
  .policies = "cremebrulee,popularity,lru,random,belady,oracle",
  .trace_plan = { .model_count = 60,
                  .request_count = 4000,
                  .zipf_exponent = 0.9,
                  .requests_per_s = 1,
                  .burst_probability = 0.01 },
  .replay = { .capacity_share = 0.3 },
};

static void set_wait(struct asterctl_options *options, const char *value,
                     struct argp_state *state) {
  options->wait_s = value ? atoi(value) : WAIT_DEFAULT_S;
  if (options->wait_s < WAIT_MIN_S || options->wait_s > WAIT_MAX_S)
    argp_error(state, "--wait takes %d to %d seconds", WAIT_MIN_S, WAIT_MAX_S);
}

static enum popularity_relation relation_from_name(const char *name) {
  if (!strcmp(name, "like"))
    return POPULARITY_RISES_WITH_LOAD_TIME;
  if (!strcmp(name, "unlike"))
    return POPULARITY_FALLS_WITH_LOAD_TIME;
  return POPULARITY_INDEPENDENT;
}

static void add_word(struct asterctl_options *options, const char *word, struct argp_state *state) {
  if (options->word_count == ASTERCTL_WORDS_MAX)
    argp_error(state, "too many arguments");
  options->words[options->word_count++] = word;
}

/** Reads an option of `trial`. Returns ARGP_ERR_UNKNOWN for any other key. */
static error_t parse_trial_option(struct asterctl_options *options, int key, const char *value) {
  switch (key) {
  case 's':
    options->trace_count = atoi(value);
    return 0;
  case 'n':
    options->trace_plan.request_count = atoi(value);
    return 0;
  case 't':
    options->trace_plan.model_count = atoi(value);
    return 0;
  case 'r':
    options->replay.capacity_share = atof(value);
    return 0;
  case 'z':
    options->trace_plan.zipf_exponent = atof(value);
    return 0;
  case 'q':
    options->trace_plan.requests_per_s = atof(value);
    return 0;
  case 'b':
    options->trace_plan.burst_probability = atof(value);
    return 0;
  case 'l':
    options->trace_plan.relation = relation_from_name(value);
    return 0;
  case 'p':
    options->policies = value;
    return 0;
  case 'w':
    options->replay.window_s = atoi(value);
    return 0;
  case 'o':
    options->replay.initial_load_ms = atof(value);
    return 0;
  case 'x':
    options->replay.smoothing_factor = atof(value);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/** The parser that argp calls for each option and argument. */
static error_t parse(int key, char *value, struct argp_state *state) {
  struct asterctl_options *options = state->input;
  switch (key) {
  case 'a':
    options->addresses = value;
    return 0;
  case 'f':
    options->file = value;
    return 0;
  case 'm':
    options->if_version = value;
    return 0;
  case 'k':
    options->idempotency_key = value;
    return 0;
  case 'W':
    set_wait(options, value, state);
    return 0;
  case 'j':
    options->json = true;
    return 0;
  case ARGP_KEY_ARG:
    add_word(options, value, state);
    return 0;
  case ARGP_KEY_END:
    if (!options->word_count)
      argp_usage(state);
    return 0;
  default:
    return parse_trial_option(options, key, value);
  }
}

void asterctl_options_parse(struct asterctl_options *options, int argc, char **argv,
                            const char *help) {
  *options = defaults;
  options->addresses = getenv("ASTERCTL_AT");
  struct argp parser = { option_table, parse, "COMMAND ...", help, NULL, NULL, NULL };
  argp_err_exit_status = EXIT_CODE_USAGE;
  argp_parse(&parser, argc, argv, 0, NULL, options);
}

const char *asterctl_options_word(const struct asterctl_options *options, int index) {
  return index < options->word_count ? options->words[index] : "";
}
