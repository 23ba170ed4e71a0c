#include "fleet.h"
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

enum {
  MARK_LOW = 420,
  MARK_SPAN = 80,
  FORCE_MS = 2000,
  PROBE_MS = 350,
  LEAVE_MS = 3000,
  EMPTY_MS = 5000,
  TRADE_MS = 2900,
  ANSWER_MS = 200,
  BACK_MS = 12000
};

void violation(fleet *fleet, const char *form, ...) {
  va_list a;
  va_start(a, form);
  if (fleet->faults->len < 2000) {
    g_string_append_printf(fleet->faults, "[%.3f] ", (double)fleet->sim->now.us / 1e6);
    g_string_append_vprintf(fleet->faults, form, a);
    g_string_append_c(fleet->faults, '\n');
  }
  va_end(a);
}

/* every life of every engine */
static void each_engine_sim(fleet *f, void (*fn)(fleet *f, host *h, engine_sim *engine, void *ctx),
                            void *ctx) {
  for (int i = 0; i < f->engines; i++) {
    host *h = f->engine[i];
    for (guint k = 0; k < h->past->len; k++)
      fn(f, h, h->past->pdata[k], ctx);
    if (h->engine)
      fn(f, h, h->engine, ctx);
  }
}

/* R1, R2, R3 */
typedef struct {
  GHashTable *tries;
  GHashTable *runs;
} ledger;

static void add(GHashTable *t, const char *key, void *p) {
  GPtrArray *a = g_hash_table_lookup(t, key);
  if (!a) {
    a = g_ptr_array_new();
    g_hash_table_insert(t, (char *)key, a);
  }
  g_ptr_array_add(a, p);
}

static GPtrArray *of(GHashTable *t, const char *key) {
  return g_hash_table_lookup(t, key);
}

static void add_runs(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)fleet;
  (void)host;
  for (guint i = 0; i < engine->streams->len; i++) {
    engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, i);
    add(((ledger *)ctx)->runs, s->tag, s);
  }
}

static ledger ledger_of(fleet *fleet) {
  ledger r = {
    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref),
    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref)
  };
  GArray *log = fleet->callers->loadgen->log;
  for (guint i = 0; i < log->len; i++) {
    loadgen_attempt *attempt = &g_array_index(log, loadgen_attempt, i);
    add(r.tries, attempt->request->tag, attempt);
  }
  each_engine_sim(fleet, add_runs, &r);
  return r;
}

static void ledger_drop(ledger *r) {
  g_hash_table_destroy(r->tries);
  g_hash_table_destroy(r->runs);
}

/* the try of a caller that a run belongs to: the last that began before it */
static loadgen_attempt *try_of(const ledger *r, const engine_sim_stream *s) {
  GPtrArray *all = of(r->tries, s->tag);
  loadgen_attempt *got = NULL;
  for (guint i = 0; all && i < all->len; i++) {
    loadgen_attempt *attempt = all->pdata[i];
    if (attempt->from.us <= s->from.us)
      got = attempt;
  }
  return got;
}

void check_runs(fleet *fleet) {
  ledger r = ledger_of(fleet);
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    GPtrArray *runs = of(r.runs, request->tag), *tries = of(r.tries, request->tag);
    guint n = runs ? runs->len : 0;
    if (n > 1 && !request->resumable)
      violation(fleet, "R1 stream %s can't be resumed and ran %u times", request->tag, n);
    for (guint j = 0; j < n; j++) {
      loadgen_attempt *attempt = try_of(&r, runs->pdata[j]);
      if (attempt && attempt->how == OUTCOME_NOT_RUN)
        violation(fleet, "R2 stream %s was said not to have run, and ran (code %d)", request->tag,
                  attempt->code);
    }
    if (request->how == OUTCOME_WRONG)
      violation(fleet, "R3 caller %s got an answer that is not his, or not whole", request->tag);
    if (request->how == OUTCOME_DONE && n < 1)
      violation(fleet, "R3 caller %s got an answer that no engine gave", request->tag);
    for (guint j = 0; tries && j < tries->len; j++) {
      loadgen_attempt *attempt = tries->pdata[j];
      if ((attempt->status == 429 || attempt->status == 503 || attempt->status == 504 ||
           attempt->status == 502) &&
          attempt->how != OUTCOME_NO_ANSWER && attempt->retry_s < 1)
        violation(fleet, "caller %s was sent away (%d) without being told when to come back",
                  request->tag, attempt->status);
    }
  }
  ledger_drop(&r);
}

