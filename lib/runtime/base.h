#ifndef COMMON_BASE_H
#define COMMON_BASE_H
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/** A length-counted run of bytes; it does not say who owns them. */
typedef struct {
  const char *data;
  size_t length;
} string_view;
/** A monotonic instant or span, in microseconds. Wall time never takes this type. */
typedef struct {
  int64_t us;
} time_us;
/** A name of a machine, engine, model, adapter, area or duty: at most 47 bytes. */
typedef struct {
  char text[48];
} id;
/** The number of a write that the chain has ordered. */
typedef struct {
  uint64_t number;
} version;
/** The number of a view of the chain, or of a contract. */
typedef struct {
  uint64_t number;
} epoch;

/** An error that is passed down: a numbered code and a short text. */
typedef struct {
  int code;
  char text[200];
} error;

/** Result codes; docs/codes.md has the table. */
enum error_code {
  OK = 0,
  E_STOPPING = 100,
  E_NO_RESPONSE = 101,
  E_PEER_GONE = 102,
  E_CONNECTION_LOST_AFTER_SEND = 103,
  E_NOT_CONNECTED = 104,
  E_SETTINGS_FILE = 200,
  E_SETTINGS_KEY = 201,
  E_SETTINGS_ADDRESS = 202,
  E_SETTINGS_SEEDS = 203,
  E_SETTINGS_DATA = 204,
  E_SETTINGS_ID = 205,
  E_LISTEN = 206,
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
  E_WIRE_MESSAGE = 400,
  E_WIRE_VERSION = 401,
  E_STALE_EPOCH = 402,
  E_NO_MEMBER_LEASE = 403,
  E_VIEW_MISMATCH = 404,
  E_TOO_FEW_ZONES = 405,
  E_IN_PROGRESS = 406,
  E_DISK = 500,
  E_DISK_FULL = 501,
  E_DISK_SYNC = 502,
  E_BAD_RECORD = 503,
  E_NO_CONTROLLER = 504,
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

/** Sets err (if any) to a code and a text, and gives the code back. */
int error_set(error *err, int code, const char *form, ...) __attribute__((format(printf, 3, 4)));

/** A str over a C string. */
static inline string_view string_view_of(const char *s) {
  return (string_view){ s ? s : "", s ? strlen(s) : 0 };
}
/** A str over a GString. */
static inline string_view string_view_of_gstring(const GString *g) {
  return (string_view){ g->str, g->len };
}
/** True when two runs hold the same bytes. */
static inline bool string_view_equal(string_view a, string_view b) {
  return a.length == b.length && (!a.length || !memcmp(a.data, b.data, a.length));
}
/** True when a begins with b. */
static inline bool string_view_starts_with(string_view a, string_view b) {
  return a.length >= b.length && !memcmp(a.data, b.data, b.length);
}
/** An id out of bytes; too long a name is cut, so check with id_is_valid first. */
static inline id id_of(string_view s) {
  id d = { "" };
  size_t n = s.length < sizeof d.text ? s.length : sizeof d.text - 1;
  if (n)
    memcpy(d.text, s.data, n);
  return d;
}
/** An id out of a C string. */
static inline id id_of_text(const char *s) {
  return id_of(string_view_of(s));
}
/** True when a name may serve as an id. */
bool id_is_valid(string_view s);
/** True when two ids are the same. */
static inline bool id_equal(id a, id b) {
  /* names are compared by the thousand: the first word settles nearly all, since an id is blank
   * behind its end */
  uint64_t x, y;
  memcpy(&x, a.text, 8);
  memcpy(&y, b.text, 8);
  return x == y && (!a.text[7] || !strcmp(a.text + 8, b.text + 8));
}
/** True when an id is empty. */
static inline bool id_is_empty(id a) {
  return !a.text[0];
}

/** Spans of time. */
static inline time_us time_from_ms(int64_t n) {
  return (time_us){ n * 1000 };
}
static inline time_us time_add(time_us a, time_us b) {
  return (time_us){ a.us + b.us };
}
static inline time_us time_sub(time_us a, time_us b) {
  return (time_us){ a.us - b.us };
}
static inline bool time_reached(time_us a, time_us b) {
  return a.us >= b.us;
}
/** An instant that never comes. */
static inline time_us time_never(void) {
  return (time_us){ INT64_MAX / 4 };
}

/** A well-mixed hash of bytes, the same on every machine. */
uint64_t hash_bytes(const void *p, size_t n, uint64_t seed);
/** The hash of two names, for rendezvous orders and ring places. */
uint64_t hash_two_names(const char *a, const char *b);

/** A link of an intrusive list. */
typedef struct list_node {
  struct list_node *next, *prev;
} list_node;
static inline void list_init(list_node *h) {
  h->next = h->prev = h;
}
static inline bool list_is_empty(const list_node *h) {
  return h->next == h;
}
static inline void list_append(list_node *h, list_node *n) {
  n->prev = h->prev;
  n->next = h;
  h->prev->next = n;
  h->prev = n;
}
static inline void list_remove(list_node *n) {
  n->prev->next = n->next;
  n->next->prev = n->prev;
  n->next = n->prev = n;
}
/** The struct that embeds a link. */
#define list_item(n, type, field) ((type *)((char *)(n)-offsetof(type, field)))
/** Walks a list; the item may be cut while it is walked. */
#define list_for_each(it, h, type, field)                                                          \
  for (type *it = list_item((h)->next, type, field),                                               \
            *it##_n = list_item(it->field.next, type, field);                                      \
       &it->field != (h); it = it##_n, it##_n = list_item(it->field.next, type, field))
#endif
