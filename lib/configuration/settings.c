/** The settings of one process: read from a JSON file or text, and checked as a whole. */
#include "settings.h"
#include "json.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <unistd.h>

enum {
  PORT_MAX = 65535,
  SEEDS = 3,
  FOUNDERS = 3,
  /** The largest number of members, write replicas and write zones that settings may ask for. */
  COUNT_MAX = 5,
  LOG_FILE_MIN_MB = 4,
  LOG_FILE_MAX_MB = 1024,
  /** The number of members if the settings have none. */
  CHAIN_MEMBERS_DEFAULT = 3
};

bool address_is_valid(const char *text) {
  char ip[48];
  const char *colon = strrchr(text, ':');
  if (!colon || colon == text || (size_t)(colon - text) >= sizeof ip)
    return false;
  g_strlcpy(ip, text, (gsize)(colon - text) + 1);
  struct in_addr address;
  if (inet_pton(AF_INET, ip, &address) != 1)
    return false;
  char *end;
  long port = strtol(colon + 1, &end, 10);
  return colon[1] >= '0' && colon[1] <= '9' && !*end && port > 0 && port <= PORT_MAX;
}

static enum error_code read_id(id *to, const json *value, const char *key, error *err) {
  if (value->kind != JSON_STRING || !id_is_valid(string_view_of_gstring(value->text)))
    return error_set(err, E_SETTINGS_ID,
                     "%s: not a name of 1 to 47 letters, digits, '-', '_', '.', ':'", key);
  *to = id_of(string_view_of_gstring(value->text));
  return OK;
}

static enum error_code read_address(char to[48], const json *value, const char *key, error *err) {
  if (value->kind != JSON_STRING || !address_is_valid(value->text->str))
    return error_set(err, E_SETTINGS_ADDRESS, "%s: not an ip:port", key);
  g_strlcpy(to, value->text->str, 48);
  return OK;
}

static enum error_code read_count(int *to, const json *value, const char *key, error *err) {
  if (value->kind != JSON_NUMBER || value->number < 1 || value->number > COUNT_MAX ||
      value->number != (int)value->number)
    return error_set(err, E_SETTINGS_KEY, "%s: not a whole number from 1 to %d", key, COUNT_MAX);
  *to = (int)value->number;
  return OK;
}

/* One function for each setting, with the signature of setting.read. */

static enum error_code read_self(settings *settings, const json *value, const char *key,
                                 error *err) {
  return read_id(&settings->self, value, key, err);
}

static enum error_code read_zone(settings *settings, const json *value, const char *key,
                                 error *err) {
  return read_id(&settings->zone, value, key, err);
}

static enum error_code read_listen(settings *settings, const json *value, const char *key,
                                   error *err) {
  return read_address(settings->address, value, key, err);
}

static enum error_code read_platform(settings *settings, const json *value, const char *key,
                                     error *err) {
  return read_address(settings->platform_address, value, key, err);
}

static enum error_code read_seeds(settings *settings, const json *value, const char *key,
                                  error *err) {
  if (value->kind != JSON_ARRAY || json_count(value) != SEEDS)
    return error_set(err, E_SETTINGS_SEEDS, "seeds: three addresses are needed");
  enum error_code code = OK;
  for (size_t i = 0; i < SEEDS && !code; i++)
    code = read_address(settings->seed_addresses[i], json_at(value, i), key, err);
  return code;
}

static enum error_code read_founders(settings *settings, const json *value, const char *key,
                                     error *err) {
  if (value->kind != JSON_ARRAY || json_count(value) != FOUNDERS)
    return error_set(err, E_SETTINGS_SEEDS, "founders: three names are needed");
  enum error_code code = OK;
  for (size_t i = 0; i < FOUNDERS && !code; i++)
    code = read_id(&settings->founders[i], json_at(value, i), key, err);
  return code;
}

static enum error_code read_founder_addresses(settings *settings, const json *value,
                                              const char *key, error *err) {
  settings->founder_count = 0;
  if (value->kind != JSON_ARRAY || !json_count(value) || json_count(value) > FOUNDERS)
    return error_set(err, E_SETTINGS_SEEDS, "founderAddrs: one to three addresses are needed");
  enum error_code code = OK;
  for (size_t i = 0; !code && i < json_count(value); i++, settings->founder_count++)
    code = read_address(settings->founder_addresses[i], json_at(value, i), key, err);
  return code;
}

