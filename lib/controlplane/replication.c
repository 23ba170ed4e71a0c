/** Replication along the chain: the head orders writes, each member syncs before it passes them on,
 * and the sync of the tail commits. */
#include "replica_internal.h"

bool replication_lock(replica *replica, time_us till) {
  while (replica->write_locked)
    if (condition_wait(&replica->node->world->tasks, &replica->write_unlocked, till) !=
        WAKE_SIGNALLED)
      return false;
  replica->write_locked = true;
  return true;
}

void replication_unlock(replica *replica) {
  replica->write_locked = false;
  condition_broadcast(&replica->write_unlocked);
}

void replication_commit(replica *replica, uint64_t seq) {
  if (seq > replica->last_seq)
    seq = replica->last_seq;
  if (seq <= replica->committed.seq)
    return;
  for (GList *l = replica->recent_records.head; l; l = l->next) {
    record *r = l->data;
    if (r->seq == replica->committed.seq + 1 && r->seq <= seq)
      state_apply(&replica->committed, r->seq, string_view_of_gstring(r->op));
  }
  condition_broadcast(&replica->state_changed);
}

void replication_commit_as_tail(replica *replica) {
  chain_position copy = replica_chain_position(replica);
  replication_commit(
      replica, chain_commit_sequence(&copy, &replica->view,
                                     replica_view_is_under_replicated(replica, &replica->view)));
}

/* writes that this copy is whole or is not, and waits for the sync */
static int replication_store_in_sync(replica *replica, bool whole, error *err) {
  GString *b = g_string_new(NULL);
  /* nothing rests on a whole copy before its mark is synced; a file that is begun meanwhile has the
     new mark already */
  replica->in_sync = whole;
  replica->in_sync_marking = whole;
  wal_entries_add_disk(b, replica);
  int r = wal_append_all(&replica->wal, string_view_of_gstring(b), err);
  replica->in_sync_marking = false;
  if (r)
    replica->in_sync = false;
  g_string_free(b, TRUE);
  return r;
}

/* fetches the state anew; from the first byte on this copy is not whole, so that a vote in the
   meantime does not make it head */
static int replication_fetch_again(replica *replica, const char *addr, error *err) {
  int r = replication_store_in_sync(replica, false, err);
  return r ? r : snapshot_fetch(replica, addr, err);
}

/* syncs and keeps the records that follow this copy without a gap */
static int replication_append(replica *replica, const Wire__ReplicateRequest *p, error *err) {
  uint64_t seqs[REPLICATE_BATCH_MAX];
  size_t n = MIN(p->n_records, (size_t)REPLICATE_BATCH_MAX), from;
  for (size_t i = 0; i < n; i++)
    seqs[i] = p->records[i]->sequence;
  size_t fit = chain_appendable(replica->last_seq, seqs, n, &from);
  if (!fit)
    return OK;
  GString *b = g_string_new(NULL);
  for (size_t i = from; i < n; i++) {
    const Wire__Record *x = p->records[i];
    if (x->sequence > replica->last_seq && x->sequence <= replica->last_seq + fit)
      wal_entries_add_record(b, x->sequence, x->epoch,
                             (string_view){ (char *)x->operation.data, x->operation.len });
  }
  uint64_t gen = replica->log_resets, low = replica->last_seq, high = replica->last_seq + fit;
  int r = wal_append_all(&replica->wal, string_view_of_gstring(b), err);
  g_string_free(b, TRUE);
  if (r || gen != replica->log_resets)
    return r;
  for (size_t i = from; i < n; i++) {
    const Wire__Record *x = p->records[i];
    if (x->sequence <= low || x->sequence > high)
      continue;
    recent_records_add(replica, x->sequence, x->epoch,
                       (string_view){ (char *)x->operation.data, x->operation.len });
    replica->last_seq = x->sequence;
  }
  replica->ordered_valid = false;
  return OK;
}

