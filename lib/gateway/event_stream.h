/** Reads events of a stream (text/event-stream), without changing a byte of them. */
#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H
#include "base.h"

/** What one event says of itself. */
typedef struct event_info {
  bool has_id, has_data;
  uint64_t id;
  /** The value of the line that names weight versions, inside the event's bytes; empty when there
   * is none. */
  string_view weight_versions;
} event_info;

/** The length of the complete events at the start of so many bytes; 0 when none is complete. */
size_t event_complete_length(const char *bytes, size_t length);
/** Reads the first event and returns its length. version_name is the name of the line for
 * event_info.weight_versions. */
size_t event_parse(const char *bytes, size_t length, const char *version_name, event_info *event);
#endif
