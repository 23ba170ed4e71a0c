#include "linearizability.h"

/* Versions rise from order to order, so the orders that took effect form one chain in which each
 * builds on the version of the one before. The checker searches for such a chain: it must hold
 * every order that was confirmed or read and none that was refused, and every order on it needs an
 * instant of effect, later than that of the one before, within the bounds that the answers and
 * reads set. Orders without a clear answer may or may not be on it. The search is memoised by
 * order: of two ways to the same order, the one with the earlier instant allows all that the other
 * does. A conflict is judged against the earliest and the latest instants that the chain allows,
 * one conflict at a time. */

enum { NOWHERE = -1 };
static const uint64_t NEVER = UINT64_MAX;

typedef struct config_change {
  uint64_t base_version, version;
  /* effect no earlier than the first call; no later than the first confirmation or read */
  uint64_t called, known;
  /* the order that replaces it takes effect no earlier than the last call of a read of it */
  uint64_t read_called;
  bool valid, confirmed, refused, read;
  /* search */
  uint64_t failed;
} config_change;

typedef struct conflict {
  guint order;
  uint64_t called, returned;
} conflict;

struct register_history {
  GArray *orders, *conflicts;
  GString *fault;
};

typedef struct search {
  const register_history *h;
  config_change *orders;
  GArray *required;
  guint *chain;
  uint64_t *at;
  guint length;
} search;

register_history *register_history_new(void) {
  register_history *h = g_new0(register_history, 1);
  h->orders = g_array_new(FALSE, TRUE, sizeof(config_change));
  h->conflicts = g_array_new(FALSE, TRUE, sizeof(conflict));
  h->fault = g_string_new(NULL);
  return h;
}

void register_history_free(register_history *h) {
  g_array_free(h->orders, TRUE);
  g_array_free(h->conflicts, TRUE);
  g_string_free(h->fault, TRUE);
  g_free(h);
}

static config_change *order_at(const register_history *h, guint i) {
  return &g_array_index(h->orders, config_change, i);
}

guint register_history_add_order(register_history *h, uint64_t base, uint64_t version, bool valid) {
  config_change o = {
    .base_version = base, .version = version, .called = NEVER, .known = NEVER, .valid = valid
  };
  g_array_append_val(h->orders, o);
  return h->orders->len - 1;
}

void register_history_add_attempt(register_history *h, guint i, uint64_t called, uint64_t returned,
                                  enum register_answer answer) {
  config_change *o = order_at(h, i);
  o->called = MIN(o->called, called);
  if (answer == ANSWER_CONFIRMED) {
    o->confirmed = true;
    o->known = MIN(o->known, returned);
  }
  if (answer == ANSWER_CONFLICT || answer == ANSWER_INVALID)
    o->refused = true;
  if (answer == ANSWER_INVALID && o->valid && !h->fault->len)
    g_string_printf(h->fault, "order %u is valid and was called invalid", i);
  if (answer == ANSWER_CONFLICT) {
    conflict c = { i, called, returned };
    g_array_append_val(h->conflicts, c);
  }
}

void register_history_add_read(register_history *h, guint i, uint64_t called, uint64_t returned) {
  config_change *o = order_at(h, i);
  o->read = true;
  o->known = MIN(o->known, returned);
  o->read_called = MAX(o->read_called, called);
}

static int by_version(const void *a, const void *b) {
  const config_change *x = *(config_change *const *)a, *y = *(config_change *const *)b;
  return x->version < y->version ? -1 : x->version > y->version;
}

/* what is wrong with one order by itself */
static bool orders_fit(const register_history *h, GString *why) {
  for (guint i = 0; i < h->orders->len; i++) {
    const config_change *o = order_at(h, i);
    const char *fault = NULL;
    if (o->confirmed && o->refused)
      fault = "was confirmed and refused";
    else if (o->read && o->refused)
      fault = "was refused and is in force";
    else if ((o->confirmed || o->read) && !o->valid)
      fault = "is invalid and was taken";
    if (!fault)
      continue;
    g_string_printf(why, "order %u (%" PRIu64 " over %" PRIu64 ") %s", i, o->version,
                    o->base_version, fault);
    return false;
  }
  return true;
}

static GArray *required_orders(const register_history *h) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(config_change *));
  for (guint i = 0; i < h->orders->len; i++) {
    config_change *o = order_at(h, i);
    if (o->confirmed || o->read)
      g_array_append_val(all, o);
  }
  g_array_sort(all, by_version);
  return all;
}

