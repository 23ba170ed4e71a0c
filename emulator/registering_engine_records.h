#ifndef EMULATOR_REGISTERING_ENGINE_RECORDS_H
#define EMULATOR_REGISTERING_ENGINE_RECORDS_H
/**
 * Records that registering engines keep for the checkers: each arrival of a request, each order and
 * the end of each incarnation. Checkers compare them with the records of the clients.
 */
#include "world.h"

/** Outcome of one arrival of a request. The values are the letters that traces print. */
enum engine_run_outcome {
  ENGINE_RUN_PENDING = 0,       /* received, neither started nor refused yet */
  ENGINE_RUN_RUNNING = 'r',     /* started and not ended */
  ENGINE_RUN_DONE = 'd',        /* the response is complete */
  ENGINE_RUN_FAILED = 'f',      /* failed inside the engine (500) */
  ENGINE_RUN_CLIENT_GONE = 'c', /* the client disconnected during the run */
  ENGINE_RUN_BROKEN = 'b',      /* the response was lost or truncated */
  ENGINE_RUN_TIMEOUT = 't',     /* the deadline passed during the run */
  ENGINE_RUN_REFUSED = 'n',     /* not run: refused */
  ENGINE_RUN_MISDIRECTED = 'x', /* not run: meant for another engine, or model not loaded */
  ENGINE_RUN_DEQUEUED =
      'q', /* not run: the client disconnected while queued, or the engine stopped */
};

/** What an order asks for. The values are the letters that traces print. */
enum engine_order_operation {
  ENGINE_SIM_ORDER_LOAD = 'l',
  ENGINE_SIM_ORDER_UNLOAD = 'u',
  ENGINE_SIM_ORDER_UNKNOWN = '?',
};

/** Status of an order that the engine dropped without a response. */
enum { ENGINE_SIM_ORDER_DROPPED = -1 };

/** One arrival of a request. Times are 0 until their events occur. */
typedef struct engine_run_record {
  char request_id[64], from[48], run_id[80], target[96], policy[64], session[48];
  id engine, service, model, adapter;
  uint64_t request_checksum; /* engine_request_checksum */
  uint64_t resumed_after;    /* the client's last event id; 0: from the start */
  time_us received_at, started_at, ended_at, last_event_at;
  unsigned events;     /* sent by this run */
  unsigned last_event; /* id of the last event sent */
  double prefill_tokens, cached_tokens;
  enum engine_run_outcome outcome;
} engine_run_record;

/** One order to load or unload a model or adapter. */
typedef struct engine_order_record {
  time_us received_at;
  id engine, service, model, adapter, holder;
  int64_t fencing_token; /* -1: the order had none */
  enum engine_order_operation op;
  int status;         /* HTTP status, or ENGINE_SIM_ORDER_DROPPED */
  bool over_capacity; /* it exceeds the memory, so the engine crashes */
  bool from_store;    /* the weights come from the shared store, not from the disk */
  bool started;       /* false when refused, already fulfilled, or equal to the order in progress */
} engine_order_record;

/** The end of one incarnation. Times are 0 until their events occur. */
typedef struct engine_stop_record {
  id engine, service;
  time_us announced_at, acked_at, signed_off_at, ended_at;
  int64_t drain_notice_ms;
  bool crashed;
} engine_stop_record;

/** The records of all engines of a deployment. Items are owned by the log and never move. */
typedef struct engine_record_log {
  GPtrArray *runs;   /* engine_run_record * */
  GPtrArray *orders; /* engine_order_record * */
  GPtrArray *stops;  /* engine_stop_record * */
  uint64_t heartbeats, heartbeats_failed, reports, health_checks;
} engine_record_log;

/** True for an arrival that was refused or left the queue; false for one that is still pending. */
bool engine_run_is_not_run(const engine_run_record *run);
/** Returns an empty log; free it with engine_record_log_free. */
engine_record_log *engine_record_log_new(void);
void engine_record_log_free(engine_record_log *log);

/** Appends the n bytes of the plain response to a request, which are derived from its id. */
void engine_response_body(GString *to, const char *request_id, size_t n);
/** Returns the checksum of a request's method, target and body. */
uint64_t engine_request_checksum(const char *method, const char *target, string_view body);
#endif
