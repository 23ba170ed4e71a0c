/** Parses events of a stream (text/event-stream) without modifying them. */
#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H
#include "base.h"

/** The parsed fields of one event. */
typedef struct event_info {
  bool has_id, has_data;
  uint64_t id;
  /** The value of the line with weight versions, a view into the event's bytes; empty when there is
   * no such line. */
  string_view weight_versions;
} event_info;

/** Returns the length of the complete events at the start of a buffer; 0 when none is complete. */
size_t event_complete_length(const char *bytes, size_t length);
/** Parses the first event and returns its length. version_name is the name of the line for
 * event_info.weight_versions. */
size_t event_parse(const char *bytes, size_t length, const char *version_name, event_info *event);
#endif
