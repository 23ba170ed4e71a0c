#include "settings.h"
#include "json.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

bool address_is_valid(const char *s) {
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
  if (v->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(v->text)))
    return error_set(err, E_SETTINGS_ID,
                     "%s: not a name of 1 to 47 letters, digits, '-', '_', '.', ':'", key);
  *to = id_of(string_view_of_gstring(v->text));
  return OK;
}

static int take_addr(char *to, size_t n, const json *v, const char *key, error *err) {
  if (v->kind != JSON_STRING || !address_is_valid(v->text->str))
    return error_set(err, E_SETTINGS_ADDRESS, "%s: not an ip:port", key);
  g_strlcpy(to, v->text->str, n);
  return OK;
}

static int take_count(int *to, const json *v, const char *key, error *err) {
  if (v->kind != JSON_NUMBER || v->number < 1 || v->number > 5 || v->number != (int)v->number)
    return error_set(err, E_SETTINGS_KEY, "%s: 1 to 5", key);
  *to = v->number;
  return OK;
}

int settings_read_file(settings *settings, enum role role, const char *path, error *err) {
  gchar *text;
  gsize n;
  if (!g_file_get_contents(path, &text, &n, NULL))
    return error_set(err, E_SETTINGS_FILE, "%s: can't be read", path);
  int r = settings_parse(settings, role, (string_view){ text, n }, path, err);
  g_free(text);
  return r;
}

int settings_parse(settings *settings, enum role role, string_view text, const char *where,
                   error *err) {
  settings->role = role;
  json *value = json_parse(text, err);
  if (!value || value->kind != JSON_OBJECT) {
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
      r = take_id(&settings->zone, x, k, err);
    else if (!strcmp(k, "listen"))
      r = take_addr(settings->address, sizeof settings->address, x, k, err);
    else if (!strcmp(k, "platform") && role == ROLE_ROUTER)
      r = take_addr(settings->platform_address, sizeof settings->platform_address, x, k, err);
    else if (!strcmp(k, "seeds")) {
      if (x->kind != JSON_ARRAY || json_count(x) != 3)
        r = error_set(err, E_SETTINGS_SEEDS, "seeds: three addresses are needed");
      for (size_t s = 0; s < 3 && !r; s++)
        r = take_addr(settings->seed_addresses[s], sizeof settings->seed_addresses[s],
                      json_at(x, s), k, err);
    } else if (!strcmp(k, "founders") && role == ROLE_CONTROLLER) {
      if (x->kind != JSON_ARRAY || json_count(x) != 3)
        r = error_set(err, E_SETTINGS_SEEDS, "founders: three names are needed");
      for (size_t s = 0; s < 3 && !r; s++)
        r = take_id(&settings->founders[s], json_at(x, s), k, err);
    } else if (!strcmp(k, "founderAddrs") && role == ROLE_CONTROLLER) {
      settings->founder_count = 0;
      if (x->kind != JSON_ARRAY || !json_count(x) || json_count(x) > 3)
        r = error_set(err, E_SETTINGS_SEEDS, "founderAddrs: one to three addresses are needed");
      for (size_t s = 0; !r && s < json_count(x); s++, settings->founder_count++)
        r = take_addr(settings->founder_addresses[s], sizeof settings->founder_addresses[s],
                      json_at(x, s), k, err);
    } else if (!strcmp(k, "members") && role == ROLE_CONTROLLER)
      r = take_count(&settings->chain_members, x, k, err);
    else if (!strcmp(k, "copies") && role == ROLE_CONTROLLER)
      r = take_count(&settings->write_replicas, x, k, err);
    else if (!strcmp(k, "copyAreas") && role == ROLE_CONTROLLER)
      r = take_count(&settings->write_zones, x, k, err);
    else if (!strcmp(k, "data") && role == ROLE_CONTROLLER) {
      if (x->kind != JSON_STRING || !x->text->len || x->text->len >= sizeof settings->data_dir)
        r = error_set(err, E_SETTINGS_DATA, "data: not a folder");
      else
        g_strlcpy(settings->data_dir, x->text->str, sizeof settings->data_dir);
    } else if (!strcmp(k, "fileMb") && role == ROLE_CONTROLLER) {
      if (x->kind != JSON_NUMBER || x->number < 4 || x->number > 1024)
        r = error_set(err, E_SETTINGS_KEY, "fileMb: 4 to 1024");
      else
        settings->log_file_bytes = (size_t)x->number << 20;
    } else if (!strcmp(k, "wire")) {
      if (x->kind != JSON_NUMBER || x->number < WIRE_VERSION_MIN ||
          x->number > WIRE_VERSION_CURRENT)
        r = error_set(err, E_SETTINGS_KEY, "wire: %d to %d", WIRE_VERSION_MIN,
                      WIRE_VERSION_CURRENT);
      else
        settings->wire_version = x->number;
    } else if (!strcmp(k, "loud"))
      settings->debug_log = x->boolean;
    else if (!strcmp(k, "jsonLog"))
      settings->json_log = x->boolean;
    else
      r = error_set(err, E_SETTINGS_KEY, "%s: this daemon knows no such setting", k);
  }
  json_free(value);
  return r;
}

