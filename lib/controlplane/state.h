#ifndef CONTROLPLANE_STATE_H
#define CONTROLPLANE_STATE_H
/** The replicated control state: configuration resources, grants of singleton leases, and the
 * records that make writes idempotent. It is a deterministic state machine: replicas that have
 * applied the same chain records have equal states. state_snapshot.c packs it for other replicas
 * and for routers.
 */
#include "accepted_changes.h"
#include "config.h"
#include "node.h"

/** The grant of a singleton lease to one process. */
typedef struct singleton_grant {
  id singleton, holder;
  /** Random number of the holder's process, so that a restarted process counts as another holder.
   */
  uint64_t nonce;
  /** Fencing token: increases with each grant of this singleton. */
  uint64_t epoch;
} singleton_grant;

/** A write that was applied under an idempotency key. */
typedef struct idempotency_record {
  char key[80];
  uint64_t seq;
  /** Hash of the request; reusing the key with another request is an error. */
  uint64_t hash;
} idempotency_record;

typedef struct state {
  uint64_t fleet_id;
  /** Sequence number of the last applied record. */
  uint64_t seq;
  /** The configuration resources: the sequence number of the write that last set each one, and its
   * JSON text. A resource that was never set has version 0 and the text "{}". */
  struct {
    uint64_t version;
    GString *text;
  } resources[RESOURCE_COUNT];
  /** Maps the singleton's name to its singleton_grant; owned. */
  GHashTable *grants;
  /** The most recent idempotency records, oldest first; owned. */
  GQueue idempotency_records;
  accepted_changes accepted;
} state;

/** Initializes the state before the first record. */
void state_init(state *state);
/** Frees what a state owns. Does nothing if the state is already freed. */
void state_free(state *state);
/** Replaces a state with a copy of another one. */
void state_copy(state *to, const state *from);

/** Applies the record with sequence number seq; operation is a packed Operation. An operation that
 * cannot be unpacked only sets the sequence number, at every replica alike. */
void state_apply(state *state, uint64_t seq, string_view operation);
/** Sets the text and version of a resource. Ignores a resource with an unknown name. */
void state_set_resource(state *state, const Wire__Resource *resource, uint64_t version);
/** Adds or replaces the grant of a singleton. */
void state_put_grant(state *state, const Wire__SingletonGrant *message);
/** Adds an idempotency record and drops the oldest one if there are too many. */
void state_add_idempotency_record(state *state, const char *key, uint64_t seq, uint64_t hash);

/** Returns the write that was applied under a key, or NULL. */
const idempotency_record *state_find_idempotency_record(const state *state, const char *key);
/** Returns the grant of a singleton, or NULL. */
const singleton_grant *state_find_grant(const state *state, const char *singleton);
/** Returns a checksum of the state. Equal states have the same checksum. */
uint64_t state_checksum(const state *state);
/** Compiles the resources to a configuration. If text is not NULL, it replaces the text of the
 * resource with index which. Returns NULL and sets *err if the resources are invalid. The caller
 * frees the configuration. */
config *state_compile_config(const state *state, int which, const string_view *text, error *err);

/** Appends the complete state to a buffer, packed as a StateSnapshot with the epoch of the view. */
void state_pack(const state *state, uint64_t epoch, GString *buffer);
/** Appends the state that a router needs: without idempotency records and accepted changes, and
 * without the text of resources that the router already has in the same version. held_versions are
 * the router's versions of the first held_count resources. */
void state_pack_for_router(const state *state, uint64_t epoch, const uint64_t *held_versions,
                           size_t held_count, GString *buffer);
/** Like state_pack_for_router, but sends the routing resource as a delta to version delta_base,
 * which the router has. */
void state_pack_for_router_with_delta(const state *state, uint64_t epoch,
                                      const uint64_t *held_versions, size_t held_count,
                                      uint64_t delta_base, string_view delta, GString *buffer);
/** Returns an upper bound on the number of bytes that state_pack appends. */
size_t state_packed_size_max(const state *state);
/** Replaces a state with a complete StateSnapshot. Returns false and changes nothing if the bytes
 * are not a valid StateSnapshot. */
bool state_unpack(state *state, string_view bytes);
#endif
