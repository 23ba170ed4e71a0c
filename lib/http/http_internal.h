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

enum { HEAD_BYTES_MAX = 64 * 1024 };
enum connection_kind { CONNECTION_LISTENER, CONNECTION_SERVER, CONNECTION_CLIENT };

/** What is alike in all sockets: bytes that wait to be written, and one timer. */
typedef struct http_connection {
  sock sim;
  http_engine *http;
  enum connection_kind kind;
  bool closing;
  GString *pending_output;
  size_t pending_output_offset;
  GSequenceIter *timer;
  time_us deadline, timer_at;
  list_node dirty;
} http_connection;

/** A caller's connection. */
typedef struct server_connection {
  http_connection conn;
  http_listener *listener;
  struct http_exchange *visit;
  http_parser parser;
  GString *read_ahead;
  struct sockaddr_in client_sockaddr;
  unsigned request_count;
  bool lingering, reading_paused;
  list_node all;
} server_connection;

/* http-parser lets some faults of framing pass that others may read in another way: fields that are
 * folded over lines, and chunks whose data does not end with a line end. */

/** Finds folded lines in the head of a message. */
typedef struct head_scan {
  bool at_line_start, folded;
} head_scan;

/** The line end that is due after a chunk's data: where it is looked for, and how much is to come.
 */
typedef struct chunk_end {
  const char *position;
  unsigned bytes_expected;
} chunk_end;

/** An ask and its way over the wire. */
typedef struct http_exchange {
  http_request request;
  server_connection *node;
  GString *url;
  size_t head_length;
  head_scan scan;
  chunk_end chunk;
  time_us first_byte_at;
  int fault;
  char last_field_kind;
  bool head_read, in_hand, served, head_sent, chunked, has_no_body, close_after, expects_continue,
      output_complete;
} http_exchange;

typedef struct listener_socket {
  http_connection conn;
  http_listener *listener;
} listener_socket;

/** The connections to an address; the idle ones, the latest last. */
typedef struct connection_pool {
  char *addr;
  struct sockaddr_in sockaddr;
  list_node idle;
  int connection_count;
} connection_pool;

/** A connection to another. */
typedef struct client_connection {
  http_connection conn;
  connection_pool *pool;
  list_node idle, paused;
  http_call *call;
  http_parser parser;
  size_t head_length;
  head_scan scan;
  chunk_end chunk;
  time_us idle_since, idle_deadline;
  char last_field_kind;
  bool connected, served, head_read, skips_response, interim_response, keep_alive, request_sent;
} client_connection;

struct http_engine {
  world *world;
  struct lws_vhost *vhost;
  GHashTable *pools;
  GSequence *timers;
  list_node dirty, paused_clients, servers;
  GString *scratch;
};

/* http_connection.c */
/** Sets the instant at which a connection's timer fires; never takes it away. */
void connection_set_deadline(http_connection *conn, time_us due);
/** The same, so many ms from now; 0: never. */
void connection_set_idle_timeout(http_connection *conn, int64_t ms);
/** Begins to watch a descriptor; false when that can't be, and it is closed. */
bool connection_adopt(http_engine *http, http_connection *conn, int fd, enum connection_kind kind);
/** Writes; the bytes taken, or -1 when the connection is broken. conn->out must be empty, and takes
 * the rest when keep is set. */
ssize_t connection_send(http_connection *conn, struct iovec *v, int n, bool keep);
/** Writes what waits in conn->out; -1 when the connection is broken. */
int connection_flush(http_connection *conn);
/** Fires the timers that are due. */
void connection_run_timers(http_engine *http);

/* http_framing.c */
/** True when a header field is folded over lines. */
bool head_is_folded(head_scan *scan, const char *p, size_t n);
/** Checks as much of the line end after a chunk as lies before a limit. */
bool chunk_end_is_valid(chunk_end *due, const char *limit);
/** To be called with each piece of a body; false when a line end did not fit. */
bool chunk_check_data(chunk_end *due, const http_parser *parser, const char *at, size_t n);
/** Adds a piece of a header field, of kind 'n' (name) or 'v' (value); last tells the latest kind.
 */
void field_append(GString *to, char *last, char kind, const char *p, size_t n);
/** Ends the last field. */
void field_end(GString *to, char *last);
/** True when all names of fields are made of the characters that names may have. */
bool field_names_are_valid(const fields *fields);
/** http-parser's callback at the end of a message: what follows is left to the caller. */
int on_message_end(http_parser *p);

/* http_server.c */
void listener_accept(listener_socket *l);
/** Bytes that came from a caller; -1 to close. */
int server_receive(server_connection *server, const char *p, size_t n);
/** Writes what the task has said and the socket takes; -1 to close. */
int server_write(server_connection *server);
/** The timer of a caller's connection fired; -1 to close. */
int server_timed_out(server_connection *server);
/** The connection is closed. */
void server_closed(server_connection *server);

/* http_client.c */
/** Bytes that came from the other side of a call; -1 to close. */
int client_receive(client_connection *client, const char *p, size_t n);
/** Writes what is left of a request; -1 when nothing can be sent any more. */
int client_write(client_connection *client);
/** Reads on, when it was paused because too much had come. */
void client_resume_reading(client_connection *client);
/** Lets paused connections whose callers have caught up be read again. */
void clients_resume_reading(http_engine *http);
/** The connection is closed. */
void client_closed(client_connection *client);
#endif
