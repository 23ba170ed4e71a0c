#include "state.h"

enum { IDEMPOTENCY_RECORDS_MOST = 512 };

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

void state_copy(state *to, const state *from) {
  state_free(to);
  state_init(to);
  to->fleet_id = from->fleet_id;
  to->seq = from->seq;
  for (int i = 0; i < RESOURCE_COUNT; i++) {
    to->resources[i].version = from->resources[i].version;
    g_string_assign(to->resources[i].text, from->resources[i].text->str);
  }
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, from->grants);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    singleton_grant *grant = g_memdup2(v, sizeof *grant);
    g_hash_table_insert(to->grants, grant->singleton.text, grant);
  }
  for (GList *l = from->idempotency_records.head; l; l = l->next)
    g_queue_push_tail(&to->idempotency_records, g_memdup2(l->data, sizeof(idempotency_record)));
  accepted_changes_copy(&to->accepted, &from->accepted);
}

static void put_grant(state *state, const Wire__SingletonGrant *w) {
  singleton_grant *g = g_new0(singleton_grant, 1);
  g->singleton = id_of_text(w->singleton);
  g->holder = id_of_text(w->holder);
  g->nonce = w->nonce;
  g->epoch = w->epoch;
  g_hash_table_replace(state->grants, g->singleton.text, g);
}

static void put_idempotency_record(state *state, const char *key, uint64_t seq, uint64_t hash) {
  idempotency_record *o = g_new0(idempotency_record, 1);
  g_strlcpy(o->key, key, sizeof o->key);
  o->seq = seq;
  o->hash = hash;
  g_queue_push_tail(&state->idempotency_records, o);
  if (state->idempotency_records.length > IDEMPOTENCY_RECORDS_MOST)
    g_free(g_queue_pop_head(&state->idempotency_records));
}

void state_apply(state *state, uint64_t seq, string_view op) {
  state->seq = seq;
  Wire__Operation *o = wire__operation__unpack(NULL, op.length, (const uint8_t *)op.data);
  if (!o)
    return;
  if (o->resource)
    for (int i = 0; i < RESOURCE_COUNT; i++)
      if (!strcmp(o->resource->name, resource_names[i])) {
        state->resources[i].version = seq;
        g_string_truncate(state->resources[i].text, 0);
        g_string_append_len(state->resources[i].text, (char *)o->resource->text.data,
                            o->resource->text.len);
      }
  for (size_t i = 0; i < o->n_grants; i++)
    put_grant(state, o->grants[i]);
  if (o->idempotency_key[0])
    put_idempotency_record(state, o->idempotency_key, seq, o->request_hash);
  if (o->accepted_change)
    accepted_changes_add(&state->accepted, o->accepted_change->base_version,
                         o->accepted_change->hash, seq);
  wire__operation__free_unpacked(o, NULL);
}

const idempotency_record *state_find_idempotency_record(const state *state, const char *key) {
  for (GList *l = state->idempotency_records.head; l; l = l->next)
    if (!strcmp(((idempotency_record *)l->data)->key, key))
      return l->data;
  return NULL;
}

const singleton_grant *state_find_grant(const state *state, const char *duty) {
  return g_hash_table_lookup(state->grants, duty);
}

static void pack(const state *state, uint64_t epoch, bool keys, const uint64_t *held, size_t have,
                 uint64_t base, string_view delta, GString *to) {
  Wire__StateSnapshot d = WIRE__STATE_SNAPSHOT__INIT;
  Wire__Resource res[RESOURCE_COUNT], *resp[RESOURCE_COUNT];
  guint n = g_hash_table_size(state->grants), i = 0,
        k = keys ? state->idempotency_records.length : 0;
  Wire__SingletonGrant *gs = g_new(Wire__SingletonGrant, n + 1),
                       **gp = g_new(Wire__SingletonGrant *, n + 1);
  Wire__IdempotencyRecord *os = g_new(Wire__IdempotencyRecord, k + 1),
                          **op = g_new(Wire__IdempotencyRecord *, k + 1);
  d.fleet_id = state->fleet_id;
  d.sequence = state->seq;
  d.epoch = epoch;
  for (int r = 0; r < RESOURCE_COUNT; r++) {
    wire__resource__init(&res[r]);
    res[r].name = (char *)resource_names[r];
    res[r].version = state->resources[r].version;
    res[r].same = (size_t)r < have && held[r] && held[r] == state->resources[r].version;
    if (r == RESOURCE_ROUTING && delta.length && !res[r].same) {
      res[r].base_version = base;
      res[r].delta.data = (uint8_t *)delta.data;
      res[r].delta.len = delta.length;
    } else if (!res[r].same) {
      res[r].text.data = (uint8_t *)state->resources[r].text->str;
      res[r].text.len = state->resources[r].text->len;
    }
    resp[r] = &res[r];
  }
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, state->grants);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    singleton_grant *grant = v;
    wire__singleton_grant__init(&gs[i]);
    gs[i].singleton = grant->singleton.text;
    gs[i].holder = grant->holder.text;
    gs[i].nonce = grant->nonce;
    gs[i].epoch = grant->epoch;
    gp[i] = &gs[i];
    i++;
  }
  i = 0;
  for (GList *l = state->idempotency_records.head; l && keys; l = l->next, i++) {
    idempotency_record *o = l->data;
    wire__idempotency_record__init(&os[i]);
    os[i].key = o->key;
    os[i].sequence = o->seq;
    os[i].hash = o->hash;
    op[i] = &os[i];
  }
  /* where no trial was ever declared, nothing is said of one */
  d.n_resources = state->resources[RESOURCE_CANARY].version ? RESOURCE_COUNT : RESOURCE_CANARY;
  d.resources = resp;
  d.n_grants = n;
  d.grants = gp;
  d.n_idempotency_records = k;
  d.idempotency_records = op;
  Wire__AcceptedChanges accepted;
  if (keys) {
    accepted_changes_pack(&state->accepted, &accepted);
    d.accepted = &accepted;
  }
  size_t size = wire__state_snapshot__get_packed_size(&d), at = to->len;
  g_string_set_size(to, at + size);
  wire__state_snapshot__pack(&d, (uint8_t *)to->str + at);
  if (keys)
    accepted_changes_packed_free(&accepted);
  g_free(gs);
  g_free(gp);
  g_free(os);
  g_free(op);
}

