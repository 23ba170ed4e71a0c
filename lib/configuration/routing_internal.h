#ifndef CONFIGURATION_ROUTING_INTERNAL_H
#define CONFIGURATION_ROUTING_INTERNAL_H
/** Shared by the modules of the routing configuration: routing.c (lookups), routing_compile.c and
 * routing_patch.c. */
#include "routing.h"

/** Buffer size for a host name, including the final NUL. */
enum { HOST_NAME_SIZE = 256 };

/** Creates an empty routing with one reference. */
routing *routing_new(void);
/** Reads the revision, which is the field "version", of a routing configuration or of a patch. */
enum error_code routing_read_revision(const json *value, uint64_t *to, error *err);
#endif
