/** @file
 * The default configuration of a deployment: four routes, the service of the engines with models,
 * and two services of plain engines. */
#include "deployment.h"

char *deployment_config(deployment *deployment, uint64_t version, const char *status_service) {
  GString *text = g_string_new(NULL);
  json_appendf(
      text,
      "{\"version\":%" PRIu64 ",\"routes\":["
      "{\"name\":\"r-chat\",\"host\":\"front.example\",\"prefix\":\"/chat/v1/\",\"mode\":\"stream\",\"timeoutMs\":5000,\"targetMs\":1000,\"priority\":0,\"service\":\"llm\",\"attempts\":2,\"affinity\":true,\"resumable\":false,\"gapTargetMs\":400},"
      "{\"name\":\"r-note\",\"host\":\"front.example\",\"prefix\":\"/note/\",\"mode\":\"stream\",\"timeoutMs\":20000,\"targetMs\":1500,\"priority\":1,\"service\":\"llm\",\"attempts\":3,\"affinity\":true,\"resumable\":true,\"gapTargetMs\":400},"
      "{\"name\":\"r-status\",\"host\":\"front.example\",\"prefix\":\"/status/\",\"mode\":\"safe\",\"timeoutMs\":4000,\"targetMs\":300,\"priority\":0,\"service\":\"%s\",\"attempts\":3},"
      "{\"name\":\"r-book\",\"host\":\"front.example\",\"prefix\":\"/chat/\",\"mode\":\"once\",\"timeoutMs\":4000,\"targetMs\":500,\"priority\":0,\"split\":[{\"service\":\"ledger\",\"weight\":100}],\"attempts\":2}%s],\"services\":[",
      version, status_service ? status_service : "ledger", deployment->extra_routes->str);
  json_appendf(
      text,
      "{\"name\":\"llm\",\"health\":\"/health\",\"connectionsMost\":200,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kvTokens\":60000,\"kvTokenBytes\":131072,\"stride\":2,\"weightsMb\":83000,\"adapterSlots\":4,\"loadsPerS\":%g,\"models\":[",
      deployment->loads_per_s);
  for (size_t i = 0; i < deployment->model_count; i++)
    json_appendf(
        text, "%s{\"name\":\"%s\",\"weightsMb\":%g,\"loadS\":%g,\"adapters\":%u,\"adapterMb\":%g}",
        i ? "," : "", deployment->models[i].name.text, deployment->models[i].weights_mb,
        deployment->models[i].load_ms / 1000, deployment->models[i].adapters,
        deployment->models[i].adapter_mb);
  g_string_append(
      text,
      "]}},{\"name\":\"ledger\",\"health\":\"/health\",\"connectionsMost\":110,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"spare\",\"health\":\"/health\",\"connectionsMost\":110,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}");
  return g_string_free(text, FALSE);
}