/* R4: a policy of the operator's own bears a rule that refuses requests for one model with a status
   of that policy alone, so a request shows which policy is in force where it is answered */
void fleet_mark(fleet *fleet) {
  host *m = fleet->controller[sim_draw(fleet->sim, fleet->controllers)];
  if (!m->alive || m->frozen)
    return;
  int status = MARK_LOW + fleet->marks++ % MARK_SPAN;
  char *text = g_strdup_printf(
      "{\"rules\":[{\"when\":{\"model\":\"mark\"},\"then\":[{\"op\":\"refuse\",\"status\":%d}]},%s]}",
      status, fleet->rules);
  char key[40];
  snprintf(key, sizeof key, "mark-%d", fleet->marks);
  op_call *call = fleet_send(fleet, m, "PATCH", "/v1/policy", text, NULL, key);
  call->n->mark = status;
  call->own = true;
  g_free(text);
}

typedef struct {
  fleet *fleet;
  int router;
} prober;

static void probe_run(void *p) {
  prober *b = p;
  fleet *fleet = b->fleet;
  world *world = &fleet->prober->world;
  host *host = fleet->router[b->router];
  while (world_sleep_with_jitter(world, time_from_ms(PROBE_MS))) {
    if (!fleet->probing)
      continue;
    probe k = { .sent = world_now(world), .router = b->router, .life = host->life };
    GString *got = g_string_new(NULL);
    error err = { 0 };
    k.status =
        http_call_fetch(world, host->addr, "POST", "/v1/generate", NULL,
                        string_view_of("{\"model\":\"mark\"}"), got, time_from_ms(3000), &err);
    json *json = json_parse(string_view_of_gstring(got), NULL);
    k.code = json_number(json, "code", 0);
    json_free(json);
    g_string_free(got, TRUE);
    k.at = world_now(world);
    if (k.status)
      g_array_append_val(fleet->probes, k);
  }
  g_free(b);
}

void fleet_probe(fleet *fleet) {
  fleet->probing = true;
  for (int i = 0; i < fleet->routers; i++) {
    prober *b = g_new(prober, 1);
    *b = (prober){ fleet, i };
    task_start(&fleet->prober->world.tasks, "probe", probe_run, b);
  }
}

static note *mark_of(fleet *fleet, int status) {
  for (guint i = 0; i < fleet->notes->len; i++) {
    note *note = fleet->notes->pdata[i];
    if (note->mark == status)
      return note;
  }
  return NULL;
}

/* the acknowledged mark that every answer must know that was asked for at an instant */
static note *mark_due(fleet *fleet, time_us at) {
  note *due = NULL;
  for (guint i = 0; i < fleet->notes->len; i++) {
    note *note = fleet->notes->pdata[i];
    if (note->mark && note->status == 200 && note->at.us + FORCE_MS * 1000 <= at.us &&
        (!due || note->version > due->version))
      due = note;
  }
  return due;
}

