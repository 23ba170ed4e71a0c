/** The command record: writes the requests that the routers have routed recently as a trace for
 * `asterctl trial`.
 *
 * Each router keeps a journal of its last events, with their age. The "routed" events of all
 * addresses are merged by age; sizes and load times come from the first catalogue that can be
 * fetched. */
#include "commands.h"
#include <stdio.h>

/** The size and load time assumed for models that are not in the catalogue. */
static const double unknown_weights_mb = 1000;
static const double unknown_load_ms = 4000;

/** A request in a router's journal. */
struct routed_request {
  double age_ms;
  char model[100];
};

/** The data collected from all addresses. */
struct recording {
  /** Elements are of type struct routed_request. */
  GArray *requests;
  /** The resource "catalogue"; NULL when no address returned it. */
  json *catalogue;
};

/** Orders requests from oldest to newest. */
static int compare_by_age(gconstpointer first, gconstpointer second) {
  const struct routed_request *a = first, *b = second;
  return a->age_ms > b->age_ms ? -1 : a->age_ms < b->age_ms;
}

static void add_routed(GArray *requests, const json *journal) {
  for (size_t i = 0; i < json_count(journal); i++) {
    const json *event = json_at(journal, i);
    if (strcmp(json_text(event, "event", ""), "routed"))
      continue;
    struct routed_request request = { .age_ms = json_number(event, "agoMs", 0) };
    g_strlcpy(request.model, json_text(event, "model", "?"), sizeof request.model);
    g_array_append_val(requests, request);
  }
}

/** Collects the data from all addresses. The requests are sorted from oldest to newest. */
static struct recording collect(const struct command_context *context) {
  struct recording recording = { g_array_new(FALSE, TRUE, sizeof(struct routed_request)), NULL };
  char **addresses = g_strsplit(context->options.addresses, ",", -1);
  for (char **address = addresses; *address; address++) {
    json *journal = control_fetch_page(context, *address, "/v1/journal");
    if (!recording.catalogue)
      recording.catalogue = control_fetch_page(context, *address, "/v1/catalogue");
    add_routed(recording.requests, journal);
    json_free(journal);
  }
  g_strfreev(addresses);
  g_array_sort(recording.requests, compare_by_age);
  return recording;
}

static void recording_clear(struct recording *recording) {
  json_free(recording->catalogue);
  g_array_free(recording->requests, TRUE);
}

/** Writes one line of a trace: ms since the first request, model, weights in MB, load time in ms.
 */
static void write_request(FILE *stream, const struct routed_request *request, double first_age_ms,
                          const json *models) {
  double weights_mb = unknown_weights_mb;
  double load_ms = unknown_load_ms;
  for (size_t i = 0; i < json_count(models); i++) {
    const json *model = json_at(models, i);
    if (strcmp(json_text(model, "id", ""), request->model))
      continue;
    weights_mb = json_number(model, "weightsMb", weights_mb);
    load_ms = json_number(model, "startLoadMs", load_ms);
  }
  fprintf(stream, "%.0f %s %.0f %.0f\n", first_age_ms - request->age_ms, request->model, weights_mb,
          load_ms);
}

/** Writes the trace. Returns false when there are no requests or the file can't be opened. */
static bool write_trace(const struct recording *recording, const char *file) {
  const GArray *requests = recording->requests;
  FILE *stream = requests->len ? fopen(file, "w") : NULL;
  if (!stream)
    return false;
  const json *models = json_get(json_get(recording->catalogue, "value"), "models");
  double first_age_ms = g_array_index(requests, struct routed_request, 0).age_ms;
  for (guint i = 0; i < requests->len; i++)
    write_request(stream, &g_array_index(requests, struct routed_request, i), first_age_ms, models);
  fclose(stream);
  return true;
}

enum exit_code record_command_run(const struct command_context *context) {
  const char *file = context->options.file;
  if (!file) {
    asterctl_error("record needs --file");
    return EXIT_CODE_USAGE;
  }
  struct recording recording = collect(context);
  bool is_written = write_trace(&recording, file);
  printf("%u requests recorded\n", recording.requests->len);
  recording_clear(&recording);
  return is_written ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}
