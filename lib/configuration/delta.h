#ifndef CONFIGURATION_DELTA_H
#define CONFIGURATION_DELTA_H
/** Deltas between two versions of a configuration's text, as packed TextDelta messages. */
#include "base.h"

/** Writes a delta from the old text, which the receiver holds, to the new one. False, with `to`
 * unchanged, if that does not save more than half of the text. */
bool delta_encode(string_view old, string_view new, GString *to);
/** Applies a delta to the old text and writes the new one. False if the delta is malformed or
 * belongs to another text; the content of `to` is then undefined. */
bool delta_apply(string_view old, string_view packed, GString *to);
#endif
