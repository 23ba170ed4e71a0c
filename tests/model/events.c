/** The events that may happen in the model, and how each one changes its state. */
#include "model.h"
#include <stdio.h>
#include <stdlib.h>

enum {
  STEP_SLOW = 10,
  STEP_FAST = 11,
  PENDING_WRITES_MAX = 2,
  PROPOSAL_ADDS_MEMBER = 1,
  PROPOSAL_REPLACES_VOTER = 2
};

static void init_records(model_image *image, int records) {
  image->last = image->committed = (uint8_t)records;
  for (int i = 0; i < records; i++)
    image->record[i] = (uint8_t)(i + 1);
}

void model_init(model_state *state, const model_scope *scope) {
  memset(state, 0, sizeof *state);
  model_view v = { .epoch = 1,
                   .chain_length = scope->chain_length,
                   .voter_count = scope->chain_length };
  for (int i = 0; i < scope->chain_length; i++)
    v.chain[i] = v.voters[i] = model_member(state, i);
  state->decided[1] = v;
  state->remaining = scope->budget;
  if (scope->old_join_request)
    state->node[0].join_member = model_member(state, scope->chain_length - 1);
  state->acknowledged = state->read = state->values = scope->records;
  for (int i = 0; i < scope->records; i++)
    state->acknowledged_value[i] = state->read_value[i] = (uint8_t)(i + 1);
  for (int i = 0; i < scope->nodes; i++) {
    model_node *n = &state->node[i];
    n->up = 1;
    n->disk.in_sync = 1;
    if (i < scope->chain_length)
      n->disk.view = v;
    if (i < scope->chain_length - scope->out_of_sync)
      init_records(&n->disk, scope->records);
    else if (i < scope->chain_length)
      n->disk.in_sync = 0;
    n->memory = n->disk;
    n->lease.started = n->lease.voters_known = AGE_OLD;
    for (int k = 0; k < MEMBERS_MAX; k++)
      n->lease.held[k].age = AGE_NONE;
    for (int k = 0; k < 2 * MEMBERS_MAX; k++)
      n->lease.granted[k].age = AGE_NONE;
    n->lease.has_acted = i < scope->chain_length;
    for (int k = 0; k < scope->chain_length && i < scope->chain_length; k++) {
      if (k == i)
        continue;
      n->lease.held[k].member = n->lease.granted[k].member = model_member(state, k);
      n->lease.held[k].age = k + 1 == scope->non_granting_voter ? AGE_NONE : 0;
      n->lease.granted[k].age = i + 1 == scope->non_granting_voter ? AGE_NONE : 0;
    }
  }
}

static bool contains(const uint8_t *members, int n, uint8_t m) {
  return memchr(members, m, (size_t)n) != NULL;
}

static int chain_index_of_node(const model_view *v, int node) {
  for (int i = 0; i < v->chain_length; i++)
    if (model_node_of(v->chain[i]) == node)
      return i;
  return -1;
}

/* The environment causes no more losses than are tolerated: one member of a view keeps its disk and
   is in sync. A member that the view removes counts as lost even if its disk is intact. */
static bool has_surviving_replica(const model_state *state, const model_view *v,
                                  int excluded_node) {
  for (int i = 0; i < v->chain_length; i++) {
    int node = model_node_of(v->chain[i]);
    const model_node *n = &state->node[node];
    if (node != excluded_node && v->chain[i] == model_member(state, node) && n->disk.in_sync &&
        (n->memory.in_sync || !n->up))
      return true;
  }
  return false;
}

int model_newest_view(const model_state *state) {
  int newest = EPOCHS_MAX - 1;
  while (newest && !state->decided[newest].epoch)
    newest--;
  return newest;
}

/* whether votes in progress may still decide the view after the newest one */
static bool vote_is_under_way(const model_state *state, const model_scope *scope) {
  int newest = model_newest_view(state);
  for (int i = 0; i < scope->nodes; i++) {
    const model_node *n = &state->node[i];
    if (n->proposal.phase || n->memory.acceptor.epoch > newest || n->disk.acceptor.epoch > newest)
      return true;
  }
  for (int i = 0; i < MESSAGES_MAX; i++)
    if (state->message[i].kind && state->message[i].kind <= MSG_ACCEPT_RESPONSE &&
        state->message[i].epoch > newest)
      return true;
  return false;
}

