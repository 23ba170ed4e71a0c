/** The rules that hold in every state of the model. */
#include "model.h"
#include <stdio.h>

static void check_head(const model_state *s, int node, char *fault) {
  const model_image *m = &s->node[node].memory;
  for (int i = 0; i < s->acknowledged; i++)
    if (m->last <= i || m->record[i] != s->acknowledged_value[i])
      snprintf(fault, FAULT_SIZE, "the head n%d lacks the acknowledged record %d", node, i + 1);
}

static void check_tail(model_state *s, int node, char *fault) {
  const model_image *m = &s->node[node].memory;
  if (m->committed < s->read || m->committed < s->acknowledged)
    snprintf(fault, FAULT_SIZE, "the tail n%d answers reads at %d after %d was read", node,
             m->committed, MAX(s->read, s->acknowledged));
  for (int i = 0; i < s->read && i < m->committed; i++)
    if (m->record[i] != s->read_value[i])
      snprintf(fault, FAULT_SIZE, "the tail n%d reads another record %d", node, i + 1);
  for (int i = s->read; i < m->committed; i++)
    s->read_value[i] = m->record[i];
  s->read = MAX(s->read, m->committed);
}

/* an in-sync member of the newest view has all acknowledged records */
static void check_survival(const model_state *s, char *fault) {
  int newest = model_newest_view(s);
  const model_view *v = &s->decided[newest];
  for (int i = 0; i < v->chain_length; i++) {
    int node = model_node_of(v->chain[i]);
    const model_image *d = &s->node[node].disk;
    if (v->chain[i] == model_member(s, node) && d->in_sync && d->last >= s->acknowledged &&
        !memcmp(d->record, s->acknowledged_value, s->acknowledged))
      return;
  }
  snprintf(fault, FAULT_SIZE, "no in-sync replica of view %d has the acknowledged record %d",
           newest, s->acknowledged);
}

/* no proposal number is used for two values */
static void check_proposal_numbers(const model_state *s, const model_scope *p, char *fault) {
  for (int i = 0; i < p->nodes; i++)
    for (int k = 0; k < i; k++) {
      const model_acceptor *a = &s->node[i].disk.acceptor, *b = &s->node[k].disk.acceptor;
      if (a->has_accepted && b->has_accepted && a->epoch == b->epoch &&
          a->accepted_round == b->accepted_round && a->accepted_proposer == b->accepted_proposer &&
          memcmp(&a->value, &b->value, sizeof a->value))
        snprintf(fault, FAULT_SIZE, "n%d and n%d accepted two values under round %d of n%d", k, i,
                 a->accepted_round, a->accepted_proposer);
    }
}

void model_check(model_state *s, const model_scope *p, char *fault) {
  int heads = 0, tails = 0;
  for (int i = 0; i < p->nodes; i++) {
    const model_node *n = &s->node[i];
    if (!model_holds_lease(s, i))
      continue;
    const model_view *d = &s->decided[n->memory.view.epoch];
    if (memcmp(d, &n->memory.view, sizeof *d))
      snprintf(fault, FAULT_SIZE, "n%d acts in a view that was not decided", i);
    chain_position c = model_chain_position(s, i);
    view v;
    model_expand_view(&n->memory.view, &v);
    if (chain_may_act_as_head(&c)) {
      heads++;
      check_head(s, i, fault);
    }
    if (chain_may_act_as_tail(&c, &v)) {
      tails++;
      check_tail(s, i, fault);
    }
  }
  if (heads > 1)
    snprintf(fault, FAULT_SIZE, "%d heads act at once", heads);
  if (tails > 1)
    snprintf(fault, FAULT_SIZE, "%d tails act at once", tails);
  check_proposal_numbers(s, p, fault);
  if (!fault[0])
    check_survival(s, fault);
}
