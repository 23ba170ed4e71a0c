/** Parsing of addresses: see address.h. */
#include "address.h"
#include <stdlib.h>
#include <string.h>

bool address_split(const char *address, char *ip, size_t ip_size, int *port) {
  const char *colon = strrchr(address, ':');
  if (!colon || (size_t)(colon - address) >= ip_size)
    return false;
  size_t ip_length = (size_t)(colon - address);
  memcpy(ip, address, ip_length);
  ip[ip_length] = 0;
  *port = atoi(colon + 1);
  return true;
}
