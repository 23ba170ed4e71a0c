/** Features of the gateway's policy that can be disabled one by one to measure the effect of each
 * (scripts/ablation). All are enabled unless the settings disable them. */
#ifndef GATEWAY_FEATURE_FLAGS_H
#define GATEWAY_FEATURE_FLAGS_H
#include "base.h"

enum feature_flag {
  /** Engine selection considers the prompt prefixes in an engine's cache. */
  FEATURE_PREFIX,
  /** Engine selection considers the number of requests that run on an engine. */
  FEATURE_BATCH,
  /** Engine selection avoids engines whose KV cache memory fills up. */
  FEATURE_KV,
  /** Requests wait for a slot when all engines are full; disabled: they are refused. */
  FEATURE_QUEUE,
  /** A request is refused early if its slot would become free too late. */
  FEATURE_EARLY_REFUSAL,
  /** Models with waiting requests get extra replicas. */
  FEATURE_REPLICAS,
  /** Eviction uses the configured policy (CremeBrulee by default); disabled: least recently used.
   */
  FEATURE_CREMEBRULEE,
  /** A request may be retried on a second engine. */
  FEATURE_RETRIES,
  /** An interrupted stream is continued by another engine within the same response. */
  FEATURE_RESUME,
  /** Engine selection adds a cost for engines of other zones. */
  FEATURE_ZONE,
  /** Engines that fail some of their requests are avoided. */
  FEATURE_FAILURE_SCORE,
  /** An unload is ordered only some time after its announcement. */
  FEATURE_ANNOUNCE_UNLOAD,
  /** A new adapter gets a minimum request rate and is not evicted for a short time. */
  FEATURE_NEW_RATE,
  /** Gateways object to the unload of a model or adapter that they use. */
  FEATURE_UNLOAD_OBJECTIONS,
  /** Loads go first to engines where only idle models have to be evicted. */
  FEATURE_IDLE_FIRST,
  /** A draining gateway refuses streams that would outlast it. */
  FEATURE_DRAIN_STREAMS,
  FEATURE_COUNT
};

/** The name of a feature on the command line and in reports. */
const char *feature_flag_name(enum feature_flag feature_flag);
/** Parses a comma-separated list of names into a bit set; false with the error set when a name is
 * unknown. */
bool feature_flags_parse(const char *names, unsigned *set, error *err);
#endif
