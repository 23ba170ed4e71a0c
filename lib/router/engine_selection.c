/**
 * Selects the engine that serves a request, and the engine that loads a model.
 *
 * Requests with a common prefix go to the same engine, whose cache contains the prefix. Engines are
 * ranked by rendezvous hashing over the prefix with bounded loads (as in consistent hashing with
 * bounded loads), so that a popular prefix spills over to other engines.
 */
#include "router.h"
#include "routed_request.h"
#include <math.h>
#include <stdlib.h>

/* An engine is preferred only while its load is within this multiple of the mean load. */
static const double LOAD_BOUND_FACTOR = 1.25;
/* Components of the score; each is larger than the sum of those after it. */
static const double SCORE_WITHIN_BOUND = 4, SCORE_SAME_ZONE = 0.5;

enum {
  /* Requests are served by age; each unit of weight counts as this much additional age. */
  RANK_US_PER_WEIGHT = 500000,
  /* How many of the highest-ranked engines are checked for free capacity. */
  MAX_LOAD_TARGETS_TRIED = 3
};

/* Priority bit of a load target: for an adapter load, an engine on which its model is up ranks
 * above all others. */
static const uint64_t MODEL_IS_UP = 1ull << 63;

/* Requests with lower ranks are served first. */
static int64_t queue_rank(const routed_request *request) {
  return request->received_at.us - (int64_t)request->kind.weight * RANK_US_PER_WEIGHT;
}

static bool waits_for_same(const routed_request *request, const routed_request *other) {
  return other->awaiting_engine && id_equal(other->model, request->model) &&
         id_equal(other->adapter, request->adapter);
}

bool engine_selection_is_next(const routed_request *request) {
  list_for_each (other, &request->router->requests.admitted_requests, routed_request, queue_link)
    if (other != request && waits_for_same(request, other) &&
        queue_rank(other) < queue_rank(request))
      return false;
  return true;
}

void engine_selection_select(routed_request *request) {
  bool up_somewhere;
  engine *selected = engine_selection_find_free_engine(request, &up_somewhere);
  list_for_each (other, &request->router->requests.admitted_requests, routed_request, queue_link)
    if (waits_for_same(request, other))
      return;
  request->engine = selected;
}

static bool is_up(engine *engine, id model, id adapter) {
  const resident_model *resident = engine_find_resident(engine, model, adapter);
  return resident && resident->state == RESIDENT_UP;
}

static bool can_serve(const routed_request *request, engine *engine) {
  if (!engine_accepts_work(engine) || routed_request_excludes(request, engine))
    return false;
  return is_up(engine, request->model, request->adapter) &&
         is_up(engine, request->model, id_of_text(""));
}

/* Maps a hash to a fraction from 0 to 1. */
static double unit_interval(uint64_t hash) {
  return (double)(hash >> 12) / (double)(1ull << 52);
}

static double score(const routed_request *request, engine *engine, int load_bound) {
  int load = engine_running_streams(engine);
  double score = load + 1 <= load_bound ? SCORE_WITHIN_BOUND : 0;
  if (request->prefix[0])
    return score + unit_interval(hash_two_names(request->prefix, engine->self.text));
  bool same_zone = id_equal(engine->zone, request->router->node.settings.zone);
  return score + ((same_zone ? SCORE_SAME_ZONE : 0) + 1.0 / (2 + load));
}

engine *engine_selection_find_free_engine(routed_request *request, bool *up_somewhere) {
  GPtrArray *candidates = g_ptr_array_new();
  int total_load = 0;
  list_for_each (engine_, &request->router->engine_list.engines, engine, link) {
    if (!can_serve(request, engine_))
      continue;
    total_load += engine_running_streams(engine_);
    g_ptr_array_add(candidates, engine_);
  }
  int load_bound = (int)ceil(LOAD_BOUND_FACTOR * (total_load + 1) / MAX((int)candidates->len, 1));
  engine *best = NULL;
  double best_score = 0;
  for (guint i = 0; i < candidates->len; i++) {
    engine *candidate = candidates->pdata[i];
    if (!engine_has_free_slot(candidate))
      continue;
    double candidate_score = score(request, candidate, load_bound);
    if (best && candidate_score <= best_score)
      continue;
    best = candidate;
    best_score = candidate_score;
  }
  *up_somewhere = candidates->len > 0;
  g_ptr_array_free(candidates, TRUE);
  return best;
}

