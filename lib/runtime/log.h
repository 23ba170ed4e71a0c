#ifndef COMMON_LOG_H
#define COMMON_LOG_H
#include "world.h"

/** Where one process writes its log. */
typedef struct {
  world *world;
  id node_id;
  bool debug, json;
} logger;
/** Writes one short sentence behind the prefix of its part; as a line of JSON (time, node, part,
 * text and, when the sentence bears one, code) where that was asked for. */
void log_info(logger *l, const char *part, const char *form, ...)
    __attribute__((format(printf, 3, 4)));
/** The same, but only when the log is loud. */
void log_debug(logger *l, const char *part, const char *form, ...)
    __attribute__((format(printf, 3, 4)));
#endif
