#include "base.h"
#include <stdarg.h>
#include <stdio.h>

int error_set(error *err, int code, const char *form, ...) {
  if (!err)
    return code;
  err->code = code;
  va_list a;
  va_start(a, form);
  vsnprintf(err->text, sizeof err->text, form, a);
  va_end(a);
  return code;
}

bool id_is_valid(string_view s) {
  if (!s.length || s.length >= sizeof(id))
    return false;
  for (size_t i = 0; i < s.length; i++) {
    char c = s.data[i];
    if (!(g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'))
      return false;
  }
  return true;
}

uint64_t hash_bytes(const void *p, size_t n, uint64_t seed) {
  const unsigned char *b = p;
  uint64_t h = 0xcbf29ce484222325ull ^ seed;
  for (size_t i = 0; i < n; i++)
    h = (h ^ b[i]) * 0x100000001b3ull;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ull;
  return h ^ (h >> 33);
}

uint64_t hash_two_names(const char *a, const char *b) {
  return hash_bytes(b, strlen(b), hash_bytes(a, strlen(a), 0));
}
