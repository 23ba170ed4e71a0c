/** Packs the replicated state as a StateSnapshot message: complete for other replicas and the log,
 * reduced for routers. */
#include "state.h"

enum {
  /** Upper bounds on the size of a snapshot without its texts and records, in bytes: the fixed
   * fields, and the tags and lengths of each resource and of each grant or idempotency record. */
  SNAPSHOT_FIXED_BYTES = 256,
  RESOURCE_OVERHEAD_BYTES = 64,
  ENTRY_OVERHEAD_BYTES = 32
};

/* what a snapshot omits */
typedef struct {
  /* Omit idempotency records and accepted changes. */
  bool for_router;
  /* The receiver's versions of the first held_count resources. */
  const uint64_t *held_versions;
  size_t held_count;
  /* A delta of the routing resource to version delta_base. If it is empty, the text is sent. */
  uint64_t delta_base;
  string_view delta;
} snapshot_options;

/* a snapshot message, with the memory that it points to */
typedef struct {
  Wire__StateSnapshot message;
  Wire__Resource resources[RESOURCE_COUNT], *resource_pointers[RESOURCE_COUNT];
  Wire__SingletonGrant *grants, **grant_pointers;
  Wire__IdempotencyRecord *records, **record_pointers;
  Wire__AcceptedChanges accepted;
} snapshot_message;

static bool receiver_has_resource(const state *state, int resource,
                                  const snapshot_options *options) {
  if ((size_t)resource >= options->held_count)
    return false;
  uint64_t held_version = options->held_versions[resource];
  return held_version && held_version == state->resources[resource].version;
}

static void pack_resource(const state *state, int resource, const snapshot_options *options,
                          Wire__Resource *message) {
  wire__resource__init(message);
  message->name = (char *)resource_names[resource];
  message->version = state->resources[resource].version;
  message->same = receiver_has_resource(state, resource, options);
  if (message->same)
    return;
  if (resource == RESOURCE_ROUTING && options->delta.length) {
    message->base_version = options->delta_base;
    message->delta.data = (uint8_t *)options->delta.data;
    message->delta.len = options->delta.length;
    return;
  }
  message->text.data = (uint8_t *)state->resources[resource].text->str;
  message->text.len = state->resources[resource].text->len;
}

static void pack_resources(const state *state, const snapshot_options *options,
                           snapshot_message *snapshot) {
  for (int i = 0; i < RESOURCE_COUNT; i++) {
    pack_resource(state, i, options, &snapshot->resources[i]);
    snapshot->resource_pointers[i] = &snapshot->resources[i];
  }
  /* if no canary was ever declared, omit that resource, as earlier versions do */
  snapshot->message.n_resources =
      state->resources[RESOURCE_CANARY].version ? RESOURCE_COUNT : RESOURCE_CANARY;
  snapshot->message.resources = snapshot->resource_pointers;
}

static void pack_grants(const state *state, snapshot_message *snapshot) {
  guint count = g_hash_table_size(state->grants), i = 0;
  snapshot->grants = g_new(Wire__SingletonGrant, count + 1);
  snapshot->grant_pointers = g_new(Wire__SingletonGrant *, count + 1);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, state->grants);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    singleton_grant *grant = value;
    Wire__SingletonGrant *message = &snapshot->grants[i];
    wire__singleton_grant__init(message);
    message->singleton = grant->singleton.text;
    message->holder = grant->holder.text;
    message->nonce = grant->nonce;
    message->epoch = grant->epoch;
    snapshot->grant_pointers[i++] = message;
  }
  snapshot->message.n_grants = count;
  snapshot->message.grants = snapshot->grant_pointers;
}

static void pack_idempotency_records(const state *state, snapshot_message *snapshot) {
  guint count = state->idempotency_records.length, i = 0;
  snapshot->records = g_new(Wire__IdempotencyRecord, count + 1);
  snapshot->record_pointers = g_new(Wire__IdempotencyRecord *, count + 1);
  for (GList *l = state->idempotency_records.head; l; l = l->next) {
    idempotency_record *record = l->data;
    Wire__IdempotencyRecord *message = &snapshot->records[i];
    wire__idempotency_record__init(message);
    message->key = record->key;
    message->sequence = record->seq;
    message->hash = record->hash;
    snapshot->record_pointers[i++] = message;
  }
  snapshot->message.n_idempotency_records = count;
  snapshot->message.idempotency_records = snapshot->record_pointers;
}

