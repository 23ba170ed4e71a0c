/** asterfall-platform-sim: a simulated platform. It serves a list of engines from a file to the
 * routers of a real fleet. */
#include "node.h"
#include "program.h"
#include "simulators.h"
#include <argp.h>

static const char program_name[] = "asterfall-platform-sim";

/** The largest body of a request, in bytes. */
enum { BODY_MAX_BYTES = 1 << 20 };

/** The command line; the strings belong to argv. */
struct options {
  char *listen_address, *engines_file;
};

static const struct argp_option option_table[] = {
  { "listen", 'l', "IP:PORT", 0, "where it listens", 0 },
  { "engines", 'e', "FILE", 0, "the list (JSON)", 0 },
  { 0 }
};

static error_t parse(int key, char *value, struct argp_state *state) {
  struct options *options = state->input;
  switch (key) {
  case 'l':
    options->listen_address = value;
    return 0;
  case 'e':
    options->engines_file = value;
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/** Serves the list until a signal ends the process. */
static enum program_exit serve(const struct options *options, const json *engines) {
  real_settings listener = { .body_max_bytes = BODY_MAX_BYTES };
  world *world = program_listener_world(program_name, options->listen_address, &listener);
  if (!world)
    return PROGRAM_EXIT_NOT_STARTED;
  platform_sim *platform = platform_sim_new(world);
  bool is_list = platform_sim_replace_engines(platform, engines);
  if (is_list)
    real_world_run(world, NULL, NULL);
  else
    program_error(program_name, "%s holds no list of engines", options->engines_file);
  real_world_free(world);
  platform_sim_free(platform);
  return is_list ? PROGRAM_EXIT_OK : PROGRAM_EXIT_NOT_STARTED;
}

int main(int argc, char **argv) {
  struct options options = { 0 };
  struct argp parser = { .options = option_table,
                         .parser = parse,
                         .doc = "asterfall-platform-sim: a simulated platform" };
  argp_parse(&parser, argc, argv, 0, NULL, &options);
  GString *text = NULL;
  if (!options.listen_address || !address_is_valid(options.listen_address) ||
      !options.engines_file || !(text = program_read_file(options.engines_file))) {
    program_error(program_name, "--listen IP:PORT and --engines FILE are needed");
    return PROGRAM_EXIT_NOT_STARTED;
  }
  error err = { 0 };
  json *engines = json_parse(string_view_of_gstring(text), &err);
  g_string_free(text, TRUE);
  if (!engines) {
    program_report_error(program_name, &err);
    return PROGRAM_EXIT_NOT_STARTED;
  }
  enum program_exit exit_code = serve(&options, engines);
  json_free(engines);
  return exit_code;
}
