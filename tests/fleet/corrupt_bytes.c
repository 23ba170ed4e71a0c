/** Corrupt bytes at the readers of configurations, of expressions and of the write-ahead log: they
 * are refused with a code, and a controller starts again with any disk. Fleet: three controllers,
 * two routers, two engines.
 */
#include "scenario.h"
#include "tests.h"

/* bytes that were sound once, and then were not */
static void spoil(sim *sim, GString *b) {
  int n = 1 + (int)sim_draw(sim, 6);
  for (int i = 0; i < n && b->len; i++) {
    size_t at = sim_draw(sim, b->len);
    switch (sim_draw(sim, 4)) {
    case 0:
      b->str[at] = (char)sim_draw(sim, 256);
      break;
    case 1: {
      size_t k = 1 + sim_draw(sim, 9);
      g_string_erase(b, at, MIN(b->len - at, k));
      break;
    }
    case 2:
      g_string_insert_len(b, at, b->str + sim_draw(sim, b->len), 1);
      break;
    case 3:
      b->str[at] ^= (char)(1 << sim_draw(sim, 8));
      break;
    }
  }
}

static bool readers_meet_spoilt_bytes(fleet *fleet) {
  sim *sim = fleet->sim;
  char *cat = fleet_catalogue(6, 4, NULL);
  const char *good[] = {
    cat,
    "{\"loadsPerS\":2,\"kinds\":[{\"id\":\"a\",\"share\":0.5}],\"rules\":[{\"when\":{\"kind\":\"a\"},\"then\":[\"enrol\",\"select\",{\"op\":\"hold\",\"ms\":5},\"proxy\",\"answer\"]}],\"utilities\":[{\"id\":\"u\",\"worth\":\"rate*min(1,size)\"}]}",
    "{\"areas\":[{\"area\":\"north\",\"share\":0.5}]}"
  };
  int taken = 0, refused = 0;
  for (int i = 0; i < 1500; i++) {
    GString *b = g_string_new(good[i % 3]);
    if (i > 2)
      spoil(sim, b);
    error err = { 0 };
    json *j[RESOURCE_COUNT] = { 0 };
    j[i % 3] = json_parse(string_view_of_gstring(b), &err);
    if (i % 3 == 2)
      j[0] = json_parse(string_view_of(cat), NULL);
    config *config = j[i % 3] ? config_compile((const json **)j, &err) : NULL;
    if (config)
      taken++;
    else
      refused++;
    if (!config && !err.code)
      violation(fleet, "refused without a code: %s", b->str);
    config_free(config);
    for (int k = 0; k < RESOURCE_COUNT; k++)
      json_free(j[k]);
    g_string_free(b, TRUE);
    b = g_string_new("penalty * (rate + 0.5) / max(size, 2) - idle");
    spoil(sim, b);
    formula x;
    const double v[F_VARIABLES] = { 1, 2, 3, 4, 5, 6 };
    if (!formula_compile(&x, b->str, NULL))
      formula_evaluate(&x, v);
    g_string_free(b, TRUE);
  }
  g_free(cat);
  if (!taken || !refused)
    violation(fleet, "%d taken, %d refused", taken, refused);
  /* disks: any bytes may have gone bad while the power was off; the machine starts, sound or as a
   * new member */
  if (!fleet_up(fleet))
    return false;
  for (int i = 0; i < 12; i++) {
    host *host = fleet->controller[i % 3];
    host_power(host);
    disk *disk = host->disk;
    for (int k = 0, n = 1 + (int)sim_draw(sim, 40); k < n; k++) {
      unsigned file = sim_draw(sim, 4);
      size_t at = sim_draw(sim, sim_draw(sim, 2) ? 4096 : disk->size);
      disk->file[file][at] = disk->sure[file][at] = (char)sim_draw(sim, 256);
    }
    host_start(host);
    /* a machine whose disk was bad is out before it is back; two at once are a loss that is not
     * promised */
    sim_run(fleet->sim, time_from_ms(2500));
    if (!wait_chain(fleet, 3, 20000))
      return false;
  }
  acked_stand(fleet);
  return true;
}

const test_case corrupt_bytes_tests[] = {
  { "readers_meet_spoilt_bytes", readers_meet_spoilt_bytes, 2, 2, 50 }, { NULL, NULL, 0, 0, 0 }
};
