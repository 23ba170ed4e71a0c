/** Known header fields: see http_headers.h. */
#include "http_headers.h"

const char *const http_header_names[HEADER_COUNT] = {
  "content-type",     "if-match",          "etag",
  "idempotency-key",  "retry-after",       "asterfall-epoch",
  "asterfall-holder", "asterfall-attempt", "asterfall-hop"
};

void http_headers_set(http_headers *headers, enum http_header which, const char *value) {
  /* copied before the old value is freed, because value may be the old value itself */
  char *copy = value ? g_strdup(value) : NULL;
  g_free(headers->values[which]);
  headers->values[which] = copy;
}

void http_headers_copy(http_headers *to, const http_headers *from) {
  for (int i = 0; i < HEADER_COUNT; i++)
    http_headers_set(to, i, from ? from->values[i] : NULL);
}

void http_headers_free(http_headers *headers) {
  for (int i = 0; i < HEADER_COUNT; i++)
    http_headers_set(headers, i, NULL);
}
