/** What a core machine writes to its disk, and how it is read back at a start. */
#include "replica_internal.h"

void wal_entries_add_view(GString *to, const view *view) {
  view_message m;
  Wire__View *w = view_pack(&m, view);
  size_t n = wire__view__get_packed_size(w);
  uint8_t *p = g_malloc(n);
  wire__view__pack(w, p);
  wal_entry_add(to, ENTRY_VIEW, p, n);
  g_free(p);
}

void wal_entries_add_acceptor(GString *to, const acceptor_state *s) {
  Wire__AcceptorState w = WIRE__ACCEPTOR_STATE__INIT;
  Wire__ProposalNumber p, t;
  view_message m;
  proposal_number_pack(&p, &s->promised);
  proposal_number_pack(&t, &s->accepted);
  w.epoch = s->epoch;
  w.promised = &p;
  w.accepted = &t;
  if (s->has_accepted)
    w.view = view_pack(&m, &s->value);
  size_t n = wire__acceptor_state__get_packed_size(&w);
  uint8_t *b = g_malloc(n);
  wire__acceptor_state__pack(&w, b);
  wal_entry_add(to, ENTRY_VOTE, b, n);
  g_free(b);
}

void wal_entries_add_record(GString *to, uint64_t seq, uint64_t epoch, string_view op) {
  Wire__Record r = WIRE__RECORD__INIT;
  r.sequence = seq;
  r.epoch = epoch;
  r.operation.data = (uint8_t *)op.data;
  r.operation.len = op.length;
  size_t n = wire__record__get_packed_size(&r);
  uint8_t *b = g_malloc(n);
  wire__record__pack(&r, b);
  wal_entry_add(to, ENTRY_RECORD, b, n);
  g_free(b);
}

void wal_entries_add_disk(GString *to, const replica *replica) {
  uint64_t d[2] = { replica->disk_id, replica->in_sync };
  wal_entry_add(to, ENTRY_DISK, d, sizeof d);
}

void wal_entries_base(void *ctx, GString *to) {
  replica *replica = ctx;
  wal_entries_add_disk(to, replica);
  if (replica->view.epoch)
    wal_entries_add_view(to, &replica->view);
  if (replica->acceptor.epoch)
    wal_entries_add_acceptor(to, &replica->acceptor);
  if (replica->founder_count && !replica->view.epoch)
    wal_entry_add(to, ENTRY_FOUNDERS, replica->founder_addresses,
                  sizeof replica->founder_addresses);
  size_t at = wal_entry_begin(to, ENTRY_SNAPSHOT);
  state_pack(&replica->committed, replica->view.epoch, to);
  wal_entry_end(to, at);
  for (GList *l = replica->recent_records.head; l; l = l->next) {
    record *r = l->data;
    if (r->seq > replica->committed.seq && r->seq <= replica->last_seq)
      wal_entries_add_record(to, r->seq, r->epoch, string_view_of_gstring(r->op));
  }
}

void record_free(void *p) {
  record *r = p;
  g_string_free(r->op, TRUE);
  g_free(r);
}

void recent_records_add(replica *replica, uint64_t seq, uint64_t epoch, string_view op) {
  record *r = g_new0(record, 1);
  r->seq = seq;
  r->epoch = epoch;
  r->op = g_string_new_len(op.data, op.length);
  g_queue_push_tail(&replica->recent_records, r);
  replica->recent_bytes += op.length;
  while ((replica->recent_records.length > RECENT_RECORDS_MAX ||
          replica->recent_bytes > RECENT_BYTES_MAX) &&
         ((record *)replica->recent_records.head->data)->seq <= replica->committed.seq) {
    record *old = g_queue_pop_head(&replica->recent_records);
    replica->recent_bytes -= old->op->len;
    record_free(old);
  }
}

void recent_records_clear(replica *replica) {
  g_queue_clear_full(&replica->recent_records, record_free);
  replica->recent_bytes = 0;
}

void wal_entries_replay(void *ctx, int kind, string_view body) {
  replica *replica = ctx;
  if (kind == ENTRY_DISK && body.length == 16) {
    uint64_t d[2];
    memcpy(d, body.data, 16);
    replica->disk_id = d[0];
    replica->in_sync = d[1];
  } else if (kind == ENTRY_FOUNDERS && body.length == sizeof replica->founder_addresses) {
    memcpy(replica->founder_addresses, body.data, body.length);
    for (replica->founder_count = 0;
         replica->founder_count < 3 && replica->founder_addresses[replica->founder_count][0];
         replica->founder_count++)
      replica->founder_addresses[replica->founder_count][47] = 0;
  } else if (kind == ENTRY_VIEW) {
    Wire__View *w = wire__view__unpack(NULL, body.length, (const uint8_t *)body.data);
    view v;
    if (view_unpack(&v, w))
      replica->view = v;
    if (w)
      wire__view__free_unpacked(w, NULL);
  } else if (kind == ENTRY_VOTE) {
    Wire__AcceptorState *w =
        wire__acceptor_state__unpack(NULL, body.length, (const uint8_t *)body.data);
    if (!w)
      return;
    memset(&replica->acceptor, 0, sizeof replica->acceptor);
    replica->acceptor.epoch = w->epoch;
    replica->acceptor.promised = proposal_number_unpack(w->promised);
    replica->acceptor.accepted = proposal_number_unpack(w->accepted);
    replica->acceptor.has_accepted = w->view && view_unpack(&replica->acceptor.value, w->view);
    wire__acceptor_state__free_unpacked(w, NULL);
  } else if (kind == ENTRY_SNAPSHOT) {
    if (state_unpack(&replica->committed, body))
      replica->last_seq = replica->committed.seq;
  } else if (kind == ENTRY_RECORD) {
    Wire__Record *r = wire__record__unpack(NULL, body.length, (const uint8_t *)body.data);
    if (r && r->sequence == replica->last_seq + 1) {
      replica->last_seq = r->sequence;
      recent_records_add(replica, r->sequence, r->epoch,
                         (string_view){ (char *)r->operation.data, r->operation.len });
    }
    if (r)
      wire__record__free_unpacked(r, NULL);
  }
}
