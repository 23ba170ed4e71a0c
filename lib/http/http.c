/** The HTTP engine: its turns, timers and life. See http_internal.h for its modules. */
#include "http_internal.h"

bool http_engine_run(http_engine *http) {
  while (!list_is_empty(&http->dirty)) {
    http_connection *c = list_item(http->dirty.next, http_connection, dirty);
    list_remove(&c->dirty);
    if (server_write((server_connection *)c))
      sock_close(&c->sim);
  }
  clients_resume_reading(http);
  connection_run_timers(http);
  return !list_is_empty(&http->world->tasks.ready);
}

time_us http_engine_next_deadline(const http_engine *http) {
  GSequenceIter *it = g_sequence_get_begin_iter(http->timers);
  return g_sequence_iter_is_end(it) ? time_never()
                                    : ((http_connection *)g_sequence_get(it))->timer_at;
}

http_engine *http_engine_new(world *world, struct lws_vhost *vhost) {
  http_engine *http = g_new0(http_engine, 1);
  http->world = world;
  http->vhost = vhost;
  http->pools = g_hash_table_new(g_str_hash, g_str_equal);
  http->timers = g_sequence_new(NULL);
  http->scratch = g_string_sized_new(1024);
  list_init(&http->dirty);
  list_init(&http->paused_clients);
  list_init(&http->servers);
  /* our own bounds hold */
  http_parser_set_max_header_size(16 << 20);
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
