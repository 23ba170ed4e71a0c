#ifndef RUNTIME_HTTP_HEADERS_H
#define RUNTIME_HTTP_HEADERS_H
/**
 * The header fields that asterfall itself reads and writes, indexed by number instead of name.
 * Forwarded requests also carry all their fields as text: see fields.h.
 */
#include "base.h"

enum http_header {
  HEADER_CONTENT_TYPE,
  HEADER_IF_MATCH,
  HEADER_ETAG,
  HEADER_IDEMPOTENCY_KEY,
  HEADER_RETRY_AFTER,
  HEADER_EPOCH,
  HEADER_LEASE_HOLDER,
  HEADER_ATTEMPT,
  HEADER_HOP,
  HEADER_COUNT
};
/** Values of fields, owned by the struct; NULL if a field is absent. A zeroed struct is empty. */
typedef struct {
  char *values[HEADER_COUNT];
} http_headers;
/** The names of the fields as sent on the wire, in lower case. */
extern const char *const http_header_names[HEADER_COUNT];

/** Sets a field to a copy of a value; NULL removes it. */
void http_headers_set(http_headers *headers, enum http_header which, const char *value);
/** Makes *to a copy of *from, or empty if from is NULL. */
void http_headers_copy(http_headers *to, const http_headers *from);
/** Frees the values; the struct is empty afterwards. */
void http_headers_free(http_headers *headers);
#endif
