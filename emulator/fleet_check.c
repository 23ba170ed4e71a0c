#include "fleet.h"
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

enum {
  MARKER_STATUS_MIN = 420,
  MARKER_STATUS_COUNT = 80,
  POLICY_APPLY_MS = 2000,
  PROBE_MS = 350,
  DRAIN_NOTICE_MS = 3000,
  EVACUATION_MS = 5000,
  LEASE_CHANGE_MIN_MS = 2900,
  RESPONSE_TRIP_MS = 200,
  RECOVERY_MS = 12000
};

void fleet_add_violation(fleet *fleet, const char *form, ...) {
  va_list a;
  va_start(a, form);
  if (fleet->violations->len < 2000) {
    g_string_append_printf(fleet->violations, "[%.3f] ", (double)fleet->sim->now.us / 1e6);
    g_string_append_vprintf(fleet->violations, form, a);
    g_string_append_c(fleet->violations, '\n');
  }
  va_end(a);
}

/* every life of every engine */
static void each_engine_sim(fleet *f, void (*fn)(fleet *f, host *h, engine_sim *engine, void *ctx),
                            void *ctx) {
  for (int i = 0; i < f->engines; i++) {
    host *h = f->engine[i];
    for (guint k = 0; k < h->past_engines->len; k++)
      fn(f, h, h->past_engines->pdata[k], ctx);
    if (h->engine)
      fn(f, h, h->engine, ctx);
  }
}

/* R1, R2, R3 */
typedef struct {
  GHashTable *attempts;
  GHashTable *runs;
} request_records;

static void append_by_key(GHashTable *t, const char *key, void *p) {
  GPtrArray *a = g_hash_table_lookup(t, key);
  if (!a) {
    a = g_ptr_array_new();
    g_hash_table_insert(t, (char *)key, a);
  }
  g_ptr_array_add(a, p);
}

static GPtrArray *find_by_key(GHashTable *t, const char *key) {
  return g_hash_table_lookup(t, key);
}

static void add_runs(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)fleet;
  (void)host;
  for (guint i = 0; i < engine->streams->len; i++) {
    engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, i);
    append_by_key(((request_records *)ctx)->runs, s->tag, s);
  }
}

static request_records collect_request_records(fleet *fleet) {
  request_records r = {
    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref),
    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref)
  };
  GArray *log = fleet->callers->loadgen->attempts;
  for (guint i = 0; i < log->len; i++) {
    loadgen_attempt *attempt = &g_array_index(log, loadgen_attempt, i);
    append_by_key(r.attempts, attempt->request->tag, attempt);
  }
  each_engine_sim(fleet, add_runs, &r);
  return r;
}

static void free_request_records(request_records *r) {
  g_hash_table_destroy(r->attempts);
  g_hash_table_destroy(r->runs);
}

/* the try of a caller that a run belongs to: the last that began before it */
static loadgen_attempt *find_caller_attempt(const request_records *r, const engine_sim_stream *s) {
  GPtrArray *all = find_by_key(r->attempts, s->tag);
  loadgen_attempt *got = NULL;
  for (guint i = 0; all && i < all->len; i++) {
    loadgen_attempt *attempt = all->pdata[i];
    if (attempt->started_at.us <= s->started_at.us)
      got = attempt;
  }
  return got;
}

