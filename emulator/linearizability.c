/** @file
 * Every write sets a higher version, so the writes that took effect form a chain in which each has
 * the version of the previous one as its base. The checker searches for such a chain: it must
 * contain every write that was confirmed or read and none that was refused, and every write on it
 * needs an instant of effect that is no earlier than the previous one's and within the bounds that
 * responses and reads set. Writes with an unknown outcome may or may not be on it. The search is
 * memoised by write: of two chains that end with the same write, the one with the earlier instant
 * allows every continuation that the other allows. Each conflict response is checked on its own
 * against the earliest and latest instants that the chain allows. */
#include "linearizability.h"

/** Positions in the chain of a base version that isn't on it, and of base 0. */
enum { NOWHERE = -1, BEFORE_ALL = -2 };
static const uint64_t NEVER = UINT64_MAX;

typedef struct config_change {
  uint64_t base_version, version;
  /* it takes effect no earlier than its first call, and no later than the first return of a
   * confirmation or of a read of it */
  uint64_t called, known;
  /* the next write on the chain takes effect no earlier than the last call of a read of this one */
  uint64_t read_called;
  bool valid, confirmed, refused, read;
  /* 1 + the instant from which on the search found no chain through this write; 0: none known */
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
  const register_history *history;
  config_change *orders;
  GArray *required;
  guint *chain;
  uint64_t *at;
  guint length;
} search;

register_history *register_history_new(void) {
  register_history *history = g_new0(register_history, 1);
  history->orders = g_array_new(FALSE, TRUE, sizeof(config_change));
  history->conflicts = g_array_new(FALSE, TRUE, sizeof(conflict));
  history->fault = g_string_new(NULL);
  return history;
}

void register_history_free(register_history *history) {
  g_array_free(history->orders, TRUE);
  g_array_free(history->conflicts, TRUE);
  g_string_free(history->fault, TRUE);
  g_free(history);
}

static config_change *order_at(const register_history *history, guint i) {
  return &g_array_index(history->orders, config_change, i);
}

guint register_history_add_order(register_history *history, uint64_t base, uint64_t version,
                                 bool valid) {
  config_change order = {
    .base_version = base, .version = version, .called = NEVER, .known = NEVER, .valid = valid
  };
  g_array_append_val(history->orders, order);
  return history->orders->len - 1;
}

void register_history_add_attempt(register_history *history, guint number, uint64_t called,
                                  uint64_t returned, enum register_answer answer) {
  config_change *order = order_at(history, number);
  order->called = MIN(order->called, called);
  if (answer == ANSWER_CONFIRMED) {
    order->confirmed = true;
    order->known = MIN(order->known, returned);
  }
  if (answer == ANSWER_CONFLICT || answer == ANSWER_INVALID)
    order->refused = true;
  if (answer == ANSWER_INVALID && order->valid && !history->fault->len)
    g_string_printf(history->fault, "write %u is valid, but was rejected as invalid", number);
  if (answer == ANSWER_CONFLICT) {
    conflict conflict = { number, called, returned };
    g_array_append_val(history->conflicts, conflict);
  }
}

void register_history_add_read(register_history *history, guint number, uint64_t called,
                               uint64_t returned) {
  config_change *order = order_at(history, number);
  order->read = true;
  order->known = MIN(order->known, returned);
  order->read_called = MAX(order->read_called, called);
}

static int compare_versions(const void *a, const void *b) {
  const config_change *x = *(config_change *const *)a, *y = *(config_change *const *)b;
  return x->version < y->version ? -1 : x->version > y->version;
}

/* whether no write contradicts itself, regardless of the others */
static bool orders_fit(const register_history *history, GString *why) {
  for (guint i = 0; i < history->orders->len; i++) {
    const config_change *order = order_at(history, i);
    const char *fault = NULL;
    if (order->confirmed && order->refused)
      fault = "was confirmed and refused";
    else if (order->read && order->refused)
      fault = "was refused, but read";
    else if ((order->confirmed || order->read) && !order->valid)
      fault = "is invalid, but was accepted";
    if (!fault)
      continue;
    g_string_printf(why, "write %u (version %" PRIu64 " on base %" PRIu64 ") %s", i, order->version,
                    order->base_version, fault);
    return false;
  }
  return true;
}

static GArray *required_orders(const register_history *history) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(config_change *));
  for (guint i = 0; i < history->orders->len; i++) {
    config_change *order = order_at(history, i);
    if (order->confirmed || order->read)
      g_array_append_val(all, order);
  }
  g_array_sort(all, compare_versions);
  return all;
}

