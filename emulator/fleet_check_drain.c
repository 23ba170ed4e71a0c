/** @file
 * R6 and R7: engines that are draining, or are in an evacuated zone, get neither streams nor loads.
 */
#include "fleet_check_records.h"
#include <stdio.h>

enum {
  /** Time until no router sends work to an engine that the platform shows as draining. */
  DRAIN_NOTICE_MS = 3000,
  /** The same for engines in a zone whose evacuation was acknowledged. */
  EVACUATION_MS = 5000
};

/** Number of hash values (2^53) over which a partial evacuation's share of the engines is taken,
 * and the shift that reduces a hash to 53 bits. */
static const double HASH_RANGE = 9007199254740992.0;
enum { HASH_SHIFT = 11 };

static bool is_draining_before(const GArray *changes, guint position) {
  const platform_sim_change *change = &g_array_index(changes, platform_sim_change, position);
  bool draining = false;
  for (guint i = 0; i < position; i++) {
    const platform_sim_change *earlier = &g_array_index(changes, platform_sim_change, i);
    if (id_equal(earlier->engine, change->engine))
      draining = earlier->draining;
  }
  return draining;
}

/* when the platform stopped showing the engine of a change as draining */
static time_us draining_until(const GArray *changes, guint position) {
  const platform_sim_change *change = &g_array_index(changes, platform_sim_change, position);
  for (guint i = position + 1; i < changes->len; i++) {
    const platform_sim_change *later = &g_array_index(changes, platform_sim_change, i);
    if (id_equal(later->engine, change->engine) && !later->draining)
      return later->changed_at;
  }
  return time_never();
}

/* when an engine began to drain, and the span in which it must get no work */
typedef struct drain_span {
  time_us began_at, from, until;
} drain_span;

static bool is_within(const drain_span *span, time_us at) {
  return at.us > span->from.us && at.us < span->until.us;
}

static bool is_load(const engine_sim_order *order) {
  return order->kind == 'l' && !order->after_freeze;
}

static void check_drained_streams(fleet *fleet, const host *host, const engine_sim *engine,
                                  const drain_span *span) {
  for (guint i = 0; i < engine->streams->len; i++) {
    const engine_sim_stream *run = &g_array_index(engine->streams, engine_sim_stream, i);
    if (!is_within(span, run->started_at))
      continue;
    fleet_add_violation(fleet, "R6 %s got a stream %.2f s after it began to drain", host->self.text,
                        (double)time_sub(run->started_at, span->began_at).us / 1e6);
    return;
  }
}

static void check_drained_loads(fleet *fleet, const host *host, const engine_sim *engine,
                                const drain_span *span) {
  for (guint i = 0; i < engine->orders->len; i++) {
    const engine_sim_order *order = &g_array_index(engine->orders, engine_sim_order, i);
    if (!is_load(order) || !is_within(span, order->received_at))
      continue;
    fleet_add_violation(fleet, "R6 %s got a load %.2f s after it began to drain", host->self.text,
                        (double)time_sub(order->received_at, span->began_at).us / 1e6);
    return;
  }
}

static void check_drained_process(fleet *fleet, const host *host, const engine_sim *engine,
                                  const drain_span *span) {
  check_drained_streams(fleet, host, engine, span);
  check_drained_loads(fleet, host, engine, span);
}

static void check_drained_engine(fleet *fleet, const host *host, const drain_span *span) {
  for (guint i = 0; i < host->past_engines->len; i++)
    check_drained_process(fleet, host, host->past_engines->pdata[i], span);
  if (host->engine)
    check_drained_process(fleet, host, host->engine, span);
}

void fleet_check_draining(fleet *fleet) {
  const GArray *changes = fleet->platform->platform->changes;
  for (guint i = 0; i < changes->len; i++) {
    const platform_sim_change *change = &g_array_index(changes, platform_sim_change, i);
    const host *host = sim_find_host(fleet->sim, change->engine.text);
    if (!host || !change->draining || is_draining_before(changes, i))
      continue;
    time_us from = time_add(change->changed_at, time_from_ms(DRAIN_NOTICE_MS));
    drain_span span = { change->changed_at, from, draining_until(changes, i) };
    check_drained_engine(fleet, host, &span);
  }
}

/* whether an evacuation written by the operator covers an engine; a share below 1 covers the
 * engines whose hashed name, scaled to [0, 1), lies below it */
static bool evacuation_covers(const operator_write *write, const host *host) {
  json *evacuation = json_parse(string_view_of(write->text ? write->text : ""), NULL);
  const json *zones = json_get(evacuation, "areas");
  uint64_t hash = hash_two_names("empty", host->self.text) >> HASH_SHIFT;
  bool covers = false;
  for (size_t i = 0; i < json_count(zones); i++) {
    double share = json_number(json_at(zones, i), "share", 1);
    if (!strcmp(json_text(json_at(zones, i), "area", ""), host->zone.text))
      covers |= share >= 1 || (double)hash / HASH_RANGE < share;
  }
  json_free(evacuation);
  return covers;
}

