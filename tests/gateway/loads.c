#include "loads.h"

deployment_process *singleton_holder(deployment *deployment, const char *singleton) {
  for (int i = 0; i < deployment->fleet->routers; i++)
    if (deployment->gateway_processes[i]->host->alive &&
        deployment->gateway_processes[i]->gateway &&
        singleton_lease_epoch(deployment->gateway_processes[i]->gateway->router, singleton))
      return deployment->gateway_processes[i];
  return NULL;
}

deployment_process *engine_lease_holder(deployment *deployment, const deployment_process *e) {
  char singleton[64];
  singleton_engine_name(singleton, sizeof singleton, e->engine->self);
  return singleton_holder(deployment, singleton);
}

static void load_run(void *p) {
  load *l = p;
  router *router = l->from->gateway->router;
  do {
    /* skipped while the engine process is down, and while the model is loaded */
    if (!l->at->engine ||
        (l->repeat && registering_engine_sim_has_loaded(l->at->engine, l->model, l->adapter)))
      continue;
    deployment_process *to = engine_lease_holder(l->deployment, l->at);
    Wire__PlacedLoadRequest q = WIRE__PLACED_LOAD_REQUEST__INIT;
    q.engine = l->at->engine->self.text;
    q.service = "llm";
    q.model = l->model.text;
    q.adapter = l->adapter.text;
    q.priority = 1;
    q.wait_ms = 800;
    q.extra_replica = l->repeat;
    q.max_eviction_cost = l->max_cost;
    Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, &q), *b;
    error err = { 0 };
    int r = to ? peer_rpc_call(&router->node, to->host->addr, &m, time_from_ms(1300), &b, &err)
               : E_NO_LEASE_HOLDER;
    if (r == E_STOPPING)
      return;
    if (to && !r)
      r = b->body_case == WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE
              ? (int)b->placed_load_response->error_code
              : E_WIRE_MESSAGE;
    if (to)
      peer_rpc_message_free(b);
    if (r == E_IN_PROGRESS)
      continue;
    l->code = r;
    if (!r && !l->loaded_at.us)
      l->loaded_at = world_now(router->node.world);
    if (!l->repeat && (!r || l->max_cost))
      break;
  } while (world_sleep(router->node.world, time_from_ms(100)));
  l->done = true;
}

load *load_start(deployment *deployment, deployment_process *from, deployment_process *at,
                 const char *model, const char *adapter, bool repeat) {
  load *l = g_new0(load, 1);
  *l = (load){ .deployment = deployment,
               .at = at,
               .from = from,
               .model = id_of_text(model),
               .adapter = id_of_text(adapter),
               .repeat = repeat };
  g_ptr_array_add(deployment->scheduled_kills, l);
  task_start(&from->host->world.tasks, "load", load_run, l);
  return l;
}

bool load_done(sim *sim, void *p) {
  (void)sim;
  return ((load *)p)->done;
}

void set_initial_models(deployment_process *process, const char *a, const char *b) {
  g_ptr_array_set_size(process->initial_models, 0);
  if (a)
    g_ptr_array_add(process->initial_models, (char *)a);
  if (b)
    g_ptr_array_add(process->initial_models, (char *)b);
}
