#ifndef RUNTIME_ARGS_H
#define RUNTIME_ARGS_H
/** The command line of the daemons. */
#include "address.h"
#include "settings.h"

/** Reads the settings of a daemon from its settings file, if one is named, and its flags, which go
 * over the file's, and checks them. description is shown by --help. True if they were only to be
 * checked (--check), which is reported. Ends the program with status 2 on bad settings. */
bool args_settings(int argc, char **argv, enum role role, const char *description,
                   settings *settings);
#endif