/* whether a node's replica may be lost, permanently or until it fetches a snapshot */
static bool may_lose_replica(const model_state *state, const model_scope *scope, int node) {
  return !vote_is_under_way(state, scope) &&
         has_surviving_replica(state, &state->decided[model_newest_view(state)], node);
}

/* computes the view that a node may propose, like repair_plan_make but without its delays; returns
 * false if there is none */
static bool make_proposal(const model_state *state, const model_scope *scope, model_event event,
                          model_view *v) {
  const model_node *n = &state->node[event.a];
  const model_view *known_view = &n->memory.view;
  int removed_lease_holders = 0;
  *v = *known_view;
  v->epoch++;
  if (v->epoch >= EPOCHS_MAX ||
      !contains(known_view->voters, known_view->voter_count, model_member(state, event.a)))
    return false;
  v->chain_length = 0;
  memset(v->chain, 0, sizeof v->chain);
  bool adds = event.c & PROPOSAL_ADDS_MEMBER;
  view known;
  model_expand_view(known_view, &known);
  if (adds && (!n->join_member || !chain_may_join(&known, n->join_epoch)))
    return false;
  for (int i = 0; i < known_view->chain_length; i++) {
    bool replaced = adds && model_node_of(known_view->chain[i]) == model_node_of(n->join_member) &&
                    known_view->chain[i] != n->join_member;
    bool dropped = event.b == i + 1 && known_view->chain[i] != model_member(state, event.a);
    removed_lease_holders += dropped;
    if (!replaced && !dropped)
      v->chain[v->chain_length++] = known_view->chain[i];
  }
  if (event.b && !removed_lease_holders)
    return false;
  if (adds) {
    if (!v->chain_length || v->chain_length >= scope->chain_length ||
        chain_index_of_node(v, model_node_of(n->join_member)) >= 0)
      return false;
    v->chain[v->chain_length++] = n->join_member;
  }
  if (!v->chain_length)
    return false;
  if (!(event.c & PROPOSAL_REPLACES_VOTER))
    return true;
  if (!proposer_may_replace_voters(removed_lease_holders))
    return false;
  for (int i = 0; i < v->voter_count; i++) {
    if (contains(v->chain, v->chain_length, v->voters[i]))
      continue;
    for (int k = v->chain_length - 1; k >= 0; k--) {
      if (contains(v->voters, v->voter_count, v->chain[k]))
        continue;
      v->voters[i] = v->chain[k];
      return true;
    }
  }
  return false;
}

typedef struct {
  model_event *events;
  int n;
} event_list;

static void add(event_list *list, event_kind kind, int a, int b, int c) {
  if (list->n < EVENTS_MAX)
    list->events[list->n++] = (model_event){ kind, (uint8_t)a, (uint8_t)b, (uint8_t)c };
}

static void add_message_events(const model_state *state, const model_scope *scope,
                               event_list *list) {
  for (int i = 0; i < MESSAGES_MAX; i++) {
    if (!state->message[i].kind)
      continue;
    add(list, EVENT_DELIVER, i, 0, 0);
    const model_message *message = &state->message[i];
    /* checksums are compared at the same committed record only, see state_differs in replication.c
     */
    if (state->remaining.refetches && message->kind == MSG_REPLICATE_REQUEST &&
        state->node[message->to].memory.in_sync &&
        message->commit == state->node[message->to].memory.committed &&
        model_may_accept_records(state, message) && may_lose_replica(state, scope, message->to))
      add(list, EVENT_REFETCH, i, 0, 0);
    if (state->remaining.drops)
      add(list, EVENT_DROP, i, 0, 0);
    if (state->remaining.duplicates)
      add(list, EVENT_DUPLICATE, i, 0, 0);
  }
}

