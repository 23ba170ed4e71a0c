/** The command canary: starts, shows and stops a canary trial of an engine selection policy
 * (docs/trial.md). The state of the trial is the resource "canary"; the counts of each arm are
 * summed over the pages of the gateways. */
#include "commands.h"
#include "canary.h"
#include "resource_write.h"
#include <stdio.h>

/** The requests of one arm and priority, by outcome, summed over the gateways. */
struct arm_total {
  double requests, within_target, late, rejected, failed;
};

/** The trial as the gateways report it. */
struct canary_survey {
  struct arm_total totals[CANARY_ARMS][CANARY_PRIORITIES];
  /** Gateways that answered, and those of them that run the trial. */
  int gateway_count, running_count;
};

/** Prints the harm in each arm for a class of requests, unless it has no requests. */
static void print_comparison(const char *name, const json *comparison) {
  const json *control = json_get(comparison, "old");
  const json *candidate = json_get(comparison, "candidate");
  double control_requests = json_number(control, "requests", 0);
  double candidate_requests = json_number(candidate, "requests", 0);
  if (control_requests + candidate_requests <= 0)
    return;
  printf("%-7s harm by the old policy %.4f (at most %.4f) of %.0f, "
         "by the candidate %.4f (at least %.4f) of %.0f\n",
         name, json_number(control, "harm", 0), json_number(control, "atMost", 1), control_requests,
         json_number(candidate, "harm", 0), json_number(candidate, "atLeast", 0),
         candidate_requests);
}

static void print_verdict(const json *verdict) {
  print_comparison("urgent", json_get(verdict, "urgent"));
  print_comparison("rest", json_get(verdict, "rest"));
}

/** Prints the interim verdict of the gateway that judges the trial. `judge` is NULL for the others.
 */
static void print_judge(const json *node, const json *judge) {
  if (!judge)
    return;
  printf("judged by %s, which hears %.0f nodes, for %.0f s\n", json_text(node, "id", ""),
         json_number(judge, "nodes", 0), json_number(judge, "ageMs", 0) / 1000);
  print_verdict(judge);
}

/** Adds the counts of a gateway for one arm and priority. */
static void add_counts(struct canary_survey *survey, const json *counts) {
  int priority = (int)json_number(counts, "priority", -1);
  if (priority < 0 || priority >= CANARY_PRIORITIES)
    return;
  bool is_control = !strcmp(json_text(counts, "side", ""), "old");
  enum canary_arm arm = is_control ? CANARY_ARM_CONTROL : CANARY_ARM_CANDIDATE;
  struct arm_total *total = &survey->totals[arm][priority];
  total->requests += json_number(counts, "requests", 0);
  total->within_target += json_number(counts, "inAim", 0);
  total->late += json_number(counts, "late", 0);
  total->rejected += json_number(counts, "refused", 0);
  total->failed += json_number(counts, "failed", 0);
}

/** Queries one gateway, and prints its interim verdict if it is the judge. */
static void survey_gateway(const struct command_context *context, const json *node,
                           struct canary_survey *survey) {
  json *gateway = control_fetch_page(context, json_text(node, "addr", ""), "/v1/gateway");
  const json *canary = json_get(gateway, "canary");
  const json *arms = json_get(canary, "sides");
  survey->gateway_count += gateway != NULL;
  survey->running_count += json_bool(canary, "on", false);
  print_judge(node, json_get(canary, "judges"));
  for (size_t i = 0; i < json_count(arms); i++)
    add_counts(survey, json_at(arms, i));
  json_free(gateway);
}

static void print_total(enum canary_arm arm, int priority, const struct arm_total *total) {
  if (total->requests <= 0)
    return;
  printf("%-10s %8d %9.0f %9.0f %9.0f %9.0f %9.0f\n",
         arm == CANARY_ARM_CONTROL ? "old" : "candidate", priority, total->requests,
         total->within_target, total->late, total->rejected, total->failed);
}

static void print_survey(const struct canary_survey *survey) {
  printf("on at %d of %d gateways\n", survey->running_count, survey->gateway_count);
  printf("%-10s %8s %9s %9s %9s %9s %9s\n", "SIDE", "PRIORITY", "REQUESTS", "IN AIM", "LATE",
         "REFUSED", "FAILED");
  for (int priority = 0; priority < CANARY_PRIORITIES; priority++)
    for (int arm = 0; arm < CANARY_ARMS; arm++)
      print_total(arm, priority, &survey->totals[arm][priority]);
}

/** Prints a trial: its state, and either the verdict that ended it or what the gateways among the
 * nodes have counted so far. */
static void print_canary(const struct command_context *context, const json *canary,
                         const json *nodes) {
  const json *end = json_get(canary, "end");
  printf("trial %s, share %g, %s%s%s\n", json_text(canary, "name", ""),
         json_number(canary, "share", 0), json_text(canary, "state", "running"), end ? ": " : "",
         end ? json_text(end, "verdict", "") : "");
  print_verdict(end);
  struct canary_survey survey = { 0 };
  for (size_t i = 0; i < json_count(nodes); i++)
    if (node_is_live_router(json_at(nodes, i)))
      survey_gateway(context, json_at(nodes, i), &survey);
  if (!end)
    print_survey(&survey);
}

static enum exit_code print_status(const struct command_context *context) {
  json *resource = control_fetch_page_from_any(context, "/v1/canary");
  json *nodes = control_fetch_page_from_any(context, "/v1/nodes");
  const json *canary = json_get(resource, "value");
  enum exit_code exit_code = EXIT_CODE_OK;
  if (!resource || !nodes) {
    asterctl_error("no address returned the canary and the list of nodes");
    exit_code = EXIT_CODE_NO_ANSWER;
  } else if (!json_count(canary))
    printf("no trial\n");
  else
    print_canary(context, canary, nodes);
  json_free(resource);
  json_free(nodes);
  return exit_code;
}

static enum exit_code stop(const struct command_context *context) {
  static const char ended_by_operator[] =
      "{\"state\":\"ended\",\"end\":{\"verdict\":\"stopped\",\"by\":\"operator\"}}";
  return resource_write(context, "PATCH", "canary", string_view_of(ended_by_operator),
                        context->options.if_version);
}

enum exit_code canary_command_run(const struct command_context *context) {
  const char *action = asterctl_options_word(&context->options, 1);
  if (!strcmp(action, "start"))
    return resource_write_file(context, "PUT", "canary");
  if (!strcmp(action, "stop"))
    return stop(context);
  if (!strcmp(action, "status"))
    return print_status(context);
  asterctl_error("usage: canary start -f FILE, canary status or canary stop");
  return EXIT_CODE_USAGE;
}
