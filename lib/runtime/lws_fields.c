/** Header fields of libwebsockets connections: see lws_fields.h. */
#include "lws_fields.h"
#include <stdio.h>

char *lws_field_dup(struct lws *wsi, enum lws_token_indexes token) {
  int length = lws_hdr_total_length(wsi, token);
  if (length <= 0)
    return NULL;
  char *value = g_malloc0((gsize)length + 1);
  lws_hdr_copy(wsi, value, length + 1, token);
  return value;
}

/* Writes the name of a field as the library expects it, followed by a colon. */
static void lws_field_name(enum http_header which, char name[LWS_FIELD_NAME_BYTES]) {
  snprintf(name, LWS_FIELD_NAME_BYTES, "%s:", http_header_names[which]);
}

char *lws_custom_field_dup(struct lws *wsi, enum http_header which) {
  char name[LWS_FIELD_NAME_BYTES];
  lws_field_name(which, name);
  int name_length = (int)strlen(name);
  int length = lws_hdr_custom_length(wsi, name, name_length);
  if (length <= 0)
    return NULL;
  char *value = g_malloc0((gsize)length + 1);
  lws_hdr_custom_copy(wsi, value, length + 1, name, name_length);
  return value;
}

bool lws_fields_append(struct lws *wsi, const http_headers *headers, unsigned char **cursor,
                       unsigned char *end) {
  for (int i = 0; i < HEADER_COUNT; i++) {
    const char *value = headers->values[i];
    if (!value)
      continue;
    char name[LWS_FIELD_NAME_BYTES];
    lws_field_name(i, name);
    if (lws_add_http_header_by_name(wsi, (unsigned char *)name, (const unsigned char *)value,
                                    (int)strlen(value), cursor, end))
      return false;
  }
  return true;
}
