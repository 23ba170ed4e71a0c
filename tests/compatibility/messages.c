/** Compatibility of messages: this version reads what processes of earlier versions send and store,
 * and they read what this one sends and stores.
 *
 * The golden files in tests/compatibility/ were written by an earlier version. They hold field
 * numbers, types and bytes, but no names of messages and fields, since names may change. For the
 * same reason the tests use only the descriptors of protobuf-c. After an intended addition of a
 * field, WRITE_GOLDEN=1 build/bin/tests NAME 1 rewrites a file. Lines that change or disappear mean
 * that old and new processes don't understand each other. */
#include "tests.h"
#include "wire.pb-c.h"
#include <stdio.h>
#include <stdlib.h>

enum { REPEATED_ITEMS = 2, GOLDEN_MESSAGES_MIN = 40 };

static const char MESSAGE_BYTES_FILE[] = "tests/compatibility/message-bytes.txt";
static const char MESSAGE_FIELDS_FILE[] = "tests/compatibility/message-fields.txt";

/** A message that is sent or stored by itself; its label is the key in the golden files. */
typedef struct root_message {
  const char *label;
  const ProtobufCMessageDescriptor *descriptor;
} root_message;

static const root_message envelope_root = { "envelope", &wire__envelope__descriptor };
static const root_message stored_roots[] = {
  { "op", &wire__operation__descriptor },        { "digest", &wire__state_snapshot__descriptor },
  { "vote", &wire__acceptor_state__descriptor }, { "view", &wire__view__descriptor },
  { "record", &wire__record__descriptor },
};

static ProtobufCMessage *filled_message(const ProtobufCMessageDescriptor *descriptor, unsigned body,
                                        uint64_t seed);

/* A value that differs for each field of each message, and for each item of a repeated field. */
static uint64_t field_seed(uint64_t seed, const ProtobufCFieldDescriptor *field, size_t item) {
  uint64_t parts[] = { seed, field->id, item };
  return hash_bytes(parts, sizeof parts, 0);
}

static ProtobufCBinaryData filled_bytes(uint64_t value) {
  ProtobufCBinaryData bytes = { .len = sizeof value, .data = malloc(sizeof value) };
  for (size_t i = 0; i < sizeof value; i++)
    bytes.data[i] = (uint8_t)(value >> (8 * i));
  return bytes;
}

static char *filled_string(uint64_t value) {
  char *text = malloc(20);
  snprintf(text, 20, "s%" PRIx64, value);
  return text;
}

/* Writes a value of a field's type to the field's place in the struct of the message. */
static void fill_value(void *to, const ProtobufCFieldDescriptor *field, uint64_t value) {
  switch (field->type) {
  case PROTOBUF_C_TYPE_BOOL:
    *(protobuf_c_boolean *)to = 1;
    break;
  case PROTOBUF_C_TYPE_UINT32:
  case PROTOBUF_C_TYPE_FIXED32:
    *(uint32_t *)to = (uint32_t)value;
    break;
  case PROTOBUF_C_TYPE_UINT64:
  case PROTOBUF_C_TYPE_FIXED64:
    *(uint64_t *)to = value;
    break;
  case PROTOBUF_C_TYPE_STRING:
    *(char **)to = filled_string(value);
    break;
  case PROTOBUF_C_TYPE_BYTES:
    *(ProtobufCBinaryData *)to = filled_bytes(value);
    break;
  case PROTOBUF_C_TYPE_MESSAGE:
    *(ProtobufCMessage **)to = filled_message(field->descriptor, 0, value);
    break;
  default:
    fprintf(stderr, "  the test has no value for field type %d\n", (int)field->type);
    abort();
  }
}

static size_t size_of_value(const ProtobufCFieldDescriptor *field) {
  switch (field->type) {
  case PROTOBUF_C_TYPE_BOOL:
    return sizeof(protobuf_c_boolean);
  case PROTOBUF_C_TYPE_UINT32:
  case PROTOBUF_C_TYPE_FIXED32:
    return sizeof(uint32_t);
  case PROTOBUF_C_TYPE_BYTES:
    return sizeof(ProtobufCBinaryData);
  default:
    return sizeof(uint64_t);
  }
}

