#ifndef CONTROLPLANE_PAXOS_ACCEPTOR_H
#define CONTROLPLANE_PAXOS_ACCEPTOR_H
/** The Paxos acceptor for votes on the next view. */
#include "node.h"

/** Handles PrepareRequest; the context is the replica. */
enum error_code paxos_acceptor_on_prepare(void *ctx, Wire__Envelope *in, reply *reply, error *err);
/** Handles AcceptRequest; the context is the replica. */
enum error_code paxos_acceptor_on_accept(void *ctx, Wire__Envelope *in, reply *reply, error *err);
#endif
