#ifndef SITE_WORLD_H
#define SITE_WORLD_H
#include "base.h"
#include "task.h"

/** The header fields that asterfall reads and writes; no others reach its code. */
enum hdr { H_TYPE, H_MATCH, H_ETAG, H_KEY, H_RETRY, H_EPOCH, H_HOLDER, H_SHOT, H_HOP, H_COUNT };
/** Header fields of a request or an answer; a NULL field is absent. */
typedef struct { char *v[H_COUNT]; } head;
/** The names of the fields, in lower case, as they go over the wire. */
extern const char *const hdr_name[H_COUNT];
void head_set(head *h, enum hdr k, const char *v);
void head_copy(head *to, const head *from);
void head_free(head *h);

typedef struct world world;

/** A request that a caller sent to us. The task that serves it owns it until the serve function returns. */
typedef struct ask {
  world *w;
  char *verb, *path, *query;
  char from[48];
  head in;
  GString *body;
  GString *out;
  head reply;
  int status;
  bool began, ended, clean, gone, tooBig;
  bell drained;
  void *impl;
} ask;

/** A request that we send to somebody. */
typedef struct call {
  world *w;
  char *addr, *verb, *path;
  head out;
  GString *body;
  bool linked, sent;
  int status;
  head in;
  GString *got;
  bool ended, broken, reading;
  uint64_t said, came;
  size_t most;
  tick by;
  bell news;
  void *impl;
} call;

/** Everything outside a process: time, chance, disk and network. Daemons see nothing else of the machine. */
struct world {
  sched tasks;
  uint64_t (*draw)(world *w);
  const char *(*stamp)(world *w, char *buf, size_t n);
  void (*say)(world *w, const char *line);
  void (*post)(world *w, const char *addr, str msg);
  void (*on_post)(void *ctx, str msg);
  void *post_ctx;
  void (*serve)(void *ctx, ask *a);
  void *serve_ctx;
  size_t body_most;
  void (*ask_push)(ask *a);
  void (*call_start)(call *c);
  void (*call_drop)(call *c);
  int (*disk_open)(world *w, unsigned file, size_t size, err *e);
  int (*disk_read)(world *w, unsigned file, size_t off, void *to, size_t n, err *e);
  int (*disk_write)(world *w, unsigned file, size_t off, const void *p, size_t n, err *e);
  int (*disk_sync)(world *w, unsigned file, err *e);
};

/** The time of the boot clock; it goes on while the machine is asleep. */
static inline tick w_now(world *w) { return w->tasks.now(w->tasks.ctx); }
/** A number drawn from 0 to n - 1. */
uint64_t w_draw(world *w, uint64_t n);
/** Sleeps; says false when the process is to end. */
static inline bool w_nap(world *w, tick span) { return task_nap(&w->tasks, span) != DEAD; }
/** Sleeps for a span and up to a fifth more. */
bool w_nap_about(world *w, tick span);

/** Answers a request whole. */
void ask_answer(ask *a, int status, const char *type, str body);
/** Begins a streamed answer. */
void ask_begin(ask *a, int status, const char *type);
/** Adds to a streamed answer; waits while the caller is slow; says E_GONE when the caller is. */
int ask_write(ask *a, str bytes, tick till);
/** Ends a streamed answer, either cleanly or so that the caller sees that it broke. */
void ask_end(ask *a, bool clean);
/** Frees an ask; for the worlds only. */
void ask_free(ask *a);

/** Sends a request; the answer is waited for with call_wait. */
call *call_open(world *w, const char *addr, const char *verb, const char *path, const head *h, str body, size_t most);
/** The same, but nothing is sent after an instant: a process that slept in between must not act on what it knew before. */
call *call_open_by(world *w, const char *addr, const char *verb, const char *path, const head *h, str body, size_t most, tick by);
/** Waits for the status line; gives OK, E_TIME, E_DEAD, or E_LOST (E_SENT when bytes may have reached the other side). */
int call_wait(call *c, tick till);
/** Gives what has come since, waiting for some: OK with bytes, E_GONE at a clean end, E_BROKE, E_TIME, E_DEAD. */
int call_read(call *c, GString *to, tick till);
/** Reads the whole answer; OK only when it ended cleanly. */
int call_whole(call *c, GString *to, tick till);
/** Drops a request, wherever it is. */
void call_close(call *c);
/** Sends a request and reads the whole answer in one go; gives the HTTP status or 0 with e set. */
int call_once(world *w, const char *addr, const char *verb, const char *path, const head *h, str body, GString *to,
              tick span, err *e);
/** The same, with nothing sent after an instant. */
int call_once_by(world *w, const char *addr, const char *verb, const char *path, const head *h, str body, GString *to,
                 tick span, tick by, err *e);
#endif
