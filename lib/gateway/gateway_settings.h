/** Settings of a gateway. The platform's adapter or the command line fills them; the bounds may be
 * replaced at run time by gateway_reload_settings. */
#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H
#include "dialect.h"

/** A bound of 0 means its default, which stands where the bound is used. */
typedef struct gateway_settings {
  /** Where requests are accepted, and where readiness is asked for. */
  char front_ip[48], ready_ip[48];
  int front_port, ready_port;
  /** The platform's names of header fields, paths and JSON keys; never NULL. */
  const dialect *dialect;
  /** Time from the request to stop until the process is killed. */
  int64_t grace_ms;
  /** Length of a singleton lease. */
  int64_t lease_ms;
  /** Interval of an engine's heartbeats, for the controllers. */
  int64_t heartbeat_ms;
  /** Retries of the whole fleet over a window: a share of the requests, plus a constant number. */
  double retry_ratio, retry_slack, retry_window_s;
  /** Window of the load rate limit, and the share of the limit that may be used. */
  double load_window_s, load_excess;
  /** Window over which request rates are counted, in s. */
  double rate_window_s;
  /** Set of enum feature_flag, a bit each, that are switched off. */
  unsigned disabled_features;
} gateway_settings;
#endif
