#ifndef CONFIGURATION_ROUTING_INTERNAL_H
#define CONFIGURATION_ROUTING_INTERNAL_H
/** What the modules of the routing configuration share: routing.c (lookups), routing_compile.c and
 * routing_patch.c. */
#include "routing.h"

/** Room for a host name in lower case, with its end. */
enum { HOST_NAME_SIZE = 256 };

/** An empty one, with one reference. */
routing *routing_new(void);
/** Reads "version" of a configuration or of a patch. */
enum error_code routing_read_version(const json *value, uint64_t *to, error *err);
#endif
