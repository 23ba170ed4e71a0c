#include "gate.h"

static const char *yes(bool b) { return b ? "true" : "false"; }

static int64_t ago(tick now, tick at) { return at.us ? t_sub(now, at).us / 1000 : -1; }

static void instances_json(gate *g, GString *to) {
  tick now = w_now(g->v->s.w);
  bool first = true;
  list_each(i, &g->instances, instance, n) {
    if (i->gone) continue;
    json_f(to, "%s{\"id\":\"%s\",\"service\":\"%s\",\"area\":\"%s\",\"edition\":\"%s\",\"addr\":\"%s\",\"slots\":%u,\"leaving\":%s,\"usable\":%s,\"suspect\":%s,\"running\":%d,\"othersRunning\":%d,"
           "\"tokens\":%.0f,\"fails\":%d,\"beatMs\":%" PRId64 ",\"heardMs\":%" PRId64 ",\"firstMs\":%.1f,\"msPerToken\":%.4f,\"models\":[",
           first ? "" : ",", i->self.s, i->service.s, i->area.s, i->edition.s, i->addr, i->slots, yes(i->leaving), yes(instance_usable(i)), yes(i->suspect), i->running, i->others_running,
           i->tokens, i->fails, ago(now, i->beat_at), ago(now, i->last_byte), i->base_ms, i->ms_per_token);
    first = false;
    bool f = true;
    list_each(r, &i->residents, resident, n) {
      json_f(to, "%s{\"model\":\"%s\",\"edition\":%" PRIu64 ",\"unloading\":%s,\"running\":%d,\"adapters\":[", f ? "" : ",", r->model.s, r->edition, yes(r->unloading), r->running);
      for (guint k = 0; k < r->adapters->len; k++) json_f(to, "%s\"%s\"", k ? "," : "", (const char *)r->adapters->pdata[k]);
      g_string_append(to, "]}");
      f = false;
    }
    g_string_append(to, "]}");
  }
}

void gate_status(gate *g, GString *to) {
  const gate_counts *n = &g->n;
  json_f(to, "{\"id\":\"%s\",\"revision\":%" PRIu64 ",\"ready\":%s,\"draining\":%s,\"open\":%d,\"channels\":%d,\"requests\":%" PRIu64 ",\"served\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64
         ",\"left\":%" PRIu64 ",\"notFound\":%" PRIu64 ",\"attempts\":%" PRIu64 ",\"retries\":%" PRIu64 ",\"resumed\":%" PRIu64 ",\"loads\":%" PRIu64 ",\"unloads\":%" PRIu64 ",\"orders\":%" PRIu64 ",\"reports\":%" PRIu64 ",",
         g->v->s.v.self.s, g->now ? g->now->revision : 0, yes(!g->draining && g->now && g->told), yes(g->draining), g->open, g->front.channels, n->requests, n->served, n->refused, n->failed,
         n->left, n->no_route, n->attempts, n->seconds, n->resumed, n->loads, n->unloads, n->orders, n->reports);
  g_string_append(to, "\"services\":[");
  GHashTableIter it;
  gpointer p;
  bool first = true;
  g_hash_table_iter_init(&it, g->traffic);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const traffic *t = p;
    const budget *b = g_hash_table_lookup(g->budgets, t->service.s);
    json_f(to, "%s{\"service\":\"%s\",\"running\":%d,\"waiting\":%d,\"firstMs\":%.1f,\"runMs\":%.1f,\"freeMs\":%.1f,\"requests\":%" PRId64 ",\"retries\":%" PRId64 "}", first ? "" : ",",
           t->service.s, t->running, t->waiting, t->first_ms, t->run_ms, t->free_ms, b ? b->came : 0, b ? b->spent : 0);
    first = false;
  }
  g_string_append(to, "],\"engines\":[");
  instances_json(g, to);
  g_string_append(to, "]}");
}

void gate_metrics(gate *g, GString *to) {
  const gate_counts *n = &g->n;
  int up = 0;
  list_each(i, &g->instances, instance, n) up += instance_usable(i);
  json_f(to, "asterfall_gateway_requests %" PRIu64 "\nasterfall_gateway_served %" PRIu64 "\nasterfall_gateway_refused %" PRIu64 "\nasterfall_gateway_failed %" PRIu64 "\nasterfall_gateway_left %" PRIu64
         "\nasterfall_gateway_not_found %" PRIu64 "\nasterfall_gateway_attempts %" PRIu64 "\nasterfall_gateway_retries %" PRIu64 "\nasterfall_gateway_resumed %" PRIu64 "\nasterfall_gateway_open %d\nasterfall_gateway_engines %d\n",
         n->requests, n->served, n->refused, n->failed, n->left, n->no_route, n->attempts, n->seconds, n->resumed, g->open, up);
}