void fleet_check_runs(fleet *fleet) {
  request_records r = collect_request_records(fleet);
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    GPtrArray *runs = find_by_key(r.runs, request->tag),
              *tries = find_by_key(r.attempts, request->tag);
    guint n = runs ? runs->len : 0;
    if (n > 1 && !request->resumable)
      fleet_add_violation(fleet, "R1 stream %s can't be resumed and ran %u times", request->tag, n);
    for (guint j = 0; j < n; j++) {
      loadgen_attempt *attempt = find_caller_attempt(&r, runs->pdata[j]);
      if (attempt && attempt->outcome == OUTCOME_NOT_RUN)
        fleet_add_violation(fleet, "R2 stream %s was said not to have run, and ran (code %d)",
                            request->tag, attempt->code);
    }
    if (request->outcome == OUTCOME_WRONG)
      fleet_add_violation(fleet, "R3 caller %s got an answer that is not his, or not whole",
                          request->tag);
    if (request->outcome == OUTCOME_DONE && n < 1)
      fleet_add_violation(fleet, "R3 caller %s got an answer that no engine gave", request->tag);
    for (guint j = 0; tries && j < tries->len; j++) {
      loadgen_attempt *attempt = tries->pdata[j];
      if ((attempt->status == 429 || attempt->status == 503 || attempt->status == 504 ||
           attempt->status == 502) &&
          attempt->outcome != OUTCOME_NO_ANSWER && attempt->retry_s < 1)
        fleet_add_violation(fleet,
                            "caller %s was sent away (%d) without being told when to come back",
                            request->tag, attempt->status);
    }
  }
  free_request_records(&r);
}

/* R4: a policy of the operator's own bears a rule that refuses requests for one model with a status
   of that policy alone, so a request shows which policy is in force where it is answered */
void fleet_write_policy_marker(fleet *fleet) {
  host *m = fleet->controller[sim_random(fleet->sim, fleet->controllers)];
  if (!m->alive || m->frozen)
    return;
  int status = MARKER_STATUS_MIN + fleet->marker_count++ % MARKER_STATUS_COUNT;
  char *text = g_strdup_printf(
      "{\"rules\":[{\"when\":{\"model\":\"mark\"},\"then\":[{\"op\":\"refuse\",\"status\":%d}]},%s]}",
      status, fleet->rules);
  char key[40];
  snprintf(key, sizeof key, "mark-%d", fleet->marker_count);
  operator_call *call = fleet_send(fleet, m, "PATCH", "/v1/policy", text, NULL, key);
  call->write->marker_status = status;
  call->self_freeing = true;
  g_free(text);
}

typedef struct {
  fleet *fleet;
  int router;
} policy_prober;

static void policy_probe_run(void *p) {
  policy_prober *b = p;
  fleet *fleet = b->fleet;
  world *world = &fleet->prober->world;
  host *host = fleet->router[b->router];
  while (world_sleep_with_jitter(world, time_from_ms(PROBE_MS))) {
    if (!fleet->probing)
      continue;
    policy_probe k = { .sent_at = world_now(world),
                       .router = b->router,
                       .incarnation = host->incarnation };
    GString *got = g_string_new(NULL);
    error err = { 0 };
    k.status =
        http_call_fetch(world, host->addr, "POST", "/v1/generate", NULL,
                        string_view_of("{\"model\":\"mark\"}"), got, time_from_ms(3000), &err);
    json *json = json_parse(string_view_of_gstring(got), NULL);
    k.code = json_number(json, "code", 0);
    json_free(json);
    g_string_free(got, TRUE);
    k.received_at = world_now(world);
    if (k.status)
      g_array_append_val(fleet->probes, k);
  }
  g_free(b);
}

void fleet_start_policy_probes(fleet *fleet) {
  fleet->probing = true;
  for (int i = 0; i < fleet->routers; i++) {
    policy_prober *b = g_new(policy_prober, 1);
    *b = (policy_prober){ fleet, i };
    task_start(&fleet->prober->world.tasks, "probe", policy_probe_run, b);
  }
}

static operator_write *find_marker_write(fleet *fleet, int status) {
  for (guint i = 0; i < fleet->writes->len; i++) {
    operator_write *note = fleet->writes->pdata[i];
    if (note->marker_status == status)
      return note;
  }
  return NULL;
}

/* the acknowledged mark that every answer must know that was asked for at an instant */
static operator_write *required_marker_write(fleet *fleet, time_us at) {
  operator_write *due = NULL;
  for (guint i = 0; i < fleet->writes->len; i++) {
    operator_write *note = fleet->writes->pdata[i];
    if (note->marker_status && note->status == 200 &&
        note->answered_at.us + POLICY_APPLY_MS * 1000 <= at.us &&
        (!due || note->version > due->version))
      due = note;
  }
  return due;
}

