/** The command line of the daemons: see args.h. Flags are converted to the JSON of a settings file,
 * so that settings_parse checks both in the same way. */
#include "args.h"
#include "json.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

enum { EXIT_BAD_SETTINGS = 2 };

typedef struct arguments {
  settings *settings;
  enum role role;
  bool check_only;
  /** The settings given by flags, as a JSON object that is not yet closed. */
  GString *flags;
  /** The settings file; NULL if none is given. */
  const char *file;
} arguments;

static const struct argp_option options[] = {
  { "env", 'e', "FILE", 0, "settings file (JSON)", 0 },
  { "id", 'i', "NAME", 0, "name of this machine", 0 },
  { "area", 'a', "NAME", 0, "area it stands in", 0 },
  { "listen", 'l', "IP:PORT", 0, "where it listens", 0 },
  { "seeds", 's', "A,B,C", 0, "three addresses of other processes", 0 },
  { "data", 'd', "DIR", 0, "data folder (controller)", 0 },
  { "founders", 'f', "A,B,C", 0, "names of the three founding controllers (controller)", 0 },
  { "platform", 'p', "IP:PORT", 0, "the platform's list (router)", 0 },
  { "loud", 'v', NULL, 0, "log more", 0 },
  { "json-log", 'j', NULL, 0, "log lines of JSON", 0 },
  { "check", 'c', NULL, 0, "check the settings and end", 0 },
  { 0 }
};

static void append_key(arguments *arguments, const char *key) {
  if (arguments->flags->len > 1)
    g_string_append_c(arguments->flags, ',');
  json_appendf(arguments->flags, "\"%s\":", key);
}

static void set_text(arguments *arguments, const char *key, const char *value) {
  append_key(arguments, key);
  json_append_quoted(arguments->flags, string_view_of(value));
}

/* Sets a key to a list, from values separated by commas. */
static void set_list(arguments *arguments, const char *key, const char *values) {
  append_key(arguments, key);
  char **items = g_strsplit(values, ",", -1);
  g_string_append_c(arguments->flags, '[');
  for (char **item = items; *item; item++) {
    if (item != items)
      g_string_append_c(arguments->flags, ',');
    json_append_quoted(arguments->flags, string_view_of(*item));
  }
  g_string_append_c(arguments->flags, ']');
  g_strfreev(items);
}

static error_t parse_option(int key, char *value, struct argp_state *state) {
  arguments *arguments = state->input;
  switch (key) {
  case 'e':
    arguments->file = value;
    return 0;
  case 'i':
    set_text(arguments, "id", value);
    return 0;
  case 'a':
    set_text(arguments, "area", value);
    return 0;
  case 'l':
    set_text(arguments, "listen", value);
    return 0;
  case 's':
    set_list(arguments, "seeds", value);
    return 0;
  case 'd':
    set_text(arguments, "data", value);
    return 0;
  case 'f':
    set_list(arguments, "founders", value);
    return 0;
  case 'p':
    set_text(arguments, "platform", value);
    return 0;
  case 'v':
    arguments->settings->debug_log = true;
    return 0;
  case 'j':
    arguments->settings->json_log = true;
    return 0;
  case 'c':
    arguments->check_only = true;
    return 0;
  case ARGP_KEY_ARG:
    argp_error(state, "no such argument: %s", value);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/* Applies the flags after the file, so that they override it. */
static enum error_code read_settings(const arguments *arguments, error *err) {
  enum error_code code = OK;
  if (arguments->file)
    code = settings_read_file(arguments->settings, arguments->role, arguments->file, err);
  if (!code)
    code = settings_parse(arguments->settings, arguments->role,
                          string_view_of_gstring(arguments->flags), "command line", err);
  if (!code)
    code = settings_check(arguments->settings, err);
  return code;
}

bool args_read_settings(int argc, char **argv, enum role role, const char *description,
                        settings *settings) {
  memset(settings, 0, sizeof *settings);
  settings->role = role;
  arguments arguments = { .settings = settings, .role = role, .flags = g_string_new("{") };
  struct argp parser = { .options = options, .parser = parse_option, .doc = description };
  argp_parse(&parser, argc, argv, 0, NULL, &arguments);
  g_string_append_c(arguments.flags, '}');
  error err = { 0 };
  enum error_code code = read_settings(&arguments, &err);
  g_string_free(arguments.flags, TRUE);
  if (code) {
    fprintf(stderr, "%s: %s (code %d)\n", argv[0], err.text, (int)code);
    exit(EXIT_BAD_SETTINGS);
  }
  if (arguments.check_only)
    printf("%s %s: the settings are sound\n", role == ROLE_CONTROLLER ? "controller" : "router",
           settings->self.text);
  return arguments.check_only;
}
