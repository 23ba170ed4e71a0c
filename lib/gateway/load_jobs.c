/** The load job queue of an engine at its lease holder; see load_jobs.h. An engine executes one
 * order at a time, so one task per engine with jobs loads them one after the other. The job with
 * the highest utility goes first; utility grows with the waiting time, so that no job starves. */
#include "load_jobs.h"
#include "engine_loading.h"
#include "gateway.h"

enum {
  /* a job that no coordinator has requested for this time is dropped, unless it has started */
  LOAD_JOB_EXPIRY_MS = 1000,
  /* the task of an engine without jobs ends after WORKER_IDLE_MS; until then it checks the queue
     every WORKER_RECHECK_MS */
  WORKER_IDLE_MS = 20000,
  WORKER_RECHECK_MS = 2500,
  /* overhead between two orders to an engine */
  JOB_OVERHEAD_MS = 30,
  /* expected load time when the configuration no longer contains the service */
  UNKNOWN_LOAD_MS = 1000,
  GONE_RETRY_AFTER_MS = 200
};
/* Terms of the utility: weights of priority 0, 1 and all others, weight of one request per second,
 * and the waiting time in ms that adds 1. */
static const double PRIORITY_WEIGHTS[] = { 1.5, 1, 0.5 }, RATE_WEIGHT = 3,
                    AGE_MS_PER_UTILITY = 1500;

void engine_load_jobs_init(engine_load_jobs *jobs) {
  list_init(&jobs->list);
  condition_init(&jobs->changed);
}

void engine_load_jobs_free(engine_load_jobs *jobs) {
  list_for_each (job, &jobs->list, load_job, link) {
    list_remove(&job->link);
    g_free(job);
  }
}

bool engine_load_jobs_need(const gateway_engine *engine, id model, id adapter) {
  list_for_each (job, &engine->load_jobs.list, load_job, link)
    if (!job->done && id_equal(job->model, model) &&
        (id_is_empty(adapter) || id_equal(job->adapter, adapter)))
      return true;
  return false;
}

double load_job_utility(gateway *gateway, unsigned priority, id model, id adapter) {
  double weight = PRIORITY_WEIGHTS[MIN(priority, G_N_ELEMENTS(PRIORITY_WEIGHTS) - 1)];
  return weight * (1 + RATE_WEIGHT * eviction_request_rate(gateway, model, adapter));
}

static double utility_with_age(gateway *gateway, const load_job *job) {
  return load_job_utility(gateway, job->priority, job->model, job->adapter) +
         gateway_ms_since(gateway, job->created_at) / AGE_MS_PER_UTILITY;
}

static void job_finish(load_job *job, enum error_code code, int64_t retry_after_ms) {
  job->code = code;
  job->retry_after_ms = retry_after_ms;
  job->done = true;
  condition_broadcast(&job->changed);
}

static void job_unref(load_job *job) {
  if (--job->refs > 0 || !job->done)
    return;
  list_remove(&job->link);
  g_free(job);
}

/* finishes a job without running it; it is freed if no call waits for it */
static void job_drop(load_job *job, enum error_code code, int64_t retry_after_ms) {
  job->refs++;
  job_finish(job, code, retry_after_ms);
  job_unref(job);
}

/* the job to load next; drops expired ones; NULL when there is none */
static load_job *next_job(gateway_engine *engine) {
  gateway *gateway = engine->gateway;
  load_job *best = NULL;
  double best_utility = 0;
  time_us now = gateway_now(gateway);
  list_for_each (job, &engine->load_jobs.list, load_job, link) {
    if (job->done)
      continue;
    if (time_reached(now, time_add(job->last_asked_at, time_from_ms(LOAD_JOB_EXPIRY_MS)))) {
      job_drop(job, E_IN_PROGRESS, 0);
      continue;
    }
    double utility = utility_with_age(gateway, job);
    if (!best || utility > best_utility) {
      best = job;
      best_utility = utility;
    }
  }
  return best;
}