void fleet_check_policy_markers(fleet *fleet) {
  uint64_t *seen = g_new0(uint64_t, fleet->routers);
  time_us *when = g_new0(time_us, fleet->routers);
  for (guint i = 0; i < fleet->probes->len; i++) {
    policy_probe *p = &g_array_index(fleet->probes, policy_probe, i);
    /* the policy that an answer shows is that of when it was given, a moment before it came */
    time_us given = time_sub(p->received_at, time_from_ms(RESPONSE_TRIP_MS));
    if (given.us < p->sent_at.us)
      given = p->sent_at;
    operator_write *due = required_marker_write(fleet, given),
                   *is = p->code == E_REJECTED_BY_RULE ? find_marker_write(fleet, p->status) : NULL;
    /* a router that admits nothing says so, and cannot be wrong */
    if (p->status == 503 || p->status == 429 || (p->code != E_REJECTED_BY_RULE && !due))
      continue;
    if (p->code != E_REJECTED_BY_RULE) {
      if (fleet->marker_count <= MARKER_STATUS_COUNT)
        fleet_add_violation(
            fleet, "R4 %s takes a request %.2f s after a rule that refuses it was acknowledged",
            fleet->router[p->router]->self.text,
            (double)time_sub(given, due->answered_at).us / 1e6);
      continue;
    }
    if (!is || fleet->marker_count > MARKER_STATUS_COUNT)
      continue;
    if (due && is->status == 200 && is->version < due->version)
      fleet_add_violation(fleet,
                          "R4 %s answers by mark %d, write %" PRIu64 ", %.2f s after write %" PRIu64
                          " was acknowledged",
                          fleet->router[p->router]->self.text, p->status, is->version,
                          (double)time_sub(given, due->answered_at).us / 1e6, due->version);
    if (is->status != 200)
      continue;
    if (is->version < seen[p->router] && p->sent_at.us > when[p->router].us)
      fleet_add_violation(fleet, "R4 %s slipped back from write %" PRIu64 " to %" PRIu64,
                          fleet->router[p->router]->self.text, seen[p->router], is->version);
    if (is->version > seen[p->router]) {
      seen[p->router] = is->version;
      when[p->router] = p->received_at;
    }
  }
  g_free(seen);
  g_free(when);
}

/* R6: the spans in which the platform showed an engine as leaving */
void fleet_check_draining(fleet *fleet) {
  GArray *marks = fleet->platform->platform->changes;
  for (guint i = 0; i < marks->len; i++) {
    platform_sim_change *m = &g_array_index(marks, platform_sim_change, i);
    host *host = sim_find_host(fleet->sim, m->engine.text);
    bool before = false;
    for (guint k = 0; k < i; k++)
      if (id_equal(g_array_index(marks, platform_sim_change, k).engine, m->engine))
        before = g_array_index(marks, platform_sim_change, k).draining;
    if (!m->draining || before || !host)
      continue;
    time_us until = time_never();
    for (guint k = i + 1; k < marks->len; k++) {
      platform_sim_change *x = &g_array_index(marks, platform_sim_change, k);
      if (id_equal(x->engine, m->engine) && !x->draining) {
        until = x->changed_at;
        break;
      }
    }
    int64_t from = m->changed_at.us + DRAIN_NOTICE_MS * 1000;
    for (guint life = 0; life <= host->past_engines->len; life++) {
      engine_sim *engine =
          life < host->past_engines->len ? host->past_engines->pdata[life] : host->engine;
      for (guint k = 0; engine && k < engine->streams->len; k++) {
        engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, k);
        if (s->started_at.us > from && s->started_at.us < until.us) {
          fleet_add_violation(fleet, "R6 %s is leaving and got a stream %.2f s after",
                              host->self.text,
                              (double)time_sub(s->started_at, m->changed_at).us / 1e6);
          break;
        }
      }
      for (guint k = 0; engine && k < engine->orders->len; k++) {
        engine_sim_order *o = &g_array_index(engine->orders, engine_sim_order, k);
        if (o->kind == 'l' && !o->after_freeze && o->received_at.us > from &&
            o->received_at.us < until.us) {
          fleet_add_violation(fleet, "R6 %s is leaving and got a load %.2f s after",
                              host->self.text,
                              (double)time_sub(o->received_at, m->changed_at).us / 1e6);
          break;
        }
      }
    }
  }
}

