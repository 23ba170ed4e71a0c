#ifndef DOCTOR_EXAMINATION_H
#define DOCTOR_EXAMINATION_H
/** The state of one run of the doctor: the processes that were queried, their pages and the
 * findings. Also declares the checks that doctor.c runs, one module each. */
#include "doctor.h"
#include "json.h"

/** A process that was queried. */
typedef struct examined_node {
  char address[48];
  id self;
  bool is_controller, gone, draining;
  /** The pages /v1/status, /v1/view (controllers only) and /v1/gateway (gateways only); NULL when
   * the process did not answer or has no such page. Owned by the examination. */
  json *status, *view, *gateway;
  /** How long the fetch of the status page took. */
  int64_t response_ms;
} examined_node;

typedef struct examination {
  world *world;
  /** Elements are of type finding. */
  GArray *findings;
  /** Elements are of type examined_node. */
  GArray *nodes;
} examination;

/** The node at an index. */
examined_node *examination_node(const examination *examination, guint index);
/** The node at an address, or NULL. */
examined_node *examination_find_node(const examination *examination, const char *address);
/** True when a process of this name has answered. */
bool examination_is_live(const examination *examination, const char *name);
/** Adds a finding with printf-formatted evidence, unless an equal one exists. */
void examination_add(examination *examination, enum diagnosis code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/** Fetches a page as JSON, which the caller frees; NULL when that fails. Stores the duration in
 * `ms` unless it is NULL. */
json *examination_fetch(const examination *examination, const char *address, const char *path,
                        int64_t *ms);
/** Waits before a changing value is checked again. */
void examination_wait(const examination *examination, int64_t ms);

/** Controllers: all know the same view, the chain is complete, its members hold their leases, and
 * disks are not slow, broken or nearly full. */
void check_controllers(examination *examination);
/** All nodes: response times, unique names, seeds, wire versions, and how recent their
 * configuration and lists of engines are. */
void check_nodes(examination *examination);
/** Engines of the platform's list, as one router sees them, and whether the catalogue fits on them.
 */
void check_engines(examination *examination);
/** Gateways: configuration, usable engines of each service, ejected engines, the load rate limiter,
 * retry budgets and failed loads. */
void check_gateways(examination *examination);
#endif
