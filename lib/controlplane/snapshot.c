/** Snapshots of the committed state.
 *
 * A member fetches one chunk after the other. Its first request (offset 0) names no write and is
 * answered from a cached snapshot if the records after that are still in memory, or else from a new
 * one. Later requests name the write of the snapshot that the first response was part of. */
#include "replica.h"

enum {
  /** Size of a chunk, in bytes. */
  SNAPSHOT_CHUNK_BYTES = 256 * 1024,
  /** Timeout of the request for a chunk, in ms. */
  SNAPSHOT_CHUNK_TIMEOUT_MS = 1500
};

/* a snapshot fetch in progress */
typedef struct {
  GString *packed;
  uint64_t seq, size;
} download;

static enum error_code append_chunk(download *download, const Wire__Envelope *response,
                                    error *err) {
  const Wire__SnapshotResponse *chunk = response->snapshot_response;
  if (response->body_case != WIRE__ENVELOPE__BODY_SNAPSHOT_RESPONSE || !chunk->chunk.len)
    return error_set(err, E_WIRE_MESSAGE, "no chunk of a snapshot");
  if (download->packed->len && (chunk->sequence != download->seq || chunk->size != download->size))
    return error_set(err, E_WIRE_MESSAGE, "the snapshot changed while it was fetched");
  download->seq = chunk->sequence;
  download->size = chunk->size;
  g_string_append_len(download->packed, (char *)chunk->chunk.data, chunk->chunk.len);
  return OK;
}

static enum error_code fetch_chunk(replica *replica, const char *address, download *download,
                                   error *err) {
  Wire__SnapshotRequest request = WIRE__SNAPSHOT_REQUEST__INIT;
  request.sequence = download->seq;
  request.offset = download->packed->len;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, &request);
  Wire__Envelope *response;
  enum error_code code = peer_rpc_call(replica->node, address, &message,
                                       time_from_ms(SNAPSHOT_CHUNK_TIMEOUT_MS), &response, err);
  if (code)
    return code;
  code = append_chunk(download, response, err);
  peer_rpc_message_free(response);
  return code;
}

/* fetches and unpacks the state of a member; the caller frees *fetched even if an error occurs */
static enum error_code fetch_state(replica *replica, const char *address, state *fetched,
                                   error *err) {
  download download = { .packed = g_string_new(NULL) };
  enum error_code code;
  do {
    code = fetch_chunk(replica, address, &download, err);
  } while (!code && download.packed->len < download.size);
  if (!code && !state_unpack(fetched, string_view_of_gstring(download.packed)))
    code = error_set(err, E_WIRE_MESSAGE, "the snapshot can't be read");
  if (!code && replica->view.fleet_id && fetched->fleet_id != replica->view.fleet_id)
    code = error_set(err, E_VIEW_MISMATCH, "the snapshot is another fleet's");
  g_string_free(download.packed, TRUE);
  return code;
}

/* replaces the state with a fetched one and takes ownership of it */
static void install_state(replica *replica, const state *fetched) {
  snapshot_cache_clear(&replica->snapshot_cache);
  state_free(&replica->committed);
  replica->committed = *fetched;
  recent_records_clear(&replica->recent_records);
  replica->last_seq = fetched->seq;
  replica->in_sync = false;
  replica->last_seq_at_start = 0;
  replica->replication.ordered_valid = false;
  replica->log_resets++;
}

enum error_code snapshot_fetch(replica *replica, const char *address, error *err) {
  state fetched;
  state_init(&fetched);
  enum error_code code = fetch_state(replica, address, &fetched, err);
  if (code) {
    state_free(&fetched);
    return code;
  }
  install_state(replica, &fetched);
  return wal_rotate(&replica->wal, err);
}

static void free_snapshot(snapshot *snapshot) {
  if (snapshot->packed)
    g_string_free(snapshot->packed, TRUE);
  memset(snapshot, 0, sizeof *snapshot);
}

void snapshot_cache_expire(snapshot_cache *cache, time_us now) {
  for (int i = 0; i < SNAPSHOTS_MAX; i++) {
    snapshot *entry = &cache->entries[i];
    time_us idle_at = time_add(entry->used_at, time_from_ms(SNAPSHOT_IDLE_MS));
    if (entry->packed && time_reached(now, idle_at))
      free_snapshot(entry);
  }
}

void snapshot_cache_clear(snapshot_cache *cache) {
  for (int i = 0; i < SNAPSHOTS_MAX; i++)
    free_snapshot(&cache->entries[i]);
}

/* the cached snapshot of a write, or NULL */
static snapshot *find_snapshot(snapshot_cache *cache, uint64_t seq) {
  for (int i = 0; i < SNAPSHOTS_MAX; i++)
    if (cache->entries[i].packed && cache->entries[i].seq == seq)
      return &cache->entries[i];
  return NULL;
}

/* whether all records after a snapshot are still in memory, so that they can be sent to a member
 * that installs it */
static bool has_records_after(const replica *replica, const snapshot *snapshot) {
  const record *oldest = recent_records_oldest(&replica->recent_records);
  return snapshot->seq == replica->last_seq || (oldest && oldest->seq <= snapshot->seq + 1);
}

/* Returns the newest cached snapshot whose following records are in memory. If there is none,
 * creates one in a free entry or in the least recently used one. */
static snapshot *find_or_create_snapshot(replica *replica) {
  snapshot_cache *cache = &replica->snapshot_cache;
  snapshot *newest = NULL, *oldest = &cache->entries[0];
  for (int i = 0; i < SNAPSHOTS_MAX; i++) {
    snapshot *entry = &cache->entries[i];
    if (entry->packed && has_records_after(replica, entry) && (!newest || entry->seq > newest->seq))
      newest = entry;
    if (entry->used_at.us < oldest->used_at.us)
      oldest = entry;
  }
  if (newest)
    return newest;
  free_snapshot(oldest);
  oldest->seq = replica->committed.seq;
  oldest->packed = g_string_new(NULL);
  state_pack(&replica->committed, replica->view.epoch, oldest->packed);
  return oldest;
}

enum error_code snapshot_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  const Wire__SnapshotRequest *request = in->snapshot_request;
  time_us now = world_now(replica->node->world);
  if (replica_chain_index(replica) < 0 || !replica_in_sync(replica))
    return error_set(err, E_NO_CONTROLLER, "not an in-sync member of the chain");
  snapshot_cache_expire(&replica->snapshot_cache, now);
  snapshot *snapshot = request->offset ? find_snapshot(&replica->snapshot_cache, request->sequence)
                                       : find_or_create_snapshot(replica);
  if (!snapshot || request->offset >= snapshot->packed->len)
    return error_set(err, E_WIRE_MESSAGE, "no such chunk");
  snapshot->used_at = now;
  Wire__SnapshotResponse *response = reply_new_body(reply, WIRE__ENVELOPE__BODY_SNAPSHOT_RESPONSE,
                                                    &wire__snapshot_response__descriptor);
  response->sequence = snapshot->seq;
  response->size = snapshot->packed->len;
  response->offset = request->offset;
  response->chunk.len = MIN((size_t)SNAPSHOT_CHUNK_BYTES, snapshot->packed->len - request->offset);
  response->chunk.data = reply_alloc(reply, response->chunk.len + 1);
  memcpy(response->chunk.data, snapshot->packed->str + request->offset, response->chunk.len);
  return OK;
}