/* R7: what a note of an evacuation says of an engine. A share below one takes those whose hashed
 * name lies below it */
static bool evacuation_covers(const operator_write *note, const host *host) {
  json *value = json_parse(string_view_of(note->text ? note->text : ""), NULL);
  const json *l = json_get(value, "areas");
  bool yes = false;
  for (size_t i = 0; i < json_count(l); i++) {
    double share = json_number(json_at(l, i), "share", 1);
    if (strcmp(json_text(json_at(l, i), "area", ""), host->area.text))
      continue;
    yes |= share >= 1 ||
           (double)(hash_two_names("empty", host->self.text) >> 11) / 9007199254740992.0 < share;
  }
  json_free(value);
  return yes;
}

/* the write that a note stands for: its own, or that of an answered try under the same key; 0 when
 * nobody knows */
static uint64_t written_version(fleet *fleet, const operator_write *n) {
  if (n->status == 200)
    return n->version;
  for (guint i = 0; n->idempotency_key[0] && i < fleet->writes->len; i++) {
    operator_write *o = fleet->writes->pdata[i];
    if (o->status == 200 && !strcmp(o->idempotency_key, n->idempotency_key))
      return o->version;
  }
  return 0;
}

/* true when at an instant every evacuation that may be in force covers an engine, and has been
 * acknowledged for long enough */
static bool is_evacuated(fleet *fleet, const host *host, time_us at, GHashTable *memo) {
  operator_write *due = NULL;
  for (guint i = 0; i < fleet->writes->len; i++) {
    operator_write *n = fleet->writes->pdata[i];
    if (n->resource == RESOURCE_EVACUATION && n->status == 200 &&
        n->answered_at.us + EVACUATION_MS * 1000 < at.us && (!due || n->version > due->version))
      due = n;
  }
  if (!due)
    return false;
  for (guint i = 0; i < fleet->writes->len; i++) {
    operator_write *n = fleet->writes->pdata[i];
    if (n->resource != RESOURCE_EVACUATION || n->sent_at.us > at.us)
      continue;
    /* refused, or said not to have been written; what nobody knows of may be in force */
    if ((n->status >= 400 && n->status < 500) || n->status == 503)
      continue;
    uint64_t v = written_version(fleet, n);
    if (v && v < due->version)
      continue;
    char k[160];
    snprintf(k, sizeof k, "%p %s", (void *)n, host->self.text);
    gpointer got = g_hash_table_lookup(memo, k);
    if (!got) {
      got = GINT_TO_POINTER(evacuation_covers(n, host) ? 1 : 2);
      g_hash_table_insert(memo, g_strdup(k), got);
    }
    if (GPOINTER_TO_INT(got) == 2)
      return false;
  }
  return true;
}

static void check_engine_evacuated(fleet *fleet, host *host, engine_sim *engine, void *memo) {
  for (guint k = 0; k < engine->streams->len; k++) {
    engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, k);
    if (is_evacuated(fleet, host, s->started_at, memo)) {
      fleet_add_violation(fleet, "R7 %s stands in an emptied place and got a stream at %.2f",
                          host->self.text, (double)s->started_at.us / 1e6);
      break;
    }
  }
  for (guint k = 0; k < engine->orders->len; k++) {
    engine_sim_order *o = &g_array_index(engine->orders, engine_sim_order, k);
    if (o->kind == 'l' && !o->after_freeze && is_evacuated(fleet, host, o->received_at, memo)) {
      fleet_add_violation(fleet, "R7 %s stands in an emptied place and got a load at %.2f",
                          host->self.text, (double)o->received_at.us / 1e6);
      break;
    }
  }
}

