/** Status and metrics of a canary trial. */
#ifndef GATEWAY_CANARY_STATUS_H
#define GATEWAY_CANARY_STATUS_H
#include "base.h"

typedef struct gateway gateway;

/** Appends ,"canary":{...} while a trial runs. */
void canary_status_append_json(gateway *gateway, GString *to);
/** Appends the metrics of the trial, if one runs. */
void canary_status_append_metrics(gateway *gateway, GString *to);
#endif
