#include "gateway.h"
#include <math.h>
#include <stdio.h>

enum {
  ALIVE_MS = 1600,
  LAPSE_MS = 1000,
  REQUEST_MS = 800,
  CALL_MS = 1300,
  ORDER_MS = 1500,
  REPORT_MS = 800,
  LAG_MS = 450,
  YOUNG_MS = 1000,
  YOUNG_ADAPTER_MS = 600,
  /* by then all nodes have told what they had of it */
  RATE_KNOWN_MS = 4000,
  TICKET_MS = 400,
  LAST_MS = 150,
  UNLOAD_MS = 12000,
  RATES_MS = 1000,
  RECENT_RATE_MS = 5000,
  WHOLE_MS = 2000,
  FEW_NODES = 16,
  SHARDS = 8,
  RECENT_MS = 60,
  FAIL_MS = 800,
  ONE_COORDINATOR = 32,
  PART_NODES = 16,
  BUSY_COST = 300,
  DRAIN_LEAST_MS = 1000,
  SURE_MS = 1800,
  CANDS = 96,
  AHEAD_MS = 250,
  COPIES_AT_ONCE = 4,
  ADAPTER_LOOKS = 12,
  /* from the announcement of an unload to its order: the others hear of it, and what they have sent
     meanwhile reaches the engine */
  ANNOUNCE_MS = 40,
  ANNOUNCE_AGAIN_MS = 1000,
  /* so many engines may say that only busy things could go, before one is asked to drain */
  BUSY_ENGINES_MOST = 4
};

/* copies beyond the next one go only where next to nothing has to make way */
static const double EXTRA_SHARE = 0.1;

/* what this node asks for; lives while requests ask again */
typedef struct want_job {
  char *key;
  id service, model, adapter;
  unsigned priority;
  bool copy, lost;
  time_us asked, due, failed_till;
  int code;
  id tried;
  time_us tried_till;
} want_job;
/* at a coordinator: one placement for the whole fleet */
typedef struct placing {
  char *key;
  id service, model, adapter, engine;
  unsigned priority;
  bool copy, done, begun, extra;
  time_us asked, due;
  bool may_drain; /* no engine was found where what has to go is idle */
  int code, held;
  int64_t wait;
  double cost;
  condition changed;
} placing;
/* at a holder: one job of an engine */
typedef struct place_job {
  list_node link;
  id model, adapter;
  unsigned priority;
  bool copy, done, begun;
  bool idle_only; /* nothing that runs may go for it */
  time_us since, asked, due;
  int code, held;
  int64_t wait;
  double cost_most;
  condition changed;
} place_job;

static time_us now_of(gateway *gateway) {
  return world_now(gateway->router->node.world);
}
static time_us ms_from(gateway *gateway, double ms) {
  return time_add(now_of(gateway), (time_us){ (int64_t)(ms * 1000) });
}
static int64_t ms_till(gateway *gateway, time_us t) {
  int64_t ms = time_sub(t, now_of(gateway)).us / 1000;
  return MAX(ms, 0);
}
static double since_ms(gateway *gateway, time_us t) {
  return (double)time_sub(now_of(gateway), t).us / 1000;
}
static const id none = { "" };

static const service *service_of(gateway *gateway, id name) {
  return gateway->routing ? routing_service(gateway->routing, name.text) : NULL;
}

static char *key_of(id service, id model, id adapter) {
  return g_strdup_printf("%s/%s+%s", service.text, model.text, adapter.text);
}

/* sizes and times */
static double size_of(const service *service, id model, id adapter) {
  const svc_model *m = service_model(service, model.text);
  return !m ? 0 : id_is_empty(adapter) ? m->weights_mb : m->adapter_mb;
}

/* the load time to reckon with: one out of the store and one from the engine's own disk are learnt
 * apart */
static double time_of(gateway *gateway, const service *service, id model, id adapter, bool warm) {
  char key[140];
  const svc_model *m = service_model(service, model.text);
  double cold = m && m->load_ms > 0 ? m->load_ms : 2000;
  history_key(key, sizeof key, model, adapter);
  if (!id_is_empty(adapter))
    return history_penalty(
        &gateway->router->history, service->name, key,
        history_penalty(&gateway->router->history, service->name, "@adapter", 25));
  if (!warm)
    return history_penalty(&gateway->router->history, service->name, key, cold);
  g_strlcat(key, "@disk", sizeof key);
  return history_penalty(&gateway->router->history, service->name, key, 0.25 * cold);
}

/** A key's rate over the whole fleet, as its collector said. */
typedef struct whole_rate {
  double rate;
  time_us at;
} whole_rate;

static double rate_of(gateway *gateway, id model, id adapter) {
  char key[140];
  history_key(key, sizeof key, model, adapter);
  /* demand moves within seconds: half of the weight lies on the latest of them */
  double own = 0.5 * history_rate(&gateway->router->history, key) +
               0.5 * history_recent(&gateway->router->history, key, time_from_ms(RECENT_RATE_MS));
  whole_rate *w =
      gateway->nodes > FEW_NODES ? g_hash_table_lookup(gateway->rates_whole, key) : NULL;
  return w && !time_reached(now_of(gateway), time_add(w->at, time_from_ms(4 * WHOLE_MS)))
             ? MAX(own, w->rate)
             : own;
}

static bool wanted_here(instance *instance, id model, id adapter) {
  list_for_each(job, &instance->orders, place_job,
                link) if (!job->done && id_equal(job->model, model) &&
                          (id_is_empty(adapter) || id_equal(job->adapter, adapter))) return true;
  return false;
}

/* counts copies of all that a service's engines hold, for the time of one choice: one by one, each
   engine's each resident would look through all engines again */
static void copies_count(gateway *gateway, id service) {
  gateway->copies = g_hash_table_new(NULL, NULL);
  list_for_each(i, &gateway->instances, instance, link) {
    if (i->gone || i->leaving || !id_equal(i->service, service) || instance_lost(i))
      continue;
    list_for_each(r, &i->residents, resident, link) {
      if (r->unloading)
        continue;
      for (int k = -1; k < (int)r->adapters->len; k++) {
        gpointer key =
            GUINT_TO_POINTER(run_key(r->model, k < 0 ? none : id_of_text(r->adapters->pdata[k])));
        g_hash_table_insert(
            gateway->copies, key,
            GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(gateway->copies, key)) + 1));
      }
    }
  }
}

static void copies_forget(gateway *gateway) {
  if (gateway->copies)
    g_hash_table_destroy(gateway->copies);
  gateway->copies = NULL;
}

static int copies_counted(gateway *gateway, id service, id model, id adapter) {
  if (!gateway->copies)
    return instance_copies(gateway, service, model, adapter);
  return GPOINTER_TO_INT(
      g_hash_table_lookup(gateway->copies, GUINT_TO_POINTER(run_key(model, adapter))));
}

/* The rate of an adapter that was loaded of late is not in the history yet: it comes in some ms,
 * and counts of other nodes come seconds later. It was wanted once at least, so one request in the
 * time since is its rate at the least. A model takes longer to load than its rate to be known. */
static double rate_since_load(gateway *gateway, id adapter, time_us loaded_at) {
  if (id_is_empty(adapter) || !loaded_at.us || !gateway_uses(gateway, MECHANISM_NEW_RATE) ||
      since_ms(gateway, loaded_at) > RATE_KNOWN_MS)
    return 0;
  return 1000 / MAX(since_ms(gateway, loaded_at), 1000);
}

/* what came up a moment ago, for requests that are only now told of it */
static bool just_loaded(gateway *gateway, const resident *resident, id adapter, time_us loaded_at) {
  if (!id_is_empty(adapter))
    return loaded_at.us && gateway_uses(gateway, MECHANISM_NEW_RATE) &&
           since_ms(gateway, loaded_at) < YOUNG_ADAPTER_MS;
  return resident->up_at.us && since_ms(gateway, resident->up_at) < YOUNG_MS &&
         resident->last_used.us < resident->up_at.us;
}

/* what is on an engine, as the rule sees it; gives the number of them */
static int residents_as(instance *instance, const service *service, id model, id adapter,
                        candidate *all, double *mb, unsigned *slots) {
  gateway *gateway = instance->gateway;
  int n = 0;
  *mb = instance->owed_mb;
  *slots = instance->owed_slots;
  list_for_each(r, &instance->residents, resident, link) {
    for (guint k = 0; k < r->leaving->len; k++)
      *mb += size_of(service, r->model, id_of_text(r->leaving->pdata[k]));
    *slots += r->leaving->len;
    for (int k = -1; k < (int)r->adapters->len && n < CANDS; k++) {
      candidate *candidate = &all[n++];
      memset(candidate, 0, sizeof *candidate);
      candidate->model = r->model;
      if (k >= 0)
        candidate->adapter = id_of_text(r->adapters->pdata[k]);
      double size = size_of(service, candidate->model, candidate->adapter);
      *mb += size;
      *slots += k >= 0;
      candidate->megs = (uint64_t)ceil(size);
      candidate->slots = k >= 0;
      int copies =
          MAX(1, copies_counted(gateway, instance->service, candidate->model, candidate->adapter));
      time_us loaded_at = instance_loaded_at(instance, candidate->model, candidate->adapter);
      candidate->rate = MAX(rate_of(gateway, candidate->model, candidate->adapter) / copies,
                            rate_since_load(gateway, candidate->adapter, loaded_at));
      candidate->penalty = time_of(gateway, service, candidate->model, candidate->adapter, false);
      char key[140];
      history_key(key, sizeof key, candidate->model, candidate->adapter);
      time_us used = history_used(&gateway->router->history, key);
      candidate->used = k < 0 && r->last_used.us > used.us ? r->last_used : used;
      candidate->busy = instance_runs(instance, candidate->model, candidate->adapter);
      candidate->barred = r->unloading || just_loaded(gateway, r, candidate->adapter, loaded_at) ||
                          wanted_here(instance, candidate->model, candidate->adapter) ||
                          (k < 0 && !id_is_empty(adapter) && id_equal(r->model, model));
    }
  }
  return n;
}

static uint64_t chance(void *w) {
  return ((world *)w)->random(w);
}

/* the policy resource says by what the least worth is told; the paper's rule stands until there is
 * one */
static policy policy_of(gateway *gateway) {
  const config *config = gateway->router->config;
  if (!gateway_uses(gateway, MECHANISM_CREMEBRULEE))
    return (policy){ "lru", NULL, now_of(gateway) };
  return config ? (policy){ config->eviction, config_formula(config, config->eviction),
                            now_of(gateway) }
                : (policy){ "cremebrulee", NULL, now_of(gateway) };
}

static lack lack_of(const service *service, double mb, unsigned slots, double add_mb,
                    unsigned add_slots) {
  double over = mb + add_mb - service->weights_mb;
  lack l = { over > 0 ? (uint64_t)ceil(over) : 0, slots + add_slots > service->adapter_slots
                                                      ? slots + add_slots - service->adapter_slots
                                                      : 0 };
  return l;
}

