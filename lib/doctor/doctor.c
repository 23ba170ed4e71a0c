#include "doctor.h"
#include "config.h"
#include <stdarg.h>
#include <stdio.h>

typedef struct {
  char addr[48];
  id self;
  bool controller, gone, leaving;
  json *status, *view, *gateway;
  int64_t sent;
} examined_node;
typedef struct {
  world *world;
  GArray *wal_condition, *all;
} examination;

static const char *const nexts[] = {
  "Is the process up? Look at its log; start it again with its settings.",
  "Put a live address into the settings' seeds before the next restart.",
  "Start the missing core machine, or one with an empty disk in its place; the chain takes it in by itself.",
  "Two views are known. Look for a cut between core machines; the one with the higher epoch counts.",
  "Look for a cut between this node and the core; it serves by its last configuration until then.",
  "Are enough routers live outside emptied areas? Contracts are granted within about four seconds of that.",
  "Nodes disagree on what this engine holds. Look at its own report; restart the engine if it repeats itself.",
  "Give the catalogue a smaller entry, or the fleet a larger engine.",
  "Loads wait for the store's pace. Raise loadsPerS if the store allows it, or keep more models resident.",
  "Look at the machine's disk: space, speed, errors. A machine that steps out comes back by itself once the disk does.",
  "Calls to this machine take long. Look at its load and its network; no clock is used for any decision.",
  "Two processes use one name. Stop one of them.",
  "Is the platform up, and reachable from this node? The last list stands until then.",
  "Bring all nodes to versions that speak a common wire version.",
  "This is meant to pass. If it lasts, look at what the machine waits for in its log.",
  "Put a configuration (asterctl apply routing); if the core has one, look for a cut between this gateway and the core.",
  "Are the service's engines up, and do they reach a core machine's control listener? See asterctl get registry.",
  "Callers are sent elsewhere until then. A gateway is ready once it has a configuration and has heard of the engines from the core.",
  "Requests to it fail or stay without a first byte. Look at the engine's log; restart it if it does not come back.",
  "Are enough gateways live outside emptied areas? The contract is granted within about four seconds of that; until then each loads a small share by itself.",
  "Many first attempts fail. Look at the engines of this service; refused extra attempts protect them from more load.",
  "Look at the store of weights and at the engines' room; see the gateway's log for what the engines answer."
};

static void add_finding(examination *examination, int code, const char *form, ...)
    __attribute__((format(printf, 3, 4)));
static void add_finding(examination *examination, int code, const char *form, ...) {
  finding f = { .code = code, .remedy = nexts[code - D_NO_ANSWER] };
  va_list a;
  va_start(a, form);
  vsnprintf(f.evidence, sizeof f.evidence, form, a);
  va_end(a);
  for (guint i = 0; i < examination->wal_condition->len; i++)
    if (g_array_index(examination->wal_condition, finding, i).code == code &&
        !strcmp(g_array_index(examination->wal_condition, finding, i).evidence, f.evidence))
      return;
  g_array_append_val(examination->wal_condition, f);
}

static json *fetch_page(examination *examination, const char *addr, const char *path, int64_t *ms) {
  GString *b = g_string_new(NULL);
  error err = { 0 };
  time_us from = world_now(examination->world);
  int st = http_call_fetch(examination->world, addr, "GET", path, NULL, string_view_of(""), b,
                           time_from_ms(2500), &err);
  if (ms)
    *ms = time_sub(world_now(examination->world), from).us / 1000;
  json *json = st == 200 ? json_parse(string_view_of_gstring(b), NULL) : NULL;
  g_string_free(b, TRUE);
  return json;
}

static examined_node *known(examination *examination, const char *addr) {
  for (guint i = 0; i < examination->all->len; i++)
    if (!strcmp(g_array_index(examination->all, examined_node, i).addr, addr))
      return &g_array_index(examination->all, examined_node, i);
  return NULL;
}