static void fill_repeated(ProtobufCMessage *message, const ProtobufCFieldDescriptor *field,
                          uint64_t seed) {
  size_t size = size_of_value(field);
  char *items = calloc(REPEATED_ITEMS, size);
  for (size_t i = 0; i < REPEATED_ITEMS; i++)
    fill_value(items + i * size, field, field_seed(seed, field, i));
  *(size_t *)((char *)message + field->quantifier_offset) = REPEATED_ITEMS;
  *(char **)((char *)message + field->offset) = items;
}

static void fill_field(ProtobufCMessage *message, const ProtobufCFieldDescriptor *field,
                       uint64_t seed) {
  if (field->label == PROTOBUF_C_LABEL_REPEATED) {
    fill_repeated(message, field, seed);
    return;
  }
  fill_value((char *)message + field->offset, field, field_seed(seed, field, 0));
  if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
    *(uint32_t *)((char *)message + field->quantifier_offset) = field->id;
}

static bool is_alternative(const ProtobufCFieldDescriptor *field) {
  return field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF;
}

/* Creates a message with every field set; of the alternatives of a oneof only number `body`. */
static ProtobufCMessage *filled_message(const ProtobufCMessageDescriptor *descriptor, unsigned body,
                                        uint64_t seed) {
  ProtobufCMessage *message = calloc(1, descriptor->sizeof_message);
  protobuf_c_message_init(descriptor, message);
  for (unsigned i = 0; i < descriptor->n_fields; i++) {
    const ProtobufCFieldDescriptor *field = &descriptor->fields[i];
    if (!is_alternative(field) || field->id == body)
      fill_field(message, field, seed);
  }
  return message;
}

static void append_hex(GString *to, const GByteArray *bytes) {
  for (guint i = 0; i < bytes->len; i++)
    g_string_append_printf(to, "%02x", bytes->data[i]);
}

static GByteArray *packed_bytes(const ProtobufCMessage *message) {
  GByteArray *bytes = g_byte_array_new();
  g_byte_array_set_size(bytes, (guint)protobuf_c_message_get_packed_size(message));
  protobuf_c_message_pack(message, bytes->data);
  return bytes;
}

/* Appends one line of the file of bytes: label, field number of the body (0: none), bytes. */
static void append_message_line(GString *to, const root_message *root, unsigned body) {
  ProtobufCMessage *message = filled_message(root->descriptor, body, body);
  GByteArray *bytes = packed_bytes(message);
  g_string_append_printf(to, "%s %u ", root->label, body);
  append_hex(to, bytes);
  g_string_append_c(to, '\n');
  g_byte_array_free(bytes, TRUE);
  protobuf_c_message_free_unpacked(message, NULL);
}

static GString *all_message_lines(void) {
  GString *lines = g_string_new(NULL);
  const ProtobufCMessageDescriptor *envelope = envelope_root.descriptor;
  for (unsigned i = 0; i < envelope->n_fields; i++)
    if (is_alternative(&envelope->fields[i]))
      append_message_line(lines, &envelope_root, envelope->fields[i].id);
  for (size_t i = 0; i < G_N_ELEMENTS(stored_roots); i++)
    append_message_line(lines, &stored_roots[i], 0);
  return lines;
}

static const char *type_name(ProtobufCType type) {
  switch (type) {
  case PROTOBUF_C_TYPE_BOOL:
    return "bool";
  case PROTOBUF_C_TYPE_UINT32:
    return "uint32";
  case PROTOBUF_C_TYPE_FIXED32:
    return "fixed32";
  case PROTOBUF_C_TYPE_UINT64:
    return "uint64";
  case PROTOBUF_C_TYPE_FIXED64:
    return "fixed64";
  case PROTOBUF_C_TYPE_STRING:
    return "string";
  case PROTOBUF_C_TYPE_BYTES:
    return "bytes";
  case PROTOBUF_C_TYPE_MESSAGE:
    return "message";
  default:
    return "other";
  }
}