/* room that is missing for a thing and its base */
static void needs(instance *instance, const service *service, id model, id adapter, double *mb,
                  unsigned *slots) {
  *mb = 0;
  *slots = 0;
  if (!instance_resident(instance, model))
    *mb += size_of(service, model, none);
  if (!id_is_empty(adapter) && !instance_holds(instance, model, adapter)) {
    *mb += size_of(service, model, adapter);
    *slots += 1;
  }
}

double place_cost(instance *instance, const service *service, id model, id adapter, double *need_mb,
                  unsigned *need_slots, double *drain_ms) {
  candidate all[CANDS];
  double mb, add;
  unsigned slots, more;
  int n = residents_as(instance, service, model, adapter, all, &mb, &slots);
  needs(instance, service, model, adapter, &add, &more);
  *need_mb = add;
  *need_slots = more;
  *drain_ms = 0;
  if (add > service->weights_mb || more > service->adapter_slots)
    return -1;
  lack l = lack_of(service, mb, slots, add, more);
  if (!l.megs && !l.slots)
    return 0;
  policy rule = policy_of(instance->gateway);
  int got = policy_fill(&rule, all, n, l, chance, instance->gateway->router->node.world);
  if (got < 0)
    return -1;
  double cost = 0;
  /* what runs has to end first; meanwhile it takes no new work, and holds the engine's other orders
   * up */
  for (int k = 0; k < got; k++) {
    double drain = all[k].busy ? MAX(DRAIN_LEAST_MS, 2 * instance->usual_run) : 0;
    *drain_ms = MAX(*drain_ms, drain);
    cost += (all[k].penalty + drain) * all[k].rate + (drain > 0 ? BUSY_COST : 0);
  }
  return cost;
}

/* the pace of the store */
int pace_most(double loads_per_s, double window_s, double excess) {
  return MAX(1, (int)floor(loads_per_s * window_s * excess + 1e-9) - 1);
}

time_us pace_next(const GArray *log, time_us now, time_us window, int most) {
  if ((int)log->len < most)
    return now;
  time_us free_at = time_add(g_array_index(log, time_us, log->len - (guint)most), window);
  return free_at.us > now.us ? free_at : now;
}

void pace_take_over(GArray *log, time_us since, time_us born, time_us window, int most) {
  /* loads that nobody told of: a few always; all but three when this node is too young to have
   * heard */
  int unheard = time_reached(since, time_add(born, window)) ? MIN(3, most - 1) : MAX(0, most - 3);
  for (int k = 0; k < unheard; k++)
    g_array_append_val(log, since);
}

/* when loads out of a service's store began, and the contract under which this node has given
 * tickets for them */
typedef struct pace {
  GArray *log;
  uint64_t epoch;
} pace;

static pace *pace_of(gateway *gateway, id service) {
  pace *p = g_hash_table_lookup(gateway->paces, service.text);
  if (p)
    return p;
  p = g_new0(pace, 1);
  p->log = g_array_new(FALSE, TRUE, sizeof(time_us));
  g_hash_table_insert(gateway->paces, g_strdup(service.text), p);
  return p;
}

static void pace_free(void *q) {
  pace *p = q;
  g_array_free(p->log, TRUE);
  g_free(p);
}

static double window_s(gateway *gateway) {
  return gateway->settings.load_window_s > 0 ? gateway->settings.load_window_s : 5;
}
static double excess(gateway *gateway) {
  return gateway->settings.load_excess > 0 ? gateway->settings.load_excess : 1;
}

static void pace_add(gateway *gateway, id service, time_us at) {
  GArray *a = pace_of(gateway, service)->log;
  time_us old = time_sub(at, (time_us){ (int64_t)(window_s(gateway) * 1.2e6) });
  while (a->len && g_array_index(a, time_us, 0).us < old.us)
    g_array_remove_index(a, 0);
  g_array_append_val(a, at);
}

static void heirs_cast(gateway *gateway, const char *duty, Wire__Envelope *m);

/* a call asks for a ticket; a cast says that a load began, so that whoever takes the pace over
 * knows */
static int on_ticket(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  router *router = gateway->router;
  instance *instance = instance_find(gateway, in->ticket->engine);
  if (!in->call) {
    if (!instance)
      return OK;
    if (in->ticket->key && in->ticket->key[0])
      pace_add(gateway, instance->service, now_of(gateway));
    else
      instance->ordered_at = now_of(gateway);
    return OK;
  }
  uint64_t epoch = duty_epoch(router, "pacer");
  if (!epoch)
    return error_set(err, E_NO_HOLDER, "the pace is not held here");
  if (in->ticket->epoch > epoch)
    return error_set(err, E_EPOCH, "a younger epoch is known");
  const service *service = instance ? service_of(gateway, instance->service) : NULL;
  if (!service)
    return error_set(err, E_ENGINE, "%.40s is not known here", in->ticket->engine);
  Wire__TicketBack *b =
      reply_new(reply, WIRE__ENVELOPE__BODY_TICKETBACK, &wire__ticket_back__descriptor);
  b->ok = true;
  b->last = LAST_MS * 1000;
  if (service->loads_per_s <= 0)
    return OK;
  int most = pace_most(service->loads_per_s, window_s(gateway), excess(gateway));
  time_us window = { (int64_t)(window_s(gateway) * 1e6) + LAST_MS * 1000 }, now = now_of(gateway);
  pace *p = pace_of(gateway, service->name);
  contract *contract = g_hash_table_lookup(router->contracts, "pacer");
  if (p->epoch != epoch) {
    if (epoch > 1)
      pace_take_over(p->log, contract->since, router->node.born, window, most);
    p->epoch = epoch;
  }
  time_us at = pace_next(p->log, now, window, most);
  int64_t wait = time_sub(at, now).us;
  b->ok = wait == 0 && !time_reached(time_add(now, time_from_ms(LAST_MS)), contract->till);
  b->wait = (uint64_t)(wait + 999) / 1000;
  if (!b->ok) {
    router->tickets_late++;
    if (!b->wait)
      b->wait = 100;
    return OK;
  }
  router->tickets++;
  pace_add(gateway, service->name, now);
  Wire__Ticket t = WIRE__TICKET__INIT;
  t.engine = in->ticket->engine;
  t.key = in->ticket->key;
  t.epoch = epoch;
  Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_TICKET, &t);
  heirs_cast(gateway, "pacer", &m);
  return OK;
}

/* asks for a load out of the store; last is how late its order may be sent */
static int ticket(instance *instance, const service *service, const char *key, time_us *last,
                  int64_t *wait, error *err) {
  gateway *gateway = instance->gateway;
  router *router = gateway->router;
  if (service->loads_per_s <= 0) {
    *last = time_never();
    return OK;
  }
  time_us from = now_of(gateway);
  for (;;) {
    id holder;
    uint64_t epoch;
    char addr[48] = "";
    if (router_grant(router, "pacer", &holder, &epoch)) {
      machine *machine = node_find_machine(&router->node, holder);
      if (id_equal(holder, router->node.settings.self))
        g_strlcpy(addr, router->node.settings.addr, sizeof addr);
      else if (machine && !machine->gone)
        g_strlcpy(addr, machine->addr, sizeof addr);
    }
    int r = E_LOAD_PACE;
    if (addr[0]) {
      Wire__Ticket t = WIRE__TICKET__INIT;
      t.engine = instance->self.text;
      t.key = (char *)key;
      t.epoch = epoch;
      Wire__Envelope q = wire_msg(WIRE__ENVELOPE__BODY_TICKET, &t), *b;
      time_us sent = now_of(gateway);
      r = node_call(&router->node, addr, &q, time_from_ms(TICKET_MS), &b, err);
      if (r == E_STOPPING)
        return r;
      if (!r) {
        bool good = b->body_case == WIRE__ENVELOPE__BODY_TICKETBACK, ok = good && b->ticketback->ok;
        if (good)
          *wait = (int64_t)b->ticketback->wait;
        if (ok)
          *last = time_add(sent, (time_us){ (int64_t)b->ticketback->last });
        node_reply_free(b);
        if (ok)
          return OK;
        if (good)
          return error_set(err, E_LOAD_PACE, "the pace is taken for %" PRId64 " ms", *wait);
        r = E_WIRE;
      }
    }
    if (since_ms(gateway, from) >= TICKET_MS)
      break;
    if (!world_sleep(router->node.world, time_from_ms(100)))
      return error_set(err, E_STOPPING, "stopping");
  }
  /* nobody answers for the pace: a node's own small share of it */
  double gap = 4 * MAX(gateway->nodes, 1) / service->loads_per_s * 1000;
  if (gateway->spare_load.us && since_ms(gateway, gateway->spare_load) < gap) {
    *wait = 500;
    return error_set(err, E_LOAD_PACE, "nobody holds the pace");
  }
  gateway->spare_load = now_of(gateway);
  pace_add(gateway, service->name, now_of(gateway));
  *last = ms_from(gateway, LAST_MS);
  return OK;
}

/* orders and reports */
static uint64_t epoch_of(instance *instance) {
  char d[64];
  duty_engine(d, sizeof d, instance->self);
  return duty_epoch(instance->gateway->router, d);
}

static time_us contract_till(instance *instance) {
  char d[64];
  duty_engine(d, sizeof d, instance->self);
  contract *contract = g_hash_table_lookup(instance->gateway->router->contracts, d);
  return contract ? contract->till : (time_us){ 0 };
}

/* notes when an order may last have gone out under a contract, and whether one still may */
static void contract_open(instance *instance, int more) {
  char d[64];
  duty_engine(d, sizeof d, instance->self);
  contract *contract = g_hash_table_lookup(instance->gateway->router->contracts, d);
  if (!contract)
    return;
  contract->open += more;
  contract->ordered = now_of(instance->gateway);
}

static fields *fields_for(instance *instance) {
  fields *fields = g_string_new(NULL);
  fields_add(fields, "Host", string_view_of(instance->addr));
  const char *expect = instance->gateway->settings.dialect->field[DF_EXPECT_ENGINE];
  if (expect)
    fields_add(fields, expect, string_view_of(instance->self.text));
  return fields;
}

/* one exchange with an engine: the status, 0 when nothing was sent, -1 when nobody knows */
static int exchange(instance *instance, enum dialect_call call_, const char *body, GString *got,
                    int64_t span, time_us by, error *err) {
  world *world = instance->gateway->router->node.world;
  const dialect_path *p = &instance->gateway->settings.dialect->call[call_];
  fields *fields = fields_for(instance);
  if (body)
    fields_add(fields, "Content-Type", string_view_of("application/json"));
  time_us till = time_add(world_now(world), time_from_ms(span));
  http_call *call = http_call_open_fields(world, instance->addr, p->verb, p->path, fields,
                                          string_view_of(body), false, by);
  int st = 0, r = http_call_wait(call, till);
  if (!r) {
    st = call->status;
    if (http_call_read_all(call, got, till))
      st = st == 200 && got->len ? -1 : st;
  } else {
    st = r == E_STOPPING ? -1 : call->sent ? -1 : 0;
    error_set(err, r, "%s did not answer", instance->self.text);
  }
  http_call_close(call);
  g_string_free(fields, TRUE);
  return st;
}