void check_marks(fleet *fleet) {
  uint64_t *seen = g_new0(uint64_t, fleet->routers);
  time_us *when = g_new0(time_us, fleet->routers);
  for (guint i = 0; i < fleet->probes->len; i++) {
    probe *p = &g_array_index(fleet->probes, probe, i);
    /* the policy that an answer shows is that of when it was given, a moment before it came */
    time_us given = time_sub(p->at, time_from_ms(ANSWER_MS));
    if (given.us < p->sent.us)
      given = p->sent;
    note *due = mark_due(fleet, given),
         *is = p->code == E_REJECTED_BY_RULE ? mark_of(fleet, p->status) : NULL;
    /* a router that admits nothing says so, and cannot be wrong */
    if (p->status == 503 || p->status == 429 || (p->code != E_REJECTED_BY_RULE && !due))
      continue;
    if (p->code != E_REJECTED_BY_RULE) {
      if (fleet->marks <= MARK_SPAN)
        violation(fleet,
                  "R4 %s takes a request %.2f s after a rule that refuses it was acknowledged",
                  fleet->router[p->router]->self.text, (double)time_sub(given, due->at).us / 1e6);
      continue;
    }
    if (!is || fleet->marks > MARK_SPAN)
      continue;
    if (due && is->status == 200 && is->version < due->version)
      violation(fleet,
                "R4 %s answers by mark %d, write %" PRIu64 ", %.2f s after write %" PRIu64
                " was acknowledged",
                fleet->router[p->router]->self.text, p->status, is->version,
                (double)time_sub(given, due->at).us / 1e6, due->version);
    if (is->status != 200)
      continue;
    if (is->version < seen[p->router] && p->sent.us > when[p->router].us)
      violation(fleet, "R4 %s slipped back from write %" PRIu64 " to %" PRIu64,
                fleet->router[p->router]->self.text, seen[p->router], is->version);
    if (is->version > seen[p->router]) {
      seen[p->router] = is->version;
      when[p->router] = p->at;
    }
  }
  g_free(seen);
  g_free(when);
}

/* R6: the spans in which the platform showed an engine as leaving */
void check_leaving(fleet *fleet) {
  GArray *marks = fleet->platform->platform->marks;
  for (guint i = 0; i < marks->len; i++) {
    platform_sim_change *m = &g_array_index(marks, platform_sim_change, i);
    host *host = sim_find(fleet->sim, m->who.text);
    bool before = false;
    for (guint k = 0; k < i; k++)
      if (id_equal(g_array_index(marks, platform_sim_change, k).who, m->who))
        before = g_array_index(marks, platform_sim_change, k).leaving;
    if (!m->leaving || before || !host)
      continue;
    time_us till = time_never();
    for (guint k = i + 1; k < marks->len; k++) {
      platform_sim_change *x = &g_array_index(marks, platform_sim_change, k);
      if (id_equal(x->who, m->who) && !x->leaving) {
        till = x->at;
        break;
      }
    }
    int64_t from = m->at.us + LEAVE_MS * 1000;
    for (guint life = 0; life <= host->past->len; life++) {
      engine_sim *engine = life < host->past->len ? host->past->pdata[life] : host->engine;
      for (guint k = 0; engine && k < engine->streams->len; k++) {
        engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, k);
        if (s->from.us > from && s->from.us < till.us) {
          violation(fleet, "R6 %s is leaving and got a stream %.2f s after", host->self.text,
                    (double)time_sub(s->from, m->at).us / 1e6);
          break;
        }
      }
      for (guint k = 0; engine && k < engine->orders->len; k++) {
        engine_sim_order *o = &g_array_index(engine->orders, engine_sim_order, k);
        if (o->what == 'l' && !o->late && o->at.us > from && o->at.us < till.us) {
          violation(fleet, "R6 %s is leaving and got a load %.2f s after", host->self.text,
                    (double)time_sub(o->at, m->at).us / 1e6);
          break;
        }
      }
    }
  }
}

/* R7: what a note of an evacuation says of an engine. A share below one takes those whose hashed
 * name lies below it */
