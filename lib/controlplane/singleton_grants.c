/** Grants singleton leases; see singleton_grants.h for the rules. */
#include "singleton_grants.h"
#include "operation_pack.h"
#include "reply_text.h"

enum {
  /** Longest wait for a grant to be committed, in ms: by then the lease would have expired. */
  GRANT_WRITE_TIMEOUT_MS = SINGLETON_LEASE_MS,
  /** Upper bound on the time since its last order that a releasing holder may report, in ms: far
   * longer than a lease, and small enough to avoid overflow in time arithmetic. */
  QUIET_MAX_MS = 100000
};

/** A lease request that is being served. */
typedef struct lease_request {
  singleton_grants *grants;
  const Wire__SingletonLeaseRequest *message;
  id requester;
  Wire__SingletonLeaseResponse *response;
  reply *reply;
} lease_request;

/* When a singleton's lease was last renewed. If the head knows of no renewal, the lease counts from
 * the time at which it became head. Never NULL; owned by the replica. */
static time_us *renewed_at(const singleton_grants *grants, const char *singleton) {
  GHashTable *renewals = grants->replica->singleton_renewed_at;
  time_us *at = g_hash_table_lookup(renewals, singleton);
  if (!at) {
    at = g_new(time_us, 1);
    *at = grants->replica->lease_held_since;
    g_hash_table_insert(renewals, g_strdup(singleton), at);
  }
  return at;
}

/* The end of a singleton's lease, including the grace period. Until then it is granted to no other
 * node. */
static time_us lease_end(const singleton_grants *grants, const char *singleton) {
  return time_add(*renewed_at(grants, singleton),
                  time_from_ms(SINGLETON_LEASE_MS + SINGLETON_LEASE_GRACE_MS));
}

static bool is_held_by_requester(const singleton_grant *grant, const lease_request *request) {
  return id_equal(grant->holder, request->requester) && grant->nonce == request->message->nonce;
}

static Wire__SingletonClaimResult *add_result(lease_request *request, char *singleton) {
  Wire__SingletonClaimResult *result = reply_alloc(request->reply, sizeof *result);
  wire__singleton_claim_result__init(result);
  result->singleton = singleton;
  request->response->results[request->response->n_results++] = result;
  return result;
}

static void note_decided_epoch(singleton_grants *grants, const char *singleton, uint64_t epoch) {
  uint64_t *decided = g_new(uint64_t, 1);
  *decided = epoch;
  g_hash_table_replace(grants->decided_epochs, g_strdup(singleton), decided);
}

/* Makes a grant to the requester. `current` is the grant that it replaces, or NULL. The result is
 * valid until the reply is sent. */
static Wire__SingletonGrant *new_grant(lease_request *request, const singleton_grant *current,
                                       char *singleton) {
  Wire__SingletonGrant *grant = reply_alloc(request->reply, sizeof *grant);
  wire__singleton_grant__init(grant);
  grant->singleton = singleton;
  grant->holder = request->requester.text;
  grant->nonce = request->message->nonce;
  grant->epoch = current ? current->epoch + 1 : 1;
  return grant;
}

/* Decides on a claim. Returns the new grant, or NULL if the claim is not granted. If the lease of
 * another holder has not expired, the result names that holder. */
static Wire__SingletonGrant *decide_claim(lease_request *request, const state *ordered,
                                          const Wire__SingletonClaim *claim, time_us now) {
  singleton_grants *grants = request->grants;
  const singleton_grant *current = state_find_grant(ordered, claim->singleton);
  bool is_own = current && is_held_by_requester(current, request);
  if (is_own || claim->release || !id_is_valid(string_view_of(claim->singleton)))
    return NULL;
  Wire__SingletonClaimResult *result = add_result(request, claim->singleton);
  if (current) {
    time_us end = lease_end(grants, claim->singleton);
    /* A restarted holder need not wait for its own lease to expire: its earlier process has ended,
     * and its orders continue under the same node id. */
    bool is_restarted_holder =
        grants->node->settings.relaxed_timing && id_equal(current->holder, request->requester);
    if (!is_restarted_holder && !time_reached(now, end)) {
      result->holder = reply_copy_text(request->reply, current->holder.text);
      result->retry_after_ms = time_sub(end, now).us / 1000 + 1;
      return NULL;
    }
  }
  Wire__SingletonGrant *grant = new_grant(request, current, claim->singleton);
  result->granted = true;
  result->epoch = grant->epoch;
  *renewed_at(grants, claim->singleton) = now;
  note_decided_epoch(grants, claim->singleton, grant->epoch);
  return grant;
}

