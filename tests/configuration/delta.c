/** Tests of lib/configuration/delta.c: a delta is small for a small change, reproduces the new
 * text, and is never applied to another base. */
#include "delta.h"
#include "tests.h"

/* Appends a routing configuration with `count` routes, numbered from `from`; the route `changed`
 * has another weight. */
static void append_routes(GString *to, int from, int count, int changed, int version) {
  json_appendf(to, "{\"version\":%d,\"routes\":[", version);
  for (int i = from; i < from + count; i++)
    json_appendf(
        to,
        "%s{\"name\":\"r-%d\",\"split\":[{\"service\":\"a\",\"weight\":%d},{\"service\":\"b\",\"weight\":10}]}",
        i > from ? "," : "", i, i == changed ? 50 : 90);
  g_string_append(to, "],\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]}");
}

/* A delta is small when few items changed, and applying it gives the full new text. */
static bool deltas_reproduce_changes(fleet *fleet) {
  GString *base = g_string_new(NULL), *delta = g_string_new(NULL), *applied = g_string_new(NULL);
  append_routes(base, 0, 400, -1, 4);
  for (int round = 0; round < 20; round++) {
    GString *current = g_string_new(NULL);
    int from = (int)sim_random(fleet->sim, 40), count = 300 + (int)sim_random(fleet->sim, 150);
    append_routes(current, from, count, from + (int)sim_random(fleet->sim, (uint64_t)count),
                  5 + round);
    bool encoded =
        delta_encode(string_view_of_gstring(base), string_view_of_gstring(current), delta);
    if (!encoded || delta->len * 4 > current->len + 60000 ||
        !delta_apply(string_view_of_gstring(base), string_view_of_gstring(delta), applied) ||
        !string_view_equal(string_view_of_gstring(applied), string_view_of_gstring(current)))
      fleet_add_violation(fleet, "round %d: encoded %d, %zu of %zu bytes", round, encoded,
                          delta->len, current->len);
    /* A delta for another base, or with a corrupted byte, is rejected or still gives the right
     * text.
     */
    GString *other = g_string_new(NULL);
    append_routes(other, 0, 400, 7, 4);
    if (encoded &&
        delta_apply(string_view_of_gstring(other), string_view_of_gstring(delta), applied) &&
        !string_view_equal(string_view_of_gstring(applied), string_view_of_gstring(current)))
      fleet_add_violation(fleet, "round %d: a delta was applied to another base", round);
    for (int attempt = 0; encoded && attempt < 50; attempt++) {
      GString *bad = g_string_new_len(delta->str, (gssize)delta->len);
      bad->str[sim_random(fleet->sim, bad->len)] ^= (char)(1 + sim_random(fleet->sim, 255));
      if (delta_apply(string_view_of_gstring(base), string_view_of_gstring(bad), applied) &&
          !string_view_equal(string_view_of_gstring(applied), string_view_of_gstring(current)))
        fleet_add_violation(fleet, "round %d: a corrupted delta was applied", round);
      g_string_free(bad, TRUE);
    }
    g_string_free(other, TRUE);
    g_string_free(current, TRUE);
  }
  /* One changed item of 400 gives a small delta. */
  GString *current = g_string_new(NULL);
  append_routes(current, 0, 400, 200, 6);
  if (!delta_encode(string_view_of_gstring(base), string_view_of_gstring(current), delta) ||
      delta->len > 700)
    fleet_add_violation(fleet, "one item of 400 changed: %zu bytes", delta->len);
  if (delta_encode(string_view_of("{}"), string_view_of_gstring(current), delta))
    fleet_add_violation(fleet, "texts with nothing in common gave a delta");
  g_string_free(current, TRUE);
  g_string_free(base, TRUE);
  g_string_free(delta, TRUE);
  g_string_free(applied, TRUE);
  return true;
}

const test_case delta_tests[] = {
  { "deltas_reproduce_changes", deltas_reproduce_changes, 1, 1, 50 }, { NULL, NULL, 0, 0, 0 }
};
