/** HTTP calls that are not pooled: see real_http_client.h. */
#include "real_http_client.h"
#include "connection_owner.h"
#include "dial.h"
#include "lws_fields.h"
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

enum {
  /* maximum size of one write of a body */
  PIECE_BYTES = 16 * 1024,
  /* The library can't pause reading for a slow reader, so a call is aborted if its unread body
   * exceeds its limit by more than this. */
  UNREAD_SLACK_BYTES = 1 << 20
};

static const uint64_t LENGTH_UNKNOWN = UINT64_MAX;

/** The connection of a call. It is freed with the connection, or when the call is cancelled. */
typedef struct outgoing_call {
  connection_owner owner;
  http_call *call;
  /** As announced in the response head. */
  uint64_t content_length;
  /** Bytes of the response are currently being read. */
  bool reading;
} outgoing_call;

/* Ends the call: no more bytes will be received. */
static void connection_destroyed(connection_owner *owner) {
  outgoing_call *outgoing = (outgoing_call *)owner;
  http_call *call = outgoing->call;
  call->impl = NULL;
  call->broken = !call->ended;
  condition_broadcast(&call->progressed);
  g_free(outgoing);
}

void real_http_client_start(http_call *call, struct lws_context *context, struct lws_vhost *vhost,
                            const char *own_ip) {
  if (call->world->tasks.stopped) {
    call->broken = true;
    return;
  }
  outgoing_call *outgoing = g_new0(outgoing_call, 1);
  outgoing->owner.on_destroyed = connection_destroyed;
  outgoing->call = call;
  call->impl = outgoing;
  dial_target target = { .context = context,
                         .vhost = vhost,
                         .own_ip = own_ip,
                         .address = call->address,
                         .method = call->method,
                         .path = call->path,
                         .protocol = REAL_HTTP_CLIENT_PROTOCOL };
  if (!dial_open(&target, &outgoing->owner))
    connection_destroyed(&outgoing->owner);
}

void real_http_client_cancel(http_call *call) {
  outgoing_call *outgoing = call->impl;
  if (!outgoing)
    return;
  call->impl = NULL;
  struct lws *wsi = connection_owner_wsi(&outgoing->owner);
  connection_owner_detach(&outgoing->owner);
  g_free(outgoing);
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static bool is_too_late_to_send(const http_call *call) {
  return time_reached(world_now(call->world), call->send_deadline);
}

static int append_head(http_call *call, struct lws *wsi, unsigned char **cursor,
                       unsigned char *end) {
  if (is_too_late_to_send(call))
    return CONNECTION_CLOSE;
  call->sent = true;
  if (!lws_fields_append(wsi, &call->known_request_fields, cursor, end))
    return CONNECTION_CLOSE;
  char length[24];
  snprintf(length, sizeof length, "%zu", call->body->len);
  if (strcmp(call->method, "GET") &&
      lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, (unsigned char *)length,
                                   (int)strlen(length), cursor, end))
    return CONNECTION_CLOSE;
  if (call->body->len) {
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
  }
  return CONNECTION_KEEP;
}

static int write_body_piece(http_call *call, struct lws *wsi) {
  if (is_too_late_to_send(call))
    return CONNECTION_CLOSE;
  if (!call->body->len)
    return CONNECTION_KEEP;
  unsigned char buffer[LWS_PRE + PIECE_BYTES];
  size_t length = MIN(call->body->len, (size_t)PIECE_BYTES);
  memcpy(buffer + LWS_PRE, call->body->str, length);
  g_string_erase(call->body, 0, (gssize)length);
  bool is_last = !call->body->len;
  if (is_last)
    lws_client_http_body_pending(wsi, 0);
  enum lws_write_protocol kind = is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (lws_write(wsi, buffer + LWS_PRE, length, kind) < 0)
    return CONNECTION_CLOSE;
  if (!is_last)
    lws_callback_on_writable(wsi);
  return CONNECTION_KEEP;
}

static uint64_t read_content_length(struct lws *wsi, int status) {
  if (status == 204 || status == 304)
    return 0;
  char *text = lws_field_dup(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  uint64_t length = text ? strtoull(text, NULL, 10) : LENGTH_UNKNOWN;
  g_free(text);
  return length;
}

static void on_response_head(outgoing_call *outgoing, struct lws *wsi) {
  http_call *call = outgoing->call;
  char **fields = call->known_response_fields.values;
  fields[HEADER_RETRY_AFTER] = lws_field_dup(wsi, WSI_TOKEN_HTTP_RETRY_AFTER);
  fields[HEADER_ETAG] = lws_field_dup(wsi, WSI_TOKEN_HTTP_ETAG);
  fields[HEADER_CONTENT_TYPE] = lws_field_dup(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
  call->status = (int)lws_http_client_http_response(wsi);
  outgoing->content_length = read_content_length(wsi, call->status);
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  condition_broadcast(&call->progressed);
}

/* When the connection ends, the library reports the response as complete even if the last chunk is
 * missing. So this records whether the socket still had bytes to read. */
static int read_response(outgoing_call *outgoing, struct lws *wsi) {
  char buffer[LWS_PRE + REAL_HTTP_CLIENT_READ_BYTES], *cursor = buffer + LWS_PRE, next_byte;
  int length = REAL_HTTP_CLIENT_READ_BYTES;
  outgoing->reading = recv(lws_get_socket_fd(wsi), &next_byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  int result = lws_http_client_read(wsi, &cursor, &length);
  /* the call may have been cancelled during the read, and outgoing freed */
  if (connection_owner_of(wsi) == &outgoing->owner)
    outgoing->reading = false;
  return result < 0 ? CONNECTION_CLOSE : CONNECTION_KEEP;
}

static int append_response_body(http_call *call, const char *bytes, size_t length) {
  g_string_append_len(call->response_body, bytes, (gssize)length);
  call->received_bytes += length;
  if (call->response_body->len > call->response_max_bytes + UNREAD_SLACK_BYTES)
    return CONNECTION_CLOSE;
  condition_broadcast(&call->progressed);
  return CONNECTION_KEEP;
}

static void on_response_end(const outgoing_call *outgoing) {
  http_call *call = outgoing->call;
  if (outgoing->reading || call->received_bytes == outgoing->content_length)
    call->ended = true;
  else
    call->broken = true;
  condition_broadcast(&call->progressed);
}

int real_http_client_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                              void *in, size_t length) {
  outgoing_call *outgoing = (outgoing_call *)connection_owner_of(wsi);
  http_call *call = outgoing ? outgoing->call : NULL;
  switch (reason) {
  case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
    unsigned char **cursor = in;
    return call ? append_head(call, wsi, cursor, *cursor + length) : CONNECTION_CLOSE;
  }
  case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
    return call ? write_body_piece(call, wsi) : CONNECTION_CLOSE;
  case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    if (!call)
      return CONNECTION_CLOSE;
    on_response_head(outgoing, wsi);
    return CONNECTION_KEEP;
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
    return call ? read_response(outgoing, wsi) : CONNECTION_CLOSE;
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    return call ? append_response_body(call, in, length) : CONNECTION_CLOSE;
  case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    if (call)
      on_response_end(outgoing);
    return CONNECTION_CLOSE;
  default:
    return lws_callback_http_dummy(wsi, reason, user, in, length);
  }
}