static enum error_code read_members(settings *settings, const json *value, const char *key,
                                    error *err) {
  return read_count(&settings->chain_members, value, key, err);
}

static enum error_code read_write_replicas(settings *settings, const json *value, const char *key,
                                           error *err) {
  return read_count(&settings->write_replicas, value, key, err);
}

static enum error_code read_write_zones(settings *settings, const json *value, const char *key,
                                        error *err) {
  return read_count(&settings->write_zones, value, key, err);
}

static enum error_code read_data_dir(settings *settings, const json *value, const char *key,
                                     error *err) {
  if (value->kind != JSON_STRING || !value->text->len ||
      value->text->len >= sizeof settings->data_dir)
    return error_set(err, E_SETTINGS_DATA, "%s: not a path", key);
  g_strlcpy(settings->data_dir, value->text->str, sizeof settings->data_dir);
  return OK;
}

static enum error_code read_log_file_size(settings *settings, const json *value, const char *key,
                                          error *err) {
  if (value->kind != JSON_NUMBER || value->number < LOG_FILE_MIN_MB ||
      value->number > LOG_FILE_MAX_MB)
    return error_set(err, E_SETTINGS_KEY, "%s: not a number from %d to %d", key, LOG_FILE_MIN_MB,
                     LOG_FILE_MAX_MB);
  settings->log_file_bytes = (size_t)value->number << 20;
  return OK;
}

static enum error_code read_wire_version(settings *settings, const json *value, const char *key,
                                         error *err) {
  if (value->kind != JSON_NUMBER || value->number < WIRE_VERSION_MIN ||
      value->number > WIRE_VERSION_CURRENT)
    return error_set(err, E_SETTINGS_KEY, "%s: not a number from %d to %d", key, WIRE_VERSION_MIN,
                     WIRE_VERSION_CURRENT);
  settings->wire_version = (unsigned)value->number;
  return OK;
}

static enum error_code read_debug_log(settings *settings, const json *value, const char *key,
                                      error *err) {
  (void)key;
  (void)err;
  settings->debug_log = value->boolean;
  return OK;
}

static enum error_code read_json_log(settings *settings, const json *value, const char *key,
                                     error *err) {
  (void)key;
  (void)err;
  settings->json_log = value->boolean;
  return OK;
}

/** A setting: its key, the roles that have it, and the function that reads it. */
typedef struct setting {
  const char *key;
  /** Bits of enum role. */
  unsigned roles;
  enum error_code (*read)(settings *settings, const json *value, const char *key, error *err);
} setting;

enum {
  OF_CONTROLLERS = 1 << ROLE_CONTROLLER,
  OF_ROUTERS = 1 << ROLE_ROUTER,
  OF_ALL = OF_CONTROLLERS | OF_ROUTERS
};

static const setting all_settings[] = {
  { "id", OF_ALL, read_self },
  { "area", OF_ALL, read_zone },
  { "listen", OF_ALL, read_listen },
  { "platform", OF_ROUTERS, read_platform },
  { "seeds", OF_ALL, read_seeds },
  { "founders", OF_CONTROLLERS, read_founders },
  { "founderAddrs", OF_CONTROLLERS, read_founder_addresses },
  { "members", OF_CONTROLLERS, read_members },
  { "copies", OF_CONTROLLERS, read_write_replicas },
  { "copyAreas", OF_CONTROLLERS, read_write_zones },
  { "data", OF_CONTROLLERS, read_data_dir },
  { "fileMb", OF_CONTROLLERS, read_log_file_size },
  { "wire", OF_ALL, read_wire_version },
  { "loud", OF_ALL, read_debug_log },
  { "jsonLog", OF_ALL, read_json_log },
};

/* Finds the setting of a key that processes of the role have; NULL if there is none. */
static const setting *find_setting(const char *key, enum role role) {
  for (size_t i = 0; i < G_N_ELEMENTS(all_settings); i++)
    if (!strcmp(all_settings[i].key, key) && all_settings[i].roles & 1u << role)
      return &all_settings[i];
  return NULL;
}