static void add_proposals(const model_state *state, const model_scope *scope, int i,
                          event_list *list) {
  const model_node *n = &state->node[i];
  acceptor_state pending = { .epoch = n->memory.acceptor.epoch,
                             .promised.round = n->memory.acceptor.round };
  model_view v;
  for (int b = 0; b <= n->memory.view.chain_length; b++)
    for (int c = 0; c < 4; c++) {
      model_event event = { EVENT_PROPOSE, (uint8_t)i, (uint8_t)b, (uint8_t)c };
      bool same = !b && !c;
      if (same && !acceptor_prepare_pending(&pending, n->memory.view.epoch))
        continue;
      if (make_proposal(state, scope, event, &v) && has_surviving_replica(state, &v, -1))
        add(list, EVENT_PROPOSE, i, b, c);
    }
}

static void add_replication(const model_state *state, const model_scope *scope, int i,
                            event_list *list) {
  const model_node *n = &state->node[i];
  chain_position position = model_chain_position(state, i);
  view v;
  model_expand_view(&n->memory.view, &v);
  bool has_space = !n->queue[DISK_QUEUE - 1].kind;
  if (state->remaining.writes && !n->busy && has_space && chain_may_act_as_head(&position) &&
      position.last < RECORDS_MAX && position.last - position.committed < PENDING_WRITES_MAX &&
      !chain_is_under_replicated(&v, scope->min_replicas, 1) && model_holds_lease(state, i))
    add(list, EVENT_WRITE, i, 0, 0);
  for (int without_records = 0;
       without_records < 2 && state->remaining.replications && chain_may_send(&position, &v);
       without_records++)
    add(list, EVENT_REPLICATE, i, without_records, 0);
  if (position.index >= 0 || !n->memory.view.epoch || !state->remaining.joins)
    return;
  if (!n->busy && has_space)
    add(list, EVENT_FETCH_SNAPSHOT, i, 0, 0);
  for (int k = 0; k < n->memory.view.voter_count && !n->memory.in_sync && !n->busy; k++)
    if (model_node_of(n->memory.view.voters[k]) != i)
      add(list, EVENT_REQUEST_JOIN, i, model_node_of(n->memory.view.voters[k]), 0);
}

static void add_node_events(const model_state *state, const model_scope *scope, int i,
                            event_list *list) {
  const model_node *n = &state->node[i];
  if (!n->up) {
    add(list, EVENT_RESTART, i, 0, 0);
    if (state->remaining.wipes && may_lose_replica(state, scope, i))
      add(list, EVENT_WIPE, i, 0, 0);
    return;
  }
  if (n->queue[0].kind)
    add(list, EVENT_SYNC, i, 0, 0);
  bool acts = !scope->actors || scope->actors & 1 << i;
  if (state->remaining.crashes && acts) {
    add(list, EVENT_CRASH, i, 0, 0);
    if (n->queue[0].kind)
      add(list, EVENT_CRASH_SYNCED, i, 0, 0);
  }
  if (state->remaining.proposals && n->memory.view.epoch && acts)
    add_proposals(state, scope, i, list);
  add_replication(state, scope, i, list);
  for (int k = 0; k < scope->nodes; k++) {
    if (k == i)
      continue;
    if (state->remaining.announcements && n->memory.view.epoch > state->node[k].memory.view.epoch &&
        state->node[k].up)
      add(list, EVENT_ANNOUNCE_VIEW, i, k, 0);
    if (state->remaining.leases && n->memory.view.epoch)
      for (int v = 0; v < n->memory.view.voter_count; v++)
        if (model_node_of(n->memory.view.voters[v]) == k)
          add(list, EVENT_REQUEST_LEASE, i, k, 0);
    if (state->remaining.cuts || state->cut[i] & 1 << k)
      add(list, EVENT_CUT, i, k, 0);
  }
}

int model_events(const model_state *state, const model_scope *scope, model_event *e) {
  event_list list = { e, 0 };
  add_message_events(state, scope, &list);
  for (int i = 0; i < scope->nodes; i++)
    add_node_events(state, scope, i, &list);
  if (state->remaining.ticks)
    add(&list, EVENT_TICK, 0, 0, 0);
  return list.n;
}

static uint8_t age_by(uint8_t age, int step) {
  if (age == AGE_NONE)
    return age;
  return (uint8_t)MIN(age + step, AGE_OLD);
}

