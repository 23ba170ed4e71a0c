/** The most recent records of the chain, as a bounded queue. A successor that needs an older record
 * than the queue holds fetches a snapshot instead. */
#include "recent_records.h"

enum {
  /** Maximum number of records, and maximum size of their operations in bytes, before committed
   * records are dropped. */
  RECENT_RECORDS_MAX = 2048,
  RECENT_BYTES_MAX = 2 << 20
};

static void record_free(void *ctx) {
  record *record = ctx;
  g_string_free(record->operation, TRUE);
  g_free(record);
}

void recent_records_init(recent_records *records) {
  g_queue_init(&records->queue);
  records->bytes = 0;
}

void recent_records_clear(recent_records *records) {
  g_queue_clear_full(&records->queue, record_free);
  records->bytes = 0;
}

const record *recent_records_oldest(const recent_records *records) {
  return records->queue.head ? records->queue.head->data : NULL;
}

static void drop_oldest(recent_records *records) {
  record *oldest = g_queue_pop_head(&records->queue);
  records->bytes -= oldest->operation->len;
  record_free(oldest);
}

void recent_records_add(recent_records *records, uint64_t seq, uint64_t epoch,
                        string_view operation, uint64_t committed_seq) {
  record *added = g_new0(record, 1);
  added->seq = seq;
  added->epoch = epoch;
  added->operation = g_string_new_len(operation.data, operation.length);
  g_queue_push_tail(&records->queue, added);
  records->bytes += operation.length;
  while ((records->queue.length > RECENT_RECORDS_MAX || records->bytes > RECENT_BYTES_MAX) &&
         recent_records_oldest(records)->seq <= committed_seq)
    drop_oldest(records);
}

size_t recent_records_count_after(const recent_records *records, uint64_t committed_seq,
                                  size_t *bytes) {
  size_t count = 0;
  *bytes = 0;
  for (GList *l = records->queue.tail; l; l = l->prev) {
    const record *record = l->data;
    if (record->seq <= committed_seq)
      break;
    *bytes += record->operation->len;
    count++;
  }
  return count;
}
