#ifndef ROUTER_ENGINE_LIST_H
#define ROUTER_ENGINE_LIST_H
/**
 * The engines that the platform lists.
 *
 * The list is fetched from the platform at intervals. While the platform does not respond, the last
 * list remains in use, and a router with an outdated list gets a newer one from another router
 * (router_sync.c). Such a list adds and updates engines but removes none: only the platform itself
 * can declare an engine gone.
 */
#include "base.h"
#include "engine.h"

/** How long an engine list counts as recent. */
enum { ENGINE_LIST_VALID_MS = 2000 };

/** Owned by engine_list.c. */
typedef struct engine_list {
  /** Elements of type engine, in the order in which they were first listed. Removed engines remain
   * until their last reference is dropped. */
  list_node engines;
  /** Whether a list has been received, and when it was requested from the platform, by this node's
   * clock. */
  bool known;
  time_us received_at;
  /** The last list as JSON text, to send to other routers. */
  GString *json;
} engine_list;

void engine_list_init(engine_list *list);
/** Also frees the engines regardless of their references, so all tasks must have ended. */
void engine_list_free(engine_list *list);
/** Starts the task that fetches the list. */
void engine_list_start(router *router);
/** Merges a list received from another router. `at` is when that router requested it from the
 * platform. Returns false when the list is malformed. */
bool engine_list_merge(router *router, string_view text, time_us at);
/** Returns true when a list requested at the given time is newer than the current one. */
bool engine_list_is_newer(const router *router, time_us at);
/** Returns the age of the list in ms as sent on the wire; 0 if there is none. */
uint64_t engine_list_age_ms(router *router);
/** Calls `add` with the singleton of every listed engine. */
void engine_list_for_each_singleton(router *router,
                                    void (*add)(struct router *router, const char *singleton));
#endif
