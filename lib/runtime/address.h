#ifndef RUNTIME_ADDRESS_H
#define RUNTIME_ADDRESS_H
/** Parsing of addresses of the form IP:PORT. */
#include <stdbool.h>
#include <stddef.h>

/** Splits an address at its last colon. Returns false if it has none, or if the part before it does
 * not fit into ip_size bytes with a final NUL. The parts are not validated: a port that is not a
 * number becomes 0. address_is_valid (settings.h) validates an address. */
bool address_split(const char *address, char *ip, size_t ip_size, int *port);
#endif
