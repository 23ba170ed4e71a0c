#include "wal.h"
#include <malloc.h>
#include <zlib.h>

enum { MAGIC = 0x72747361, FILES = 4, PIECE = 256 << 10, AGAIN_MS = 500, LARGE = 1 << 20 };
typedef struct {
  uint32_t magic, length, crc, zero;
  uint64_t gen;
} wal_frame;

static size_t even(size_t n) {
  return (n + 7) & ~(size_t)7;
}

static uint32_t sum_head(const wal_frame *f) {
  uint32_t c = crc32(0, (const Bytef *)&f->gen, sizeof f->gen);
  return crc32(c, (const Bytef *)&f->length, sizeof f->length);
}

/* a piece of a file, so that no file is ever held whole */
typedef struct {
  wal *wal;
  unsigned file;
  size_t offset, length;
  char *buffer;
} file_window;

static int piece_at(file_window *v, size_t off, size_t n, const char **p, error *err) {
  if (off < v->offset || off + n > v->offset + v->length) {
    size_t len = MIN((size_t)PIECE, v->wal->size - off);
    v->length = 0;
    int r = v->wal->node->world->disk_read(v->wal->node->world, v->file, off, v->buffer, len, err);
    if (r)
      return r;
    v->offset = off;
    v->length = len;
  }
  *p = v->buffer + (off - v->offset);
  return OK;
}

/* a frame at a place; to takes its body when not NULL */
static int frame_at(file_window *v, size_t off, wal_frame *f, bool *sound, GString *to,
                    error *err) {
  size_t size = v->wal->size;
  const char *p;
  *sound = false;
  if (off + sizeof *f > size)
    return OK;
  int r = piece_at(v, off, sizeof *f, &p, err);
  if (r)
    return r;
  memcpy(f, p, sizeof *f);
  if (f->magic != MAGIC || f->length > size - off - sizeof *f)
    return OK;
  uint32_t c = sum_head(f);
  if (to)
    g_string_truncate(to, 0);
  for (size_t at = off + sizeof *f, left = f->length; left;) {
    size_t in = at >= v->offset && at < v->offset + v->length ? v->offset + v->length - at : PIECE,
           n = MIN(left, MIN(in, (size_t)PIECE));
    r = piece_at(v, at, n, &p, err);
    if (r)
      return r;
    c = crc32(c, (const Bytef *)p, n);
    if (to)
      g_string_append_len(to, p, n);
    at += n;
    left -= n;
  }
  *sound = c == f->crc;
  return OK;
}

/* the largest number of a sound frame from an offset on, of those from least on; 0 when there is
 * none */
static int youngest(file_window *v, file_window *body, size_t off, uint64_t least, uint64_t *top,
                    error *err) {
  size_t size = v->wal->size;
  *top = 0;
  for (size_t i = even(off); i + sizeof(wal_frame) <= size;) {
    size_t n = MIN((size_t)PIECE, size - i) & ~(size_t)7;
    const char *p;
    int r = piece_at(v, i, n, &p, err);
    if (r)
      return r;
    size_t k = 0;
    for (; k + sizeof(wal_frame) <= n; k += 8) {
      uint32_t m;
      memcpy(&m, p + k, sizeof m);
      if (m != MAGIC)
        continue;
      wal_frame f;
      memcpy(&f, p + k, sizeof f);
      bool sound;
      if (f.gen < least || f.gen <= *top)
        continue;
      if ((r = frame_at(body, i + k, &f, &sound, NULL, err)))
        return r;
      if (sound)
        *top = f.gen;
    }
    i += k;
  }
  return OK;
}

static void fold_all(wal *wal, const char *p, size_t n) {
  for (size_t i = 0; i + 5 <= n;) {
    uint32_t k;
    memcpy(&k, p + i + 1, 4);
    if (k > n - i - 5)
      break;
    wal->registry_update(wal->ctx, p[i], (string_view){ p + i + 5, k });
    i += 5 + k;
  }
}

size_t wal_entry_begin(GString *to, int kind) {
  char head[5] = { kind };
  g_string_append_len(to, head, sizeof head);
  return to->len;
}

void wal_entry_end(GString *to, size_t at) {
  uint32_t len = to->len - at;
  memcpy(to->str + at - 4, &len, 4);
}

