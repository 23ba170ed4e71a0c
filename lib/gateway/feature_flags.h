#ifndef GATEWAY_MECHANISMS_H
#define GATEWAY_MECHANISMS_H
#include "base.h"

/** Parts of the gateway's policy that can be switched off one by one, to measure what each is worth
 * (scripts/ablation). All are on unless the settings say otherwise. */
enum feature_flag {
  /** An engine is chosen by the prompt parts that it keeps. */
  FEATURE_PREFIX,
  /** An engine is chosen by how many requests run there. */
  FEATURE_BATCH,
  /** An engine whose memory fills is avoided. */
  FEATURE_KV,
  /** Requests wait for a place when all engines are full; off: they are refused. */
  FEATURE_QUEUE,
  /** A request that would get its place too late is refused early. */
  FEATURE_EARLY_REFUSAL,
  /** Models whose requests wait get further copies. */
  FEATURE_REPLICAS,
  /** The rule for what is unloaded is CremeBrulee; off: the least recently used. */
  FEATURE_CREMEBRULEE,
  /** A request may be sent to a second engine. */
  FEATURE_RETRIES,
  /** A stream goes on at another engine within one answer. */
  FEATURE_RESUME,
  /** Engines of other zones cost more. */
  FEATURE_ZONE,
  /** Engines that fail part of their work although they live are avoided. */
  FEATURE_OUTLIER_EJECTION,
  /** An unload is ordered some time after it was announced. */
  FEATURE_ANNOUNCE_UNLOAD,
  /** What was loaded a moment ago has a rate, and its place for a while. */
  FEATURE_NEW_RATE,
  /** Nodes that run what is to be unloaded say so. */
  FEATURE_UNLOAD_OBJECTIONS,
  /** Loads go first to engines where nothing that runs has to make way. */
  FEATURE_IDLE_FIRST,
  /** A leaving gateway refuses streams that would outlast it. */
  FEATURE_DRAIN_STREAMS,
  FEATURE_COUNT
};

/** The name of a mechanism in settings and reports. */
const char *feature_flag_name(enum feature_flag feature_flag);
/** Reads names separated by commas into a set, a bit for each; false when there is an unknown one,
 * which error_set tells. */
bool feature_flags_parse(const char *names, unsigned *set, error *err);
#endif