static int clock_step(const model_scope *scope, int node) {
  return scope->slow_clock & 1 << node ? STEP_SLOW : STEP_FAST;
}

static void advance_time(model_state *state, const model_scope *scope) {
  for (int i = 0; i < scope->nodes; i++) {
    int step = clock_step(scope, i);
    model_lease *lease = &state->node[i].lease;
    lease->started = age_by(lease->started, step);
    lease->voters_known = age_by(lease->voters_known, step);
    lease->may_act_in = (uint8_t)MAX(0, lease->may_act_in - step);
    for (int k = 0; k < MEMBERS_MAX; k++)
      lease->held[k].age = age_by(lease->held[k].age, step);
    for (int k = 0; k < 2 * MEMBERS_MAX; k++)
      lease->granted[k].age = age_by(lease->granted[k].age, step);
    if (state->node[i].fetching)
      state->node[i].busy = state->node[i].fetching = 0;
  }
  for (int i = 0; i < MESSAGES_MAX; i++) {
    model_message *message = &state->message[i];
    if (message->kind == MSG_MEMBER_LEASE_REQUEST)
      message->age = age_by(message->age, clock_step(scope, message->from));
    if (message->kind == MSG_MEMBER_LEASE_RESPONSE)
      message->age = age_by(message->age, clock_step(scope, message->to));
  }
}

static void propose(model_state *state, const model_scope *scope, model_event event) {
  model_node *n = &state->node[event.a];
  model_view v;
  if (!make_proposal(state, scope, event, &v))
    return;
  acceptor_state vote = { .epoch = n->memory.acceptor.epoch,
                          .promised.round = n->memory.acceptor.round };
  id self = { { 0 } };
  memset(&n->proposal, 0, sizeof n->proposal);
  n->proposal.phase = 1;
  n->proposal.round = (uint8_t)proposer_next_number(&vote, v.epoch, n->highest_round, self).round;
  n->proposal.value = v;
  for (int i = 0; i < n->memory.view.voter_count; i++) {
    model_message message = { .kind = MSG_PREPARE_REQUEST, .from = event.a };
    message.to = (uint8_t)model_node_of(n->memory.view.voters[i]);
    message.epoch = v.epoch;
    message.round = n->proposal.round;
    message.proposer = event.a;
    model_send(state, message);
  }
}

static void write_record(model_state *state, int node) {
  model_node *n = &state->node[node];
  disk_write write = { .kind = DISK_WRITE_AT_HEAD,
                       .first = (uint8_t)(n->memory.last + 1),
                       .count = 1 };
  write.log_resets = n->log_resets;
  write.record[write.first - 1] = ++state->values;
  n->busy = 1;
  model_write_disk(state, node, write);
}

/* the daemon's first request in a view carries no records, since it does not know what the
 * successor has
 */
static void send_records(model_state *state, int node, bool without_records) {
  model_node *n = &state->node[node];
  int index = model_chain_index(state, node);
  model_message message = { .kind = MSG_REPLICATE_REQUEST,
                            .from = (uint8_t)node,
                            .epoch = n->memory.view.epoch };
  message.to = (uint8_t)model_node_of(n->memory.view.chain[index + 1]);
  message.call = ++n->call;
  message.in_sync = n->memory.in_sync;
  message.last = n->memory.last;
  message.commit = n->memory.committed;
  message.count = without_records ? 0 : n->memory.last;
  memcpy(message.record, n->memory.record, message.count);
  model_send(state, message);
}

static void begin_snapshot_fetch(model_state *state, int node) {
  model_node *n = &state->node[node];
  for (int i = n->memory.view.chain_length - 1; i >= 0; i--) {
    int from = model_node_of(n->memory.view.chain[i]);
    if (from == node)
      continue;
    model_message message = { .kind = MSG_SNAPSHOT_REQUEST,
                              .from = (uint8_t)node,
                              .to = (uint8_t)from };
    n->busy = n->fetching = 1;
    n->fetch_call = n->fetch_epoch = 0;
    model_send(state, message);
    return;
  }
}

