#ifndef RUNTIME_LOG_H
#define RUNTIME_LOG_H
/**
 * The log of one process: one message per line, written by the world's write_log.
 *
 * A line has the form "TIME NODE PART: message", or is a JSON object with the members time, node,
 * part and text. A message about an error ends with "(code N)"; in JSON, the number is also the
 * member code. docs/codes.md explains the codes. Lines longer than about 700 bytes are truncated.
 */
#include "world.h"

/** The log settings of one process. */
typedef struct {
  world *world;
  id node_id;
  bool debug, json;
} logger;

/** Writes a line. part is the part of the program, such as "member" or "wire". */
void log_info(logger *logger, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** Like log_info, but only if logger->debug is set. */
void log_debug(logger *logger, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
#endif