static json *words_in(gateway *gateway, const GString *text) {
  error err = { 0 };
  json *json = json_read(string_view_of_gstring(text), &err);
  if (json)
    dialect_in(gateway->settings.dialect, json);
  return json;
}

/* takes an idle report into the account of the engine's room */
static void room_read(instance *instance, uint64_t count, Wire__Resident **models, size_t n,
                      time_us asked) {
  room *r = &instance->room;
  if (!room_shown(r, asked, time_from_ms(LAG_MS))) {
    /* the engine has taken an order that this holder knows nothing of */
    if (r->known && count > r->count)
      room_forget(r, now_of(instance->gateway));
    return;
  }
  if (r->known && count != r->count)
    log_debug(&instance->gateway->router->node.log, "place",
              "%s has taken %" PRIu64 " orders; %" PRIu64 " were known.", instance->self.text,
              count, r->count);
  room_begin(r, count);
  for (size_t k = 0; k < n; k++) {
    if (!id_is_valid(string_view_of(models[k]->model)))
      continue;
    id model = id_of_text(models[k]->model);
    room_add(r, model, none);
    for (size_t a = 0; a < models[k]->n_adapters; a++)
      if (id_is_valid(string_view_of(models[k]->adapters[a])))
        room_add(r, model, id_of_text(models[k]->adapters[a]));
  }
}

/* reads what an engine itself says that it holds; false when it says nothing */
static bool report(instance *instance, bool *busy, int *running, error *err) {
  gateway *gateway = instance->gateway;
  GString *got = g_string_new(NULL);
  time_us from = now_of(gateway);
  gateway->counts.reports++;
  int st = exchange(instance, DC_REPORT, NULL, got, REPORT_MS, time_never(), err);
  json *value = st == 200 ? words_in(gateway, got) : NULL;
  g_string_free(got, TRUE);
  if (st == 421)
    instance_over(instance, "its address answers for another");
  if (!value || instance->gone) {
    json_free(value);
    return false;
  }
  instance->seen_at = now_of(gateway);
  const json *m = json_get(value, "models");
  size_t n = m ? json_count(m) : 0;
  Wire__Resident *r = g_new(Wire__Resident, n + 1), **rp = g_new(Wire__Resident *, n + 1);
  for (size_t k = 0; k < n; k++) {
    const json *o = json_at(m, k), *a = json_get(o, "adapters");
    wire__resident__init(&r[k]);
    r[k].model = (char *)json_text(o, "name", "");
    r[k].version = (uint64_t)MAX(0, json_num(o, "version", 0));
    r[k].n_adapters = a ? json_count(a) : 0;
    r[k].adapters = g_new(char *, r[k].n_adapters + 1);
    for (size_t t = 0; t < r[k].n_adapters; t++) {
      const json *name = json_at(a, t);
      r[k].adapters[t] = name->kind == J_STR ? name->text->str : (char *)"";
    }
    rp[k] = &r[k];
  }
  *busy = json_yes(value, "busy", false);
  *running = (int)json_num(value, "running", 0) + (int)json_num(value, "waiting", 0);
  instance_models(instance, rp, n, from, LAG_MS);
  instance->reported_at = from;
  uint64_t count = (uint64_t)MAX(0, json_num(value, "count", 0));
  if (!*busy)
    room_read(instance, count, rp, n, from);
  for (size_t k = 0; k < n; k++)
    g_free(r[k].adapters);
  g_free(r);
  g_free(rp);
  json_free(value);
  return true;
}

enum { EXPECT_ANY = -1 };

static GString *order_text(instance *instance, bool up, id model, id adapter, uint64_t epoch,
                           int64_t expect) {
  gateway *gateway = instance->gateway;
  GString *t = g_string_new(NULL);
  json_f(t, "{\"op\":\"%s\",\"model\":", up ? "load" : "unload");
  json_quote(t, string_view_of(model.text));
  if (!id_is_empty(adapter)) {
    g_string_append(t, ",\"adapter\":");
    json_quote(t, string_view_of(adapter.text));
  }
  g_string_append(t, ",\"holder\":");
  json_quote(t, string_view_of(gateway->router->node.settings.self.text));
  if (expect != EXPECT_ANY)
    json_f(t, ",\"expect\":%" PRId64, expect);
  json_f(t, ",\"fence\":%" PRIu64 "}", epoch);
  error err = { 0 };
  json *json = json_read(string_view_of_gstring(t), &err);
  dialect_out(gateway->settings.dialect, json);
  g_string_truncate(t, 0);
  json_write(json, t);
  json_free(json);
  return t;
}

/* sends one order, only while the contract holds: 202 taken, 200 so already; 0 not sent, -1
 * unknown, -2 no contract. With an expected number of orders the engine refuses it (409) when it
 * has taken any other meanwhile */
static int order(instance *instance, bool up, id model, id adapter, int64_t expect, time_us by,
                 error *err) {
  gateway *gateway = instance->gateway;
  uint64_t epoch = epoch_of(instance);
  if (!epoch) {
    error_set(err, E_NO_HOLDER, "no contract for %s", instance->self.text);
    return -2;
  }
  if (instance->gone) {
    error_set(err, E_ENGINE, "%s is gone", instance->self.text);
    return -2;
  }
  /* an address is not used again at once: one that gave a sign of life lately is still the same; of
   * another an order is never sent */
  time_us seen =
      instance->beat_at.us > instance->last_byte.us ? instance->beat_at : instance->last_byte;
  if (instance->seen_at.us > seen.us)
    seen = instance->seen_at;
  if (since_ms(gateway, seen) > SURE_MS) {
    bool busy;
    int running;
    if (!report(instance, &busy, &running, err))
      return 0;
    if (instance->gone || !(epoch = epoch_of(instance)))
      return error_set(err, E_NO_HOLDER, "no contract for %s", instance->self.text), -2;
  }
  time_us till = contract_till(instance);
  GString *t = order_text(instance, up, model, adapter, epoch, expect), *got = g_string_new(NULL);
  gateway->counts.orders++;
  history_add(&gateway->router->history,
              (entry){ EV_ORDERED, { 0 }, instance->self, model, adapter, up });
  contract_open(instance, 1);
  int st = exchange(instance, DC_ORDER, t->str, got, ORDER_MS, till.us < by.us ? till : by, err);
  contract_open(instance, -1);
  log_debug(&gateway->router->node.log, "order",
            "%s %s%s%s at %s: fence %" PRIu64 ", %" PRId64 " orders expected, %" PRIu64
            " known, status %d.",
            up ? "Load" : "Unload", model.text, adapter.text[0] ? "+" : "", adapter.text,
            instance->self.text, epoch, expect, instance->room.count, st);
  if (st == 202)
    room_taken(&instance->room, up, model, adapter, now_of(gateway));
  if (st == -1)
    room_forget(&instance->room, now_of(gateway));
  if (st > 0 && st != 200 && st != 202)
    error_set(err, E_ORDER_FAILED, "%s answered %d to %s %s%s%s: %.80s", instance->self.text, st,
              up ? "load" : "unload", model.text, adapter.text[0] ? "+" : "", adapter.text,
              got->str);
  g_string_free(t, TRUE);
  g_string_free(got, TRUE);
  if (st > 0 && st != 421)
    instance->seen_at = now_of(gateway);
  if (st == 412) {
    error_set(err, E_EPOCH, "%s has seen a higher fence", instance->self.text);
    return -2;
  }
  return st;
}

static bool stop(instance *instance) {
  return instance->gone || instance->gateway->router->node.world->tasks.dead;
}

static int nap(instance *instance, double ms, error *err) {
  if (!world_sleep(instance->gateway->router->node.world,
                   (time_us){ (int64_t)(MAX(ms, 1) * 1000) }) ||
      stop(instance))
    return error_set(err, instance->gone ? E_ENGINE : E_STOPPING, "%s is gone",
                     instance->self.text);
  return OK;
}

/* the time in ms that a kind of step took, learnt under a name of the service's own */
static double step_of(instance *instance, const char *name, double fall) {
  return history_penalty(&instance->gateway->router->history, instance->service, name, fall);
}
static void step_took(instance *instance, const char *name, double ms) {
  history_timed(&instance->gateway->router->history, instance->service, name, ms);
}

/* tells all nodes that a thing is on its way out, so that they send no more work for it */
static void announce_unload(instance *instance, id model, id adapter) {
  instance_going(instance, model, adapter);
  instance_cast(instance);
}

static void retract_unload(instance *instance, id model, id adapter) {
  instance_loaded(instance, model, adapter);
  instance_cast(instance);
}

/* orders one thing unloaded and waits until the engine confirms it */
static int unload_until_gone(instance *instance, id model, id adapter, error *err) {
  gateway *gateway = instance->gateway;
  bool busy = false, took = false;
  int running = 0, probes = 0, r;
  time_us from = now_of(gateway), began = from, announced = from;
  for (;;) {
    if (since_ms(gateway, announced) > ANNOUNCE_AGAIN_MS) {
      announce_unload(instance, model, adapter);
      announced = now_of(gateway);
    }
    int st = order(instance, false, model, adapter, EXPECT_ANY, time_never(), err);
    if (st == -2)
      return err->code;
    if (st == 200 || st == 404 || st == 400 || st == 421) {
      if (st != 200 && !took) { /* it may not be there at all: its report says */
        if ((r = nap(instance, LAG_MS, err)))
          return r;
        if (!report(instance, &busy, &running, err))
          return error_set(err, E_ENGINE, "%s says nothing of itself", instance->self.text);
        if (busy || !instance->room.known || room_holds(&instance->room, model, adapter))
          return error_set(err, E_ORDER_FAILED, "%s does not unload %s", instance->self.text,
                           model.text);
      }
      break;
    }
    /* 202 again means that it is still under way: its runs have yet to end */
    if (st == 202) {
      if (took)
        from = now_of(gateway);
      else
        began = now_of(gateway);
      took = true;
    }
    double ms = since_ms(gateway, from);
    if (ms > UNLOAD_MS)
      return error_set(err, E_ORDER_FAILED, "%s still holds %s", instance->self.text, model.text);
    if (st != 202 && st != 409) {
      if ((r = nap(instance, 150, err)))
        return r;
      continue;
    }
    /* the first looks come when it should be done; a busy one is watched by its reports, which cost
     * less */
    double guess = step_of(instance, "@unload", 25);
    if (!probes++) {
      if ((r = nap(instance, CLAMP(guess, 5, 400), err)))
        return r;
      continue;
    }
    if (probes < 4) {
      if ((r = nap(instance, 30 * probes, err)))
        return r;
      continue;
    }
    if ((r = nap(instance, 200, err)))
      return r;
    while (report(instance, &busy, &running, err) && busy && since_ms(gateway, from) < UNLOAD_MS)
      if ((r = nap(instance, 150, err)))
        return r;
  }
  if (took && probes <= 3)
    step_took(instance, "@unload", since_ms(gateway, began));
  gateway->counts.unloads++;
  gateway->router->unloads++;
  history_add(&gateway->router->history,
              (entry){ EV_UNLOADED, { 0 }, instance->self, model, adapter, 0 });
  room_remove(&instance->room, model, adapter);
  instance_unloaded(instance, model, adapter);
  return OK;
}