static void add_examined_node(examination *examination, const char *addr, id self, bool controller,
                              const char *standing) {
  examined_node *node = known(examination, addr);
  if (!node) {
    examined_node n = { .self = self, .controller = controller };
    g_strlcpy(n.addr, addr, sizeof n.addr);
    g_array_append_val(examination->all, n);
    node = &g_array_index(examination->all, examined_node, examination->all->len - 1);
  }
  if (!id_is_empty(self)) {
    node->self = self;
    node->controller = controller;
  }
  if (!strcmp(standing, "gone"))
    node->gone = true;
  if (!strcmp(standing, "leaving"))
    node->leaving = true;
}

static void meet_all(examination *examination, const char *from) {
  json *n = fetch_page(examination, from, "/v1/nodes", NULL);
  for (size_t i = 0; i < json_count(n); i++) {
    const json *k = json_at(n, i);
    add_examined_node(examination, json_text(k, "addr", ""), id_of_text(json_text(k, "id", "?")),
                      !strcmp(json_text(k, "role", ""), "controller"),
                      json_text(k, "standing", ""));
  }
  json_free(n);
}

/* the core: one view, a full chain, an acting head and tail, disks that keep up */
static void examine_core(examination *examination) {
  uint64_t top = 0;
  int controllers = 0, acts = 0;
  const json *best = NULL;
  for (guint i = 0; i < examination->all->len; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (!node->controller || !node->status)
      continue;
    controllers++;
    acts += json_bool(node->status, "acts", false);
    uint64_t e = (uint64_t)json_number(node->status, "epoch", 0);
    if (e > top) {
      top = e;
      best = node->view;
    }
    const json *d = json_get(node->status, "disk");
    if (json_bool(d, "broken", false))
      add_finding(examination, D_DISK, "%s: the disk failed", node->self.text);
    else if (json_number(d, "lastWriteMs", 0) > 500)
      add_finding(examination, D_DISK, "%s: the last write took %.0f ms", node->self.text,
                  json_number(d, "lastWriteMs", 0));
    if (json_number(d, "fill", 0) > 0.6)
      add_finding(examination, D_DISK, "%s: the state fills %.0f %% of a ring file",
                  node->self.text, 100 * json_number(d, "fill", 0));
  }
  if (!controllers) {
    add_finding(examination, D_CHAIN, "no core machine answers");
    return;
  }
  size_t links = json_count(json_get(best, "chain"));
  if (links < 3)
    add_finding(examination, D_CHAIN, "the chain of view %" PRIu64 " has %zu of 3 machines%s", top,
                links, json_bool(best, "thin", false) ? " and takes no writes" : "");
  if (!acts)
    add_finding(examination, D_CHAIN, "no core machine holds a lease to act");
  for (guint i = 0; i < examination->all->len; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (!node->controller || !node->status)
      continue;
    if ((uint64_t)json_number(node->status, "epoch", 0) != top)
      add_finding(examination, D_VIEWS_DIFFER, "%s knows view %.0f, others %" PRIu64,
                  node->self.text, json_number(node->status, "epoch", 0), top);
    else if (json_number(node->status, "place", -1) >= 0 && !json_bool(node->status, "acts", false))
      add_finding(examination, D_VIEWS_DIFFER, "%s stands in the chain and has no lease",
                  node->self.text);
  }
}

