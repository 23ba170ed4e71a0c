#ifndef COMMON_DELTA_H
#define COMMON_DELTA_H
#include "base.h"

/** What makes a text out of an older one that the other side holds: runs of the old text's pieces,
 * and new pieces. Pieces end where an item of a JSON list does. False when that saves less than
 * half of the text. */
bool delta_encode(string_view old, string_view now, GString *to);
/** Makes the text anew; false when the delta does not fit the old text. */
bool delta_apply(string_view old, string_view delta, GString *to);
#endif
