#ifndef DOCTOR_EXAMINATION_H
#define DOCTOR_EXAMINATION_H
/** An examination in hand: the processes that were asked, their pages, and what was found; and the
 * checks, a module each, that doctor.c runs over it. */
#include "doctor.h"
#include "json.h"

/** A process that was asked. */
typedef struct examined_node {
  char address[48];
  id self;
  bool is_controller, gone, draining;
  /** Its pages /v1/status, and of a controller /v1/view, of a gateway /v1/gateway; NULL when it did
   * not answer or has none. Owned by the examination. */
  json *status, *view, *gateway;
  /** How long the status page took. */
  int64_t response_ms;
} examined_node;

typedef struct examination {
  world *world;
  /** Of finding: the result. */
  GArray *findings;
  /** Of examined_node. */
  GArray *nodes;
} examination;

/** The node at an index. */
examined_node *examination_node(const examination *examination, guint index);
/** The node at an address, or NULL. */
examined_node *examination_find_node(const examination *examination, const char *address);
/** True when a process of a name has answered. */
bool examination_is_live(const examination *examination, const char *name);
/** Adds a finding by printf, unless the same one is there. */
void examination_add(examination *examination, enum diagnosis code, const char *form, ...)
    __attribute__((format(printf, 3, 4)));
/** Fetches a page as JSON, which the caller frees; NULL when it can't be had. Tells how long that
 * took, unless ms is NULL. */
json *examination_fetch(const examination *examination, const char *address, const char *path,
                        int64_t *ms);
/** Waits, for a second look at what moves. */
void examination_wait(const examination *examination, int64_t ms);

/** Controllers: one view, a full chain, an acting head and tail, disks that keep up. */
void check_controllers(examination *examination);
/** All nodes: names, seeds, wire versions, how recent their configuration is. */
void check_nodes(examination *examination);
/** Engines of the platform's list, as one router sees them, and the catalogue against them. */
void check_engines(examination *examination);
/** Gateways: configuration, engines for each service, ejected engines, load rate limiter, retry
 * budgets, loads. */
void check_gateways(examination *examination);
#endif
