#ifndef RUNTIME_LWS_FIELDS_H
#define RUNTIME_LWS_FIELDS_H
/** Header fields of libwebsockets connections as strings; for the real world's server and client.
 */
#include "http_headers.h"
#include <libwebsockets.h>

/** Buffer size for the name of a field, a colon and the final NUL. */
enum { LWS_FIELD_NAME_BYTES = 40 };

/** Returns a copy of a field that the library knows, which the caller frees; NULL if it is absent
 * or empty. */
char *lws_field_dup(struct lws *wsi, enum lws_token_indexes token);
/** Like lws_field_dup, for a field that the library does not know. */
char *lws_custom_field_dup(struct lws *wsi, enum http_header which);
/** Appends all fields of *headers to a head at *cursor, which is advanced and must not exceed end.
 * Returns false if they do not fit. */
bool lws_fields_append(struct lws *wsi, const http_headers *headers, unsigned char **cursor,
                       unsigned char *end);
#endif
