/** Transfer of the whole state to a member that comes in or has fallen too far behind. */
#include "replica_internal.h"

int snapshot_fetch(replica *replica, const char *addr, error *err) {
  GString *all = g_string_new(NULL);
  uint64_t seq = 0, size = 1;
  int r = OK;
  while (!r && all->len < size) {
    Wire__SnapshotRequest f = WIRE__SNAPSHOT_REQUEST__INIT;
    f.sequence = seq;
    f.offset = all->len;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, &f);
    Wire__Envelope *b;
    r = node_call(replica->node, addr, &m, time_from_ms(1500), &b, err);
    if (r)
      break;
    if (b->body_case != WIRE__ENVELOPE__BODY_SNAPSHOT_RESPONSE ||
        (all->len &&
         (b->snapshot_response->sequence != seq || b->snapshot_response->size != size)) ||
        !b->snapshot_response->chunk.len)
      r = error_set(err, E_WIRE_MESSAGE, "the digest changed while it came");
    else {
      seq = b->snapshot_response->sequence;
      size = b->snapshot_response->size;
      g_string_append_len(all, (char *)b->snapshot_response->chunk.data,
                          b->snapshot_response->chunk.len);
    }
    node_reply_free(b);
  }
  state t;
  state_init(&t);
  if (!r && !state_unpack(&t, string_view_of_gstring(all)))
    r = error_set(err, E_WIRE_MESSAGE, "the digest can't be read");
  if (!r && replica->view.fleet_id && t.fleet_id != replica->view.fleet_id)
    r = error_set(err, E_VIEW_MISMATCH, "the digest is another fleet's");
  g_string_free(all, TRUE);
  if (r) {
    state_free(&t);
    return r;
  }
  snapshots_free(replica);
  state_free(&replica->committed);
  replica->committed = t;
  recent_records_clear(replica);
  replica->last_seq = t.seq;
  replica->in_sync = false;
  replica->last_seq_at_start = 0;
  replica->ordered_valid = false;
  replica->log_resets++;
  return wal_rotate(&replica->wal, err);
}

static void snapshot_drop(snapshot *s) {
  if (s->text)
    g_string_free(s->text, TRUE);
  *s = (snapshot){ 0 };
}

void snapshots_expire(replica *replica) {
  time_us now = world_now(replica->node->world);
  for (int i = 0; i < SNAPSHOTS_MAX; i++) {
    snapshot *s = &replica->snapshots[i];
    if (s->text && time_reached(now, time_add(s->used_at, time_from_ms(SNAPSHOT_IDLE_MS))))
      snapshot_drop(s);
  }
}

void snapshots_free(replica *replica) {
  for (int i = 0; i < SNAPSHOTS_MAX; i++)
    snapshot_drop(&replica->snapshots[i]);
}

/* the snapshot of a write, or NULL */
static snapshot *snapshot_of(replica *replica, uint64_t seq) {
  for (int i = 0; i < SNAPSHOTS_MAX; i++)
    if (replica->snapshots[i].text && replica->snapshots[i].seq == seq)
      return &replica->snapshots[i];
  return NULL;
}

/* true when every record after a snapshot is still kept, so that it need not be made anew */
static bool snapshot_can_be_followed(const replica *replica, const snapshot *s) {
  const record *oldest = replica->recent_records.head ? replica->recent_records.head->data : NULL;
  return s->seq == replica->last_seq || (oldest && oldest->seq <= s->seq + 1);
}

/* what one that begins to fetch is given: the snapshot that others fetch, when the records after it
 * are kept; else a new one, in the place of none or of the one that was asked for longest ago */
static snapshot *snapshot_begin(replica *replica) {
  snapshot *best = NULL, *oldest = &replica->snapshots[0];
  for (int i = 0; i < SNAPSHOTS_MAX; i++) {
    snapshot *s = &replica->snapshots[i];
    if (s->text && snapshot_can_be_followed(replica, s) && (!best || s->seq > best->seq))
      best = s;
    if (s->used_at.us < oldest->used_at.us)
      oldest = s;
  }
  if (best)
    return best;
  snapshot_drop(oldest);
  oldest->seq = replica->committed.seq;
  oldest->text = g_string_new(NULL);
  state_pack(&replica->committed, replica->view.epoch, oldest->text);
  return oldest;
}

int snapshot_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  if (replica_chain_index(replica) < 0 || !replica_in_sync(replica))
    return error_set(err, E_NO_CONTROLLER, "not in the chain");
  uint64_t off = in->snapshot_request->offset;
  snapshots_expire(replica);
  snapshot *s =
      off ? snapshot_of(replica, in->snapshot_request->sequence) : snapshot_begin(replica);
  if (!s || off >= s->text->len)
    return error_set(err, E_WIRE_MESSAGE, "no such part");
  s->used_at = world_now(replica->node->world);
  Wire__SnapshotResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_SNAPSHOT_RESPONSE,
                                             &wire__snapshot_response__descriptor);
  b->sequence = s->seq;
  b->size = s->text->len;
  b->offset = off;
  b->chunk.len = MIN((size_t)SNAPSHOT_CHUNK_BYTES, s->text->len - off);
  b->chunk.data = reply_alloc(reply, b->chunk.len + 1);
  memcpy(b->chunk.data, s->text->str + off, b->chunk.len);
  return OK;
}
