#ifndef RUNTIME_ARGS_H
#define RUNTIME_ARGS_H
/** The command line of the daemons. */
#include "address.h"
#include "settings.h"

/** Reads the settings of a daemon from its settings file, if one is given, and from its flags,
 * which override the file, and validates them. --help shows description. With --check, reports that
 * the settings are valid and returns true. Exits with status 2 on invalid settings. */
bool args_read_settings(int argc, char **argv, enum role role, const char *description,
                        settings *settings);
#endif
