/** What a core machine writes to its disk, and how it is read back at a start. */
#include "core_internal.h"

void journal_put_view(GString *to, const view *view) {
  view_msg m;
  Wire__View *w = view_pack(&m, view);
  size_t n = wire__view__get_packed_size(w);
  uint8_t *p = g_malloc(n);
  wire__view__pack(w, p);
  entry_put(to, ENTRY_VIEW, p, n);
  g_free(p);
}

void journal_put_vote(GString *to, const vote *s) {
  Wire__AcceptorState w = WIRE__ACCEPTOR_STATE__INIT;
  Wire__ProposalNumber p, t;
  view_msg m;
  ballot_pack(&p, &s->promised);
  ballot_pack(&t, &s->accepted);
  w.epoch = s->epoch;
  w.promised = &p;
  w.accepted = &t;
  if (s->has)
    w.view = view_pack(&m, &s->value);
  size_t n = wire__acceptor_state__get_packed_size(&w);
  uint8_t *b = g_malloc(n);
  wire__acceptor_state__pack(&w, b);
  entry_put(to, ENTRY_VOTE, b, n);
  g_free(b);
}

void journal_put_record(GString *to, uint64_t seq, uint64_t epoch, string_view op) {
  Wire__Record r = WIRE__RECORD__INIT;
  r.sequence = seq;
  r.epoch = epoch;
  r.operation.data = (uint8_t *)op.data;
  r.operation.len = op.length;
  size_t n = wire__record__get_packed_size(&r);
  uint8_t *b = g_malloc(n);
  wire__record__pack(&r, b);
  entry_put(to, ENTRY_RECORD, b, n);
  g_free(b);
}

void journal_put_disk(GString *to, const core *core) {
  uint64_t d[2] = { core->disk_id, core->whole };
  entry_put(to, ENTRY_DISK, d, sizeof d);
}

void journal_base(void *ctx, GString *to) {
  core *core = ctx;
  journal_put_disk(to, core);
  if (core->view.epoch)
    journal_put_view(to, &core->view);
  if (core->vote.epoch)
    journal_put_vote(to, &core->vote);
  if (core->founder_count && !core->view.epoch)
    entry_put(to, ENTRY_FOUNDERS, core->founder_addrs, sizeof core->founder_addrs);
  size_t at = entry_begin(to, ENTRY_DIGEST);
  state_pack(&core->committed, core->view.epoch, to);
  entry_end(to, at);
  for (GList *l = core->recent.head; l; l = l->next) {
    record *r = l->data;
    if (r->seq > core->committed.seq && r->seq <= core->last_seq)
      journal_put_record(to, r->seq, r->epoch, string_view_of_gstring(r->op));
  }
}

void journal_record_free(void *p) {
  record *r = p;
  g_string_free(r->op, TRUE);
  g_free(r);
}

void journal_keep(core *core, uint64_t seq, uint64_t epoch, string_view op) {
  record *r = g_new0(record, 1);
  r->seq = seq;
  r->epoch = epoch;
  r->op = g_string_new_len(op.data, op.length);
  g_queue_push_tail(&core->recent, r);
  core->recent_bytes += op.length;
  while ((core->recent.length > RECENT_MOST || core->recent_bytes > RECENT_BYTES) &&
         ((record *)core->recent.head->data)->seq <= core->committed.seq) {
    record *old = g_queue_pop_head(&core->recent);
    core->recent_bytes -= old->op->len;
    journal_record_free(old);
  }
}

void journal_recent_clear(core *core) {
  g_queue_clear_full(&core->recent, journal_record_free);
  core->recent_bytes = 0;
}

void journal_fold(void *ctx, int kind, string_view body) {
  core *core = ctx;
  if (kind == ENTRY_DISK && body.length == 16) {
    uint64_t d[2];
    memcpy(d, body.data, 16);
    core->disk_id = d[0];
    core->whole = d[1];
  } else if (kind == ENTRY_FOUNDERS && body.length == sizeof core->founder_addrs) {
    memcpy(core->founder_addrs, body.data, body.length);
    for (core->founder_count = 0;
         core->founder_count < 3 && core->founder_addrs[core->founder_count][0];
         core->founder_count++)
      core->founder_addrs[core->founder_count][47] = 0;
  } else if (kind == ENTRY_VIEW) {
    Wire__View *w = wire__view__unpack(NULL, body.length, (const uint8_t *)body.data);
    view v;
    if (view_unpack(&v, w))
      core->view = v;
    if (w)
      wire__view__free_unpacked(w, NULL);
  } else if (kind == ENTRY_VOTE) {
    Wire__AcceptorState *w =
        wire__acceptor_state__unpack(NULL, body.length, (const uint8_t *)body.data);
    if (!w)
      return;
    memset(&core->vote, 0, sizeof core->vote);
    core->vote.epoch = w->epoch;
    core->vote.promised = ballot_unpack(w->promised);
    core->vote.accepted = ballot_unpack(w->accepted);
    core->vote.has = w->view && view_unpack(&core->vote.value, w->view);
    wire__acceptor_state__free_unpacked(w, NULL);
  } else if (kind == ENTRY_DIGEST) {
    if (state_unpack(&core->committed, body))
      core->last_seq = core->committed.seq;
  } else if (kind == ENTRY_RECORD) {
    Wire__Record *r = wire__record__unpack(NULL, body.length, (const uint8_t *)body.data);
    if (r && r->sequence == core->last_seq + 1) {
      core->last_seq = r->sequence;
      journal_keep(core, r->sequence, r->epoch,
                   (string_view){ (char *)r->operation.data, r->operation.len });
    }
    if (r)
      wire__record__free_unpacked(r, NULL);
  }
}
