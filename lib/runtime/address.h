#ifndef RUNTIME_ADDRESS_H
#define RUNTIME_ADDRESS_H
/** Addresses as text: IP:PORT. */
#include <stdbool.h>
#include <stddef.h>

/** Splits an address at its last colon. False if it has none, or if the part before it does not fit
 * into ip_size bytes with a final NUL. The parts are not checked: a port that is no number becomes
 * 0. See address_is_valid (settings.h) for a check. */
bool address_split(const char *address, char *ip, size_t ip_size, int *port);
#endif
