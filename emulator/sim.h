#ifndef EMULATOR_SIM_H
#define EMULATOR_SIM_H
#include "sim_events.h"
#include "sim_host.h"
#include "sim_messages.h"
#include "sim_partitions.h"

/** @file
 * Deterministic discrete-event simulation of a fleet in one process: the virtual clock, the event
 * queue, the hosts and the network between them. All randomness derives from one seed, so a run can
 * be repeated by its seed. */

/** Buffer size for the key of a direction between two hosts, "FROM>TO". */
enum { SIM_DIRECTION_KEY_SIZE = 120 };

struct sim {
  time_us now;
  uint64_t random_state;
  /** Number of steps that the simulation loop has made. */
  uint64_t steps;
  sim_event_queue events;
  /** List of host, in the order in which they were added. */
  list_node hosts;
  /** List of sim_http_exchange; maintained by sim_http.c. */
  list_node http_exchanges;
  /** Lists of listener_address (sim_connections_server.c), channel and exchange (sim_channel.h). */
  list_node listeners, channels, exchanges;
  sim_partitions partitions;
  sim_messages messages;
  /** Probability that a message between peers is lost. */
  double loss_ratio;
  /** A message takes delay_ms, and up to jitter_ms more at random. */
  int64_t delay_ms, jitter_ms;
  /** Whether messages between peers are queued and sent again across a partition, as TCP does (see
   * peer_channel.h); otherwise a partition loses exactly the messages that are sent during it. */
  bool tcp_channels;
  /** How long such a channel stays open without acknowledgements, in ms; 0: forever. */
  int64_t peer_timeout_ms;
  /** Bandwidth of a host's link for messages to peers; 0: unlimited. */
  int64_t bytes_per_s;
  bool log_to_stderr;
  /** Totals of messages between peers. */
  uint64_t messages_sent, bytes_sent;
  /** Called at regular intervals of virtual time, if set. */
  void (*on_sample)(sim *sim, void *context);
  void *on_sample_context;
  time_us next_sample_at;
};

/** Creates a simulation without hosts; free it with sim_free, which ends all processes. */
sim *sim_new(uint64_t seed);
void sim_free(sim *sim);
/** Runs the simulation for a duration of virtual time. */
void sim_run(sim *sim, time_us duration);
/** Runs until a condition holds or a timeout has passed; returns whether it holds. */
bool sim_run_until(sim *sim, bool (*test)(struct sim *sim, void *context), void *context,
                   time_us timeout);
/** A random number from 0 to n - 1; 0 if n is 0. */
uint64_t sim_random(sim *sim, uint64_t n);
/** Draws the transmission time of one message at random. */
time_us sim_draw_message_delay(sim *sim);
/** Sends a response that belongs to no request, or bytes that are not an HTTP response (status 0),
 * on the channel of a request; it may come before or after that request's own response. */
void sim_send_stray_response(http_request *request, int status, const fields *fields,
                             string_view body);
#endif
