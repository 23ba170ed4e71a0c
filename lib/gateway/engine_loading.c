/** One load on one engine, at the gateway that holds the engine's lease.
 *
 * The steps: evict residents to free capacity; get a permit from the load rate limiter if the
 * weights come from the store; check the capacity again and send the order; wait until the engine
 * confirms it. Between two steps the configuration, the lease or the engine may have changed, so
 * each step reads the state again.
 *
 * An order whose response was lost may have been accepted. It is never resent blindly: the engine's
 * report shows whether it was accepted. */
#include "engine_loading.h"
#include "gateway.h"

enum {
  /* evictions for one load */
  MAX_EVICTIONS = 24,
  /* attempts to send an order; a failed connection is tolerated only in the first
     MAX_UNREACHABLE_ATTEMPTS */
  MAX_SEND_ATTEMPTS = 40,
  MAX_UNREACHABLE_ATTEMPTS = 3,
  /* how often and for how long a permit is waited for here; beyond that the coordinator chooses
     again */
  MAX_PERMIT_ATTEMPTS = 6,
  MAX_PERMIT_WAIT_MS = 1500,
  PERMIT_SLEEP_MIN_MS = 20,
  PERMIT_SLEEP_MAX_MS = 600,
  /* delay before the next attempt after a conflict with another order, and after a failed
     connection */
  CONFLICT_SLEEP_MS = 60,
  UNREACHABLE_SLEEP_MS = 100,
  /* from sending an order to the start of its load */
  ORDER_OVERHEAD_MS = 20,
  /* reports read while an engine is busy with an order, and the time between them */
  MAX_BUSY_REPORTS = 60,
  MAX_SYNC_REPORTS = 30,
  BUSY_SLEEP_MS = 150,
  /* an order with an unknown outcome: time between reports, and until it counts as failed */
  UNKNOWN_ORDER_SLEEP_MS = 250,
  UNKNOWN_ORDER_TIMEOUT_MS = 12000,
  /* the first polls of a load repeat the order, whose status says whether it is done; later ones
     read reports, which cost the engine less */
  MAX_MODEL_ORDER_POLLS = 3,
  MAX_ADAPTER_ORDER_POLLS = 12,
  /* polls after which the order is repeated again if the report says that the engine is idle */
  MAX_IDLE_POLLS = 6,
  /* the number of polls before the interval grows by SLOW_POLL_FACTOR */
  FAST_POLLS = 4,
  /* one in this many adapter loads is polled although the load time is known, to keep learning it
   */
  POLL_ONE_IN = 6,
  /* one in this many load times is sent to the other gateways of a large fleet */
  BROADCAST_ONE_IN = 8,
  /* orders of a former lease holder have ended once its lease and this margin have passed; after a
     takeover, reports are trusted only after TAKEOVER_DELAY_MS */
  LEASE_DEFAULT_MS = 3000,
  LEASE_MARGIN_MS = 200,
  TAKEOVER_DELAY_MS = 600,
  /* retry-after times for the coordinator, by cause */
  RETRY_NO_CAPACITY_MS = 1000,
  RETRY_EVICTION_FAILED_MS = 500,
  RETRY_NOT_ACCEPTED_MS = 1000,
  RETRY_NO_REPORT_MS = 300,
  RETRY_NO_SYNC_MS = 400,
  RETRY_CAPACITY_TAKEN_MS = 300,
  RETRY_REFUSED_MS = 5000,
  RETRY_UNREACHABLE_MS = 500,
  RETRY_GIVEN_UP_MS = 200,
  RETRY_TOO_LONG_MS = 1000,
  RETRY_COST_CHANGED_MS = 20,
  /* mean delay between the end of a load and the report that shows it */
  REPORT_DELAY_MS = 200
};
/* A load has failed when it takes longer than its expected time multiplied by this factor, plus the
 * extra time. */
static const double MAX_EXPECTED_TIMES = 6, MAX_EXPECTED_EXTRA_MS = 8000;
/* Delay of the first poll of a load beyond its expected time; the load times of adapters vary more.
 */
static const double MODEL_FIRST_POLL_EXTRA_MS = 2, ADAPTER_FIRST_POLL_FACTOR = 1.4,
                    ADAPTER_FIRST_POLL_EXTRA_MS = 6;