static void examine_nodes(examination *examination) {
  double top = 0;
  for (guint i = 0; i < examination->all->len; i++)
    top = MAX(top,
              json_number(g_array_index(examination->all, examined_node, i).status, "version", 0));
  for (guint i = 0; i < examination->all->len; i++)
    for (guint k = 0; k < i; k++) {
      examined_node *node = &g_array_index(examination->all, examined_node, i),
                    *q = &g_array_index(examination->all, examined_node, k);
      if (node->status && q->status && id_equal(node->self, q->self))
        add_finding(examination, D_DUPLICATE_NAME, "%s answers at %s and at %s", node->self.text,
                    node->addr, q->addr);
    }
  for (guint i = 0; i < examination->all->len; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (!node->status) {
      add_finding(examination, D_NO_ANSWER, "%s at %s does not answer%s",
                  node->self.text[0] ? node->self.text : "somebody", node->addr,
                  node->gone ? " and is held to be gone" : "");
      continue;
    }
    if (node->sent > 1000)
      add_finding(examination, D_CLOCK, "%s answered after %" PRId64 " ms", node->self.text,
                  node->sent);
    if (json_number(node->status, "wireOdd", 0) > 0)
      add_finding(examination, D_VERSION, "%s refused %.0f messages of another wire version",
                  node->self.text, json_number(node->status, "wireOdd", 0));
    if (node->leaving)
      add_finding(examination, D_DRAINING, "%s is leaving", node->self.text);
    if (json_bool(node->status, "twin", false))
      add_finding(examination, D_DUPLICATE_NAME, "another process uses the name %s",
                  node->self.text);
    const json *s = json_get(node->status, "seeds");
    for (size_t k = 0; k < json_count(s); k++) {
      const char *a = json_at(s, k)->kind == JSON_STRING ? json_at(s, k)->text->str : "";
      examined_node *q = known(examination, a);
      if (!q || !q->status)
        add_finding(examination, D_SEED, "nobody answers at seed %s, which nodes are to start with",
                    a);
    }
    if (node->controller)
      continue;
    if (!json_bool(node->status, "fresh", false)) {
      /* between two answers of the core it may be so for a moment */
      world_sleep(examination->world, time_from_ms(1500));
      json *again = fetch_page(examination, node->addr, "/v1/status", NULL);
      if (!json_bool(again, "fresh", false))
        add_finding(examination, D_STALE, "%s cannot tell how fresh its version %.0f is",
                    node->self.text, json_number(node->status, "version", 0));
      json_free(again);
    } else if (json_number(node->status, "version", 0) + 0.5 < top) {
      world_sleep(examination->world, time_from_ms(1500));
      json *again = fetch_page(examination, node->addr, "/v1/status", NULL);
      if (again && json_number(again, "version", 0) + 0.5 < top)
        add_finding(examination, D_STALE, "%s stays at version %.0f, others have %.0f",
                    node->self.text, json_number(again, "version", 0), top);
      json_free(again);
    }
    double list = json_number(node->status, "listMs", -1);
    /* engines register at the core where gateways run; no platform lists them there */
    if (!node->gateway && (list < 0 || list > 5000))
      add_finding(examination, D_ENGINE_LIST, "%s had its last list of engines %s", node->self.text,
                  list < 0 ? "never" : "over 5 s ago");
    double full = json_number(node->status, "paceFull", 0),
           given = json_number(node->status, "paceGiven", 0);
    if (full > 5 && full > given)
      add_finding(examination, D_LOAD_RATE_LIMIT, "%s refused %.0f tickets lately and gave %.0f",
                  node->self.text, full, given);
  }
}

static bool same_holdings(const json *a, const json *b) {
  if (json_count(a) != json_count(b))
    return false;
  for (size_t i = 0; i < json_count(a); i++) {
    bool hit = false;
    for (size_t k = 0; k < json_count(b) && !hit; k++)
      hit = !strcmp(json_text(json_at(a, i), "model", ""), json_text(json_at(b, k), "model", "")) &&
            !strcmp(json_text(json_at(a, i), "adapter", ""),
                    json_text(json_at(b, k), "adapter", "")) &&
            !strcmp(json_text(json_at(a, i), "state", ""), json_text(json_at(b, k), "state", ""));
    if (!hit)
      return false;
  }
  return true;
}

/* an engine's own report, held against what one router believes; looked at twice, since things move
 */
static bool holdings_differ(examination *examination, const char *router, const char *engine,
                            const char *addr) {
  for (int turn = 0; turn < 3; turn++) {
    json *mine = fetch_page(examination, addr, "/v1/state", NULL),
         *all = fetch_page(examination, router, "/v1/holdings", NULL);
    bool same = !mine || !all;
    for (size_t i = 0; i < json_count(all) && !same; i++)
      if (!strcmp(json_text(json_at(all, i), "id", ""), engine))
        same = same_holdings(json_get(mine, "holdings"), json_get(json_at(all, i), "holdings"));
    json_free(mine);
    json_free(all);
    if (same)
      return false;
    if (!world_sleep(examination->world, time_from_ms(700)))
      return false;
  }
  return true;
}

