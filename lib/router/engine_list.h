#ifndef ROUTER_ENGINE_LIST_H
#define ROUTER_ENGINE_LIST_H
/**
 * The engines that the platform lists.
 *
 * The list is fetched from the platform every now and then. While the platform does not answer, the
 * last list stays, and a router that has an outdated one takes a younger one over from another
 * router (router_sync.c). Such a list adds engines and changes what is known of them, but removes
 * none: only the platform itself says that an engine is gone.
 */
#include "base.h"
#include "engine.h"

/** How long a list of engines counts as recent. */
enum { ENGINE_LIST_VALID_MS = 2000 };

/** Owned by engine_list.c. */
typedef struct engine_list {
  /** Of engine, in the order in which they were first listed; those removed stay until their last
   * reference is dropped. */
  list_node engines;
  /** A list was received; when the platform was asked for it, by this node's clock. */
  bool known;
  time_us received_at;
  /** The last list as text, to pass on. */
  GString *json;
} engine_list;

void engine_list_init(engine_list *list);
/** Frees the engines as well, whatever references they have: all tasks must have ended. */
void engine_list_free(engine_list *list);
/** Starts the task that fetches the list. */
void engine_list_start(router *router);
/** Takes over a list that another router passed on, which got it at an instant. False when it is
 * malformed. */
bool engine_list_merge(router *router, string_view text, time_us at);
/** True when a list of an instant is newer than the one here. */
bool engine_list_is_newer(const router *router, time_us at);
/** Age of the list in ms as it stands on the wire; 0: there is none. */
uint64_t engine_list_age_ms(router *router);
/** Calls `add` with the singleton of every engine that is listed. */
void engine_list_for_each_singleton(router *router,
                                    void (*add)(struct router *router, const char *singleton));
#endif