int replication_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  Wire__ReplicateRequest *p = in->replicate_request;
  if (!replica->running)
    return error_set(err, E_NO_CONTROLLER, "starting");
  if (replica->wal.failed)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  if (p->epoch != replica->view.epoch)
    return error_set(err, E_VIEW_MISMATCH, "another view is known here: %" PRIu64,
                     replica->view.epoch);
  if (view_change_prepare_pending(replica))
    return error_set(err, E_STALE_EPOCH, "a vote on the next view is under way");
  id from = id_of_text(in->from->id);
  chain_position copy = replica_chain_position(replica);
  if (!chain_may_accept(&copy, &replica->view, p->epoch, from))
    return error_set(err, E_VIEW_MISMATCH, "not the one behind you");
  if (!replication_lock(replica, time_add(world_now(replica->node->world), time_from_ms(1000))))
    return error_set(err, E_OVERLOADED, "still writing");
  int r = OK;
  copy = replica_chain_position(replica);
  if (!chain_may_accept(&copy, &replica->view, p->epoch, from))
    r = error_set(err, E_STALE_EPOCH, "the view changed");
  bool differs = !r && p->checksum_sequence && p->checksum_sequence == replica->committed.seq &&
                 replica_in_sync(replica) && state_checksum(&replica->committed) != p->checksum;
  if (differs)
    log_info(&replica->node->log, "chain",
             "This copy differs from that of %s at write %" PRIu64
             "; it is fetched anew (code %d).",
             in->from->id, p->checksum_sequence, E_BAD_RECORD);
  if (!r && (p->need_snapshot || differs))
    r = replication_fetch_again(replica, in->from->address, err);
  if (!r)
    r = replication_append(replica, p, err);
  copy = replica_chain_position(replica);
  if (!r && p->epoch == replica->view.epoch &&
      chain_becomes_in_sync(&copy, p->in_sync, p->last_sequence)) {
    r = replication_store_in_sync(replica, true, err);
    if (!r)
      log_info(&replica->node->log, "core", "This copy is whole at %" PRIu64 ".",
               replica->last_seq);
  }
  replication_commit_as_tail(replica);
  replication_unlock(replica);
  if (r)
    return r;
  condition_broadcast(&replica->replication_wanted);
  time_us till = time_add(world_now(replica->node->world), time_from_ms(150));
  while (replica->committed.seq < replica->last_seq && p->epoch == replica->view.epoch)
    if (condition_wait(&replica->node->world->tasks, &replica->state_changed, till) !=
        WAKE_SIGNALLED)
      break;
  Wire__ReplicateResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_REPLICATE_RESPONSE,
                                              &wire__replicate_response__descriptor);
  b->ok = true;
  b->last_sequence = replica->last_seq;
  b->commit_sequence = replica->committed.seq;
  return OK;
}