/* Unloads one thing; where that can't be confirmed, the account of the room is read anew. Nodes
 * that run something of it answer the announcement. When it was thought idle, E_RUNS says that it
 * is not and stays. */
static int unload(instance *instance, id model, id adapter, bool thought_idle, error *err) {
  announce_unload(instance, model, adapter);
  bool waits = gateway_uses(instance->gateway, MECHANISM_ANNOUNCE);
  int r = waits ? nap(instance, ANNOUNCE_MS, err) : OK;
  if (r)
    return r;
  if (thought_idle && instance_runs(instance, model, adapter)) {
    retract_unload(instance, model, adapter);
    return error_set(err, E_RUNS, "%s%s%s runs on %s", model.text, adapter.text[0] ? "+" : "",
                     adapter.text, instance->self.text);
  }
  r = unload_until_gone(instance, model, adapter, err);
  if (r)
    room_forget(&instance->room, now_of(instance->gateway));
  return r;
}

/* what is used of an engine's room, by the greater of what is known here and of the account; gives
 * the number of things that might go */
static int room_taken_up(instance *instance, const service *service, id model, id adapter,
                         candidate *all, double *mb, unsigned *slots) {
  int n = residents_as(instance, service, model, adapter, all, mb, slots);
  double room_mb;
  unsigned room_slots;
  room_used(&instance->room, service, &room_mb, &room_slots);
  if (room_mb > *mb || room_slots > *slots)
    log_debug(&instance->gateway->router->node.log, "place",
              "%s holds %.0f MB and %u adapters; routing knows of %.0f MB and %u here.",
              instance->self.text, room_mb, room_slots, *mb, *slots);
  *mb = MAX(*mb, room_mb);
  *slots = MAX(*slots, room_slots);
  return n;
}

/* the rule: unloads before the load, greedily by least worth, the largest first, no more than are
 * needed */
static int make_room(instance *instance, const service *service, id model, id adapter, double mb,
                     unsigned slots, bool idle_only, error *err) {
  candidate all[CANDS];
  for (int turns = 0; turns < 24; turns++) {
    double held_mb;
    unsigned held_slots;
    /* the configuration may have changed while an unload was waited for */
    service = service_of(instance->gateway, instance->service);
    if (!service)
      return error_set(err, E_MODEL, "no such service");
    int n = room_taken_up(instance, service, model, adapter, all, &held_mb, &held_slots);
    lack l = lack_of(service, held_mb, held_slots, mb, slots);
    if (!l.megs && !l.slots)
      return OK;
    policy rule = policy_of(instance->gateway);
    int got = policy_fill(&rule, all, n, l, chance, instance->gateway->router->node.world);
    if (got <= 0)
      return error_set(err, E_NO_ROOM, "nothing on %s may be unloaded for %s now",
                       instance->self.text, model.text);
    bool thought_idle = true;
    for (int k = 0; k < got; k++)
      thought_idle &= !all[k].busy;
    /* a drain lasts as long as what runs, and holds up all other orders of the engine */
    if (idle_only && !thought_idle)
      return error_set(err, E_NO_ROOM, "all that could go from %s for %s runs", instance->self.text,
                       model.text);
    log_debug(&instance->gateway->router->node.log, "place",
              "%s goes from %s for %s+%s: rate %.2f a copy, worth %.0f, one of %d.",
              all[0].model.text, instance->self.text, model.text, adapter.text, all[0].rate,
              all[0].penalty * all[0].rate, got);
    /* a base takes its adapters with it */
    id adapter_goes = all[0].adapter;
    for (int k = 0; k < got; k++)
      if (id_equal(all[k].model, all[0].model) && id_is_empty(all[k].adapter))
        adapter_goes = none;
    int r = unload(instance, all[0].model, adapter_goes, thought_idle, err);
    if (r && r != E_RUNS)
      return r;
  }
  return error_set(err, E_NO_ROOM, "%s found no room in time", instance->self.text);
}

/* sends to those who would come next for a duty, who are all when nodes are few */
static void heirs_cast(gateway *gateway, const char *duty, Wire__Envelope *m) {
  enum { HEIRS = 3 };
  machine *heir[HEIRS] = { NULL };
  uint64_t top[HEIRS] = { 0 };
  list_for_each(x, &gateway->router->node.machines, machine, link) {
    if (x->role != ROLE_ROUTER || x->gone)
      continue;
    if (gateway->nodes <= FEW_NODES) {
      node_send(&gateway->router->node, x->addr, m);
      continue;
    }
    uint64_t h = hash_of_two(duty, x->self.text);
    int at = HEIRS;
    while (at > 0 && h > top[at - 1])
      at--;
    if (at == HEIRS)
      continue;
    for (int k = HEIRS - 1; k > at; k--) {
      top[k] = top[k - 1];
      heir[k] = heir[k - 1];
    }
    top[at] = h;
    heir[at] = x;
  }
  for (int k = 0; k < HEIRS; k++)
    if (heir[k])
      node_send(&gateway->router->node, heir[k]->addr, m);
}

static void timed_cast(gateway *gateway, id type, const char *key, double ms) {
  /* among many nodes each load is one of many: some of their times suffice */
  if (gateway->nodes <= FEW_NODES || !world_random(gateway->router->node.world, 8))
    router_timed(gateway->router, type, key, ms);
}

/* a young holder, and one that can't tell what became of an order, learns what the engine holds
 * from itself, once no order of a former holder can be on its way */
static int know(instance *instance, error *err) {
  gateway *gateway = instance->gateway;
  uint64_t epoch = epoch_of(instance);
  if (!epoch)
    return error_set(err, E_NO_HOLDER, "no contract for %s", instance->self.text);
  if (instance->known_epoch == epoch && instance->room.known)
    return OK;
  if (instance->known_epoch != epoch)
    room_forget(&instance->room, instance->room.changed);
  char d[64];
  duty_engine(d, sizeof d, instance->self);
  contract *contract = g_hash_table_lookup(gateway->router->contracts, d);
  int64_t lease = (gateway->settings.lease_ms > 0 ? gateway->settings.lease_ms : 3000) + 200;
  time_us from = epoch > 1 ? time_add(contract->since, time_from_ms(600)) : contract->since;
  if (instance->ordered_at.us)
    from.us = MAX(from.us, time_add(instance->ordered_at, time_from_ms(lease)).us);
  /* an order of its own of which nobody knows would not show yet */
  from.us = MAX(from.us, time_add(instance->room.changed, time_from_ms(LAG_MS)).us);
  int r;
  if (from.us > now_of(gateway).us &&
      (r = nap(instance, (double)time_sub(from, now_of(gateway)).us / 1000, err)))
    return r;
  bool busy = true;
  int running;
  for (int k = 0; k < 30 && busy; k++) {
    if (!report(instance, &busy, &running, err))
      return error_set(err, E_ENGINE, "%s says nothing of itself", instance->self.text);
    if (busy && (r = nap(instance, 150, err)))
      return r;
  }
  /* a load that is still under way is in no report, and would fill the room that looks free */
  if (busy)
    return error_set(err, E_ENGINE, "%s is busy with another's order", instance->self.text);
  if (!instance->room.known)
    return error_set(err, E_ENGINE, "%s has just taken another's order", instance->self.text);
  if (epoch_of(instance) != epoch)
    return error_set(err, E_NO_HOLDER, "no contract for %s", instance->self.text);
  instance->owed_mb = 0;
  instance->owed_slots = 0;
  instance->known_epoch = epoch;
  return OK;
}