void settings_set_fault_tolerance(settings *settings, int machines, int zones) {
  /* how many machines an area holds is not known, so all of the core votes where one may be lost */
  settings->chain_members =
      zones > 0 ? REPLICAS_MAX : CLAMP(2 * machines + 1, REPLICAS_MIN, REPLICAS_MAX);
  settings->write_replicas = MAX(machines, zones) + 1;
  settings->write_zones = zones + 1;
}

int settings_check(const settings *settings, error *err) {
  if (id_is_empty(settings->self))
    return error_set(err, E_SETTINGS_ID, "id: missing");
  if (id_is_empty(settings->zone))
    return error_set(err, E_SETTINGS_ID, "area: missing");
  if (!address_is_valid(settings->address))
    return error_set(err, E_SETTINGS_ADDRESS, "listen: not an ip:port");
  /* a core of one or two machines has no three seeds */
  int due = settings->founder_count || settings->is_gateway || settings->relaxed ? 1 : 3;
  for (int i = 0; i < 3; i++) {
    if (!address_is_valid(settings->seed_addresses[i])) {
      if (i >= due && !settings->seed_addresses[i][0])
        continue;
      return error_set(err, E_SETTINGS_SEEDS, "seeds: three addresses are needed, %d given", i);
    }
    for (int k = 0; k < i; k++)
      if (!strcmp(settings->seed_addresses[i], settings->seed_addresses[k]))
        return error_set(err, E_SETTINGS_SEEDS, "seeds: %s stands twice",
                         settings->seed_addresses[i]);
  }
  if (settings->role == ROLE_ROUTER && !settings->is_gateway &&
      !address_is_valid(settings->platform_address))
    return error_set(err, E_SETTINGS_ADDRESS, "platform: not an ip:port");
  if (settings->role == ROLE_CONTROLLER) {
    if (settings->write_replicas > (settings->chain_members ? settings->chain_members : 3) ||
        settings->write_zones > settings->write_replicas)
      return error_set(
          err, E_SETTINGS_KEY,
          "copies: at most as many as members, and copyAreas at most as many as copies");
    if (!settings->data_dir[0] || access(settings->data_dir, W_OK | X_OK))
      return error_set(err, E_SETTINGS_DATA, "data: %s can't be written",
                       settings->data_dir[0] ? settings->data_dir : "missing");
    for (int i = 0; i < 3; i++)
      for (int k = 0; k < i; k++)
        if (!id_is_empty(settings->founders[i]) &&
            id_equal(settings->founders[i], settings->founders[k]))
          return error_set(err, E_SETTINGS_SEEDS, "founders: %s stands twice",
                           settings->founders[i].text);
  }
  return OK;
}
