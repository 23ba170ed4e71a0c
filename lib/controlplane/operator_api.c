/** The operators' HTTP API at the address of a controller: dispatches requests by path. */
#include "operator_api.h"
#include "api_error.h"
#include "controller.h"
#include "controller_status.h"
#include "request_forwarding.h"

static const char resource_path_prefix[] = "/v1/";

/** A page that this controller generates from its own state. */
typedef struct status_page {
  const char *path, *content_type;
  void (*write)(controller *controller, GString *to);
} status_page;

static void write_view(controller *controller, GString *to) {
  replica_append_view_json(&controller->replica, to);
}

static void write_nodes(controller *controller, GString *to) {
  peer_table_append_json(&controller->node, to);
}

static void write_grants(controller *controller, GString *to) {
  singleton_grants_append_json(&controller->singleton_grants, to);
}

static const status_page status_pages[] = {
  { "/v1/view", "application/json", write_view },
  { "/v1/nodes", "application/json", write_nodes },
  { "/v1/status", "application/json", controller_status_append_json },
  { "/v1/contracts", "application/json", write_grants },
  { "/v1/registry", "application/json", controller_status_append_registry },
  { "/metrics", "text/plain", controller_status_append_metrics },
};

/* Pages that routers serve; controllers forward requests for them to a router. */
static const char *const router_pages[] = { "/v1/engines", "/v1/holdings" };

/* Returns the resource at a path, or RESOURCE_COUNT. */
static enum resource_kind find_resource(const char *path) {
  if (!g_str_has_prefix(path, resource_path_prefix))
    return RESOURCE_COUNT;
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (!strcmp(path + strlen(resource_path_prefix), resource_names[i]))
      return i;
  return RESOURCE_COUNT;
}

static const status_page *find_status_page(const char *path) {
  for (size_t i = 0; i < G_N_ELEMENTS(status_pages); i++)
    if (!strcmp(path, status_pages[i].path))
      return &status_pages[i];
  return NULL;
}

static bool is_router_page(const char *path) {
  for (size_t i = 0; i < G_N_ELEMENTS(router_pages); i++)
    if (!strcmp(path, router_pages[i]))
      return true;
  return false;
}

static void respond_method_not_allowed(http_request *request) {
  http_request_respond_error(request, HTTP_METHOD_NOT_ALLOWED, E_METHOD_NOT_ALLOWED, "GET");
}

static void forward_to_router(controller *controller, http_request *request) {
  const peer_node *router = peer_table_pick(&controller->node, ROLE_ROUTER, NULL);
  if (strcmp(request->method, "GET"))
    respond_method_not_allowed(request);
  else if (!router)
    api_error_respond(request, E_NO_CONTROLLER, "no router is known here");
  else
    request_forward(&controller->node, request, router->address, FORWARDED_READ);
}

static void serve_status_page(controller *controller, http_request *request,
                              const status_page *page) {
  if (strcmp(request->method, "GET")) {
    respond_method_not_allowed(request);
    return;
  }
  GString *body = g_string_new(NULL);
  page->write(controller, body);
  http_request_respond(request, HTTP_OK, page->content_type, string_view_of_gstring(body));
  g_string_free(body, TRUE);
}

void operator_api_serve(void *ctx, http_request *request) {
  controller *controller = ctx;
  if (!controller->replica.running) {
    api_error_respond(request, E_NO_CONTROLLER, "starting");
    return;
  }
  enum resource_kind resource = find_resource(request->path);
  const status_page *page = find_status_page(request->path);
  if (resource != RESOURCE_COUNT)
    resource_api_serve(&controller->resource_api, request, resource);
  else if (page)
    serve_status_page(controller, request, page);
  else if (is_router_page(request->path))
    forward_to_router(controller, request);
  else
    http_request_respond_error(request, HTTP_NOT_FOUND, E_NOT_FOUND, "there is no such page");
}
