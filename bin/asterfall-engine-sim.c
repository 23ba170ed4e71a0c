/** asterfall-engine-sim: a simulated engine for a real fleet. It only pretends to load and run
 * models. It records all orders, runs and rejections, and prints the record as JSON when it exits.
 */
#include "node.h"
#include "program.h"
#include "simulators.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const char program_name[] = "asterfall-engine-sim";

/** The largest body of a request, in bytes. */
enum { BODY_MAX_BYTES = 1 << 20 };

/** The command line; the strings belong to argv. */
struct options {
  const char *name, *zone, *type, *listen_address;
  /** The file to which each entry of the record is appended at once; NULL: none. */
  const char *record_file;
  double weights_mb, adapter_slots, load_mb_per_s, token_ms;
};

static const struct options defaults = { .name = "g1",
                                         .zone = "none",
                                         .type = "any",
                                         .listen_address = "",
                                         .weights_mb = 24000,
                                         .adapter_slots = 4,
                                         .load_mb_per_s = 8000,
                                         .token_ms = 20 };

static const struct argp_option option_table[] = {
  { "id", 'i', "NAME", 0, "name", 0 },
  { "area", 'a', "NAME", 0, "area", 0 },
  { "type", 't', "NAME", 0, "engine type", 0 },
  { "listen", 'l', "IP:PORT", 0, "where it listens", 0 },
  { "weights", 'w', "MB", 0, "room for weights", 0 },
  { "slots", 's', "N", 0, "places for adapters", 0 },
  { "rate", 'r', "MB/S", 0, "how fast it loads", 0 },
  { "token", 'k', "MS", 0, "time of a token", 0 },
  { "record", 'R', "FILE", 0, "adds every order, run and refusal to a file as it comes", 0 },
  { 0 }
};

static error_t parse(int key, char *value, struct argp_state *state) {
  struct options *options = state->input;
  switch (key) {
  case 'i':
    options->name = value;
    return 0;
  case 'a':
    options->zone = value;
    return 0;
  case 't':
    options->type = value;
    return 0;
  case 'l':
    options->listen_address = value;
    return 0;
  case 'w':
    options->weights_mb = atof(value);
    return 0;
  case 's':
    options->adapter_slots = atof(value);
    return 0;
  case 'r':
    options->load_mb_per_s = atof(value);
    return 0;
  case 'k':
    options->token_ms = atof(value);
    return 0;
  case 'R':
    options->record_file = value;
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/** Appends a line to the record file and flushes it, so that it survives a crash. */
static void append_record_line(void *stream, const char *line) {
  fprintf(stream, "%s\n", line);
  fflush(stream);
}

/** Creates the engine that the command line describes; `record` may be NULL. */
static engine_sim *make_engine(const struct options *options, world *world, FILE *record) {
  engine_sim *engine = engine_sim_new(world, id_of_text(options->name), id_of_text(options->type),
                                      id_of_text(options->zone), (uint64_t)options->weights_mb,
                                      (unsigned)options->adapter_slots);
  if (record) {
    engine->on_record = append_record_line;
    engine->on_record_context = record;
  }
  engine->faults.load_mb_per_s = options->load_mb_per_s;
  engine->faults.token_ms = (int64_t)options->token_ms;
  return engine;
}

static void print_record(engine_sim *engine) {
  GString *text = g_string_new(NULL);
  engine_sim_append_summary(engine, text);
  fputs(text->str, stdout);
  g_string_free(text, TRUE);
}

int main(int argc, char **argv) {
  struct options options = defaults;
  struct argp parser = { .options = option_table,
                         .parser = parse,
                         .doc = "asterfall-engine-sim: a simulated engine" };
  argp_parse(&parser, argc, argv, 0, NULL, &options);
  if (!address_is_valid(options.listen_address) || !id_is_valid(string_view_of(options.name))) {
    program_error(program_name, "a name and --listen IP:PORT are needed");
    return PROGRAM_EXIT_NOT_STARTED;
  }
  real_settings listener = { .body_max_bytes = BODY_MAX_BYTES };
  world *world = program_listener_world(program_name, options.listen_address, &listener);
  if (!world)
    return PROGRAM_EXIT_NOT_STARTED;
  FILE *record = options.record_file ? fopen(options.record_file, "a") : NULL;
  engine_sim *engine = make_engine(&options, world, record);
  real_world_run(world, NULL, NULL);
  print_record(engine);
  real_world_free(world);
  engine_sim_free(engine);
  if (record)
    fclose(record);
  return PROGRAM_EXIT_OK;
}