/* An operation_builder: builds one operation with all claims of the request that are granted. */
static enum error_code build_grants(void *ctx, state *ordered, GString *packed, error *err) {
  lease_request *request = ctx;
  (void)err;
  time_us now = world_now(request->grants->node->world);
  Wire__Operation operation = WIRE__OPERATION__INIT;
  operation.grants = g_new0(Wire__SingletonGrant *, request->message->n_claims + 1);
  for (size_t i = 0; i < request->message->n_claims; i++) {
    Wire__SingletonGrant *grant = decide_claim(request, ordered, request->message->claims[i], now);
    if (grant)
      operation.grants[operation.n_grants++] = grant;
  }
  if (operation.n_grants)
    operation_pack(&operation, packed);
  g_free(operation.grants);
  return OK;
}

/* True when the requester holds the singleton and no later grant is pending: none was decided here,
 * and none is ordered but not yet committed. `committed` and `ordered` may be NULL. */
static bool is_undisputed_holder(const lease_request *request, const char *singleton,
                                 const singleton_grant *committed, const singleton_grant *ordered) {
  const uint64_t *decided = g_hash_table_lookup(request->grants->decided_epochs, singleton);
  return committed && ordered && committed->epoch == ordered->epoch &&
         (!decided || *decided <= committed->epoch) && is_held_by_requester(committed, request);
}

/* Shortens the lease of a holder that released it. Another node may be granted the singleton as
 * soon as the time of a lease has passed since the holder's last order. */
static void release_lease(const singleton_grants *grants, const Wire__SingletonClaim *claim,
                          time_us now) {
  if (!claim->quiet_ms)
    return;
  time_us quiet_since = time_sub(now, time_from_ms((int64_t)MIN(claim->quiet_ms, QUIET_MAX_MS)));
  time_us *renewed = renewed_at(grants, claim->singleton);
  if (quiet_since.us < renewed->us)
    *renewed = quiet_since;
}

/* Renews or releases a lease that the requester holds. Returns true when the requester does not
 * hold the singleton and the claim needs a grant. */
static bool renew_claim(lease_request *request, const Wire__SingletonClaim *claim, time_us now) {
  replica *replica = request->grants->replica;
  const singleton_grant *committed = state_find_grant(&replica->committed, claim->singleton);
  const singleton_grant *ordered =
      state_find_grant(replica_ordered_state(replica), claim->singleton);
  if (!is_undisputed_holder(request, claim->singleton, committed, ordered)) {
    bool is_being_granted = ordered && is_held_by_requester(ordered, request);
    return !is_being_granted && !claim->release;
  }
  Wire__SingletonClaimResult *result = add_result(request, claim->singleton);
  result->granted = !claim->release;
  result->epoch = committed->epoch;
  if (claim->release)
    release_lease(request->grants, claim, now);
  else
    *renewed_at(request->grants, claim->singleton) = now;
  return false;
}

/* Renews and releases the leases of the requester. Returns true when a claim needs a grant. */
static bool renew_claims(lease_request *request) {
  time_us now = world_now(request->grants->node->world);
  bool needs_grant = false;
  for (size_t i = 0; i < request->message->n_claims; i++)
    needs_grant |= renew_claim(request, request->message->claims[i], now);
  return needs_grant;
}

