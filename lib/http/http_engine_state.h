#ifndef HTTP_HTTP_ENGINE_STATE_H
#define HTTP_HTTP_ENGINE_STATE_H
/** The state of an HTTP engine; private to lib/http. */
#include "http_engine.h"

struct http_engine {
  world *world;
  struct lws_vhost *vhost;
  /** http_connection.c: connections by the time at which their timers fire. */
  GSequence *timers;
  /** http_server.c: all server connections, and those whose tasks have written something since the
   * last turn of the event loop. */
  list_node servers, unflushed_servers;
  /** http_client.c: address -> connection_pool, and connections that are not read because the
   * readers of their calls are slow. */
  GHashTable *pools;
  list_node paused_clients;
  /** Buffer for heads that are being written; used within one function at a time. */
  GString *scratch;
};
#endif
