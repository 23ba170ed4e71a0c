/**
 * Functions shared by the steps of a request: its error, and the engines excluded from it.
 */
#include "routed_request.h"
#include "router.h"
#include <stdarg.h>
#include <stdio.h>

const char *run_outcome_name(enum run_outcome outcome) {
  static const char *const names[] = {
    [NOT_RUN] = "not run", [RUN_UNKNOWN] = "unknown", [RUN_FAILED] = "failed", [RUN_STARTED] = "run"
  };
  return names[outcome];
}

enum error_code routed_request_set_error(routed_request *request, enum error_code code,
                                         int64_t retry_after_ms, const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(request->error_text, sizeof request->error_text, format, arguments);
  va_end(arguments);
  request->error_code = code;
  request->retry_after_ms = retry_after_ms;
  return code;
}

bool routed_request_excludes(const routed_request *request, const engine *engine) {
  for (int i = 0; i < request->excluded_count; i++)
    if (id_equal(request->excluded[i], engine->self))
      return true;
  return false;
}

void routed_request_exclude_engine(routed_request *request, const engine *engine) {
  if (request->excluded_count < MAX_EXCLUDED_ENGINES)
    request->excluded[request->excluded_count++] = engine->self;
}

void routed_request_exclude_by_id(routed_request *request, id engine_id) {
  list_for_each (engine_, &request->router->engine_list.engines, engine, link)
    if (id_equal(engine_->self, engine_id))
      routed_request_exclude_engine(request, engine_);
}