void wal_entry_add(GString *to, int kind, const void *p, size_t n) {
  size_t at = wal_entry_begin(to, kind);
  g_string_append_len(to, p, n);
  wal_entry_end(to, at);
}

/* a text with room for the head of its frame */
static GString *gap_new(void) {
  GString *b = g_string_sized_new(256);
  g_string_set_size(b, sizeof(wal_frame));
  return b;
}

static int examination(wal *wal, enum wal_condition *what, error *err) {
  file_window v = { .wal = wal, .buffer = g_malloc(PIECE) },
              body = { .wal = wal, .buffer = g_malloc(PIECE) };
  bool first[FILES] = { false };
  uint64_t best = 0, top = 0, young;
  int at = -1, r = OK;
  wal_frame f;
  for (unsigned i = 0; i < FILES && !r; i++) {
    v.file = i;
    v.length = 0;
    r = frame_at(&v, 0, &f, &first[i], NULL, err);
    if (!r && first[i] && f.gen > best) {
      best = f.gen;
      at = i;
    }
  }
  *what = WAL_BLANK;
  if (!r && at >= 0) {
    *what = WAL_INTACT;
    v.file = body.file = at;
    v.length = body.length = 0;
    size_t end = 0;
    for (bool sound; !(r = frame_at(&v, end, &f, &sound, NULL, err)) && sound && f.gen == best;)
      end += even(sizeof f + f.length);
    if (!r)
      r = youngest(&v, &body, end, best, &young, err);
    if (!r && young)
      *what = WAL_CORRUPT;
    size_t n = end < wal->size ? MIN((size_t)4096, wal->size - end) : 0;
    const char *p;
    if (!r && n)
      r = piece_at(&v, end, n, &p, err);
    for (size_t i = 0; i < n && !r; i++)
      wal->has_torn_end |= p[i] != 0;
    GString *all = g_string_new(NULL);
    bool sound;
    for (size_t off = 0; !r && *what == WAL_INTACT && off < end; off += even(sizeof f + f.length)) {
      r = frame_at(&v, off, &f, &sound, all, err);
      if (!r)
        fold_all(wal, all->str, all->len);
    }
    g_string_free(all, TRUE);
    wal->current_file = at;
    wal->offset = end;
  }
  for (unsigned i = 0; i < FILES && !r; i++) {
    if ((int)i == at || first[i])
      continue;
    v.file = body.file = i;
    v.length = body.length = 0;
    r = youngest(&v, &body, 8, best + 1, &young, err);
    if (!r && young)
      *what = WAL_CORRUPT;
  }
  top = best;
  for (unsigned i = 0; i < FILES && !r && *what == WAL_CORRUPT; i++) {
    v.file = body.file = i;
    v.length = body.length = 0;
    r = youngest(&v, &body, 0, top + 1, &young, err);
    if (!r && young)
      top = young;
  }
  g_free(v.buffer);
  g_free(body.buffer);
  wal->generation = top;
  return r;
}

int wal_open(wal *wal, node *node, size_t size, enum wal_condition *what, error *err) {
  wal->node = node;
  wal->size = size;
  wal->file_count = FILES;
  if (!wal->pending) {
    wal->pending = gap_new();
    condition_init(&wal->work);
    condition_init(&wal->progress);
  }
  int r = OK;
  for (; wal->opened < FILES && !r; wal->opened += !r)
    r = node->world->disk_open(node->world, wal->opened, size, err);
  /* what the process before this one wrote may still be unsynced, and counts from here on */
  for (unsigned i = 0; i < FILES && !r; i++)
    r = node->world->disk_sync(node->world, i, err);
  if (!r)
    r = examination(wal, what, err);
  return r;
}

/* writes a text that begins with the gap of its frame */
static int put_frame(wal *wal, unsigned file, size_t off, uint64_t gen, GString *b, error *err) {
  world *world = wal->node->world;
  wal_frame f = { MAGIC, b->len - sizeof f, 0, 0, gen };
  f.crc = crc32(sum_head(&f), (const Bytef *)b->str + sizeof f, f.length);
  memcpy(b->str, &f, sizeof f);
  while (b->len % 8)
    g_string_append_c(b, 0);
  time_us from = world_now(world);
  int r = world->disk_write(world, file, off, b->str, b->len, err);
  if (!r)
    r = world->disk_sync(world, file, err);
  wal->last_write_time = time_sub(world_now(world), from);
  return r;
}

