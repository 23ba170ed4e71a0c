/** The HTTP engine: see http_engine.h. */
#include "http_engine.h"
#include "http_client.h"
#include "http_connection.h"
#include "http_engine_state.h"
#include "http_server.h"
#include <http_parser.h>

/* http-parser's limit on the size of heads, far above those of this engine, which apply instead */
enum { PARSER_HEAD_MAX_BYTES = 16 << 20 };
enum { SCRATCH_BYTES = 1024 };

http_engine *http_engine_new(world *world, struct lws_vhost *vhost) {
  http_engine *http = g_new0(http_engine, 1);
  http->world = world;
  http->vhost = vhost;
  http->pools = g_hash_table_new(g_str_hash, g_str_equal);
  http->timers = g_sequence_new(NULL);
  http->scratch = g_string_sized_new(SCRATCH_BYTES);
  list_init(&http->servers);
  list_init(&http->unflushed_servers);
  list_init(&http->paused_clients);
  http_parser_set_max_header_size(PARSER_HEAD_MAX_BYTES);
  return http;
}

void http_engine_free(http_engine *http) {
  if (!http)
    return;
  g_hash_table_destroy(http->pools);
  g_sequence_free(http->timers);
  g_string_free(http->scratch, TRUE);
  g_free(http);
}

bool http_engine_run(http_engine *http) {
  http_server_flush_all(http);
  http_client_resume_reading(http);
  http_connection_run_timers(http);
  return !list_is_empty(&http->world->tasks.ready);
}

time_us http_engine_next_deadline(const http_engine *http) {
  return http_connection_next_timer(http);
}