typedef struct load_target {
  engine *engine;
  uint64_t priority;
  bool has_capacity;
} load_target;

/* The size of a load. For an adapter, model_mb is the size of its model, which also has to be
 * loaded where it is not resident. */
typedef struct load_size {
  uint64_t weights_mb, model_mb;
  unsigned slots;
} load_size;

static int compare_load_targets(const void *a, const void *b) {
  const load_target *x = a, *y = b;
  return x->priority > y->priority ? -1 : x->priority < y->priority;
}

static bool find_load_size(const routed_request *request, load_size *size) {
  *size = (load_size){ 0 };
  unsigned no_slots;
  if (!model_loading_find_size(request->router, request->model, request->adapter, &size->weights_mb,
                               &size->slots))
    return false;
  if (!id_is_empty(request->adapter))
    model_loading_find_size(request->router, request->model, id_of_text(""), &size->model_mb,
                            &no_slots);
  return true;
}

static load_target make_load_target(const routed_request *request, engine *engine,
                                    const load_size *size, const char *key) {
  uint64_t used_mb = 0;
  unsigned used_slots = 0;
  list_for_each (resident, &engine->residents, resident_model, link) {
    used_mb += resident->weights_mb;
    used_slots += resident->slots;
  }
  const resident_model *model =
      size->model_mb ? engine_find_resident(engine, request->model, id_of_text("")) : NULL;
  uint64_t needed_mb = size->weights_mb + (model ? 0 : size->model_mb);
  bool is_resident = engine_find_resident(engine, request->model, request->adapter) != NULL,
       has_free = used_mb + needed_mb <= engine->weights_mb &&
                  used_slots + size->slots <= engine->adapter_slots;
  uint64_t hash = hash_two_names(key, engine->self.text);
  bool model_is_up = model && model->state == RESIDENT_UP;
  return (load_target){ engine, model_is_up ? hash | MODEL_IS_UP : hash >> 1,
                        is_resident || has_free };
}

/* The highest-ranked of the first MAX_LOAD_TARGETS_TRIED targets that has free capacity, or the
 * highest-ranked one if none has. */
static engine *best_target(GArray *targets) {
  load_target *all = (load_target *)targets->data;
  if (!targets->len)
    return NULL;
  qsort(all, targets->len, sizeof *all, compare_load_targets);
  for (guint i = 0; i < targets->len && i < MAX_LOAD_TARGETS_TRIED; i++)
    if (all[i].has_capacity)
      return all[i].engine;
  return all[0].engine;
}

engine *engine_selection_find_load_target(routed_request *request, bool *fits) {
  load_size size;
  *fits = false;
  if (!find_load_size(request, &size))
    return NULL;
  char key[128];
  event_history_format_key(key, sizeof key, request->model, id_of_text(""));
  GArray *targets = g_array_new(FALSE, FALSE, sizeof(load_target));
  list_for_each (engine_, &request->router->engine_list.engines, engine, link) {
    if (!engine_->listed || size.weights_mb + size.model_mb > engine_->weights_mb ||
        size.slots > engine_->adapter_slots)
      continue;
    *fits = true;
    if (!engine_accepts_work(engine_) || routed_request_excludes(request, engine_))
      continue;
    load_target target = make_load_target(request, engine_, &size, key);
    g_array_append_val(targets, target);
  }
  engine *best = best_target(targets);
  g_array_free(targets, TRUE);
  return best;
}
