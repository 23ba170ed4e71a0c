/** Deltas between two versions of a configuration's text.
 *
 * A text is split into chunks at the boundaries between items of JSON lists ("},{"), which needs no
 * parsing. Chunks of the new text that also occur in the old one are found by a hash and encoded as
 * runs of indexes; the others are encoded as text. A delta is short, since configurations are long
 * lists and a change affects only a few items. */
#include "delta.h"
#include "wire.pb-c.h"

/** Seeds of the two hashes, which must be the same in all processes. */
enum { CHUNK_HASH_SEED = 1, TEXT_HASH_SEED = 2 };
/** A delta must be smaller than the text by more than this factor to be worth its cost. */
enum { SAVING_FACTOR_MIN = 2 };

/** A part of a text, in bytes. */
typedef struct text_chunk {
  size_t offset, length;
} text_chunk;

static bool ends_chunk(string_view text, size_t index) {
  if (index + 1 == text.length)
    return true;
  return text.data[index] == ',' && index > 0 && text.data[index - 1] == '}' &&
         text.data[index + 1] == '{';
}

/* Splits a text into chunks. Free with g_array_free. */
static GArray *split_into_chunks(string_view text) {
  GArray *chunks = g_array_new(FALSE, FALSE, sizeof(text_chunk));
  size_t start = 0;
  for (size_t i = 0; i < text.length; i++) {
    if (!ends_chunk(text, i))
      continue;
    text_chunk chunk = { start, i + 1 - start };
    g_array_append_val(chunks, chunk);
    start = i + 1;
  }
  return chunks;
}

static bool chunk_equal(string_view a, text_chunk x, string_view b, text_chunk y) {
  return x.length == y.length && !memcmp(a.data + x.offset, b.data + y.offset, x.length);
}

static uint64_t chunk_hash(string_view text, text_chunk chunk) {
  return hash_bytes(text.data + chunk.offset, chunk.length, CHUNK_HASH_SEED);
}

/* Maps the hash of each chunk to index + 1 of the first chunk that has it. */
static GHashTable *index_chunks(string_view text, const GArray *chunks) {
  GHashTable *index = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < chunks->len; i++) {
    uint64_t hash = chunk_hash(text, g_array_index(chunks, text_chunk, i));
    if (!g_hash_table_contains(index, &hash))
      g_hash_table_insert(index, g_memdup2(&hash, sizeof hash), GUINT_TO_POINTER(i + 1));
  }
  return index;
}

/** State of delta_encode. */
typedef struct encoder {
  string_view old, new;
  GArray *old_chunks;
  GHashTable *old_index;
  /** Array of Wire__TextDeltaChunk: runs of old chunks, and new text. */
  GArray *runs;
} encoder;

/* Adds the next chunk of the new text. */
static void encode_chunk(encoder *encoder, text_chunk chunk) {
  Wire__TextDeltaChunk *last =
      encoder->runs->len
          ? &g_array_index(encoder->runs, Wire__TextDeltaChunk, encoder->runs->len - 1)
          : NULL;
  /* Of a chunk that occurs several times, the occurrence that extends the last run is best. */
  if (last && last->count && last->first + last->count < encoder->old_chunks->len &&
      chunk_equal(encoder->old,
                  g_array_index(encoder->old_chunks, text_chunk, last->first + last->count),
                  encoder->new, chunk)) {
    last->count++;
    return;
  }
  uint64_t hash = chunk_hash(encoder->new, chunk);
  guint found = GPOINTER_TO_UINT(g_hash_table_lookup(encoder->old_index, &hash));
  bool is_old =
      found && chunk_equal(encoder->old, g_array_index(encoder->old_chunks, text_chunk, found - 1),
                           encoder->new, chunk);
  if (!is_old && last && !last->count) {
    last->text.len += chunk.length;
    return;
  }
  Wire__TextDeltaChunk run = WIRE__TEXT_DELTA_CHUNK__INIT;
  if (is_old) {
    run.first = found - 1;
    run.count = 1;
  } else {
    run.text.data = (uint8_t *)encoder->new.data + chunk.offset;
    run.text.len = chunk.length;
  }
  g_array_append_val(encoder->runs, run);
}

/* Packs the runs into a message; false if that saves too little. */
static bool pack_runs(const encoder *encoder, GString *to) {
  Wire__TextDelta delta = WIRE__TEXT_DELTA__INIT;
  Wire__TextDeltaChunk **runs = g_new(Wire__TextDeltaChunk *, encoder->runs->len + 1);
  for (guint i = 0; i < encoder->runs->len; i++)
    runs[i] = &g_array_index(encoder->runs, Wire__TextDeltaChunk, i);
  delta.n_chunks = encoder->runs->len;
  delta.chunks = runs;
  delta.checksum = hash_bytes(encoder->new.data, encoder->new.length, TEXT_HASH_SEED);
  size_t size = wire__text_delta__get_packed_size(&delta);
  bool saves = size * SAVING_FACTOR_MIN < encoder->new.length;
  if (saves) {
    g_string_set_size(to, size);
    wire__text_delta__pack(&delta, (uint8_t *)to->str);
  }
  g_free(runs);
  return saves;
}

bool delta_encode(string_view old, string_view new, GString *to) {
  GArray *new_chunks = split_into_chunks(new);
  encoder encoder = { .old = old, .new = new, .old_chunks = split_into_chunks(old) };
  encoder.old_index = index_chunks(old, encoder.old_chunks);
  encoder.runs = g_array_new(FALSE, FALSE, sizeof(Wire__TextDeltaChunk));
  for (guint i = 0; i < new_chunks->len; i++)
    encode_chunk(&encoder, g_array_index(new_chunks, text_chunk, i));
  bool saves = pack_runs(&encoder, to);
  g_array_free(new_chunks, TRUE);
  g_array_free(encoder.old_chunks, TRUE);
  g_array_free(encoder.runs, TRUE);
  g_hash_table_destroy(encoder.old_index);
  return saves;
}

/* Appends the old chunks and the new text of a run; false if the old text lacks these chunks. */
static bool append_run(string_view old, const GArray *old_chunks, const Wire__TextDeltaChunk *run,
                       GString *to) {
  if (run->count > old_chunks->len || run->first > old_chunks->len - run->count)
    return false;
  for (uint32_t i = 0; i < run->count; i++) {
    text_chunk chunk = g_array_index(old_chunks, text_chunk, run->first + i);
    g_string_append_len(to, old.data + chunk.offset, (gssize)chunk.length);
  }
  g_string_append_len(to, (char *)run->text.data, (gssize)run->text.len);
  return true;
}

bool delta_apply(string_view old, string_view packed, GString *to) {
  Wire__TextDelta *delta =
      wire__text_delta__unpack(NULL, packed.length, (const uint8_t *)packed.data);
  if (!delta)
    return false;
  GArray *old_chunks = split_into_chunks(old);
  bool ok = true;
  g_string_truncate(to, 0);
  for (size_t i = 0; i < delta->n_chunks && ok; i++)
    ok = append_run(old, old_chunks, delta->chunks[i], to);
  ok = ok && hash_bytes(to->str, to->len, TEXT_HASH_SEED) == delta->checksum;
  g_array_free(old_chunks, TRUE);
  wire__text_delta__free_unpacked(delta, NULL);
  return ok;
}
