/** Transfer of the whole state to a member that comes in or has fallen too far behind. */
#include "core_internal.h"

int snapshot_fetch(core *core, const char *addr, error *err) {
  GString *all = g_string_new(NULL);
  uint64_t seq = 0, size = 1;
  int r = OK;
  while (!r && all->len < size) {
    Wire__SnapshotRequest f = WIRE__SNAPSHOT_REQUEST__INIT;
    f.sequence = seq;
    f.offset = all->len;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_SNAPSHOT_REQUEST, &f);
    Wire__Envelope *b;
    r = node_call(core->node, addr, &m, time_from_ms(1500), &b, err);
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
  if (!r && core->view.fleet && t.fleet != core->view.fleet)
    r = error_set(err, E_VIEW_MISMATCH, "the digest is another fleet's");
  g_string_free(all, TRUE);
  if (r) {
    state_free(&t);
    return r;
  }
  snapshots_free(core);
  state_free(&core->committed);
  core->committed = t;
  journal_recent_clear(core);
  core->last_seq = t.seq;
  core->whole = false;
  core->read_at_start = 0;
  core->ordered_valid = false;
  core->resets++;
  return store_turn(&core->disk, err);
}

static void snapshot_drop(snapshot *s) {
  if (s->text)
    g_string_free(s->text, TRUE);
  *s = (snapshot){ 0 };
}

void snapshots_expire(core *core) {
  time_us now = world_now(core->node->world);
  for (int i = 0; i < SNAPSHOTS_MOST; i++) {
    snapshot *s = &core->snapshots[i];
    if (s->text && time_reached(now, time_add(s->used, time_from_ms(SNAPSHOT_IDLE_MS))))
      snapshot_drop(s);
  }
}

void snapshots_free(core *core) {
  for (int i = 0; i < SNAPSHOTS_MOST; i++)
    snapshot_drop(&core->snapshots[i]);
}

/* the snapshot of a write, or NULL */
static snapshot *snapshot_of(core *core, uint64_t seq) {
  for (int i = 0; i < SNAPSHOTS_MOST; i++)
    if (core->snapshots[i].text && core->snapshots[i].seq == seq)
      return &core->snapshots[i];
  return NULL;
}

/* true when every record after a snapshot is still kept, so that it need not be made anew */
static bool snapshot_can_be_followed(const core *core, const snapshot *s) {
  const record *oldest = core->recent.head ? core->recent.head->data : NULL;
  return s->seq == core->last_seq || (oldest && oldest->seq <= s->seq + 1);
}

/* what one that begins to fetch is given: the snapshot that others fetch, when the records after it
 * are kept; else a new one, in the place of none or of the one that was asked for longest ago */
static snapshot *snapshot_begin(core *core) {
  snapshot *best = NULL, *oldest = &core->snapshots[0];
  for (int i = 0; i < SNAPSHOTS_MOST; i++) {
    snapshot *s = &core->snapshots[i];
    if (s->text && snapshot_can_be_followed(core, s) && (!best || s->seq > best->seq))
      best = s;
    if (s->used.us < oldest->used.us)
      oldest = s;
  }
  if (best)
    return best;
  snapshot_drop(oldest);
  oldest->seq = core->committed.seq;
  oldest->text = g_string_new(NULL);
  state_pack(&core->committed, core->view.epoch, oldest->text);
  return oldest;
}

int on_fetch(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  if (core_place(core) < 0 || !core_whole(core))
    return error_set(err, E_NO_CONTROLLER, "not in the chain");
  uint64_t off = in->snapshot_request->offset;
  snapshots_expire(core);
  snapshot *s = off ? snapshot_of(core, in->snapshot_request->sequence) : snapshot_begin(core);
  if (!s || off >= s->text->len)
    return error_set(err, E_WIRE_MESSAGE, "no such part");
  s->used = world_now(core->node->world);
  Wire__SnapshotResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_SNAPSHOT_RESPONSE,
                                             &wire__snapshot_response__descriptor);
  b->sequence = s->seq;
  b->size = s->text->len;
  b->offset = off;
  b->chunk.len = MIN((size_t)PART, s->text->len - off);
  b->chunk.data = reply_alloc(reply, b->chunk.len + 1);
  memcpy(b->chunk.data, s->text->str + off, b->chunk.len);
  return OK;
}
