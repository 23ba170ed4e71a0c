#ifndef RUNTIME_BASE_H
#define RUNTIME_BASE_H
/**
 * Basic types and helpers for all code: error codes, names, times, string views, hashes, and
 * intrusive lists.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/** A borrowed sequence of bytes and its length. */
typedef struct {
  const char *data;
  size_t length;
} string_view;
/** A point in time of the monotonic clock, or a duration, in microseconds. Wall-clock time never
 * has this type. */
typedef struct {
  int64_t us;
} time_us;
/** Name of a process, engine, model, adapter, zone or singleton: at most 47 bytes, followed by
 * zeros. */
typedef struct {
  char text[48];
} id;

/** Error codes. They are sent to other processes and logged, so their numbers never change;
 * docs/codes.md explains each. */
enum error_code {
  OK = 0,
  /* tasks and connections */
  E_STOPPING = 100,
  E_NO_RESPONSE = 101,
  E_PEER_GONE = 102,
  E_CONNECTION_LOST_AFTER_SEND = 103,
  E_NOT_CONNECTED = 104,
  /* settings and startup */
  E_SETTINGS_FILE = 200,
  E_SETTINGS_KEY = 201,
  E_SETTINGS_ADDRESS = 202,
  E_SETTINGS_SEEDS = 203,
  E_SETTINGS_DATA = 204,
  E_SETTINGS_ID = 205,
  E_LISTEN = 206,
  /* requests that the control API refuses */
  E_JSON = 300,
  E_TOO_LARGE = 301,
  E_FIELD = 302,
  E_TYPE = 303,
  E_NAME = 304,
  E_RANGE = 305,
  E_IF_MATCH = 306,
  E_VERSION_CONFLICT = 307,
  E_IDEMPOTENCY_KEY = 308,
  E_OUTCOME_UNKNOWN = 309,
  E_NOT_FOUND = 310,
  E_METHOD_NOT_ALLOWED = 311,
  E_NO_ENGINE_FITS = 312,
  E_TOO_FEW_ROUTERS = 313,
  E_ROUTING_STRUCTURE = 320,
  E_ROUTING_VERSION = 321,
  E_UNKNOWN_SERVICE = 322,
  E_DUPLICATE_ROUTE = 323,
  E_DUPLICATE_NAME = 324,
  E_ROUTE_WEIGHT = 325,
  E_ROUTE_TIMEOUT = 326,
  E_ROUTE_PREFIX = 327,
  E_ROUTE_MODE = 328,
  E_SPEC_RANGE = 329,
  E_STALE_VERSION = 330,
  E_ROUTING_PATCH = 331,
  E_LIMIT_RANGE = 332,
  E_CANARY_INVALID = 340,
  E_CANARY_RUNNING = 341,
  E_CANARY_NAME_REUSED = 342,
  E_CANARY_IMMUTABLE = 343,
  E_NO_CANARY = 344,
  /* messages between processes */
  E_WIRE_MESSAGE = 400,
  E_WIRE_VERSION = 401,
  E_STALE_EPOCH = 402,
  E_NO_MEMBER_LEASE = 403,
  E_VIEW_MISMATCH = 404,
  E_TOO_FEW_ZONES = 405,
  E_IN_PROGRESS = 406,
  /* storage */
  E_DISK = 500,
  E_DISK_FULL = 501,
  E_DISK_SYNC = 502,
  E_BAD_RECORD = 503,
  E_NO_CONTROLLER = 504,
  /* requests to models */
  E_UNKNOWN_MODEL = 600,
  E_QUEUE_FULL = 601,
  E_NO_CAPACITY = 602,
  E_LOAD_RATE_LIMITED = 603,
  E_NO_LEASE_HOLDER = 604,
  E_NO_ENGINE = 605,
  E_DEADLINE_EXCEEDED = 606,
  E_STREAM_BROKEN = 607,
  E_LOAD_SHED = 608,
  E_DRAINING = 609,
  E_ORDER_FAILED = 610,
  E_REJECTED_BY_RULE = 611,
  E_OVERLOADED = 612,
  E_ISOLATED = 613,
  E_MODEL_IN_USE = 614,
};

/** An error that is returned to the caller: a code and a short human-readable text. */
typedef struct {
  enum error_code code;
  char text[200];
} error;

