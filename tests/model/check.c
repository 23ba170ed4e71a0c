/** The rules that hold in every state of the model. */
#include "model.h"
#include <stdio.h>

static void check_head(const model_state *state, int node, char *fault) {
  const model_image *image = &state->node[node].memory;
  for (int i = 0; i < state->acknowledged; i++)
    if (image->last <= i || image->record[i] != state->acknowledged_value[i])
      snprintf(fault, FAULT_SIZE, "the head n%d lacks the acknowledged record %d", node, i + 1);
}

static void check_tail(model_state *state, int node, char *fault) {
  const model_image *image = &state->node[node].memory;
  if (image->committed < state->read || image->committed < state->acknowledged)
    snprintf(fault, FAULT_SIZE, "the tail n%d answers reads at %d after %d was read", node,
             image->committed, MAX(state->read, state->acknowledged));
  for (int i = 0; i < state->read && i < image->committed; i++)
    if (image->record[i] != state->read_value[i])
      snprintf(fault, FAULT_SIZE, "the tail n%d reads another record %d", node, i + 1);
  for (int i = state->read; i < image->committed; i++)
    state->read_value[i] = image->record[i];
  state->read = MAX(state->read, image->committed);
}

/* an in-sync member of the newest view has all acknowledged records */
static void check_survival(const model_state *state, char *fault) {
  int newest = model_newest_view(state);
  const model_view *v = &state->decided[newest];
  for (int i = 0; i < v->chain_length; i++) {
    int node = model_node_of(v->chain[i]);
    const model_image *d = &state->node[node].disk;
    if (v->chain[i] == model_member(state, node) && d->in_sync && d->last >= state->acknowledged &&
        !memcmp(d->record, state->acknowledged_value, state->acknowledged))
      return;
  }
  snprintf(fault, FAULT_SIZE, "no in-sync replica of view %d has the acknowledged record %d",
           newest, state->acknowledged);
}

/* no proposal number is used for two values */
static void check_proposal_numbers(const model_state *state, const model_scope *scope,
                                   char *fault) {
  for (int i = 0; i < scope->nodes; i++)
    for (int k = 0; k < i; k++) {
      const model_acceptor *a = &state->node[i].disk.acceptor, *b = &state->node[k].disk.acceptor;
      if (a->has_accepted && b->has_accepted && a->epoch == b->epoch &&
          a->accepted_round == b->accepted_round && a->accepted_proposer == b->accepted_proposer &&
          memcmp(&a->value, &b->value, sizeof a->value))
        snprintf(fault, FAULT_SIZE, "n%d and n%d accepted two values under round %d of n%d", k, i,
                 a->accepted_round, a->accepted_proposer);
    }
}

void model_check(model_state *state, const model_scope *scope, char *fault) {
  int heads = 0, tails = 0;
  for (int i = 0; i < scope->nodes; i++) {
    const model_node *n = &state->node[i];
    if (!model_holds_lease(state, i))
      continue;
    const model_view *d = &state->decided[n->memory.view.epoch];
    if (memcmp(d, &n->memory.view, sizeof *d))
      snprintf(fault, FAULT_SIZE, "n%d acts in a view that was not decided", i);
    chain_position position = model_chain_position(state, i);
    view v;
    model_expand_view(&n->memory.view, &v);
    if (chain_may_act_as_head(&position)) {
      heads++;
      check_head(state, i, fault);
    }
    if (chain_may_act_as_tail(&position, &v)) {
      tails++;
      check_tail(state, i, fault);
    }
  }
  if (heads > 1)
    snprintf(fault, FAULT_SIZE, "%d heads act at once", heads);
  if (tails > 1)
    snprintf(fault, FAULT_SIZE, "%d tails act at once", tails);
  check_proposal_numbers(state, scope, fault);
  if (!fault[0])
    check_survival(state, fault);
}
