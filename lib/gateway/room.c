#include "room.h"

static const id no_adapter = { "" };

void room_init(room *r) {
  *r = (room){ 0 };
  r->items = g_array_new(FALSE, TRUE, sizeof(room_item));
}

void room_free(room *r) {
  g_array_free(r->items, TRUE);
  r->items = NULL;
}

void room_forget(room *r, time_us now) {
  r->known = false;
  r->changed = now;
  g_array_set_size(r->items, 0);
}

bool room_shown(const room *r, time_us asked, time_us lag) {
  return time_reached(asked, time_add(r->changed, lag));
}

void room_begin(room *r, uint64_t count) {
  r->known = true;
  r->count = count;
  g_array_set_size(r->items, 0);
}

static room_item *item_of(const room *r, id model, id adapter) {
  for (guint k = 0; k < r->items->len; k++) {
    room_item *item = &g_array_index(r->items, room_item, k);
    if (id_equal(item->model, model) && id_equal(item->adapter, adapter))
      return item;
  }
  return NULL;
}

void room_add(room *r, id model, id adapter) {
  if (item_of(r, model, adapter))
    return;
  room_item item = { model, adapter, 0, false };
  g_array_append_val(r->items, item);
}

void room_taken(room *r, bool load, id model, id adapter, time_us now) {
  if (!r->known)
    return;
  room_item *item = item_of(r, model, adapter);
  if (load ? item != NULL : item && item->unloading)
    return;
  if (!load && !item) {
    /* the engine has something to unload that the account does not show */
    room_forget(r, now);
    return;
  }
  r->count++;
  r->changed = now;
  if (load)
    room_add(r, model, adapter);
  else
    item->unloading = true;
}

void room_remove(room *r, id model, id adapter) {
  for (guint k = r->items->len; k-- > 0;) {
    room_item *item = &g_array_index(r->items, room_item, k);
    if (id_equal(item->model, model) && (id_is_empty(adapter) || id_equal(item->adapter, adapter)))
      g_array_remove_index_fast(r->items, k);
  }
}

bool room_holds(const room *r, id model, id adapter) {
  return item_of(r, model, adapter) != NULL;
}

void room_used(room *r, const service *service, double *mb, unsigned *slots) {
  *mb = 0;
  *slots = 0;
  for (guint k = 0; k < r->items->len; k++) {
    room_item *item = &g_array_index(r->items, room_item, k);
    const service_model_spec *m = service_find_model(service, item->model.text);
    bool base = id_equal(item->adapter, no_adapter);
    if (m)
      item->mb = base ? m->weights_mb : m->adapter_mb;
    *mb += item->mb;
    *slots += !base;
  }
}
