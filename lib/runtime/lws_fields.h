#ifndef RUNTIME_LWS_FIELDS_H
#define RUNTIME_LWS_FIELDS_H
/** Header fields of libwebsockets' connections as texts; for the real world's server and client. */
#include "http_headers.h"
#include <libwebsockets.h>

/** Room for a field's name, its colon and the final NUL. */
enum { LWS_FIELD_NAME_BYTES = 40 };

/** A copy of a field that the library knows, which the caller frees; NULL if it is absent or empty.
 */
char *lws_field_dup(struct lws *wsi, enum lws_token_indexes token);
/** The same for a field that the library doesn't know. */
char *lws_custom_field_dup(struct lws *wsi, enum http_header which);
/** Appends all fields of *headers to the head that is being written from *at to end. False if they
 * don't fit. */
bool lws_fields_append(struct lws *wsi, const http_headers *headers, unsigned char **at,
                       unsigned char *end);
#endif
