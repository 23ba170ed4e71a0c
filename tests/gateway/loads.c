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
  load *load = p;
  router *router = load->requester->gateway->router;
  do {
    /* skipped while the engine process is down, and while the model is loaded */
    if (!load->target->engine ||
        (load->repeat &&
         registering_engine_sim_has_loaded(load->target->engine, load->model, load->adapter)))
      continue;
    deployment_process *holder = engine_lease_holder(load->deployment, load->target);
    Wire__PlacedLoadRequest request = WIRE__PLACED_LOAD_REQUEST__INIT;
    request.engine = load->target->engine->self.text;
    request.service = "llm";
    request.model = load->model.text;
    request.adapter = load->adapter.text;
    request.priority = 1;
    request.wait_ms = 800;
    request.extra_replica = load->repeat;
    request.max_eviction_cost = load->max_cost;
    Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, &request),
                   *response;
    error err = { 0 };
    int code = holder ? peer_rpc_call(&router->node, holder->host->addr, &message,
                                      time_from_ms(1300), &response, &err)
                      : E_NO_LEASE_HOLDER;
    if (code == E_STOPPING)
      return;
    if (holder && !code)
      code = response->body_case == WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE
                 ? (int)response->placed_load_response->error_code
                 : E_WIRE_MESSAGE;
    if (holder)
      peer_rpc_message_free(response);
    if (code == E_IN_PROGRESS)
      continue;
    load->code = code;
    if (!code && !load->loaded_at.us)
      load->loaded_at = world_now(router->node.world);
    if (!load->repeat && (!code || load->max_cost))
      break;
  } while (world_sleep(router->node.world, time_from_ms(100)));
  load->done = true;
}

load *load_start(deployment *deployment, deployment_process *requester, deployment_process *target,
                 const char *model, const char *adapter, bool repeat) {
  load *load = g_new0(struct load, 1);
  *load = (struct load){ .deployment = deployment,
                         .target = target,
                         .requester = requester,
                         .model = id_of_text(model),
                         .adapter = id_of_text(adapter),
                         .repeat = repeat };
  g_ptr_array_add(deployment->scheduled_kills, load);
  task_start(&requester->host->world.tasks, "load", load_run, load);
  return load;
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
