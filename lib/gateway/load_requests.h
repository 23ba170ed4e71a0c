/** Load requests of this gateway: models that its requests wait for. Each is sent to the model's
 * placement coordinator again and again, for as long as requests ask. */
#ifndef GATEWAY_LOAD_REQUESTS_H
#define GATEWAY_LOAD_REQUESTS_H
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;

/** A load request, and a placement, that nobody has asked for in this time ends. */
enum { LOAD_REQUEST_TTL_MS = 1600 };

/** Requests a load of a model (and adapter) on some engine and returns at once; the caller waits on
 * gateway->engines.changed. extra_replica: one more although engines hold it. estimate_ms: how long
 * it is expected to take. An error says why it can't be loaded now, with the time after which to
 * ask again. */
enum error_code load_request_submit(gateway *gateway, const service *service, id model, id adapter,
                                    unsigned priority, bool extra_replica, double *estimate_ms,
                                    int64_t *retry_after_ms);
/** "service/model+adapter"; the caller frees it. */
char *load_request_key(id service, id model, id adapter);
#endif
