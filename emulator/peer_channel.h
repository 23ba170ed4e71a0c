#ifndef EMULATOR_PEER_CHANNEL_H
#define EMULATOR_PEER_CHANNEL_H
#include "base.h"

/** One direction between two of our processes, modelled on a TCP connection in a network partition.
 * While the path is cut, messages are queued. After it has healed, they are sent at the next
 * retransmission; the interval between retransmissions doubles each time. A channel that gets no
 * acknowledgement within its timeout closes and drops its queue; it is reopened within a second
 * after the path has healed and the timeout has passed. */
typedef struct peer_channel {
  /** When the first unacknowledged message was sent, or 0; when the channel sends again, or 0. */
  time_us first_unacked_at, resumes_at;
  /** Number of messages that were delivered while only the acknowledgements were lost. */
  unsigned unacked_sent;
  bool closed;
  /** Incarnation of the sending process. */
  uint64_t incarnation;
  GQueue queued_messages;
} peer_channel;

enum peer_send_result { PEER_SENT, PEER_QUEUED };

peer_channel *peer_channel_new(void);
void peer_channel_free(void *p);
/** Decides whether a message is sent now or has to wait. forward_cut and backward_cut: whether that
 * direction is cut; healed_at: when a partition last healed; timeout_ms: 0 for none; random: a
 * random number below a million, which gives the delay of reopening in microseconds. */
enum peer_send_result peer_channel_send(peer_channel *channel, time_us now, bool forward_cut,
                                        bool backward_cut, time_us healed_at, int64_t timeout_ms,
                                        uint64_t random);
/** Returns whether a message that was not sent is queued until the channel resumes; otherwise it is
 * lost. */
bool peer_channel_can_queue(const peer_channel *channel);
/** Resets the channel to a new, open one with an empty queue. */
void peer_channel_reset(peer_channel *channel);
#endif
