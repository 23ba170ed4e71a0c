/** Texts inside replies to messages of other processes. */
#include "reply_text.h"

char *reply_copy_text(reply *reply, const char *text) {
  size_t size = strlen(text) + 1;
  return memcpy(reply_alloc(reply, size), text, size);
}
