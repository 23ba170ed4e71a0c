#ifndef EMULATOR_SIM_CHANNEL_H
#define EMULATOR_SIM_CHANNEL_H
#include "sim.h"

/** @file
 * Persistent HTTP connections of the simulated fleet: a channel joins one process of a client's
 * host and one of a server's, and carries one exchange at a time. Packets arrive in order. What a
 * cut or a frozen process holds up arrives later; a process that has ended answers with a reset. */

typedef struct channel channel;
typedef struct exchange exchange;

enum packet_kind {
  PACKET_REQUEST,
  PACKET_HEAD,
  PACKET_DATA,
  /** The end of a response. */
  PACKET_END,
  /** The sender closes the channel, orderly or not. */
  PACKET_CLOSE,
  PACKET_RESET,
  /** A response that no request asked for. */
  PACKET_STRAY
};

/** What a packet carries; the rest of its fields is zero. */
typedef struct packet_content {
  enum packet_kind kind;
  /** Of a request and of the parts of its response. */
  exchange *exchange;
  /** Bytes of a body; the packet has a copy. */
  string_view text;
  /** Of a head or a stray response; the packet owns them. */
  fields *fields;
  /** Of a head or a stray response; 0: bytes that are no response. */
  int status;
  /** Of a head: the server will close the channel. */
  bool closes_connection;
  /** Of an end: the response is complete. */
  bool complete;
} packet_content;

/** A packet on its way. */
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
  /** In the simulation, and in the client's pool while idle. */
  list_node link, idle;
  sim *sim;
  /** The server is NULL until the channel is established, or refused. */
  host *client, *server;
  uint64_t client_incarnation, server_incarnation;
  /** What the client connected to. */
  char addr[48];
  /** NULL for the server's own API, and once its process has ended. */
  http_listener *listener;
  /** Whether each side has not closed it yet; an open side holds a reference. */
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
  /** NULL once the client has let go of it. */
  http_call *call;
  /** NULL before it is received, and once it was served. */
  http_request *request;
  char *method, *target;
  fields *request_fields;
  GString *body;
  int references;
  /** At the server. */
  bool head_sent, end_sent, counted_pending;
  /** At the client: no more of the response is awaited, or none of this one. */
  bool finished, skips_response;
};

/** A new channel of a client, open at its side only, with one reference. */
channel *channel_new(host *client, const char *addr);
void channel_ref(channel *channel);
void channel_unref(channel *channel);
/** Frees a channel whatever references it has. */
void channel_free(channel *channel);
/** A new exchange for a call, with one reference, which is the call's. */
exchange *exchange_new(channel *channel, http_call *call);
/** Takes a reference; exchange may be NULL. */
exchange *exchange_ref(exchange *exchange);
void exchange_unref(exchange *exchange);
/** Frees an exchange whatever references it has, and gives back none of its own. */
void exchange_free(exchange *exchange);

/** Sends a packet. */
void packet_queue_send(packet_queue *queue, packet_content content);
/** Drops all packets that are under way. */
void packet_queue_clear(packet_queue *queue);
/** Whether the process of a host with this incarnation is alive. */
bool channel_is_incarnation_alive(const host *host, uint64_t incarnation);
/** Sets the known headers that are among some fields. */
void channel_parse_known_headers(http_headers *headers, const fields *fields);
/** Appends known headers to fields. */
void channel_append_known_headers(fields *fields, const http_headers *headers);

/** One side closes the channel, without telling the other. */
void channel_close_client_side(channel *channel);
void channel_close_server_side(channel *channel);
/** A packet arrives at one side. */
void channel_deliver_to_client(channel *channel, const packet *packet);
void channel_deliver_to_server(channel *channel, const packet *packet);
#endif