enum error_code settings_read_file(settings *settings, enum role role, const char *path,
                                   error *err) {
  gchar *text;
  gsize length;
  if (!g_file_get_contents(path, &text, &length, NULL))
    return error_set(err, E_SETTINGS_FILE, "%s: can't be read", path);
  enum error_code code = settings_parse(settings, role, (string_view){ text, length }, path, err);
  g_free(text);
  return code;
}

enum error_code settings_parse(settings *settings, enum role role, string_view text,
                               const char *source, error *err) {
  settings->role = role;
  json *value = json_parse(text, err);
  if (!value || value->kind != JSON_OBJECT) {
    error reason = *err;
    error_set(err, E_SETTINGS_FILE, "%s: %.150s", source, value ? "not an object" : reason.text);
    json_free(value);
    return E_SETTINGS_FILE;
  }
  enum error_code code = OK;
  for (size_t i = 0; i < json_count(value) && !code; i++) {
    const char *key = json_key(value, i);
    const setting *setting = find_setting(key, role);
    if (setting)
      code = setting->read(settings, json_at(value, i), key, err);
    else
      code = error_set(err, E_SETTINGS_KEY, "%s: unknown setting for this daemon", key);
  }
  json_free(value);
  return code;
}

void settings_set_fault_tolerance(settings *settings, int machines, int zones) {
  /* How many machines a zone holds is not known, so all controllers vote if a zone may be lost. */
  settings->chain_members =
      zones > 0 ? REPLICAS_MAX : CLAMP(2 * machines + 1, REPLICAS_MIN, REPLICAS_MAX);
  settings->write_replicas = MAX(machines, zones) + 1;
  settings->write_zones = zones + 1;
}

static enum error_code check_seeds(const settings *settings, error *err) {
  /* a fleet of one or two controllers does not have three seeds */
  bool may_lack_seeds = settings->founder_count || settings->is_gateway || settings->relaxed_timing;
  int needed = may_lack_seeds ? 1 : SEEDS;
  for (int i = 0; i < SEEDS; i++) {
    const char *seed = settings->seed_addresses[i];
    if (!address_is_valid(seed)) {
      if (i >= needed && !seed[0])
        continue;
      return error_set(err, E_SETTINGS_SEEDS, "seeds: three addresses are needed, %d given", i);
    }
    for (int k = 0; k < i; k++)
      if (!strcmp(seed, settings->seed_addresses[k]))
        return error_set(err, E_SETTINGS_SEEDS, "seeds: %s is listed twice", seed);
  }
  return OK;
}

static enum error_code check_founders(const settings *settings, error *err) {
  for (int i = 0; i < FOUNDERS; i++)
    for (int k = 0; k < i; k++)
      if (!id_is_empty(settings->founders[i]) &&
          id_equal(settings->founders[i], settings->founders[k]))
        return error_set(err, E_SETTINGS_SEEDS, "founders: %s is listed twice",
                         settings->founders[i].text);
  return OK;
}

static enum error_code check_controller(const settings *settings, error *err) {
  int members = settings->chain_members ? settings->chain_members : CHAIN_MEMBERS_DEFAULT;
  if (settings->write_replicas > members || settings->write_zones > settings->write_replicas)
    return error_set(err, E_SETTINGS_KEY,
                     "copies must not exceed members, and copyAreas must not exceed copies");
  if (!settings->data_dir[0] || access(settings->data_dir, W_OK | X_OK))
    return error_set(err, E_SETTINGS_DATA, "data: %s can't be written",
                     settings->data_dir[0] ? settings->data_dir : "missing");
  return check_founders(settings, err);
}

enum error_code settings_check(const settings *settings, error *err) {
  if (id_is_empty(settings->self))
    return error_set(err, E_SETTINGS_ID, "id: missing");
  if (id_is_empty(settings->zone))
    return error_set(err, E_SETTINGS_ID, "area: missing");
  if (!address_is_valid(settings->address))
    return error_set(err, E_SETTINGS_ADDRESS, "listen: not an ip:port");
  enum error_code code = check_seeds(settings, err);
  if (code)
    return code;
  if (settings->role == ROLE_ROUTER && !settings->is_gateway &&
      !address_is_valid(settings->platform_address))
    return error_set(err, E_SETTINGS_ADDRESS, "platform: not an ip:port");
  return settings->role == ROLE_CONTROLLER ? check_controller(settings, err) : OK;
}
