#include "fields.h"
#include "tests.h"

static fields *of(const char *text) {
  return g_string_new(text);
}

static void is(fleet *fleet, string_view got, const char *due, const char *what) {
  if (!string_view_equal(got, string_view_of(due)))
    violation(fleet, "%s is '%.*s', not '%s'", what, (int)got.length, got.data, due);
}

static void num(fleet *fleet, const char *text, int64_t due) {
  fields *g = of("X-Num: ");
  g_string_append_printf(g, "%s\r\n", text);
  int64_t n = fields_get_number(g, "x-num", -1);
  if (n != due)
    violation(fleet, "'%s' as a number is %" PRId64 ", not %" PRId64, text, n, due);
  g_string_free(g, TRUE);
}

static bool fields_are_found(fleet *fleet) {
  fields *g = of("Host: a.example:80\r\nX-Two:  one \t\r\nx-two: two\r\nX-None:\r\nX-T: short\r\n");
  string_view v;
  if (!fields_get(g, "HOST", &v))
    violation(fleet, "a field isn't found whatever its case");
  else
    is(fleet, v, "a.example:80", "a value with a colon");
  if (fields_get(g, "x-two", &v))
    is(fleet, v, "one", "the first of two, trimmed");
  if (!fields_get(g, "X-None", &v) || v.length)
    violation(fleet, "an empty field isn't empty");
  if (fields_get(g, "X-Tw", &v))
    violation(fleet, "a part of a name is found");
  if (fields_get(g, "X-Two-", &v))
    violation(fleet, "a longer name is found");
  if (fields_get(NULL, "a", &v))
    violation(fleet, "no fields hold a field");
  char *s = fields_dup(g, "x-t");
  if (g_strcmp0(s, "short"))
    violation(fleet, "a copy is %s", s);
  g_free(s);
  if (fields_dup(g, "other"))
    violation(fleet, "a field that is not there is copied");
  g_string_free(g, TRUE);
  return check_all(fleet);
}

static bool fields_are_numbers(fleet *fleet) {
  num(fleet, "0", 0);
  num(fleet, "1460", 1460);
  num(fleet, "9223372036854775807", INT64_MAX);
  num(fleet, "9223372036854775808", -1);
  num(fleet, "99999999999999999999", -1);
  num(fleet, "", -1);
  num(fleet, "-3", -1);
  num(fleet, "+3", -1);
  num(fleet, "3.5", -1);
  num(fleet, "3 4", -1);
  num(fleet, "0x10", -1);
  fields *g = of("");
  if (fields_get_number(g, "x", 42) != 42)
    violation(fleet, "an absent number has no fallback");
  g_string_free(g, TRUE);
  return check_all(fleet);
}

static bool fields_are_walked(fleet *fleet) {
  fields *g = of("A: 1\r\nno colon here\r\nB:2\nC:\r\n\r\nD: 4");
  GString *all = g_string_new(NULL);
  size_t at = 0;
  string_view k, v;
  while (fields_next(g, &at, &k, &v))
    g_string_append_printf(all, "%.*s=%.*s;", (int)k.length, k.data, (int)v.length, v.data);
  is(fleet, string_view_of_gstring(all), "A=1;B=2;C=;D=4;", "the walk");
  if (fields_next(g, &at, &k, &v))
    violation(fleet, "a walk goes on after its end");
  g_string_free(all, TRUE);
  g_string_free(g, TRUE);
  return check_all(fleet);
}

static bool fields_are_added(fleet *fleet) {
  fields *g = of("");
  fields_add(g, "X-A", string_view_of("one"));
  fields_add(g, "X-B", string_view_of("two\r\nX-Evil: yes"));
  fields_add(g, "X-\nC", (string_view){ "a\0b", 3 });
  fields_add_format(g, "X-D", "%d.%s", 7, "x");
  GString *large = g_string_new(NULL);
  for (int i = 0; i < 300; i++)
    g_string_append_c(large, 'y');
  fields_add_format(g, "X-E", "%s", large->str);
  char *due = g_strdup_printf(
      "X-A: one\r\nX-B: twoX-Evil: yes\r\nX-C: ab\r\nX-D: 7.x\r\nX-E: %s\r\n", large->str);
  is(fleet, string_view_of_gstring(g), due, "what was added");
  g_free(due);
  g_string_free(large, TRUE);
  g_string_free(g, TRUE);
  return check_all(fleet);
}

static void forwarded(fleet *fleet, const char *from, const char *const *skip, const char *due) {
  fields *a = of(from), *b = of("");
  fields_forward(a, b, skip);
  is(fleet, string_view_of_gstring(b), due, from);
  g_string_free(a, TRUE);
  g_string_free(b, TRUE);
}

static bool fields_go_on(fleet *fleet) {
  static const char *const skip[] = { "x-mine", "Via", NULL };
  forwarded(fleet, "Host: a\r\nX-Mine: 1\r\nX-Mine-Not: 2\r\nvia: z\r\nAccept:  t/x \r\n", skip,
            "Host: a\r\nX-Mine-Not: 2\r\nAccept: t/x\r\n");
  forwarded(
      fleet,
      "Connection: keep-alive, X-Hop ,,x-two\r\nX-Hop: 1\r\nX-Two: 2\r\nX-Three: 3\r\nKeep-Alive: timeout=5\r\n",
      NULL, "X-Three: 3\r\n");
  forwarded(
      fleet,
      "Connection: close\r\nClose: 1\r\nTE: trailers\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\nUpgrade: h2c\r\nContent-Length: 3\r\nContent-Type: t\r\n",
      NULL, "Close: 1\r\nContent-Type: t\r\n");
  forwarded(
      fleet,
      "X-A: 1\r\nProxy-Authorization: q\r\nproxy-connection: x\r\nProx: y\r\nX-Empty:\r\nConnection: close\r\nconnection: X-A\r\n",
      NULL, "Prox: y\r\nX-Empty: \r\n");
  forwarded(fleet, "", NULL, "");
  return check_all(fleet);
}

const test_case fields_tests[] = { { "fields_are_found", fields_are_found, 1, 1, 17 },
                                   { "fields_are_numbers", fields_are_numbers, 1, 1, 17 },
                                   { "fields_are_walked", fields_are_walked, 1, 1, 17 },
                                   { "fields_are_added", fields_are_added, 1, 1, 17 },
                                   { "fields_go_on", fields_go_on, 1, 1, 17 },
                                   { NULL, NULL, 0, 0, 0 } };
