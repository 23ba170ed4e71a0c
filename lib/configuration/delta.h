#ifndef CONFIGURATION_DELTA_H
#define CONFIGURATION_DELTA_H
/** Deltas between two texts of a configuration, as packed TextDelta messages. */
#include "base.h"

/** Writes what makes the new text out of the old one, which the receiver holds. False, with `to`
 * unchanged, when that saves less than half of the text. */
bool delta_encode(string_view old, string_view new, GString *to);
/** Writes the new text; false when the delta can't be read or doesn't fit the old text (`to` then
 * holds nothing of use). */
bool delta_apply(string_view old, string_view packed, GString *to);
#endif