void state_pack(const state *state, uint64_t epoch, GString *to) {
  pack(state, epoch, true, NULL, 0, 0, (string_view){ NULL, 0 }, to);
}
void state_pack_for_router(const state *state, uint64_t epoch, const uint64_t *held, size_t n,
                           GString *to) {
  pack(state, epoch, false, held, n, 0, (string_view){ NULL, 0 }, to);
}
void state_pack_for_router_with_delta(const state *state, uint64_t epoch, const uint64_t *held,
                                      size_t n, uint64_t base, string_view delta, GString *to) {
  pack(state, epoch, false, held, n, base, delta, to);
}

size_t state_packed_size_max(const state *state) {
  size_t n = 256 + (sizeof(singleton_grant) + 32) * g_hash_table_size(state->grants) +
             (sizeof(idempotency_record) + 32) * (state->idempotency_records.length + 1) +
             accepted_changes_packed_size(&state->accepted);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    n += state->resources[i].text->len + 64;
  return n;
}

uint64_t state_checksum(const state *state) {
  uint64_t n =
      hash_bytes(&state->seq, sizeof state->seq, state->fleet_id) ^ state->accepted.checksum;
  /* the same as on core machines of a version without the later ones, as long as these are blank */
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (i < RESOURCE_CANARY || state->resources[i].version)
      n ^= hash_bytes(state->resources[i].text->str, state->resources[i].text->len,
                      state->resources[i].version * RESOURCE_CANARY + i);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, state->grants);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const singleton_grant *grant = v;
    n ^= hash_two_names(grant->singleton.text, grant->holder.text) +
         hash_bytes(&grant->epoch, sizeof grant->epoch, grant->nonce);
  }
  for (GList *l = state->idempotency_records.head; l; l = l->next)
    n ^= hash_bytes(((idempotency_record *)l->data)->key,
                    strlen(((idempotency_record *)l->data)->key),
                    ((idempotency_record *)l->data)->seq);
  return n;
}

bool state_unpack(state *state, string_view bytes) {
  Wire__StateSnapshot *d =
      wire__state_snapshot__unpack(NULL, bytes.length, (const uint8_t *)bytes.data);
  if (!d)
    return false;
  state_free(state);
  state_init(state);
  state->fleet_id = d->fleet_id;
  state->seq = d->sequence;
  for (size_t i = 0; i < d->n_resources; i++)
    for (int k = 0; k < RESOURCE_COUNT; k++)
      if (!strcmp(d->resources[i]->name, resource_names[k])) {
        state->resources[k].version = d->resources[i]->version;
        g_string_truncate(state->resources[k].text, 0);
        g_string_append_len(state->resources[k].text, (char *)d->resources[i]->text.data,
                            d->resources[i]->text.len);
      }
  for (size_t i = 0; i < d->n_grants; i++)
    put_grant(state, d->grants[i]);
  for (size_t i = 0; i < d->n_idempotency_records; i++)
    put_idempotency_record(state, d->idempotency_records[i]->key,
                           d->idempotency_records[i]->sequence, d->idempotency_records[i]->hash);
  accepted_changes_unpack(&state->accepted, d->accepted);
  wire__state_snapshot__free_unpacked(d, NULL);
  return true;
}

config *state_compile_config(const state *state, int which, const string_view *text, error *err) {
  json *j[RESOURCE_COUNT] = { 0 };
  config *config = NULL;
  bool ok = true;
  for (int i = 0; i < RESOURCE_COUNT && ok; i++)
    ok = (j[i] = json_parse(i == which && text ? *text
                                               : string_view_of_gstring(state->resources[i].text),
                            err)) != NULL;
  if (ok)
    config = config_compile((const json **)j, err);
  for (int i = 0; i < RESOURCE_COUNT; i++)
    json_free(j[i]);
  return config;
}
