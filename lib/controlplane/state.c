/** The replicated state machine, driven by the records of the chain.
 *
 * Each record is a packed Operation. It may set one resource, grant singleton leases, and record
 * under which idempotency key, or as which accepted change, it was written. state_apply must have
 * the same result at every replica and in every software version, so it depends only on the state
 * and the record. */
#include "state.h"

enum {
  /** Number of recent writes whose idempotency keys are kept. */
  IDEMPOTENCY_RECORDS_MAX = 512
};

void state_init(state *state) {
  memset(state, 0, sizeof *state);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    state->resources[i].text = g_string_new("{}");
  state->grants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  g_queue_init(&state->idempotency_records);
  accepted_changes_init(&state->accepted);
}

void state_free(state *state) {
  if (!state->grants)
    return;
  for (int i = 0; i < RESOURCE_COUNT; i++)
    g_string_free(state->resources[i].text, TRUE);
  g_hash_table_destroy(state->grants);
  g_queue_clear_full(&state->idempotency_records, g_free);
  accepted_changes_free(&state->accepted);
  memset(state, 0, sizeof *state);
}

static void copy_grants(state *to, const state *from) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, from->grants);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    singleton_grant *grant = g_memdup2(value, sizeof *grant);
    g_hash_table_insert(to->grants, grant->singleton.text, grant);
  }
}

void state_copy(state *to, const state *from) {
  state_free(to);
  state_init(to);
  to->fleet_id = from->fleet_id;
  to->seq = from->seq;
  for (int i = 0; i < RESOURCE_COUNT; i++) {
    to->resources[i].version = from->resources[i].version;
    g_string_assign(to->resources[i].text, from->resources[i].text->str);
  }
  copy_grants(to, from);
  for (GList *l = from->idempotency_records.head; l; l = l->next)
    g_queue_push_tail(&to->idempotency_records, g_memdup2(l->data, sizeof(idempotency_record)));
  accepted_changes_copy(&to->accepted, &from->accepted);
}

void state_put_grant(state *state, const Wire__SingletonGrant *message) {
  singleton_grant *grant = g_new0(singleton_grant, 1);
  grant->singleton = id_of_text(message->singleton);
  grant->holder = id_of_text(message->holder);
  grant->nonce = message->nonce;
  grant->epoch = message->epoch;
  g_hash_table_replace(state->grants, grant->singleton.text, grant);
}

void state_add_idempotency_record(state *state, const char *key, uint64_t seq, uint64_t hash) {
  idempotency_record *record = g_new0(idempotency_record, 1);
  g_strlcpy(record->key, key, sizeof record->key);
  record->seq = seq;
  record->hash = hash;
  g_queue_push_tail(&state->idempotency_records, record);
  if (state->idempotency_records.length > IDEMPOTENCY_RECORDS_MAX)
    g_free(g_queue_pop_head(&state->idempotency_records));
}

void state_set_resource(state *state, const Wire__Resource *resource, uint64_t version) {
  for (int i = 0; i < RESOURCE_COUNT; i++) {
    if (strcmp(resource->name, resource_names[i]) != 0)
      continue;
    state->resources[i].version = version;
    g_string_truncate(state->resources[i].text, 0);
    g_string_append_len(state->resources[i].text, (char *)resource->text.data, resource->text.len);
  }
}

void state_apply(state *state, uint64_t seq, string_view operation) {
  state->seq = seq;
  Wire__Operation *message =
      wire__operation__unpack(NULL, operation.length, (const uint8_t *)operation.data);
  if (!message)
    return;
  if (message->resource)
    state_set_resource(state, message->resource, seq);
  for (size_t i = 0; i < message->n_grants; i++)
    state_put_grant(state, message->grants[i]);
  if (message->idempotency_key[0])
    state_add_idempotency_record(state, message->idempotency_key, seq, message->request_hash);
  const Wire__AcceptedChange *accepted = message->accepted_change;
  if (accepted)
    accepted_changes_add(&state->accepted, accepted->base_version, accepted->hash, seq);
  wire__operation__free_unpacked(message, NULL);
}

const idempotency_record *state_find_idempotency_record(const state *state, const char *key) {
  for (GList *l = state->idempotency_records.head; l; l = l->next) {
    const idempotency_record *record = l->data;
    if (!strcmp(record->key, key))
      return record;
  }
  return NULL;
}

const singleton_grant *state_find_grant(const state *state, const char *singleton) {
  return g_hash_table_lookup(state->grants, singleton);
}

static uint64_t resources_checksum(const state *state) {
  uint64_t checksum = 0;
  /* Controllers of an earlier version do not know the resources from RESOURCE_CANARY on. Their
     checksum must be the same as long as these resources were never set. */
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (i < RESOURCE_CANARY || state->resources[i].version)
      checksum ^= hash_bytes(state->resources[i].text->str, state->resources[i].text->len,
                             state->resources[i].version * RESOURCE_CANARY + i);
  return checksum;
}

static uint64_t grants_checksum(const state *state) {
  uint64_t checksum = 0;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, state->grants);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const singleton_grant *grant = value;
    checksum ^= hash_two_names(grant->singleton.text, grant->holder.text) +
                hash_bytes(&grant->epoch, sizeof grant->epoch, grant->nonce);
  }
  return checksum;
}

static uint64_t idempotency_checksum(const state *state) {
  uint64_t checksum = 0;
  for (GList *l = state->idempotency_records.head; l; l = l->next) {
    const idempotency_record *record = l->data;
    checksum ^= hash_bytes(record->key, strlen(record->key), record->seq);
  }
  return checksum;
}

uint64_t state_checksum(const state *state) {
  return hash_bytes(&state->seq, sizeof state->seq, state->fleet_id) ^ state->accepted.checksum ^
         resources_checksum(state) ^ grants_checksum(state) ^ idempotency_checksum(state);
}

config *state_compile_config(const state *state, int which, const string_view *text, error *err) {
  json *parsed[RESOURCE_COUNT] = { 0 };
  config *config = NULL;
  bool valid = true;
  for (int i = 0; i < RESOURCE_COUNT && valid; i++) {
    string_view source =
        i == which && text ? *text : string_view_of_gstring(state->resources[i].text);
    parsed[i] = json_parse(source, err);
    valid = parsed[i] != NULL;
  }
  if (valid)
    config = config_compile((const json **)parsed, err);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    json_free(parsed[i]);
  return config;
}
