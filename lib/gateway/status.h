/** Status page, metrics and readiness of a gateway. */
#ifndef GATEWAY_STATUS_H
#define GATEWAY_STATUS_H
#include "base.h"

typedef struct gateway gateway;

/** The reason why the gateway is not ready; NULL when it is ready. */
const char *gateway_unready_reason(const gateway *gateway);
/** Appends the status as a JSON object. */
void gateway_status(gateway *gateway, GString *to);
/** Appends the metrics as lines of text. */
void gateway_metrics(gateway *gateway, GString *to);
#endif
