#ifndef EMULATOR_SIM_H
#define EMULATOR_SIM_H
#include "sim_events.h"
#include "sim_host.h"
#include "sim_messages.h"
#include "sim_partitions.h"

/** @file
 * A fleet in one process under virtual time: clock, events, hosts and the network between them. All
 * chance comes from one seed, and the same seed gives the same run. */

/** Room for the key of a direction between two hosts, "FROM>TO". */
enum { SIM_DIRECTION_KEY_SIZE = 120 };

struct sim {
  time_us now;
  uint64_t random_state;
  /** How many steps of virtual time were made. */
  uint64_t steps;
  sim_event_queue events;
  /** Of host, in the order in which they were added. */
  list_node hosts;
  /** Of sim_http.c. */
  list_node http_exchanges;
  /** Of sim_connections.c. */
  list_node listeners, channels, exchanges;
  sim_partitions partitions;
  sim_messages messages;
  /** Chance that a message between peers is lost. */
  double loss_ratio;
  /** A message takes delay_ms, and up to jitter_ms more at random. */
  int64_t delay_ms, jitter_ms;
  /** Peers' channels behave like TCP behind a cut (see peer_channel.h); otherwise what is sent into
   * a cut is lost and nothing else. */
  bool tcp_channels;
  /** How long such a channel lives without acknowledgements, in ms. */
  int64_t peer_timeout_ms;
  /** Bandwidth of a host's link for messages to peers; 0: no bound. */
  int64_t bytes_per_s;
  bool log_to_stderr;
  /** Messages to peers. */
  uint64_t messages_sent, bytes_sent;
  /** Called at regular intervals of virtual time, if set. */
  void (*on_sample)(sim *sim, void *context);
  void *on_sample_context;
  time_us next_sample_at;
};

/** A simulation without hosts; freed by sim_free, which ends all processes. */
sim *sim_new(uint64_t seed);
void sim_free(sim *sim);
/** Runs virtual time forward. */
void sim_run(sim *sim, time_us span);
/** Runs until a test holds or a span has passed; returns whether it holds. */
bool sim_run_until(sim *sim, bool (*test)(struct sim *sim, void *context), void *context,
                   time_us span);
/** A random number from 0 to n - 1; 0 if n is 0. */
uint64_t sim_random(sim *sim, uint64_t n);
/** The time that one message takes, drawn at random. */
time_us sim_draw_message_delay(sim *sim);
/** Puts a response that no request asked for, or bytes that are no response (status 0), on a
 * request's channel, before its response or after it. */
void sim_send_stray_response(http_request *request, int status, const fields *fields,
                             string_view body);
#endif
