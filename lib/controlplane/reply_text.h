/** Texts inside replies to messages of other processes. */
#ifndef CONTROLPLANE_REPLY_TEXT_H
#define CONTROLPLANE_REPLY_TEXT_H
#include "node.h"

/** Returns a copy of a text that is valid until the reply is sent. */
char *reply_copy_text(reply *reply, const char *text);
#endif