static void log_failed_job(const gateway_engine *engine, const load_job *job, enum error_code code,
                           const error *err) {
  if (code == E_NO_CAPACITY)
    log_debug(&engine->gateway->router->node.log, "place",
              "No capacity for %s%s%s on %s: %s (code %d).", job->model.text,
              job->adapter.text[0] ? "+" : "", job->adapter.text, engine->engine_id.text, err->text,
              code);
  else if (code && code != E_STOPPING && code != E_NO_LEASE_HOLDER && code != E_LOAD_RATE_LIMITED)
    log_info(&engine->gateway->router->node.log, "place",
             "The load of %s%s%s on %s failed: %s (code %d).", job->model.text,
             job->adapter.text[0] ? "+" : "", job->adapter.text, engine->engine_id.text, err->text,
             code);
}

static void run_job(gateway_engine *engine, load_job *job) {
  error err = { 0 };
  int64_t retry_after_ms = 0;
  job->refs++;
  job->started = true;
  enum error_code code = engine_loading_run(engine, job, &retry_after_ms, &err);
  log_failed_job(engine, job, code, &err);
  job_finish(job, code, retry_after_ms);
  job_unref(job);
}

/* the task of an engine: runs its jobs until there have been none for WORKER_IDLE_MS */
static void worker_run(void *context) {
  gateway_engine *engine = context;
  gateway *gateway = engine->gateway;
  time_us idle_since = gateway_now(gateway);
  while (!engine_order_stopping(engine)) {
    load_job *job = next_job(engine);
    if (job) {
      run_job(engine, job);
      idle_since = gateway_now(gateway);
      continue;
    }
    time_us now = gateway_now(gateway);
    if (time_reached(now, time_add(idle_since, time_from_ms(WORKER_IDLE_MS))) ||
        condition_wait(&gateway->router->node.world->tasks, &engine->load_jobs.changed,
                       time_add(now, time_from_ms(WORKER_RECHECK_MS))) == WAKE_STOPPED)
      break;
  }
  list_for_each (job, &engine->load_jobs.list, load_job, link)
    if (!job->done)
      job_drop(job, E_NO_ENGINE, GONE_RETRY_AFTER_MS);
  engine->load_jobs.worker_running = false;
  gateway_engine_unref(engine);
}

/* the expected load time of a model, or of an adapter plus its model if that is not resident */
static double job_load_ms(gateway_engine *engine, id model, id adapter) {
  gateway *gateway = engine->gateway;
  const service *service = gateway_service_of(gateway, engine->service);
  if (!service)
    return UNKNOWN_LOAD_MS;
  bool resident = gateway_engine_resident(engine, model) != NULL,
       on_disk = gateway_engine_has_on_disk(engine, model);
  double ms = eviction_load_ms(gateway, service, model, adapter, resident || on_disk);
  if (!id_is_empty(adapter) && !resident)
    ms += eviction_load_ms(gateway, service, model, id_none, on_disk);
  return ms;
}

static load_job *job_new(gateway_engine *engine, const Wire__PlacedLoadRequest *request,
                         int jobs_ahead) {
  load_job *job = g_new0(load_job, 1);
  job->model = id_of_text(request->model);
  job->adapter = id_of_text(request->adapter);
  job->priority = request->priority;
  job->extra_replica = request->extra_replica;
  job->idle_only = request->evict_idle_only;
  job->created_at = gateway_now(engine->gateway);
  job->expected_at = gateway_deadline_in_ms(
      engine->gateway,
      job_load_ms(engine, job->model, job->adapter) * (jobs_ahead + 1) + JOB_OVERHEAD_MS);
  condition_init(&job->changed);
  list_append(&engine->load_jobs.list, &job->link);
  return job;
}

/* The job of a request, created on the first one. Its cost bound is that of the latest request and
 * its priority that of the most urgent one. */
