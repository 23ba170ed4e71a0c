/** Parts of the gateway's policy that can be switched off one by one, to measure what each of them
 * gains (scripts/ablation). All are on unless the settings say otherwise. */
#ifndef GATEWAY_FEATURE_FLAGS_H
#define GATEWAY_FEATURE_FLAGS_H
#include "base.h"

enum feature_flag {
  /** An engine is chosen by the prompt prefixes that it has cached. */
  FEATURE_PREFIX,
  /** An engine is chosen by how many requests run there. */
  FEATURE_BATCH,
  /** An engine whose KV memory fills is avoided. */
  FEATURE_KV,
  /** Requests wait for a slot when all engines are full; off: they are refused. */
  FEATURE_QUEUE,
  /** A request whose slot would come too late is refused early. */
  FEATURE_EARLY_REFUSAL,
  /** Models whose requests wait get further replicas. */
  FEATURE_REPLICAS,
  /** The eviction policy is the configured one (CremeBrulee by default); off: the least recently
   * used goes. */
  FEATURE_CREMEBRULEE,
  /** A request may be sent to a second engine. */
  FEATURE_RETRIES,
  /** A stream is continued by another engine within one response. */
  FEATURE_RESUME,
  /** Engines of other zones cost more. */
  FEATURE_ZONE,
  /** Engines that fail part of their requests are avoided. */
  FEATURE_OUTLIER_EJECTION,
  /** An unload is ordered some time after it was announced. */
  FEATURE_ANNOUNCE_UNLOAD,
  /** What was just loaded has a request rate, and is not evicted for a while. */
  FEATURE_NEW_RATE,
  /** Gateways that run what is to be unloaded object. */
  FEATURE_UNLOAD_OBJECTIONS,
  /** Loads go first to engines where nothing that runs has to be evicted. */
  FEATURE_IDLE_FIRST,
  /** A draining gateway refuses streams that would outlast it. */
  FEATURE_DRAIN_STREAMS,
  FEATURE_COUNT
};

/** The name of a feature in settings and reports. */
const char *feature_flag_name(enum feature_flag feature_flag);
/** Reads names separated by commas into a set, a bit for each; false, with the error set, when one
 * is unknown. */
bool feature_flags_parse(const char *names, unsigned *set, error *err);
#endif
