#include "node.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

bool addr_fits(const char *s) {
  char ip[48];
  const char *c = strrchr(s, ':');
  struct in_addr a;
  if (!c || c == s || (size_t)(c - s) >= sizeof ip)
    return false;
  memcpy(ip, s, c - s);
  ip[c - s] = 0;
  char *end;
  long n = strtol(c + 1, &end, 10);
  return inet_pton(AF_INET, ip, &a) == 1 && c[1] >= '0' && c[1] <= '9' && !*end && n > 0 &&
         n < 65536;
}

static int take_id(id *to, const json *v, const char *key, error *err) {
  if (v->kind != J_STR || !id_is_valid(string_view_of_gstring(v->text)))
    return error_set(err, E_SETTINGS_ID,
                     "%s: not a name of 1 to 47 letters, digits, '-', '_', '.', ':'", key);
  *to = id_of(string_view_of_gstring(v->text));
  return OK;
}

static int take_addr(char *to, size_t n, const json *v, const char *key, error *err) {
  if (v->kind != J_STR || !addr_fits(v->text->str))
    return error_set(err, E_SETTINGS_ADDR, "%s: not an ip:port", key);
  g_strlcpy(to, v->text->str, n);
  return OK;
}

static int take_count(int *to, const json *v, const char *key, error *err) {
  if (v->kind != J_NUM || v->num < 1 || v->num > 5 || v->num != (int)v->num)
    return error_set(err, E_SETTINGS_KEY, "%s: 1 to 5", key);
  *to = v->num;
  return OK;
}

int settings_read(settings *settings, enum role role, const char *path, error *err) {
  gchar *text;
  gsize n;
  if (!g_file_get_contents(path, &text, &n, NULL))
    return error_set(err, E_SETTINGS_FILE, "%s: can't be read", path);
  int r = settings_take(settings, role, (string_view){ text, n }, path, err);
  g_free(text);
  return r;
}

int settings_take(settings *settings, enum role role, string_view text, const char *where,
                  error *err) {
  settings->role = role;
  json *value = json_read(text, err);
  if (!value || value->kind != J_OBJ) {
    error was = *err;
    error_set(err, E_SETTINGS_FILE, "%s: %.150s", where, value ? "not an object" : was.text);
    json_free(value);
    return E_SETTINGS_FILE;
  }
  int r = OK;
  for (size_t i = 0; i < json_count(value) && !r; i++) {
    const char *k = json_key(value, i);
    const json *x = json_at(value, i);
    if (!strcmp(k, "id"))
      r = take_id(&settings->self, x, k, err);
    else if (!strcmp(k, "area"))
      r = take_id(&settings->area, x, k, err);
    else if (!strcmp(k, "listen"))
      r = take_addr(settings->addr, sizeof settings->addr, x, k, err);
    else if (!strcmp(k, "platform") && role == ROLE_ROUTER)
      r = take_addr(settings->platform, sizeof settings->platform, x, k, err);
    else if (!strcmp(k, "seeds")) {
      if (x->kind != J_ARR || json_count(x) != 3)
        r = error_set(err, E_SETTINGS_SEEDS, "seeds: three addresses are needed");
      for (size_t s = 0; s < 3 && !r; s++)
        r = take_addr(settings->seeds[s], sizeof settings->seeds[s], json_at(x, s), k, err);
    } else if (!strcmp(k, "founders") && role == ROLE_CONTROLLER) {
      if (x->kind != J_ARR || json_count(x) != 3)
        r = error_set(err, E_SETTINGS_SEEDS, "founders: three names are needed");
      for (size_t s = 0; s < 3 && !r; s++)
        r = take_id(&settings->founders[s], json_at(x, s), k, err);
    } else if (!strcmp(k, "founderAddrs") && role == ROLE_CONTROLLER) {
      settings->founder_count = 0;
      if (x->kind != J_ARR || !json_count(x) || json_count(x) > 3)
        r = error_set(err, E_SETTINGS_SEEDS, "founderAddrs: one to three addresses are needed");
      for (size_t s = 0; !r && s < json_count(x); s++, settings->founder_count++)
        r = take_addr(settings->founder_addrs[s], sizeof settings->founder_addrs[s], json_at(x, s),
                      k, err);
    } else if (!strcmp(k, "members") && role == ROLE_CONTROLLER)
      r = take_count(&settings->members, x, k, err);
    else if (!strcmp(k, "copies") && role == ROLE_CONTROLLER)
      r = take_count(&settings->copies, x, k, err);
    else if (!strcmp(k, "copyAreas") && role == ROLE_CONTROLLER)
      r = take_count(&settings->copy_areas, x, k, err);
    else if (!strcmp(k, "data") && role == ROLE_CONTROLLER) {
      if (x->kind != J_STR || !x->text->len || x->text->len >= sizeof settings->data)
        r = error_set(err, E_SETTINGS_DATA, "data: not a folder");
      else
        g_strlcpy(settings->data, x->text->str, sizeof settings->data);
    } else if (!strcmp(k, "fileMb") && role == ROLE_CONTROLLER) {
      if (x->kind != J_NUM || x->num < 4 || x->num > 1024)
        r = error_set(err, E_SETTINGS_KEY, "fileMb: 4 to 1024");
      else
        settings->file_bytes = (size_t)x->num << 20;
    } else if (!strcmp(k, "wire")) {
      if (x->kind != J_NUM || x->num < WIRE_LEAST || x->num > WIRE_NOW)
        r = error_set(err, E_SETTINGS_KEY, "wire: %d to %d", WIRE_LEAST, WIRE_NOW);
      else
        settings->wire = x->num;
    } else if (!strcmp(k, "loud"))
      settings->loud = x->yes;
    else if (!strcmp(k, "jsonLog"))
      settings->json_log = x->yes;
    else
      r = error_set(err, E_SETTINGS_KEY, "%s: this daemon knows no such setting", k);
  }
  json_free(value);
  return r;
}

