/** Responses of the control listener. */
#include "control_response.h"
#include "api_error.h"

/* Retry-After of a 503: by then another controller may have become head. */
static const char retry_after_s[] = "0.3";

void control_respond_json(const dialect *dialect, http_request *request, enum http_status status,
                          string_view text) {
  json *value = json_parse(text, NULL);
  if (!value) {
    http_request_respond(request, status, NULL, string_view_of(""));
    return;
  }
  GString *body = g_string_new(NULL);
  dialect_translate_out(dialect, value);
  json_write(value, body);
  json_free(value);
  http_request_respond(request, status, "application/json", string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

fields *control_response_fields(http_request *request) {
  if (!request->response_fields)
    request->response_fields = g_string_new(NULL);
  return request->response_fields;
}

void control_respond_error_status(const dialect *dialect, http_request *request,
                                  enum http_status status, int code, const char *text) {
  GString *body = g_string_new(NULL);
  json_appendf(body, "{\"code\":%d,\"error\":", code);
  json_append_quoted(body, string_view_of(text));
  g_string_append_c(body, '}');
  control_respond_json(dialect, request, status, string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

void control_respond_error(const dialect *dialect, http_request *request, int code,
                           const char *text) {
  enum http_status status = api_error_status(API_CONTROL, code);
  if (status == HTTP_UNAVAILABLE)
    fields_add(control_response_fields(request), "Retry-After", string_view_of(retry_after_s));
  control_respond_error_status(dialect, request, status, code, text);
}
