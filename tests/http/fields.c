/** Tests of lib/http/fields.c: lookup, numbers, iteration, adding and forwarding of header fields.
 */
#include "fields.h"
#include "tests.h"

static fields *fields_from_text(const char *text) {
  return g_string_new(text);
}

static void expect_text(fleet *fleet, string_view actual, const char *expected, const char *what) {
  if (!string_view_equal(actual, string_view_of(expected)))
    fleet_add_violation(fleet, "%s is '%.*s', not '%s'", what, (int)actual.length, actual.data,
                        expected);
}

static void expect_number(fleet *fleet, const char *text, int64_t expected) {
  fields *message = fields_from_text("X-Num: ");
  g_string_append_printf(message, "%s\r\n", text);
  int64_t number = fields_get_number(message, "x-num", -1);
  if (number != expected)
    fleet_add_violation(fleet, "'%s' as a number is %" PRId64 ", not %" PRId64, text, number,
                        expected);
  g_string_free(message, TRUE);
}

static bool fields_are_found(fleet *fleet) {
  fields *message = fields_from_text(
      "Host: a.example:80\r\nX-Two:  one \t\r\nx-two: two\r\nX-None:\r\nX-T: short\r\n");
  string_view value;
  if (!fields_get(message, "HOST", &value))
    fleet_add_violation(fleet, "a field isn't found by a name in another case");
  else
    expect_text(fleet, value, "a.example:80", "a value with a colon");
  if (fields_get(message, "x-two", &value))
    expect_text(fleet, value, "one", "the first of two, trimmed");
  if (!fields_get(message, "X-None", &value) || value.length)
    fleet_add_violation(fleet, "an empty field isn't empty");
  if (fields_get(message, "X-Tw", &value))
    fleet_add_violation(fleet, "a prefix of a name is found");
  if (fields_get(message, "X-Two-", &value))
    fleet_add_violation(fleet, "a longer name is found");
  if (fields_get(NULL, "a", &value))
    fleet_add_violation(fleet, "a field is found in NULL");
  char *copy = fields_dup(message, "x-t");
  if (g_strcmp0(copy, "short"))
    fleet_add_violation(fleet, "a copy is %s", copy);
  g_free(copy);
  if (fields_dup(message, "other"))
    fleet_add_violation(fleet, "an absent field is copied");
  g_string_free(message, TRUE);
  return fleet_check_all(fleet);
}

static bool fields_are_numbers(fleet *fleet) {
  expect_number(fleet, "0", 0);
  expect_number(fleet, "1460", 1460);
  expect_number(fleet, "9223372036854775807", INT64_MAX);
  expect_number(fleet, "9223372036854775808", -1);
  expect_number(fleet, "99999999999999999999", -1);
  expect_number(fleet, "", -1);
  expect_number(fleet, "-3", -1);
  expect_number(fleet, "+3", -1);
  expect_number(fleet, "3.5", -1);
  expect_number(fleet, "3 4", -1);
  expect_number(fleet, "0x10", -1);
  fields *message = fields_from_text("");
  if (fields_get_number(message, "x", 42) != 42)
    fleet_add_violation(fleet, "an absent number does not give the fallback");
  g_string_free(message, TRUE);
  return fleet_check_all(fleet);
}

static bool fields_are_iterated(fleet *fleet) {
  fields *message = fields_from_text("A: 1\r\nno colon here\r\nB:2\nC:\r\n\r\nD: 4");
  GString *all = g_string_new(NULL);
  size_t position = 0;
  string_view name, value;
  while (fields_next(message, &position, &name, &value))
    g_string_append_printf(all, "%.*s=%.*s;", (int)name.length, name.data, (int)value.length,
                           value.data);
  expect_text(fleet, string_view_of_gstring(all), "A=1;B=2;C=;D=4;", "the iteration");
  if (fields_next(message, &position, &name, &value))
    fleet_add_violation(fleet, "an iteration continues after its end");
  g_string_free(all, TRUE);
  g_string_free(message, TRUE);
  return fleet_check_all(fleet);
}

static bool fields_are_added(fleet *fleet) {
  fields *message = fields_from_text("");
  fields_add(message, "X-A", string_view_of("one"));
  fields_add(message, "X-B", string_view_of("two\r\nX-Evil: yes"));
  fields_add(message, "X-\nC", (string_view){ "a\0b", 3 });
  fields_add_format(message, "X-D", "%d.%s", 7, "x");
  GString *large = g_string_new(NULL);
  for (int i = 0; i < 300; i++)
    g_string_append_c(large, 'y');
  fields_add_format(message, "X-E", "%s", large->str);
  char *expected = g_strdup_printf(
      "X-A: one\r\nX-B: twoX-Evil: yes\r\nX-C: ab\r\nX-D: 7.x\r\nX-E: %s\r\n", large->str);
  expect_text(fleet, string_view_of_gstring(message), expected, "the text of the added fields");
  g_free(expected);
  g_string_free(large, TRUE);
  g_string_free(message, TRUE);
  return fleet_check_all(fleet);
}

static void expect_forwarded(fleet *fleet, const char *from, const char *const *skip,
                             const char *expected) {
  fields *message = fields_from_text(from), *forwarded = fields_from_text("");
  fields_forward(message, forwarded, skip);
  expect_text(fleet, string_view_of_gstring(forwarded), expected, from);
  g_string_free(message, TRUE);
  g_string_free(forwarded, TRUE);
}

static bool fields_are_forwarded(fleet *fleet) {
  static const char *const skip[] = { "x-mine", "Via", NULL };
  expect_forwarded(fleet, "Host: a\r\nX-Mine: 1\r\nX-Mine-Not: 2\r\nvia: z\r\nAccept:  t/x \r\n",
                   skip, "Host: a\r\nX-Mine-Not: 2\r\nAccept: t/x\r\n");
  expect_forwarded(
      fleet,
      "Connection: keep-alive, X-Hop ,,x-two\r\nX-Hop: 1\r\nX-Two: 2\r\nX-Three: 3\r\nKeep-Alive: timeout=5\r\n",
      NULL, "X-Three: 3\r\n");
  expect_forwarded(
      fleet,
      "Connection: close\r\nClose: 1\r\nTE: trailers\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\nUpgrade: h2c\r\nContent-Length: 3\r\nContent-Type: t\r\n",
      NULL, "Close: 1\r\nContent-Type: t\r\n");
  expect_forwarded(
      fleet,
      "X-A: 1\r\nProxy-Authorization: q\r\nproxy-connection: x\r\nProx: y\r\nX-Empty:\r\nConnection: close\r\nconnection: X-A\r\n",
      NULL, "Prox: y\r\nX-Empty: \r\n");
  expect_forwarded(fleet, "", NULL, "");
  return fleet_check_all(fleet);
}

const test_case fields_tests[] = { { "fields_are_found", fields_are_found, 1, 1, 17 },
                                   { "fields_are_numbers", fields_are_numbers, 1, 1, 17 },
                                   { "fields_are_iterated", fields_are_iterated, 1, 1, 17 },
                                   { "fields_are_added", fields_are_added, 1, 1, 17 },
                                   { "fields_are_forwarded", fields_are_forwarded, 1, 1, 17 },
                                   { NULL, NULL, 0, 0, 0 } };
