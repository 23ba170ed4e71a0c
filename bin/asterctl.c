#include "config.h"
#include "doctor.h"
#include "real_world.h"
#include "node.h"
#include "policy_replay.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/* exit codes: 0 done, 1 refused or a fault found, 2 bad command line, 3 lost race, 4 outcome not
 * known, 5 no answer, 6 not in force everywhere in time */
enum { X_OK, X_NO, X_USE, X_RACE, X_UNSURE, X_MUTE, X_WAIT };

typedef struct {
  char *at, *file, *key, *match;
  bool json;
  int wait;
  char *words[8];
  int n;
  int code;
  world *world;
  trace_plan plan;
  replay_options knobs;
  int seeds;
  char *policies;
} options;

static const struct argp_option opts[] = {
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

static const char doc[] =
    "asterctl: the operators' command line of asterfall\v"
    "Commands:\n"
    "  get RESOURCE               catalogue, policy, evacuation, routing, canary, view, nodes, status, contracts, engines, holdings,\n"
    "                             registry (at a core machine), gateway (at a gateway)\n"
    "  apply RESOURCE -f FILE     puts the whole of catalogue, policy, evacuation, routing or canary\n"
    "  patch RESOURCE -f FILE     merges a part into it (RFC 7396); for routing: {version, set, drop} by names\n"
    "  gateways                   all gateways at a glance: ready, revision, requests, engines\n"
    "  watch RESOURCE             prints each new version as it comes\n"
    "  evacuate AREA [SHARE]      empties an area, or a share of its engines from 0 to 1; 0 ends it\n"
    "  status                     the core and all nodes at a glance\n"
    "  record -f FILE             writes what the routers routed lately as a trace (at are routers and a controller)\n"
    "  canary start -f FILE       puts a routing policy on trial (docs/trial.md)\n"
    "  canary status              the trial, its judge and what each side did so far, or its verdict\n"
    "  canary stop                ends it; every new request goes by the old policy\n"
    "  trial [table]              replays a trace (-f) or drawn ones under several policies; needs no fleet\n"
    "  doctor                     looks for common faults; ends with 1 when it finds one\n"
    "\nEnds with 0 done, 1 refused or fault found, 2 bad use, 3 lost race, 4 outcome not known, 5 no answer,\n6 written, but not in force at every live node in time (--wait).\n";

static error_t parse(int key, char *arg, struct argp_state *st) {
  options *options = st->input;
  switch (key) {
  case 'a':
    options->at = arg;
    return 0;
  case 'f':
    options->file = arg;
    return 0;
  case 'm':
    options->match = arg;
    return 0;
  case 'k':
    options->key = arg;
    return 0;
  case 'W':
    options->wait = arg ? atoi(arg) : 10;
    if (options->wait < 1 || options->wait > 3600)
      argp_error(st, "--wait takes 1 to 3600 seconds");
    return 0;
  case 'j':
    options->json = true;
    return 0;
  case 's':
    options->seeds = atoi(arg);
    return 0;
  case 'n':
    options->plan.request_count = atoi(arg);
    return 0;
  case 't':
    options->plan.model_count = atoi(arg);
    return 0;
  case 'r':
    options->knobs.capacity_share = atof(arg);
    return 0;
  case 'z':
    options->plan.zipf_exponent = atof(arg);
    return 0;
  case 'q':
    options->plan.requests_per_s = atof(arg);
    return 0;
  case 'b':
    options->plan.burst_probability = atof(arg);
    return 0;
  case 'l':
    options->plan.relation = !strcmp(arg, "like")     ? POPULARITY_RISES_WITH_LOAD_TIME
                             : !strcmp(arg, "unlike") ? POPULARITY_FALLS_WITH_LOAD_TIME
                                                      : POPULARITY_INDEPENDENT;
    return 0;
  case 'p':
    options->policies = arg;
    return 0;
  case 'w':
    options->knobs.window_s = atoi(arg);
    return 0;
  case 'o':
    options->knobs.initial_load_ms = atof(arg);
    return 0;
  case 'x':
    options->knobs.smoothing_factor = atof(arg);
    return 0;
  case ARGP_KEY_ARG:
    if (options->n == 8)
      argp_error(st, "too many words");
    options->words[options->n++] = arg;
    return 0;
  case ARGP_KEY_END:
    if (!options->n)
      argp_usage(st);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/* asks each address in turn until one answers; a write is not sent twice unless it bears a key */
static int fetch(options *options, const char *verb, const char *path, const http_headers *h,
                 string_view body, GString *to, time_us span) {
  char **all = g_strsplit(options->at, ",", -1);
  int st = 0;
  for (int round = 0; round < 3 && !st; round++) {
    for (char **k = all; *k && !st; k++) {
      error err = { 0 };
      g_string_truncate(to, 0);
      st = http_call_fetch(options->world, *k, verb, path, h, body, to, span, &err);
      if (st == 503 && round < 2)
        st = 0;
      if (!st && err.code != E_NOT_CONNECTED && strcmp(verb, "GET") &&
          !(h && h->values[HEADER_IDEMPOTENCY_KEY])) {
        st = 504;
        break;
      }
    }
    if (!st && round < 2)
      world_sleep(options->world, time_from_ms(600));
  }
  g_strfreev(all);
  return st;
}

static int ends(int st) {
  if (st == 200 || st == 304)
    return X_OK;
  if (st == 412)
    return X_RACE;
  if (st == 504)
    return X_UNSURE;
  return st ? X_NO : X_MUTE;
}

static bool is_res(const char *s) {
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (!strcmp(s, resource_names[i]))
      return true;
  return false;
}

static int show(options *options, int st, const GString *b) {
  if (!st)
    fprintf(stderr, "asterctl: nobody at %s answers\n", options->at);
  else if (b->len)
    fprintf(st == 200 ? stdout : stderr, "%s%s", b->str, b->str[b->len - 1] == '\n' ? "" : "\n");
  if (st == 504)
    fprintf(stderr,
            "asterctl: whether it was written is not known; send it again with the same --key\n");
  return ends(st);
}

static int get(options *options, const char *res) {
  char path[80];
  snprintf(path, sizeof path, "/v1/%s", res);
  GString *b = g_string_new(NULL);
  int x = show(options,
               fetch(options, "GET", path, NULL, string_view_of(""), b, time_from_ms(9000)), b);
  g_string_free(b, TRUE);
  return x;
}

static json *page(options *options, const char *at, const char *path);
static json *any_page(options *options, const char *path);

/* asks every node for the version that it has in force, until all that live have a write; the
 * others are named */
static int wait_all(options *options, uint64_t version) {
  time_us till = time_add(world_now(options->world), time_from_ms((int64_t)options->wait * 1000));
  for (;;) {
    GString *late = g_string_new(NULL), *gone = g_string_new(NULL);
    json *n = any_page(options, "/v1/nodes");
    int have = 0;
    for (size_t i = 0; i < json_count(n); i++) {
      const json *k = json_at(n, i);
      const char *name = json_text(k, "id", "");
      if (!strcmp(json_text(k, "standing", ""), "gone")) {
        json_appendf(gone, " %s", name);
        continue;
      }
      json *s = page(options, json_text(k, "addr", ""), "/v1/status");
      if (s && json_number(s, "version", 0) >= (double)version)
        have++;
      else
        json_appendf(late, " %s", name);
      json_free(s);
    }
    bool all = n && have && !late->len, over = time_reached(world_now(options->world), till);
    if (all)
      fprintf(stderr, "asterctl: write %" PRIu64 " is in force at all %d live nodes%s%s\n", version,
              have, gone->len ? "; gone and not asked:" : "", gone->str);
    else if (over)
      fprintf(
          stderr, "asterctl: write %" PRIu64 " is in force at %d nodes; not confirmed by:%s%s%s\n",
          version, have, late->len ? late->str : " anybody", gone->len ? "; gone:" : "", gone->str);
    json_free(n);
    g_string_free(late, TRUE);
    g_string_free(gone, TRUE);
    if (all)
      return X_OK;
    if (over || !world_sleep(options->world, time_from_ms(300)))
      return X_WAIT;
  }
}

static int put(options *options, const char *verb, const char *res, string_view body) {
  char path[80], key[40];
  snprintf(path, sizeof path, "/v1/%s", res);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  if (options->match)
    http_headers_set(&h, HEADER_IF_MATCH, options->match);
  snprintf(key, sizeof key, "asterctl-%016" PRIx64, options->world->random(options->world));
  http_headers_set(&h, HEADER_IDEMPOTENCY_KEY, options->key ? options->key : key);
  GString *b = g_string_new(NULL);
  int x = show(options, fetch(options, verb, path, &h, body, b, time_from_ms(9000)), b);
  json *json = x == X_OK && options->wait ? json_parse(string_view_of_gstring(b), NULL) : NULL;
  if (json)
    x = wait_all(options, (uint64_t)json_number(json, "version", 0));
  json_free(json);
  g_string_free(b, TRUE);
  http_headers_free(&h);
  return x;
}

static int put_file(options *options, const char *verb, const char *res) {
  if (!options->file || !is_res(res)) {
    fprintf(stderr,
            "asterctl: needs catalogue, policy, evacuation, routing or canary, and --file\n");
    return X_USE;
  }
  gchar *text = NULL;
  gsize n = 0;
  if (!strcmp(options->file, "-")) {
    GString *g = g_string_new(NULL);
    char buf[4096];
    size_t k;
    while ((k = fread(buf, 1, sizeof buf, stdin)) > 0)
      g_string_append_len(g, buf, k);
    n = g->len;
    text = g_string_free(g, FALSE);
  } else if (!g_file_get_contents(options->file, &text, &n, NULL)) {
    fprintf(stderr, "asterctl: %s can't be read\n", options->file);
    return X_USE;
  }
  int x = put(options, verb, res, (string_view){ text, n });
  g_free(text);
  return x;
}

static int watch(options *options, const char *res) {
  if (!is_res(res)) {
    fprintf(stderr,
            "asterctl: only catalogue, policy, evacuation, routing and canary can be watched\n");
    return X_USE;
  }
  uint64_t after = 0;
  GString *b = g_string_new(NULL);
  int unanswered = 0;
  for (;;) {
    char path[80];
    snprintf(path, sizeof path, "/v1/%s?after=%" PRIu64, res, after);
    int st = fetch(options, "GET", path, NULL, string_view_of(""), b, time_from_ms(25000));
    if (st == 200) {
      unanswered = 0;
      json *json = json_parse(string_view_of_gstring(b), NULL);
      after = json_number(json, "version", after);
      json_free(json);
      printf("%s", b->str);
      fflush(stdout);
    } else if (st != 304) {
      if (++unanswered > 5)
        break;
      if (!world_sleep(options->world, time_from_ms(500)))
        break;
    }
  }
  g_string_free(b, TRUE);
  return X_MUTE;
}

static int evacuate(options *options) {
  if (options->n < 2 || !id_is_valid(string_view_of(options->words[1]))) {
    fprintf(stderr, "asterctl: evacuate AREA [SHARE]\n");
    return X_USE;
  }
  char *end = NULL;
  double share = options->n > 2 ? g_ascii_strtod(options->words[2], &end) : 1;
  if (end && *end) {
    fprintf(stderr, "asterctl: a share goes from 0 to 1\n");
    return X_USE;
  }
  for (int turn = 0; turn < 4; turn++) {
    GString *b = g_string_new(NULL), *n = g_string_new("{\"areas\":[");
    int st =
        fetch(options, "GET", "/v1/evacuation", NULL, string_view_of(""), b, time_from_ms(9000));
    json *value = st == 200 ? json_parse(string_view_of_gstring(b), NULL) : NULL;
    g_string_free(b, TRUE);
    if (!value) {
      g_string_free(n, TRUE);
      fprintf(stderr, "asterctl: the core does not answer\n");
      return ends(st ? st : 0);
    }
    const json *l = json_get(json_get(value, "value"), "areas");
    bool first = true;
    for (size_t i = 0; i < json_count(l); i++) {
      const char *a = json_text(json_at(l, i), "area", "");
      if (!strcmp(a, options->words[1]))
        continue;
      json_appendf(n, "%s{\"area\":\"%s\",\"share\":%g}", first ? "" : ",", a,
                   json_number(json_at(l, i), "share", 1));
      first = false;
    }
    if (share > 0)
      json_appendf(n, "%s{\"area\":\"%s\",\"share\":%g}", first ? "" : ",", options->words[1],
                   share);
    g_string_append(n, "]}");
    char ver[32];
    snprintf(ver, sizeof ver, "%" PRIu64, (uint64_t)json_number(value, "version", 0));
    json_free(value);
    options->match = ver;
    int x = put(options, "PUT", "evacuation", string_view_of_gstring(n));
    options->match = NULL;
    g_string_free(n, TRUE);
    if (x != X_RACE)
      return x;
  }
  return X_RACE;
}

static json *page(options *options, const char *at, const char *path) {
  GString *b = g_string_new(NULL);
  error err = { 0 };
  int st = http_call_fetch(options->world, at, "GET", path, NULL, string_view_of(""), b,
                           time_from_ms(2500), &err);
  json *json = st == 200 ? json_parse(string_view_of_gstring(b), NULL) : NULL;
  g_string_free(b, TRUE);
  return json;
}

static json *any_page(options *options, const char *path) {
  char **all = g_strsplit(options->at, ",", -1);
  json *json = NULL;
  for (char **k = all; *k && !json; k++)
    json = page(options, *k, path);
  g_strfreev(all);
  return json;
}

static int status(options *options) {
  json *v = any_page(options, "/v1/view"), *n = any_page(options, "/v1/nodes");
  if (!n) {
    json_free(v);
    fprintf(stderr, "asterctl: nobody at %s answers\n", options->at);
    return X_MUTE;
  }
  if (v) {
    printf("view %.0f, chain", json_number(v, "epoch", 0));
    const json *c = json_get(v, "chain");
    for (size_t i = 0; i < json_count(c); i++)
      printf("%s %s", i ? " >" : "", json_text(json_at(c, i), "id", "?"));
    printf("%s\n", json_bool(v, "thin", false) ? " (too thin to write)" : "");
  }
  printf("%-12s %-5s %-12s %-8s %-8s %-7s %s\n", "NODE", "ROLE", "AREA", "STANDING", "VERSION",
         "FRESH", "ADDRESS");
  for (size_t i = 0; i < json_count(n); i++) {
    const json *k = json_at(n, i);
    json *s = strcmp(json_text(k, "standing", ""), "gone")
                  ? page(options, json_text(k, "addr", ""), "/v1/status")
                  : NULL;
    char ver[24] = "-";
    if (s)
      snprintf(ver, sizeof ver, "%.0f", json_number(s, "version", 0));
    const char *fresh = !s                                                             ? "-"
                        : json_bool(s, json_get(s, "fresh") ? "fresh" : "acts", false) ? "yes"
                                                                                       : "no";
    printf("%-12s %-5s %-12s %-8s %-8s %-7s %s\n", json_text(k, "id", ""), json_text(k, "role", ""),
           json_text(k, "area", ""), json_text(k, "standing", ""), ver, fresh,
           json_text(k, "addr", ""));
    json_free(s);
  }
  json_free(v);
  json_free(n);
  return X_OK;
}

static int gateways(options *options) {
  json *n = any_page(options, "/v1/nodes");
  if (!n) {
    fprintf(stderr, "asterctl: nobody at %s answers\n", options->at);
    return X_MUTE;
  }
  printf("%-12s %-9s %9s %9s %9s %9s %8s %8s %6s  %s\n", "GATEWAY", "READY", "REVISION", "REQUESTS",
         "SERVED", "REFUSED", "RETRIES", "ENGINES", "OPEN", "ADDRESS");
  int found = 0;
  for (size_t i = 0; i < json_count(n); i++) {
    const json *k = json_at(n, i);
    if (strcmp(json_text(k, "role", ""), "router") || !strcmp(json_text(k, "standing", ""), "gone"))
      continue;
    json *g = page(options, json_text(k, "addr", ""), "/v1/gateway");
    const json *e = json_get(g, "engines");
    int usable = 0;
    for (size_t q = 0; q < json_count(e); q++)
      usable += json_bool(json_at(e, q), "usable", false);
    if (g)
      printf("%-12s %-9s %9.0f %9.0f %9.0f %9.0f %8.0f %4d/%-3zu %6.0f  %s%s%s\n",
             json_text(k, "id", ""), json_bool(g, "ready", false) ? "yes" : "no",
             json_number(g, "revision", 0), json_number(g, "requests", 0),
             json_number(g, "served", 0), json_number(g, "refused", 0),
             json_number(g, "retries", 0), usable, json_count(e), json_number(g, "open", 0),
             json_text(k, "addr", ""), json_text(g, "why", "")[0] ? "  " : "",
             json_text(g, "why", ""));
    else
      printf("%-12s %-9s\n", json_text(k, "id", ""), "-");
    found += g != NULL;
    json_free(g);
  }
  json_free(n);
  return found ? X_OK : X_NO;
}

/* the figures of one side and priority, summed over the gateways */
typedef struct {
  double requests, in_aim, late, refused, failed;
} side_sum;

static void view_say(const char *name, const json *v) {
  const json *o = json_get(v, "old"), *c = json_get(v, "candidate");
  if (json_number(o, "requests", 0) + json_number(c, "requests", 0) <= 0)
    return;
  printf(
      "%-7s harm by the old policy %.4f (at most %.4f) of %.0f, by the candidate %.4f (at least %.4f) of %.0f\n",
      name, json_number(o, "harm", 0), json_number(o, "atMost", 1), json_number(o, "requests", 0),
      json_number(c, "harm", 0), json_number(c, "atLeast", 0), json_number(c, "requests", 0));
}

static int canary_status(options *options) {
  json *r = any_page(options, "/v1/canary"), *n = any_page(options, "/v1/nodes");
  const json *v = json_get(r, "value"), *end = json_get(v, "end");
  if (!r || !n) {
    json_free(r);
    json_free(n);
    fprintf(stderr, "asterctl: the core does not answer\n");
    return X_MUTE;
  }
  if (!json_count(v)) {
    printf("no trial\n");
    json_free(r);
    json_free(n);
    return X_OK;
  }
  printf("trial %s, share %g, %s%s%s\n", json_text(v, "name", ""), json_number(v, "share", 0),
         json_text(v, "state", "running"), end ? ": " : "",
         end ? json_text(end, "verdict", "") : "");
  view_say("urgent", json_get(end, "urgent"));
  view_say("rest", json_get(end, "rest"));
  side_sum sum[CANARY_ARMS][CANARY_PRIORITIES] = { 0 };
  int on = 0, all = 0;
  for (size_t i = 0; i < json_count(n); i++) {
    const json *k = json_at(n, i);
    if (strcmp(json_text(k, "role", ""), "router") || !strcmp(json_text(k, "standing", ""), "gone"))
      continue;
    json *g = page(options, json_text(k, "addr", ""), "/v1/gateway");
    const json *c = json_get(g, "canary"), *value = json_get(c, "judges"),
               *s = json_get(c, "sides");
    all += g != NULL;
    on += json_bool(c, "on", false);
    if (value) {
      printf("judged by %s, which hears %.0f nodes, for %.0f s\n", json_text(k, "id", ""),
             json_number(value, "nodes", 0), json_number(value, "ageMs", 0) / 1000);
      view_say("urgent", json_get(value, "urgent"));
      view_say("rest", json_get(value, "rest"));
    }
    for (size_t x = 0; x < json_count(s); x++) {
      const json *q = json_at(s, x);
      int p = (int)json_number(q, "priority", -1);
      if (p < 0 || p >= CANARY_PRIORITIES)
        continue;
      side_sum *t = &sum[strcmp(json_text(q, "side", ""), "old") ? CANARY_ARM_CANDIDATE
                                                                 : CANARY_ARM_CONTROL][p];
      t->requests += json_number(q, "requests", 0);
      t->in_aim += json_number(q, "inAim", 0);
      t->late += json_number(q, "late", 0);
      t->refused += json_number(q, "refused", 0);
      t->failed += json_number(q, "failed", 0);
    }
    json_free(g);
  }
  if (!end) {
    printf("on at %d of %d gateways\n%-10s %8s %9s %9s %9s %9s %9s\n", on, all, "SIDE", "PRIORITY",
           "REQUESTS", "IN AIM", "LATE", "REFUSED", "FAILED");
    for (int p = 0; p < CANARY_PRIORITIES; p++)
      for (int s = 0; s < CANARY_ARMS; s++)
        if (sum[s][p].requests > 0)
          printf("%-10s %8d %9.0f %9.0f %9.0f %9.0f %9.0f\n",
                 s == CANARY_ARM_CONTROL ? "old" : "candidate", p, sum[s][p].requests,
                 sum[s][p].in_aim, sum[s][p].late, sum[s][p].refused, sum[s][p].failed);
  }
  json_free(r);
  json_free(n);
  return X_OK;
}

static int canary(options *options, const char *what) {
  if (!strcmp(what, "start"))
    return put_file(options, "PUT", "canary");
  if (!strcmp(what, "stop"))
    return put(options, "PATCH", "canary",
               string_view_of(
                   "{\"state\":\"ended\",\"end\":{\"verdict\":\"stopped\",\"by\":\"operator\"}}"));
  if (!strcmp(what, "status"))
    return canary_status(options);
  fprintf(stderr, "asterctl: canary start -f FILE, canary status or canary stop\n");
  return X_USE;
}

static int doctor(options *options) {
  char **all = g_strsplit(options->at, ",", -1);
  GArray *f = doctor_examine(options->world, all, (int)g_strv_length(all));
  if (options->json) {
    GString *b = g_string_new("[");
    for (guint i = 0; i < f->len; i++) {
      finding *k = &g_array_index(f, finding, i);
      json_appendf(b, "%s{\"code\":%d,\"evidence\":", i ? "," : "", k->code);
      json_append_quoted(b, string_view_of(k->evidence));
      g_string_append(b, ",\"next\":");
      json_append_quoted(b, string_view_of(k->remedy));
      g_string_append_c(b, '}');
    }
    printf("%s]\n", b->str);
    g_string_free(b, TRUE);
  } else {
    for (guint i = 0; i < f->len; i++)
      printf("%d %s\n    %s\n", g_array_index(f, finding, i).code,
             g_array_index(f, finding, i).evidence, g_array_index(f, finding, i).remedy);
    if (!f->len)
      printf("nothing found\n");
  }
  int x = f->len ? X_NO : X_OK;
  g_array_free(f, TRUE);
  g_strfreev(all);
  return x;
}

static int num_cmp(const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double at_share(const double *v, int n, double share) {
  double *c = g_memdup2(v, n * sizeof *c);
  qsort(c, n, sizeof *c, num_cmp);
  double x = c[(int)((n - 1) * share + 0.5)];
  g_free(c);
  return x;
}

/* runs all policies over the same traces; the first is what the others are held against, trace by
 * trace */
static int trial(options *options) {
  bool table = options->n > 1 && !strcmp(options->words[1], "table");
  char **pol = g_strsplit(options->policies, strchr(options->policies, ';') ? ";" : ",", -1);
  int n = (int)g_strv_length(pol), runs = table || options->file ? 1 : options->seeds;
  if (runs < 1 || options->plan.model_count < 2 || options->plan.model_count > 5000 ||
      options->plan.request_count < 1 || options->plan.request_count > 2000000 ||
      options->plan.requests_per_s <= 0 || options->knobs.capacity_share <= 0 || runs > 1000) {
    fprintf(stderr, "asterctl: a number is out of range\n");
    g_strfreev(pol);
    return X_USE;
  }
  for (int i = 0; i < n; i++) {
    static const char *const known[] = { "cremebrulee", "popularity", "lru",
                                         "random",      "belady",     "oracle" };
    bool ok = false;
    for (size_t k = 0; k < G_N_ELEMENTS(known); k++)
      ok |= !strcmp(pol[i], known[k]);
    formula f;
    error fe = { 0 };
    if (g_str_has_prefix(pol[i], "expr:")) {
      ok = !formula_compile(&f, pol[i] + 5, &fe);
      if (!ok)
        fprintf(stderr, "asterctl: %s (code %d)\n", fe.text, fe.code);
    }
    if (!ok) {
      fprintf(stderr, "asterctl: no policy %s\n", pol[i]);
      g_strfreev(pol);
      return X_USE;
    }
  }
  double *delay = g_new0(double, n *runs), *loads = g_new0(double, n *runs),
         *wasted = g_new0(double, n *runs), *hits = g_new0(double, n *runs),
         *ratio = g_new0(double, n *runs);
  int x = X_OK;
  for (int s = 0; s < runs && !x; s++) {
    trace_plan p = options->plan;
    p.seed = s + 1;
    error err = { 0 };
    trace *trace = NULL;
    if (table)
      trace = trace_reference_example();
    else if (options->file) {
      gchar *text = NULL;
      gsize len = 0;
      if (g_file_get_contents(options->file, &text, &len, NULL))
        trace = trace_parse((string_view){ text, len }, &err);
      else
        error_set(&err, E_SETTINGS_FILE, "%s can't be read", options->file);
      g_free(text);
    } else
      trace = trace_generate(&p);
    if (!trace) {
      fprintf(stderr, "asterctl: %s (code %d)\n", err.text, err.code);
      x = X_USE;
      break;
    }
    uint64_t room =
        table ? 2 : (uint64_t)(options->knobs.capacity_share * (double)trace_total_mb(trace));
    for (int i = 0; i < n; i++) {
      replay_result r = policy_replay_run(trace, pol[i], room, &options->knobs, s + 1);
      int k = i * runs + s;
      delay[k] = table ? r.delay_ms : r.delay_ms / (double)r.requests;
      loads[k] = (double)r.loads;
      wasted[k] = (double)r.wasted;
      hits[k] = (double)r.hits / (double)r.requests;
      ratio[k] = delay[k] / (delay[s] > 0 ? delay[s] : 1);
    }
    trace_free(trace);
  }
  if (!x) {
    printf("%-12s %10s %8s %8s   %-28s %s\n", "POLICY", "LOADS", "WASTED", "HITS",
           table ? "COST" : "LOAD DELAY ms/request (spread)",
           "DELAY TO THE FIRST, PAIRED (spread)");
    for (int i = 0; i < n; i++) {
      double *d = delay + i * runs, *q = ratio + i * runs;
      printf("%-12s %10.0f %8.0f %8.3f   %8.1f (%.1f-%.1f)%*s %.3f (%.3f-%.3f)\n", pol[i],
             at_share(loads + i * runs, runs, 0.5), at_share(wasted + i * runs, runs, 0.5),
             at_share(hits + i * runs, runs, 0.5), at_share(d, runs, 0.5), at_share(d, runs, 0),
             at_share(d, runs, 1), 8, "", at_share(q, runs, 0.5), at_share(q, runs, 0),
             at_share(q, runs, 1));
    }
  }
  g_free(delay);
  g_free(loads);
  g_free(wasted);
  g_free(hits);
  g_free(ratio);
  g_strfreev(pol);
  return x;
}

typedef struct {
  double ago;
  char name[100];
} heard;
static int heard_cmp(gconstpointer a, gconstpointer b) {
  const heard *x = a, *y = b;
  return x->ago > y->ago ? -1 : x->ago < y->ago;
}

/* a trace out of the routers' journals, and of the catalogue's sizes and start values */
static int record(options *options) {
  if (!options->file) {
    fprintf(stderr, "asterctl: record needs --file\n");
    return X_USE;
  }
  char **all = g_strsplit(options->at, ",", -1);
  GArray *got = g_array_new(FALSE, TRUE, sizeof(heard));
  json *cat = NULL;
  for (char **k = all; *k; k++) {
    json *value = page(options, *k, "/v1/journal"),
         *c = cat ? NULL : page(options, *k, "/v1/catalogue");
    if (c)
      cat = c;
    for (size_t i = 0; i < json_count(value); i++) {
      const json *x = json_at(value, i);
      if (strcmp(json_text(x, "event", ""), "routed"))
        continue;
      heard h = { json_number(x, "agoMs", 0), "" };
      g_strlcpy(h.name, json_text(x, "model", "?"), sizeof h.name);
      g_array_append_val(got, h);
    }
    json_free(value);
  }
  g_strfreev(all);
  g_array_sort(got, heard_cmp);
  FILE *f = got->len ? fopen(options->file, "w") : NULL;
  for (guint i = 0; f && i < got->len; i++) {
    heard *h = &g_array_index(got, heard, i);
    const json *m = json_get(json_get(cat, "value"), "models");
    double megs = 1000, load = 4000;
    for (size_t k = 0; k < json_count(m); k++)
      if (!strcmp(json_text(json_at(m, k), "id", ""), h->name)) {
        megs = json_number(json_at(m, k), "weightsMb", megs);
        load = json_number(json_at(m, k), "startLoadMs", load);
      }
    fprintf(f, "%.0f %s %.0f %.0f\n", g_array_index(got, heard, 0).ago - h->ago, h->name, megs,
            load);
  }
  if (f)
    fclose(f);
  printf("%u requests recorded\n", got->len);
  int x = f ? X_OK : X_NO;
  json_free(cat);
  g_array_free(got, TRUE);
  return x;
}

static void main_run(void *p) {
  options *options = p;
  const char *c = options->words[0], *r = options->n > 1 ? options->words[1] : "";
  if (!strcmp(c, "get") && options->n == 2)
    options->code = get(options, r);
  else if (!strcmp(c, "apply") && options->n == 2)
    options->code = put_file(options, "PUT", r);
  else if (!strcmp(c, "patch") && options->n == 2)
    options->code = put_file(options, "PATCH", r);
  else if (!strcmp(c, "watch") && options->n == 2)
    options->code = watch(options, r);
  else if (!strcmp(c, "evacuate"))
    options->code = evacuate(options);
  else if (!strcmp(c, "status") && options->n == 1)
    options->code = status(options);
  else if (!strcmp(c, "gateways") && options->n == 1)
    options->code = gateways(options);
  else if (!strcmp(c, "canary") && options->n == 2)
    options->code = canary(options, r);
  else if (!strcmp(c, "doctor") && options->n == 1)
    options->code = doctor(options);
  else if (!strcmp(c, "record") && options->n == 1)
    options->code = record(options);
  else {
    fprintf(stderr, "asterctl: no such command, or not so many words; see --help\n");
    options->code = X_USE;
  }
  real_world_stop(options->world);
}

int main(int argc, char **argv) {
  options u = { .at = getenv("ASTERCTL_AT"),
                .seeds = 11,
                .policies = "cremebrulee,popularity,lru,random,belady,oracle" };
  u.plan = (trace_plan){ .model_count = 60,
                         .request_count = 4000,
                         .zipf_exponent = 0.9,
                         .requests_per_s = 1,
                         .burst_probability = 0.01 };
  u.knobs.capacity_share = 0.3;
  struct argp p = { opts, parse, "COMMAND ...", doc, NULL, NULL, NULL };
  argp_err_exit_status = X_USE;
  argp_parse(&p, argc, argv, 0, NULL, &u);
  if (!strcmp(u.words[0], "trial"))
    return trial(&u);
  if (!u.at) {
    fprintf(stderr, "asterctl: --at or ASTERCTL_AT is needed\n");
    return X_USE;
  }
  char **all = g_strsplit(u.at, ",", -1);
  for (char **k = all; *k; k++)
    if (!address_is_valid(*k)) {
      fprintf(stderr, "asterctl: %s is no ip:port\n", *k);
      return X_USE;
    }
  g_strfreev(all);
  real_settings e = { 0 };
  error err = { 0 };
  u.world = real_world_new(&e, &err);
  if (!u.world) {
    fprintf(stderr, "asterctl: %s (code %d)\n", err.text, err.code);
    return X_MUTE;
  }
  task_start(&u.world->tasks, "main", main_run, &u);
  real_world_run(u.world, NULL, NULL);
  real_world_free(u.world);
  return u.code;
}
