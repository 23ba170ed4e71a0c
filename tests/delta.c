#include "delta.h"
#include "tests.h"

static void items(GString *to, int from, int n, int odd, int version) {
  json_appendf(to, "{\"version\":%d,\"routes\":[", version);
  for (int i = from; i < from + n; i++)
    json_appendf(
        to,
        "%s{\"name\":\"r-%d\",\"split\":[{\"service\":\"a\",\"weight\":%d},{\"service\":\"b\",\"weight\":10}]}",
        i > from ? "," : "", i, i == odd ? 50 : 90);
  g_string_append(to, "],\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]}");
}

/* given a text that the other side holds, when some items change, then little is sent, and the
 * whole comes out */
static bool changes_come_as_deltas(fleet *fleet) {
  GString *old = g_string_new(NULL), *d = g_string_new(NULL), *back = g_string_new(NULL);
  items(old, 0, 400, -1, 4);
  for (int k = 0; k < 20; k++) {
    GString *now = g_string_new(NULL);
    int from = (int)sim_draw(fleet->sim, 40), n = 300 + (int)sim_draw(fleet->sim, 150);
    items(now, from, n, from + (int)sim_draw(fleet->sim, (uint64_t)n), 5 + k);
    bool made = delta_encode(string_view_of_gstring(old), string_view_of_gstring(now), d);
    if (!made || d->len * 4 > now->len + 60000 ||
        !delta_apply(string_view_of_gstring(old), string_view_of_gstring(d), back) ||
        !string_view_equal(string_view_of_gstring(back), string_view_of_gstring(now)))
      violation(fleet, "round %d: made %d, %zu of %zu bytes", k, made, d->len, now->len);
    /* what does not fit is refused, not taken */
    GString *other = g_string_new(NULL);
    items(other, 0, 400, 7, 4);
    if (made && delta_apply(string_view_of_gstring(other), string_view_of_gstring(d), back) &&
        !string_view_equal(string_view_of_gstring(back), string_view_of_gstring(now)))
      violation(fleet, "round %d: a delta to another text was taken", k);
    for (int b = 0; made && b < 50; b++) {
      GString *bad = g_string_new_len(d->str, (gssize)d->len);
      bad->str[sim_draw(fleet->sim, bad->len)] ^= (char)(1 + sim_draw(fleet->sim, 255));
      if (delta_apply(string_view_of_gstring(old), string_view_of_gstring(bad), back) &&
          !string_view_equal(string_view_of_gstring(back), string_view_of_gstring(now)))
        violation(fleet, "round %d: spoilt bytes were taken", k);
      g_string_free(bad, TRUE);
    }
    g_string_free(other, TRUE);
    g_string_free(now, TRUE);
  }
  /* small change, small delta */
  GString *now = g_string_new(NULL);
  items(now, 0, 400, 200, 6);
  if (!delta_encode(string_view_of_gstring(old), string_view_of_gstring(now), d) || d->len > 700)
    violation(fleet, "one item of 400 changed: %zu bytes", d->len);
  if (delta_encode(string_view_of("{}"), string_view_of_gstring(now), d))
    violation(fleet, "nothing in common, and yet a delta");
  g_string_free(now, TRUE);
  g_string_free(old, TRUE);
  g_string_free(d, TRUE);
  g_string_free(back, TRUE);
  return true;
}

const test_case delta_tests[] = { { "changes_come_as_deltas", changes_come_as_deltas, 1, 1, 50 },
                                  { NULL, NULL, 0, 0, 0 } };
