#ifndef MEMBERSHIP_PEER_RPC_H
#define MEMBERSHIP_PEER_RPC_H
/**
 * Messages and calls between the processes of a fleet.
 *
 * Processes exchange Envelopes (wire.proto), each with the protocol version, the sender and one
 * body. A notification gets no response. A call has a number; the response carries the same number,
 * and the caller's task waits for it. Channels may lose messages (peer_channels.h), so a call that
 * gets no response may still have been executed.
 *
 * Each received message is handled in its own task, so handlers may wait. While 600 handlers are
 * running, further calls are refused with E_OVERLOADED and notifications are dropped.
 *
 * The sender information of every received envelope, whatever its body, is merged into the peer
 * table and counts as a sign of life.
 */
#include "settings.h"
#include "wire.pb-c.h"

typedef struct node node;

/** The response that a handler fills in, with the memory that it points to. */
typedef struct reply {
  Wire__Envelope envelope;
  /** Freed after the response is sent; NULL until something is allocated. */
  GPtrArray *allocations;
} reply;

/** Handles a message. The response has no body unless the handler creates one. A result other than
 * OK is sent to the caller as error code, with err's text, instead of a body. message is freed
 * after the handler returns. */
typedef enum error_code (*peer_rpc_handler)(void *context, Wire__Envelope *message, reply *reply,
                                            error *err);

/** Exceeds the highest field number of the bodies in Envelope's oneof (wire.proto). */
enum { MESSAGE_KINDS_MAX = 80 };

/** The messaging state of one node; written by peer_rpc.c only. */
typedef struct peer_rpc {
  /** Number of the last call. The first number is random, so that a response to a call from this
   * process's previous run does not match a new call. */
  uint64_t last_call_number;
  /** Call number -> pending call, which is on the stack of the waiting task. */
  GHashTable *pending_calls;
  /** Indexed by kind of body (Wire__Envelope__BodyCase); fn is NULL if no handler is registered. */
  struct {
    peer_rpc_handler fn;
    void *context;
  } handlers[MESSAGE_KINDS_MAX];
  int running_handlers;
  /** Number of messages refused because of their wire version. */
  uint64_t refused_wire_versions;
} peer_rpc;

/** Initializes the state and registers it as the receiver of the world's messages. */
void peer_rpc_init(node *node);
/** Frees the state; no call may be pending. */
void peer_rpc_free(node *node);

/** Registers the handler of a kind of body (Wire__Envelope__BodyCase), replacing any previous one.
 */
void peer_rpc_register_handler(node *node, int kind, peer_rpc_handler fn, void *context);

/** Returns an envelope with a body, which it borrows. */
static inline Wire__Envelope wire_envelope(Wire__Envelope__BodyCase kind, void *body) {
  Wire__Envelope message = WIRE__ENVELOPE__INIT;
  message.body_case = kind;
  /* The bodies are a union of pointers, so this sets a body of any kind. */
  message.heartbeat = body;
  return message;
}
/** Sends a notification. */
void peer_rpc_send(node *node, const char *address, Wire__Envelope *message);
/** Sends a notification to all live peers of a role. */
void peer_rpc_send_to_role(node *node, enum role role, Wire__Envelope *message);
/** Sends a notification to all live peers. */
void peer_rpc_send_to_live_peers(node *node, Wire__Envelope *message);
/** Sends a request and waits for the response until the timeout. Returns OK with *response, which
 * the caller frees with peer_rpc_message_free. Otherwise *response is NULL and err is set to
 * E_NO_RESPONSE, E_STOPPING, or the error code in the peer's response. */
enum error_code peer_rpc_call(node *node, const char *address, Wire__Envelope *request,
                              time_us timeout, Wire__Envelope **response, error *err);
/** Frees a received message; NULL is allowed. */
void peer_rpc_message_free(Wire__Envelope *message);

/** Allocates zeroed memory that is freed after the response is sent. */
void *reply_alloc(reply *reply, size_t bytes);
/** Creates the body of a response: an initialized message of the given kind and descriptor, which
 * the handler fills in. It is freed after the response is sent. */
void *reply_new_body(reply *reply, Wire__Envelope__BodyCase kind,
                     const ProtobufCMessageDescriptor *descriptor);
#endif
