/** Waits until a write is in force at every live node (--wait). See resource_write.h.
 *
 * A write is committed once the chain has stored it; nodes receive it a little later through config
 * sync. So each node that /v1/nodes lists as not gone is polled for the version that it applies,
 * until all have at least the version that was written. */
#include "resource_write.h"
#include <stdio.h>

/** The pause between two rounds of polling. */
enum { POLL_INTERVAL_MS = 300 };

/** The result of one round of polling. */
struct in_force_poll {
  /** Some process returned the list of nodes. */
  bool has_nodes;
  /** Nodes that have the version in force. */
  int confirmed_count;
  /** Names with a space before each: live nodes that have not confirmed the version, and nodes that
   * are gone and were not polled. */
  GString *unconfirmed, *gone;
};

/** True when a node has this version or a later one in force. */
static bool node_has_version(const struct command_context *context, const json *node,
                             uint64_t version) {
  json *status = control_fetch_page(context, json_text(node, "addr", ""), "/v1/status");
  bool has_version = status && json_number(status, "version", 0) >= (double)version;
  json_free(status);
  return has_version;
}

/** Polls every live node once. */
static void poll_nodes(const struct command_context *context, uint64_t version,
                       struct in_force_poll *poll) {
  json *nodes = control_fetch_page_from_any(context, "/v1/nodes");
  poll->has_nodes = nodes != NULL;
  for (size_t i = 0; i < json_count(nodes); i++) {
    const json *node = json_at(nodes, i);
    const char *name = json_text(node, "id", "");
    if (node_is_gone(node))
      json_appendf(poll->gone, " %s", name);
    else if (node_has_version(context, node, version))
      poll->confirmed_count++;
    else
      json_appendf(poll->unconfirmed, " %s", name);
  }
  json_free(nodes);
}

static void report_in_force(uint64_t version, const struct in_force_poll *poll) {
  asterctl_error("write %" PRIu64 " is in force at all %d live nodes%s%s", version,
                 poll->confirmed_count, poll->gone->len ? "; gone and not polled:" : "",
                 poll->gone->str);
}

static void report_timeout(uint64_t version, const struct in_force_poll *poll) {
  asterctl_error("write %" PRIu64 " is in force at %d nodes; not confirmed by:%s%s%s", version,
                 poll->confirmed_count,
                 poll->unconfirmed->len ? poll->unconfirmed->str : " any node",
                 poll->gone->len ? "; gone:" : "", poll->gone->str);
}

/** Polls every live node once. Returns true when the wait is over, with the exit code set and the
 * outcome printed. */
static bool poll_ends_wait(const struct command_context *context, uint64_t version,
                           time_us deadline, enum exit_code *exit_code) {
  struct in_force_poll poll = { .unconfirmed = g_string_new(NULL), .gone = g_string_new(NULL) };
  poll_nodes(context, version, &poll);
  bool in_force = poll.has_nodes && poll.confirmed_count && !poll.unconfirmed->len;
  bool timed_out = time_reached(world_now(context->world), deadline);
  if (in_force)
    report_in_force(version, &poll);
  else if (timed_out)
    report_timeout(version, &poll);
  g_string_free(poll.unconfirmed, TRUE);
  g_string_free(poll.gone, TRUE);
  *exit_code = in_force ? EXIT_CODE_OK : EXIT_CODE_NOT_IN_FORCE;
  return in_force || timed_out;
}

enum exit_code resource_wait_in_force(const struct command_context *context, uint64_t version) {
  int64_t wait_ms = (int64_t)context->options.wait_s * 1000;
  time_us deadline = time_add(world_now(context->world), time_from_ms(wait_ms));
  enum exit_code exit_code = EXIT_CODE_NOT_IN_FORCE;
  while (!poll_ends_wait(context, version, deadline, &exit_code))
    if (!world_sleep(context->world, time_from_ms(POLL_INTERVAL_MS)))
      return EXIT_CODE_NOT_IN_FORCE;
  return exit_code;
}