static bool covers(const note *note, const host *host) {
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
static uint64_t write_of(fleet *fleet, const note *n) {
  if (n->status == 200)
    return n->version;
  for (guint i = 0; n->key[0] && i < fleet->notes->len; i++) {
    note *o = fleet->notes->pdata[i];
    if (o->status == 200 && !strcmp(o->key, n->key))
      return o->version;
  }
  return 0;
}

/* true when at an instant every evacuation that may be in force covers an engine, and has been
 * acknowledged for long enough */
static bool emptied(fleet *fleet, const host *host, time_us at, GHashTable *memo) {
  note *due = NULL;
  for (guint i = 0; i < fleet->notes->len; i++) {
    note *n = fleet->notes->pdata[i];
    if (n->which == RESOURCE_EVACUATION && n->status == 200 && n->at.us + EMPTY_MS * 1000 < at.us &&
        (!due || n->version > due->version))
      due = n;
  }
  if (!due)
    return false;
  for (guint i = 0; i < fleet->notes->len; i++) {
    note *n = fleet->notes->pdata[i];
    if (n->which != RESOURCE_EVACUATION || n->sent.us > at.us)
      continue;
    /* refused, or said not to have been written; what nobody knows of may be in force */
    if ((n->status >= 400 && n->status < 500) || n->status == 503)
      continue;
    uint64_t v = write_of(fleet, n);
    if (v && v < due->version)
      continue;
    char k[160];
    snprintf(k, sizeof k, "%p %s", (void *)n, host->self.text);
    gpointer got = g_hash_table_lookup(memo, k);
    if (!got) {
      got = GINT_TO_POINTER(covers(n, host) ? 1 : 2);
      g_hash_table_insert(memo, g_strdup(k), got);
    }
    if (GPOINTER_TO_INT(got) == 2)
      return false;
  }
  return true;
}

static void emptied_of(fleet *fleet, host *host, engine_sim *engine, void *memo) {
  for (guint k = 0; k < engine->streams->len; k++) {
    engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, k);
    if (emptied(fleet, host, s->from, memo)) {
      violation(fleet, "R7 %s stands in an emptied place and got a stream at %.2f", host->self.text,
                (double)s->from.us / 1e6);
      break;
    }
  }
  for (guint k = 0; k < engine->orders->len; k++) {
    engine_sim_order *o = &g_array_index(engine->orders, engine_sim_order, k);
    if (o->what == 'l' && !o->late && emptied(fleet, host, o->at, memo)) {
      violation(fleet, "R7 %s stands in an emptied place and got a load at %.2f", host->self.text,
                (double)o->at.us / 1e6);
      break;
    }
  }
}

void check_emptied(fleet *fleet) {
  bool any = false;
  for (guint i = 0; i < fleet->notes->len; i++)
    any |= ((note *)fleet->notes->pdata[i])->which == RESOURCE_EVACUATION;
  if (!any)
    return;
  GHashTable *memo = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  each_engine_sim(fleet, emptied_of, memo);
  g_hash_table_destroy(memo);
}

/* R8 */
static int by_time(gconstpointer a, gconstpointer b) {
  const engine_sim_order *x = a, *y = b;
  return x->at.us < y->at.us ? -1 : x->at.us > y->at.us;
}

static void orders_of(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
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
} reign;