/* Poll interval: for a model a share of its expected load time, within bounds; for an adapter in
 * ms. */
static const double MODEL_POLL_SHARE = 0.06, MODEL_POLL_MIN_MS = 40, MODEL_POLL_MAX_MS = 150,
                    ADAPTER_POLL_MS = 15, SLOW_POLL_FACTOR = 1.5;
/* A load that is done at the first poll may have ended earlier: this share of the time is recorded.
 */
static const double FIRST_POLL_MODEL_SHARE = 0.97, FIRST_POLL_ADAPTER_SHARE = 0.6;
/* A model load that takes less than this share of its expected time has used weights that an
 * earlier process run left on the engine's disk. It is not recorded as a load time of the store. */
static const double MIN_STORE_LOAD_SHARE = 0.6;

/** State of one load order. */
typedef struct engine_load_order {
  gateway_engine *engine;
  gateway *gateway;
  load_job *job;
  id service, model, adapter;
  /** is_base: loads a model, not an adapter; from_disk: from the engine's own disk. */
  bool is_base, from_disk;
  double mb;
  unsigned slots;
  double expected_ms;
  char key[140];
  /** When the permit expires, and when the order was last sent. */
  time_us send_by, began_at;
  /** Result of the last engine_order_send. */
  int status;
  int conflicts;
  /** reserved: its capacity is reserved; accepted: the engine is known to have accepted the order.
   */
  bool reserved, accepted;
  /** The load was taken as done after the expected time, without polling: the load time of adapters
   * is known. */
  bool assumed;
  int polls;
  bool polled_by_report;
  int64_t *retry_after_ms;
  error *err;
} engine_load_order;

static enum error_code fail(const engine_load_order *order, enum error_code code,
                            int64_t retry_after_ms, const char *what) {
  *order->retry_after_ms = retry_after_ms;
  return error_set(order->err, code, "%s %s %s", order->engine->engine_id.text, what, order->key);
}

/* The capacity in use on an engine: the maximum of the known residents and the capacity account.
 * Returns the number of eviction candidates. */
static int used_capacity(gateway_engine *engine, const service *service, id model, id adapter,
                         eviction_candidate *candidates, double *mb, unsigned *slots) {
  int count = eviction_candidates(engine, service, model, adapter, candidates, mb, slots);
  double account_mb;
  unsigned account_slots;
  capacity_account_used(&engine->capacity, service, &account_mb, &account_slots);
  if (account_mb > *mb || account_slots > *slots)
    log_debug(
        &engine->gateway->router->node.log, "place",
        "Engine %s uses %.0f MB and %u adapter slots by its capacity account, %.0f MB and %u by its "
        "known residents.",
        engine->engine_id.text, account_mb, account_slots, *mb, *slots);
  *mb = MAX(*mb, account_mb);
  *slots = MAX(*slots, account_slots);
  return count;
}

/* unloads the first of the chosen candidates; if its model was chosen too, unloads the model, which
 * removes its adapters */
static enum error_code evict_one(gateway_engine *engine, const eviction_candidate *chosen,
                                 int count, bool expected_idle, error *err) {
  id adapter = chosen[0].adapter;
  for (int i = 0; i < count; i++)
    if (id_equal(chosen[i].model, chosen[0].model) && id_is_empty(chosen[i].adapter))
      adapter = id_none;
  return engine_order_unload(engine, chosen[0].model, adapter, expected_idle, err);
}

/* Frees capacity by the eviction policy: the candidates with the lowest utility first, and no more
 * than needed. idle_only: nothing with running requests may be evicted, since a drain delays the
 * engine's other orders. */