/* the version of a write: its own, or that of an acknowledged attempt with the same idempotency
 * key; 0 when it is not known */
static uint64_t written_version(const fleet *fleet, const operator_write *write) {
  if (write->status == 200)
    return write->version;
  for (guint i = 0; write->idempotency_key[0] && i < fleet->writes->len; i++) {
    const operator_write *other = fleet->writes->pdata[i];
    if (other->status == 200 && !strcmp(other->idempotency_key, write->idempotency_key))
      return other->version;
  }
  return 0;
}

/* the newest evacuation that was acknowledged early enough to be in force at an instant, or NULL */
static const operator_write *required_evacuation(const fleet *fleet, time_us at) {
  const operator_write *required = NULL;
  for (guint i = 0; i < fleet->writes->len; i++) {
    const operator_write *write = fleet->writes->pdata[i];
    if (write->resource == RESOURCE_EVACUATION && write->status == 200 &&
        write->ended_at.us + EVACUATION_MS * 1000 < at.us &&
        (!required || write->version > required->version))
      required = write;
  }
  return required;
}

/* whether an evacuation may be in force at an instant: not if it was refused or reported as not
 * written, but possibly if its outcome is unknown */
static bool may_be_in_force(const fleet *fleet, const operator_write *write,
                            const operator_write *required, time_us at) {
  if (write->resource != RESOURCE_EVACUATION || write->sent_at.us > at.us)
    return false;
  if ((write->status >= 400 && write->status < 500) || write->status == 503)
    return false;
  uint64_t version = written_version(fleet, write);
  return !version || version >= required->version;
}

enum evacuation_coverage { COVERAGE_UNKNOWN, ENGINE_COVERED, ENGINE_NOT_COVERED };

/* evacuation_covers with a cache by write and host, since that function parses the write's text */
static bool evacuation_covers_cached(GHashTable *cache, const operator_write *write,
                                     const host *host) {
  char key[160];
  snprintf(key, sizeof key, "%p %s", (const void *)write, host->self.text);
  enum evacuation_coverage coverage = GPOINTER_TO_INT(g_hash_table_lookup(cache, key));
  if (coverage == COVERAGE_UNKNOWN) {
    coverage = evacuation_covers(write, host) ? ENGINE_COVERED : ENGINE_NOT_COVERED;
    g_hash_table_insert(cache, g_strdup(key), GINT_TO_POINTER(coverage));
  }
  return coverage == ENGINE_COVERED;
}

/* whether every evacuation that may be in force at an instant covers an engine, and one has been
 * acknowledged for long enough */
static bool is_evacuated(const fleet *fleet, const host *host, time_us at, GHashTable *cache) {
  const operator_write *required = required_evacuation(fleet, at);
  if (!required)
    return false;
  for (guint i = 0; i < fleet->writes->len; i++) {
    const operator_write *write = fleet->writes->pdata[i];
    if (may_be_in_force(fleet, write, required, at) &&
        !evacuation_covers_cached(cache, write, host))
      return false;
  }
  return true;
}

static void check_evacuated_streams(fleet *fleet, const host *host, const engine_sim *engine,
                                    GHashTable *cache) {
  for (guint i = 0; i < engine->streams->len; i++) {
    const engine_sim_stream *run = &g_array_index(engine->streams, engine_sim_stream, i);
    if (!is_evacuated(fleet, host, run->started_at, cache))
      continue;
    fleet_add_violation(fleet, "R7 %s is in an evacuated zone and got a stream at %.2f",
                        host->self.text, (double)run->started_at.us / 1e6);
    return;
  }
}

static void check_evacuated_loads(fleet *fleet, const host *host, const engine_sim *engine,
                                  GHashTable *cache) {
  for (guint i = 0; i < engine->orders->len; i++) {
    const engine_sim_order *order = &g_array_index(engine->orders, engine_sim_order, i);
    if (!is_load(order) || !is_evacuated(fleet, host, order->received_at, cache))
      continue;
    fleet_add_violation(fleet, "R7 %s is in an evacuated zone and got a load at %.2f",
                        host->self.text, (double)order->received_at.us / 1e6);
    return;
  }
}

static void check_engine_evacuated(fleet *fleet, host *host, engine_sim *engine, void *cache) {
  check_evacuated_streams(fleet, host, engine, cache);
  check_evacuated_loads(fleet, host, engine, cache);
}

static bool was_evacuated(const fleet *fleet) {
  for (guint i = 0; i < fleet->writes->len; i++)
    if (((const operator_write *)fleet->writes->pdata[i])->resource == RESOURCE_EVACUATION)
      return true;
  return false;
}

void fleet_check_evacuated(fleet *fleet) {
  if (!was_evacuated(fleet))
    return;
  GHashTable *cache = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  fleet_each_engine_sim(fleet, check_engine_evacuated, cache);
  g_hash_table_destroy(cache);
}
