#ifndef MEMBERSHIP_WIRE_VERSION_H
#define MEMBERSHIP_WIRE_VERSION_H
/** The versions of the protocol between processes that this program supports. Messages of other
 * versions are refused. Version 1 always sends full membership tables; version 2 compares checksums
 * first. */
enum { WIRE_VERSION_MIN = 1, WIRE_VERSION_CURRENT = 2 };
#endif