static enum error_code evict_for_load(gateway_engine *engine, id model, id adapter, double mb,
                                      unsigned slots, bool idle_only, error *err) {
  gateway *gateway = engine->gateway;
  eviction_candidate candidates[MAX_EVICTION_CANDIDATES];
  for (int evictions = 0; evictions < MAX_EVICTIONS; evictions++) {
    double used_mb;
    unsigned used_slots;
    const service *service = gateway_service_of(gateway, engine->service);
    if (!service)
      return error_set(err, E_UNKNOWN_MODEL, "no such service");
    int count = used_capacity(engine, service, model, adapter, candidates, &used_mb, &used_slots);
    capacity_shortage shortage = eviction_shortage(service, used_mb, used_slots, mb, slots);
    if (!shortage.mb && !shortage.slots)
      return OK;
    eviction_rule rule = eviction_policy(gateway);
    int chosen = eviction_policy_select(&rule, candidates, count, shortage, eviction_random,
                                        gateway->router->node.world);
    if (chosen <= 0)
      return error_set(err, E_NO_CAPACITY, "nothing on %s may be unloaded for %s now",
                       engine->engine_id.text, model.text);
    bool expected_idle = true;
    for (int i = 0; i < chosen; i++)
      expected_idle &= !candidates[i].busy;
    if (idle_only && !expected_idle)
      return error_set(err, E_NO_CAPACITY, "all that could be unloaded from %s for %s runs",
                       engine->engine_id.text, model.text);
    log_debug(
        &gateway->router->node.log, "place",
        "%s is evicted from %s for %s+%s: %.2f requests/s per replica, utility %.0f, one of %d.",
        candidates[0].model.text, engine->engine_id.text, model.text, adapter.text,
        candidates[0].request_rate, candidates[0].load_ms * candidates[0].request_rate, chosen);
    enum error_code code = evict_one(engine, candidates, chosen, expected_idle, err);
    if (code && code != E_MODEL_IN_USE)
      return code;
  }
  return error_set(err, E_NO_CAPACITY, "%s found no room in time", engine->engine_id.text);
}

/* the time from which a report of the engine includes all orders of former lease holders and of
 * this gateway */
static time_us reports_are_current_at(const gateway_engine *engine, uint64_t epoch) {
  const gateway *gateway = engine->gateway;
  char name[64];
  singleton_engine_name(name, sizeof name, engine->engine_id);
  const singleton_lease *lease = singleton_lease_find(gateway->router, name);
  int64_t lease_ms =
      (gateway->settings.lease_ms > 0 ? gateway->settings.lease_ms : LEASE_DEFAULT_MS) +
      LEASE_MARGIN_MS;
  time_us at = lease->acquired_at;
  if (epoch > 1)
    at = time_add(at, time_from_ms(TAKEOVER_DELAY_MS));
  time_us peer_ordered_at = engine->orders.peer_ordered_at;
  if (peer_ordered_at.us)
    at.us = MAX(at.us, time_add(peer_ordered_at, time_from_ms(lease_ms)).us);
  time_us changed_at = engine->capacity.changed_at;
  at.us = MAX(at.us, time_add(changed_at, time_from_ms(ENGINE_REPORT_LAG_MS)).us);
  return at;
}

/* Reads the residents from the engine itself; needed by a new lease holder, and after an order with
 * an unknown outcome. */
static enum error_code sync_engine_state(gateway_engine *engine, error *err) {
  gateway *gateway = engine->gateway;
  uint64_t epoch = engine_order_epoch(engine);
  if (!epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "no lease on %s", engine->engine_id.text);
  if (engine->load_jobs.residents_epoch == epoch && engine->capacity.is_known)
    return OK;
  if (engine->load_jobs.residents_epoch != epoch)
    capacity_account_discard(&engine->capacity, engine->capacity.changed_at);
  enum error_code code;
  time_us now = gateway_now(gateway), current_at = reports_are_current_at(engine, epoch);
  if (current_at.us > now.us &&
      (code = engine_order_sleep(engine, (double)time_sub(current_at, now).us / 1000, err)))
    return code;
  bool busy = true;
  int running;
  for (int reports = 0; reports < MAX_SYNC_REPORTS && busy; reports++) {
    if (!engine_order_fetch_report(engine, &busy, &running, err))
      return error_set(err, E_NO_ENGINE, "%s does not report", engine->engine_id.text);
    if (busy && (code = engine_order_sleep(engine, BUSY_SLEEP_MS, err)))
      return code;
  }
  /* reports don't include a load in progress, and the capacity that it will use looks free */
  if (busy)
    return error_set(err, E_NO_ENGINE, "%s is busy with another's order", engine->engine_id.text);
  if (!engine->capacity.is_known)
    return error_set(err, E_NO_ENGINE, "%s has just taken another's order", engine->engine_id.text);
  if (engine_order_epoch(engine) != epoch)
    return error_set(err, E_NO_LEASE_HOLDER, "no lease on %s", engine->engine_id.text);
  engine->load_jobs.reserved_mb = 0;
  engine->load_jobs.reserved_slots = 0;
  engine->load_jobs.residents_epoch = epoch;
  return OK;
}

