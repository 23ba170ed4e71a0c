#ifndef CONFIGURATION_DIALECT_H
#define CONFIGURATION_DIALECT_H
/** Names of our interfaces as another platform speaks them (dialect.c). Meaning stays ours. */
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
  DF_BASE_REVISION,
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
/** Calls that others make to us, or that we make to engines; an id stands for {}. */
enum dialect_call {
  DC_READY,
  DC_HEARTBEAT,
  DC_LEAVE,
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
/** A JSON key: ours, and theirs. */
typedef struct dialect_pair {
  const char *own, *theirs;
} dialect_pair;
/** A text that is the value of one of our keys: ours, and theirs. */
typedef struct dialect_value {
  const char *key, *own, *theirs;
} dialect_value;

/** How an interface of ours is spoken: names only, no meaning. All JSON is read and written in our
 * own words, and passes dialect_translate_in and dialect_translate_out at the edge. */
typedef struct dialect {
  const char *header_names[DF_COUNT];
  dialect_path calls[DC_COUNT];
  const dialect_pair *keys;
  size_t key_count;
  const dialect_value *values;
  size_t value_count;
} dialect;

/** Our own names: nothing is translated. */
extern const dialect dialect_native;
/** Renames keys and values from theirs to ours, in place. A key that is unknown to them but one of
 * ours gets a mark, so that dialect_translate_out brings back just what came. NULL is fine. */
void dialect_translate_in(const dialect *dialect, json *value);
/** The way back. NULL is fine. */
void dialect_translate_out(const dialect *dialect, json *value);
/** True when a request fits a call (its query doesn't count); the id in its path, if any, goes to
 * who, which may be NULL. */
bool dialect_matches_call(const dialect *dialect, enum dialect_call call, const char *method,
                          const char *path, id *who);
#endif