/* one load order, and the wait until the thing is up */
static int load_one(instance *instance, place_job *job, const service *service, id model,
                    id adapter, int64_t *wait, error *err) {
  gateway *gateway = instance->gateway;
  id name = service->name;
  bool base = id_is_empty(adapter),
       warm = base && g_hash_table_contains(instance->held_before, model.text), busy = false;
  double mb = size_of(service, model, adapter),
         guess = time_of(gateway, service, model, adapter, warm);
  unsigned slots = !base;
  char key[140];
  int r = make_room(instance, service, model, adapter, mb, slots, job->idle_only, err), running = 0;
  if (r) {
    *wait = r == E_NO_ROOM ? 1000 : 500;
    if (r == E_ORDER_FAILED) {
      gateway->load_fails++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  history_key(key, sizeof key, model, adapter);
  if (warm)
    g_strlcat(key, "@disk", sizeof key);
  time_us last = time_never(), began = now_of(gateway);
  int st = 0, conflicts = 0;
  bool owed = false;
  for (int tries = 0;; tries++) {
    if (tries >= 40) {
      r = error_set(err, E_ORDER_FAILED, "%s does not take the load of %s", instance->self.text,
                    key);
      *wait = 1000;
      break;
    }
    if (!(service = service_of(gateway, name))) {
      r = error_set(err, E_MODEL, "no such service");
      break;
    }
    if (instance->leaving) {
      r = error_set(err, E_ENGINE, "%s is leaving", instance->self.text);
      break;
    }
    if (base && !warm && (tries == 0 || time_reached(now_of(gateway), last))) {
      r = ticket(instance, service, key, &last, wait, err);
      if (r == E_LOAD_PACE && *wait < 1500 && !stop(instance) && tries < 6) {
        job->due = ms_from(gateway, (double)*wait + guess);
        if ((r = nap(instance, (double)CLAMP(*wait, 20, 600), err)))
          break;
        last = (time_us){ 0 };
        continue;
      }
      if (r)
        break;
      if (!(service = service_of(gateway, name))) {
        r = error_set(err, E_MODEL, "no such service");
        break;
      }
    }
    /* an engine that is filled past its room falls: before a model goes there, it is asked once
     * more what it holds */
    if (base && (!instance->reported_at.us || since_ms(gateway, instance->reported_at) > SURE_MS) &&
        !report(instance, &busy, &running, err)) {
      r = error_set(err, E_ENGINE, "%s says nothing of itself", instance->self.text);
      *wait = 300;
      break;
    }
    if (!(service = service_of(gateway, name))) {
      r = error_set(err, E_MODEL, "no such service");
      break;
    }
    if (base && instance_resident(instance, model))
      return OK;
    if ((r = know(instance, err))) {
      *wait = 400;
      break;
    }
    if (!(service = service_of(gateway, name))) {
      r = error_set(err, E_MODEL, "no such service");
      break;
    }
    /* nothing else may have come in while the pace was waited for */
    candidate all[CANDS];
    double held_mb;
    unsigned held_slots;
    room_taken_up(instance, service, model, adapter, all, &held_mb, &held_slots);
    lack l = lack_of(service, held_mb, held_slots, mb, slots);
    if (l.megs || l.slots) {
      r = error_set(err, E_NO_ROOM, "the room on %s went", instance->self.text);
      *wait = 300;
      break;
    }
    began = now_of(gateway);
    job->due = ms_from(gateway, guess + 20);
    instance->owed_mb += mb;
    instance->owed_slots += slots;
    owed = true;
    st = order(instance, true, model, adapter, (int64_t)instance->room.count, last, err);
    if (st == 200 || st == 202 || st == -1)
      break;
    instance->owed_mb = MAX(0, instance->owed_mb - mb);
    instance->owed_slots -= MIN(instance->owed_slots, slots);
    owed = false;
    if (st == -2) {
      r = err->code;
      break;
    }
    if (st == 421) {
      r = error_set(err, E_ENGINE, "%s is another engine now", instance->self.text);
      break;
    }
    if (st == 400 || st == 404) {
      r = E_ORDER_FAILED;
      *wait = 5000;
      break;
    }
    /* another order is under way, or it could not be reached */
    if (st == 0 && tries >= 3) {
      r = error_set(err, E_ENGINE, "%s can't be reached", instance->self.text);
      *wait = 500;
      break;
    }
    if ((r = nap(instance, st == 409 ? 60 : 100, err)))
      break;
    /* an order that is not this one's is under way, or has been taken: what it brings shows only in
     * a report after it */
    busy = st == 409;
    if (busy && ++conflicts > 1)
      room_forget(&instance->room, now_of(gateway));
    for (int k = 0; busy && !r && k < 60; k++) {
      if (!report(instance, &busy, &running, err))
        r = error_set(err, E_ENGINE, "%s says nothing of itself", instance->self.text);
      else if (busy)
        r = nap(instance, 150, err);
    }
    if (!r && busy)
      r = error_set(err, E_ENGINE, "%s is busy with another's order", instance->self.text);
    if (r) {
      *wait = 500;
      break;
    }
  }
  if (r) {
    if (owed) {
      instance->owed_mb = MAX(0, instance->owed_mb - mb);
      instance->owed_slots -= MIN(instance->owed_slots, slots);
    }
    if (r == E_ORDER_FAILED) {
      gateway->load_fails++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  if (base && st != 200) {
    gateway->counts.loads++;
    gateway->router->loads++;
    Wire__Ticket t = WIRE__TICKET__INIT;
    t.engine = instance->self.text;
    t.key = "";
    Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_TICKET, &t);
    char duty[64];
    duty_engine(duty, sizeof duty, instance->self);
    heirs_cast(gateway, duty, &m);
  }
  /* taken, or nobody knows: the same order again says 200 once it is up, and never starts another
   * load while it is not */
  bool sure = st == 202, up = st == 200, slow = false;
  double most = guess * 6 + 8000, step = base ? CLAMP(guess * 0.06, 40, 150) : 15;
  int looks = 0;
  /* an adapter comes in some ms that are known by now: one in some is looked at, to learn */
  bool known = !base && sure &&
               history_penalty(&gateway->router->history, name, "@adapter", -1) > 0 &&
               world_random(gateway->router->node.world, 6);
  if (!up && (r = nap(instance, !sure ? LAG_MS : base ? guess + 2 : guess * 1.4 + 6, err)))
    goto out;
  if (known)
    up = true;
  while (!up) {
    if (!sure) {
      /* only a report that is younger than the order tells whether it was taken */
      if (!report(instance, &busy, &running, err)) {
        if (since_ms(gateway, began) > 12000) {
          r = E_ORDER_FAILED;
          break;
        }
        if ((r = nap(instance, 250, err)))
          break;
        continue;
      }
      if (instance_holds(instance, model, adapter)) {
        up = true;
        break;
      }
      if (!busy) {
        r = error_set(err, E_ORDER_FAILED, "%s did not take the load of %s", instance->self.text,
                      key);
        instance->owed_mb = MAX(0, instance->owed_mb - mb);
        instance->owed_slots -= MIN(instance->owed_slots, slots);
        owed = false;
        *wait = 200;
        break;
      }
      sure = true;
    }
    /* the same order again loads nothing else, as long as the account has this load */
    if (looks < (base ? 3 : ADAPTER_LOOKS) && instance->room.known &&
        room_holds(&instance->room, model, adapter)) {
      st = order(instance, true, model, adapter, (int64_t)instance->room.count, time_never(), err);
      if (st == 200) {
        up = true;
        break;
      }
      if (st == -2 || st == 421) {
        r = st == 421 ? error_set(err, E_ENGINE, "%s is another engine now", instance->self.text)
                      : err->code;
        break;
      }
    } else {
      slow = true;
      if (report(instance, &busy, &running, err)) {
        if (instance_holds(instance, model, adapter)) {
          up = true;
          break;
        }
        if (!busy && instance->room.known && !room_holds(&instance->room, model, adapter)) {
          r = error_set(err, E_ORDER_FAILED, "%s gave the load of %s up", instance->self.text, key);
          *wait = 200;
          break;
        }
        if (!busy && looks > 6)
          looks = 0;
      }
    }
    looks++;
    if (since_ms(gateway, began) > most) {
      r = error_set(err, E_ORDER_FAILED, "%s loads %s for too long", instance->self.text, key);
      *wait = 1000;
      break;
    }
    job->due = ms_from(gateway, step * 2);
    if ((r = nap(instance, step * (looks < 4 ? 1 : 1.5), err)))
      break;
  }
out:
  if (r) {
    history_add(&gateway->router->history,
                (entry){ EV_FAILED, { 0 }, instance->self, model, adapter, 0 });
    /* what it may still hold of this keeps its room until its own report was read again */
    if (owed)
      instance->known_epoch = 0;
    if (r == E_ORDER_FAILED) {
      gateway->load_fails++;
      gateway->counts.failed_loads++;
    }
    return r;
  }
  gateway->load_fails = 0;
  if (owed) {
    instance->owed_mb = MAX(0, instance->owed_mb - mb);
    instance->owed_slots -= MIN(instance->owed_slots, slots);
  }
  double ms = since_ms(gateway, began);
  if (sure && !known && !instance->gone) {
    /* an answer at the first look may have been ready for a while */
    if (!looks)
      ms *= base ? 0.97 : 0.6;
    else if (slow)
      ms = MAX(ms - 200, guess);
    /* an engine's disk may hold it from a life before: that says nothing of the store */
    if (!base || warm || ms > 0.6 * guess) {
      const char *as = base ? key : "@adapter";
      history_timed(&gateway->router->history, name, as, ms);
      timed_cast(gateway, name, as, ms);
    }
    history_add(&gateway->router->history,
                (entry){ EV_LOADED, { 0 }, instance->self, model, adapter, (int64_t)ms });
    log_debug(&gateway->router->node.log, "place", "%s has %s after %.0f ms.", instance->self.text,
              key, ms);
  }
  instance_loaded(instance, model, adapter);
  instance_cast(instance);
  log_debug(&gateway->router->node.log, "place", "%s%s is on %s after %.0f ms, guessed %.0f, %s.",
            key, warm ? " (disk)" : "", instance->self.text, since_ms(gateway, began), guess,
            job->copy ? "a copy" : "missed");
  return OK;
}

static int place(instance *instance, place_job *job, int64_t *wait, error *err) {
  gateway *gateway = instance->gateway;
  int r = know(instance, err);
  if (r) {
    *wait = 400;
    return r;
  }
  const service *service = service_of(gateway, instance->service);
  if (!service || !service_model(service, job->model.text))
    return error_set(err, E_MODEL, "no %s is known", job->model.text);
  if (instance_holds(instance, job->model, job->adapter))
    return OK;
  if (instance->leaving)
    return error_set(err, E_ENGINE, "%s is leaving", instance->self.text);
  if (!job->copy && instance_copies(gateway, instance->service, job->model, job->adapter))
    return OK;
  /* what was cheap when this engine was chosen may have gone meanwhile: the coordinator then
   * chooses anew */
  double mb, drain;
  unsigned slots;
  if (job->cost_most > 0 && place_cost(instance, service, job->model, job->adapter, &mb, &slots,
                                       &drain) > job->cost_most) {
    *wait = 20;
    return error_set(err, E_NO_ROOM, "room on %s has become dear", instance->self.text);
  }
  if (!instance_resident(instance, job->model)) {
    r = load_one(instance, job, service, job->model, none, wait, err);
    if (r || id_is_empty(job->adapter))
      return r;
    if (!(service = service_of(gateway, instance->service)))
      return error_set(err, E_MODEL, "no such service");
  }
  return load_one(instance, job, service, job->model, job->adapter, wait, err);
}

static void job_done(place_job *job, int code, int64_t wait) {
  job->code = code;
  job->wait = wait;
  job->done = true;
  condition_broadcast(&job->changed);
}

static void job_drop(place_job *job) {
  if (--job->held > 0 || !job->done)
    return;
  list_remove(&job->link);
  g_free(job);
}

/* what is gained by a load: those who wait, and those who will come until the next load could be
 * done, by urgency */
static double load_worth(gateway *gateway, unsigned priority, id model, id adapter) {
  return (priority == 0   ? 1.5
          : priority == 1 ? 1
                          : 0.5) *
         (1 + 3 * rate_of(gateway, model, adapter));
}

static double job_worth(gateway *gateway, const place_job *job) {
  return load_worth(gateway, job->priority, job->model, job->adapter) +
         since_ms(gateway, job->since) / 1500;
}

/* one task for each engine that has jobs; the more useful and older come first */
static void work_run(void *p) {
  instance *instance = p;
  gateway *gateway = instance->gateway;
  time_us idle = now_of(gateway);
  while (!stop(instance)) {
    place_job *best = NULL;
    double top = 0;
    time_us now = now_of(gateway);
    list_for_each(job, &instance->orders, place_job, link) {
      if (job->done)
        continue;
      if (time_reached(now, time_add(job->asked, time_from_ms(LAPSE_MS)))) {
        job->held++;
        job_done(job, E_IN_PROGRESS, 0);
        job_drop(job);
        continue;
      }
      double worth = job_worth(gateway, job);
      if (!best || worth > top) {
        best = job;
        top = worth;
      }
    }
    if (!best) {
      if (time_reached(now, time_add(idle, time_from_ms(20000))))
        break;
      if (condition_wait(&gateway->router->node.world->tasks, &instance->work,
                         time_add(now, time_from_ms(2500))) == WAKE_STOPPED)
        break;
      continue;
    }
    best->held++;
    best->begun = true;
    error err = { 0 };
    int64_t wait = 0;
    int r = place(instance, best, &wait, &err);
    if (r == E_NO_ROOM)
      log_debug(&gateway->router->node.log, "place", "No room for %s%s%s on %s: %s (code %d).",
                best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
                instance->self.text, err.text, r);
    else if (r && r != E_STOPPING && r != E_NO_HOLDER && r != E_LOAD_PACE)
      log_info(&gateway->router->node.log, "place", "No load of %s%s%s on %s: %s (code %d).",
               best->model.text, best->adapter.text[0] ? "+" : "", best->adapter.text,
               instance->self.text, err.text, r);
    job_done(best, r, wait);
    job_drop(best);
    idle = now_of(gateway);
  }
  list_for_each(job, &instance->orders, place_job, link) if (!job->done) {
    job->held++;
    job_done(job, E_ENGINE, 200);
    job_drop(job);
  }
  instance->worker = false;
  instance_unref(instance);
}

static int on_place(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__Place *q = in->place;
  instance *instance = instance_find(gateway, q->engine);
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))))
    return error_set(err, E_WIRE, "no such name");
  if (!instance || instance->gone)
    return error_set(err, E_ENGINE, "%.40s is not known here", q->engine);
  if (!epoch_of(instance))
    return error_set(err, E_NO_HOLDER, "%s is not held here", instance->self.text);
  id m = id_of_text(q->model), a = id_of_text(q->adapter);
  place_job *job = NULL;
  int ahead = 0;
  list_for_each(k, &instance->orders, place_job, link) {
    if (k->done)
      continue;
    ahead++;
    if (id_equal(k->model, m) && id_equal(k->adapter, a))
      job = k;
  }
  if (!job) {
    const service *s = service_of(gateway, instance->service);
    job = g_new0(place_job, 1);
    job->model = m;
    job->adapter = a;
    job->priority = q->priority;
    job->copy = q->copy;
    job->cost_most = (double)q->costmost;
    job->idle_only = q->idleonly;
    job->since = now_of(gateway);
    double each = s ? time_of(gateway, s, m, a,
                              instance_resident(instance, m) ||
                                  g_hash_table_contains(instance->held_before, m.text))
                    : 1000;
    if (s && !id_is_empty(a) && !instance_resident(instance, m))
      each += time_of(gateway, s, m, none, g_hash_table_contains(instance->held_before, m.text));
    job->due = ms_from(gateway, each * (ahead + 1) + 30);
    condition_init(&job->changed);
    list_append(&instance->orders, &job->link);
  }
  job->asked = now_of(gateway);
  job->priority = MIN(job->priority, q->priority);
  job->copy &= q->copy;
  job->cost_most = (double)q->costmost;
  job->idle_only &= q->idleonly;
  job->held++;
  instance_ref(instance);
  if (!instance->worker) {
    instance->worker = true;
    instance_ref(instance);
    task_start(&gateway->router->node.world->tasks, "place", work_run, instance);
  }
  condition_broadcast(&instance->work);
  time_us till = ms_from(gateway, (double)MIN(q->wait, REQUEST_MS));
  while (!job->done)
    if (condition_wait(&gateway->router->node.world->tasks, &job->changed, till) != WAKE_SIGNALLED)
      break;
  Wire__PlaceBack *b =
      reply_new(reply, WIRE__ENVELOPE__BODY_PLACEBACK, &wire__place_back__descriptor);
  b->up = job->done && !job->code;
  b->code = (uint32_t)(job->done ? job->code : E_IN_PROGRESS);
  time_us due = job->due;
  if (!job->done && !job->begun) {
    /* behind the one in hand, and those that come first */
    double ms = 30;
    list_for_each(k, &instance->orders, place_job, link) {
      const service *s = service_of(gateway, instance->service);
      if (k->done || !s)
        continue;
      if (k->begun)
        ms += (double)ms_till(gateway, k->due);
      else if (k == job || job_worth(gateway, k) > job_worth(gateway, job))
        ms += (instance_resident(instance, k->model)
                   ? 0
                   : time_of(gateway, s, k->model, none,
                             g_hash_table_contains(instance->held_before, k->model.text))) +
              (id_is_empty(k->adapter) ? 0 : time_of(gateway, s, k->model, k->adapter, false));
    }
    due = ms_from(gateway, ms);
  }
  b->wait = (uint64_t)(job->done ? job->wait : ms_till(gateway, due));
  b->begun = job->begun;
  job_drop(job);
  instance_unref(instance);
  return OK;
}

