/** @file
 * Checks that sample the state of the daemons themselves, in addition to the records: the version
 * of a router's configuration never decreases, no two processes act as head, tail or lease holder
 * at once, and a lease does not change its holder sooner than its duration allows. */
#include "fleet.h"

static void sample_config(fleet *fleet, host *host) {
  if (!host->alive || host->frozen || !host->router->config)
    return;
  uint64_t version = host->router->sync.config_version;
  if (version < host->config_version_seen)
    fleet_add_violation(fleet, "R4 %s reverted from version %" PRIu64 " to %" PRIu64,
                        host->self.text, host->config_version_seen, version);
  host->config_version_seen = version;
}

static void sample_lease(fleet *fleet, int position, const char *singleton) {
  time_us now = fleet->sim->now;
  const host *host = fleet_find_lease_holder(fleet, singleton);
  sampled_lease_holder *sampled = &fleet->lease_holders[position];
  if (!host || id_equal(host->self, sampled->holder))
    return;
  time_us held_for = time_sub(now, sampled->since);
  if (!id_is_empty(sampled->holder) && held_for.us < FLEET_LEASE_CHANGE_MIN_MS * 1000)
    fleet_add_violation(fleet, "R8 the lease on %s went from %s to %s after %.2f s", singleton,
                        sampled->holder.text, host->self.text, (double)held_for.us / 1e6);
  *sampled = (sampled_lease_holder){ host->self, now };
}

static void take_sample(sim *sim, void *context) {
  fleet *fleet = context;
  char singleton[64];
  (void)sim;
  for (int i = 0; i < fleet->routers; i++)
    sample_config(fleet, fleet->router[i]);
  fleet_find_head(fleet);
  fleet_find_tail(fleet);
  for (int i = 0; i < fleet->engines; i++) {
    singleton_engine_name(singleton, sizeof singleton, fleet->engine[i]->self);
    sample_lease(fleet, i, singleton);
  }
  sample_lease(fleet, fleet->engines, "pacer");
}

void fleet_start_sampling(fleet *fleet) {
  fleet->sim->on_sample = take_sample;
  fleet->sim->on_sample_context = fleet;
  fleet->sim->next_sample_at = fleet->sim->now;
}
