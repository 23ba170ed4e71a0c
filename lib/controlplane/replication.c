/** Replication along the chain: the head orders writes, each member syncs before it passes them on,
 * and the sync of the tail commits. */
#include "core_internal.h"

bool replication_lock(core *core, time_us till) {
  while (core->write_locked)
    if (condition_wait(&core->node->world->tasks, &core->room, till) != WAKE_SIGNALLED)
      return false;
  core->write_locked = true;
  return true;
}

void replication_unlock(core *core) {
  core->write_locked = false;
  condition_broadcast(&core->room);
}

void replication_commit(core *core, uint64_t seq) {
  if (seq > core->last_seq)
    seq = core->last_seq;
  if (seq <= core->committed.seq)
    return;
  for (GList *l = core->recent.head; l; l = l->next) {
    record *r = l->data;
    if (r->seq == core->committed.seq + 1 && r->seq <= seq)
      state_apply(&core->committed, r->seq, string_view_of_gstring(r->op));
  }
  condition_broadcast(&core->moved);
}

void replication_commit_tail(core *core) {
  chain_copy copy = core_copy(core);
  replication_commit(core, chain_commits(&copy, &core->view, view_thin(core, &core->view)));
}

/* writes that this copy is whole or is not, and waits for the sync */
static int replication_store_whole(core *core, bool whole, error *err) {
  GString *b = g_string_new(NULL);
  /* nothing rests on a whole copy before its mark is synced; a file that is begun meanwhile has the
     new mark already */
  core->whole = whole;
  core->whole_syncing = whole;
  journal_put_disk(b, core);
  int r = store_add_all(&core->disk, string_view_of_gstring(b), err);
  core->whole_syncing = false;
  if (r)
    core->whole = false;
  g_string_free(b, TRUE);
  return r;
}

/* fetches the state anew; from the first byte on this copy is not whole, so that a vote in the
   meantime does not make it head */
static int replication_refetch(core *core, const char *addr, error *err) {
  int r = replication_store_whole(core, false, err);
  return r ? r : snapshot_fetch(core, addr, err);
}

/* syncs and keeps the records that follow this copy without a gap */
static int replication_take(core *core, const Wire__ReplicateRequest *p, error *err) {
  uint64_t seqs[BATCH];
  size_t n = MIN(p->n_records, (size_t)BATCH), from;
  for (size_t i = 0; i < n; i++)
    seqs[i] = p->records[i]->sequence;
  size_t fit = chain_fitting(core->last_seq, seqs, n, &from);
  if (!fit)
    return OK;
  GString *b = g_string_new(NULL);
  for (size_t i = from; i < n; i++) {
    const Wire__Record *x = p->records[i];
    if (x->sequence > core->last_seq && x->sequence <= core->last_seq + fit)
      journal_put_record(b, x->sequence, x->epoch,
                         (string_view){ (char *)x->operation.data, x->operation.len });
  }
  uint64_t gen = core->resets, low = core->last_seq, high = core->last_seq + fit;
  int r = store_add_all(&core->disk, string_view_of_gstring(b), err);
  g_string_free(b, TRUE);
  if (r || gen != core->resets)
    return r;
  for (size_t i = from; i < n; i++) {
    const Wire__Record *x = p->records[i];
    if (x->sequence <= low || x->sequence > high)
      continue;
    journal_keep(core, x->sequence, x->epoch,
                 (string_view){ (char *)x->operation.data, x->operation.len });
    core->last_seq = x->sequence;
  }
  core->ordered_valid = false;
  return OK;
}