static void reserve(engine_load_order *order) {
  order->engine->load_jobs.reserved_mb += order->mb;
  order->engine->load_jobs.reserved_slots += order->slots;
  order->reserved = true;
}

static void unreserve(engine_load_order *order) {
  engine_load_jobs *jobs = &order->engine->load_jobs;
  if (!order->reserved)
    return;
  jobs->reserved_mb = MAX(0, jobs->reserved_mb - order->mb);
  jobs->reserved_slots -= MIN(jobs->reserved_slots, order->slots);
  order->reserved = false;
}

static void count_failure(const engine_load_order *order, enum error_code code) {
  if (code != E_ORDER_FAILED)
    return;
  order->gateway->consecutive_load_failures++;
  order->gateway->counts.failed_loads++;
}

/* the service in the current configuration; NULL with the error set when there is none */
static const service *current_service(const engine_load_order *order) {
  const service *service = gateway_service_of(order->gateway, order->service);
  if (!service)
    error_set(order->err, E_UNKNOWN_MODEL, "no such service");
  return service;
}

static bool needs_permit(const engine_load_order *order, int attempt) {
  return order->is_base && !order->from_disk &&
         (attempt == 0 || time_reached(gateway_now(order->gateway), order->send_by));
}

/* gets a permit from the load rate limiter; *again: it was refused, and has to be requested again
 * after the wait */
static enum error_code acquire_permit(engine_load_order *order, int attempt, const service *service,
                                      bool *again) {
  gateway_engine *engine = order->engine;
  int64_t *wait_ms = order->retry_after_ms;
  enum error_code code = load_rate_limiter_request_permit(engine, service, order->key,
                                                          &order->send_by, wait_ms, order->err);
  if (code != E_LOAD_RATE_LIMITED || *wait_ms >= MAX_PERMIT_WAIT_MS ||
      engine_order_stopping(engine) || attempt >= MAX_PERMIT_ATTEMPTS)
    return code;
  order->job->expected_at =
      gateway_deadline_in_ms(order->gateway, (double)*wait_ms + order->expected_ms);
  order->send_by = (time_us){ 0 };
  *again = true;
  double sleep_ms = (double)CLAMP(*wait_ms, PERMIT_SLEEP_MIN_MS, PERMIT_SLEEP_MAX_MS);
  return engine_order_sleep(engine, sleep_ms, order->err);
}

/* An engine that is loaded beyond its memory crashes, so before a model load its residents must be
 * known from a recent report of the engine itself. */
static enum error_code require_recent_report(engine_load_order *order) {
  gateway_engine *engine = order->engine;
  time_us reported_at = engine->orders.reported_at;
  bool busy;
  int running;
  if (!order->is_base || (reported_at.us && gateway_ms_since(order->gateway, reported_at) <=
                                                ENGINE_IDENTITY_MAX_AGE_MS))
    return OK;
  if (engine_order_fetch_report(engine, &busy, &running, order->err))
    return OK;
  *order->retry_after_ms = RETRY_NO_REPORT_MS;
  return error_set(order->err, E_NO_ENGINE, "%s does not report", engine->engine_id.text);
}

/* checks that the capacity is still free, since another load may have taken it during the wait for
 * a permit */
static enum error_code check_capacity(engine_load_order *order) {
  gateway_engine *engine = order->engine;
  const service *service = current_service(order);
  if (!service)
    return E_UNKNOWN_MODEL;
  eviction_candidate candidates[MAX_EVICTION_CANDIDATES];
  double used_mb;
  unsigned used_slots;
  used_capacity(engine, service, order->model, order->adapter, candidates, &used_mb, &used_slots);
  capacity_shortage shortage =
      eviction_shortage(service, used_mb, used_slots, order->mb, order->slots);
  if (shortage.mb || shortage.slots) {
    *order->retry_after_ms = RETRY_CAPACITY_TAKEN_MS;
    return error_set(order->err, E_NO_CAPACITY, "the room on %s went", engine->engine_id.text);
  }
  return OK;
}