static void request_lease(model_state *state, int node, int voter) {
  model_message message = { .kind = MSG_MEMBER_LEASE_REQUEST,
                            .from = (uint8_t)node,
                            .to = (uint8_t)voter };
  message.epoch = state->node[node].memory.view.epoch;
  message.member = model_member(state, node);
  model_send(state, message);
}

static void request_join(model_state *state, int node, int voter) {
  model_message message = { .kind = MSG_JOIN_REQUEST, .from = (uint8_t)node, .to = (uint8_t)voter };
  message.epoch = state->node[node].memory.view.epoch;
  message.member = model_member(state, node);
  model_send(state, message);
}

/* ends a process, which keeps only its disk */
static void stop_node(model_state *state, int node) {
  model_node *n = &state->node[node], off = { 0 };
  off.disk = n->disk;
  off.disk_number = n->disk_number;
  *n = off;
}

static void wipe(model_state *state, int node) {
  model_node *n = &state->node[node];
  memset(&n->disk, 0, sizeof n->disk);
  n->disk.in_sync = 1;
  n->disk_number++;
}

static int compare_messages(const void *a, const void *b) {
  return memcmp(b, a, sizeof(model_message));
}

static void do_event(model_state *state, const model_scope *scope, model_event event, char *fault) {
  model_message message;
  switch (event.kind) {
  case EVENT_DELIVER:
    message = state->message[event.a];
    memset(&state->message[event.a], 0, sizeof message);
    model_deliver(state, scope, &message, fault);
    break;
  case EVENT_DROP:
    state->remaining.drops--;
    memset(&state->message[event.a], 0, sizeof message);
    break;
  case EVENT_DUPLICATE:
    state->remaining.duplicates--;
    message = state->message[event.a];
    model_deliver(state, scope, &message, fault);
    break;
  case EVENT_SYNC:
    model_sync(state, scope, event.a, true, fault);
    break;
  case EVENT_CRASH_SYNCED:
    model_sync(state, scope, event.a, false, fault);
    /* fall through */
  case EVENT_CRASH:
    state->remaining.crashes--;
    stop_node(state, event.a);
    break;
  case EVENT_RESTART:
    model_start(state, scope, event.a);
    break;
  case EVENT_WIPE:
    state->remaining.wipes--;
    wipe(state, event.a);
    break;
  case EVENT_TICK:
    state->remaining.ticks--;
    advance_time(state, scope);
    break;
  case EVENT_CUT:
    state->remaining.cuts -= !(state->cut[event.a] & 1 << event.b);
    state->cut[event.a] ^= (uint8_t)(1 << event.b);
    break;
  case EVENT_PROPOSE:
    state->remaining.proposals--;
    propose(state, scope, event);
    break;
  case EVENT_ANNOUNCE_VIEW:
    state->remaining.announcements--;
    message = (model_message){ .kind = MSG_VIEW_ANNOUNCEMENT, .from = event.a, .to = event.b };
    message.view = state->node[event.a].memory.view;
    model_send(state, message);
    break;
  case EVENT_REQUEST_LEASE:
    state->remaining.leases--;
    request_lease(state, event.a, event.b);
    break;
  case EVENT_WRITE:
    state->remaining.writes--;
    write_record(state, event.a);
    break;
  case EVENT_REPLICATE:
    state->remaining.replications--;
    send_records(state, event.a, event.b);
    break;
  case EVENT_REFETCH:
    state->remaining.refetches--;
    message = state->message[event.a];
    memset(&state->message[event.a], 0, sizeof message);
    model_refetch(state, &message);
    break;
  case EVENT_FETCH_SNAPSHOT:
    state->remaining.joins--;
    begin_snapshot_fetch(state, event.a);
    break;
  case EVENT_REQUEST_JOIN:
    state->remaining.joins--;
    request_join(state, event.a, event.b);
    break;
  default:
    break;
  }
}

