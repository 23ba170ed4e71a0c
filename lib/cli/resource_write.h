#ifndef CLI_RESOURCE_WRITE_H
#define CLI_RESOURCE_WRITE_H
/** Writes the versioned resources of a fleet, for the commands of asterctl. */
#include "control_client.h"

/** The size of a buffer for the path of a resource or page, with its query. */
enum { RESOURCE_PATH_SIZE = 80 };

/** True when a resource of this name can be written. */
bool resource_name_is_valid(const char *name);
/** Sends a value (PUT) or a patch (PATCH) of a resource and prints the response. With --wait, then
 * waits until the write is in force. The write has an idempotency key, so it is safe to retry. It
 * replaces only the version `if_version`, or any version when that is NULL. */
enum exit_code resource_write(const struct command_context *context, const char *method,
                              const char *resource, string_view body, const char *if_version);
/** Like resource_write, with the body and the version from --file and --if-version. */
enum exit_code resource_write_file(const struct command_context *context, const char *method,
                                   const char *resource);
/** Polls the nodes until all live ones have a version in force, for at most --wait seconds, and
 * prints the outcome. Returns EXIT_CODE_OK or EXIT_CODE_NOT_IN_FORCE. */
enum exit_code resource_wait_in_force(const struct command_context *context, uint64_t version);
#endif
