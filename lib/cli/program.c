/** Functions that the programs' main functions share. See program.h. */
#include "program.h"
#include "args.h"
#include <stdarg.h>
#include <stdio.h>

void program_error(const char *program, const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  fprintf(stderr, "%s: ", program);
  vfprintf(stderr, format, arguments);
  fputc('\n', stderr);
  va_end(arguments);
}

void program_report_error(const char *program, const error *err) {
  program_error(program, "%s (code %d)", err->text, err->code);
}

GString *program_read_file(const char *path) {
  gchar *content = NULL;
  gsize length = 0;
  if (!g_file_get_contents(path, &content, &length, NULL))
    return NULL;
  GString *text = g_string_new_len(content, (gssize)length);
  g_free(content);
  return text;
}

world *program_client_world(const char *program, const real_settings *settings) {
  error err = { 0 };
  world *world = real_world_new(settings, &err);
  if (!world)
    program_report_error(program, &err);
  return world;
}

world *program_listener_world(const char *program, const char *listen_address,
                              const real_settings *settings) {
  real_settings listening = *settings;
  address_split(listen_address, listening.ip, sizeof listening.ip, &listening.port);
  return program_client_world(program, &listening);
}

/** The argument of the task that waits for a service to stop. */
struct service_run {
  world *world;
  condition *stopped;
};

/** The task that ends the event loop once the service has stopped. */
static void wait_until_stopped(void *argument) {
  struct service_run *run = argument;
  condition_wait(&run->world->tasks, run->stopped, time_never());
  real_world_stop(run->world);
}

void program_run_service(world *world, condition *stopped, void (*drain)(void *service),
                         void *service) {
  struct service_run run = { world, stopped };
  task_start(&world->tasks, "over", wait_until_stopped, &run);
  real_world_run(world, drain, service);
}
