#ifndef ROUTER_CONFIG_SYNC_H
#define ROUTER_CONFIG_SYNC_H
/**
 * Config sync: the replicated control state that is in force in this router, and the exchange of
 * messages that keeps it up to date.
 *
 * Routers pull. A router sends a ConfigPollRequest with the versions that it has. The response
 * contains a state snapshot if there is a newer one, and says how long ago a controller with a
 * member lease confirmed that version. controller_poll.c polls controllers and router_sync.c polls
 * other routers; both use the functions declared here. config_snapshot.c installs the snapshots,
 * and admission.c uses the confirmations to decide whether this router may accept new work.
 *
 * Relaxed timing (settings.relaxed_timing). There are two modes, and every fleet runs in one of
 * them:
 * - Strict (routers in front of engines that the platform lists): an operator's write is
 *   acknowledged only after half of the routers have it. Routers therefore report their version,
 *   and a router that no controller confirms stops accepting work. Polls are short, because a lost
 *   confirmation has to be detected quickly.
 * - Relaxed (gateways): a write is acknowledged without waiting for routers, and isolated gateways
 *   continue to serve with the last configuration. Controllers hold polls open for up to a second,
 *   so timeouts are longer; hedged polls compensate for a poll that gets no response.
 */
#include "config.h"
#include "node.h"

typedef struct router router;
struct routing;

/** How long a confirmation of the configuration in force is valid. Also the longest time for which
 * a router that has lost contact with the controllers continues to accept work in strict mode. */
enum { CONFIRMATION_VALID_MS = 2000 };

/** The state in force. Written by config_snapshot.c, unless a field names another writer. */
typedef struct config_sync {
  /** Fleet that this state belongs to; 0 before the first snapshot. */
  uint64_t fleet_id;
  /** Highest epoch of the controllers' view that any controller has reported. Also written by
   * controller_poll.c. */
  uint64_t view_epoch;
  /** Sequence number of the last write in force. */
  uint64_t config_version;
  /** Version and text of each resource. Setting the versions to 0 makes the next response contain
   * all resources in full. */
  uint64_t resource_versions[RESOURCE_COUNT];
  GString *resources[RESOURCE_COUNT];
  /** Number of snapshots installed, and their total size on the wire in bytes. */
  uint64_t snapshot_count, snapshot_bytes;
  /** Singleton name -> known_grant, as of the last snapshot. */
  GHashTable *singleton_grants;
  /** When a controller last confirmed that config_version is the latest, by this node's clock; 0 if
   * never. Written by config_sync_confirm. */
  time_us config_confirmed_at;
  /** A controller has confirmed a version since this process started. Never reset: an isolated
   * router counts routers that were once confirmed towards its majority (admission.c), because a
   * write is acknowledged only when half of the routers have it. */
  bool ever_confirmed;
} config_sync;

/** The grant of a singleton according to the last snapshot. */
typedef struct known_grant {
  id holder;
  uint64_t epoch;
} known_grant;

/** One poll and its response. */
typedef struct config_exchange {
  /** Owner of `response`; freed by config_sync_finish. */
  Wire__Envelope *envelope;
  /** NULL when the peer responded with a message of another type. */
  const Wire__ConfigPollResponse *response;
  time_us sent_at;
  /** Value of resource_versions when the request was sent. */
  uint64_t sent_versions[RESOURCE_COUNT];
} config_exchange;

void config_sync_init(config_sync *sync);
void config_sync_free(config_sync *sync);
/** Starts all tasks that exchange configuration with controllers and routers. */
void config_sync_start(router *router);

/** Returns true while the last confirmation of the version in force is valid. */
bool config_sync_is_recent(router *router);
/** Looks up the holder of a singleton according to the last snapshot; false when there is none. */
bool config_sync_find_grant(router *router, const char *singleton, id *holder, uint64_t *epoch);
/** Records that the version in force was confirmed as the latest at the given time. */
void config_sync_confirm(router *router, time_us at);

/** Fills in the fields of a poll that describe this router's state. The request borrows
 * resource_versions. */
void config_sync_prepare(router *router, Wire__ConfigPollRequest *request);
/** Sends a poll and waits for its response. Returns false when the call failed or timed out;
 * otherwise the caller must end the exchange with config_sync_finish. */
bool config_sync_poll(router *router, const char *address, Wire__ConfigPollRequest *request,
                      int64_t timeout_ms, config_exchange *exchange);
/** Installs the snapshot in a response; false when there is none or it was refused. */
bool config_sync_install(router *router, const config_exchange *exchange, const char *address);
/** Returns true when the responder has no newer version than the one in force here. */
bool config_sync_is_up_to_date(router *router, const config_exchange *exchange);
/** Wakes the tasks that wait for a state change and frees the response. */
void config_sync_finish(router *router, config_exchange *exchange);
/** Milliseconds since a point in time, plus one, because 0 means "never" on the wire. */
uint64_t config_sync_age_ms(router *router, time_us at);
#endif
