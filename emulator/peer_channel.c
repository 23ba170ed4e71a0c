#include "peer_channel.h"

enum {
  FIRST_RETRY_MS = 200,
  OPEN_RETRY_US = 1000000,
  /* number of messages that may be sent without an acknowledgement */
  WINDOW = 10,
  QUEUED_MESSAGES_MAX = 2000
};

peer_channel *peer_channel_new(void) {
  peer_channel *c = g_new0(peer_channel, 1);
  g_queue_init(&c->queued_messages);
  return c;
}

static void text_free(void *p) {
  g_string_free(p, TRUE);
}

void peer_channel_reset(peer_channel *c) {
  g_queue_clear_full(&c->queued_messages, text_free);
  c->first_unacked_at = c->resumes_at = (time_us){ 0 };
  c->unacked_sent = 0;
  c->closed = false;
}

void peer_channel_free(void *p) {
  peer_channel_reset(p);
  g_free(p);
}

bool peer_channel_can_queue(const peer_channel *c) {
  return !c->closed && c->queued_messages.length < QUEUED_MESSAGES_MAX;
}

static void give_up(peer_channel *c) {
  g_queue_clear_full(&c->queued_messages, text_free);
  c->closed = true;
}

/* returns the time of the first retransmission after the path has healed */
static time_us next_retry(time_us silent, time_us healed) {
  time_us at = silent;
  for (int64_t ms = FIRST_RETRY_MS; at.us < healed.us; ms *= 2)
    at = time_add(at, time_from_ms(ms));
  return at;
}

static time_us resume_at(peer_channel *c, time_us now, time_us healed, int64_t give_up_ms,
                         uint64_t draw) {
  if (healed.us < c->first_unacked_at.us)
    healed = now;
  time_us retry = next_retry(c->first_unacked_at, healed),
          last = time_add(c->first_unacked_at, time_from_ms(give_up_ms));
  if (!c->closed && (!give_up_ms || retry.us <= last.us))
    return retry;
  give_up(c);
  time_us from = last.us > healed.us ? last : healed;
  return time_add(from, (time_us){ (int64_t)(draw % OPEN_RETRY_US) });
}

enum peer_fate peer_channel_send(peer_channel *c, time_us now, bool there, bool back,
                                 time_us healed, int64_t give_up_ms, uint64_t draw) {
  if (there || back) {
    if (!c->first_unacked_at.us)
      c->first_unacked_at = now;
    c->resumes_at = (time_us){ 0 };
    if (give_up_ms && now.us > c->first_unacked_at.us + give_up_ms * 1000)
      give_up(c);
    bool fits = !there && !c->closed && c->unacked_sent < WINDOW && !c->queued_messages.length;
    c->unacked_sent += fits;
    return fits ? PEER_SENT : PEER_QUEUED;
  }
  if (!c->first_unacked_at.us)
    return PEER_SENT;
  if (!c->resumes_at.us)
    c->resumes_at = resume_at(c, now, healed, give_up_ms, draw);
  if (now.us < c->resumes_at.us) {
    c->closed = false;
    return PEER_QUEUED;
  }
  return PEER_SENT;
}