/* Writes the grants for the claims of the request. */
static enum error_code write_grants(lease_request *request, error *err) {
  singleton_grants *grants = request->grants;
  uint64_t seq = 0;
  enum error_code code = replica_write(grants->replica, build_grants, request,
                                       time_from_ms(GRANT_WRITE_TIMEOUT_MS), &seq, err);
  if (code || !seq)
    return code;
  /* A slow write shortens the lease for its holder. For the next holder the lease counts from the
   * commit, which is the earliest time at which this holder could begin its work. */
  for (size_t i = 0; i < request->response->n_results; i++) {
    const Wire__SingletonClaimResult *result = request->response->results[i];
    if (result->granted)
      *renewed_at(grants, result->singleton) = world_now(grants->node->world);
  }
  return OK;
}

static bool is_zone_evacuated(const singleton_grants *grants, const char *zone) {
  config *config = state_compile_config(&grants->replica->committed, -1, NULL, NULL);
  bool is_evacuated = config && config_is_zone_evacuated(config, id_of_text(zone));
  config_free(config);
  return is_evacuated;
}

/* Allocates the response with space for two results per claim: one of a renewal, one of a grant. */
static Wire__SingletonLeaseResponse *new_response(reply *reply, size_t claim_count) {
  Wire__SingletonLeaseResponse *response =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_SINGLETON_LEASE_RESPONSE,
                     &wire__singleton_lease_response__descriptor);
  response->results = reply_alloc(reply, sizeof(void *) * (claim_count * 2 + 1));
  return response;
}

/* Handles SingletonLeaseRequest. */
static enum error_code handle_lease_request(void *ctx, Wire__Envelope *in, reply *reply,
                                            error *err) {
  singleton_grants *grants = ctx;
  lease_request request = { .grants = grants,
                            .message = in->singleton_lease_request,
                            .requester = id_of_text(in->from->id),
                            .reply = reply };
  request.response = new_response(reply, request.message->n_claims);
  if (!replica_is_acting_head(grants->replica)) {
    const member *head = replica_head(grants->replica);
    request.response->head_address = head ? reply_copy_text(reply, head->address) : "";
    return OK;
  }
  if (!renew_claims(&request))
    return OK;
  if (in->from->draining || is_zone_evacuated(grants, in->from->zone))
    return error_set(err, E_DRAINING,
                     "a machine that leaves, or whose area is emptied, gets no duties");
  return write_grants(&request, err);
}

void singleton_grants_init(singleton_grants *grants, node *node, replica *replica) {
  grants->node = node;
  grants->replica = replica;
  grants->decided_epochs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_SINGLETON_LEASE_REQUEST,
                            handle_lease_request, grants);
}

void singleton_grants_free(singleton_grants *grants) {
  g_hash_table_destroy(grants->decided_epochs);
}

/* Time since a lease was renewed, in ms; -1 when unknown or when this controller is not the head.
 */
static int64_t renewed_ms_ago(const singleton_grants *grants, const singleton_grant *grant) {
  if (replica_chain_index(grants->replica) != 0)
    return -1;
  const time_us *at =
      g_hash_table_lookup(grants->replica->singleton_renewed_at, grant->singleton.text);
  return at ? time_sub(world_now(grants->node->world), *at).us / 1000 : -1;
}

void singleton_grants_append_json(const singleton_grants *grants, GString *to) {
  GHashTableIter it;
  gpointer value;
  const char *separator = "";
  g_string_append_c(to, '[');
  g_hash_table_iter_init(&it, grants->replica->committed.grants);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const singleton_grant *grant = value;
    json_appendf(
        to, "%s{\"duty\":\"%s\",\"holder\":\"%s\",\"epoch\":%" PRIu64 ",\"renewedMs\":%" PRId64 "}",
        separator, grant->singleton.text, grant->holder.text, grant->epoch,
        renewed_ms_ago(grants, grant));
    separator = ",";
  }
  g_string_append_c(to, ']');
}