/* checks all conditions for sending an order; *again: start over, *resident: the model is loaded
 * already */
static enum error_code prepare(engine_load_order *order, int attempt, bool *again, bool *resident) {
  gateway_engine *engine = order->engine;
  const service *service = current_service(order);
  if (!service)
    return E_UNKNOWN_MODEL;
  if (engine->draining)
    return error_set(order->err, E_NO_ENGINE, "%s is draining", engine->engine_id.text);
  enum error_code code;
  if (needs_permit(order, attempt)) {
    code = acquire_permit(order, attempt, service, again);
    if (code || *again)
      return code;
    if (!current_service(order))
      return E_UNKNOWN_MODEL;
  }
  if ((code = require_recent_report(order)))
    return code;
  if (!current_service(order))
    return E_UNKNOWN_MODEL;
  if (order->is_base && gateway_engine_resident(engine, order->model)) {
    *resident = true;
    return OK;
  }
  if ((code = sync_engine_state(engine, order->err))) {
    *order->retry_after_ms = RETRY_NO_SYNC_MS;
    return code;
  }
  return check_capacity(order);
}

static void send_order(engine_load_order *order) {
  gateway_engine *engine = order->engine;
  order->began_at = gateway_now(order->gateway);
  order->job->expected_at =
      gateway_deadline_in_ms(order->gateway, order->expected_ms + ORDER_OVERHEAD_MS);
  reserve(order);
  order->status =
      engine_order_send(engine, true, order->model, order->adapter,
                        (int64_t)engine->capacity.order_count, order->send_by, order->err);
}

/* waits until the conflicting order has been executed; its result shows only in a later report */
static enum error_code wait_while_busy(engine_load_order *order) {
  gateway_engine *engine = order->engine;
  bool busy = true;
  int running;
  for (int reports = 0; busy && reports < MAX_BUSY_REPORTS; reports++) {
    if (!engine_order_fetch_report(engine, &busy, &running, order->err))
      return error_set(order->err, E_NO_ENGINE, "%s does not report", engine->engine_id.text);
    enum error_code code = busy ? engine_order_sleep(engine, BUSY_SLEEP_MS, order->err) : OK;
    if (code)
      return code;
  }
  return busy ? error_set(order->err, E_NO_ENGINE, "%s is busy with another's order",
                          engine->engine_id.text)
              : OK;
}

/* handles an order that the engine has not accepted; OK when it may be sent again */
static enum error_code handle_refusal(engine_load_order *order, int attempt) {
  gateway_engine *engine = order->engine;
  error *err = order->err;
  unreserve(order);
  switch (order->status) {
  case ENGINE_ORDER_NOT_ALLOWED:
    return err->code;
  case 421:
    return error_set(err, E_NO_ENGINE, "%s is another engine now", engine->engine_id.text);
  case 400:
  case 404:
    *order->retry_after_ms = RETRY_REFUSED_MS;
    return E_ORDER_FAILED;
  }
  if (order->status == ENGINE_ORDER_NOT_SENT && attempt >= MAX_UNREACHABLE_ATTEMPTS) {
    *order->retry_after_ms = RETRY_UNREACHABLE_MS;
    return error_set(err, E_NO_ENGINE, "%s can't be reached", engine->engine_id.text);
  }
  bool conflict = order->status == 409;
  enum error_code code =
      engine_order_sleep(engine, conflict ? CONFLICT_SLEEP_MS : UNREACHABLE_SLEEP_MS, err);
  if (code || !conflict)
    return code;
  if (++order->conflicts > 1)
    capacity_account_discard(&engine->capacity, gateway_now(order->gateway));
  code = wait_while_busy(order);
  if (code)
    *order->retry_after_ms = RETRY_UNREACHABLE_MS;
  return code;
}

/* sends the order until the engine has accepted it, or may have; *resident: the model is loaded
 * already */
static enum error_code send_until_accepted(engine_load_order *order, bool *resident) {
  for (int attempt = 0; attempt < MAX_SEND_ATTEMPTS; attempt++) {
    bool again = false;
    enum error_code code = prepare(order, attempt, &again, resident);
    if (code || *resident)
      return code;
    if (again)
      continue;
    send_order(order);
    if (order->status == 200 || order->status == 202 || order->status == ENGINE_ORDER_UNKNOWN)
      return OK;
    code = handle_refusal(order, attempt);
    if (code)
      return code;
  }
  return fail(order, E_ORDER_FAILED, RETRY_NOT_ACCEPTED_MS, "does not accept the load of");
}

