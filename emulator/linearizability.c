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
enum { NOT_IN_CHAIN = -1, BEFORE_ALL = -2 };
static const uint64_t NEVER = UINT64_MAX;

typedef struct register_write {
  uint64_t base_version, version;
  /* it takes effect no earlier than its first call, and no later than the first return of a
   * confirmation or of a read of it */
  uint64_t called, effective_by;
  /* the next write on the chain takes effect no earlier than the last call of a read of this one */
  uint64_t read_called;
  bool valid, confirmed, refused, read;
  /* 1 + the earliest instant of effect at which the search found no chain through this write; 0: no
   * search failed */
  uint64_t failed_from;
} register_write;

typedef struct conflict {
  guint write;
  uint64_t called, returned;
} conflict;

struct register_history {
  GArray *writes, *conflicts;
  GString *contradiction;
};

typedef struct search {
  const register_history *history;
  register_write *writes;
  GArray *required;
  guint *chain;
  uint64_t *effective_at;
  guint length;
} search;

register_history *register_history_new(void) {
  register_history *history = g_new0(register_history, 1);
  history->writes = g_array_new(FALSE, TRUE, sizeof(register_write));
  history->conflicts = g_array_new(FALSE, TRUE, sizeof(conflict));
  history->contradiction = g_string_new(NULL);
  return history;
}

void register_history_free(register_history *history) {
  g_array_free(history->writes, TRUE);
  g_array_free(history->conflicts, TRUE);
  g_string_free(history->contradiction, TRUE);
  g_free(history);
}

static register_write *write_at(const register_history *history, guint i) {
  return &g_array_index(history->writes, register_write, i);
}

guint register_history_add_write(register_history *history, uint64_t base, uint64_t version,
                                 bool valid) {
  register_write write = {
    .base_version = base, .version = version, .called = NEVER, .effective_by = NEVER, .valid = valid
  };
  g_array_append_val(history->writes, write);
  return history->writes->len - 1;
}

void register_history_add_attempt(register_history *history, guint number, uint64_t called,
                                  uint64_t returned, enum register_outcome answer) {
  register_write *write = write_at(history, number);
  write->called = MIN(write->called, called);
  if (answer == REGISTER_OUTCOME_CONFIRMED) {
    write->confirmed = true;
    write->effective_by = MIN(write->effective_by, returned);
  }
  if (answer == REGISTER_OUTCOME_CONFLICT || answer == REGISTER_OUTCOME_INVALID)
    write->refused = true;
  if (answer == REGISTER_OUTCOME_INVALID && write->valid && !history->contradiction->len)
    g_string_printf(history->contradiction, "write %u is valid, but was rejected as invalid",
                    number);
  if (answer == REGISTER_OUTCOME_CONFLICT) {
    conflict conflict = { number, called, returned };
    g_array_append_val(history->conflicts, conflict);
  }
}

void register_history_add_read(register_history *history, guint number, uint64_t called,
                               uint64_t returned) {
  register_write *write = write_at(history, number);
  write->read = true;
  write->effective_by = MIN(write->effective_by, returned);
  write->read_called = MAX(write->read_called, called);
}

static int compare_versions(const void *a, const void *b) {
  const register_write *x = *(register_write *const *)a, *y = *(register_write *const *)b;
  return x->version < y->version ? -1 : x->version > y->version;
}

/* whether no write contradicts itself, regardless of the others */
static bool writes_are_consistent(const register_history *history, GString *why) {
  for (guint i = 0; i < history->writes->len; i++) {
    const register_write *write = write_at(history, i);
    const char *contradiction = NULL;
    if (write->confirmed && write->refused)
      contradiction = "was confirmed and refused";
    else if (write->read && write->refused)
      contradiction = "was refused, but read";
    else if ((write->confirmed || write->read) && !write->valid)
      contradiction = "is invalid, but was accepted";
    if (!contradiction)
      continue;
    g_string_printf(why, "write %u (version %" PRIu64 " on base %" PRIu64 ") %s", i, write->version,
                    write->base_version, contradiction);
    return false;
  }
  return true;
}

static GArray *required_writes(const register_history *history) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(register_write *));
  for (guint i = 0; i < history->writes->len; i++) {
    register_write *write = write_at(history, i);
    if (write->confirmed || write->read)
      g_array_append_val(all, write);
  }
  g_array_sort(all, compare_versions);
  return all;
}

