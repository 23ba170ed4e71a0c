#ifndef CONTROLPLANE_STATE_H
#define CONTROLPLANE_STATE_H
/** The replicated control state: configuration resources, grants of singleton leases, and what
 * makes writes idempotent. It is a deterministic fold over the records of the chain: replicas that
 * have applied the same records are equal. state_snapshot.c packs it for other replicas and for
 * routers.
 */
#include "accepted_changes.h"
#include "config.h"
#include "node.h"

/** The grant of a singleton lease to one process. */
typedef struct singleton_grant {
  id singleton, holder;
  /** Random number of the holder's process, so that a restarted one is another holder. */
  uint64_t nonce;
  /** Fencing token: rises with each grant of this singleton. */
  uint64_t epoch;
} singleton_grant;

/** A write that was applied under an idempotency key. */
typedef struct idempotency_record {
  char key[80];
  uint64_t seq;
  /** Hash of the request: the same key with another request is an error. */
  uint64_t hash;
} idempotency_record;

typedef struct state {
  uint64_t fleet_id;
  /** Number of the last record that was applied. */
  uint64_t seq;
  /** The resources of the configuration: the number of the write that set each one, and its JSON
   * text. Version 0: it was never set, and its text is "{}". */
  struct {
    uint64_t version;
    GString *text;
  } resources[RESOURCE_COUNT];
  /** By the singleton's name: singleton_grant, owned. */
  GHashTable *grants;
  /** The latest idempotency_record, oldest first; owned. */
  GQueue idempotency_records;
  accepted_changes accepted;
} state;

/** Initializes the state before the first record. */
void state_init(state *state);
/** Frees what a state owns; harmless for one that is freed already. */
void state_free(state *state);
/** Replaces a state by a copy of another one. */
void state_copy(state *to, const state *from);

/** Applies the record with a number; operation is a packed Operation. One that can't be unpacked
 * only sets the number, as it does at each replica. */
void state_apply(state *state, uint64_t seq, string_view operation);
/** Sets the text and the version of a resource; one with an unknown name is ignored. */
void state_set_resource(state *state, const Wire__Resource *resource, uint64_t version);
/** Adds or replaces the grant of a singleton. */
void state_put_grant(state *state, const Wire__SingletonGrant *message);
/** Adds an idempotency record, and drops the oldest one when there are too many. */
void state_add_idempotency_record(state *state, const char *key, uint64_t seq, uint64_t hash);

/** Returns the write that was applied under a key, or NULL. */
const idempotency_record *state_find_idempotency_record(const state *state, const char *key);
/** Returns the grant of a singleton, or NULL. */
const singleton_grant *state_find_grant(const state *state, const char *singleton);
/** Returns a checksum of the state; it is the same for equal states. */
uint64_t state_checksum(const state *state);
/** Compiles the resources to a configuration. When text is not NULL it takes the place of the
 * resource with index which. Returns NULL, and sets *err, when they are not valid; the caller frees
 * the configuration. */
config *state_compile_config(const state *state, int which, const string_view *text, error *err);

/** Appends the complete state to a buffer, packed as a StateSnapshot with the epoch of the view. */
void state_pack(const state *state, uint64_t epoch, GString *buffer);
/** Appends what a router needs: without idempotency records and accepted changes, and without the
 * text of a resource that the router has in this version. held_versions are the versions that it
 * has of the first held_count resources. */
void state_pack_for_router(const state *state, uint64_t epoch, const uint64_t *held_versions,
                           size_t held_count, GString *buffer);
/** The same, with the routing resource as a delta to the version delta_base, which the router has.
 */
void state_pack_for_router_with_delta(const state *state, uint64_t epoch,
                                      const uint64_t *held_versions, size_t held_count,
                                      uint64_t delta_base, string_view delta, GString *buffer);
/** Returns an upper bound of the bytes that state_pack appends. */
size_t state_packed_size_max(const state *state);
/** Replaces a state by a complete StateSnapshot. Returns false, and changes nothing, when the bytes
 * are none. */
bool state_unpack(state *state, string_view bytes);
#endif