void replication_run(void *p) {
  replica *replica = p;
  world *world = replica->node->world;
  uint64_t epoch = 0, theirs = 0;
  bool know = false, digest = false;
  for (;;) {
    int at = replica_chain_index(replica);
    chain_position copy = replica_chain_position(replica);
    if (replica->wal.failed || !chain_may_send(&copy, &replica->view)) {
      /* a vote stops the link, but says nothing of whether it was sound */
      if (!view_change_prepare_pending(replica))
        replica->successor_answered_at = world_now(world);
      if (condition_wait(&world->tasks, &replica->replication_wanted,
                         time_add(world_now(world), time_from_ms(200))) == WAKE_STOPPED)
        return;
      continue;
    }
    if (epoch != replica->view.epoch) {
      epoch = replica->view.epoch;
      know = digest = false;
      replica->successor_answered_at = world_now(world);
    }
    if (know && theirs >= replica->last_seq && replica->committed.seq >= replica->last_seq)
      if (condition_wait(&world->tasks, &replica->replication_wanted,
                         time_add(world_now(world), time_from_ms(250))) == WAKE_STOPPED)
        return;
    if (epoch != replica->view.epoch)
      continue;
    char addr[48];
    g_strlcpy(addr, replica->view.chain[at + 1].address, sizeof addr);
    Wire__Record rec[REPLICATE_BATCH_MAX], *recs[REPLICATE_BATCH_MAX];
    Wire__ReplicateRequest put = WIRE__REPLICATE_REQUEST__INIT;
    size_t bytes = 0, n = 0, most = MIN((size_t)SNAPSHOT_CHUNK_BYTES, replica->wal.size / 8);
    if (know && theirs < replica->last_seq) {
      record *low = replica->recent_records.head ? replica->recent_records.head->data : NULL;
      if (!low || low->seq > theirs + 1)
        digest = true;
      for (GList *l = replica->recent_records.head;
           l && !digest && n < REPLICATE_BATCH_MAX && bytes < most; l = l->next) {
        record *r = l->data;
        if (r->seq <= theirs || r->seq > replica->last_seq)
          continue;
        wire__record__init(&rec[n]);
        rec[n].sequence = r->seq;
        rec[n].epoch = r->epoch;
        rec[n].operation.data = (uint8_t *)r->op->str;
        rec[n].operation.len = r->op->len;
        recs[n] = &rec[n];
        bytes += r->op->len;
        n++;
      }
    }
    /* now and then the sweep: the next one holds its copy against this sum */
    if (time_reached(world_now(world),
                     time_add(replica->last_sweep_at, time_from_ms(CHECKSUM_INTERVAL_MS)))) {
      replica->last_sweep_at = world_now(world);
      put.checksum_sequence = replica->committed.seq;
      put.checksum = state_checksum(&replica->committed);
    }
    put.epoch = epoch;
    put.last_sequence = replica->last_seq;
    put.in_sync = replica_in_sync(replica);
    put.need_snapshot = digest;
    put.commit_sequence = replica->committed.seq;
    put.n_records = n;
    put.records = recs;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, &put);
    Wire__Envelope *b;
    error err = { 0 };
    int r = node_call(replica->node, addr, &m, time_from_ms(digest ? 4000 : 1000), &b, &err);
    digest = false;
    if (r == E_STOPPING)
      return;
    if (r) {
      if (r == E_VIEW_MISMATCH)
        view_change_announce(replica, addr);
      log_debug(&replica->node->log, "chain", "%s does not follow: %s (code %d).", addr, err.text,
                r);
      if (!world_sleep(world, time_from_ms(100)))
        return;
      continue;
    }
    if (b->body_case == WIRE__ENVELOPE__BODY_REPLICATE_RESPONSE && epoch == replica->view.epoch) {
      know = true;
      theirs = b->replicate_response->last_sequence;
      replica->successor_answered_at = world_now(world);
      if (theirs > replica->last_seq)
        log_info(&replica->node->log, "chain",
                 "%s is ahead of this machine: %" PRIu64 " over %" PRIu64 " (code %d).", addr,
                 theirs, replica->last_seq, E_BAD_RECORD);
      replication_commit(replica, b->replicate_response->commit_sequence);
    }
    node_reply_free(b);
  }
}

const state *replica_ordered_state(replica *replica) {
  if (replica->ordered_valid)
    return &replica->ordered;
  state_copy(&replica->ordered, &replica->committed);
  for (GList *l = replica->recent_records.head; l; l = l->next) {
    record *x = l->data;
    if (x->seq > replica->ordered.seq && x->seq <= replica->last_seq)
      state_apply(&replica->ordered, x->seq, string_view_of_gstring(x->op));
  }
  replica->ordered_valid = true;
  return &replica->ordered;
}