void env_withstand(settings *settings, int machines, int zones) {
  /* how many machines an area holds is not known, so all of the core votes where one may be lost */
  settings->members = zones > 0 ? CORE_MOST : CLAMP(2 * machines + 1, CORE_LEAST, CORE_MOST);
  settings->copies = MAX(machines, zones) + 1;
  settings->copy_areas = zones + 1;
}

int settings_check(const settings *settings, error *err) {
  if (id_is_empty(settings->self))
    return error_set(err, E_SETTINGS_ID, "id: missing");
  if (id_is_empty(settings->area))
    return error_set(err, E_SETTINGS_ID, "area: missing");
  if (!addr_fits(settings->addr))
    return error_set(err, E_SETTINGS_ADDR, "listen: not an ip:port");
  /* a core of one or two machines has no three seeds */
  int due = settings->founder_count || settings->gateway || settings->loose ? 1 : 3;
  for (int i = 0; i < 3; i++) {
    if (!addr_fits(settings->seeds[i])) {
      if (i >= due && !settings->seeds[i][0])
        continue;
      return error_set(err, E_SETTINGS_SEEDS, "seeds: three addresses are needed, %d given", i);
    }
    for (int k = 0; k < i; k++)
      if (!strcmp(settings->seeds[i], settings->seeds[k]))
        return error_set(err, E_SETTINGS_SEEDS, "seeds: %s stands twice", settings->seeds[i]);
  }
  if (settings->role == ROLE_ROUTER && !settings->gateway && !addr_fits(settings->platform))
    return error_set(err, E_SETTINGS_ADDR, "platform: not an ip:port");
  if (settings->role == ROLE_CONTROLLER) {
    if (settings->copies > (settings->members ? settings->members : 3) ||
        settings->copy_areas > settings->copies)
      return error_set(
          err, E_SETTINGS_KEY,
          "copies: at most as many as members, and copyAreas at most as many as copies");
    if (!settings->data[0] || access(settings->data, W_OK | X_OK))
      return error_set(err, E_SETTINGS_DATA, "data: %s can't be written",
                       settings->data[0] ? settings->data : "missing");
    for (int i = 0; i < 3; i++)
      for (int k = 0; k < i; k++)
        if (!id_is_empty(settings->founders[i]) &&
            id_equal(settings->founders[i], settings->founders[k]))
          return error_set(err, E_SETTINGS_SEEDS, "founders: %s stands twice",
                           settings->founders[i].text);
  }
  return OK;
}