void check_orders(fleet *fleet) {
  for (int i = 0; i < fleet->engines; i++) {
    host *host = fleet->engine[i];
    GArray *all = g_array_new(FALSE, TRUE, sizeof(engine_sim_order)),
           *line = g_array_new(FALSE, TRUE, sizeof(reign));
    for (guint k = 0; k < host->past->len; k++)
      orders_of(fleet, host, host->past->pdata[k], all);
    if (host->engine)
      orders_of(fleet, host, host->engine, all);
    g_array_sort(all, by_time);
    for (guint k = 0; k < all->len; k++) {
      engine_sim_order *o = &g_array_index(all, engine_sim_order, k);
      if (o->late)
        continue;
      reign *r = NULL;
      for (guint x = 0; x < line->len; x++) {
        reign *y = &g_array_index(line, reign, x);
        if (id_equal(y->who, o->holder) && y->epoch == o->epoch)
          r = y;
        else if (y->epoch == o->epoch)
          violation(fleet, "R8 %s got orders of %s and of %s under one epoch, %" PRIu64,
                    host->self.text, y->who.text, o->holder.text, o->epoch);
      }
      if (!r) {
        reign y = { o->holder, o->epoch, o->at, o->at };
        g_array_append_val(line, y);
      } else
        r->last = o->at;
    }
    for (guint x = 1; x < line->len; x++) {
      reign *y = &g_array_index(line, reign, x), *was = &g_array_index(line, reign, x - 1);
      if (y->epoch <= was->epoch)
        violation(fleet,
                  "R8 %s got an order of %s under epoch %" PRIu64 " after one of %s under %" PRIu64,
                  host->self.text, y->who.text, y->epoch, was->who.text, was->epoch);
      if (was->last.us >= y->first.us)
        violation(fleet, "R8 %s got an order of %s %.2f s after the first of %s", host->self.text,
                  was->who.text, (double)time_sub(was->last, y->first).us / 1e6, y->who.text);
      /* both changes lie between the last order of the one before and the first of this one,
       * wherever they were */
      reign *old = x > 1 ? &g_array_index(line, reign, x - 2) : NULL;
      if (old && !id_equal(old->who, was->who) && !id_equal(was->who, y->who) &&
          time_sub(y->first, old->last).us < TRADE_MS * 1000)
        violation(fleet, "R8 the holder of %s changed twice within %.2f s", host->self.text,
                  (double)time_sub(y->first, old->last).us / 1e6);
    }
    g_array_free(all, TRUE);
    g_array_free(line, TRUE);
  }
}

/* R9 */
static void room_of(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)ctx;
  if (engine->orphans)
    violation(fleet, "R9 %s was ordered to unload a base from under %" PRIu64 " adapters",
              host->self.text, engine->orphans);
  if (engine->past)
    violation(fleet, "R9 %s was ordered past its room %" PRIu64 " times", host->self.text,
              engine->past);
}
void check_room(fleet *fleet) {
  each_engine_sim(fleet, room_of, NULL);
}

/* R10: loads over all engines, in any second and in any ten */
void check_pace(fleet *fleet) {
  GArray *all = g_array_new(FALSE, TRUE, sizeof(engine_sim_order)),
         *loads = g_array_new(FALSE, TRUE, sizeof(engine_sim_order));
  each_engine_sim(fleet, orders_of, all);
  g_array_sort(all, by_time);
  for (guint i = 0; i < all->len; i++)
    if (g_array_index(all, engine_sim_order, i).what == 'l' &&
        !g_array_index(all, engine_sim_order, i).late)
      g_array_append_vals(loads, &g_array_index(all, engine_sim_order, i), 1);
  for (int w = 0; w < 2; w++) {
    int64_t span = w ? 10000000 : 1000000;
    guint most = (guint)(fleet->pace * (w ? 10 : 1)), from = 0;
    if (most < 1)
      most = 1;
    for (guint i = 0; i < loads->len; i++) {
      while (g_array_index(loads, engine_sim_order, i).at.us -
                 g_array_index(loads, engine_sim_order, from).at.us >=
             span)
        from++;
      if (i - from + 1 > most) {
        for (guint q = from; q <= i && g_getenv("SIM_NOTES"); q++) {
          engine_sim_order *o = &g_array_index(loads, engine_sim_order, q);
          fprintf(stderr, "  load at %.3f of %s by %s epoch %" PRIu64 "\n", (double)o->at.us / 1e6,
                  o->model.text, o->holder.text, o->epoch);
        }
        violation(fleet, "R10 %u loads began within %d s; the store allows %u", i - from + 1,
                  w ? 10 : 1, most);
        break;
      }
    }
  }
  g_array_free(all, TRUE);
  g_array_free(loads, TRUE);
}