/* true when no more writes may wait for the tail */
static bool replication_backlog_full(const replica *replica) {
  uint64_t waiting = replica->last_seq - replica->committed.seq;
  size_t bytes = 0;
  for (GList *l = replica->recent_records.tail;
       l && ((record *)l->data)->seq > replica->committed.seq; l = l->prev)
    bytes += ((record *)l->data)->op->len;
  return waiting > (bytes > PENDING_BYTES_LARGE ? PENDING_LARGE_WRITES_MAX : PENDING_WRITES_MAX);
}

/* what a ring file can take beside the state and the writes that wait for the tail */
static size_t replication_free_bytes(const replica *replica) {
  size_t used = state_packed_size_max(&replica->ordered) +
                MIN((size_t)SNAPSHOT_CHUNK_BYTES, replica->wal.size / 8);
  for (GList *l = replica->recent_records.tail;
       l && ((record *)l->data)->seq > replica->committed.seq; l = l->prev)
    used += ((record *)l->data)->op->len + 64;
  return used < replica->wal.size ? replica->wal.size - used : 0;
}

int replica_write(replica *replica, operation_builder make, void *ctx, time_us span, uint64_t *seq,
                  error *err) {
  world *world = replica->node->world;
  time_us till = time_add(world_now(world), span);
  if (!replication_lock(replica, till))
    return error_set(err, E_NO_CONTROLLER, "the head is busy; nothing was written");
  int r = OK;
  if (!replica_is_acting_head(replica))
    r = error_set(err, E_NO_CONTROLLER, "this machine is not the acting head");
  else if (replica_view_is_under_replicated(replica, &replica->view))
    r = error_set(err, E_TOO_FEW_ZONES,
                  "the chain has too few copies or areas; nothing was written");
  else if (replication_backlog_full(replica))
    r = error_set(err, E_OVERLOADED, "too many writes wait for the tail; nothing was written");
  GString *op = g_string_new(NULL), *b = g_string_new(NULL);
  if (!r)
    replica_ordered_state(replica);
  if (!r)
    r = make(ctx, &replica->ordered, op, err);
  uint64_t gen = replica->log_resets, n = replica->last_seq + 1, epoch = replica->view.epoch;
  if (!r && op->len && replication_free_bytes(replica) < op->len)
    r = error_set(
        err, E_DISK_FULL,
        "a write of %zu bytes does not fit into a ring file any more; nothing was written",
        op->len);
  if (!r && op->len) {
    wal_entries_add_record(b, n, epoch, string_view_of_gstring(op));
    r = wal_append_all(&replica->wal, string_view_of_gstring(b), err);
    if (r == E_DISK)
      r = error_set(err, E_OUTCOME_UNKNOWN, "the head's disk failed; the outcome is not known");
    if (!r && gen != replica->log_resets)
      r = error_set(err, E_OUTCOME_UNKNOWN, "the view changed; the outcome is not known");
    if (!r) {
      recent_records_add(replica, n, epoch, string_view_of_gstring(op));
      replica->last_seq = n;
      if (replica->ordered_valid)
        state_apply(&replica->ordered, n, string_view_of_gstring(op));
      *seq = n;
      /* a head without a successor is the tail as well */
      replication_commit_as_tail(replica);
      condition_broadcast(&replica->replication_wanted);
    }
  }
  bool wrote = !r && op->len;
  g_string_free(op, TRUE);
  g_string_free(b, TRUE);
  replication_unlock(replica);
  if (!wrote)
    return r;
  while (replica->committed.seq < n && gen == replica->log_resets)
    if (condition_wait(&world->tasks, &replica->state_changed, till) != WAKE_SIGNALLED)
      break;
  chain_position copy = replica_chain_position(replica);
  if (gen != replica->log_resets ||
      !chain_may_acknowledge(&copy, n, replica_holds_lease(replica),
                             replica_view_is_under_replicated(replica, &replica->view)))
    return error_set(err, E_OUTCOME_UNKNOWN,
                     "the tail has not confirmed write %" PRIu64 "; the outcome is not known", n);
  return OK;
}
