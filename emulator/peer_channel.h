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
  uint64_t incarnation;
  GQueue queued_messages;
} peer_channel;

enum peer_fate { PEER_SENT, PEER_QUEUED };

peer_channel *peer_channel_new(void);
void peer_channel_free(void *p);
/** Decides whether a message is sent now or has to wait. there and back: whether the forward and
 * the backward direction are cut; healed: when a partition last healed; give_up_ms: the timeout, 0
 * for none; draw: a random number below a million, from which the delay of reopening is taken. */
enum peer_fate peer_channel_send(peer_channel *c, time_us now, bool there, bool back,
                                 time_us healed, int64_t give_up_ms, uint64_t draw);
/** Returns whether a message that was not sent is queued until the channel resumes; otherwise it is
 * lost. */
bool peer_channel_can_queue(const peer_channel *c);
/** Resets the channel to a new, open one with an empty queue. */
void peer_channel_reset(peer_channel *c);
#endif
