#ifndef MODEL_SEARCH_H
#define MODEL_SEARCH_H
#include "model.h"

/** What a search found. */
typedef struct search_result {
  uint64_t states, steps, acknowledged, views;
  uint32_t depth;
  /** Whether all states of the scope were visited. */
  bool complete;
  char fault[FAULT_SIZE];
  GString *trace;
} search_result;

/** Visits all states of a scope, the nearest first, up to its bound on states. */
void search_breadth(const model_scope *p, search_result *r);
/** Takes random walks through a scope; the seed and the count fix what they do. */
void search_walks(const model_scope *p, uint64_t seed, uint32_t count, search_result *r);
#endif
