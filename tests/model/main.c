/** The model checker's main program: searches each scope and reports the coverage. The bounds are
 * fixed, so that the result is the same in every run. Exits with 1 if a rule was violated.
 * usage: model-check [SCOPE ...] */
#include "search.h"
#include <pthread.h>
#include <stdio.h>

enum { THREADS = 4, SEED = 1000, CHUNKS = 8 };

/* Breadth-first scopes are narrow: each has only the events needed to examine one question. Scopes
 * with random walks have many more kinds of events. */
static const model_scope scopes[] = {
  { .name = "vote3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .budget = { .proposals = 1, .drops = 1, .duplicates = 1, .announcements = 2, .crashes = 1 },
    .states = 400000 },
  { .name = "votes3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .budget = { .proposals = 2 },
    .states = 500000 },
  { .name = "write3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .budget = { .writes = 2, .replications = 4, .crashes = 1 },
    .states = 400000 },
  { .name = "lease3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .slow_clock = 1,
    .budget = { .ticks = 2, .proposals = 1, .leases = 1, .announcements = 1 },
    .states = 400000 },
  { .name = "restart3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .slow_clock = 1,
    .non_granting_voter = 2,
    .budget = { .proposals = 1, .crashes = 1, .leases = 1, .announcements = 1 },
    .states = 500000 },
  { .name = "return3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .slow_clock = 1,
    .out_of_sync = 1,
    .records = 1,
    .budget = { .crashes = 1,
                .ticks = 4,
                .writes = 2,
                .proposals = 4,
                .refetches = 1,
                .leases = 12,
                .announcements = 6,
                .replications = 8,
                .joins = 6 },
    .walks = 60000,
    .steps = 200 },
  { .name = "return5",
    .nodes = 5,
    .chain_length = 5,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .slow_clock = 1,
    .out_of_sync = 2,
    .records = 1,
    .budget = { .ticks = 4,
                .writes = 2,
                .proposals = 2,
                .leases = 16,
                .announcements = 6,
                .replications = 10,
                .joins = 6 },
    .walks = 24000,
    .steps = 200 },
  { .name = "crash3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .budget = { .crashes = 3, .drops = 3, .duplicates = 2, .proposals = 4, .announcements = 2 },
    .walks = 60000,
    .steps = 150 },
  { .name = "ballot3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .actors = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS,
    .budget = { .crashes = 1, .proposals = 2 },
    .states = 500000 },
  { .name = "join3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .records = 1,
    .actors = 1,
    .old_join_request = true,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .budget = { .proposals = 2, .announcements = 1 },
    .states = 500000 },
  { .name = "handover3",
    .nodes = 3,
    .chain_length = 3,
    .min_replicas = 2,
    .interleaving = INTERLEAVE_WITHOUT_DISKS_AND_OWN_MESSAGES,
    .slow_clock = 1,
    .budget = { .ticks = 3,
                .drops = 4,
                .proposals = 2,
                .cuts = 2,
                .crashes = 1,
                .leases = 8,
                .announcements = 2 },
    .walks = 120000,
    .steps = 80 },
  { .name = "all3",
    .nodes = 4,
    .chain_length = 3,
    .min_replicas = 2,
    .slow_clock = 1,
    .budget = { 4, 1, 12, 6, 4, 4, 8, 1, 2, 24, 12, 24, 12 },
    .walks = 40000,
    .steps = 300 },
  { .name = "all5",
    .nodes = 5,
    .chain_length = 5,
    .min_replicas = 2,
    .slow_clock = 1,
    .budget = { 4, 1, 12, 6, 4, 4, 8, 1, 2, 30, 16, 30, 16 },
    .walks = 16000,
    .steps = 300 },
};

typedef struct {
  const model_scope *scope;
  uint64_t seed;
  uint32_t walks;
  search_result run;
} job;

typedef struct {
  job *jobs;
  int n, next;
  pthread_mutex_t lock;
} job_list;

static void *run_jobs(void *arg) {
  job_list *list = arg;
  for (;;) {
    pthread_mutex_lock(&list->lock);
    job *j = list->next < list->n ? &list->jobs[list->next++] : NULL;
    pthread_mutex_unlock(&list->lock);
    if (!j)
      return NULL;
    if (j->walks)
      search_walks(j->scope, j->seed, j->walks, &j->run);
    else
      search_breadth(j->scope, &j->run);
  }
}

static bool is_scope_selected(int argc, char **argv, const char *name) {
  bool any = argc < 2;
  for (int i = 1; i < argc; i++)
    any |= !strcmp(argv[i], name);
  return any;
}

static void add_jobs(job_list *list, const model_scope *scope) {
  int chunks = scope->walks ? CHUNKS : 1;
  for (int i = 0; i < chunks; i++) {
    uint32_t walks = scope->walks / (uint32_t)chunks;
    list->jobs[list->n++] =
        (job){ scope, SEED + (uint64_t)i * walks, walks, { .trace = g_string_new(NULL) } };
  }
}

static bool report(const model_scope *scope, const job_list *list) {
  search_result sum = { .complete = true };
  const job *bad = NULL;
  for (int i = 0; i < list->n; i++) {
    const job *j = &list->jobs[i];
    if (j->scope != scope)
      continue;
    sum.states += j->run.states;
    sum.steps += j->run.steps;
    sum.depth = MAX(sum.depth, j->run.depth);
    sum.acknowledged = MAX(sum.acknowledged, j->run.acknowledged);
    sum.views = MAX(sum.views, j->run.views);
    sum.complete &= j->run.complete;
    if (!bad && j->run.fault[0])
      bad = j;
  }
  if (scope->walks)
    printf("%s: %" PRIu64 " walks, %" PRIu64 " steps", scope->name, sum.states, sum.steps);
  else
    printf("%s: %" PRIu64 " states, %" PRIu64 " steps, depth %u%s", scope->name, sum.states,
           sum.steps, sum.depth, sum.complete ? ", all" : ", bounded");
  printf("; up to %" PRIu64 " views, %" PRIu64 " records acknowledged: %s\n", sum.views,
         sum.acknowledged, bad ? "FAULT" : "holds");
  if (bad)
    printf("[%s] %s\n%s", scope->name, bad->run.fault, bad->run.trace->str);
  return !bad;
}

int main(int argc, char **argv) {
  static job jobs[G_N_ELEMENTS(scopes) * CHUNKS];
  job_list list = { jobs, 0, 0, PTHREAD_MUTEX_INITIALIZER };
  for (size_t i = 0; i < G_N_ELEMENTS(scopes); i++)
    if (is_scope_selected(argc, argv, scopes[i].name))
      add_jobs(&list, &scopes[i]);
  if (!list.n) {
    fprintf(stderr, "no such scope\n");
    return 2;
  }
  pthread_t t[THREADS];
  for (int i = 0; i < THREADS; i++)
    pthread_create(&t[i], NULL, run_jobs, &list);
  for (int i = 0; i < THREADS; i++)
    pthread_join(t[i], NULL);
  bool ok = true;
  for (size_t i = 0; i < G_N_ELEMENTS(scopes); i++)
    if (is_scope_selected(argc, argv, scopes[i].name))
      ok &= report(&scopes[i], &list);
  for (int i = 0; i < list.n; i++)
    g_string_free(jobs[i].run.trace, TRUE);
  return ok ? 0 : 1;
}
