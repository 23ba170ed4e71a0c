/** Parallel calls. Each target has its own task, which waits for the response. The call is
 * reference counted, since the caller may release it while tasks are still waiting. */
#include "parallel_call.h"

struct parallel_call {
  node *node;
  GBytes *packed_request;
  time_us timeout, deadline;
  /* targets that have neither responded nor failed */
  int outstanding;
  /* one reference per task and one for the caller */
  int references;
  condition changed;
  /* indexed by target; NULL if there is no response */
  Wire__Envelope *responses[VOTERS_MAX];
  member targets[VOTERS_MAX];
};

typedef struct {
  parallel_call *call;
  int index;
} target_task;

void parallel_call_release(parallel_call *call) {
  if (--call->references)
    return;
  for (int i = 0; i < VOTERS_MAX; i++)
    peer_rpc_message_free(call->responses[i]);
  g_bytes_unref(call->packed_request);
  g_free(call);
}

static void target_run(void *ctx) {
  target_task *task = ctx;
  parallel_call *call = task->call;
  gsize size;
  const uint8_t *bytes = g_bytes_get_data(call->packed_request, &size);
  Wire__Envelope *request = wire__envelope__unpack(NULL, size, bytes);
  Wire__Envelope *response = NULL;
  error err = { 0 };
  /* a failed call leaves the response NULL; the caller does not need the error */
  if (request)
    peer_rpc_call(call->node, call->targets[task->index].address, request, call->timeout, &response,
                  &err);
  peer_rpc_message_free(request);
  call->responses[task->index] = response;
  call->outstanding--;
  condition_broadcast(&call->changed);
  parallel_call_release(call);
  g_free(task);
}

static GBytes *pack_request(const Wire__Envelope *request) {
  size_t size = wire__envelope__get_packed_size(request);
  uint8_t *bytes = g_malloc(size + 1);
  wire__envelope__pack(request, bytes);
  return g_bytes_new_take(bytes, size);
}

parallel_call *parallel_call_start(node *node, const member *targets, int count,
                                   const Wire__Envelope *request, time_us timeout) {
  parallel_call *call = g_new0(parallel_call, 1);
  call->node = node;
  call->packed_request = pack_request(request);
  call->timeout = timeout;
  call->deadline = time_add(world_now(node->world), timeout);
  call->outstanding = count;
  call->references = count + 1;
  condition_init(&call->changed);
  for (int i = 0; i < count; i++) {
    target_task *task = g_new(target_task, 1);
    *task = (target_task){ call, i };
    call->targets[i] = targets[i];
    task_start(&node->world->tasks, "parallel-call", target_run, task);
  }
  return call;
}

const Wire__Envelope *parallel_call_response(const parallel_call *call, int index) {
  return call->responses[index];
}

bool parallel_call_wait(parallel_call *call) {
  scheduler *tasks = &call->node->world->tasks;
  return call->outstanding &&
         condition_wait(tasks, &call->changed, call->deadline) == WAKE_SIGNALLED;
}