/* where a duty's holder is; false when nobody lives */
static bool holder_addr(gateway *gateway, id engine, char addr[48]) {
  char d[64];
  id holder;
  uint64_t epoch;
  duty_engine(d, sizeof d, engine);
  if (duty_epoch(gateway->router, d)) {
    g_strlcpy(addr, gateway->router->node.settings.addr, 48);
    return true;
  }
  if (!router_grant(gateway->router, d, &holder, &epoch) ||
      id_equal(holder, gateway->router->node.settings.self))
    return false;
  machine *machine = node_find_machine(&gateway->router->node, holder);
  if (!machine || machine->gone || machine->role != ROLE_ROUTER)
    return false;
  g_strlcpy(addr, machine->addr, 48);
  return true;
}

/* how long the placements of this coordinator keep an engine busy before one may begin, in ms */
static double queued_on(gateway *gateway, id engine, const placing *by) {
  double ms = 0, worth = load_worth(gateway, by->priority, by->model, by->adapter);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, gateway->placings);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    placing *k = p;
    if (k == by || k->done || !id_equal(k->engine, engine) ||
        (!k->begun && load_worth(gateway, k->priority, k->model, k->adapter) < worth))
      continue;
    const service *service = service_of(gateway, k->service);
    instance *instance = instance_find(gateway, engine.text);
    if (!service || !instance)
      continue;
    ms += 40 + (instance_resident(instance, k->model)
                    ? 0
                    : time_of(gateway, service, k->model, none,
                              g_hash_table_contains(instance->held_before, k->model.text)));
  }
  return ms;
}

/* an engine that is about to get the same model for another want of it; NULL when there is none */
static instance *base_on_its_way(gateway *gateway, const placing *p) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, gateway->placings);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    placing *o = v;
    if (o == p || o->done || id_is_empty(o->engine) || !id_equal(o->model, p->model) ||
        !id_equal(o->service, p->service))
      continue;
    instance *instance = instance_find(gateway, o->engine.text);
    if (instance && !instance->gone && !instance->leaving && !instance_resident(instance, p->model))
      return instance;
  }
  return NULL;
}

/* how many more copies of a thing would clear what waits for their first event at those that hold
 * it, within AHEAD_MS each */
int copies_short(gateway *gateway, id service, id model, id adapter) {
  double ms = 0;
  int have = 0;
  list_for_each(i, &gateway->instances, instance, link) {
    if (i->gone || i->leaving || !id_equal(i->service, service) ||
        !instance_holds(i, model, adapter))
      continue;
    have++;
    ms += i->ms_per_token * instance_waiting(i);
  }
  return have ? CLAMP((int)(ms / AHEAD_MS) - have, 0, COPIES_AT_ONCE) : 0;
}

/* copies of a thing that are being placed */
static int copies_coming(gateway *gateway, const placing *p, const instance *at) {
  int n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, gateway->placings);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    placing *o = v;
    if (o == p || o->done || !id_equal(o->model, p->model) || !id_equal(o->adapter, p->adapter) ||
        !id_equal(o->service, p->service))
      continue;
    n += !at || id_equal(o->engine, at->self);
  }
  return n;
}

/* large fleets place by parts: each has its coordinator, a share of the models, and a share of the
   engines for them, so that coordinators who do not know each other's lines keep out of each
   other's way */
static int parts_of(gateway *gateway) {
  return gateway->nodes <= ONE_COORDINATOR ? 1 : CLAMP(gateway->nodes / PART_NODES, 2, 64);
}
static int part_of(const char *name, int parts) {
  return (int)(hash_of(name, strlen(name), 11) % (uint64_t)parts);
}

/* the engine where a thing costs least: what had to go, how long it waits and loads, how busy the
 * engine is */
static instance *choose(gateway *gateway, placing *placing, const service *service,
                        const GPtrArray *not_these, int *code) {
  instance *best = NULL;
  double least = 0, lambda = rate_of(gateway, placing->model, placing->adapter);
  int copies = instance_copies(gateway, service->name, placing->model, placing->adapter);
  double worth =
      time_of(gateway, service, placing->model, placing->adapter, false) * lambda / (copies + 1);
  *code = E_ENGINE;
  int parts = parts_of(gateway);
  instance *soon = placing->copy ? NULL : base_on_its_way(gateway, placing);
  bool tried = false;
  for (guint k = 0; soon && k < not_these->len; k++)
    tried |= !strcmp(not_these->pdata[k], soon->self.text);
  if (soon && !tried)
    return soon;
  copies_count(gateway, service->name);
  for (int round = 0; round < 2 && !best; round++)
    list_for_each(i, &gateway->instances, instance, link) {
      char addr[48];
      if (!id_equal(i->service, service->name) || i->gone || i->leaving || !i->models_known ||
          (!round && (i->no_answer_till.us > now_of(gateway).us || i->suspect || instance_ill(i) ||
                      !instance_usable(i))))
        continue;
      if (i->ends_at.us && !time_reached(i->ends_at, ms_from(gateway, 30000)))
        continue;
      if (parts > 1 && !round && !placing->copy &&
          part_of(i->self.text, parts) != part_of(placing->model.text, parts))
        continue;
      if (placing->copy && (instance_holds(i, placing->model, placing->adapter) ||
                            copies_coming(gateway, placing, i)))
        continue;
      bool barred = false;
      for (guint k = 0; k < not_these->len; k++)
        barred |= !strcmp(not_these->pdata[k], i->self.text);
      if (barred || !holder_addr(gateway, i->self, addr))
        continue;
      double mb, drain;
      unsigned slots;
      double cost = place_cost(i, service, placing->model, placing->adapter, &mb, &slots, &drain);
      if (cost < 0) {
        *code = E_NO_ROOM;
        continue;
      }
      double evict = cost;
      bool there = instance_resident(i, placing->model) != NULL,
           warm = g_hash_table_contains(i->held_before, placing->model.text);
      if (placing->copy && cost > (placing->extra ? EXTRA_SHARE : 1) * worth) {
        *code = E_NO_ROOM;
        continue;
      }
      double load_ms = (there ? 0 : time_of(gateway, service, placing->model, none, warm)) +
                       (id_is_empty(placing->adapter)
                            ? 0
                            : time_of(gateway, service, placing->model, placing->adapter, warm));
      unsigned all = i->slots ? i->slots : service->engine_slots;
      double delay = load_ms + drain + queued_on(gateway, i->self, placing) +
                     (all ? 300.0 * instance_running(i) / all : 0) + (there || warm ? 0 : 300) +
                     (cost > 0 ? 60 : 0);
      cost += delay * MAX(lambda, 0.6) + (double)world_random(gateway->router->node.world, 10);
      if (!best || cost < least) {
        best = i;
        least = cost;
        placing->cost = evict;
      }
    }
  copies_forget(gateway);
  return best;
}

static void placing_free(void *p) {
  placing *k = p;
  g_free(k->key);
  g_free(k);
}

static void placing_drop(gateway *gateway, placing *placing) {
  if (--placing->held > 0)
    return;
  if (g_hash_table_lookup(gateway->placings, placing->key) == placing)
    g_hash_table_remove(gateway->placings, placing->key);
  else
    placing_free(placing);
}

/* carries one placement out: chooses an engine, and asks its holder until it is done or nobody
 * wants it */