/* counts the load, and notifies the gateways that may take over the lease that an order is in
 * progress */
static void record_accepted_order(const engine_load_order *order) {
  gateway *gateway = order->gateway;
  gateway_engine *engine = order->engine;
  gateway->counts.loads++;
  gateway->router->loading.load_count++;
  Wire__LoadPermitRequest taken = WIRE__LOAD_PERMIT_REQUEST__INIT;
  taken.engine = engine->engine_id.text;
  taken.key = "";
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_LOAD_PERMIT_REQUEST, &taken);
  char name[64];
  singleton_engine_name(name, sizeof name, engine->engine_id);
  singleton_successors_broadcast(gateway, name, &message);
}

/* reads a report to find out whether an order without a response was accepted; only a report
 * requested after the order shows it */
static enum error_code confirm_accepted(engine_load_order *order, bool *again, bool *loaded) {
  gateway_engine *engine = order->engine;
  bool busy;
  int running;
  if (!engine_order_fetch_report(engine, &busy, &running, order->err)) {
    if (gateway_ms_since(order->gateway, order->began_at) > UNKNOWN_ORDER_TIMEOUT_MS)
      return E_ORDER_FAILED;
    *again = true;
    return engine_order_sleep(engine, UNKNOWN_ORDER_SLEEP_MS, order->err);
  }
  *loaded = gateway_engine_has_model(engine, order->model, order->adapter);
  if (*loaded)
    return OK;
  if (!busy) {
    unreserve(order);
    return fail(order, E_ORDER_FAILED, RETRY_GIVEN_UP_MS, "did not accept the load of");
  }
  order->accepted = true;
  return OK;
}

/* Repeats the order, which returns 200 once the load is done. While the account contains this load,
 * the repetition can't start another one: the engine would refuse it because the number of orders
 * differs. */
static enum error_code poll_by_order(engine_load_order *order, bool *loaded) {
  gateway_engine *engine = order->engine;
  int status = engine_order_send(engine, true, order->model, order->adapter,
                                 (int64_t)engine->capacity.order_count, time_never(), order->err);
  *loaded = status == 200;
  if (status == 421)
    return error_set(order->err, E_NO_ENGINE, "%s is another engine now", engine->engine_id.text);
  return status == ENGINE_ORDER_NOT_ALLOWED ? order->err->code : OK;
}

static enum error_code poll_by_report(engine_load_order *order, bool *loaded) {
  gateway_engine *engine = order->engine;
  bool busy;
  int running;
  order->polled_by_report = true;
  if (!engine_order_fetch_report(engine, &busy, &running, order->err))
    return OK;
  *loaded = gateway_engine_has_model(engine, order->model, order->adapter);
  if (*loaded || busy)
    return OK;
  if (engine->capacity.is_known &&
      !capacity_account_contains(&engine->capacity, order->model, order->adapter))
    return fail(order, E_ORDER_FAILED, RETRY_GIVEN_UP_MS, "has given up the load of");
  if (order->polls > MAX_IDLE_POLLS)
    order->polls = 0;
  return OK;
}

static enum error_code poll_load(engine_load_order *order, bool *loaded) {
  const capacity_account *capacity = &order->engine->capacity;
  int max_order_polls = order->is_base ? MAX_MODEL_ORDER_POLLS : MAX_ADAPTER_ORDER_POLLS;
  bool by_order = order->polls < max_order_polls && capacity->is_known &&
                  capacity_account_contains(capacity, order->model, order->adapter);
  return by_order ? poll_by_order(order, loaded) : poll_by_report(order, loaded);
}

/* Adapters load within some ms. Once their load time is known, only one in POLL_ONE_IN loads is
 * polled, to keep learning it. */
static bool may_assume_loaded(const engine_load_order *order) {
  router *router = order->gateway->router;
  return !order->is_base && order->accepted &&
         event_history_load_ms(&router->history, order->service, "@adapter", -1) > 0 &&
         world_random(router->node.world, POLL_ONE_IN);
}

