#include "gateway.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  CANDS = 512,
  PARTS = 32,
  SLOW_MS = 1000,
  COPY_MS = 1500,
  TRUST_MS = 1000,
  ILL_COST = 3000,
  MANY_NODES = 16
};

double est_first(double base_ms, double ms_per_token, double ahead, double fresh, int running,
                 unsigned slots, double run_ms) {
  double full = slots ? (double)running / slots : 0;
  double ms = (base_ms + ms_per_token * (ahead + fresh)) * (1 + 0.3 * MIN(1, full));
  if (slots && running >= (int)slots)
    ms += (running - (int)slots + 1) * run_ms / slots;
  return ms;
}

int parts_read(const char *prefix, id model, id adapter, uint64_t *chain, double *upto, int most) {
  int n = 0;
  double sum = 0;
  uint64_t h = hash_two_names(model.text, adapter.text);
  for (const char *p = prefix; p && *p && n < most;) {
    size_t len = strcspn(p, ","), name = strcspn(p, ":,");
    h = hash_bytes(p, name, h);
    if (name < len)
      sum += CLAMP(atof(p + name + 1), 0, 1e7);
    chain[n] = h;
    upto[n++] = sum;
    p += len;
    p += *p == ',';
  }
  return n;
}

/* the chain's last part that an engine is known to keep; what was read there since may have pushed
 * it out */
static int parts_kept(const instance *instance, const uint64_t *chain, int n, double kv) {
  if (!instance->parts)
    return 0;
  double most = kv > 0 ? 0.8 * kv / MAX(instance->gateway->nodes, 1) : 1e9;
  int got = 0;
  for (int k = 0; k < n; k++) {
    part_note *s = &instance->parts[chain[k] % PART_SETS * PART_WAYS];
    bool there = false;
    for (int w = 0; w < PART_WAYS && !there; w++)
      there = s[w].chain == chain[k] && instance->read_tokens - s[w].read < most;
    if (!there)
      break;
    got = k + 1;
  }
  return got;
}

static void parts_note(instance *instance, const uint64_t *chain, int n) {
  if (!n)
    return;
  if (!instance->parts)
    instance->parts = g_new0(part_note, PART_SETS * PART_WAYS);
  for (int k = 0; k < n; k++) {
    part_note *s = &instance->parts[chain[k] % PART_SETS * PART_WAYS], *to = s;
    for (int w = 0; w < PART_WAYS; w++) {
      if (s[w].chain == chain[k]) {
        to = &s[w];
        break;
      }
      if (!s[w].chain || (to->chain && s[w].read < to->read))
        to = &s[w];
    }
    *to = (part_note){ chain[k], instance->read_tokens };
  }
}

static bool avoided(const pick_request *q, id who) {
  for (int k = 0; k < q->avoided; k++)
    if (id_equal(q->avoid[k], who))
      return true;
  return false;
}

typedef struct slow_note {
  time_us at, asked;
} slow_note;

/* a model whose best estimate is slow for a second request within a second, or because of others
   that wait there, gets one more copy: where nodes are many, each of them sees few requests of a
   model */
static void spread(gateway *gateway, const pick_request *q, double est, double queue_ms) {
  if (!q->target_ms || !gateway_uses(gateway, MECHANISM_COPIES) ||
      est < (q->policy ? q->policy : &select_policy_default)->scale_out_threshold *
                (double)q->target_ms)
    return;
  char key[160];
  snprintf(key, sizeof key, "%s/%s+%s", q->service->name.text, q->model.text, q->adapter.text);
  time_us now = world_now(gateway->router->node.world);
  slow_note *s = g_hash_table_lookup(gateway->slow, key);
  if (!s) {
    s = g_new0(slow_note, 1);
    g_hash_table_insert(gateway->slow, g_strdup(key), s);
  }
  bool again = (gateway->nodes > MANY_NODES && queue_ms > 0.4 * (double)q->target_ms) ||
               (s->at.us && !time_reached(now, time_add(s->at, time_from_ms(SLOW_MS))));
  s->at = now;
  if (!again || (s->asked.us && !time_reached(now, time_add(s->asked, time_from_ms(COPY_MS)))))
    return;
  s->asked = now;
  double ms;
  int64_t wait;
  want_model(gateway, q->service, q->model, q->adapter, q->priority, true, &ms, &wait);
}