/* the latest instant of effect that the chain allows for each of its writes */
static uint64_t *latest_instants(const search *search) {
  uint64_t *latest = g_new(uint64_t, search->length + 1);
  uint64_t next = NEVER;
  for (guint i = search->length; i-- > 0;) {
    latest[i] = MIN(next, search->orders[search->chain[i]].known);
    next = latest[i];
  }
  return latest;
}

/* a conflict response is justified when at some instant of the call the base was not current */
static bool conflict_fits(const search *search, const uint64_t *latest, const conflict *conflict) {
  uint64_t base = search->orders[conflict->order].base_version;
  int at = base ? NOWHERE : BEFORE_ALL;
  for (guint i = 0; i < search->length && base; i++)
    if (search->orders[search->chain[i]].version == base)
      at = (int)i;
  if (at == NOWHERE)
    return true;
  guint next = base ? (guint)at + 1 : 0;
  bool beaten = next < search->length && search->at[next] <= conflict->returned;
  bool not_yet = base && latest[at] >= conflict->called;
  return beaten || not_yet;
}

static bool conflicts_fit(const search *search, GString *why) {
  uint64_t *latest = latest_instants(search);
  bool fit = true;
  for (guint i = 0; i < search->history->conflicts->len && fit; i++) {
    const conflict *conflict = &g_array_index(search->history->conflicts, struct conflict, i);
    fit = conflict_fits(search, latest, conflict);
    if (!fit)
      g_string_printf(why, "write %u (on base %" PRIu64 ") was refused while its base was current",
                      conflict->order, search->orders[conflict->order].base_version);
  }
  g_free(latest);
  return fit;
}

static bool extend(search *search, uint64_t version, uint64_t now, uint64_t read_called, guint need,
                   GString *why);

/* appends one write to the chain, if its bounds allow, and continues the search; undoes it if that
 * fails */
static bool try_order(search *search, guint i, uint64_t now, uint64_t read_called, guint need,
                      GString *why) {
  config_change *order = &search->orders[i];
  uint64_t at = MAX(MAX(now, order->called), read_called);
  if (at > order->known) {
    g_string_printf(why,
                    "write %u (version %" PRIu64 " on base %" PRIu64
                    ") would take effect at %" PRIu64
                    ", after it was confirmed or read at %" PRIu64,
                    i, order->version, order->base_version, at, order->known);
    return false;
  }
  if (order->failed && at >= order->failed - 1)
    return false;
  search->chain[search->length] = i;
  search->at[search->length++] = at;
  bool required = order->confirmed || order->read;
  if (extend(search, order->version, at, order->read_called, need + required, why))
    return true;
  search->length--;
  order->failed = at + 1;
  return false;
}

static bool extend(search *search, uint64_t version, uint64_t now, uint64_t read_called, guint need,
                   GString *why) {
  const config_change *next =
      need < search->required->len ? g_array_index(search->required, config_change *, need) : NULL;
  if (!next && conflicts_fit(search, why))
    return true;
  bool any = false;
  for (guint i = 0; i < search->history->orders->len; i++) {
    const config_change *order = &search->orders[i];
    if (order->base_version != version || order->version <= version || order->refused ||
        !order->valid || order->called == NEVER)
      continue;
    /* no required write may be skipped */
    if (next &&
        (order->version > next->version || (order->version == next->version && order != next)))
      continue;
    any = true;
    if (try_order(search, i, now, read_called, need, why))
      return true;
  }
  if (!any && next)
    g_string_printf(why,
                    "no write continues version %" PRIu64 " towards write %u (version %" PRIu64
                    " on base %" PRIu64 "), which was confirmed or read",
                    version, (guint)(next - search->orders), next->version, next->base_version);
  return false;
}

bool register_history_check(const register_history *history, GString *why) {
  if (history->fault->len) {
    g_string_assign(why, history->fault->str);
    return false;
  }
  if (!orders_fit(history, why))
    return false;
  search state = { .history = history,
                   .orders = (config_change *)(void *)history->orders->data,
                   .required = required_orders(history),
                   .chain = g_new0(guint, history->orders->len + 1),
                   .at = g_new0(uint64_t, history->orders->len + 1) };
  for (guint i = 0; i < history->orders->len; i++)
    state.orders[i].failed = 0;
  bool fit = extend(&state, 0, 0, 0, 0, why);
  if (fit)
    g_string_truncate(why, 0);
  g_array_free(state.required, TRUE);
  g_free(state.chain);
  g_free(state.at);
  return fit;
}
