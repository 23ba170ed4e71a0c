/** Selects the engine for a request: the one with the lowest cost among those that hold its model
 * and have a free slot. The cost is the estimated time to the first event, plus terms for cache
 * affinity, a late estimate, full KV memory, another zone and bad health; see engine_select.c. */
#ifndef GATEWAY_ENGINE_SELECT_H
#define GATEWAY_ENGINE_SELECT_H
#include "canary.h"
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;
typedef struct gateway_engine gateway_engine;

/** The request for which an engine was selected last, kept until gateway_engine_record_sent reads
 * it. The engine is not selected for another request in between, since the caller does not
 * yield. */
typedef struct selected_request {
  id model, adapter;
  double tokens, uncached_tokens;
} selected_request;

typedef struct engine_select_request {
  const service *service;
  id model, adapter;    /* empty for a plain service */
  const char *prefix;   /* shared parts of the prompt, or NULL */
  double tokens;        /* of the prompt */
  int64_t target_ms;    /* latency target of the first event; 0: none */
  int64_t remaining_ms; /* until the first event would come too late; 0: no bound */
  unsigned priority;
  const select_policy *policy; /* NULL: select_policy_default */
  bool run_once;               /* must not be sent again once it was sent */
  const id *excluded;          /* engines that must not be selected */
  int excluded_count;
} engine_select_request;

/** ENGINE_SELECT_OK, or why there is no engine for a request. */
enum engine_select_result {
  ENGINE_SELECT_OK,
  ENGINE_SELECT_NO_ENGINE,
  ENGINE_SELECT_NO_MODEL,
  ENGINE_SELECT_ALL_BUSY
};

/** Selects an engine; NULL when there is none, with the reason in result. estimate_ms is the
 * estimated time to the first event, at the selected engine or else at the best one. May request
 * an extra replica of the model. */
gateway_engine *engine_select(gateway *gateway, const engine_select_request *request,
                              enum engine_select_result *result, double *estimate_ms);
/** Estimated time in ms to the first event. waiting_tokens: tokens of other requests that wait on
 * the engine for their first event; uncached_tokens: the request's own tokens to prefill; running:
 * running requests; slots: 0 if unknown; run_ms: mean duration of a run. */
double engine_select_estimate_ms(double base_ms, double ms_per_token, double waiting_tokens,
                                 double uncached_tokens, int running, unsigned slots,
                                 double run_ms);
#endif
