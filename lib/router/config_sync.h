#ifndef ROUTER_CONFIG_SYNC_H
#define ROUTER_CONFIG_SYNC_H
/**
 * Config sync: the replicated control state that is in force in this router, and the exchange that
 * keeps it up to date.
 *
 * A router pulls. It sends ConfigPollRequest with the versions that it has, and the response brings
 * a state snapshot when there is a newer one, and says how long ago that version was confirmed by a
 * controller with a member lease. Controllers are polled by controller_poll.c, other routers by
 * router_sync.c; both use the exchange here. config_snapshot.c installs what comes, and admission.c
 * decides by the confirmations whether this router may take new work.
 *
 * Relaxed timing (settings.relaxed). There are two modes, and every fleet runs one of them:
 * - Strict (routers before engines that the platform lists): an operator's write is acknowledged
 *   only after half of the routers have it, so the routers report their version, and one that no
 *   controller confirms stops taking work. Polls are short, for what has to be noticed is a lost
 *   confirmation.
 * - Relaxed (gateways): a write is acknowledged without waiting for routers, and gateways that are
 *   isolated serve on with the last configuration. Controllers hold polls for up to a second, so
 *   time limits are longer, and an unanswered poll is covered by hedged polls instead.
 */
#include "config.h"
#include "node.h"

typedef struct router router;
struct routing;

/** How long a confirmation of the configuration in force is valid. Also the longest time for which
 * a router that lost the controllers goes on in strict mode. */
enum { CONFIRMATION_VALID_MS = 2000 };

/** The state in force. Written by config_snapshot.c, except where another writer is named. */
typedef struct config_sync {
  /** Fleet whose state this is; 0 before the first snapshot. */
  uint64_t fleet_id;
  /** Highest epoch of the controllers' view that any controller named; also by controller_poll.c.
   */
  uint64_t view_epoch;
  /** Sequence number of the last write in force. */
  uint64_t config_version;
  /** Version and text of each resource. Versions are zeroed to have the next response bring all
   * resources in full. */
  uint64_t resource_versions[RESOURCE_COUNT];
  GString *resources[RESOURCE_COUNT];
  /** Snapshots installed, and their size on the wire in bytes. */
  uint64_t sync_count, sync_bytes;
  /** Singleton name -> known_grant, as of the last snapshot. */
  GHashTable *singleton_grants;
  /** When a controller last confirmed that config_version is the latest, by this node's clock; 0:
   * never. Written by config_sync_confirm. */
  time_us config_confirmed_at;
  /** A controller confirmed something since this process started. It is never reset: an isolated
   * router counts routers that were once confirmed towards its majority (admission.c), because a
   * write is acknowledged only when half of the routers have it. */
  bool ever_confirmed;
} config_sync;

/** The latest grant of a singleton that a snapshot showed. */
typedef struct known_grant {
  id holder;
  uint64_t epoch;
} known_grant;

/** One poll and its response. */
typedef struct config_exchange {
  /** Owner of `response`; freed by config_sync_finish. */
  Wire__Envelope *envelope;
  /** NULL when the peer sent a message of another kind. */
  const Wire__ConfigPollResponse *response;
  time_us sent_at;
  /** resource_versions when the request was sent. */
  uint64_t sent_versions[RESOURCE_COUNT];
} config_exchange;

void config_sync_init(config_sync *sync);
void config_sync_free(config_sync *sync);
/** Starts all tasks that exchange configuration with controllers and routers. */
void config_sync_start(router *router);

/** True while the last confirmation of what is in force is valid. */
bool config_sync_is_recent(router *router);
/** Looks up who holds a singleton as of the last snapshot; false when nobody does. */
bool config_sync_find_grant(router *router, const char *singleton, id *holder, uint64_t *epoch);
/** Records that the version in force was confirmed as the latest at an instant. */
void config_sync_confirm(router *router, time_us at);

/** Fills in what every poll says of this router's state. The request borrows resource_versions. */
void config_sync_prepare(router *router, Wire__ConfigPollRequest *request);
/** Sends a poll and waits for its response. False when none came within the timeout; otherwise the
 * exchange has to be ended with config_sync_finish. */
bool config_sync_call(router *router, const char *address, Wire__ConfigPollRequest *request,
                      int64_t timeout_ms, config_exchange *exchange);
/** Installs the snapshot that a response brought; false when there was none or it was refused. */
bool config_sync_install(router *router, const config_exchange *exchange, const char *address);
/** True when the responder knows nothing newer than what is in force here. */
bool config_sync_is_up_to_date(router *router, const config_exchange *exchange);
/** Wakes whoever waits for a change of state, and frees the response. */
void config_sync_finish(router *router, config_exchange *exchange);
/** Milliseconds since an instant, plus one: on the wire 0 stands for "never". */
uint64_t config_sync_age_ms(router *router, time_us at);
#endif
