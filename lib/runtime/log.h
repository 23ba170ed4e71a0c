#ifndef RUNTIME_LOG_H
#define RUNTIME_LOG_H
/**
 * The log of one process: one sentence a line, to the world's write_log.
 *
 * A line is "TIME NODE PART: sentence", or with json an object of time, node, part and text. A
 * sentence about an error ends with "(code N)"; that number is a member of the object, too, and
 * docs/codes.md explains it. Lines beyond about 700 bytes are cut.
 */
#include "world.h"

/** Where one process writes its log. */
typedef struct {
  world *world;
  id node_id;
  bool debug, json;
} logger;

/** Writes a line. part names the part of the program, such as "member" or "wire". */
void log_info(logger *logger, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** The same, but only if logger->debug is set. */
void log_debug(logger *logger, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
#endif
