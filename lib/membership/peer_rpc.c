/** Messages and calls between the processes of a fleet: see peer_rpc.h. */
#include "peer_rpc.h"
#include "node.h"

enum {
  /* maximum number of concurrent handler tasks; each has its own stack */
  RUNNING_HANDLERS_MAX = 600,
  /* one log line is written per this many messages of a refused wire version */
  REFUSALS_PER_LOG_LINE = 100
};

/* a call that waits for its response */
typedef struct pending_call {
  condition responded;
  Wire__Envelope *response;
} pending_call;

/* a message and the node that handles it in a separate task */
typedef struct handler_task {
  node *node;
  Wire__Envelope *message;
} handler_task;

static void fill_own_info(node *node, Wire__NodeInfo *info) {
  info->id = node->settings.self.text;
  info->incarnation = node->incarnation;
  info->nonce = node->nonce;
  info->address = node->settings.address;
  info->zone = node->settings.zone.text;
  info->role = node->settings.role;
  info->draining = node->draining;
  info->idle = node->idle;
}

static unsigned own_wire_version(const node *node) {
  return node->settings.wire_version ? node->settings.wire_version : WIRE_VERSION_CURRENT;
}

static void send_envelope(node *node, const char *address, Wire__Envelope *message) {
  Wire__NodeInfo own_info = WIRE__NODE_INFO__INIT;
  fill_own_info(node, &own_info);
  message->version = own_wire_version(node);
  message->from = &own_info;
  size_t size = wire__envelope__get_packed_size(message);
  uint8_t *bytes = g_malloc(size ? size : 1);
  wire__envelope__pack(message, bytes);
  node->world->post_message(node->world, address, (string_view){ (char *)bytes, size });
  g_free(bytes);
  message->from = NULL;
}

void peer_rpc_send(node *node, const char *address, Wire__Envelope *message) {
  message->call = 0;
  message->response = false;
  send_envelope(node, address, message);
}

void peer_rpc_send_to_role(node *node, enum role role, Wire__Envelope *message) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (peer->role == role && !peer->gone)
      peer_rpc_send(node, peer->address, message);
}

void peer_rpc_send_to_live_peers(node *node, Wire__Envelope *message) {
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      peer_rpc_send(node, peer->address, message);
}

enum error_code peer_rpc_call(node *node, const char *address, Wire__Envelope *request,
                              time_us timeout, Wire__Envelope **response, error *err) {
  peer_rpc *rpc = &node->rpc;
  time_us deadline = time_add(world_now(node->world), timeout);
  uint64_t number = ++rpc->last_call_number;
  pending_call call = { .response = NULL };
  condition_init(&call.responded);
  *response = NULL;
  g_hash_table_insert(rpc->pending_calls, g_memdup2(&number, sizeof number), &call);
  request->call = number;
  request->response = false;
  send_envelope(node, address, request);
  enum wake_reason wake = WAKE_SIGNALLED;
  while (!call.response && wake == WAKE_SIGNALLED)
    wake = condition_wait(&node->world->tasks, &call.responded, deadline);
  g_hash_table_remove(rpc->pending_calls, &number);
  if (!call.response)
    return error_set(err, (int)wake, "no reply from %s", address);
  if (call.response->error_code) {
    enum error_code code =
        error_set(err, (int)call.response->error_code, "%s", call.response->error_text);
    peer_rpc_message_free(call.response);
    return code;
  }
  *response = call.response;
  return OK;
}

void peer_rpc_message_free(Wire__Envelope *message) {
  if (message)
    wire__envelope__free_unpacked(message, NULL);
}

void *reply_alloc(reply *reply, size_t bytes) {
  void *memory = g_malloc0(bytes);
  if (!reply->allocations)
    reply->allocations = g_ptr_array_new_with_free_func(g_free);
  g_ptr_array_add(reply->allocations, memory);
  return memory;
}

void *reply_new_body(reply *reply, Wire__Envelope__BodyCase kind,
                     const ProtobufCMessageDescriptor *descriptor) {
  void *body = reply_alloc(reply, descriptor->sizeof_message);
  protobuf_c_message_init(descriptor, body);
  reply->envelope.body_case = kind;
  reply->envelope.heartbeat = body;
  return body;
}

void peer_rpc_register_handler(node *node, int kind, peer_rpc_handler fn, void *context) {
  g_assert(kind > 0 && kind < MESSAGE_KINDS_MAX);
  node->rpc.handlers[kind].fn = fn;
  node->rpc.handlers[kind].context = context;
}