static load_job *job_of_request(gateway_engine *engine, const Wire__PlacedLoadRequest *request) {
  id model = id_of_text(request->model), adapter = id_of_text(request->adapter);
  load_job *job = NULL;
  int open_jobs = 0;
  list_for_each (other, &engine->load_jobs.list, load_job, link) {
    if (other->done)
      continue;
    open_jobs++;
    if (id_equal(other->model, model) && id_equal(other->adapter, adapter))
      job = other;
  }
  if (!job)
    job = job_new(engine, request, open_jobs);
  job->last_asked_at = gateway_now(engine->gateway);
  job->priority = MIN(job->priority, request->priority);
  job->extra_replica &= request->extra_replica;
  job->max_cost = (double)request->max_eviction_cost;
  job->idle_only &= request->evict_idle_only;
  return job;
}

static void ensure_worker(gateway_engine *engine) {
  if (!engine->load_jobs.worker_running) {
    engine->load_jobs.worker_running = true;
    gateway_engine_ref(engine);
    task_start(&engine->gateway->router->node.world->tasks, "place", worker_run, engine);
  }
  condition_broadcast(&engine->load_jobs.changed);
}

/* the expected end of a job that has not started: after the running job and all jobs with a higher
 * utility */
static time_us expected_in_queue(gateway_engine *engine, const load_job *job) {
  gateway *gateway = engine->gateway;
  const service *service = gateway_service_of(gateway, engine->service);
  double ms = JOB_OVERHEAD_MS, utility = utility_with_age(gateway, job);
  list_for_each (other, &engine->load_jobs.list, load_job, link) {
    if (other->done || !service)
      continue;
    if (other->started) {
      ms += (double)gateway_ms_until(gateway, other->expected_at);
      continue;
    }
    if (other != job && utility_with_age(gateway, other) <= utility)
      continue;
    double load_ms = 0;
    if (!gateway_engine_resident(engine, other->model))
      load_ms += eviction_load_ms(gateway, service, other->model, id_none,
                                  gateway_engine_has_on_disk(engine, other->model));
    if (!id_is_empty(other->adapter))
      load_ms += eviction_load_ms(gateway, service, other->model, other->adapter, false);
    ms += load_ms;
  }
  return gateway_deadline_in_ms(gateway, ms);
}

static void fill_response(gateway_engine *engine, const load_job *job,
                          Wire__PlacedLoadResponse *response) {
  response->loaded = job->done && !job->code;
  response->error_code = (uint32_t)(job->done ? job->code : E_IN_PROGRESS);
  response->started = job->started;
  if (job->done) {
    response->retry_after_ms = (uint64_t)job->retry_after_ms;
    return;
  }
  time_us expected_at = job->started ? job->expected_at : expected_in_queue(engine, job);
  response->retry_after_ms = (uint64_t)gateway_ms_until(engine->gateway, expected_at);
}

/* waits until a job is done, at most for the time that the coordinator asked for */
static void wait_for_job(gateway *gateway, load_job *job, uint64_t wait_ms) {
  time_us until = gateway_deadline_in_ms(gateway, (double)MIN(wait_ms, PLACEMENT_WAIT_MS));
  while (!job->done)
    if (condition_wait(&gateway->router->node.world->tasks, &job->changed, until) != WAKE_SIGNALLED)
      return;
}

enum error_code load_jobs_on_placement(void *context, Wire__Envelope *in, reply *reply,
                                       error *err) {
  gateway *gateway = context;
  const Wire__PlacedLoadRequest *request = in->placed_load_request;
  gateway_engine *engine = gateway_engine_find(gateway, request->engine);
  if (!id_is_valid(string_view_of(request->model)) ||
      (request->adapter[0] && !id_is_valid(string_view_of(request->adapter))))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  if (!engine || engine->gone)
    return error_set(err, E_NO_ENGINE, "%.40s is not known here", request->engine);
  if (!engine_order_epoch(engine))
    return error_set(err, E_NO_LEASE_HOLDER, "%s is not held here", engine->engine_id.text);
  load_job *job = job_of_request(engine, request);
  job->refs++;
  gateway_engine_ref(engine);
  ensure_worker(engine);
  wait_for_job(gateway, job, request->wait_ms);
  Wire__PlacedLoadResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE, &wire__placed_load_response__descriptor);
  fill_response(engine, job, response);
  job_unref(job);
  gateway_engine_unref(engine);
  return OK;
}
