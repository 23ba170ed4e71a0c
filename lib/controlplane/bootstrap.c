/** Bootstrap of a fleet.
 *
 * The settings list the founders, by name or, for a first start, by address. The first founder asks
 * every other founder whether it is blank, that is, knows no view and has a working disk. It then
 * proposes the first view, which all founders must accept. A founder that knows a view answers with
 * it: the fleet already exists, and the first founder joins it. A controller that lost its disk can
 * therefore never bootstrap a second fleet while one of the other founders still has its disk. */
#include "replica.h"

enum {
  /** Timeout of a request to a founder, in ms. */
  BOOTSTRAP_TIMEOUT_MS = 600
};

static bool founders_are_named(const replica *replica) {
  return !id_is_empty(replica->node->settings.founders[0]);
}

static int count_founders(const replica *replica) {
  return founders_are_named(replica) ? FOUNDERS_MAX : replica->bootstrap.founder_count;
}

static bool has_founder(const bootstrap_state *bootstrap, const char *address) {
  bool found = false;
  for (int i = 0; i < bootstrap->founder_count; i++)
    found |= !strcmp(bootstrap->founder_addresses[i], address);
  return found;
}

void bootstrap_load_settings(bootstrap_state *bootstrap, const settings *settings) {
  if (settings->founder_count <= 0)
    return;
  memset(bootstrap, 0, sizeof *bootstrap);
  for (int i = 0; i < MIN(settings->founder_count, FOUNDERS_MAX); i++) {
    const char *address = settings->founder_addresses[i];
    if (has_founder(bootstrap, address))
      continue;
    g_strlcpy(bootstrap->founder_addresses[bootstrap->founder_count], address,
              sizeof bootstrap->founder_addresses[0]);
    bootstrap->founder_count++;
  }
}

void bootstrap_replay_founders(bootstrap_state *bootstrap, string_view body) {
  if (body.length != sizeof bootstrap->founder_addresses)
    return;
  memcpy(bootstrap->founder_addresses, body.data, body.length);
  bootstrap->founder_count = 0;
  while (bootstrap->founder_count < FOUNDERS_MAX) {
    char *address = bootstrap->founder_addresses[bootstrap->founder_count];
    if (!address[0])
      break;
    address[sizeof bootstrap->founder_addresses[0] - 1] = 0;
    bootstrap->founder_count++;
  }
}

static const char *lowest_founder_address(const bootstrap_state *bootstrap) {
  const char *lowest = bootstrap->founder_addresses[0];
  for (int i = 1; i < bootstrap->founder_count; i++)
    if (strcmp(bootstrap->founder_addresses[i], lowest) < 0)
      lowest = bootstrap->founder_addresses[i];
  return lowest;
}

bool bootstrap_is_founder(const replica *replica) {
  const settings *settings = &replica->node->settings;
  if (!founders_are_named(replica))
    return has_founder(&replica->bootstrap, settings->address);
  for (int i = 0; i < FOUNDERS_MAX; i++)
    if (id_equal(settings->founders[i], settings->self))
      return true;
  return false;
}

bool bootstrap_is_first_founder(const replica *replica, const char *name, const char *address) {
  if (founders_are_named(replica))
    return !strcmp(replica->node->settings.founders[0].text, name);
  return replica->bootstrap.founder_count &&
         !strcmp(lowest_founder_address(&replica->bootstrap), address);
}

enum error_code bootstrap_on_request(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  replica *replica = ctx;
  if (!replica->running)
    return error_set(err, E_NO_CONTROLLER, "starting");
  member self = replica_as_member(replica);
  Wire__BootstrapResponse *response = reply_new_body(reply, WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE,
                                                     &wire__bootstrap_response__descriptor);
  response->self = response_member(reply, &self);
  response->blank = !replica->view.epoch && !replica->wal.failed && bootstrap_is_founder(replica) &&
                    bootstrap_is_first_founder(replica, in->from->id, in->from->address);
  response->disk_id = replica->disk_id;
  if (replica->view.epoch)
    response->view = response_view(reply, &replica->view);
  return OK;
}

