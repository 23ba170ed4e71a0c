/** Capacity account of one engine; see capacity_account.h. The items are in a plain array, since an
 * engine holds only some tens of them. */
#include "capacity_account.h"

void capacity_account_init(capacity_account *account) {
  *account = (capacity_account){ 0 };
  account->items = g_array_new(FALSE, TRUE, sizeof(capacity_item));
}

void capacity_account_free(capacity_account *account) {
  g_array_free(account->items, TRUE);
  account->items = NULL;
}

void capacity_account_discard(capacity_account *account, time_us now) {
  account->is_known = false;
  account->changed_at = now;
  g_array_set_size(account->items, 0);
}

bool capacity_account_covered_by_report(const capacity_account *account, time_us requested_at,
                                        time_us lag) {
  return time_reached(requested_at, time_add(account->changed_at, lag));
}

void capacity_account_reset(capacity_account *account, uint64_t order_count) {
  account->is_known = true;
  account->order_count = order_count;
  g_array_set_size(account->items, 0);
}

static capacity_item *item_at(const capacity_account *account, guint index) {
  return &g_array_index(account->items, capacity_item, index);
}

static capacity_item *item_of(const capacity_account *account, id model, id adapter) {
  for (guint i = 0; i < account->items->len; i++) {
    capacity_item *item = item_at(account, i);
    if (id_equal(item->model, model) && id_equal(item->adapter, adapter))
      return item;
  }
  return NULL;
}

void capacity_account_add(capacity_account *account, id model, id adapter) {
  if (item_of(account, model, adapter))
    return;
  capacity_item item = { model, adapter, 0, false };
  g_array_append_val(account->items, item);
}

void capacity_account_order_accepted(capacity_account *account, bool load, id model, id adapter,
                                     time_us now) {
  if (!account->is_known)
    return;
  capacity_item *item = item_of(account, model, adapter);
  bool under_way = load ? item != NULL : item && item->unloading;
  if (under_way)
    return;
  if (!load && !item) {
    /* the engine unloads something that the account doesn't contain, so the account is wrong */
    capacity_account_discard(account, now);
    return;
  }
  account->order_count++;
  account->changed_at = now;
  if (load)
    capacity_account_add(account, model, adapter);
  else
    item->unloading = true;
}

void capacity_account_remove(capacity_account *account, id model, id adapter) {
  for (guint i = account->items->len; i-- > 0;) {
    const capacity_item *item = item_at(account, i);
    if (id_equal(item->model, model) && (id_is_empty(adapter) || id_equal(item->adapter, adapter)))
      g_array_remove_index_fast(account->items, i);
  }
}

bool capacity_account_contains(const capacity_account *account, id model, id adapter) {
  return item_of(account, model, adapter) != NULL;
}

void capacity_account_used(capacity_account *account, const service *service, double *mb,
                           unsigned *slots) {
  *mb = 0;
  *slots = 0;
  for (guint i = 0; i < account->items->len; i++) {
    capacity_item *item = item_at(account, i);
    const service_model_spec *spec = service_find_model(service, item->model.text);
    bool is_base = id_is_empty(item->adapter);
    if (spec)
      item->mb = is_base ? spec->weights_mb : spec->adapter_mb;
    *mb += item->mb;
    *slots += !is_base;
  }
}
