/** Packs operations, the contents of the chain's records. */
#include "operation_pack.h"

void operation_pack(const Wire__Operation *operation, GString *to) {
  g_string_set_size(to, wire__operation__get_packed_size(operation));
  wire__operation__pack(operation, (uint8_t *)to->str);
}

void operation_pack_resource(Wire__Operation *operation, enum resource_kind resource,
                             string_view text, GString *to) {
  Wire__Resource value = WIRE__RESOURCE__INIT;
  value.name = (char *)resource_names[resource];
  value.text.data = (uint8_t *)text.data;
  value.text.len = text.length;
  operation->resource = &value;
  operation_pack(operation, to);
  operation->resource = NULL;
}
