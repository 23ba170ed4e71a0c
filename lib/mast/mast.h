#ifndef MAST_MAST_H
#define MAST_MAST_H
#include "core.h"

enum { CONTRACT_GRACE_MS = 300 };

/** A core machine: the chain, the duties it grants, the news it gives, and the operators' API. */
typedef struct mast { site s; core c; bool up; int code; bell over, had; uint64_t asked, refused, news; GHashTable *have, *giving; } mast;

/** Makes a core machine in a world; its work begins with the first turn of its tasks. */
mast *mast_new(world *w, const env *v);
/** Asks it to leave the chain and stop; over rings when it has. */
void mast_drain(mast *m);
/** Frees it, once no task is left. */
void mast_free(mast *m);
#endif
