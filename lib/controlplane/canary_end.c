/** Ends a canary trial on behalf of its judge; see canary_end.h. */
#include "canary_end.h"
#include "operation_pack.h"

/** Longest wait for the commit, in ms; the judge retries its request after that. */
enum { CANARY_END_WRITE_TIMEOUT_MS = 3000 };

static const char canary_singleton[] = "canary";

/** A request of a judge that is being served. */
typedef struct judgement {
  id judge;
  uint64_t judge_nonce;
  const Wire__CanaryEndRequest *message;
} judgement;

/* Checks that the requester holds the singleton, and that the trial is the one that it judged. */
static enum error_code check_judgement(const judgement *judgement, const state *ordered,
                                       error *err) {
  const singleton_grant *grant = state_find_grant(ordered, canary_singleton);
  if (!grant || !id_equal(grant->holder, judgement->judge) ||
      grant->nonce != judgement->judge_nonce || grant->epoch != judgement->message->epoch)
    return error_set(err, E_STALE_EPOCH, "another judges this trial");
  if (ordered->resources[RESOURCE_CANARY].version != judgement->message->version)
    return error_set(err, E_VERSION_CONFLICT, "the trial is another, or has ended");
  return OK;
}

/* Merges the verdict into the text of the trial. Returns NULL and sets `err` when one of them is
 * not JSON or the result may not replace the trial. The caller frees the result. */
static json *merge_verdict(string_view trial_text, string_view verdict_text, error *err) {
  json *trial = json_parse(trial_text, err);
  json *verdict = trial ? json_parse(verdict_text, err) : NULL;
  json *ended = verdict ? json_merge(json_copy(trial), verdict) : NULL;
  if (ended && canary_check_successor(trial, ended, err)) {
    json_free(ended);
    ended = NULL;
  }
  json_free(trial);
  json_free(verdict);
  return ended;
}

/* An operation_builder: writes the canary resource with the verdict merged into it. */
static enum error_code build_canary_end(void *ctx, state *ordered, GString *packed, error *err) {
  const judgement *judgement = ctx;
  enum error_code code = check_judgement(judgement, ordered, err);
  if (code)
    return code;
  const Wire__CanaryEndRequest *message = judgement->message;
  string_view verdict = { (const char *)message->verdict.data, message->verdict.len };
  json *ended =
      merge_verdict(string_view_of_gstring(ordered->resources[RESOURCE_CANARY].text), verdict, err);
  if (!ended)
    return err->code;
  GString *text = g_string_new(NULL);
  json_write(ended, text);
  Wire__Operation operation = WIRE__OPERATION__INIT;
  operation_pack_resource(&operation, RESOURCE_CANARY, string_view_of_gstring(text), packed);
  g_string_free(text, TRUE);
  json_free(ended);
  return OK;
}

/* Handles CanaryEndRequest. */
static enum error_code handle_canary_end(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  canary_end *canary_end = ctx;
  logger *log = &canary_end->node->log;
  if (!replica_is_acting_head(canary_end->replica))
    return error_set(err, E_NO_CONTROLLER, "not the acting head");
  judgement judgement = { id_of_text(in->from->id), in->from->nonce, in->canary_end_request };
  uint64_t seq = 0;
  enum error_code code = replica_write(canary_end->replica, build_canary_end, &judgement,
                                       time_from_ms(CANARY_END_WRITE_TIMEOUT_MS), &seq, err);
  if (code) {
    log_info(log, "api", "Refused the end of the canary trial from %s: %s (code %d).",
             judgement.judge.text, err->text, code);
    return code;
  }
  log_info(log, "api", "The judge %s ended the canary trial with write %" PRIu64 ".",
           judgement.judge.text, seq);
  Wire__CanaryEndResponse *response = reply_new_body(
      reply, WIRE__ENVELOPE__BODY_CANARY_END_RESPONSE, &wire__canary_end_response__descriptor);
  response->ok = true;
  return OK;
}

void canary_end_init(canary_end *canary_end, node *node, replica *replica) {
  canary_end->node = node;
  canary_end->replica = replica;
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_CANARY_END_REQUEST, handle_canary_end,
                            canary_end);
}
