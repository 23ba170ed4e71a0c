#ifndef GATEWAY_MECHANISMS_H
#define GATEWAY_MECHANISMS_H
#include "base.h"

/** Parts of the gateway's policy that can be switched off one by one, to measure what each is worth
 * (scripts/ablation). All are on unless the settings say otherwise. */
enum mechanism {
  /** An engine is chosen by the prompt parts that it keeps. */
  MECHANISM_PREFIX,
  /** An engine is chosen by how many requests run there. */
  MECHANISM_BATCH,
  /** An engine whose memory fills is avoided. */
  MECHANISM_KV,
  /** Requests wait for a place when all engines are full; off: they are refused. */
  MECHANISM_QUEUE,
  /** A request that would get its place too late is refused early. */
  MECHANISM_EARLY_REFUSAL,
  /** Models whose requests wait get further copies. */
  MECHANISM_COPIES,
  /** The rule for what is unloaded is CremeBrulee; off: the least recently used. */
  MECHANISM_CREMEBRULEE,
  /** A request may be sent to a second engine. */
  MECHANISM_RETRIES,
  /** A stream goes on at another engine within one answer. */
  MECHANISM_RESUME,
  /** Engines of other zones cost more. */
  MECHANISM_ZONE,
  /** Engines that fail part of their work although they live are avoided. */
  MECHANISM_GREY,
  /** An unload is ordered some time after it was announced. */
  MECHANISM_ANNOUNCE,
  /** What was loaded a moment ago has a rate, and its place for a while. */
  MECHANISM_NEW_RATE,
  /** Nodes that run what is to be unloaded say so. */
  MECHANISM_OBJECTIONS,
  /** Loads go first to engines where nothing that runs has to make way. */
  MECHANISM_IDLE_FIRST,
  /** A leaving gateway refuses streams that would outlast it. */
  MECHANISM_LEAVING_STREAMS,
  MECHANISM_COUNT
};

/** The name of a mechanism in settings and reports. */
const char *mechanism_name(enum mechanism mechanism);
/** Reads names separated by commas into a set, a bit for each; false when there is an unknown one,
 * which error_set tells. */
bool mechanisms_read(const char *names, unsigned *set, error *err);
#endif
