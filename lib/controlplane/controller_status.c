/** Status pages and metrics of a controller. Their keys are part of the API (docs/api.md). */
#include "controller_status.h"
#include "controller.h"

/* Number of writes that either interface has refused. */
static uint64_t writes_refused(const controller *controller) {
  return controller->resource_api.writes_refused +
         controller->control_listener.config_api.writes_refused;
}

static void write_disk(const controller *controller, GString *to) {
  const replica *replica = &controller->replica;
  const wal *wal = &replica->wal;
  json_appendf(to, "\"disk\":{\"id\":\"%016" PRIx64 "\",\"broken\":%s,", replica->disk_id,
               json_bool_text(wal->failed));
  json_appendf(to, "\"lastWriteMs\":%" PRId64 ",\"file\":%u,\"used\":%zu,\"size\":%zu,",
               wal->last_write_time.us / 1000, wal->current_file, wal->offset, wal->size);
  json_appendf(to, "\"fill\":%.3f},",
               (double)wal->checkpoint_size / (double)(wal->size ? wal->size : 1));
}

void controller_status_append_json(controller *controller, GString *to) {
  replica *replica = &controller->replica;
  const settings *settings = &controller->node.settings;
  bool has_chain = replica->view.chain_length;
  json_appendf(to, "{\"id\":\"%s\",\"role\":\"controller\",\"area\":\"%s\",", settings->self.text,
               settings->zone.text);
  json_appendf(to, "\"epoch\":%" PRIu64 ",\"version\":%" PRIu64 ",\"last\":%" PRIu64 ",",
               replica->view.epoch, replica->committed.seq, replica->last_seq);
  json_appendf(to, "\"place\":%d,\"acts\":%s,\"whole\":%s,\"thin\":%s,",
               replica_chain_index(replica), json_bool_text(replica_holds_lease(replica)),
               json_bool_text(replica_in_sync(replica)),
               json_bool_text(replica_view_is_under_replicated(replica, &replica->view)));
  json_appendf(to, "\"head\":\"%s\",\"tail\":\"%s\",",
               has_chain ? replica_head(replica)->address : "",
               has_chain ? replica_tail(replica)->address : "");
  write_disk(controller, to);
  json_appendf(to, "\"refused\":%" PRIu64 ",", writes_refused(controller));
  node_append_status_json(&controller->node, to);
  g_string_append_c(to, '}');
}

static const char *engine_state_text(const Wire__EngineState *engine) {
  if (engine->gone)
    return engine->draining ? "signed off" : "silent";
  return engine->draining ? "leaving" : "ready";
}

static void write_model(const Wire__ResidentModel *model, GString *to) {
  json_appendf(to, "{\"model\":\"%s\",\"adapters\":[", model->model);
  for (size_t i = 0; i < model->n_adapters; i++)
    json_appendf(to, "%s\"%s\"", i ? "," : "", model->adapters[i]);
  g_string_append(to, "]}");
}

static void write_engine(const Wire__EngineState *engine, GString *to) {
  json_appendf(to, "{\"id\":\"%s\",\"service\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",", engine->id,
               engine->service, engine->zone, engine->address);
  json_appendf(to, "\"slots\":%u,\"state\":\"%s\",", engine->slots, engine_state_text(engine));
  json_appendf(to, "\"count\":%" PRIu64 ",\"heardMs\":%" PRIu64 ",\"models\":[",
               engine->heartbeat_count, engine->age_ms);
  for (size_t i = 0; i < engine->n_models; i++) {
    g_string_append(to, i ? "," : "");
    write_model(engine->models[i], to);
  }
  g_string_append(to, "]}");
}

void controller_status_append_registry(controller *controller, GString *to) {
  GHashTableIter it;
  gpointer value;
  const char *separator = "";
  g_string_append_c(to, '[');
  g_hash_table_iter_init(&it, controller->registry_sync.registry.engines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    Wire__EngineState engine;
    engine_registry_pack_engine(value, world_now(controller->node.world), &engine);
    g_string_append(to, separator);
    write_engine(&engine, to);
    separator = ",";
  }
  g_string_append_c(to, ']');
}

void controller_status_append_metrics(controller *controller, GString *to) {
  replica *replica = &controller->replica;
  json_appendf(to, "asterfall_view_epoch %" PRIu64 "\n", replica->view.epoch);
  json_appendf(to, "asterfall_version %" PRIu64 "\n", replica->committed.seq);
  json_appendf(to, "asterfall_chain_links %d\n", replica->view.chain_length);
  json_appendf(to, "asterfall_acts %d\n", replica_holds_lease(replica));
  json_appendf(to, "asterfall_disk_broken %d\n", replica->wal.failed);
  json_appendf(to, "asterfall_disk_last_write_us %" PRId64 "\n", replica->wal.last_write_time.us);
  json_appendf(to, "asterfall_writes_refused %" PRIu64 "\n", writes_refused(controller));
  json_appendf(to, "asterfall_news_sent %" PRIu64 "\n", controller->config_poll.updates_sent);
  json_appendf(to, "asterfall_tasks %zu\n", controller->node.world->tasks.count);
}
