/** Basic types and helpers: see base.h. */
#include "base.h"
#include <stdarg.h>
#include <stdio.h>

enum error_code error_set(error *err, enum error_code code, const char *format, ...) {
  if (!err)
    return code;
  err->code = code;
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(err->text, sizeof err->text, format, arguments);
  va_end(arguments);
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

/* FNV-1a, followed by the finalizer of MurmurHash3, because FNV mixes the last bytes badly. */
uint64_t hash_bytes(const void *p, size_t n, uint64_t seed) {
  const unsigned char *bytes = p;
  uint64_t hash = 0xcbf29ce484222325ull ^ seed;
  for (size_t i = 0; i < n; i++)
    hash = (hash ^ bytes[i]) * 0x100000001b3ull;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ull;
  return hash ^ (hash >> 33);
}

uint64_t hash_two_names(const char *a, const char *b) {
  return hash_bytes(b, strlen(b), hash_bytes(a, strlen(a), 0));
}
