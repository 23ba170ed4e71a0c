/**
 * Sends orders to engines.
 */
#include "load_order.h"
#include "router.h"
#include <stdio.h>

enum {
  ORDER_TIMEOUT_MS = 3000,
  STATUS_ACCEPTED = 202,
  STATUS_NOT_FOUND = 404,
  STATUS_PRECONDITION_FAILED = 412
};

static singleton_lease *find_lease(engine *engine) {
  char singleton[64];
  singleton_engine_name(singleton, sizeof singleton, engine->self);
  return singleton_lease_find(engine->router, singleton);
}

uint64_t load_order_epoch(engine *engine) {
  char singleton[64];
  singleton_engine_name(singleton, sizeof singleton, engine->self);
  return singleton_lease_epoch(engine->router, singleton);
}

static void format_order(GString *body, engine *engine, const order_subject *subject,
                         uint64_t epoch) {
  json_appendf(body,
               "{\"model\":\"%s\",\"adapter\":\"%s\",\"weightsMb\":%" PRIu64
               ",\"slots\":%u,\"epoch\":%" PRIu64 ",\"order\":%" PRIu64
               ",\"holder\":\"%s\",\"boot\":",
               subject->model.text, subject->adapter.text, subject->weights_mb, subject->slots,
               epoch, ++engine->order_count, engine->router->node.settings.self.text);
  json_append_quoted(body, string_view_of(engine->boot_id));
  g_string_append_c(body, '}');
}

static void set_headers(http_headers *headers, engine *engine, uint64_t epoch) {
  char text[32];
  snprintf(text, sizeof text, "%" PRIu64, epoch);
  http_headers_set(headers, HEADER_CONTENT_TYPE, "application/json");
  http_headers_set(headers, HEADER_EPOCH, text);
  http_headers_set(headers, HEADER_LEASE_HOLDER, engine->router->node.settings.self.text);
}

/* `status` is that of the HTTP response, or 0 when there was none; err then holds the reason. */
static enum order_result result_of_status(int status, const error *err) {
  switch (status) {
  case 0:
    return err->code == E_NOT_CONNECTED ? ORDER_NOT_SENT : ORDER_UNKNOWN;
  case STATUS_ACCEPTED:
    return ORDER_ACCEPTED;
  case STATUS_NOT_FOUND:
    return ORDER_NOT_FOUND;
  case STATUS_PRECONDITION_FAILED:
    return ORDER_OUTDATED;
  default:
    return ORDER_REFUSED;
  }
}

enum order_result load_order_send(engine *engine, enum order_kind kind,
                                  const order_subject *subject, time_us send_until, error *err) {
  router *router = engine->router;
  uint64_t epoch = load_order_epoch(engine);
  if (!epoch) {
    error_set(err, E_NO_LEASE_HOLDER, "this router does not hold the lease on %s",
              engine->self.text);
    return ORDER_NO_LEASE;
  }
  GString *body = g_string_new(NULL), *response = g_string_new(NULL);
  http_headers headers = { { 0 } };
  format_order(body, engine, subject, epoch);
  set_headers(&headers, engine, epoch);
  event_history_append(&router->history, (history_event){ .kind = EVENT_ORDERED,
                                                          .engine = engine->self,
                                                          .model = subject->model,
                                                          .adapter = subject->adapter,
                                                          .value = kind == ORDER_LOAD });
  time_us expires_at = find_lease(engine)->expires_at;
  const char *path = kind == ORDER_LOAD ? "/v1/load" : "/v1/unload";
  int status =
      http_call_fetch_before(router->node.world, engine->address, "POST", path, &headers,
                             string_view_of_gstring(body), response, time_from_ms(ORDER_TIMEOUT_MS),
                             expires_at.us < send_until.us ? expires_at : send_until, err);
  if (status && status != STATUS_ACCEPTED)
    error_set(err, E_ORDER_FAILED, "%s responded with status %d to an order to %s: %.100s",
              engine->self.text, status, kind == ORDER_LOAD ? "load" : "unload", response->str);
  enum order_result result = result_of_status(status, err);
  http_headers_free(&headers);
  g_string_free(body, TRUE);
  g_string_free(response, TRUE);
  return result;
}