/* the latest instants of effect that the chain allows, from its end to its start */
static uint64_t *latest_of(const search *s) {
  uint64_t *latest = g_new(uint64_t, s->length + 1);
  uint64_t next = NEVER;
  for (guint i = s->length; i-- > 0;) {
    latest[i] = MIN(next, s->orders[s->chain[i]].known);
    next = latest[i];
  }
  return latest;
}

/* an answer of conflict is true when at some instant of the call its base was not current */
static bool conflict_fits(const search *s, const uint64_t *latest, const conflict *c) {
  uint64_t base = s->orders[c->order].base_version;
  int at = base ? NOWHERE : -2;
  for (guint i = 0; i < s->length && base; i++)
    if (s->orders[s->chain[i]].version == base)
      at = (int)i;
  if (at == NOWHERE)
    return true;
  guint next = base ? (guint)at + 1 : 0;
  bool beaten = next < s->length && s->at[next] <= c->returned;
  bool not_yet = base && latest[at] >= c->called;
  return beaten || not_yet;
}

static bool conflicts_fit(const search *s, GString *why) {
  uint64_t *latest = latest_of(s);
  bool fit = true;
  for (guint i = 0; i < s->h->conflicts->len && fit; i++) {
    const conflict *c = &g_array_index(s->h->conflicts, conflict, i);
    fit = conflict_fits(s, latest, c);
    if (!fit)
      g_string_printf(why, "order %u (over %" PRIu64 ") was refused while its base was current",
                      c->order, s->orders[c->order].base_version);
  }
  g_free(latest);
  return fit;
}

static bool extend(search *s, uint64_t version, uint64_t now, uint64_t read_called, guint need,
                   GString *why);

/* puts one order at the end of the chain, if its bounds allow, and searches on */
static bool try_order(search *s, guint i, uint64_t now, uint64_t read_called, guint need,
                      GString *why) {
  config_change *o = &s->orders[i];
  uint64_t at = MAX(MAX(now, o->called), read_called);
  if (at > o->known) {
    g_string_printf(why,
                    "order %u (%" PRIu64 " over %" PRIu64 ") would take effect at %" PRIu64
                    ", after it was seen at %" PRIu64,
                    i, o->version, o->base_version, at, o->known);
    return false;
  }
  if (o->failed && at >= o->failed - 1)
    return false;
  s->chain[s->length] = i;
  s->at[s->length++] = at;
  bool required = o->confirmed || o->read;
  if (extend(s, o->version, at, o->read_called, need + required, why))
    return true;
  s->length--;
  o->failed = at + 1;
  return false;
}

static bool extend(search *s, uint64_t version, uint64_t now, uint64_t read_called, guint need,
                   GString *why) {
  const config_change *next =
      need < s->required->len ? g_array_index(s->required, config_change *, need) : NULL;
  if (!next && conflicts_fit(s, why))
    return true;
  bool any = false;
  for (guint i = 0; i < s->h->orders->len; i++) {
    const config_change *o = &s->orders[i];
    if (o->base_version != version || o->version <= version || o->refused || !o->valid ||
        o->called == NEVER)
      continue;
    /* none that must be there may be passed over */
    if (next && (o->version > next->version || (o->version == next->version && o != next)))
      continue;
    any = true;
    if (try_order(s, i, now, read_called, need, why))
      return true;
  }
  if (!any && next)
    g_string_printf(why,
                    "nothing leads from version %" PRIu64 " to order %u (%" PRIu64 " over %" PRIu64
                    "), which was confirmed or read",
                    version, (guint)(next - s->orders), next->version, next->base_version);
  return false;
}

bool register_history_check(const register_history *h, GString *why) {
  if (h->fault->len) {
    g_string_assign(why, h->fault->str);
    return false;
  }
  if (!orders_fit(h, why))
    return false;
  search s = { .h = h,
               .orders = (config_change *)(void *)h->orders->data,
               .required = required_orders(h),
               .chain = g_new0(guint, h->orders->len + 1),
               .at = g_new0(uint64_t, h->orders->len + 1) };
  for (guint i = 0; i < h->orders->len; i++)
    s.orders[i].failed = 0;
  bool fit = extend(&s, 0, 0, 0, 0, why);
  if (fit)
    g_string_truncate(why, 0);
  g_array_free(s.required, TRUE);
  g_free(s.chain);
  g_free(s.at);
  return fit;
}
