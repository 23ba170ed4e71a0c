#ifndef CONFIGURATION_DIALECT_H
#define CONFIGURATION_DIALECT_H
/** Dialects: native names are those of asterfall's own interfaces, and foreign names are those that
 * another platform uses for the same interfaces. A dialect changes names only, never meaning. */
#include "json.h"

/** Header fields that the data plane reads or writes; a dialect may lack the last two. */
enum dialect_field {
  DF_REQUEST_ID,
  DF_TIME_LEFT_MS,
  DF_PREFIX,
  DF_LAST_EVENT_ID,
  DF_STAMP,
  DF_EXPECT_ENGINE,
  DF_NOT_RUN,
  DF_BASE_VERSION,
  DF_ENGINE_ID,
  DF_MODEL,
  DF_TOKENS,
  DF_PRIORITY,
  DF_WEIGHT_VERSIONS,
  DF_EXPECT_VERSION,
  DF_SESSION,
  DF_POLICY,
  DF_COUNT
};
/** Calls that a process receives, or sends to engines. {} in a path stands for an id. */
enum dialect_call {
  DC_READY,
  DC_HEARTBEAT,
  DC_SIGN_OFF,
  DC_CONFIG_PUT,
  DC_CONFIG_PATCH,
  DC_CONFIG_GET,
  DC_ENGINE_ORDER,
  DC_REPORT,
  DC_COUNT
};
/** A call: its method and path. */
typedef struct dialect_path {
  const char *method, *path;
} dialect_path;
/** A JSON key: its native name and its foreign one. */
typedef struct dialect_pair {
  const char *native_name, *foreign_name;
} dialect_pair;
/** A string value of a native key: its native text and its foreign one. */
typedef struct dialect_value {
  const char *key, *native_value, *foreign_value;
} dialect_value;

/** The foreign names of one platform. All code reads and writes JSON with native names; the
 * interfaces translate it with dialect_translate_in and dialect_translate_out. */
typedef struct dialect {
  const char *header_names[DF_COUNT];
  dialect_path calls[DC_COUNT];
  const dialect_pair *keys;
  size_t key_count;
  const dialect_value *values;
  size_t value_count;
} dialect;

/** The native names: nothing is translated. */
extern const dialect dialect_native;
/** Renames keys and values from foreign names to native ones, in place. A native name that
 * arrives although the dialect has another name for it is escaped, so that dialect_translate_out
 * restores exactly the original. value may be NULL. */
void dialect_translate_in(const dialect *dialect, json *value);
/** The reverse of dialect_translate_in. value may be NULL. */
void dialect_translate_out(const dialect *dialect, json *value);
/** True if a request's method and path, without its query, match a call. The id in the path, if
 * any, is stored in *path_id, unless that is NULL. */
bool dialect_matches_call(const dialect *dialect, enum dialect_call call, const char *method,
                          const char *path, id *path_id);
#endif