static int turn(wal *wal, error *err) {
  GString *b = gap_new();
  wal->write_base(wal->ctx, b);
  int r = OK;
  size_t n = b->len;
  if (n + 4096 > wal->size)
    r = error_set(err, E_DISK_FULL, "the state of %zu bytes outgrows a ring file", n);
  wal->base_size = n - sizeof(wal_frame);
  unsigned next = (wal->current_file + 1) % wal->file_count;
  if (!r)
    r = put_frame(wal, next, 0, wal->generation + 1, b, err);
  if (!r) {
    wal->current_file = next;
    wal->generation++;
    wal->offset = wal->last_frame_offset = even(n);
  }
  g_string_free(b, TRUE);
  if (n > LARGE)
    malloc_trim(0);
  return r;
}

static void broke(wal *wal, const error *err, int code) {
  wal->failed = true;
  wal->discarded = wal->appended;
  g_string_set_size(wal->pending, sizeof(wal_frame));
  log_info(&wal->node->log, "store", "The disk refuses writes, this copy is out: %s (code %d).",
           err->text, code);
  condition_broadcast(&wal->progress);
}

static void write_run(void *p) {
  wal *wal = p;
  world *world = wal->node->world;
  for (;;) {
    error err = { 0 };
    int r = OK;
    if (wal->failed) {
      if (!world_sleep(world, time_from_ms(AGAIN_MS)))
        return;
      r = turn(wal, &err);
      if (r == E_STOPPING)
        return;
      if (r)
        continue;
      wal->failed = false;
      wal->synced = wal->appended;
      log_info(&wal->node->log, "store", "The disk takes writes again.");
      condition_broadcast(&wal->progress);
      continue;
    }
    if (wal->pending->len == sizeof(wal_frame)) {
      if (condition_wait(&world->tasks, &wal->work, time_never()) == WAKE_STOPPED)
        return;
      continue;
    }
    GString *b = wal->pending;
    uint64_t upto = wal->appended;
    wal->pending = gap_new();
    if (wal->offset + even(b->len) > wal->size || b->len > wal->size / 4) {
      r = turn(wal, &err);
      if (!r && wal->offset + even(b->len) > wal->size)
        r = error_set(&err, E_DISK_FULL, "an entry outgrows a ring file");
    }
    size_t n = b->len;
    if (!r)
      r = put_frame(wal, wal->current_file, wal->offset, wal->generation, b, &err);
    if (!r) {
      wal->last_frame_offset = wal->offset;
      wal->offset += even(n);
    }
    g_string_free(b, TRUE);
    if (r == E_STOPPING)
      return;
    if (r)
      broke(wal, &err, r);
    else {
      wal->synced = upto;
      condition_broadcast(&wal->progress);
    }
  }
}

int wal_start(wal *wal, bool young, error *err) {
  int r = young || wal->has_torn_end ? turn(wal, err) : OK;
  if (r == E_STOPPING)
    return r;
  if (r)
    broke(wal, err, r);
  task_start(&wal->node->world->tasks, "store", write_run, wal);
  return OK;
}

int wal_append_all(wal *wal, string_view entries, error *err) {
  if (wal->failed)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  g_string_append_len(wal->pending, entries.data, entries.length);
  uint64_t mine = ++wal->appended;
  condition_broadcast(&wal->work);
  while (wal->synced < mine && wal->discarded < mine)
    if (condition_wait(&wal->node->world->tasks, &wal->progress, time_never()) == WAKE_STOPPED)
      return error_set(err, E_STOPPING, "stopping");
  return wal->synced >= mine ? OK
                             : error_set(err, E_DISK, "the disk of this machine refused a write");
}

int wal_append(wal *wal, int kind, const void *p, size_t n, error *err) {
  GString *b = g_string_new(NULL);
  wal_entry_add(b, kind, p, n);
  int r = wal_append_all(wal, string_view_of_gstring(b), err);
  g_string_free(b, TRUE);
  return r;
}

int wal_rotate(wal *wal, error *err) {
  if (wal->failed)
    return error_set(err, E_DISK, "the disk of this machine refuses writes");
  /* an empty entry as large as a quarter file would be wasteful; instead the next write is told to
   * turn */
  wal->offset = wal->size;
  return wal_append(wal, 0, "", 0, err);
}

void wal_free(wal *wal) {
  if (wal->pending)
    g_string_free(wal->pending, TRUE);
}
