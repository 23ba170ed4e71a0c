#include "capacity_account.h"

static const id no_adapter = { "" };

void capacity_init(capacity_account *r) {
  *r = (capacity_account){ 0 };
  r->items = g_array_new(FALSE, TRUE, sizeof(capacity_item));
}

void capacity_free(capacity_account *r) {
  g_array_free(r->items, TRUE);
  r->items = NULL;
}

void capacity_forget(capacity_account *r, time_us now) {
  r->is_known = false;
  r->changed_at = now;
  g_array_set_size(r->items, 0);
}

bool capacity_covered_by_report(const capacity_account *r, time_us asked, time_us lag) {
  return time_reached(asked, time_add(r->changed_at, lag));
}

void capacity_begin(capacity_account *r, uint64_t count) {
  r->is_known = true;
  r->order_count = count;
  g_array_set_size(r->items, 0);
}

static capacity_item *item_of(const capacity_account *r, id model, id adapter) {
  for (guint k = 0; k < r->items->len; k++) {
    capacity_item *item = &g_array_index(r->items, capacity_item, k);
    if (id_equal(item->model, model) && id_equal(item->adapter, adapter))
      return item;
  }
  return NULL;
}

void capacity_add(capacity_account *r, id model, id adapter) {
  if (item_of(r, model, adapter))
    return;
  capacity_item item = { model, adapter, 0, false };
  g_array_append_val(r->items, item);
}

void capacity_order_accepted(capacity_account *r, bool load, id model, id adapter, time_us now) {
  if (!r->is_known)
    return;
  capacity_item *item = item_of(r, model, adapter);
  if (load ? item != NULL : item && item->unloading)
    return;
  if (!load && !item) {
    /* the engine has something to unload that the account does not show */
    capacity_forget(r, now);
    return;
  }
  r->order_count++;
  r->changed_at = now;
  if (load)
    capacity_add(r, model, adapter);
  else
    item->unloading = true;
}

void capacity_remove(capacity_account *r, id model, id adapter) {
  for (guint k = r->items->len; k-- > 0;) {
    capacity_item *item = &g_array_index(r->items, capacity_item, k);
    if (id_equal(item->model, model) && (id_is_empty(adapter) || id_equal(item->adapter, adapter)))
      g_array_remove_index_fast(r->items, k);
  }
}

bool capacity_contains(const capacity_account *r, id model, id adapter) {
  return item_of(r, model, adapter) != NULL;
}

void capacity_used(capacity_account *r, const service *service, double *mb, unsigned *slots) {
  *mb = 0;
  *slots = 0;
  for (guint k = 0; k < r->items->len; k++) {
    capacity_item *item = &g_array_index(r->items, capacity_item, k);
    const service_model_spec *m = service_find_model(service, item->model.text);
    bool base = id_equal(item->adapter, no_adapter);
    if (m)
      item->mb = base ? m->weights_mb : m->adapter_mb;
    *mb += item->mb;
    *slots += !base;
  }
}