int on_put(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  core *core = ctx;
  Wire__ReplicateRequest *p = in->replicate_request;
  if (!core->running)
    return error_set(err, E_NO_CONTROLLER, "starting");
  if (core->disk.broken)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  if (p->epoch != core->view.epoch)
    return error_set(err, E_VIEW_MISMATCH, "another view is known here: %" PRIu64,
                     core->view.epoch);
  if (agreement_vote_pending(core))
    return error_set(err, E_STALE_EPOCH, "a vote on the next view is under way");
  id from = id_of_text(in->from->id);
  chain_copy copy = core_copy(core);
  if (!chain_may_take(&copy, &core->view, p->epoch, from))
    return error_set(err, E_VIEW_MISMATCH, "not the one behind you");
  if (!replication_lock(core, time_add(world_now(core->node->world), time_from_ms(1000))))
    return error_set(err, E_OVERLOADED, "still writing");
  int r = OK;
  copy = core_copy(core);
  if (!chain_may_take(&copy, &core->view, p->epoch, from))
    r = error_set(err, E_STALE_EPOCH, "the view changed");
  bool differs = !r && p->checksum_sequence && p->checksum_sequence == core->committed.seq &&
                 core_whole(core) && state_sum(&core->committed) != p->checksum;
  if (differs)
    log_info(&core->node->log, "chain",
             "This copy differs from that of %s at write %" PRIu64
             "; it is fetched anew (code %d).",
             in->from->id, p->checksum_sequence, E_BAD_RECORD);
  if (!r && (p->need_snapshot || differs))
    r = replication_refetch(core, in->from->address, err);
  if (!r)
    r = replication_take(core, p, err);
  copy = core_copy(core);
  if (!r && p->epoch == core->view.epoch &&
      chain_becomes_whole(&copy, p->in_sync, p->last_sequence)) {
    r = replication_store_whole(core, true, err);
    if (!r)
      log_info(&core->node->log, "core", "This copy is whole at %" PRIu64 ".", core->last_seq);
  }
  replication_commit_tail(core);
  replication_unlock(core);
  if (r)
    return r;
  condition_broadcast(&core->work);
  time_us till = time_add(world_now(core->node->world), time_from_ms(150));
  while (core->committed.seq < core->last_seq && p->epoch == core->view.epoch)
    if (condition_wait(&core->node->world->tasks, &core->moved, till) != WAKE_SIGNALLED)
      break;
  Wire__ReplicateResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_REPLICATE_RESPONSE,
                                              &wire__replicate_response__descriptor);
  b->ok = true;
  b->last_sequence = core->last_seq;
  b->commit_sequence = core->committed.seq;
  return OK;
}

