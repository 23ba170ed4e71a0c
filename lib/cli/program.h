#ifndef CLI_PROGRAM_H
#define CLI_PROGRAM_H
/** Functions that the programs' main functions share: printing errors, creating the real world of a
 * process, and running a service until its graceful shutdown has ended. */
#include "real_world.h"

/** The exit codes of all programs but asterctl, whose are in exit_code.h. Scripts and the units
 * that start the programs depend on the numbers, so they never change. */
enum program_exit {
  PROGRAM_EXIT_OK = 0,
  /** It ran, and its work failed or a check found a fault. */
  PROGRAM_EXIT_FAULT = 1,
  /** It did not start: the command line, a file or the listening address is invalid. */
  PROGRAM_EXIT_NOT_STARTED = 2
};

/** Prints "PROGRAM: MESSAGE" and a line feed on standard error, with the message by printf. */
void program_error(const char *program, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Prints an error on standard error as "PROGRAM: TEXT (code N)". */
void program_report_error(const char *program, const error *err);

/** Reads a file. The caller frees the text with g_string_free; NULL when it can't be read. */
GString *program_read_file(const char *path);

/** Creates the world of a process that does not listen. Returns NULL after printing the error on
 * failure. Free it with real_world_free. */
world *program_client_world(const char *program, const real_settings *settings);
/** Creates the world of a process that listens at a valid ip:port; ip and port in the settings are
 * ignored. Returns NULL after printing the error on failure. Free it with real_world_free. */
world *program_listener_world(const char *program, const char *listen_address,
                              const real_settings *settings);

/** Runs a service until its condition `stopped` is signalled. The first SIGTERM or SIGINT starts
 * its graceful shutdown by calling `drain` with the service. The caller keeps ownership of world
 * and service. */
void program_run_service(world *world, condition *stopped, void (*drain)(void *service),
                         void *service);
#endif
