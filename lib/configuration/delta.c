#include "delta.h"
#include "wire.pb-c.h"

typedef struct file_window {
  size_t off, len;
} file_window;

static GArray *pieces_of(string_view t) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(file_window));
  size_t from = 0;
  for (size_t i = 0; i < t.length; i++) {
    bool end = i + 1 == t.length ||
               (t.data[i] == ',' && i > 0 && t.data[i - 1] == '}' && t.data[i + 1] == '{');
    if (!end)
      continue;
    file_window p = { from, i + 1 - from };
    g_array_append_val(all, p);
    from = i + 1;
  }
  return all;
}

static bool equal(string_view a, file_window x, string_view b, file_window y) {
  return x.len == y.len && !memcmp(a.data + x.off, b.data + y.off, x.len);
}

bool delta_encode(string_view old, string_view now, GString *to) {
  GArray *was = pieces_of(old), *is = pieces_of(now),
         *parts = g_array_new(FALSE, FALSE, sizeof(Wire__TextDeltaChunk));
  GHashTable *at = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < was->len; i++) {
    file_window p = g_array_index(was, file_window, i);
    uint64_t h = hash_bytes(old.data + p.off, p.len, 1);
    if (!g_hash_table_contains(at, &h))
      g_hash_table_insert(at, g_memdup2(&h, sizeof h), GUINT_TO_POINTER(i + 1));
  }
  for (guint i = 0; i < is->len; i++) {
    file_window p = g_array_index(is, file_window, i);
    uint64_t h = hash_bytes(now.data + p.off, p.len, 1);
    guint k = GPOINTER_TO_UINT(g_hash_table_lookup(at, &h));
    bool there = k && equal(old, g_array_index(was, file_window, k - 1), now, p);
    Wire__TextDeltaChunk *last =
        parts->len ? &g_array_index(parts, Wire__TextDeltaChunk, parts->len - 1) : NULL;
    /* a piece that stands more than once is best taken behind the one before it */
    if (last && last->count && last->first + last->count < was->len &&
        equal(old, g_array_index(was, file_window, last->first + last->count), now, p)) {
      last->count++;
      continue;
    }
    if (!there && last && !last->count) {
      last->text.len += p.len;
      continue;
    }
    Wire__TextDeltaChunk w = WIRE__TEXT_DELTA_CHUNK__INIT;
    if (there) {
      w.first = k - 1;
      w.count = 1;
    } else {
      w.text.data = (uint8_t *)now.data + p.off;
      w.text.len = p.len;
    }
    g_array_append_val(parts, w);
  }
  Wire__TextDelta d = WIRE__TEXT_DELTA__INIT;
  Wire__TextDeltaChunk **pp = g_new(Wire__TextDeltaChunk *, parts->len + 1);
  for (guint i = 0; i < parts->len; i++)
    pp[i] = &g_array_index(parts, Wire__TextDeltaChunk, i);
  d.n_chunks = parts->len;
  d.chunks = pp;
  d.checksum = hash_bytes(now.data, now.length, 2);
  size_t n = wire__text_delta__get_packed_size(&d);
  bool worth = n * 2 < now.length;
  if (worth) {
    g_string_set_size(to, n);
    wire__text_delta__pack(&d, (uint8_t *)to->str);
  }
  g_free(pp);
  g_array_free(was, TRUE);
  g_array_free(is, TRUE);
  g_array_free(parts, TRUE);
  g_hash_table_destroy(at);
  return worth;
}

bool delta_apply(string_view old, string_view delta, GString *to) {
  Wire__TextDelta *d = wire__text_delta__unpack(NULL, delta.length, (const uint8_t *)delta.data);
  if (!d)
    return false;
  GArray *was = pieces_of(old);
  bool ok = true;
  g_string_truncate(to, 0);
  for (size_t i = 0; i < d->n_chunks && ok; i++) {
    const Wire__TextDeltaChunk *p = d->chunks[i];
    ok = p->count <= was->len && p->first <= was->len - p->count;
    for (uint32_t k = 0; ok && k < p->count; k++) {
      file_window q = g_array_index(was, file_window, p->first + k);
      g_string_append_len(to, old.data + q.off, (gssize)q.len);
    }
    if (ok)
      g_string_append_len(to, (char *)p->text.data, (gssize)p->text.len);
  }
  ok = ok && hash_bytes(to->str, to->len, 2) == d->checksum;
  g_array_free(was, TRUE);
  wire__text_delta__free_unpacked(d, NULL);
  return ok;
}