static double first_poll_ms(const engine_load_order *order) {
  if (!order->accepted)
    return ENGINE_REPORT_LAG_MS;
  return order->is_base
             ? order->expected_ms + MODEL_FIRST_POLL_EXTRA_MS
             : order->expected_ms * ADAPTER_FIRST_POLL_FACTOR + ADAPTER_FIRST_POLL_EXTRA_MS;
}

static enum error_code wait_until_loaded(engine_load_order *order) {
  if (order->status == 200)
    return OK;
  order->assumed = may_assume_loaded(order);
  enum error_code code = engine_order_sleep(order->engine, first_poll_ms(order), order->err);
  if (code || order->assumed)
    return code;
  double max_ms = order->expected_ms * MAX_EXPECTED_TIMES + MAX_EXPECTED_EXTRA_MS;
  double interval_ms = order->is_base ? CLAMP(order->expected_ms * MODEL_POLL_SHARE,
                                              MODEL_POLL_MIN_MS, MODEL_POLL_MAX_MS)
                                      : ADAPTER_POLL_MS;
  for (;;) {
    bool loaded = false, again = false;
    if (!order->accepted)
      code = confirm_accepted(order, &again, &loaded);
    if (!code && !again && !loaded)
      code = poll_load(order, &loaded);
    if (code || loaded)
      return code;
    if (again)
      continue;
    order->polls++;
    if (gateway_ms_since(order->gateway, order->began_at) > max_ms)
      return fail(order, E_ORDER_FAILED, RETRY_TOO_LONG_MS, "takes too long over the load of");
    order->job->expected_at = gateway_deadline_in_ms(order->gateway, interval_ms * 2);
    code = engine_order_sleep(order->engine,
                              interval_ms * (order->polls < FAST_POLLS ? 1 : SLOW_POLL_FACTOR),
                              order->err);
    if (code)
      return code;
  }
}

static enum error_code record_failed(engine_load_order *order, enum error_code code) {
  gateway_engine *engine = order->engine;
  history_event event = { EVENT_LOAD_FAILED, { 0 },          engine->engine_id,
                          order->model,      order->adapter, 0 };
  event_history_append(&order->gateway->router->history, event);
  /* the engine may still hold part of the load, so its capacity stays reserved until a report has
   * been read */
  if (order->reserved)
    engine->load_jobs.residents_epoch = 0;
  count_failure(order, code);
  return code;
}

/* records a load time; in a large fleet only a sample of them is sent to the other gateways */
static void record_load_ms(const engine_load_order *order, double ms) {
  gateway *gateway = order->gateway;
  const char *key = order->is_base ? order->key : "@adapter";
  event_history_record_load_ms(&gateway->router->history, order->service, key, ms);
  if (gateway->router_count <= SMALL_FLEET_MAX_NODES ||
      !world_random(gateway->router->node.world, BROADCAST_ONE_IN))
    rate_exchange_send_load_time(gateway->router, order->service, key, ms);
}

static void record_observed_load(const engine_load_order *order) {
  gateway *gateway = order->gateway;
  double ms = gateway_ms_since(gateway, order->began_at);
  if (!order->polls)
    ms *= order->is_base ? FIRST_POLL_MODEL_SHARE : FIRST_POLL_ADAPTER_SHARE;
  else if (order->polled_by_report)
    ms = MAX(ms - REPORT_DELAY_MS, order->expected_ms);
  if (!order->is_base || order->from_disk || ms > MIN_STORE_LOAD_SHARE * order->expected_ms)
    record_load_ms(order, ms);
  history_event event = { EVENT_LOADED, { 0 },          order->engine->engine_id,
                          order->model, order->adapter, (int64_t)ms };
  event_history_append(&gateway->router->history, event);
}

static void record_loaded(engine_load_order *order) {
  gateway *gateway = order->gateway;
  gateway_engine *engine = order->engine;
  gateway->consecutive_load_failures = 0;
  unreserve(order);
  if (order->accepted && !order->assumed && !engine->gone)
    record_observed_load(order);
  gateway_engine_mark_loaded(engine, order->model, order->adapter);
  gateway_engine_broadcast(engine);
  log_debug(&gateway->router->node.log, "place",
            "Engine %s has loaded %s%s after %.0f ms, expected %.0f (%s).", engine->engine_id.text,
            order->key, order->from_disk ? " (disk)" : "",
            gateway_ms_since(gateway, order->began_at), order->expected_ms,
            order->job->extra_replica ? "extra replica" : "missing model");
}

