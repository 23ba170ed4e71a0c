#include "args.h"
#include "json.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
  settings *settings;
  enum role role;
  bool check;
  GString *extra;
  const char *file;
} args;

static const struct argp_option opts[] = {
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

static void set_key(args *a, const char *key, char *arg, bool many) {
  GString *g = a->extra;
  json_appendf(g, "%s\"%s\":", g->len > 1 ? "," : "", key);
  if (!many) {
    json_append_quoted(g, string_view_of(arg));
    return;
  }
  char **p = g_strsplit(arg, ",", -1);
  g_string_append_c(g, '[');
  for (char **k = p; *k; k++) {
    if (k != p)
      g_string_append_c(g, ',');
    json_append_quoted(g, string_view_of(*k));
  }
  g_string_append_c(g, ']');
  g_strfreev(p);
}

static error_t parse(int key, char *arg, struct argp_state *st) {
  args *a = st->input;
  switch (key) {
  case 'e':
    a->file = arg;
    return 0;
  case 'i':
    set_key(a, "id", arg, false);
    return 0;
  case 'a':
    set_key(a, "area", arg, false);
    return 0;
  case 'l':
    set_key(a, "listen", arg, false);
    return 0;
  case 's':
    set_key(a, "seeds", arg, true);
    return 0;
  case 'd':
    set_key(a, "data", arg, false);
    return 0;
  case 'f':
    set_key(a, "founders", arg, true);
    return 0;
  case 'p':
    set_key(a, "platform", arg, false);
    return 0;
  case 'v':
    a->settings->debug_log = true;
    return 0;
  case 'j':
    a->settings->json_log = true;
    return 0;
  case 'c':
    a->check = true;
    return 0;
  case ARGP_KEY_ARG:
    argp_error(st, "no such argument: %s", arg);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

bool address_split(const char *addr, char *ip, size_t n, int *port) {
  const char *c = strrchr(addr, ':');
  if (!c || (size_t)(c - addr) >= n)
    return false;
  memcpy(ip, addr, c - addr);
  ip[c - addr] = 0;
  *port = atoi(c + 1);
  return true;
}

bool args_settings(int argc, char **argv, enum role role, const char *doc, settings *settings) {
  memset(settings, 0, sizeof *settings);
  args a = { settings, role, false, g_string_new("{"), NULL };
  settings->role = role;
  struct argp p = { opts, parse, NULL, doc, NULL, NULL, NULL };
  argp_parse(&p, argc, argv, 0, NULL, &a);
  g_string_append_c(a.extra, '}');
  error err = { 0 };
  int r = a.file ? settings_read_file(settings, role, a.file, &err) : OK;
  if (!r)
    r = settings_parse(settings, role, string_view_of_gstring(a.extra), "command line", &err);
  if (!r)
    r = settings_check(settings, &err);
  g_string_free(a.extra, TRUE);
  if (r) {
    fprintf(stderr, "%s: %s (code %d)\n", argv[0], err.text, r);
    exit(2);
  }
  if (a.check)
    printf("%s %s: the settings are sound\n", role == ROLE_CONTROLLER ? "controller" : "router",
           settings->self.text);
  return a.check;
}
