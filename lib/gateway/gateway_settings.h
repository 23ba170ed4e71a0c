/** Settings of a gateway, filled in by the platform's adapter or from the command line.
 * gateway_reload_settings may replace the limits at run time. */
#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H
#include "dialect.h"

/** A limit of 0 means the default, which is defined where the limit is used. */
typedef struct gateway_settings {
  /** Listen addresses for client requests and for readiness checks. */
  char client_ip[48], ready_ip[48];
  int client_port, ready_port;
  /** The platform's names of header fields, paths and JSON keys; never NULL. */
  const dialect *dialect;
  /** Grace period: time from the request to stop until the process is killed. */
  int64_t grace_ms;
  /** Length of a singleton lease. */
  int64_t lease_ms;
  /** Interval of an engine's heartbeats, for the controllers. */
  int64_t heartbeat_ms;
  /** Limit on the retries of the whole fleet over a window: a ratio of the requests, plus a
   * constant number (slack). */
  double retry_ratio, retry_slack, retry_window_s;
  /** Window of the load rate limit, and the factor by which the limit is multiplied. */
  double load_window_s, load_limit_factor;
  /** Window in s over which request rates are measured. */
  double rate_window_s;
  /** The feature flags that are off, as a bit set indexed by enum feature_flag. */
  unsigned disabled_features;
} gateway_settings;
#endif