/* Appends a line for each field that can be reached from a message: the path of field numbers, the
 * type, and the label. */
static void append_field_lines(GString *to, const char *path,
                               const ProtobufCMessageDescriptor *descriptor) {
  for (unsigned i = 0; i < descriptor->n_fields; i++) {
    const ProtobufCFieldDescriptor *field = &descriptor->fields[i];
    char *field_path = g_strdup_printf("%s/%u", path, field->id);
    g_string_append_printf(to, "%s %s%s%s%s\n", field_path, type_name(field->type),
                           field->label == PROTOBUF_C_LABEL_REPEATED ? " repeated" : "",
                           field->flags & PROTOBUF_C_FIELD_FLAG_PACKED ? " packed" : "",
                           is_alternative(field) ? " oneof" : "");
    if (field->type == PROTOBUF_C_TYPE_MESSAGE)
      append_field_lines(to, field_path, field->descriptor);
    g_free(field_path);
  }
}

static GString *all_field_lines(void) {
  GString *lines = g_string_new(NULL);
  append_field_lines(lines, envelope_root.label, envelope_root.descriptor);
  for (size_t i = 0; i < G_N_ELEMENTS(stored_roots); i++)
    append_field_lines(lines, stored_roots[i].label, stored_roots[i].descriptor);
  return lines;
}

static void report_line(fleet *fleet, const char *file, const char *what, const char *line) {
  fleet_add_violation(fleet, "%s: %s: %.120s", file, what, line);
}

/* Reports each line of `lines` that `others` lacks. */
static void report_missing_lines(fleet *fleet, const char *file, const char *lines,
                                 const char *others, const char *what) {
  GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
  char **all = g_strsplit(lines, "\n", -1);
  char **other = g_strsplit(others, "\n", -1);
  for (char **line = other; *line; line++)
    g_hash_table_add(known, *line);
  for (char **line = all; *line; line++)
    if (!g_hash_table_contains(known, *line))
      report_line(fleet, file, what, *line);
  g_hash_table_destroy(known);
  g_strfreev(all);
  g_strfreev(other);
}

static char *read_golden_file(fleet *fleet, const char *file) {
  char *text = NULL;
  if (!g_file_get_contents(file, &text, NULL, NULL))
    fleet_add_violation(fleet, "%s can't be read; run the tests in the repository's root", file);
  return text;
}

/* Compares a text with its golden file. With WRITE_GOLDEN it writes the file first. */
static void compare_with_golden_file(fleet *fleet, const char *file, const GString *current) {
  if (g_getenv("WRITE_GOLDEN"))
    g_file_set_contents(file, current->str, (gssize)current->len, NULL);
  char *golden = read_golden_file(fleet, file);
  if (golden) {
    report_missing_lines(fleet, file, golden, current->str, "missing in this version");
    report_missing_lines(fleet, file, current->str, golden, "new or changed in this version");
  }
  if (golden && strcmp(golden, current->str))
    fleet_add_violation(fleet, "%s differs from the output of this version", file);
  g_free(golden);
}

static bool messages_keep_their_bytes(fleet *fleet) {
  GString *lines = all_message_lines();
  compare_with_golden_file(fleet, MESSAGE_BYTES_FILE, lines);
  g_string_free(lines, TRUE);
  return true;
}

static bool messages_keep_their_fields(fleet *fleet) {
  GString *lines = all_field_lines();
  compare_with_golden_file(fleet, MESSAGE_FIELDS_FILE, lines);
  g_string_free(lines, TRUE);
  return true;
}

static const ProtobufCMessageDescriptor *descriptor_of_label(const char *label) {
  if (!strcmp(label, envelope_root.label))
    return envelope_root.descriptor;
  for (size_t i = 0; i < G_N_ELEMENTS(stored_roots); i++)
    if (!strcmp(label, stored_roots[i].label))
      return stored_roots[i].descriptor;
  return NULL;
}

