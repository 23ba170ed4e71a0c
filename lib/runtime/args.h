#ifndef COMMON_ARGS_H
#define COMMON_ARGS_H
#include "settings.h"

/** Reads the command line of a daemon into an env; says true when it should only be checked. Ends
 * the program with 2 on bad input. */
bool args_settings(int argc, char **argv, enum role role, const char *doc, settings *settings);
/** Splits ip:port. */
bool address_split(const char *addr, char *ip, size_t n, int *port);
#endif