void fleet_check_evacuated(fleet *fleet) {
  bool any = false;
  for (guint i = 0; i < fleet->writes->len; i++)
    any |= ((operator_write *)fleet->writes->pdata[i])->resource == RESOURCE_EVACUATION;
  if (!any)
    return;
  GHashTable *memo = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  each_engine_sim(fleet, check_engine_evacuated, memo);
  g_hash_table_destroy(memo);
}

/* R8 */
static int by_time(gconstpointer a, gconstpointer b) {
  const engine_sim_order *x = a, *y = b;
  return x->received_at.us < y->received_at.us ? -1 : x->received_at.us > y->received_at.us;
}

static void collect_orders(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)fleet;
  (void)host;
  g_array_append_vals(ctx, engine->orders->data, engine->orders->len);
}

/* the holders of one engine, each from its first order to its last; what came while the engine was
 * frozen has no time of its own */
typedef struct {
  id who;
  uint64_t epoch;
  time_us first, last;
} holder_span;

void fleet_check_lease_succession(fleet *fleet) {
  for (int i = 0; i < fleet->engines; i++) {
    host *host = fleet->engine[i];
    GArray *all = g_array_new(FALSE, TRUE, sizeof(engine_sim_order)),
           *line = g_array_new(FALSE, TRUE, sizeof(holder_span));
    for (guint k = 0; k < host->past_engines->len; k++)
      collect_orders(fleet, host, host->past_engines->pdata[k], all);
    if (host->engine)
      collect_orders(fleet, host, host->engine, all);
    g_array_sort(all, by_time);
    for (guint k = 0; k < all->len; k++) {
      engine_sim_order *o = &g_array_index(all, engine_sim_order, k);
      if (o->after_freeze)
        continue;
      holder_span *r = NULL;
      for (guint x = 0; x < line->len; x++) {
        holder_span *y = &g_array_index(line, holder_span, x);
        if (id_equal(y->who, o->holder) && y->epoch == o->epoch)
          r = y;
        else if (y->epoch == o->epoch)
          fleet_add_violation(fleet, "R8 %s got orders of %s and of %s under one epoch, %" PRIu64,
                              host->self.text, y->who.text, o->holder.text, o->epoch);
      }
      if (!r) {
        holder_span y = { o->holder, o->epoch, o->received_at, o->received_at };
        g_array_append_val(line, y);
      } else
        r->last = o->received_at;
    }
    for (guint x = 1; x < line->len; x++) {
      holder_span *y = &g_array_index(line, holder_span, x),
                  *was = &g_array_index(line, holder_span, x - 1);
      if (y->epoch <= was->epoch)
        fleet_add_violation(fleet,
                            "R8 %s got an order of %s under epoch %" PRIu64
                            " after one of %s under %" PRIu64,
                            host->self.text, y->who.text, y->epoch, was->who.text, was->epoch);
      if (was->last.us >= y->first.us)
        fleet_add_violation(fleet, "R8 %s got an order of %s %.2f s after the first of %s",
                            host->self.text, was->who.text,
                            (double)time_sub(was->last, y->first).us / 1e6, y->who.text);
      /* both changes lie between the last order of the one before and the first of this one,
       * wherever they were */
      holder_span *old = x > 1 ? &g_array_index(line, holder_span, x - 2) : NULL;
      if (old && !id_equal(old->who, was->who) && !id_equal(was->who, y->who) &&
          time_sub(y->first, old->last).us < LEASE_CHANGE_MIN_MS * 1000)
        fleet_add_violation(fleet, "R8 the holder of %s changed twice within %.2f s",
                            host->self.text, (double)time_sub(y->first, old->last).us / 1e6);
    }
    g_array_free(all, TRUE);
    g_array_free(line, TRUE);
  }
}