static void send_response(node *node, const Wire__Envelope *request, Wire__Envelope *response) {
  response->call = request->call;
  response->response = true;
  send_envelope(node, request->from->address, response);
}

/* Sends an error response to a call; does nothing for a notification. */
static void send_error(node *node, const Wire__Envelope *request, enum error_code code,
                       const char *text) {
  if (!request->call || request->response)
    return;
  Wire__Envelope response = WIRE__ENVELOPE__INIT;
  response.error_code = code;
  response.error_text = (char *)text;
  send_response(node, request, &response);
}

static void handle_message(node *node, Wire__Envelope *message) {
  int kind = message->body_case;
  if (kind <= 0 || kind >= MESSAGE_KINDS_MAX || !node->rpc.handlers[kind].fn) {
    send_error(node, message, E_WIRE_MESSAGE, "no such message here");
    return;
  }
  reply reply = { WIRE__ENVELOPE__INIT, NULL };
  error err = { 0 };
  int code = node->rpc.handlers[kind].fn(node->rpc.handlers[kind].context, message, &reply, &err);
  if (code)
    send_error(node, message, code, err.text);
  else if (message->call)
    send_response(node, message, &reply.envelope);
  if (reply.allocations)
    g_ptr_array_free(reply.allocations, TRUE);
}

static void handle_message_run(void *context) {
  handler_task *task = context;
  handle_message(task->node, task->message);
  task->node->rpc.running_handlers--;
  peer_rpc_message_free(task->message);
  g_free(task);
}

static void start_handler(node *node, Wire__Envelope *message) {
  handler_task *task = g_new0(handler_task, 1);
  task->node = node;
  task->message = message;
  node->rpc.running_handlers++;
  task_start(&node->world->tasks, "handle message", handle_message_run, task);
}

/* Gives the response to the call that waits for it. Takes ownership of the response. */
static void deliver_response(node *node, Wire__Envelope *response) {
  uint64_t number = response->call;
  pending_call *call = g_hash_table_lookup(node->rpc.pending_calls, &number);
  if (!call || call->response) {
    peer_rpc_message_free(response);
    return;
  }
  call->response = response;
  condition_broadcast(&call->responded);
}

static bool sender_is_valid(const Wire__Envelope *message) {
  return message->from && id_is_valid(string_view_of(message->from->id)) &&
         address_is_valid(message->from->address);
}

static bool wire_version_is_known(const Wire__Envelope *message) {
  return message->version >= WIRE_VERSION_MIN && message->version <= WIRE_VERSION_CURRENT;
}

static void refuse_wire_version(node *node, const Wire__Envelope *message) {
  if (node->rpc.refused_wire_versions++ % REFUSALS_PER_LOG_LINE == 0)
    log_info(&node->log, "wire", "Refused wire version %u from %s (code %d).", message->version,
             message->from->id, E_WIRE_VERSION);
  send_error(node, message, E_WIRE_VERSION, "wire version not spoken here");
}

static void on_message(void *context, string_view bytes) {
  node *node = context;
  Wire__Envelope *message = wire__envelope__unpack(NULL, bytes.length, (const uint8_t *)bytes.data);
  if (!message || !sender_is_valid(message)) {
    log_info(&node->log, "wire", "Refused %zu bytes that are not a valid message (code %d).",
             bytes.length, E_WIRE_MESSAGE);
    peer_rpc_message_free(message);
    return;
  }
  if (!wire_version_is_known(message)) {
    refuse_wire_version(node, message);
    peer_rpc_message_free(message);
    return;
  }
  peer_table_merge(node, message->from, true);
  if (message->response) {
    deliver_response(node, message);
    return;
  }
  if (node->rpc.running_handlers >= RUNNING_HANDLERS_MAX) {
    send_error(node, message, E_OVERLOADED, "too many calls at once");
    peer_rpc_message_free(message);
    return;
  }
  start_handler(node, message);
}

void peer_rpc_init(node *node) {
  peer_rpc *rpc = &node->rpc;
  rpc->last_call_number = node->world->random(node->world) >> 16;
  rpc->pending_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  node->world->on_message = on_message;
  node->world->on_message_context = node;
}

void peer_rpc_free(node *node) {
  g_hash_table_destroy(node->rpc.pending_calls);
}