/* syncs all disks, and delivers the messages of nodes to themselves if the scope requires it */
static void run_until_idle(model_state *state, const model_scope *scope, char *fault) {
  for (bool progressed = true; progressed;) {
    progressed = false;
    for (int i = 0; i < scope->nodes; i++)
      for (; state->node[i].queue[0].kind; progressed = true)
        model_sync(state, scope, i, true, fault);
    for (int i = 0;
         i < MESSAGES_MAX && scope->interleaving == INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES;
         i++) {
      model_message message = state->message[i];
      if (!message.kind || message.from != message.to)
        continue;
      memset(&state->message[i], 0, sizeof message);
      model_deliver(state, scope, &message, fault);
      progressed = true;
    }
  }
}

/* removes responses that no node is waiting for, which would change nothing; used if disks sync
 * immediately */
static void discard_stale_responses(model_state *state) {
  for (int i = 0; i < MESSAGES_MAX; i++) {
    model_message *message = &state->message[i];
    const model_proposal *proposal = &state->node[message->to].proposal;
    bool stale = (message->kind == MSG_PREPARE_RESPONSE &&
                  (proposal->phase != 1 || proposal->round != message->round)) ||
                 (message->kind == MSG_ACCEPT_RESPONSE &&
                  (proposal->phase != 2 || proposal->round != message->round || !message->ok));
    if (stale)
      memset(message, 0, sizeof *message);
  }
}

void model_apply(model_state *state, const model_scope *scope, model_event event, char *fault) {
  fault[0] = 0;
  do_event(state, scope, event, fault);
  if (scope->interleaving)
    run_until_idle(state, scope, fault);
  if (scope->interleaving)
    discard_stale_responses(state);
  /* the daemon may check its lease at any time, which records that it has acted */
  for (int i = 0; i < scope->nodes; i++)
    if (model_holds_lease(state, i))
      state->node[i].lease.has_acted = 1;
  qsort(state->message, MESSAGES_MAX, sizeof state->message[0], compare_messages);
  if (!fault[0])
    model_check(state, scope, fault);
}

void model_describe(const model_state *state, model_event event, char *to, size_t size) {
  static const char *const events[] = {
    [EVENT_DELIVER] = "deliver",
    [EVENT_DROP] = "drop",
    [EVENT_DUPLICATE] = "duplicate",
    [EVENT_SYNC] = "sync",
    [EVENT_CRASH] = "crash",
    [EVENT_CRASH_SYNCED] = "crash after the sync",
    [EVENT_RESTART] = "restart",
    [EVENT_WIPE] = "wipe",
    [EVENT_TICK] = "time",
    [EVENT_CUT] = "cut",
    [EVENT_PROPOSE] = "propose",
    [EVENT_ANNOUNCE_VIEW] = "announce view",
    [EVENT_REQUEST_LEASE] = "request lease",
    [EVENT_WRITE] = "write",
    [EVENT_REPLICATE] = "replicate",
    [EVENT_REFETCH] = "refetch",
    [EVENT_FETCH_SNAPSHOT] = "fetch snapshot",
    [EVENT_REQUEST_JOIN] = "request join",
  };
  static const char *const messages[] = {
    [MSG_NONE] = "-",
    [MSG_PREPARE_REQUEST] = "prepare request",
    [MSG_PREPARE_RESPONSE] = "prepare response",
    [MSG_ACCEPT_REQUEST] = "accept request",
    [MSG_ACCEPT_RESPONSE] = "accept response",
    [MSG_VIEW_ANNOUNCEMENT] = "view announcement",
    [MSG_MEMBER_LEASE_REQUEST] = "lease request",
    [MSG_MEMBER_LEASE_RESPONSE] = "lease response",
    [MSG_REPLICATE_REQUEST] = "replicate request",
    [MSG_REPLICATE_RESPONSE] = "replicate response",
    [MSG_SNAPSHOT_REQUEST] = "snapshot request",
    [MSG_SNAPSHOT_RESPONSE] = "snapshot response",
    [MSG_JOIN_REQUEST] = "join request",
  };
  if (event.kind > EVENT_DUPLICATE) {
    snprintf(to, size, "%s %d %d %d", events[event.kind], event.a, event.b, event.c);
    return;
  }
  const model_message *message = &state->message[event.a];
  snprintf(to, size, "%s %s n%d > n%d epoch %d round %d/%d", events[event.kind],
           messages[message->kind], message->from, message->to, message->epoch, message->round,
           message->proposer);
}
