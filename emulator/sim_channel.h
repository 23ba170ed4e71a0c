#ifndef EMULATOR_SIM_CHANNEL_H
#define EMULATOR_SIM_CHANNEL_H
#include "sim.h"

/** @file
 * Persistent HTTP connections of the simulated fleet. A channel connects a process of a client's
 * host with a process of a server's host and carries one exchange at a time. Packets arrive in
 * order. A partition or a frozen receiver delays them; when the receiving process has ended, its
 * host replies to them with a reset. */

typedef struct channel channel;
typedef struct exchange exchange;

enum packet_kind {
  PACKET_REQUEST,
  PACKET_HEAD,
  PACKET_DATA,
  /** The end of a response. */
  PACKET_END,
  /** The sender closes the channel: after the data that it has sent, or by a reset. */
  PACKET_CLOSE,
  PACKET_RESET,
  /** A response that belongs to no request. */
  PACKET_STRAY
};

/** The content of a packet; fields that its kind does not use are zero. */
typedef struct packet_content {
  enum packet_kind kind;
  /** For a request and the parts of its response. */
  exchange *exchange;
  /** Bytes of a body; packet_queue_send copies them. */
  string_view text;
  /** For a head or a stray response; the packet owns them. */
  fields *fields;
  /** For a head or a stray response; 0: the bytes are not an HTTP response. */
  int status;
  /** For a head: the server will close the channel after this response. */
  bool closes_connection;
  /** For an end: the response is complete. */
  bool complete;
} packet_content;

/** A packet in transit. */
typedef struct packet {
  list_node link;
  time_us deliver_at;
  packet_content content;
  /** Owns the bytes of content.text; NULL if there are none. */
  GString *text;
} packet;

/** One direction of a channel. */
typedef struct packet_queue {
  channel *channel;
  list_node packets;
  time_us last_delivery_at;
  bool scheduled;
} packet_queue;

struct channel {
  /** Nodes in the simulation's list and, while idle, in the client's pool. */
  list_node link, idle;
  sim *sim;
  /** The server is NULL until an attempt to connect has found one. */
  host *client, *server;
  uint64_t client_incarnation, server_incarnation;
  /** The address that the client connects to. */
  char addr[48];
  /** NULL for the API that a process serves without a listener, and once the server's process has
   * ended. */
  http_listener *listener;
  /** Whether each side still has it open; an open side holds a reference. */
  bool client_open, server_open;
  bool established, idle_timer_set;
  /** Since when it is idle, at each side. */
  time_us client_idle_at, server_idle_at;
  /** At the client: the exchange whose response is awaited, or NULL. */
  exchange *awaited_exchange;
  /** At the server: the exchange that is being served, or NULL. */
  exchange *served_exchange;
  packet_queue to_server, to_client;
  /** Number of requests that the server received. */
  unsigned requests;
  int references;
};

/** A request with its response, shared by client, server and packets. */
struct exchange {
  list_node link;
  channel *channel;
  /** NULL once the client has released it. */
  http_call *call;
  /** NULL before the server has received it, and once it was served. */
  http_request *request;
  char *method, *target;
  fields *request_fields;
  GString *body;
  int references;
  /** At the server. */
  bool head_sent, end_sent, counted_pending;
  /** At the client: no more of the response is awaited; and the response at hand belongs to another
   * call and is skipped. */
  bool finished, skips_response;
};

/** Creates a channel that is open at the client's side only, with one reference. */
channel *channel_new(host *client, const char *addr);
void channel_ref(channel *channel);
void channel_unref(channel *channel);
/** Frees a channel regardless of its references. */
void channel_free(channel *channel);
/** Creates an exchange for a call, with one reference, which the call holds. */
exchange *exchange_new(channel *channel, http_call *call);
/** Takes a reference; exchange may be NULL. */
exchange *exchange_ref(exchange *exchange);
void exchange_unref(exchange *exchange);
/** Frees an exchange regardless of its references, without releasing its own reference to the
 * channel. */
void exchange_free(exchange *exchange);

/** Sends a packet, which arrives after a random delay and after all earlier ones. */
void packet_queue_send(packet_queue *queue, packet_content content);
/** Drops all packets in transit. */
void packet_queue_clear(packet_queue *queue);
/** Whether the process of a host with this incarnation is alive. */
bool channel_is_incarnation_alive(const host *host, uint64_t incarnation);
/** Sets the known headers from the fields that have their names. */
void channel_parse_known_headers(http_headers *headers, const fields *fields);
/** Appends known headers to fields. */
void channel_append_known_headers(fields *fields, const http_headers *headers);

/** Closes the channel at one side, without telling the other. */
void channel_close_client_side(channel *channel);
void channel_close_server_side(channel *channel);
/** Handles a packet that arrives at one side. */
void channel_deliver_to_client(channel *channel, const packet *packet);
void channel_deliver_to_server(channel *channel, const packet *packet);
#endif
