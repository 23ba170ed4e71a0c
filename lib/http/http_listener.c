/** Listening sockets of the HTTP engine: they accept connections and hand them to http_server.c. */
#define _GNU_SOURCE
#include "http_connection.h"
#include "http_engine_state.h"
#include "http_server.h"
#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
  /* pause before connections are accepted again after the process ran out of descriptors */
  ACCEPT_RETRY_MS = 50,
  LISTEN_BACKLOG = 4096
};

/** A listening socket; http_listener.impl. */
typedef struct listener_socket {
  http_connection connection;
  http_listener *listener;
} listener_socket;

static void accept_all(listener_socket *socket) {
  http_connection *connection = &socket->connection;
  for (;;) {
    struct sockaddr_in client_sockaddr;
    socklen_t size = sizeof client_sockaddr;
    int fd = accept4(connection->sock.fd, (struct sockaddr *)&client_sockaddr, &size,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      http_server_add(connection->http, socket->listener, fd, &client_sockaddr);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN) {
      /* No descriptors are left. Reading stops for a while, since the socket stays readable. */
      sock_set_reading(&connection->sock, false);
      http_connection_set_timeout(connection, ACCEPT_RETRY_MS);
    }
    return;
  }
}

static int on_listener_read(http_connection *connection, const char *bytes, size_t length) {
  (void)bytes;
  (void)length;
  accept_all((listener_socket *)connection);
  return CONNECTION_KEEP;
}

static int on_listener_writable(http_connection *connection) {
  (void)connection;
  return CONNECTION_KEEP;
}

static int on_listener_timeout(http_connection *connection) {
  sock_set_reading(&connection->sock, true);
  return CONNECTION_KEEP;
}

static void on_listener_closed(http_connection *connection) {
  ((listener_socket *)connection)->listener->impl = NULL;
}

static bool is_listener_reading_paused(const http_connection *connection) {
  (void)connection;
  return true;
}

static const http_connection_callbacks listener_callbacks = {
  .on_read = on_listener_read,
  .on_writable = on_listener_writable,
  .on_timeout = on_listener_timeout,
  .on_closed = on_listener_closed,
  .is_reading_paused = is_listener_reading_paused,
};

/* Opens a listening socket; -1 with err set on failure. Port 0 is replaced by the port that the
 * kernel chose. */
static int open_listening_socket(const char *ip, int *port, error *err) {
  struct sockaddr_in sockaddr = { .sin_family = AF_INET, .sin_port = htons((uint16_t)*port) };
  if (inet_pton(AF_INET, ip, &sockaddr.sin_addr) != 1) {
    error_set(err, E_LISTEN, "%s is not an address", ip);
    return -1;
  }
  int enabled = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    error_set(err, E_LISTEN, "no socket: %s", strerror(errno));
    return -1;
  }
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd, (struct sockaddr *)&sockaddr, sizeof sockaddr) || listen(fd, LISTEN_BACKLOG)) {
    error_set(err, E_LISTEN, "can't listen on %s:%d: %s", ip, *port, strerror(errno));
    close(fd);
    return -1;
  }
  socklen_t size = sizeof sockaddr;
  if (!*port && !getsockname(fd, (struct sockaddr *)&sockaddr, &size))
    *port = ntohs(sockaddr.sin_port);
  return fd;
}

enum error_code http_engine_listener_open(http_engine *http, http_listener *listener, error *err) {
  const char *ip = listener->ip[0] ? listener->ip : "0.0.0.0";
  int fd = open_listening_socket(ip, &listener->port, err);
  if (fd < 0)
    return E_LISTEN;
  listener_socket *socket = g_new0(listener_socket, 1);
  socket->listener = listener;
  listener->world = http->world;
  /* on failure the library has closed the descriptor */
  if (!http_connection_adopt(http, &socket->connection, fd, true, &listener_callbacks)) {
    g_free(socket);
    return error_set(err, E_LISTEN, "can't watch the listening socket");
  }
  listener->impl = socket;
  return OK;
}

void http_engine_listener_stop_accepting(http_engine *http, http_listener *listener) {
  (void)http;
  listener_socket *socket = listener->impl;
  if (socket)
    sock_close(&socket->connection.sock);
}