/* R11: what engines saw of a request beyond one for each try of its caller */
static void count_tries(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
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

void check_seconds(fleet *fleet) {
  GHashTable *attempts = g_hash_table_new(g_str_hash, g_str_equal),
             *tries = g_hash_table_new(g_str_hash, g_str_equal);
  each_engine_sim(fleet, count_tries, attempts);
  GArray *log = fleet->callers->loadgen->log;
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
    violation(fleet, "R11 %d second tries for %d requests", seconds, asked);
  g_hash_table_destroy(attempts);
  g_hash_table_destroy(tries);
}

/* R11: a young engine runs at most twice what its slow start grants, and four, whoever sends */
static void cold_of(fleet *fleet, host *host, engine_sim *engine, void *ctx) {
  (void)ctx;
  for (guint i = 0; i < engine->streams->len; i++) {
    engine_sim_stream *s = &g_array_index(engine->streams, engine_sim_stream, i);
    double age = (double)time_sub(s->from, engine->born).us / 1e6,
           grant = fleet->streams * age / fleet->slow_s;
    if (age >= fleet->slow_s)
      break;
    int n = 0;
    for (guint k = 0; k <= i; k++) {
      engine_sim_stream *o = &g_array_index(engine->streams, engine_sim_stream, k);
      n += !o->to.us || o->to.us > s->from.us;
    }
    if (n > 2 * MAX(2, grant) + 4) {
      violation(fleet, "R11 %s ran %d streams when it was %.2f s old; its slow start grants %.1f",
                host->self.text, n, age, grant);
      break;
    }
  }
}
void check_cold(fleet *fleet) {
  each_engine_sim(fleet, cold_of, NULL);
}

/* R12: the share of whole answers by the instant of asking */
static int lane_of(fleet *fleet, const loadgen_request *request) {
  for (int i = 0; i < 2; i++)
    if (!strcmp(request->kind.text, fleet->callers->loadgen->plan.kinds[i]))
      return i;
  return 2;
}

typedef struct {
  double asked, done;
} share;

static share share_of(fleet *fleet, int kind, time_us from, time_us till) {
  share s = { 0, 0 };
  GPtrArray *all = fleet->callers->loadgen->requests;
  for (guint i = 0; i < all->len; i++) {
    loadgen_request *request = all->pdata[i];
    if (request->from.us < from.us || request->from.us >= till.us || request->how == OUTCOME_OPEN ||
        request->how == OUTCOME_LEFT || (kind >= 0 && lane_of(fleet, request) != kind))
      continue;
    s.asked++;
    s.done += request->how == OUTCOME_DONE;
  }
  return s;
}

/* what of the room is left: engines that are alive over all */
static double room_left(fleet *fleet) {
  double all = 0, left = 0;
  for (int i = 0; i < fleet->engines; i++) {
    all += (double)fleet->engine[i]->megs;
    if (fleet->engine[i]->alive && !fleet->engine[i]->frozen)
      left += (double)fleet->engine[i]->megs;
  }
  return all > 0 ? left / all : 1;
}

/* a window of two seconds counts when enough asked in it; else it grows to the left of its end,
 * never over the loss */
static bool window_ok(fleet *fleet, int kind, time_us low, time_us end, double due) {
  for (int64_t span = 2000; span <= 8000; span += 1000) {
    time_us from = time_sub(end, time_from_ms(span));
    if (from.us < low.us)
      return true;
    share s = share_of(fleet, kind, from, end);
    if (s.asked < 12)
      continue;
    /* chance alone takes two deviations off a small window */
    double slack = 2 * sqrt(due * (1 - MIN(due, 0.99)) / s.asked);
    return s.done / s.asked >= due - slack;
  }
  return true;
}

static double due_of(fleet *fleet, time_us loss, int kind) {
  share was = share_of(fleet, kind, time_sub(loss, time_from_ms(10000)),
                       time_sub(loss, time_from_ms(2000)));
  return was.asked < 5 ? -1 : 0.9 * was.done / was.asked * room_left(fleet);
}

double back_at(fleet *fleet, time_us loss, time_us till, int kind) {
  double due = due_of(fleet, loss, kind);
  if (due < 0)
    return -1;
  time_us good = loss;
  for (time_us end = time_add(loss, time_from_ms(2000)); end.us <= till.us;
       end = time_add(end, time_from_ms(500)))
    if (!window_ok(fleet, kind, loss, end, due))
      good = time_sub(end, time_from_ms(1500));
  return (double)time_sub(good, loss).us / 1e6;
}

void check_back(fleet *fleet, time_us loss, time_us till) {
  static const char *const names[] = { "live", "short", "deferred", "all" };
  time_us low = time_add(loss, time_from_ms(BACK_MS));
  for (int k = 0; k < 4; k++) {
    int kind = k < 3 ? k : -1;
    double due = due_of(fleet, loss, kind);
    if (due < 0)
      continue;
    for (time_us end = time_add(low, time_from_ms(2000)); end.us <= till.us;
         end = time_add(end, time_from_ms(500))) {
      if (window_ok(fleet, kind, low, end, due))
        continue;
      share s = share_of(fleet, kind, time_sub(end, time_from_ms(2000)), end);
      violation(
          fleet,
          "R12 %.1f s after the loss %.0f of %.0f requests (%s) were answered whole; %.2f of them were due",
          (double)time_sub(end, loss).us / 1e6, s.done, s.asked, names[k], due);
      break;
    }
  }
}

bool check_quiet(fleet *fleet) {
  /* a test about a module alone starts no fleet */
  if (fleet->callers->alive) {
    check_runs(fleet);
    check_marks(fleet);
    check_leaving(fleet);
    check_emptied(fleet);
    check_orders(fleet);
    check_room(fleet);
    check_pace(fleet);
    check_seconds(fleet);
    check_cold(fleet);
  }
  return !fleet->faults->len;
}

bool check_all(fleet *fleet) {
  check_quiet(fleet);
  if (g_getenv("SIM_NOTES"))
    for (guint i = 0; i < fleet->notes->len; i++) {
      note *note = fleet->notes->pdata[i];
      fprintf(stderr, "  %.3f to %.3f: %d, write %" PRIu64 " %s %s\n", (double)note->sent.us / 1e6,
              (double)note->at.us / 1e6, note->status, note->version, note->key,
              note->text ? note->text : "");
    }
  if (fleet->faults->len)
    fprintf(stderr, "\nseed %" PRIu64 ":\n%s", fleet->seed, fleet->faults->str);
  return !fleet->faults->len;
}

/* beside the records: the daemons themselves are asked whether two act at once */
static void sample(sim *sim, void *p) {
  fleet *fleet = p;
  for (int i = 0; i < fleet->routers; i++) {
    host *h = fleet->router[i];
    if (!h->alive || h->frozen || !h->router->config)
      continue;
    if (h->router->sync.config_version < h->seq_seen)
      violation(fleet, "R4 %s slipped back from %" PRIu64 " to %" PRIu64, h->self.text, h->seq_seen,
                h->router->sync.config_version);
    h->seq_seen = h->router->sync.config_version;
  }
  fleet_head(fleet);
  fleet_tail(fleet);
  for (int i = 0; i <= fleet->engines; i++) {
    char d[64] = "pacer";
    if (i < fleet->engines)
      singleton_engine_name(d, sizeof d, fleet->engine[i]->self);
    host *h = fleet_holder(fleet, d);
    if (!h || id_equal(h->self, fleet->held[i].who))
      continue;
    /* holders never trade places within about three seconds */
    if (!id_is_empty(fleet->held[i].who) &&
        time_sub(sim->now, fleet->held[i].since).us < TRADE_MS * 1000)
      violation(fleet, "R8 %s went from %s to %s after %.2f s", d, fleet->held[i].who.text,
                h->self.text, (double)time_sub(sim->now, fleet->held[i].since).us / 1e6);
    fleet->held[i].who = h->self;
    fleet->held[i].since = sim->now;
  }
}

void check_watch(fleet *fleet) {
  fleet->sim->each = sample;
  fleet->sim->each_ctx = fleet;
  fleet->sim->each_at = fleet->sim->now;
}
