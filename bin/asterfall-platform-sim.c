#include "args.h"
#include "real_world.h"
#include "simulators.h"
#include <argp.h>
#include <stdio.h>

static struct { char *listen, *file; } a;
static const struct argp_option opts[] = { { "listen", 'l', "IP:PORT", 0, "where it listens", 0 },
                                           { "engines", 'e', "FILE", 0, "the list (JSON)", 0 },
                                           { 0 } };

static error_t parse(int key, char *arg, struct argp_state *st) {
  (void)st;
  if (key == 'l')
    a.listen = arg;
  else if (key == 'e')
    a.file = arg;
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

int main(int argc, char **argv) {
  struct argp p = { opts, parse, NULL, "asterfall-platform-sim: a simulated platform",
                    NULL, NULL,  NULL };
  argp_parse(&p, argc, argv, 0, NULL, NULL);
  real_settings e = { .body_max_bytes = 1 << 20 };
  error err = { 0 };
  gchar *text = NULL;
  gsize n;
  if (!a.listen || !address_is_valid(a.listen) || !a.file ||
      !g_file_get_contents(a.file, &text, &n, NULL)) {
    fprintf(stderr, "asterfall-platform-sim: --listen IP:PORT and --engines FILE are needed\n");
    return 2;
  }
  address_split(a.listen, e.ip, sizeof e.ip, &e.port);
  json *json = json_parse((string_view){ text, n }, &err);
  g_free(text);
  world *world = json ? real_world_new(&e, &err) : NULL;
  if (!world) {
    fprintf(stderr, "asterfall-platform-sim: %s (code %d)\n", err.text, err.code);
    json_free(json);
    return 2;
  }
  platform_sim *m = platform_sim_new(world);
  bool ok = platform_sim_replace_engines(m, json);
  json_free(json);
  if (ok)
    real_world_run(world, NULL, NULL);
  else
    fprintf(stderr, "asterfall-platform-sim: %s holds no list of engines\n", a.file);
  real_world_free(world);
  platform_sim_free(m);
  return ok ? 0 : 2;
}