static void examine_engines(examination *examination) {
  examined_node *v = NULL;
  for (guint i = 0; i < examination->all->len && !v; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (!node->controller && node->status && !node->leaving && !node->gateway)
      v = node;
  }
  if (!v)
    return;
  json *e = fetch_page(examination, v->addr, "/v1/engines", NULL), *c = NULL;
  for (guint i = 0; i < examination->all->len && !c; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (node->controller && node->status)
      c = fetch_page(examination, node->addr, "/v1/catalogue", NULL);
  }
  double megs = 0, slots = 0;
  for (size_t i = 0; i < json_count(e); i++) {
    const json *k = json_at(e, i);
    const char *n = json_text(k, "id", "");
    megs = MAX(megs, json_number(k, "weightsMb", 0));
    slots = MAX(slots, json_number(k, "adapterSlots", 0));
    const char *holder = json_text(k, "holder", "");
    bool lives = false;
    for (guint p = 0; p < examination->all->len; p++)
      lives |= g_array_index(examination->all, examined_node, p).status &&
               !strcmp(g_array_index(examination->all, examined_node, p).self.text, holder);
    if (!lives)
      add_finding(examination, D_NO_SINGLETON_HOLDER, "%s is held by %s", n,
                  holder[0] ? holder : "nobody");
    double heard = json_number(k, "heardMs", -1);
    if (heard < 0 || heard > 3000)
      add_finding(examination, D_NO_ANSWER, "%s at %s gives no report", n,
                  json_text(k, "addr", ""));
    else if (json_bool(k, "odd", false))
      add_finding(examination, D_RESIDENT_DIFFERS, "the report of %s is not one to go by", n);
    else if (holdings_differ(examination, v->addr, n, json_text(k, "addr", "")))
      add_finding(examination, D_RESIDENT_DIFFERS, "%s reports other holdings than %s believes", n,
                  v->self.text);
  }
  if (!json_count(e))
    add_finding(examination, D_ENGINE_LIST, "%s knows of no engine", v->self.text);
  const json *m = json_get(json_get(c, "value"), "models");
  for (size_t i = 0; json_count(e) && i < json_count(m); i++)
    if (json_number(json_at(m, i), "weightsMb", 0) > megs)
      add_finding(
          examination, D_FITS_NO_ENGINE, "model %s takes %.0f MB, the largest engine has %.0f",
          json_text(json_at(m, i), "id", ""), json_number(json_at(m, i), "weightsMb", 0), megs);
  const json *a = json_get(json_get(c, "value"), "adapters");
  for (size_t i = 0; json_count(e) && i < json_count(a); i++)
    if (json_number(json_at(a, i), "slots", 1) > slots)
      add_finding(examination, D_FITS_NO_ENGINE,
                  "adapter %s takes %.0f places, the largest engine has %.0f",
                  json_text(json_at(a, i), "id", ""), json_number(json_at(a, i), "slots", 1),
                  slots);
  json_free(e);
  json_free(c);
}

/* gateways: a configuration, engines for each service, what many of them shun, the pacer, budgets,
 * loads */
