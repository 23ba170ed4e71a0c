/** Pure functions that apply and check changes of the gateways' routing configuration. */
#ifndef CONTROLPLANE_CONFIG_CHANGE_H
#define CONTROLPLANE_CONFIG_CHANGE_H
#include "routing.h"

/** Applies a change to a configuration's text, whose version is current_version, and checks the
 * result.
 *
 * is_full: `body` is a full configuration, otherwise a patch (routing_patch). base_version is the
 * version that the change is based on. Appends the new text to `to`. Returns OK, E_VERSION_CONFLICT
 * when base_version is not current_version, or the error in the body. After an error the text
 * in `to` is not valid. */
enum error_code config_change_apply(string_view text, uint64_t current_version, bool is_full,
                                    uint64_t base_version, const json *body, GString *to,
                                    error *err);
/** Returns the version that a configuration's text names; 0 when it names none or is not JSON. */
uint64_t config_change_version(string_view text);
#endif
