#ifndef MEMBERSHIP_PEER_RPC_H
#define MEMBERSHIP_PEER_RPC_H
/**
 * Messages and calls between the processes of a fleet.
 *
 * Processes exchange Envelopes (wire.proto): the version of the protocol, who sends, and one body.
 * A notification is sent and forgotten. A call bears a number; the receiver's response bears the
 * same number, and the caller's task waits for it. Channels may lose messages (peer_channels.h), so
 * a call that gets no response may have been carried out.
 *
 * Each message that comes in is handled by a task of its own, so handlers may wait. Above 600
 * running handlers calls are refused with E_OVERLOADED, and notifications are dropped.
 *
 * Every envelope that comes in, whatever its body, is merged into the peer table and counts as a
 * sign of life of its sender.
 */
#include "settings.h"
#include "wire.pb-c.h"

typedef struct node node;

/** A response that a handler makes, with the memory that it points to. */
typedef struct reply {
  Wire__Envelope envelope;
  /** Freed once the response is sent; NULL until something is allocated. */
  GPtrArray *allocations;
} reply;

/** Handles a message. The response has no body unless the handler makes one. Anything but OK is
 * sent to a caller as the error code, with err's text, in place of a body. message is freed after
 * the handler returns. */
typedef enum error_code (*peer_rpc_handler)(void *context, Wire__Envelope *message, reply *reply,
                                            error *err);

/** More than there are kinds of bodies in wire.proto (numbers of the fields of Envelope's oneof).
 */
enum { MESSAGE_KINDS_MAX = 80 };

/** The state of messages and calls of one node; written by peer_rpc.c only. */
typedef struct peer_rpc {
  /** Number of the last call. Starts at random, so that a response to a call of this process's
   * former run matches none. */
  uint64_t last_call_number;
  /** Call number -> the call, on the stack of the task that waits. */
  GHashTable *pending_calls;
  /** By kind of body (Wire__Envelope__BodyCase); fn is NULL where none is registered. */
  struct {
    peer_rpc_handler fn;
    void *context;
  } handlers[MESSAGE_KINDS_MAX];
  int running_handlers;
  /** Messages refused because of their wire version. */
  uint64_t refused_wire_versions;
} peer_rpc;

/** Makes the state and takes the world's messages. */
void peer_rpc_init(node *node);
/** Frees the state; no call may be pending. */
void peer_rpc_free(node *node);

/** Registers the handler of a kind of body (Wire__Envelope__BodyCase), in place of a former one. */
void peer_rpc_register_handler(node *node, int kind, peer_rpc_handler fn, void *context);

/** An envelope with a body, which it borrows. */
static inline Wire__Envelope wire_envelope(Wire__Envelope__BodyCase kind, void *body) {
  Wire__Envelope message = WIRE__ENVELOPE__INIT;
  message.body_case = kind;
  /* the bodies are a union of pointers: this sets the one of any kind */
  message.heartbeat = body;
  return message;
}
/** Sends a notification. */
void peer_rpc_send(node *node, const char *address, Wire__Envelope *message);
/** Sends a notification to all live peers of a role. */
void peer_rpc_broadcast(node *node, enum role role, Wire__Envelope *message);
/** Sends a notification to all live peers. */
void peer_rpc_send_to_live_peers(node *node, Wire__Envelope *message);
/** Sends a request and waits for the response for a time. OK with *response, which the caller frees
 * with peer_rpc_message_free; otherwise *response is NULL and err is set: E_NO_RESPONSE,
 * E_STOPPING, or the error code that the peer responded. */
enum error_code peer_rpc_call(node *node, const char *address, Wire__Envelope *request,
                              time_us timeout, Wire__Envelope **response, error *err);
/** Frees a message that was received; NULL is allowed. */
void peer_rpc_message_free(Wire__Envelope *message);

/** Zeroed memory that lasts until the response is sent. */
void *reply_alloc(reply *reply, size_t bytes);
/** Makes the body of a response: an initialized message of a kind and its descriptor, which the
 * handler fills in. It lasts until the response is sent. */
void *reply_new_body(reply *reply, Wire__Envelope__BodyCase kind,
                     const ProtobufCMessageDescriptor *descriptor);
#endif