static void placing_run(void *ctx) {
  struct {
    gateway *gateway;
    placing *placing;
  } *a = ctx;
  gateway *gateway = a->gateway;
  placing *placing = a->placing;
  g_free(a);
  GPtrArray *not_these = g_ptr_array_new_with_free_func(g_free);
  int code = E_ENGINE, blanks = 0, busy_engines = 0;
  int64_t wait = 400;
  while (!time_reached(now_of(gateway), time_add(placing->asked, time_from_ms(ALIVE_MS)))) {
    const service *service = service_of(gateway, placing->service);
    if (!service || !service_model(service, placing->model.text)) {
      code = E_MODEL;
      wait = 2000;
      break;
    }
    if (!placing->copy &&
        instance_copies(gateway, service->name, placing->model, placing->adapter)) {
      code = OK;
      break;
    }
    instance *instance =
        id_is_empty(placing->engine) ? NULL : instance_find(gateway, placing->engine.text);
    char addr[48];
    if (!instance || instance->gone || !holder_addr(gateway, instance->self, addr))
      instance = choose(gateway, placing, service, not_these, &code);
    if (!instance || !holder_addr(gateway, instance->self, addr)) {
      log_debug(&gateway->router->node.log, "placing",
                "%s+%s has no engine: code %d, %u passed over.", placing->model.text,
                placing->adapter.text, code, not_these->len);
      placing->engine = none;
      /* contracts change hands within some seconds; a fleet without room says so soon */
      if (placing->copy || ++blanks > (code == E_NO_ROOM ? 4 : 12)) {
        wait = placing->copy ? 3000 : 500;
        break;
      }
      if (not_these->len)
        g_ptr_array_set_size(not_these, 0);
      placing->may_drain = !placing->copy;
      if (!world_sleep_about(gateway->router->node.world, time_from_ms(150))) {
        code = E_STOPPING;
        break;
      }
      continue;
    }
    if (!id_equal(placing->engine, instance->self)) {
      placing->engine = instance->self;
      bool warm = g_hash_table_contains(instance->held_before, placing->model.text);
      placing->due = ms_from(
          gateway, 30 + queued_on(gateway, instance->self, placing) +
                       (instance_resident(instance, placing->model)
                            ? 0
                            : time_of(gateway, service, placing->model, none, warm)) +
                       (id_is_empty(placing->adapter)
                            ? 0
                            : time_of(gateway, service, placing->model, placing->adapter, warm)));
    }
    id engine = instance->self;
    Wire__Place q = WIRE__PLACE__INIT;
    q.engine = engine.text;
    q.service = placing->service.text;
    q.model = placing->model.text;
    q.adapter = placing->adapter.text;
    q.priority = placing->priority;
    q.wait = REQUEST_MS;
    q.copy = placing->copy;
    q.idleonly = !placing->may_drain && gateway_uses(gateway, MECHANISM_IDLE_FIRST);
    /* what is asked for much may push out what is asked for less, however dear the room has become
     * meanwhile */
    int shares = placing->copy
                     ? instance_copies(gateway, service->name, placing->model, placing->adapter) + 1
                     : 1;
    q.costmost = (uint64_t)MAX(2 * placing->cost + 3000,
                               time_of(gateway, service, placing->model, placing->adapter, false) *
                                   rate_of(gateway, placing->model, placing->adapter) / shares);
    Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_PLACE, &q), *b;
    error err = { 0 };
    int r = node_call(&gateway->router->node, addr, &m, time_from_ms(CALL_MS), &b, &err);
    if (r == E_STOPPING) {
      code = r;
      break;
    }
    bool begun = !r && b->body_case == WIRE__ENVELOPE__BODY_PLACEBACK && b->placeback->begun;
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_PLACEBACK) {
      r = (int)b->placeback->code;
      wait = (int64_t)b->placeback->wait;
    } else if (!r)
      r = E_WIRE;
    node_reply_free(b);
    if (!r) {
      code = OK;
      instance = instance_find(gateway, engine.text);
      /* the holder found it elsewhere: its word comes by cast or beat */
      if (instance && !placing->copy &&
          !instance_copies(gateway, placing->service, placing->model, placing->adapter) &&
          !world_sleep(gateway->router->node.world, time_from_ms(RECENT_MS)))
        code = E_STOPPING;
      break;
    }
    log_debug(&gateway->router->node.log, "placing",
              "%s+%s at %s: code %d, begun %d, wait %" PRId64 ", cost %.0f.", placing->model.text,
              placing->adapter.text, engine.text, r, begun, wait, placing->cost);
    if (r == E_IN_PROGRESS) {
      placing->due = ms_from(gateway, (double)wait);
      /* one that still stands in line may be better off elsewhere by now; the old place lapses
       * unasked */
      placing->begun = begun;
      if (!begun)
        placing->engine = none;
      continue;
    }
    code = r;
    placing->engine = none;
    if (r == E_LOAD_PACE) {
      placing->due = ms_from(gateway, (double)wait + 1000);
      if (!world_sleep(gateway->router->node.world, time_from_ms(CLAMP(wait, 50, 500))))
        break;
      continue;
    }
    g_ptr_array_add(not_these, g_strdup(engine.text));
    if (r == E_NO_ROOM && !placing->copy && !placing->may_drain) {
      placing->may_drain = ++busy_engines >= BUSY_ENGINES_MOST;
      if (placing->may_drain)
        g_ptr_array_set_size(not_these, 0);
      continue;
    }
    /* an engine that does not answer its holder is passed over by the other placements too */
    if (r == E_ENGINE && (instance = instance_find(gateway, engine.text)))
      instance->no_answer_till = ms_from(gateway, 2000);
    if (r == E_MODEL || ++blanks > 6)
      break;
    if (!world_sleep_about(gateway->router->node.world, time_from_ms(r == E_NO_ANSWER ? 20 : 60)))
      break;
  }
  placing->done = true;
  placing->code = code;
  placing->wait = wait;
  condition_broadcast(&placing->changed);
  g_ptr_array_free(not_these, TRUE);
  placing_drop(gateway, placing);
}

static placing *placing_start(gateway *g, char *key, id service, id model, id adapter,
                              unsigned priority, bool copy) {
  placing *p = g_new0(placing, 1);
  p->key = g_strdup(key);
  p->service = service;
  p->model = model;
  p->adapter = adapter;
  p->priority = priority;
  p->copy = copy;
  p->asked = now_of(g);
  condition_init(&p->changed);
  p->held = 1;
  /* one that is done and still read by somebody leaves the table and is freed by the last reader */
  if (g_hash_table_lookup(g->placings, key))
    g_hash_table_steal(g->placings, key);
  g_hash_table_insert(g->placings, p->key, p);
  struct {
    gateway *gateway;
    placing *placing;
  } *t = g_malloc(sizeof *t);
  t->gateway = g;
  t->placing = p;
  task_start(&g->router->node.world->tasks, "placing", placing_run, t);
  return p;
}

/* a thing that became wanted of a sudden needs several copies, and one after the other would come
 * too late */
static void copies_more(gateway *gateway, const placing *p) {
  int more =
      copies_short(gateway, p->service, p->model, p->adapter) - 1 - copies_coming(gateway, p, NULL);
  for (int k = 2; k <= COPIES_AT_ONCE && more > 0; k++) {
    char *key = g_strdup_printf("%s#%d", p->key, k);
    placing *o = g_hash_table_lookup(gateway->placings, key);
    if (o && !o->done) {
      o->asked = now_of(gateway);
      g_free(key);
      continue;
    }
    placing_start(gateway, key, p->service, p->model, p->adapter, p->priority, true)->extra = true;
    g_free(key);
    more--;
  }
}

static int on_want(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__Want *q = in->want;
  if (!id_is_valid(string_view_of(q->model)) ||
      (q->adapter[0] && !id_is_valid(string_view_of(q->adapter))) ||
      !id_is_valid(string_view_of(q->service)))
    return error_set(err, E_WIRE, "no such name");
  id s = id_of_text(q->service), m = id_of_text(q->model), a = id_of_text(q->adapter);
  char *key = key_of(s, m, a);
  placing *placing = g_hash_table_lookup(gateway->placings, key);
  if (placing && placing->done) {
    placing = NULL;
  }
  if (!placing)
    placing = placing_start(gateway, key, s, m, a, q->priority, q->copy);
  if (q->copy && gateway->nodes > FEW_NODES)
    copies_more(gateway, placing);
  g_free(key);
  placing->asked = now_of(gateway);
  placing->priority = MIN(placing->priority, q->priority);
  placing->held++;
  time_us till = ms_from(gateway, (double)MIN(q->wait, REQUEST_MS));
  while (!placing->done)
    if (condition_wait(&gateway->router->node.world->tasks, &placing->changed, till) !=
        WAKE_SIGNALLED)
      break;
  Wire__WantBack *b = reply_new(reply, WIRE__ENVELOPE__BODY_WANTBACK, &wire__want_back__descriptor);
  b->up = placing->done && !placing->code;
  b->code = (uint32_t)(placing->done ? placing->code : E_IN_PROGRESS);
  b->wait = (uint64_t)(placing->done ? placing->wait : ms_till(gateway, placing->due));
  b->engine = reply_hold(reply, sizeof placing->engine.text);
  memcpy(b->engine, placing->engine.text, sizeof placing->engine.text);
  placing_drop(gateway, placing);
  return OK;
}

/* the router that places a service's models, by an order that all agree on; one whose call failed
 * is passed over for a while */
static void coordinator(gateway *gateway, want_job *j, id *who, char addr[48]) {
  char by[128];
  bool skip = !id_is_empty(j->tried) && !time_reached(now_of(gateway), j->tried_till);
  int parts = parts_of(gateway);
  if (parts == 1)
    snprintf(by, sizeof by, "place:%s", j->service.text);
  else
    snprintf(by, sizeof by, "place:%s/%d", j->service.text, part_of(j->model.text, parts));
  if (node_first_machine(&gateway->router->node, ROLE_ROUTER, by, skip ? j->tried : none, who,
                         addr))
    return;
  *who = gateway->router->node.settings.self;
  g_strlcpy(addr, gateway->router->node.settings.addr, 48);
}

static bool want_alive(gateway *gateway, want_job *j) {
  return !time_reached(now_of(gateway),
                       time_add(j->asked, time_from_ms(j->copy ? 4 * ALIVE_MS : ALIVE_MS)));
}

