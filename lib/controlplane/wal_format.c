/** Packs and unpacks frames and entries of the write-ahead log. */
#include "wal_format.h"
#include <zlib.h>

size_t wal_align(size_t size) {
  return (size + WAL_ALIGNMENT - 1) & ~(size_t)(WAL_ALIGNMENT - 1);
}

uint32_t wal_frame_header_crc(const wal_frame *frame) {
  uint32_t crc = crc32(0, (const Bytef *)&frame->generation, sizeof frame->generation);
  return crc32(crc, (const Bytef *)&frame->length, sizeof frame->length);
}

size_t wal_entry_begin(GString *buffer, int kind) {
  char header[WAL_ENTRY_HEADER_BYTES] = { kind };
  g_string_append_len(buffer, header, sizeof header);
  return buffer->len;
}

void wal_entry_end(GString *buffer, size_t body_start) {
  uint32_t length = buffer->len - body_start;
  memcpy(buffer->str + body_start - sizeof length, &length, sizeof length);
}

void wal_entry_add(GString *buffer, int kind, const void *body, size_t length) {
  size_t body_start = wal_entry_begin(buffer, kind);
  g_string_append_len(buffer, body, length);
  wal_entry_end(buffer, body_start);
}

void wal_entries_for_each(string_view body, wal_entry_handler handler, void *ctx) {
  size_t offset = 0;
  while (offset + WAL_ENTRY_HEADER_BYTES <= body.length) {
    const char *entry = body.data + offset;
    uint32_t length;
    memcpy(&length, entry + WAL_ENTRY_LENGTH_OFFSET, sizeof length);
    if (length > body.length - offset - WAL_ENTRY_HEADER_BYTES)
      break;
    handler(ctx, entry[0], (string_view){ entry + WAL_ENTRY_HEADER_BYTES, length });
    offset += WAL_ENTRY_HEADER_BYTES + length;
  }
}
