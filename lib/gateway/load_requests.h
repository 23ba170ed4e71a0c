/** Load requests of this gateway for models that its requests wait for. Each load request is
 * repeated to the model's placement coordinator for as long as requests need the model. */
#ifndef GATEWAY_LOAD_REQUESTS_H
#define GATEWAY_LOAD_REQUESTS_H
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;

/** A load request or a placement ends when no request has asked for it within this time. */
enum { LOAD_REQUEST_TTL_MS = 1600 };

/** Requests a load of a model (and adapter) on any engine without waiting for it; the caller waits
 * on gateway->engines.changed. extra_replica: load it although engines already hold the
 * model. estimate_ms: the expected time until it is loaded. An error says why it can't be loaded
 * now; retry_after_ms is the time to wait before asking again. */
enum error_code load_request_submit(gateway *gateway, const service *service, id model, id adapter,
                                    unsigned priority, bool extra_replica, double *estimate_ms,
                                    int64_t *retry_after_ms);
/** "service/model+adapter", allocated; the caller frees it. */
char *load_request_key(id service, id model, id adapter);
#endif