static GByteArray *bytes_of_hex(const char *hex) {
  GByteArray *bytes = g_byte_array_new();
  for (; g_ascii_isxdigit(hex[0]) && g_ascii_isxdigit(hex[1]); hex += 2) {
    guint8 byte = (guint8)(g_ascii_xdigit_value(hex[0]) * 16 + g_ascii_xdigit_value(hex[1]));
    g_byte_array_append(bytes, &byte, 1);
  }
  return bytes;
}

/* Finds the messages that a field holds (none, one, or several in a repeated field), and returns
 * their number. */
static size_t messages_of_field(const ProtobufCMessage *message,
                                const ProtobufCFieldDescriptor *field,
                                ProtobufCMessage *const **items) {
  const char *base = (const char *)message;
  *items = (ProtobufCMessage *const *)(base + field->offset);
  if (field->type != PROTOBUF_C_TYPE_MESSAGE)
    return 0;
  if (field->label == PROTOBUF_C_LABEL_REPEATED) {
    *items = *(ProtobufCMessage *const **)(base + field->offset);
    return *(const size_t *)(base + field->quantifier_offset);
  }
  if (is_alternative(field) && *(const uint32_t *)(base + field->quantifier_offset) != field->id)
    return 0;
  return **items ? 1 : 0;
}

/* True if this version knows every field that was received, also those of nested messages. */
static bool has_only_known_fields(const ProtobufCMessage *message) {
  if (message->n_unknown_fields)
    return false;
  for (unsigned i = 0; i < message->descriptor->n_fields; i++) {
    ProtobufCMessage *const *items;
    size_t count = messages_of_field(message, &message->descriptor->fields[i], &items);
    for (size_t k = 0; k < count; k++)
      if (!has_only_known_fields(items[k]))
        return false;
  }
  return true;
}

/* True if a message has no unknown fields and gives the same bytes when it is packed again. */
static bool is_read_completely(const ProtobufCMessageDescriptor *descriptor,
                               const GByteArray *bytes) {
  ProtobufCMessage *message = protobuf_c_message_unpack(descriptor, NULL, bytes->len, bytes->data);
  if (!message)
    return false;
  GByteArray *again = packed_bytes(message);
  bool same = again->len == bytes->len && !memcmp(again->data, bytes->data, bytes->len);
  same &= has_only_known_fields(message);
  g_byte_array_free(again, TRUE);
  protobuf_c_message_free_unpacked(message, NULL);
  return same;
}

static void read_golden_line(fleet *fleet, const char *line) {
  char **parts = g_strsplit(line, " ", 3);
  const ProtobufCMessageDescriptor *descriptor = descriptor_of_label(parts[0]);
  GByteArray *bytes = bytes_of_hex(g_strv_length(parts) == 3 ? parts[2] : "");
  if (!descriptor || !bytes->len || !is_read_completely(descriptor, bytes))
    report_line(fleet, MESSAGE_BYTES_FILE, "can't be read", line);
  g_byte_array_free(bytes, TRUE);
  g_strfreev(parts);
}

static bool earlier_messages_are_read(fleet *fleet) {
  char *golden = read_golden_file(fleet, MESSAGE_BYTES_FILE);
  char **lines = g_strsplit(golden ? golden : "", "\n", -1);
  int count = 0;
  for (char **line = lines; *line; line++) {
    if (!**line)
      continue;
    read_golden_line(fleet, *line);
    count++;
  }
  if (count < GOLDEN_MESSAGES_MIN)
    fleet_add_violation(fleet, "%s has only %d messages", MESSAGE_BYTES_FILE, count);
  g_strfreev(lines);
  g_free(golden);
  return true;
}

const test_case compatibility_tests[] = {
  { "messages_keep_their_bytes", messages_keep_their_bytes, 1, 1, 17 },
  { "messages_keep_their_fields", messages_keep_their_fields, 1, 1, 17 },
  { "earlier_messages_are_read", earlier_messages_are_read, 1, 1, 17 },
  { NULL, NULL, 0, 0, 0 }
};
