#ifndef CONTROLPLANE_CONTROL_H
#define CONTROLPLANE_CONTROL_H
#include "routing.h"

/** Decides on a new configuration: a whole one, or a change on top of text, whose version is
 * current. Gives the new text. */
int config_change_apply(string_view text, uint64_t current, bool whole, uint64_t base,
                        const json *body, GString *to, error *err);
/** The version that a configuration's text names; 0 when it is blank. */
uint64_t config_change_version(string_view text);
#endif