/* R9 */
static void check_engine_capacity(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)ctx;
  if (engine->orphaning_unloads)
    fleet_add_violation(fleet, "R9 %s was ordered to unload a base from under %" PRIu64 " adapters",
                        host->self.text, engine->orphaning_unloads);
  if (engine->over_capacity_orders)
    fleet_add_violation(fleet, "R9 %s was ordered past its room %" PRIu64 " times", host->self.text,
                        engine->over_capacity_orders);
}
void fleet_check_capacity(fleet *fleet) {
  each_engine_sim(fleet, check_engine_capacity, NULL);
}

/* R10: loads over all engines, in any second and in any ten */
void fleet_check_load_rate(fleet *fleet) {
  GArray *all = g_array_new(FALSE, TRUE, sizeof(engine_sim_order)),
         *loads = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  each_engine_sim(fleet, collect_orders, all);
  g_array_sort(all, by_time);
  for (guint i = 0; i < all->len; i++)
    if (g_array_index(all, engine_sim_order, i).kind == 'l' &&
        !g_array_index(all, engine_sim_order, i).after_freeze)
      g_array_append_vals(loads, &g_array_index(all, engine_sim_order, i), 1);
  for (int w = 0; w < 2; w++) {
    int64_t span = w ? 10000000 : 1000000;
    guint most = (guint)(fleet->loads_per_s * (w ? 10 : 1)), from = 0;
    if (most < 1)
      most = 1;
    for (guint i = 0; i < loads->len; i++) {
      while (g_array_index(loads, engine_sim_order, i).received_at.us -
                 g_array_index(loads, engine_sim_order, from).received_at.us >=
             span)
        from++;
      if (i - from + 1 > most) {
        for (guint q = from; q <= i && g_getenv("SIM_NOTES"); q++) {
          engine_sim_order *o = &g_array_index(loads, engine_sim_order, q);
          fprintf(stderr, "  load at %.3f of %s by %s epoch %" PRIu64 "\n",
                  (double)o->received_at.us / 1e6, o->model.text, o->holder.text, o->epoch);
        }
        fleet_add_violation(fleet, "R10 %u loads began within %d s; the store allows %u",
                            i - from + 1, w ? 10 : 1, most);
        break;
      }
    }
  }
  g_array_free(all, TRUE);
  g_array_free(loads, TRUE);
}

/* R11: what engines saw of a request beyond one for each try of its caller */
static void count_engine_attempts(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)fleet;
  (void)host;
  GHashTable *t = ctx;
  for (guint i = 0; i < engine->streams->len + engine->refusals->len; i++) {
    char *tag =
        i < engine->streams->len
            ? g_array_index(engine->streams, engine_sim_stream, i).tag
            : g_array_index(engine->refusals, engine_sim_refusal, i - engine->streams->len).tag;
    g_hash_table_insert(t, tag, GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(t, tag)) + 1));
  }
}

void fleet_check_retries(fleet *fleet) {
  GHashTable *attempts = g_hash_table_new(g_str_hash, g_str_equal),
             *tries = g_hash_table_new(g_str_hash, g_str_equal);
  each_engine_sim(fleet, count_engine_attempts, attempts);
  GArray *log = fleet->callers->loadgen->attempts;
  for (guint i = 0; i < log->len; i++) {
    char *tag = g_array_index(log, loadgen_attempt, i).request->tag;
    g_hash_table_insert(tries, tag,
                        GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(tries, tag)) + 1));
  }
  int seconds = 0, asked = (int)log->len;
  GHashTableIter it;
  gpointer k, n;
  g_hash_table_iter_init(&it, attempts);
  while (g_hash_table_iter_next(&it, &k, &n))
    seconds += MAX(0, GPOINTER_TO_INT(n) - MAX(1, GPOINTER_TO_INT(g_hash_table_lookup(tries, k))));
  if (asked > 50 && seconds > asked / 10 + 2 * fleet->routers)
    fleet_add_violation(fleet, "R11 %d second tries for %d requests", seconds, asked);
  g_hash_table_destroy(attempts);
  g_hash_table_destroy(tries);
}

