#ifndef COMMON_HTTP_INTERNAL_H
#define COMMON_HTTP_INTERNAL_H
/** What the modules of the HTTP engine share: connections (http_connection.c), framing
 * (http_framing.c), listeners and callers' connections (http_server.c), calls to others
 * (http_client.c), and the engine itself (http.c). */
#include "http.h"
#include "sock.h"
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/uio.h>

enum { HEAD_MOST = 64 * 1024 };
enum kind { LISTENER, SERVER, CLIENT };

/** What is alike in all sockets: bytes that wait to be written, and one timer. */
typedef struct conn {
  sock sim;
  http_engine *http;
  enum kind kind;
  bool closing;
  GString *out;
  size_t out_at;
  GSequenceIter *timer;
  time_us due, armed;
  list_node dirty;
} conn;

/** A caller's connection. */
typedef struct server {
  conn conn;
  http_listener *listener;
  struct visit *visit;
  http_parser parser;
  GString *ahead;
  struct sockaddr_in from;
  unsigned requests;
  bool lingers, reading_paused;
  list_node all;
} server;

/* http-parser lets some faults of framing pass that others may read in another way: fields that are
 * folded over lines, and chunks whose data does not end with a line end. */

/** Finds folded lines in the head of a message. */
typedef struct head_scan {
  bool at_line_start, over;
} head_scan;

/** The line end that is due after a chunk's data: where it is looked for, and how much is to come.
 */
typedef struct chunk_end {
  const char *at;
  unsigned due;
} chunk_end;

/** An ask and its way over the wire. */
typedef struct visit {
  http_request request;
  server *node;
  GString *url;
  size_t head_len;
  head_scan scan;
  chunk_end chunk;
  time_us first;
  int fault;
  char last;
  bool headed, in_hand, served, head_sent, chunked, bare, close, expects, over;
} visit;

typedef struct listener {
  conn conn;
  http_listener *listener;
} listener;

/** The connections to an address; the idle ones, the latest last. */
typedef struct pool {
  char *addr;
  struct sockaddr_in to;
  list_node idle;
  int conns;
} pool;

/** A connection to another. */
typedef struct client {
  conn conn;
  pool *pool;
  list_node idle, choked;
  http_call *call;
  http_parser parser;
  size_t head_len;
  head_scan scan;
  chunk_end chunk;
  time_us idle_since, idle_till;
  char last;
  bool up, served, headed, passes, interim, keeps, all_sent;
} client;

struct http_engine {
  world *world;
  struct lws_vhost *vhost;
  GHashTable *pools;
  GSequence *timers;
  list_node dirty, choked, servers;
  GString *scratch;
};

/* http_connection.c */
/** Sets the instant at which a connection's timer fires; never takes it away. */
void conn_due(conn *conn, time_us due);
/** The same, so many ms from now; 0: never. */
void conn_idle(conn *conn, int64_t ms);
/** Begins to watch a descriptor; false when that can't be, and it is closed. */
bool conn_adopt(http_engine *http, conn *conn, int fd, enum kind kind);
/** Writes; the bytes taken, or -1 when the connection is broken. conn->out must be empty, and takes
 * the rest when keep is set. */
ssize_t conn_send(conn *conn, struct iovec *v, int n, bool keep);
/** Writes what waits in conn->out; -1 when the connection is broken. */
int conn_flush(conn *conn);
/** Fires the timers that are due. */
void conn_run_timers(http_engine *http);

/* http_framing.c */
/** True when a header field is folded over lines. */
bool head_is_folded(head_scan *scan, const char *p, size_t n);
/** Checks as much of the line end after a chunk as lies before a limit. */
bool chunk_end_fits(chunk_end *due, const char *limit);
/** To be called with each piece of a body; false when a line end did not fit. */
bool chunk_piece(chunk_end *due, const http_parser *parser, const char *at, size_t n);
/** Adds a piece of a header field, of kind 'n' (name) or 'v' (value); last tells the latest kind.
 */
void field_piece(GString *to, char *last, char kind, const char *p, size_t n);
/** Ends the last field. */
void field_end(GString *to, char *last);
/** True when all names of fields are made of the characters that names may have. */
bool names_proper(const fields *fields);
/** http-parser's callback at the end of a message: what follows is left to the caller. */
int on_whole(http_parser *p);

/* http_server.c */
void listener_accept(listener *l);
/** Bytes that came from a caller; -1 to close. */
int server_rx(server *server, const char *p, size_t n);
/** Writes what the task has said and the socket takes; -1 to close. */
int server_write(server *server);
/** The timer of a caller's connection fired; -1 to close. */
int server_late(server *server);
/** The connection is closed. */
void server_closed(server *server);

/* http_client.c */
/** Bytes that came from the other side of a call; -1 to close. */
int client_rx(client *client, const char *p, size_t n);
/** Writes what is left of a request; -1 when nothing can be sent any more. */
int client_write(client *client);
/** Reads on, when it was paused because too much had come. */
void client_listen(client *client);
/** Lets paused connections whose callers have caught up be read again. */
void clients_listen(http_engine *http);
/** The connection is closed. */
void client_closed(client *client);
#endif
