#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H
#include "base.h"

/** What one event of a stream (text/event-stream) says of itself. */
typedef struct event_info {
  bool has_id, has_data;
  uint64_t id;
  /** The value of the line that names versions, inside the event's bytes; blank when there is none.
   */
  string_view weight_versions;
} event_info;

/** The length of the whole events at the head of what came; 0 when none is whole. */
size_t event_complete_length(const char *p, size_t n);
/** Reads the first event of p; gives its length. version_name names the line for
 * event_info.versions. */
size_t event_parse(const char *p, size_t n, const char *version_name, event_info *head);
#endif
