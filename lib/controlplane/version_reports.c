/** The latest write that each router reports to have applied; see version_reports.h. */
#include "version_reports.h"

/** The latest write that a router has applied. */
typedef struct reported_version {
  /** Identifies the run of the router; reports of its earlier runs do not count. */
  uint64_t nonce;
  uint64_t seq;
} reported_version;

/* Returns the report of a router; creates an empty one if there is none. */
static reported_version *report_of(version_reports *reports, const char *router) {
  reported_version *report = g_hash_table_lookup(reports->by_router, router);
  if (!report) {
    report = g_new0(reported_version, 1);
    g_hash_table_insert(reports->by_router, g_strdup(router), report);
  }
  return report;
}

/* Handles VersionReport, which has no response. */
static enum error_code handle_version_report(void *ctx, Wire__Envelope *in, reply *reply,
                                             error *err) {
  version_reports *reports = ctx;
  const Wire__VersionReport *message = in->version_report;
  (void)reply;
  (void)err;
  if (!reports->replica->running || message->fleet_id != reports->replica->view.fleet_id ||
      in->from->role != ROLE_ROUTER)
    return OK;
  reported_version *report = report_of(reports, in->from->id);
  if (report->nonce == in->from->nonce && message->sequence <= report->seq)
    return OK;
  report->nonce = in->from->nonce;
  report->seq = message->sequence;
  condition_broadcast(&reports->changed);
  return OK;
}

/* True when a router has applied a write, has not restarted since, and is not draining. */
static bool router_has_applied(const version_reports *reports, const peer_node *router,
                               uint64_t seq) {
  if (router->draining)
    return false;
  const reported_version *report = g_hash_table_lookup(reports->by_router, router->self.text);
  return report && report->nonce == router->nonce && report->seq >= seq;
}

/* True when half of the known routers have applied a write. Sets *applied_count to the number of
 * these routers, and *router_count to the number of known routers. */
static bool is_in_force(version_reports *reports, uint64_t seq, int *applied_count,
                        int *router_count) {
  *applied_count = 0;
  *router_count = peer_table_count(reports->node, ROLE_ROUTER);
  list_for_each (peer, &reports->node->peers, peer_node, link)
    *applied_count += peer->role == ROLE_ROUTER && router_has_applied(reports, peer, seq);
  return *applied_count >= (*router_count + 1) / 2;
}

enum error_code version_reports_wait(version_reports *reports, uint64_t seq, time_us deadline,
                                     error *err) {
  /* Gateways, which fleets with relaxed settings have, get writes by long polls and send no
   * reports, so a write counts as in force once the chain has committed it. */
  if (reports->node->settings.relaxed_timing)
    return OK;
  int applied_count, router_count;
  while (!is_in_force(reports, seq, &applied_count, &router_count))
    if (condition_wait(&reports->node->world->tasks, &reports->changed, deadline) != WAKE_SIGNALLED)
      return error_set(err, E_TOO_FEW_ROUTERS,
                       "write %" PRIu64 " stands, but only %d of %d routers have it in force yet",
                       seq, applied_count, router_count);
  return OK;
}

void version_reports_init(version_reports *reports, node *node, replica *replica) {
  reports->node = node;
  reports->replica = replica;
  reports->by_router = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  condition_init(&reports->changed);
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_VERSION_REPORT, handle_version_report,
                            reports);
}

void version_reports_free(version_reports *reports) {
  g_hash_table_destroy(reports->by_router);
}
