#include "loads.h"

deployment_process *holder_of(deployment *deployment, const char *duty) {
  for (int i = 0; i < deployment->fleet->routers; i++)
    if (deployment->gateway_processes[i]->host->alive &&
        deployment->gateway_processes[i]->gateway &&
        singleton_lease_epoch(deployment->gateway_processes[i]->gateway->router, duty))
      return deployment->gateway_processes[i];
  return NULL;
}

deployment_process *engine_holder(deployment *deployment, const deployment_process *e) {
  char duty[64];
  singleton_engine_name(duty, sizeof duty, e->engine->self);
  return holder_of(deployment, duty);
}

static void load_run(void *p) {
  load *l = p;
  router *router = l->from->gateway->router;
  do {
    /* skipped while the engine process is down, and while the model is loaded */
    if (!l->at->engine ||
        (l->again && registering_engine_sim_has_loaded(l->at->engine, l->model, l->adapter)))
      continue;
    deployment_process *to = engine_holder(l->deployment, l->at);
    Wire__PlacedLoadRequest q = WIRE__PLACED_LOAD_REQUEST__INIT;
    q.engine = l->at->engine->self.text;
    q.service = "llm";
    q.model = l->model.text;
    q.adapter = l->adapter.text;
    q.priority = 1;
    q.wait_ms = 800;
    q.extra_replica = l->again;
    q.max_eviction_cost = l->most;
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
    if (!r && !l->up_at.us)
      l->up_at = world_now(router->node.world);
    if (!l->again && (!r || l->most))
      break;
  } while (world_sleep(router->node.world, time_from_ms(100)));
  l->done = true;
}

load *load_request(deployment *deployment, deployment_process *from, deployment_process *at,
                   const char *model, const char *adapter, bool again) {
  load *l = g_new0(load, 1);
  *l = (load){ .deployment = deployment,
               .at = at,
               .from = from,
               .model = id_of_text(model),
               .adapter = id_of_text(adapter),
               .again = again };
  g_ptr_array_add(deployment->scheduled_kills, l);
  task_start(&from->host->world.tasks, "load", load_run, l);
  return l;
}

bool load_done(sim *sim, void *p) {
  (void)sim;
  return ((load *)p)->done;
}

void holds_first(deployment_process *process, const char *a, const char *b) {
  g_ptr_array_set_size(process->initial_models, 0);
  if (a)
    g_ptr_array_add(process->initial_models, (char *)a);
  if (b)
    g_ptr_array_add(process->initial_models, (char *)b);
}