static bool founder_is_self(const replica *replica, int index) {
  const settings *settings = &replica->node->settings;
  if (founders_are_named(replica))
    return id_equal(settings->founders[index], settings->self);
  return !strcmp(replica->bootstrap.founder_addresses[index], settings->address);
}

/* finds the address of a founder; returns false while a founder given by name is not yet known */
static bool find_founder_address(const replica *replica, int index,
                                 char address[MEMBER_ADDRESS_SIZE]) {
  if (!founders_are_named(replica)) {
    g_strlcpy(address, replica->bootstrap.founder_addresses[index], MEMBER_ADDRESS_SIZE);
    return true;
  }
  const peer_node *peer = peer_table_find(replica->node, replica->node->settings.founders[index]);
  if (!peer || peer->gone)
    return false;
  g_strlcpy(address, peer->address, MEMBER_ADDRESS_SIZE);
  return true;
}

/* Whether a founder's response allows it to be a member of the first view. Sets *founder to that
 * member. */
static bool founder_may_join(const replica *replica, int index, const char *address,
                             const Wire__BootstrapResponse *response, const view *first,
                             member *founder) {
  if (!response->blank || !member_unpack(founder, response->self))
    return false;
  bool expected = founders_are_named(replica)
                      ? id_equal(founder->self, replica->node->settings.founders[index])
                      : !strcmp(founder->address, address);
  return expected && member_index(first->chain, first->chain_length, founder) < 0;
}

/* asks a founder whether it is blank, and adds it to the chain of the first view */
static bool add_founder(replica *replica, int index, view *first) {
  char address[MEMBER_ADDRESS_SIZE];
  if (!find_founder_address(replica, index, address))
    return false;
  Wire__BootstrapRequest request = WIRE__BOOTSTRAP_REQUEST__INIT;
  request.id = replica->node->settings.self.text;
  request.disk_id = replica->disk_id;
  request.blank = true;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_BOOTSTRAP_REQUEST, &request);
  Wire__Envelope *response;
  error err = { 0 };
  if (peer_rpc_call(replica->node, address, &message, time_from_ms(BOOTSTRAP_TIMEOUT_MS), &response,
                    &err))
    return false;
  bool added = false;
  if (response->body_case == WIRE__ENVELOPE__BODY_BOOTSTRAP_RESPONSE) {
    const Wire__BootstrapResponse *bootstrap = response->bootstrap_response;
    added = founder_may_join(replica, index, address, bootstrap, first,
                             &first->chain[first->chain_length]);
    view_change_adopt(replica, bootstrap->view);
  }
  peer_rpc_message_free(response);
  if (!added || replica->view.epoch)
    return false;
  first->chain_length++;
  return true;
}

/* Returns the first view with this controller as its only member. Its fleet id is the one that this
 * acceptor has already accepted, if any, or else a random number. */
static view start_first_view(const replica *replica) {
  const acceptor_state *acceptor = &replica->acceptor;
  world *world = replica->node->world;
  view first = { .epoch = 1, .chain_length = 1 };
  first.fleet_id = acceptor->has_accepted ? acceptor->value.fleet_id : world->random(world) | 1;
  first.chain[0] = replica_as_member(replica);
  return first;
}

void bootstrap_attempt(replica *replica) {
  const settings *settings = &replica->node->settings;
  if (!bootstrap_is_founder(replica) ||
      !bootstrap_is_first_founder(replica, settings->self.text, settings->address))
    return;
  view_proposal proposal = { .view = start_first_view(replica) };
  view *first = &proposal.view;
  for (int i = 0; i < count_founders(replica); i++)
    if (!founder_is_self(replica, i) && !add_founder(replica, i, first))
      return;
  /* two voters tolerate no failure, like one, but both would have to agree */
  first->voter_count = first->chain_length == 3 ? 3 : 1;
  memcpy(first->voters, first->chain, sizeof first->chain[0] * first->voter_count);
  first->chain_length = MIN(first->chain_length, replica_chain_max(replica));
  if (paxos_propose(replica, &proposal))
    log_info(&replica->node->log, "replica", "Bootstrapped fleet %016" PRIx64 ".", first->fleet_id);
}