static void want_run(void *ctx) {
  struct {
    gateway *gateway;
    want_job *job;
  } *a = ctx;
  gateway *gateway = a->gateway;
  want_job *j = a->job;
  g_free(a);
  while (want_alive(gateway, j)) {
    id who;
    char addr[48];
    coordinator(gateway, j, &who, addr);
    Wire__Want q = WIRE__WANT__INIT;
    q.service = j->service.text;
    q.model = j->model.text;
    q.adapter = j->adapter.text;
    q.priority = j->priority;
    q.wait = REQUEST_MS;
    q.copy = j->copy;
    Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_WANT, &q), *b;
    error err = { 0 };
    int r = node_call(&gateway->router->node, addr, &m, time_from_ms(CALL_MS), &b, &err);
    if (r == E_STOPPING)
      break;
    int64_t wait = 300;
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_WANTBACK) {
      r = (int)b->wantback->code;
      wait = (int64_t)b->wantback->wait;
      if (!r && b->wantback->engine && b->wantback->engine[0]) {
        instance *instance = instance_find(gateway, b->wantback->engine);
        if (instance && !j->copy && !instance_copies(gateway, j->service, j->model, j->adapter))
          instance_loaded(instance, j->model, j->adapter);
      }
    } else {
      if (!r)
        r = E_WIRE;
      else {
        j->tried = who;
        j->tried_till = ms_from(gateway, 1500);
      }
    }
    node_reply_free(b);
    j->code = r;
    if (r == E_IN_PROGRESS) {
      j->due = ms_from(gateway, (double)wait);
      continue;
    }
    if (!r || (j->copy && r))
      break;
    if (r == E_NO_ROOM || r == E_MODEL || r == E_FITS_NO_ENGINE || r == E_ENGINE ||
        r == E_ORDER_FAILED) {
      j->failed_till = ms_from(gateway, (double)MAX(wait, 200));
      condition_broadcast(&gateway->moved);
      if (!world_sleep_about(gateway->router->node.world, time_from_ms(CLAMP(wait, 100, 800))))
        break;
      continue;
    }
    if (!world_sleep_about(gateway->router->node.world, time_from_ms(50)))
      break;
  }
  /* what a coordinator thinks is there and this node does not see must not be asked for again and
   * again */
  if (!j->copy && !instance_copies(gateway, j->service, j->model, j->adapter))
    world_sleep(gateway->router->node.world, time_from_ms(100));
  g_hash_table_remove(gateway->wants, j->key);
  g_free(j);
  condition_broadcast(&gateway->moved);
}

int want_model(gateway *g, const service *service, id model, id adapter, unsigned priority,
               bool copy, double *est_ms, int64_t *wait) {
  const svc_model *m = service_model(service, model.text);
  *est_ms = 0;
  *wait = 0;
  if (!m) {
    *wait = 2000;
    return E_MODEL;
  }
  char key[180];
  snprintf(key, sizeof key, "%s/%s+%s", service->name.text, model.text, adapter.text);
  want_job *j = g_hash_table_lookup(g->wants, key);
  if (!j) {
    j = g_new0(want_job, 1);
    j->key = g_strdup(key);
    /* where all that hold it are lost to this node, others may not have seen that yet */
    int lost = 0;
    list_for_each(i, &g->instances, instance, link) lost +=
        !i->gone && !i->leaving && id_equal(i->service, service->name) && instance_lost(i) &&
        instance_holds(i, model, adapter);
    j->lost = !copy && lost && !instance_copies(g, service->name, model, adapter);
    j->service = service->name;
    j->model = model;
    j->adapter = adapter;
    j->priority = priority;
    j->copy = copy || j->lost;
    bool there = !id_is_empty(adapter) && instance_copies(g, service->name, model, none) > 0;
    bool warm = false;
    list_for_each(i, &g->instances, instance, link) warm |=
        !i->gone && !i->leaving && id_equal(i->service, service->name) &&
        g_hash_table_contains(i->held_before, model.text);
    j->due =
        ms_from(g, 30 + (there ? 0 : time_of(g, service, model, none, warm)) +
                       (id_is_empty(adapter) ? 0 : time_of(g, service, model, adapter, false)));
    j->asked = now_of(g);
    g_hash_table_insert(g->wants, j->key, j);
    struct {
      gateway *gateway;
      want_job *job;
    } *t = g_malloc(sizeof *t);
    t->gateway = g;
    t->job = j;
    task_start(&g->router->node.world->tasks, "want", want_run, t);
  }
  j->asked = now_of(g);
  j->priority = MIN(j->priority, priority);
  j->copy &= copy || j->lost;
  *est_ms = (double)MAX(20, ms_till(g, j->due));
  if (j->failed_till.us > now_of(g).us) {
    *wait = ms_till(g, j->failed_till);
    return j->code ? j->code : E_NO_ROOM;
  }
  return OK;
}

/* rates and load times of the whole fleet */
static int on_rates(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  (void)reply;
  (void)err;
  Wire__Rates *q = in->rates;
  for (size_t i = 0; q->whole && i < q->n_rates; i++) {
    if (strlen(q->rates[i]->key) >= 100)
      continue;
    whole_rate *r = g_hash_table_lookup(gateway->rates_whole, q->rates[i]->key);
    if (!r) {
      r = g_new0(whole_rate, 1);
      g_hash_table_insert(gateway->rates_whole, g_strdup(q->rates[i]->key), r);
    }
    *r = (whole_rate){ (double)q->rates[i]->total / 1000, now_of(gateway) };
  }
  router_rates_heard(gateway->router, q);
  return OK;
}

/* in a large fleet rates are gathered by some collectors, each for a share of the keys: the first
   live router for it in an order that all agree on. They say what they know of the whole to all;
   every node telling every other one grew with the square */
static int shard_of(const char *key) {
  return (int)(hash_of(key, strlen(key), 7) % SHARDS);
}

static void collector(gateway *gateway, int shard, char addr[48]) {
  char by[24];
  id who;
  snprintf(by, sizeof by, "rates:%d", shard);
  if (!node_first_machine(&gateway->router->node, ROLE_ROUTER, by, none, &who, addr))
    addr[0] = 0;
}

static void rates_send(gateway *gateway, GPtrArray *some, const char *addr, bool whole) {
  router *router = gateway->router;
  if (!some->len)
    return;
  Wire__Rates q = WIRE__RATES__INIT;
  q.nonce = router->node.nonce;
  q.n_rates = some->len;
  q.rates = (Wire__Rate **)some->pdata;
  q.whole = whole;
  Wire__Envelope m = wire_msg(WIRE__ENVELOPE__BODY_RATES, &q);
  if (addr) {
    node_send(&router->node, addr, &m);
    return;
  }
  node_send_all(&router->node, ROLE_ROUTER, &m);
}

/* what this node collects, told to all: only what is asked for at all, and once more when that ends
 */
static void rates_announce(gateway *gateway, const bool mine[SHARDS]) {
  router *router = gateway->router;
  GPtrArray *some = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init(&it, router->history.tallies);
  while (g_hash_table_iter_next(&it, &k, NULL)) {
    if (!mine[shard_of(k)])
      continue;
    double rate = 0.5 * history_rate(&router->history, k) +
                  0.5 * history_recent(&router->history, k, time_from_ms(RECENT_RATE_MS));
    whole_rate *was = g_hash_table_lookup(gateway->rates_whole, k);
    if (rate <= 0 && (!was || was->rate <= 0))
      continue;
    if (!was) {
      was = g_new0(whole_rate, 1);
      g_hash_table_insert(gateway->rates_whole, g_strdup(k), was);
    }
    *was = (whole_rate){ rate, now_of(gateway) };
    Wire__Rate *r = g_new(Wire__Rate, 1);
    wire__rate__init(r);
    r->key = k;
    r->total = (uint64_t)(rate * 1000);
    g_ptr_array_add(some, r);
  }
  rates_send(gateway, some, NULL, true);
  g_ptr_array_free(some, TRUE);
}

/* only what has changed since it was last told is told */
static void rates_run(void *p) {
  gateway *gateway = p;
  router *router = gateway->router;
  uint64_t met = 0, turns = 0;
  for (;;) {
    history_window_fix(&router->history, (time_us){ (int64_t)((gateway->settings.rate_window_s > 0
                                                                   ? gateway->settings.rate_window_s
                                                                   : 20) *
                                                              1e6) });
    if (!world_sleep_about(router->node.world, time_from_ms(RATES_MS)))
      return;
    /* a node that is new here, or has started anew, hears all from the start */
    uint64_t now_met = router->node.nonce;
    list_for_each(x, &router->node.machines, machine, link) if (x->role == ROLE_ROUTER && !x->gone)
        now_met += x->nonce;
    if (now_met != met)
      g_hash_table_remove_all(gateway->rates_told);
    met = now_met;
    bool many = gateway->nodes > FEW_NODES, own[SHARDS] = { false };
    char to[SHARDS][48];
    for (int b = 0; many && b < SHARDS; b++) {
      collector(gateway, b, to[b]);
      own[b] = !strcmp(to[b], router->node.settings.addr);
    }
    GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer k, t;
    g_hash_table_iter_init(&it, router->history.own_tallies);
    while (g_hash_table_iter_next(&it, &k, &t)) {
      int64_t *told = g_hash_table_lookup(gateway->rates_told, k),
              total = (int64_t)((tally *)t)->total;
      if (told && *told == total)
        continue;
      if (!told) {
        told = g_new0(int64_t, 1);
        g_hash_table_insert(gateway->rates_told, g_strdup(k), told);
      }
      *told = total;
      Wire__Rate *r = g_new(Wire__Rate, 1);
      wire__rate__init(r);
      r->key = k;
      r->window = history_own_count(&router->history, k, &r->total);
      g_ptr_array_add(all, r);
    }
    if (!many)
      rates_send(gateway, all, NULL, false);
    for (int b = 0; many && b < SHARDS; b++) {
      GPtrArray *some = g_ptr_array_new();
      for (guint n = 0; !own[b] && n < all->len; n++)
        if (shard_of(((Wire__Rate *)all->pdata[n])->key) == b)
          g_ptr_array_add(some, all->pdata[n]);
      if (to[b][0])
        rates_send(gateway, some, to[b], false);
      g_ptr_array_free(some, TRUE);
    }
    g_ptr_array_free(all, TRUE);
    if (many && ++turns % (WHOLE_MS / RATES_MS) == 0)
      rates_announce(gateway, own);
  }
}

void loader_start(gateway *gateway) {
  router *router = gateway->router;
  gateway->placings = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, placing_free);
  gateway->paces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pace_free);
  gateway->rates_whole = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  gateway->rates_told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  node_on(&router->node, WIRE__ENVELOPE__BODY_TICKET, on_ticket, gateway);
  node_on(&router->node, WIRE__ENVELOPE__BODY_PLACE, on_place, gateway);
  node_on(&router->node, WIRE__ENVELOPE__BODY_WANT, on_want, gateway);
  node_on(&router->node, WIRE__ENVELOPE__BODY_RATES, on_rates, gateway);
  task_start(&router->node.world->tasks, "rates", rates_run, gateway);
}

void loader_free(gateway *gateway) {
  list_for_each(i, &gateway->instances, instance, link)
      list_for_each(job, &i->orders, place_job, link) {
    list_remove(&job->link);
    g_free(job);
  }
  if (gateway->placings)
    g_hash_table_destroy(gateway->placings);
  if (gateway->paces)
    g_hash_table_destroy(gateway->paces);
  if (gateway->rates_told)
    g_hash_table_destroy(gateway->rates_told);
  if (gateway->rates_whole)
    g_hash_table_destroy(gateway->rates_whole);
  gateway->placings = gateway->paces = gateway->rates_told = gateway->rates_whole = NULL;
}
