#include "args.h"
#include "real_world.h"
#include "simulators.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static struct {
  char *self, *area, *type, *listen, *record;
  double megs, slots, rate, token;
} a = { "g1", "none", "any", "", NULL, 24000, 4, 8000, 20 };

static const struct argp_option opts[] = {
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

static error_t parse(int key, char *arg, struct argp_state *st) {
  (void)st;
  switch (key) {
  case 'i':
    a.self = arg;
    return 0;
  case 'a':
    a.area = arg;
    return 0;
  case 't':
    a.type = arg;
    return 0;
  case 'l':
    a.listen = arg;
    return 0;
  case 'w':
    a.megs = atof(arg);
    return 0;
  case 's':
    a.slots = atof(arg);
    return 0;
  case 'r':
    a.rate = atof(arg);
    return 0;
  case 'R':
    a.record = arg;
    return 0;
  case 'k':
    a.token = atof(arg);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void note(void *ctx, const char *line) {
  fprintf(ctx, "%s\n", line);
  fflush(ctx);
}

int main(int argc, char **argv) {
  struct argp p = {
    opts, parse, NULL, "asterfall-engine-sim: a simulated engine", NULL, NULL, NULL
  };
  argp_parse(&p, argc, argv, 0, NULL, NULL);
  real_settings e = { .body_max_bytes = 1 << 20 };
  if (!address_is_valid(a.listen) || !id_is_valid(string_view_of(a.self))) {
    fprintf(stderr, "asterfall-engine-sim: a name and --listen IP:PORT are needed\n");
    return 2;
  }
  address_split(a.listen, e.ip, sizeof e.ip, &e.port);
  error err = { 0 };
  world *world = real_world_new(&e, &err);
  if (!world) {
    fprintf(stderr, "asterfall-engine-sim: %s (code %d)\n", err.text, err.code);
    return 2;
  }
  engine_sim *engine = engine_sim_new(world, id_of_text(a.self), id_of_text(a.type),
                                      id_of_text(a.area), a.megs, a.slots);
  FILE *f = a.record ? fopen(a.record, "a") : NULL;
  if (f) {
    engine->on_record = note;
    engine->on_record_context = f;
  }
  engine->faults.load_mb_per_s = a.rate;
  engine->faults.token_ms = a.token;
  real_world_run(world, NULL, NULL);
  GString *b = g_string_new(NULL);
  engine_sim_record(engine, b);
  fputs(b->str, stdout);
  g_string_free(b, TRUE);
  real_world_free(world);
  engine_sim_free(engine);
  if (f)
    fclose(f);
  return 0;
}