/* R11: a young engine runs at most twice what its slow start grants, and four, whoever sends */
static void check_engine_slow_start(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)ctx;
  for (guint i = 0; i < engine->streams->len; i++) {
    engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, i);
    double age = (double)time_sub(s->started_at, engine->started_at).us / 1e6,
           grant = fleet->streams_per_engine * age / fleet->slow_start_s;
    if (age >= fleet->slow_start_s)
      break;
    int n = 0;
    for (guint k = 0; k <= i; k++) {
      engine_sim_stream *o = &g_array_index(engine->streams, engine_sim_stream, k);
      n += !o->ended_at.us || o->ended_at.us > s->started_at.us;
    }
    if (n > 2 * MAX(2, grant) + 4) {
      fleet_add_violation(
          fleet, "R11 %s ran %d streams when it was %.2f s old; its slow start grants %.1f",
          host->self.text, n, age, grant);
      break;
    }
  }
}
void fleet_check_slow_start(fleet *fleet) {
  each_engine_sim(fleet, check_engine_slow_start, NULL);
}

/* R12: the share of whole answers by the instant of asking */
static int request_class_index(fleet *fleet, const loadgen_request *request) {
  for (int i = 0; i < 2; i++)
    if (!strcmp(request->kind.text, fleet->callers->loadgen->plan.kinds[i]))
      return i;
  return 2;
}

typedef struct {
  double asked, done;
} answer_share;

static answer_share measure_answer_share(fleet *fleet, int kind, time_us from, time_us until) {
  answer_share s = { 0, 0 };
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    if (request->started_at.us < from.us || request->started_at.us >= until.us ||
        request->outcome == OUTCOME_OPEN || request->outcome == OUTCOME_LEFT ||
        (kind >= 0 && request_class_index(fleet, request) != kind))
      continue;
    s.asked++;
    s.done += request->outcome == OUTCOME_DONE;
  }
  return s;
}

/* what of the room is left: engines that are alive over all */
static double remaining_capacity_ratio(fleet *fleet) {
  double all = 0, left = 0;
  for (int i = 0; i < fleet->engines; i++) {
    all += (double)fleet->engine[i]->weights_mb;
    if (fleet->engine[i]->alive && !fleet->engine[i]->frozen)
      left += (double)fleet->engine[i]->weights_mb;
  }
  return all > 0 ? left / all : 1;
}

/* a window of two seconds counts when enough asked in it; else it grows to the left of its end,
 * never over the loss */
static bool window_reaches_share(fleet *fleet, int kind, time_us low, time_us end, double due) {
  for (int64_t span = 2000; span <= 8000; span += 1000) {
    time_us from = time_sub(end, time_from_ms(span));
    if (from.us < low.us)
      return true;
    answer_share s = measure_answer_share(fleet, kind, from, end);
    if (s.asked < 12)
      continue;
    /* chance alone takes two deviations off a small window */
    double slack = 2 * sqrt(due * (1 - MIN(due, 0.99)) / s.asked);
    return s.done / s.asked >= due - slack;
  }
  return true;
}

static double required_share(fleet *fleet, time_us loss, int kind) {
  answer_share was = measure_answer_share(fleet, kind, time_sub(loss, time_from_ms(10000)),
                                          time_sub(loss, time_from_ms(2000)));
  return was.asked < 5 ? -1 : 0.9 * was.done / was.asked * remaining_capacity_ratio(fleet);
}

double fleet_recovery_s(fleet *fleet, time_us loss, time_us until, int kind) {
  double due = required_share(fleet, loss, kind);
  if (due < 0)
    return -1;
  time_us good = loss;
  for (time_us end = time_add(loss, time_from_ms(2000)); end.us <= until.us;
       end = time_add(end, time_from_ms(500)))
    if (!window_reaches_share(fleet, kind, loss, end, due))
      good = time_sub(end, time_from_ms(1500));
  return (double)time_sub(good, loss).us / 1e6;
}