static void pack_accepted_changes(const state *state, snapshot_message *snapshot) {
  accepted_changes_pack(&state->accepted, &snapshot->accepted);
  snapshot->message.accepted = &snapshot->accepted;
}

static void append_message(const Wire__StateSnapshot *message, GString *buffer) {
  size_t size = wire__state_snapshot__get_packed_size(message), start = buffer->len;
  g_string_set_size(buffer, start + size);
  wire__state_snapshot__pack(message, (uint8_t *)buffer->str + start);
}

static void pack(const state *state, uint64_t epoch, const snapshot_options *options,
                 GString *buffer) {
  snapshot_message snapshot = { .message = WIRE__STATE_SNAPSHOT__INIT };
  snapshot.message.fleet_id = state->fleet_id;
  snapshot.message.sequence = state->seq;
  snapshot.message.epoch = epoch;
  pack_resources(state, options, &snapshot);
  pack_grants(state, &snapshot);
  if (!options->for_router) {
    pack_idempotency_records(state, &snapshot);
    pack_accepted_changes(state, &snapshot);
  }
  append_message(&snapshot.message, buffer);
  if (!options->for_router)
    accepted_changes_packed_free(&snapshot.accepted);
  g_free(snapshot.grants);
  g_free(snapshot.grant_pointers);
  g_free(snapshot.records);
  g_free(snapshot.record_pointers);
}

void state_pack(const state *state, uint64_t epoch, GString *buffer) {
  snapshot_options options = { .for_router = false };
  pack(state, epoch, &options, buffer);
}

void state_pack_for_router(const state *state, uint64_t epoch, const uint64_t *held_versions,
                           size_t held_count, GString *buffer) {
  snapshot_options options = { .for_router = true,
                               .held_versions = held_versions,
                               .held_count = held_count };
  pack(state, epoch, &options, buffer);
}

void state_pack_for_router_with_delta(const state *state, uint64_t epoch,
                                      const uint64_t *held_versions, size_t held_count,
                                      uint64_t delta_base, string_view delta, GString *buffer) {
  snapshot_options options = { .for_router = true,
                               .held_versions = held_versions,
                               .held_count = held_count,
                               .delta_base = delta_base,
                               .delta = delta };
  pack(state, epoch, &options, buffer);
}

size_t state_packed_size_max(const state *state) {
  size_t grant_bytes = sizeof(singleton_grant) + ENTRY_OVERHEAD_BYTES;
  size_t record_bytes = sizeof(idempotency_record) + ENTRY_OVERHEAD_BYTES;
  size_t size = SNAPSHOT_FIXED_BYTES + grant_bytes * g_hash_table_size(state->grants) +
                record_bytes * (state->idempotency_records.length + 1) +
                accepted_changes_packed_size(&state->accepted);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    size += state->resources[i].text->len + RESOURCE_OVERHEAD_BYTES;
  return size;
}

bool state_unpack(state *state, string_view bytes) {
  Wire__StateSnapshot *message =
      wire__state_snapshot__unpack(NULL, bytes.length, (const uint8_t *)bytes.data);
  if (!message)
    return false;
  state_free(state);
  state_init(state);
  state->fleet_id = message->fleet_id;
  state->seq = message->sequence;
  for (size_t i = 0; i < message->n_resources; i++)
    state_set_resource(state, message->resources[i], message->resources[i]->version);
  for (size_t i = 0; i < message->n_grants; i++)
    state_put_grant(state, message->grants[i]);
  for (size_t i = 0; i < message->n_idempotency_records; i++) {
    const Wire__IdempotencyRecord *record = message->idempotency_records[i];
    state_add_idempotency_record(state, record->key, record->sequence, record->hash);
  }
  accepted_changes_unpack(&state->accepted, message->accepted);
  wire__state_snapshot__free_unpacked(message, NULL);
  return true;
}
