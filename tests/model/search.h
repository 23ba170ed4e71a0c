#ifndef MODEL_SEARCH_H
#define MODEL_SEARCH_H
#include "model.h"

/** The result of a search. */
typedef struct search_result {
  uint64_t states, steps, acknowledged, views;
  uint32_t depth;
  /** Whether all states of the scope were visited. */
  bool complete;
  char fault[FAULT_SIZE];
  GString *trace;
} search_result;

/** Visits the states of a scope in breadth-first order, up to the scope's maximum number of states.
 */
void search_breadth(const model_scope *scope, search_result *result);
/** Takes random walks through a scope. The result depends only on the seed and the count. */
void search_walks(const model_scope *scope, uint64_t seed, uint32_t count, search_result *result);
#endif
