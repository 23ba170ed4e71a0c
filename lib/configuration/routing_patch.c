/** Patches of the routing configuration: items are set or dropped by name. This works on the JSON,
 * before the result is compiled, so unknown fields are preserved. */
#include "routing.h"
#include "routing_internal.h"

/* The index of a key of an object, or -1. */
static int index_of_key(const json *object, const char *key) {
  for (size_t i = 0; i < json_count(object); i++)
    if (!strcmp(json_key(object, i), key))
      return (int)i;
  return -1;
}

/* Sets a key of an object, which takes ownership of the value. */
static void set_key(json *object, const char *key, json *value) {
  int index = index_of_key(object, key);
  if (index < 0) {
    g_ptr_array_add(object->keys, g_strdup(key));
    g_ptr_array_add(object->children, value);
    return;
  }
  json_free(object->children->pdata[index]);
  object->children->pdata[index] = value;
}

/* The list under a key, or NULL. */
static json *list_of_key(json *object, const char *key) {
  int index = index_of_key(object, key);
  json *list = index < 0 ? NULL : object->children->pdata[index];
  return list && list->kind == JSON_ARRAY ? list : NULL;
}

static bool all_have_names(const json *list) {
  for (size_t i = 0; i < json_count(list); i++)
    if (!json_text(json_at(list, i), "name", NULL))
      return false;
  return true;
}

/* Maps the names of a list's items to index + 1. The names are borrowed from the list. */
static GHashTable *positions_by_name(const json *list) {
  GHashTable *positions = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; i < json_count(list); i++) {
    const char *name = json_text(json_at(list, i), "name", NULL);
    if (name && !g_hash_table_contains(positions, name))
      g_hash_table_insert(positions, (char *)name, GSIZE_TO_POINTER(i + 1));
  }
  return positions;
}

/* Collects the names to drop. Each entry is a name, or an object with a name. */
static enum error_code collect_names(GHashTable *dropped, const char *key, const json *names,
                                     error *err) {
  for (size_t i = 0; i < json_count(names); i++) {
    const json *item = json_at(names, i);
    const char *name = item->kind == JSON_STRING ? item->text->str : json_text(item, "name", NULL);
    if (!name)
      return error_set(err, E_ROUTING_PATCH, "drop.%.40s[%zu]: not a name", key, i);
    g_hash_table_add(dropped, (char *)name);
  }
  return OK;
}

static void drop_named(json *list, GHashTable *dropped) {
  GPtrArray *kept = g_ptr_array_new_with_free_func((GDestroyNotify)json_free);
  for (size_t i = 0; i < json_count(list); i++) {
    json *item = list->children->pdata[i];
    const char *name = json_text(item, "name", NULL);
    if (name && g_hash_table_contains(dropped, name))
      json_free(item);
    else
      g_ptr_array_add(kept, item);
  }
  g_ptr_array_set_free_func(list->children, NULL);
  g_ptr_array_free(list->children, TRUE);
  list->children = kept;
}

/* Drops items of the list under a key by their names; a missing item is no error. */
static enum error_code apply_drop(json *root, const char *key, const json *names, error *err) {
  if (names->kind != JSON_ARRAY)
    return error_set(err, E_ROUTING_PATCH, "drop.%.40s: not a list", key);
  GHashTable *dropped = g_hash_table_new(g_str_hash, g_str_equal);
  enum error_code code = collect_names(dropped, key, names, err);
  json *list = list_of_key(root, key);
  if (!code && list && g_hash_table_size(dropped))
    drop_named(list, dropped);
  g_hash_table_destroy(dropped);
  return code;
}

/* Replaces items of a list by those with the same name, and appends the others. */
static void merge_named(json *list, const json *items) {
  GHashTable *positions = positions_by_name(list);
  for (size_t i = 0; i < json_count(items); i++) {
    json *item = json_copy(json_at(items, i));
    const char *name = json_text(item, "name", "");
    size_t position = GPOINTER_TO_SIZE(g_hash_table_lookup(positions, name));
    if (position) {
      /* the table's key is the name of the item that is freed, so it is replaced too */
      g_hash_table_replace(positions, (char *)name, GSIZE_TO_POINTER(position));
      json_free(list->children->pdata[position - 1]);
      list->children->pdata[position - 1] = item;
    } else {
      g_ptr_array_add(list->children, item);
      g_hash_table_insert(positions, (char *)name, GSIZE_TO_POINTER((size_t)list->children->len));
    }
  }
  g_hash_table_destroy(positions);
}

/* Sets a key: routes, services and other lists of named items are merged by name, everything else
 * is replaced. */
static enum error_code apply_set(json *root, const char *key, const json *value, error *err) {
  bool is_item_list = !strcmp(key, "routes") || !strcmp(key, "services");
  bool has_named_items = value->kind == JSON_ARRAY && all_have_names(value);
  if (is_item_list && !has_named_items)
    return error_set(err, E_ROUTING_PATCH, "set.%s: not a list of named items", key);
  json *list = list_of_key(root, key);
  if (list && has_named_items)
    merge_named(list, value);
  else
    set_key(root, key, json_copy(value));
  return OK;
}

/* Reads the object under a key of a patch; NULL if it is absent. */
static enum error_code read_part(const json *patch, const char *key, const json **part,
                                 error *err) {
  *part = json_get(patch, key);
  if (*part && (*part)->kind == JSON_NULL)
    *part = NULL;
  if (*part && (*part)->kind != JSON_OBJECT)
    return error_set(err, E_ROUTING_PATCH, "set and drop are objects of lists");
  return OK;
}

static enum error_code apply_parts(json *root, const json *drop, const json *set, error *err) {
  enum error_code code = OK;
  for (size_t i = 0; i < json_count(drop) && !code; i++)
    code = apply_drop(root, json_key(drop, i), json_at(drop, i), err);
  for (size_t i = 0; i < json_count(set) && !code; i++)
    if (strcmp(json_key(set, i), "version"))
      code = apply_set(root, json_key(set, i), json_at(set, i), err);
  return code;
}

json *routing_patch(const json *base, const json *patch, error *err) {
  const json *set, *drop;
  uint64_t revision;
  if (!patch || patch->kind != JSON_OBJECT) {
    error_set(err, E_ROUTING_PATCH, "not an object");
    return NULL;
  }
  if (!base || base->kind != JSON_OBJECT) {
    error_set(err, E_ROUTING_PATCH, "there is nothing to change yet");
    return NULL;
  }
  if (routing_read_revision(patch, &revision, err) || read_part(patch, "set", &set, err) ||
      read_part(patch, "drop", &drop, err))
    return NULL;
  json *root = json_copy(base);
  set_key(root, "version", json_copy(json_get(patch, "version")));
  if (!apply_parts(root, drop, set, err))
    return root;
  json_free(root);
  return NULL;
}
