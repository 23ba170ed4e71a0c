#ifndef EMULATOR_PEER_CHANNEL_H
#define EMULATOR_PEER_CHANNEL_H
#include "base.h"

/** One direction between two processes of ours as TCP would carry it, when a path is cut: what is
 * sent is held, and after the cut it waits for the next try to send again, each of which comes
 * twice as late as the one before. A channel that gives up holds nothing for longer than its bound,
 * and is opened anew within a second after the path is back. */
typedef struct peer_channel {
  /** When the first byte went unacknowledged, or 0; when the channel carries again, or 0. */
  time_us first_unacked_at, resumes_at;
  /** Messages that went out while only the acknowledgements were lost. */
  unsigned unacked_sent;
  bool closed;
  uint64_t incarnation;
  GQueue queued_messages;
} peer_channel;

enum peer_fate { PEER_SENT, PEER_QUEUED };

peer_channel *peer_channel_new(void);
void peer_channel_free(void *p);
/** What becomes of a message that is sent now; there and back say whether that way is cut, healed
 * when a path was last mended; give_up_ms 0: never; draw is a number below a million. */
enum peer_fate peer_channel_send(peer_channel *c, time_us now, bool there, bool back,
                                 time_us healed, int64_t give_up_ms, uint64_t draw);
/** True when a message must be kept until the channel resumes; else it is lost. */
bool peer_channel_can_queue(const peer_channel *c);
/** Starts anew, with nothing held. */
void peer_channel_reset(peer_channel *c);
#endif
