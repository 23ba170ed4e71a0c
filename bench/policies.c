/* Runs one eviction policy in virtual time over a whole fleet of the size of a shipped deployment,
 * with real routers, lease holders, load rate limiter, adapters and races. The same seed gives the
 * same clients. The results are counted from the records of engines and clients. usage: policies
 * DEPLOYMENT POLICY SEED RATE */
#include "fleet.h"
#include <stdio.h>
#include <stdlib.h>

static double load_ms(const host *host, uint64_t weights_mb) {
  return 300 + (double)(weights_mb ? weights_mb : 200) * 1000 / host->faults.load_mb_per_s;
}

/* Counts the accepted loads and the wasted ones: loads of what was unloaded less than ten load
 * times before, and loads that were unloaded again before they served a request. */
static void count_loads(fleet *fleet, time_us from, int *loads, int *wasted) {
  for (int i = 0; i < fleet->engines; i++) {
    host *host = fleet->engine[i];
    GArray *orders = host->engine->orders;
    for (guint k = 0; k < orders->len; k++) {
      engine_sim_order *load = &g_array_index(orders, engine_sim_order, k);
      if (load->kind != 'l' || !load->accepted || load->received_at.us < from.us)
        continue;
      (*loads)++;
      engine_sim_order *last_unload = NULL, *next_unload = NULL;
      for (guint j = 0; j < orders->len; j++) {
        engine_sim_order *unload = &g_array_index(orders, engine_sim_order, j);
        if (unload->kind != 'u' || !unload->accepted || !id_equal(unload->model, load->model) ||
            !id_equal(unload->adapter, load->adapter))
          continue;
        if (j < k)
          last_unload = unload;
        else if (!next_unload)
          next_unload = unload;
      }
      const catalogue_model *model =
          config_model(fleet->router[0]->router->config, load->model.text);
      bool reloaded_soon =
          last_unload &&
          time_sub(load->received_at, last_unload->received_at).us <
              10000 * load_ms(host, id_is_empty(load->adapter) && model ? model->weights_mb : 0);
      int served = 0;
      for (guint j = 0; next_unload && j < host->engine->streams->len; j++) {
        engine_sim_stream *stream = &g_array_index(host->engine->streams, engine_sim_stream, j);
        served += id_equal(stream->model, load->model) &&
                  (id_is_empty(load->adapter) || id_equal(stream->adapter, load->adapter)) &&
                  stream->started_at.us >= load->received_at.us &&
                  stream->started_at.us <= next_unload->received_at.us;
      }
      *wasted += reloaded_soon || (next_unload && !served);
    }
  }
}

int main(int argc, char **argv) {
  if (argc < 5) {
    fprintf(stderr, "usage: policies DEPLOYMENT POLICY SEED RATE\n");
    return 2;
  }
  uint64_t seed = strtoull(argv[3], NULL, 10);
  bool lanka = strstr(argv[1], "lanka") != NULL;
  fleet *fleet = fleet_new(seed, lanka ? 8 : 7, 9);
  fleet->callers->random_state = seed * 7919 + 1;
  if (!fleet_load_deployment(fleet, argv[1]) || !fleet_bring_up(fleet)) {
    fprintf(stderr, "%s did not start: %s", argv[1], fleet->violations->str);
    return 1;
  }
  char *text = g_str_has_prefix(argv[2], "expr:")
                   ? g_strdup_printf(
                         "{\"eviction\":\"own\",\"utilities\":[{\"id\":\"own\",\"worth\":\"%s\"}]}",
                         argv[2] + 5)
                   : g_strdup_printf("{\"eviction\":\"%s\"}", argv[2]);
  operator_call *call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/policy", text, NULL,
                                   "policy", time_from_ms(9000));
  if (call->status != 200) {
    fprintf(stderr, "%s: %s\n", argv[2], call->body->str);
    return 1;
  }
  loadgen *loadgen = fleet->callers->loadgen;
  loadgen->plan.zipf_exponent = 0.9;
  loadgen->plan.requests_per_s = atof(argv[4]);
  loadgen->plan.retries_max = 2;
  loadgen_start(loadgen);
  sim_run(fleet->sim, time_from_ms(120000));
  time_us from = fleet->sim->now;
  sim_run(fleet->sim, time_from_ms(300000));
  loadgen->stop = true;
  time_us until = fleet->sim->now;
  fleet_finish_traffic(fleet);
  int loads = 0, wasted = 0, asked[3] = { 0 }, done[3] = { 0 }, answered = 0;
  count_loads(fleet, from, &loads, &wasted);
  double wait_ms = 0;
  for (guint i = 0; i < loadgen->requests->len; i++) {
    loadgen_request *request = loadgen->requests->pdata[i];
    if (request->started_at.us < from.us || request->started_at.us >= until.us)
      continue;
    int kind = !strcmp(request->kind.text, loadgen->plan.kinds[0])   ? 0
               : !strcmp(request->kind.text, loadgen->plan.kinds[1]) ? 1
                                                                     : 2;
    asked[kind]++;
    done[kind] += request->outcome == OUTCOME_DONE;
    if (request->outcome == OUTCOME_DONE) {
      wait_ms += (double)time_sub(request->first_event_at, request->started_at).us / 1000;
      answered++;
    }
  }
  int all = asked[0] + asked[1] + asked[2];
  uint64_t busy_unloads = 0, unloads = 0;
  for (int i = 0; i < fleet->routers; i++) {
    busy_unloads += fleet->router[i]->router->loading.busy_unloads;
    unloads += fleet->router[i]->router->loading.unload_count;
  }
  printf("%s %s %s loads %d wasted %d wait %.0f answered %.4f kinds %.4f %.4f %.4f busy %.4f\n",
         argv[1], argv[2], argv[3], loads, wasted, answered ? wait_ms / answered : 0,
         (double)(done[0] + done[1] + done[2]) / all, (double)done[0] / asked[0],
         (double)done[1] / asked[1], (double)done[2] / asked[2],
         unloads ? (double)busy_unloads / (double)unloads : 0);
  for (guint i = 0; g_getenv("SIM_NOTES") && i < loadgen->attempts->len; i++) {
    loadgen_attempt *attempt = &g_array_index(loadgen->attempts, loadgen_attempt, i);
    if (attempt->outcome != OUTCOME_DONE && attempt->started_at.us >= from.us)
      fprintf(stderr, "  %.3f to %.3f %s at %s: %s+%s how %d status %d code %d\n",
              (double)attempt->started_at.us / 1e6, (double)attempt->ended_at.us / 1e6,
              attempt->request->tag, attempt->router, attempt->request->model.text,
              attempt->request->adapter.text, attempt->outcome, attempt->status, attempt->code);
  }
  fleet_check_silently(fleet);
  if (fleet->violations->len)
    fprintf(stderr, "%s", fleet->violations->str);
  g_free(text);
  operator_call_free(call);
  fleet_free(fleet);
  return 0;
}
