#include "peer_channel.h"

enum {
  FIRST_RETRANSMISSION_MS = 200,
  REOPEN_JITTER_US = 1000000,
  /* number of messages that may be sent without an acknowledgement */
  WINDOW_MESSAGES = 10,
  QUEUED_MESSAGES_MAX = 2000
};

peer_channel *peer_channel_new(void) {
  peer_channel *channel = g_new0(peer_channel, 1);
  g_queue_init(&channel->queued_messages);
  return channel;
}

static void text_free(void *p) {
  g_string_free(p, TRUE);
}

void peer_channel_reset(peer_channel *channel) {
  g_queue_clear_full(&channel->queued_messages, text_free);
  channel->first_unacked_at = channel->resumes_at = (time_us){ 0 };
  channel->unacked_sent = 0;
  channel->closed = false;
}

void peer_channel_free(void *p) {
  peer_channel_reset(p);
  g_free(p);
}

bool peer_channel_can_queue(const peer_channel *channel) {
  return !channel->closed && channel->queued_messages.length < QUEUED_MESSAGES_MAX;
}

static void close_after_timeout(peer_channel *channel) {
  g_queue_clear_full(&channel->queued_messages, text_free);
  channel->closed = true;
}

/* returns the time of the first retransmission after the path has healed */
static time_us first_retransmission_after_heal(time_us first_unacked_at, time_us healed_at) {
  time_us at = first_unacked_at;
  for (int64_t ms = FIRST_RETRANSMISSION_MS; at.us < healed_at.us; ms *= 2)
    at = time_add(at, time_from_ms(ms));
  return at;
}

/* returns when the channel sends again after a partition; closes the channel if its timeout passes
 * before the next retransmission */
static time_us compute_resume_time(peer_channel *channel, time_us now, time_us healed_at,
                                   int64_t timeout_ms, uint64_t random) {
  if (healed_at.us < channel->first_unacked_at.us)
    healed_at = now;
  time_us retransmission_at = first_retransmission_after_heal(channel->first_unacked_at, healed_at),
          timeout_at = time_add(channel->first_unacked_at, time_from_ms(timeout_ms));
  if (!channel->closed && (!timeout_ms || retransmission_at.us <= timeout_at.us))
    return retransmission_at;
  close_after_timeout(channel);
  time_us reopen_from = timeout_at.us > healed_at.us ? timeout_at : healed_at;
  return time_add(reopen_from, (time_us){ (int64_t)(random % REOPEN_JITTER_US) });
}

enum peer_send_result peer_channel_send(peer_channel *channel, time_us now, bool forward_cut,
                                        bool backward_cut, time_us healed_at, int64_t timeout_ms,
                                        uint64_t random) {
  if (forward_cut || backward_cut) {
    if (!channel->first_unacked_at.us)
      channel->first_unacked_at = now;
    channel->resumes_at = (time_us){ 0 };
    if (timeout_ms && now.us > channel->first_unacked_at.us + timeout_ms * 1000)
      close_after_timeout(channel);
    bool fits = !forward_cut && !channel->closed && channel->unacked_sent < WINDOW_MESSAGES &&
                !channel->queued_messages.length;
    channel->unacked_sent += fits;
    return fits ? PEER_SENT : PEER_QUEUED;
  }
  if (!channel->first_unacked_at.us)
    return PEER_SENT;
  if (!channel->resumes_at.us)
    channel->resumes_at = compute_resume_time(channel, now, healed_at, timeout_ms, random);
  if (now.us < channel->resumes_at.us) {
    channel->closed = false;
    return PEER_QUEUED;
  }
  return PEER_SENT;
}
