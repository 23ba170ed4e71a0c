/** State of one request on its way through the gateway; private to forward.c, request_queue.c,
 * attempt.c and response_relay.c. It lives on the stack of forward_request. */
#ifndef GATEWAY_INFLIGHT_REQUEST_H
#define GATEWAY_INFLIGHT_REQUEST_H
#include "gateway.h"

enum {
  /** Engines that a request has tried and does not go to again; more than it has attempts. */
  MAX_EXCLUDED_ENGINES = 8,
  /** Room for the list of weight versions of a stream. */
  WEIGHT_VERSION_LENGTH = 24
};

/** A slot at an engine; counted from the choice on, so that two choices don't take the same one. */
typedef struct reserved_slot {
  gateway_engine *engine; /* referenced; NULL when no slot is reserved */
  bool first_event_seen;
  int running_at_start;
  double estimate_ms;
} reserved_slot;

struct inflight_request {
  list_node queue_link, open_link;
  condition wake;
  gateway *gateway;
  http_request *http;
  routing *routing; /* referenced: the configuration when the request came */
  const route *route;
  const service *service;
  id model, adapter; /* empty at a plain service */
  double tokens;     /* of the prompt, as the client says */
  char *prefix;      /* shared parts of the prompt, owned, or NULL */
  char *request_id;  /* owned */
  time_us received_at, deadline;

  /* engine and queue */
  id excluded[MAX_EXCLUDED_ENGINES];
  int excluded_count;
  enum engine_select_result select_result; /* of the last choice */
  double estimate_ms;                      /* of the last choice */
  int64_t queue_rank;
  bool queued;
  double queued_ms;
  reserved_slot slot, next_slot; /* next_slot: for the retry after this attempt */

  /* attempts */
  fields *request_fields; /* to the engine; those of one attempt come behind the base */
  size_t base_fields_length;
  int attempts_sent;
  id last_engine;
  bool declined;     /* the engine of this attempt says that it did not run it */
  bool may_have_run; /* by some attempt */
  double first_event_ms;

  /* response */
  double response_begun_ms; /* since its arrival; negative before */
  bool resumed;             /* this attempt continues a stream */
  bool unresumable;         /* a stream has events without ascending ids */
  uint64_t last_id;         /* of the last event that was passed on */
  time_us last_event_bytes_at;
  char versions[WEIGHT_VERSION_LENGTH];

  /* a response by the gateway itself */
  int status;
  int64_t retry_after_ms;
  const char *error_text;

  /* the trial's part and policy as at its arrival, whatever is in force later */
  canary_assignment canary;
  select_policy policy;
  char canary_name[48];
};

static inline time_us request_now(const inflight_request *request) {
  return gateway_now(request->gateway);
}
static inline double request_ms_since(const inflight_request *request, time_us from) {
  return gateway_ms_since(request->gateway, from);
}
static inline int64_t request_left_ms(const inflight_request *request) {
  return time_sub(request->deadline, request_now(request)).us / 1000;
}
static inline const char *request_field_name(const inflight_request *request,
                                             enum dialect_field field) {
  return request->gateway->settings.dialect->header_names[field];
}
/** True when the route allows a request to be sent again after an engine may have run it. */
static inline bool request_may_retry(const inflight_request *request) {
  return request->route->mode == ROUTE_MODE_SAFE ||
         (request->route->mode == ROUTE_MODE_STREAM && request->route->resumable);
}
/** Sets the response by which the gateway itself ends the request. */
static inline void request_fail(inflight_request *request, int status, int64_t retry_after_ms,
                                const char *text) {
  request->status = status;
  request->retry_after_ms = retry_after_ms;
  request->error_text = text;
}
/* reserved_slot.c */
/** Time left in ms for a first event. */
int64_t request_first_event_left_ms(const inflight_request *request);
/** Does not choose an engine for this request again. */
void request_exclude_engine(inflight_request *request, id engine_id);
/** Chooses an engine and reserves a slot there; false when there is none, with the reason in
 * select_result. */
bool reserved_slot_take(inflight_request *request, reserved_slot *slot);
/** Gives a slot back; ok is false when the engine failed. Does nothing without a slot. */
void reserved_slot_release(inflight_request *request, reserved_slot *slot, bool ok);
/** Reserves next_slot at another engine for a retry, when attempts, time and the retry budget allow
 * one. */
bool reserved_slot_take_for_retry(inflight_request *request);

/* attempt.c */
/** What became of one attempt. */
enum attempt_outcome {
  ATTEMPT_OUTCOME_DONE,
  /** Failed, and a slot for a retry is reserved. */
  ATTEMPT_OUTCOME_RETRY,
  ATTEMPT_OUTCOME_NOT_SENT,
  /** The engine declined it. */
  ATTEMPT_OUTCOME_NOT_RUN,
  ATTEMPT_OUTCOME_FAILED,
  ATTEMPT_OUTCOME_TIMEOUT,
  ATTEMPT_OUTCOME_CLIENT_LEFT,
  /** The grace of the drain is over. */
  ATTEMPT_OUTCOME_STOPPED
};
/** Builds the fields that are the same for each attempt. */
void attempt_build_base_fields(inflight_request *request);
/** Sends the request to the engine of its slot, and relays the response. The slot is released. */
enum attempt_outcome attempt_run(inflight_request *request);
/** True at the end of the drain's grace for a request whose response has not begun. */
bool attempt_past_grace_period(const inflight_request *request);
/** True when an engine has been silent for long enough and a slot for a retry was reserved. Else
 * *until is at most the instant at which to look again; *look_again_at is kept between calls, 0 at
 * first. events_passed: some of a stream came already. */
bool attempt_unresponsive_and_retried(inflight_request *request, const http_call *call,
                                      time_us last_byte_at, bool events_passed,
                                      time_us *look_again_at, time_us *until);
/** The deadline of a request plus a margin for the response's way. */
time_us attempt_deadline(const inflight_request *request);

/* response_relay.c */
/** Relays an event stream up to its end. sent_at: when the request was sent. */
enum attempt_outcome response_relay_stream(inflight_request *request, http_call *call,
                                           time_us sent_at);
/** Reads a response to its end, then sends it, so that one that is cut short never looks complete.
 * stamped: a retry can't help, it is passed on as it is. */
enum attempt_outcome response_relay_complete(inflight_request *request, http_call *call,
                                             bool stamped);
/** Records the time to the first event, once for each slot. */
void response_relay_record_first_event(inflight_request *request, double ms);
/** Records the weight version in force out of a list of versions. */
void response_relay_record_versions(inflight_request *request, string_view versions);
#endif