void fleet_check_recovery(fleet *fleet, time_us loss, time_us until) {
  static const char *const names[] = { "live", "short", "deferred", "all" };
  time_us low = time_add(loss, time_from_ms(RECOVERY_MS));
  for (int k = 0; k < 4; k++) {
    int kind = k < 3 ? k : -1;
    double due = required_share(fleet, loss, kind);
    if (due < 0)
      continue;
    for (time_us end = time_add(low, time_from_ms(2000)); end.us <= until.us;
         end = time_add(end, time_from_ms(500))) {
      if (window_reaches_share(fleet, kind, low, end, due))
        continue;
      answer_share s = measure_answer_share(fleet, kind, time_sub(end, time_from_ms(2000)), end);
      fleet_add_violation(
          fleet,
          "R12 %.1f s after the loss %.0f of %.0f requests (%s) were answered whole; %.2f of them were due",
          (double)time_sub(end, loss).us / 1e6, s.done, s.asked, names[k], due);
      break;
    }
  }
}

bool fleet_check_silently(fleet *fleet) {
  /* a test about a module alone starts no fleet */
  if (fleet->callers->alive) {
    fleet_check_runs(fleet);
    fleet_check_policy_markers(fleet);
    fleet_check_draining(fleet);
    fleet_check_evacuated(fleet);
    fleet_check_lease_succession(fleet);
    fleet_check_capacity(fleet);
    fleet_check_load_rate(fleet);
    fleet_check_retries(fleet);
    fleet_check_slow_start(fleet);
  }
  return !fleet->violations->len;
}

bool fleet_check_all(fleet *fleet) {
  fleet_check_silently(fleet);
  if (g_getenv("SIM_NOTES"))
    for (guint i = 0; i < fleet->writes->len; i++) {
      operator_write *note = fleet->writes->pdata[i];
      fprintf(stderr, "  %.3f to %.3f: %d, write %" PRIu64 " %s %s\n",
              (double)note->sent_at.us / 1e6, (double)note->answered_at.us / 1e6, note->status,
              note->version, note->idempotency_key, note->text ? note->text : "");
    }
  if (fleet->violations->len)
    fprintf(stderr, "\nseed %" PRIu64 ":\n%s", fleet->seed, fleet->violations->str);
  return !fleet->violations->len;
}

/* beside the records: the daemons themselves are asked whether two act at once */
static void sample_lease_holders(sim *sim, void *p) {
  fleet *fleet = p;
  for (int i = 0; i < fleet->routers; i++) {
    host *h = fleet->router[i];
    if (!h->alive || h->frozen || !h->router->config)
      continue;
    if (h->router->sync.config_version < h->config_version_seen)
      fleet_add_violation(fleet, "R4 %s slipped back from %" PRIu64 " to %" PRIu64, h->self.text,
                          h->config_version_seen, h->router->sync.config_version);
    h->config_version_seen = h->router->sync.config_version;
  }
  fleet_find_head(fleet);
  fleet_find_tail(fleet);
  for (int i = 0; i <= fleet->engines; i++) {
    char d[64] = "pacer";
    if (i < fleet->engines)
      singleton_engine_name(d, sizeof d, fleet->engine[i]->self);
    host *h = fleet_find_lease_holder(fleet, d);
    if (!h || id_equal(h->self, fleet->lease_holders[i].who))
      continue;
    /* holders never trade places within about three seconds */
    if (!id_is_empty(fleet->lease_holders[i].who) &&
        time_sub(sim->now, fleet->lease_holders[i].since).us < LEASE_CHANGE_MIN_MS * 1000)
      fleet_add_violation(fleet, "R8 %s went from %s to %s after %.2f s", d,
                          fleet->lease_holders[i].who.text, h->self.text,
                          (double)time_sub(sim->now, fleet->lease_holders[i].since).us / 1e6);
    fleet->lease_holders[i].who = h->self;
    fleet->lease_holders[i].since = sim->now;
  }
}

void fleet_start_sampling(fleet *fleet) {
  fleet->sim->on_sample = sample_lease_holders;
  fleet->sim->on_sample_context = fleet;
  fleet->sim->next_sample_at = fleet->sim->now;
}