instance *pick(gateway *gateway, const pick_request *q, enum pick_none *why, double *est_ms) {
  const service *service = q->service;
  const select_policy *o = q->policy ? q->policy : &select_policy_default;
  instance *c[CANDS];
  int n = 0, held = 0, open = 0, any = 0;
  time_us now = world_now(gateway->router->node.world);
  bool llm = !id_is_empty(q->model);
  list_for_each (i, &gateway->instances, instance, link) {
    if (i->gone || i->leaving || !id_equal(i->service, service->name))
      continue;
    if (i->ends_at.us && time_reached(time_add(now, time_from_ms(1000)), i->ends_at))
      continue;
    any++;
    if (!instance_holds(i, q->model, q->adapter))
      continue;
    instance_check(i);
    held += !instance_lost(i);
    if (avoided(q, i->self))
      continue;
    open += !(i->shunned_till.us > now.us);
    if (n < CANDS)
      c[n++] = i;
  }
  *est_ms = 0;
  *why = !any ? PICK_NO_ENGINE : !held ? PICK_NO_MODEL : PICK_FULL;
  if (!n)
    return NULL;
  /* when fewer than half would be left, those that have answered at all of late are let in again */
  bool soft = open * 2 < held;
  uint64_t chain[PARTS];
  double upto[PARTS];
  bool by_prefix = llm && q->prefix && gateway_uses(gateway, MECHANISM_PREFIX);
  int parts = by_prefix ? parts_read(q->prefix, q->model, q->adapter, chain, upto, PARTS) : 0;
  int shared = MAX(parts - 1, 0);
  double shared_tokens = shared ? MIN(upto[shared - 1], q->tokens) : 0;
  const instance *home = NULL;
  uint64_t top = 0;
  for (int k = 0; shared && k < n; k++) {
    uint64_t h = hash_bytes(c[k]->self.text, strlen(c[k]->self.text), chain[shared - 1]);
    if (!home || h > top) {
      home = c[k];
      top = h;
    }
  }
  bool clear = false;
  for (int k = 0; k < n; k++)
    clear |= !c[k]->suspect && !(c[k]->shunned_till.us > now.us);
  instance *best = NULL;
  double least = 0, best_est = 0, best_fresh = 0;
  double soonest = -1, queue_ms = -1;
  for (int k = 0; k < n; k++) {
    instance *i = c[k];
    unsigned slots = i->slots ? i->slots : service->engine_slots;
    int running = gateway_uses(gateway, MECHANISM_BATCH) ? instance_running(i) : 0;
    if (i->shunned_till.us > now.us &&
        !(soft && i->last_byte.us &&
          !time_reached(now, time_add(i->last_byte, time_from_ms(3000)))))
      continue;
    /* where only once-only work comes, one of it must find out in the end, over a channel that has
     * to come up first */
    if (i->suspect &&
        (clear ||
         (q->run_once && !time_reached(now, time_add(i->suspect_at, time_from_ms(TRUST_MS))))))
      continue;
    int kept = parts_kept(i, chain, parts, service->kv_tokens);
    double fresh = MAX(q->tokens - (kept ? upto[kept - 1] : 0), 0);
    if (!kept && i == home)
      fresh = MAX(q->tokens - 0.5 * shared_tokens, 0);
    double ahead = instance_waiting(i), run_ms = i->usual_run;
    double est = est_first(i->base_ms, i->ms_per_token, ahead, fresh, running, slots, run_ms);
    if (soonest < 0 || est < soonest)
      soonest = est;
    if (queue_ms < 0 || i->ms_per_token * ahead < queue_ms)
      queue_ms = i->ms_per_token * ahead;
    if (slots && running >= (int)slots + (llm ? 0 : 2))
      continue;
    if (q->left_ms > 0 && est > (double)q->left_ms)
      continue;
    /* a place in a line that is already too long helps nobody behind it */
    if (llm && q->target_ms && est > o->reject_threshold * (double)q->target_ms && ahead > 0)
      continue;
    double cost = o->load_weight * est;
    /* parts that are read again are paid for, beside the time they take */
    if (shared && i != home)
      cost += o->affinity_weight * i->ms_per_token *
              MAX(shared_tokens - (kept ? upto[kept - 1] : 0), 0);
    if (q->target_ms && est > 0.5 * (double)q->target_ms)
      cost += o->load_weight * 3 * (est - 0.5 * (double)q->target_ms);
    if (llm && service->kv_tokens > 0 && gateway_uses(gateway, MECHANISM_KV)) {
      double use = (running + 1) * MAX(i->usual_tokens, 1) * 1.15 / service->kv_tokens;
      if (use > 0.85)
        cost += (use - 0.85) * 4000;
    }
    if (!llm)
      cost = o->load_weight * est * (1 + (slots ? (double)running / slots : running));
    if (!id_equal(i->area, gateway->router->node.settings.zone) &&
        gateway_uses(gateway, MECHANISM_ZONE))
      cost += o->zone_weight * (llm ? 3 : 1.5);
    if (instance_ill(i))
      cost += ILL_COST;
    cost += (double)world_random(gateway->router->node.world, 1000) / 1000;
    if (!best || cost < least) {
      best = i;
      least = cost;
      best_est = est;
      best_fresh = fresh;
    }
  }
  *est_ms = best ? best_est : MAX(soonest, 0);
  if (llm && held)
    spread(gateway, q, best && !instance_ill(best) ? best_est : 1e9,
           best && instance_ill(best) ? 1e9 : queue_ms);
  if (!best)
    return NULL;
  *why = PICK_OK;
  best->picked_model = q->model;
  best->picked_adapter = q->adapter;
  best->picked_fresh = best_fresh;
  best->picked_tokens = q->tokens;
  parts_note(best, chain, parts);
  return best;
}