static void examine_gateways(examination *examination) {
  int all = 0;
  GHashTable *shun = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < examination->all->len; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (!node->gateway)
      continue;
    all++;
    const char *why = json_text(node->gateway, "why", "");
    if (json_number(node->gateway, "revision", 0) < 1)
      add_finding(examination, D_ROUTING, "%s has no configuration of routes", node->self.text);
    if (!json_bool(node->gateway, "ready", false))
      add_finding(examination, D_UNREADY, "%s is not ready: %s", node->self.text, why);
    const json *s = json_get(node->gateway, "services"), *e = json_get(node->gateway, "engines");
    for (size_t k = 0; k < json_count(s); k++) {
      const json *x = json_at(s, k);
      const char *name = json_text(x, "service", "?");
      if (json_bool(x, "routed", false) && json_bool(node->gateway, "told", false)) {
        if (json_number(x, "engines", 0) < 1)
          add_finding(examination, D_SERVICE, "%s knows of no engine of %s, which routes lead to",
                      node->self.text, name);
        else if (json_number(x, "usable", 0) < 1)
          add_finding(examination, D_SERVICE, "%s can use none of the %.0f engines of %s",
                      node->self.text, json_number(x, "engines", 0), name);
      }
      if (!json_bool(x, "retryRoom", true))
        add_finding(examination, D_BUDGET, "%s has no extra attempts left for %s", node->self.text,
                    name);
    }
    for (size_t k = 0; k < json_count(e); k++) {
      const json *x = json_at(e, k);
      if (json_bool(x, "leaving", false) ||
          (json_bool(x, "usable", true) && !json_bool(x, "suspect", false) &&
           !json_bool(x, "failing", false)))
        continue;
      const char *name = json_text(x, "id", "?");
      g_hash_table_insert(shun, g_strdup(name),
                          GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(shun, name)) + 1));
    }
    if (json_number(node->gateway, "loadFailsInARow", 0) >= 3)
      add_finding(examination, D_LOADS, "%s: the last %.0f loads failed", node->self.text,
                  json_number(node->gateway, "loadFailsInARow", 0));
  }
  GHashTableIter it;
  gpointer name, n;
  g_hash_table_iter_init(&it, shun);
  while (g_hash_table_iter_next(&it, &name, &n))
    if (2 * GPOINTER_TO_INT(n) >= all && GPOINTER_TO_INT(n) > 0)
      add_finding(examination, D_ENGINE_EJECTED, "%s is passed over by %d of %d gateways",
                  (char *)name, GPOINTER_TO_INT(n), all);
  g_hash_table_destroy(shun);
  json *c = NULL;
  for (guint i = 0; all && i < examination->all->len && !c; i++) {
    examined_node *node = &g_array_index(examination->all, examined_node, i);
    if (node->controller && node->status && json_bool(node->status, "acts", false))
      c = fetch_page(examination, node->addr, "/v1/contracts", NULL);
  }
  const char *holder = "";
  for (size_t i = 0; i < json_count(c); i++)
    if (!strcmp(json_text(json_at(c, i), "duty", ""), "pacer"))
      holder = json_text(json_at(c, i), "holder", "");
  bool lives = false;
  for (guint i = 0; i < examination->all->len; i++)
    lives |= g_array_index(examination->all, examined_node, i).status &&
             !strcmp(g_array_index(examination->all, examined_node, i).self.text, holder);
  if (c && !lives)
    add_finding(examination, D_NO_LOAD_RATE_LIMITER, "the pace of loads is held by %s",
                holder[0] ? holder : "nobody");
  json_free(c);
}

GArray *doctor_examine(world *world, char **at, int count) {
  examination l = { world, g_array_new(FALSE, TRUE, sizeof(finding)),
                    g_array_new(FALSE, TRUE, sizeof(examined_node)) };
  for (int i = 0; i < count; i++)
    add_examined_node(&l, at[i], id_of_text(""), true, "");
  for (guint i = 0; i < l.all->len && i < 64; i++) {
    char addr[48];
    g_strlcpy(addr, g_array_index(l.all, examined_node, i).addr, sizeof addr);
    meet_all(&l, addr);
  }
  for (guint i = 0; i < l.all->len; i++) {
    char addr[48];
    int64_t ms;
    g_strlcpy(addr, g_array_index(l.all, examined_node, i).addr, sizeof addr);
    json *s = fetch_page(&l, addr, "/v1/status", &ms),
         *v = s && !strcmp(json_text(s, "role", ""), "controller")
                  ? fetch_page(&l, addr, "/v1/view", NULL)
                  : NULL,
         *g = s && !v ? fetch_page(&l, addr, "/v1/gateway", NULL) : NULL;
    examined_node *node = &g_array_index(l.all, examined_node, i);
    node->status = s;
    node->view = v;
    node->gateway = g;
    node->sent = ms;
    if (s) {
      node->self = id_of_text(json_text(s, "id", "?"));
      node->controller = !strcmp(json_text(s, "role", ""), "controller");
    }
  }
  examine_core(&l);
  examine_nodes(&l);
  examine_engines(&l);
  examine_gateways(&l);
  for (guint i = 0; i < l.all->len; i++) {
    examined_node *node = &g_array_index(l.all, examined_node, i);
    json_free(node->status);
    json_free(node->view);
    json_free(node->gateway);
  }
  g_array_free(l.all, TRUE);
  return l.wal_condition;
}