void replication_link_run(void *p) {
  core *core = p;
  world *world = core->node->world;
  uint64_t epoch = 0, theirs = 0;
  bool know = false, digest = false;
  for (;;) {
    int at = core_place(core);
    chain_copy copy = core_copy(core);
    if (core->disk.broken || !chain_may_send(&copy, &core->view)) {
      /* a vote stops the link, but says nothing of whether it was sound */
      if (!agreement_vote_pending(core))
        core->link_ok_at = world_now(world);
      if (condition_wait(&world->tasks, &core->work,
                         time_add(world_now(world), time_from_ms(200))) == WAKE_STOPPED)
        return;
      continue;
    }
    if (epoch != core->view.epoch) {
      epoch = core->view.epoch;
      know = digest = false;
      core->link_ok_at = world_now(world);
    }
    if (know && theirs >= core->last_seq && core->committed.seq >= core->last_seq)
      if (condition_wait(&world->tasks, &core->work,
                         time_add(world_now(world), time_from_ms(250))) == WAKE_STOPPED)
        return;
    if (epoch != core->view.epoch)
      continue;
    char addr[48];
    g_strlcpy(addr, core->view.chain[at + 1].addr, sizeof addr);
    Wire__Record rec[BATCH], *recs[BATCH];
    Wire__ReplicateRequest put = WIRE__REPLICATE_REQUEST__INIT;
    size_t bytes = 0, n = 0, most = MIN((size_t)PART, core->disk.size / 8);
    if (know && theirs < core->last_seq) {
      record *low = core->recent.head ? core->recent.head->data : NULL;
      if (!low || low->seq > theirs + 1)
        digest = true;
      for (GList *l = core->recent.head; l && !digest && n < BATCH && bytes < most; l = l->next) {
        record *r = l->data;
        if (r->seq <= theirs || r->seq > core->last_seq)
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
    if (time_reached(world_now(world), time_add(core->last_sweep_at, time_from_ms(SWEEP_MS)))) {
      core->last_sweep_at = world_now(world);
      put.checksum_sequence = core->committed.seq;
      put.checksum = state_sum(&core->committed);
    }
    put.epoch = epoch;
    put.last_sequence = core->last_seq;
    put.in_sync = core_whole(core);
    put.need_snapshot = digest;
    put.commit_sequence = core->committed.seq;
    put.n_records = n;
    put.records = recs;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_REPLICATE_REQUEST, &put);
    Wire__Envelope *b;
    error err = { 0 };
    int r = node_call(core->node, addr, &m, time_from_ms(digest ? 4000 : 1000), &b, &err);
    digest = false;
    if (r == E_STOPPING)
      return;
    if (r) {
      if (r == E_VIEW_MISMATCH)
        agreement_announce(core, addr);
      log_debug(&core->node->log, "chain", "%s does not follow: %s (code %d).", addr, err.text, r);
      if (!world_sleep(world, time_from_ms(100)))
        return;
      continue;
    }
    if (b->body_case == WIRE__ENVELOPE__BODY_REPLICATE_RESPONSE && epoch == core->view.epoch) {
      know = true;
      theirs = b->replicate_response->last_sequence;
      core->link_ok_at = world_now(world);
      if (theirs > core->last_seq)
        log_info(&core->node->log, "chain",
                 "%s is ahead of this machine: %" PRIu64 " over %" PRIu64 " (code %d).", addr,
                 theirs, core->last_seq, E_BAD_RECORD);
      replication_commit(core, b->replicate_response->commit_sequence);
    }
    node_reply_free(b);
  }
}

const state *core_ordered(core *core) {
  if (core->ordered_valid)
    return &core->ordered;
  state_copy(&core->ordered, &core->committed);
  for (GList *l = core->recent.head; l; l = l->next) {
    record *x = l->data;
    if (x->seq > core->ordered.seq && x->seq <= core->last_seq)
      state_apply(&core->ordered, x->seq, string_view_of_gstring(x->op));
  }
  core->ordered_valid = true;
  return &core->ordered;
}

/* true when no more writes may wait for the tail */
static bool replication_backlog_full(const core *core) {
  uint64_t waiting = core->last_seq - core->committed.seq;
  size_t bytes = 0;
  for (GList *l = core->recent.tail; l && ((record *)l->data)->seq > core->committed.seq;
       l = l->prev)
    bytes += ((record *)l->data)->op->len;
  return waiting > (bytes > PENDING_BYTES ? PENDING_LARGE_MOST : PENDING_MOST);
}

/* what a ring file can take beside the state and the writes that wait for the tail */
static size_t replication_room(const core *core) {
  size_t used = state_size(&core->ordered) + MIN((size_t)PART, core->disk.size / 8);
  for (GList *l = core->recent.tail; l && ((record *)l->data)->seq > core->committed.seq;
       l = l->prev)
    used += ((record *)l->data)->op->len + 64;
  return used < core->disk.size ? core->disk.size - used : 0;
}

int core_write(core *core, core_make make, void *ctx, time_us span, uint64_t *seq, error *err) {
  world *world = core->node->world;
  time_us till = time_add(world_now(world), span);
  if (!replication_lock(core, till))
    return error_set(err, E_NO_CONTROLLER, "the head is busy; nothing was written");
  int r = OK;
  if (!core_heads(core))
    r = error_set(err, E_NO_CONTROLLER, "this machine is not the acting head");
  else if (view_thin(core, &core->view))
    r = error_set(err, E_TOO_FEW_ZONES,
                  "the chain has too few copies or areas; nothing was written");
  else if (replication_backlog_full(core))
    r = error_set(err, E_OVERLOADED, "too many writes wait for the tail; nothing was written");
  GString *op = g_string_new(NULL), *b = g_string_new(NULL);
  if (!r)
    core_ordered(core);
  if (!r)
    r = make(ctx, &core->ordered, op, err);
  uint64_t gen = core->resets, n = core->last_seq + 1, epoch = core->view.epoch;
  if (!r && op->len && replication_room(core) < op->len)
    r = error_set(
        err, E_DISK_FULL,
        "a write of %zu bytes does not fit into a ring file any more; nothing was written",
        op->len);
  if (!r && op->len) {
    journal_put_record(b, n, epoch, string_view_of_gstring(op));
    r = store_add_all(&core->disk, string_view_of_gstring(b), err);
    if (r == E_DISK)
      r = error_set(err, E_OUTCOME_UNKNOWN, "the head's disk failed; the outcome is not known");
    if (!r && gen != core->resets)
      r = error_set(err, E_OUTCOME_UNKNOWN, "the view changed; the outcome is not known");
    if (!r) {
      journal_keep(core, n, epoch, string_view_of_gstring(op));
      core->last_seq = n;
      if (core->ordered_valid)
        state_apply(&core->ordered, n, string_view_of_gstring(op));
      *seq = n;
      /* a head without a successor is the tail as well */
      replication_commit_tail(core);
      condition_broadcast(&core->work);
    }
  }
  bool wrote = !r && op->len;
  g_string_free(op, TRUE);
  g_string_free(b, TRUE);
  replication_unlock(core);
  if (!wrote)
    return r;
  while (core->committed.seq < n && gen == core->resets)
    if (condition_wait(&world->tasks, &core->moved, till) != WAKE_SIGNALLED)
      break;
  chain_copy copy = core_copy(core);
  if (gen != core->resets ||
      !chain_acknowledges(&copy, n, core_acts(core), view_thin(core, &core->view)))
    return error_set(err, E_OUTCOME_UNKNOWN,
                     "the tail has not confirmed write %" PRIu64 "; the outcome is not known", n);
  return OK;
}
