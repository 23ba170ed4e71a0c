/** The command doctor: prints the findings of lib/doctor as text or JSON. */
#include "commands.h"
#include "doctor.h"
#include <stdio.h>

static void print_as_json(const GArray *findings) {
  GString *text = g_string_new("[");
  for (guint i = 0; i < findings->len; i++) {
    const finding *found = &g_array_index(findings, finding, i);
    json_appendf(text, "%s{\"code\":%d,\"evidence\":", i ? "," : "", found->code);
    json_append_quoted(text, string_view_of(found->evidence));
    g_string_append(text, ",\"next\":");
    json_append_quoted(text, string_view_of(found->remedy));
    g_string_append_c(text, '}');
  }
  printf("%s]\n", text->str);
  g_string_free(text, TRUE);
}

static void print_as_text(const GArray *findings) {
  for (guint i = 0; i < findings->len; i++) {
    const finding *found = &g_array_index(findings, finding, i);
    printf("%d %s\n    %s\n", found->code, found->evidence, found->remedy);
  }
  if (!findings->len)
    printf("nothing found\n");
}

enum exit_code doctor_command_run(const struct command_context *context) {
  char **addresses = g_strsplit(context->options.addresses, ",", -1);
  GArray *findings = doctor_examine(context->world, addresses, (int)g_strv_length(addresses));
  if (context->options.json)
    print_as_json(findings);
  else
    print_as_text(findings);
  enum exit_code exit_code = findings->len ? EXIT_CODE_FAILED : EXIT_CODE_OK;
  g_array_free(findings, TRUE);
  g_strfreev(addresses);
  return exit_code;
}