/* the latest instant of effect that the chain allows for each of its writes */
static uint64_t *latest_instants(const search *search) {
  uint64_t *latest = g_new(uint64_t, search->length + 1);
  uint64_t next = NEVER;
  for (guint i = search->length; i-- > 0;) {
    latest[i] = MIN(next, search->writes[search->chain[i]].effective_by);
    next = latest[i];
  }
  return latest;
}

/* a conflict response is justified when at some instant of the call the base was not current */
static bool conflict_is_justified(const search *search, const uint64_t *latest,
                                  const conflict *conflict) {
  uint64_t base = search->writes[conflict->write].base_version;
  int base_position = base ? NOT_IN_CHAIN : BEFORE_ALL;
  for (guint i = 0; i < search->length && base; i++)
    if (search->writes[search->chain[i]].version == base)
      base_position = (int)i;
  if (base_position == NOT_IN_CHAIN)
    return true;
  guint next = base ? (guint)base_position + 1 : 0;
  bool replaced = next < search->length && search->effective_at[next] <= conflict->returned;
  bool not_current_yet = base && latest[base_position] >= conflict->called;
  return replaced || not_current_yet;
}

static bool conflicts_are_justified(const search *search, GString *why) {
  uint64_t *latest = latest_instants(search);
  bool justified = true;
  for (guint i = 0; i < search->history->conflicts->len && justified; i++) {
    const conflict *conflict = &g_array_index(search->history->conflicts, struct conflict, i);
    justified = conflict_is_justified(search, latest, conflict);
    if (!justified)
      g_string_printf(why, "write %u (on base %" PRIu64 ") was refused while its base was current",
                      conflict->write, search->writes[conflict->write].base_version);
  }
  g_free(latest);
  return justified;
}

static bool extend(search *search, uint64_t version, uint64_t now, uint64_t read_called,
                   guint required_index, GString *why);

/* appends one write to the chain, if its bounds allow, and continues the search; undoes it if that
 * fails */
static bool try_write(search *search, guint i, uint64_t now, uint64_t read_called,
                      guint required_index, GString *why) {
  register_write *write = &search->writes[i];
  uint64_t at = MAX(MAX(now, write->called), read_called);
  if (at > write->effective_by) {
    g_string_printf(why,
                    "write %u (version %" PRIu64 " on base %" PRIu64
                    ") would take effect at %" PRIu64
                    ", after it was confirmed or read at %" PRIu64,
                    i, write->version, write->base_version, at, write->effective_by);
    return false;
  }
  if (write->failed_from && at >= write->failed_from - 1)
    return false;
  search->chain[search->length] = i;
  search->effective_at[search->length++] = at;
  bool required = write->confirmed || write->read;
  if (extend(search, write->version, at, write->read_called, required_index + required, why))
    return true;
  search->length--;
  write->failed_from = at + 1;
  return false;
}

static bool extend(search *search, uint64_t version, uint64_t now, uint64_t read_called,
                   guint required_index, GString *why) {
  const register_write *next =
      required_index < search->required->len
          ? g_array_index(search->required, register_write *, required_index)
          : NULL;
  if (!next && conflicts_are_justified(search, why))
    return true;
  bool any = false;
  for (guint i = 0; i < search->history->writes->len; i++) {
    const register_write *write = &search->writes[i];
    if (write->base_version != version || write->version <= version || write->refused ||
        !write->valid || write->called == NEVER)
      continue;
    /* no required write may be skipped */
    if (next &&
        (write->version > next->version || (write->version == next->version && write != next)))
      continue;
    any = true;
    if (try_write(search, i, now, read_called, required_index, why))
      return true;
  }
  if (!any && next)
    g_string_printf(why,
                    "no write continues version %" PRIu64 " towards write %u (version %" PRIu64
                    " on base %" PRIu64 "), which was confirmed or read",
                    version, (guint)(next - search->writes), next->version, next->base_version);
  return false;
}

bool register_history_check(const register_history *history, GString *why) {
  if (history->contradiction->len) {
    g_string_assign(why, history->contradiction->str);
    return false;
  }
  if (!writes_are_consistent(history, why))
    return false;
  search state = { .history = history,
                   .writes = (register_write *)(void *)history->writes->data,
                   .required = required_writes(history),
                   .chain = g_new0(guint, history->writes->len + 1),
                   .effective_at = g_new0(uint64_t, history->writes->len + 1) };
  for (guint i = 0; i < history->writes->len; i++)
    state.writes[i].failed_from = 0;
  bool linearizable = extend(&state, 0, 0, 0, 0, why);
  if (linearizable)
    g_string_truncate(why, 0);
  g_array_free(state.required, TRUE);
  g_free(state.chain);
  g_free(state.effective_at);
  return linearizable;
}