static void load_order_init(engine_load_order *order, gateway_engine *engine, load_job *job,
                            const service *service, id adapter, int64_t *retry_after_ms,
                            error *err) {
  gateway *gateway = engine->gateway;
  id model = job->model;
  bool is_base = id_is_empty(adapter);
  bool from_disk = is_base && gateway_engine_has_on_disk(engine, model);
  *order = (engine_load_order){
    .engine = engine,
    .gateway = gateway,
    .job = job,
    .service = service->name,
    .model = model,
    .adapter = adapter,
    .is_base = is_base,
    .from_disk = from_disk,
    .mb = eviction_size_mb(service, model, adapter),
    .slots = !is_base,
    .expected_ms = eviction_load_ms(gateway, service, model, adapter, from_disk),
    .send_by = time_never(),
    .err = err,
  };
  order->retry_after_ms = retry_after_ms;
  event_history_format_key(order->key, sizeof order->key, model, adapter);
  if (from_disk)
    g_strlcat(order->key, "@disk", sizeof order->key);
}

/* loads a job's model, or the adapter when one is given */
static enum error_code load_one(gateway_engine *engine, load_job *job, const service *service,
                                id adapter, int64_t *retry_after_ms, error *err) {
  engine_load_order order;
  load_order_init(&order, engine, job, service, adapter, retry_after_ms, err);
  enum error_code code =
      evict_for_load(engine, order.model, adapter, order.mb, order.slots, job->idle_only, err);
  if (code)
    *retry_after_ms = code == E_NO_CAPACITY ? RETRY_NO_CAPACITY_MS : RETRY_EVICTION_FAILED_MS;
  bool resident = false;
  if (!code) {
    order.began_at = gateway_now(order.gateway);
    code = send_until_accepted(&order, &resident);
  }
  if (code)
    count_failure(&order, code);
  if (code || resident)
    return code;
  order.accepted = order.status == 202;
  if (order.is_base && order.status != 200)
    record_accepted_order(&order);
  code = wait_until_loaded(&order);
  if (code)
    return record_failed(&order, code);
  record_loaded(&order);
  return OK;
}

/* true when the eviction cost exceeds the bound set by the coordinator, which then chooses again */
static bool is_too_expensive(gateway_engine *engine, const load_job *job, const service *service) {
  double mb, drain_ms;
  unsigned slots;
  return job->max_cost > 0 && eviction_placement_cost(engine, service, job->model, job->adapter,
                                                      &mb, &slots, &drain_ms) > job->max_cost;
}

enum error_code engine_loading_run(gateway_engine *engine, load_job *job, int64_t *retry_after_ms,
                                   error *err) {
  gateway *gateway = engine->gateway;
  enum error_code code = sync_engine_state(engine, err);
  if (code) {
    *retry_after_ms = RETRY_NO_SYNC_MS;
    return code;
  }
  const service *service = gateway_service_of(gateway, engine->service);
  if (!service || !service_find_model(service, job->model.text))
    return error_set(err, E_UNKNOWN_MODEL, "no %s is known", job->model.text);
  if (gateway_engine_has_model(engine, job->model, job->adapter))
    return OK;
  if (engine->draining)
    return error_set(err, E_NO_ENGINE, "%s is draining", engine->engine_id.text);
  if (!job->extra_replica &&
      gateway_engines_count_replicas(gateway, engine->service, job->model, job->adapter))
    return OK;
  if (is_too_expensive(engine, job, service)) {
    *retry_after_ms = RETRY_COST_CHANGED_MS;
    return error_set(err, E_NO_CAPACITY, "room on %s has become expensive", engine->engine_id.text);
  }
  if (!gateway_engine_resident(engine, job->model)) {
    code = load_one(engine, job, service, id_none, retry_after_ms, err);
    if (code || id_is_empty(job->adapter))
      return code;
    if (!(service = gateway_service_of(gateway, engine->service)))
      return error_set(err, E_UNKNOWN_MODEL, "no such service");
  }
  return load_one(engine, job, service, job->adapter, retry_after_ms, err);
}
