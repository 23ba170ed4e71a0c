#ifndef CONTROLPLANE_STATE_H
#define CONTROLPLANE_STATE_H
#include "accepted_changes.h"
#include "config.h"
#include "node.h"

/** Who holds a duty: one run of one machine, under an epoch. */
typedef struct singleton_grant {
  id singleton, holder;
  uint64_t nonce, epoch;
} singleton_grant;
/** A write that was applied once, so that a second try is not. */
typedef struct idempotency_record {
  char key[80];
  uint64_t seq, hash;
} idempotency_record;
/** The state that the chain keeps, folded from its records. */
typedef struct state {
  uint64_t fleet_id, seq;
  struct {
    uint64_t version;
    GString *text;
  } resources[RESOURCE_COUNT];
  GHashTable *grants;
  GQueue idempotency_records;
  accepted_changes accepted;
} state;

void state_init(state *state);
void state_free(state *state);
/** Makes to the same as from. */
void state_copy(state *to, const state *from);
/** Applies one record; a bad one changes nothing but the number. */
void state_apply(state *state, uint64_t seq, string_view op);
/** The write that came under a key, or NULL. */
const idempotency_record *state_find_idempotency_record(const state *state, const char *key);
const singleton_grant *state_find_grant(const state *state, const char *duty);
/** Packs the state, with an epoch, as a digest. */
void state_pack(const state *state, uint64_t epoch, GString *to);
/** The same for a data-plane node: no record of past keys, and no text of a resource that it holds
 * in this version. */
void state_pack_for_router(const state *state, uint64_t epoch, const uint64_t *held, size_t n,
                           GString *to);
/** The same, with the routing as a delta to the version that the node holds. */
void state_pack_for_router_with_delta(const state *state, uint64_t epoch, const uint64_t *held,
                                      size_t n, uint64_t base, string_view delta, GString *to);
/** The most bytes that it takes as a digest, by a generous count. */
size_t state_packed_size_max(const state *state);
/** A sum over the whole state, the same on every sound copy. */
uint64_t state_checksum(const state *state);
/** Reads a digest; false when it is none. */
bool state_unpack(state *state, string_view bytes);
/** Compiles the resources, with one of them replaced when text is not NULL. */
config *state_compile_config(const state *state, int which, const string_view *text, error *err);
#endif