/** Sets *err to a code and a formatted text, unless err is NULL. Returns the code. */
enum error_code error_set(error *err, enum error_code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Returns a view of a C string; an empty one for NULL. */
static inline string_view string_view_of(const char *s) {
  return (string_view){ s ? s : "", s ? strlen(s) : 0 };
}
/** Returns a view of a GString, valid until the GString changes. */
static inline string_view string_view_of_gstring(const GString *g) {
  return (string_view){ g->str, g->len };
}
/** Returns true if two views hold the same bytes. */
static inline bool string_view_equal(string_view a, string_view b) {
  return a.length == b.length && (!a.length || !memcmp(a.data, b.data, a.length));
}
/** Returns true if a starts with b. */
static inline bool string_view_starts_with(string_view a, string_view b) {
  return a.length >= b.length && !memcmp(a.data, b.data, b.length);
}
/** Returns an id with the given text. A text that is too long is truncated, so check it with
 * id_is_valid first. */
static inline id id_of(string_view s) {
  id d = { "" };
  size_t n = s.length < sizeof d.text ? s.length : sizeof d.text - 1;
  if (n)
    memcpy(d.text, s.data, n);
  return d;
}
/** Like id_of, for a C string. */
static inline id id_of_text(const char *s) {
  return id_of(string_view_of(s));
}
/** Returns true for a string of 1 to 47 letters, digits and '-', '_', '.', ':'. */
bool id_is_valid(string_view s);

/** Returns true if two ids are equal. */
static inline bool id_equal(id a, id b) {
  /* Ids are compared very often. The first eight bytes nearly always decide, and can be compared as
   * one integer because an id is padded with zeros. */
  uint64_t x, y;
  memcpy(&x, a.text, 8);
  memcpy(&y, b.text, 8);
  return x == y && (!a.text[7] || !strcmp(a.text + 8, b.text + 8));
}
/** Returns true for the empty id. */
static inline bool id_is_empty(id a) {
  return !a.text[0];
}

static inline time_us time_from_ms(int64_t n) {
  return (time_us){ n * 1000 };
}
static inline time_us time_add(time_us a, time_us b) {
  return (time_us){ a.us + b.us };
}
static inline time_us time_sub(time_us a, time_us b) {
  return (time_us){ a.us - b.us };
}
/** Returns true if `now` is `deadline` or later. */
static inline bool time_reached(time_us now, time_us deadline) {
  return now.us >= deadline.us;
}
/** Returns the earlier of two points in time, or the shorter of two durations. */
static inline time_us time_min(time_us a, time_us b) {
  return a.us < b.us ? a : b;
}
/** Returns a point in time that is never reached; adding durations to it does not overflow. */
static inline time_us time_never(void) {
  return (time_us){ INT64_MAX / 4 };
}

/** Returns a well-mixed hash of bytes. It is part of the protocol: all processes of a fleet must
 * compute the same hash, on every machine. */
uint64_t hash_bytes(const void *p, size_t n, uint64_t seed);
/** Returns the hash of two names, for rendezvous hashing and positions on the heartbeat ring. */
uint64_t hash_two_names(const char *a, const char *b);

/** An intrusive, circular list. The head and each item's link are nodes. An initialized node that
 * is in no list links to itself, so removing it again is safe. */
typedef struct list_node {
  struct list_node *next, *prev;
} list_node;
/** Initializes the head of an empty list, or the link of an item that is in no list. */
static inline void list_init(list_node *node) {
  node->next = node->prev = node;
}
static inline bool list_is_empty(const list_node *head) {
  return head->next == head;
}
/** Inserts an item before a node; if the node is the head, this is the end of the list. */
static inline void list_append(list_node *before, list_node *item) {
  item->prev = before->prev;
  item->next = before;
  before->prev->next = item;
  before->prev = item;
}
/** Removes an item from its list, if it is in one. */
static inline void list_remove(list_node *item) {
  item->prev->next = item->next;
  item->next->prev = item->prev;
  item->next = item->prev = item;
}
/** Returns the struct that embeds a node. */
#define list_item(n, type, field) ((type *)((char *)(n)-offsetof(type, field)))
/** Iterates over the items of a list; the current item may be removed and freed. */
#define list_for_each(it, h, type, field)                                                          \
  for (type *it = list_item((h)->next, type, field),                                               \
            *it##_n = list_item(it->field.next, type, field);                                      \
       &it->field != (h); it = it##_n, it##_n = list_item(it->field.next, type, field))
#endif
