#include "accepted_changes.h"
#include "deployment.h"
#include "linearizability.h"
#include "tests.h"
#include <stdio.h>

/** Tests of the configuration as operators see it: conditional changes that are retried at any
 * controller after lost responses, while controllers fail. The resulting history must be
 * linearizable. */

enum {
  RESPONSE_TIMEOUT_MS = 1000,
  REDIRECTS_MAX = 2,
  OPERATORS_MAX = 8,
  CHANGE_TIMEOUT_MS = 12000,
  TEXT_MAX = 700
};

/** What the network between operator and controller does to a call. */
enum loss { LOSS_NONE, LOSS_REQUEST, LOSS_RESPONSE, LOSS_CALLER_LEAVES };

typedef struct run run;
/** A change with its text, so that an identical request can be sent again. */
typedef struct sent_change {
  uint64_t base, version;
  bool patch, valid;
  char text[TEXT_MAX];
  enum register_outcome last;
} sent_change;

typedef struct operator_task {
  run *run;
  int number;
} operator_task;

/** A test run: controllers, the operators' host, and the history of all attempts and reads. */
struct run {
  deployment *deployment;
  register_history *history;
  GArray *changes;
  GArray *addresses;
  /* shares, in percent, of calls whose request or response is lost, or whose caller leaves early */
  unsigned request_loss, response_loss, early_leave;
  uint64_t confirmed, refused, unclear;
  uint64_t current;
  int busy;
  bool stop;
  operator_task tasks[OPERATORS_MAX];
};

static uint64_t draw(run *run, uint64_t n) {
  return sim_random(run->deployment->sim, n);
}

static const char *address_of(run *run, size_t i) {
  return run->deployment->
  operator->controllers->pdata[i % run->deployment->operator->controllers->len];
}

/* Returns what an operator concludes from an HTTP status. */
static enum register_outcome answer_of(int status) {
  switch (status) {
  case 200:
    return REGISTER_OUTCOME_CONFIRMED;
  case 409:
  case 412:
    return REGISTER_OUTCOME_CONFLICT;
  case 400:
  case 413:
  case 422:
    return REGISTER_OUTCOME_INVALID;
  default:
    return REGISTER_OUTCOME_UNKNOWN;
  }
}

/* Calls a controller, and follows redirects. Returns the status; 0 when no response came in time.
 */
static int call_controller(run *run, const char *address, const dialect_path *endpoint,
                           const sent_change *change, GString *body, int64_t wait_ms) {
  world *world = run->deployment->operator->world;
  const dialect *dialect = run->deployment->operator->dialect;
  char to[64], path[128];
  int status = 0;
  g_strlcpy(to, address, sizeof to);
  g_strlcpy(path, endpoint->path, sizeof path);
  for (int hop = 0; hop <= REDIRECTS_MAX; hop++) {
    fields *fields = g_string_new(NULL);
    fields_add(fields, "Host", string_view_of(to));
    if (change)
      fields_add_format(fields, dialect->header_names[DF_BASE_VERSION], "%" PRIu64, change->base);
    http_call *call =
        http_call_open_pooled(world, to, endpoint->method, path, fields,
                              string_view_of(change ? change->text : ""), true, time_never());
    g_string_free(fields, TRUE);
    g_string_truncate(body, 0);
    int failed = http_call_read_all(call, body, time_add(world_now(world), time_from_ms(wait_ms)));
    status = failed ? 0 : call->status;
    string_view location = { "", 0 };
    char where[160] = "";
    if (status == 307 && fields_get(call->response_fields, "Location", &location))
      memcpy(where, location.data, MIN(location.length, sizeof where - 1));
    http_call_close(call);
    if (status != 307 || strncmp(where, "http://", 7))
      break;
    char *slash = strchr(where + 7, '/');
    g_strlcpy(path, slash ? slash : "/", sizeof path);
    if (slash)
      *slash = 0;
    g_strlcpy(to, where + 7, sizeof to);
  }
  return status;
}

/* Sends a change once, to one controller, and records the outcome. */
static enum register_outcome send_once(run *run, guint number, const char *address,
                                       enum loss loss) {
  world *world = run->deployment->operator->world;
  sent_change change = g_array_index(run->changes, sent_change, number);
  if (loss == LOSS_REQUEST) {
    world_sleep(world, time_from_ms(50));
    return REGISTER_OUTCOME_UNKNOWN;
  }
  GString *body = g_string_new(NULL);
  time_us called = world_now(world);
  /* a caller that leaves early gets no response; one whose response is lost waits until its timeout
   */
  int64_t wait_ms = loss == LOSS_CALLER_LEAVES ? 1 + (int64_t)draw(run, 60) : RESPONSE_TIMEOUT_MS;
  int status = call_controller(
      run, address,
      &run->deployment->operator->dialect->calls[change.patch ? DC_CONFIG_PATCH : DC_CONFIG_PUT],
      &change, body, wait_ms);
  enum register_outcome answer = loss == LOSS_NONE ? answer_of(status) : REGISTER_OUTCOME_UNKNOWN;
  register_history_add_attempt(run->history, number, (uint64_t)called.us,
                               (uint64_t)world_now(world).us, answer);
  g_array_index(run->changes, sent_change, number).last = answer;
  run->confirmed += answer == REGISTER_OUTCOME_CONFIRMED;
  run->refused += answer == REGISTER_OUTCOME_CONFLICT;
  run->unclear += answer == REGISTER_OUTCOME_UNKNOWN;
  if (answer == REGISTER_OUTCOME_CONFIRMED)
    run->current = MAX(run->current, change.version);
  g_string_free(body, TRUE);
  return answer;
}

static enum loss draw_loss(run *run) {
  uint64_t n = draw(run, 100);
  if (n < run->request_loss)
    return LOSS_REQUEST;
  n -= run->request_loss;
  if (n < run->response_loss)
    return LOSS_RESPONSE;
  n -= run->response_loss;
  return n < run->early_leave ? LOSS_CALLER_LEAVES : LOSS_NONE;
}

/* Writes the text of a change: a full configuration, or a patch of one item. Both have a mark with
 * the number of the change. An invalid change names a service that does not exist. */
static void write_text(sent_change *change, guint number) {
  static const char route[] =
      "{\"name\":\"r-mark\",\"host\":\"mark-%u.example\",\"prefix\":\"/mark/\",\"mode\":\"safe\","
      "\"timeoutMs\":4000,\"targetMs\":300,\"priority\":0,\"service\":\"%s\",\"attempts\":1}";
  char mark[300];
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  snprintf(mark, sizeof mark, route, number, change->valid ? "ledger" : "nobody");
#pragma GCC diagnostic pop
  if (change->patch)
    snprintf(change->text, sizeof change->text,
             "{\"version\":%" PRIu64 ",\"set\":{\"routes\":[%s]}}", change->version, mark);
  else
    snprintf(change->text, sizeof change->text,
             "{\"version\":%" PRIu64 ",\"routes\":[%s],\"services\":[{\"name\":\"ledger\","
             "\"health\":\"/health\",\"connectionsMost\":10,\"protocol\":\"h1\",\"tls\":false}],"
             "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,"
             "\"idleMs\":15000}}",
             change->version, mark);
}

static guint new_change(run *run, uint64_t base, uint64_t version, bool patch, bool valid) {
  guint number = register_history_add_write(run->history, base, version, valid);
  sent_change change = { .base = base, .version = version, .patch = patch, .valid = valid };
  write_text(&change, number);
  g_array_append_val(run->changes, change);
  return number;
}

/* Sends a change, and retries it until there is a clear response or the timeout has passed. */
static enum register_outcome send_until_clear(run *run, guint number, int64_t timeout_ms) {
  world *world = run->deployment->operator->world;
  time_us deadline = time_add(world_now(world), time_from_ms(timeout_ms));
  size_t controller_index = draw(run, run->deployment->operator->controllers->len);
  int64_t backoff_ms = 50;
  enum register_outcome answer = REGISTER_OUTCOME_UNKNOWN;
  while (answer == REGISTER_OUTCOME_UNKNOWN && !time_reached(world_now(world), deadline) &&
         !world->tasks.stopped) {
    answer = send_once(run, number, address_of(run, controller_index++), draw_loss(run));
    if (answer == REGISTER_OUTCOME_UNKNOWN && !world_sleep(world, time_from_ms(backoff_ms)))
      break;
    backoff_ms = MIN(backoff_ms * 2, 1000);
  }
  return answer;
}

/* Reads the configuration and records the change that made it. Returns false if there is none in
 * time. */
static bool read_once(run *run, const char *address, uint64_t *version) {
  world *world = run->deployment->operator->world;
  GString *body = g_string_new(NULL);
  time_us called = world_now(world);
  int status =
      call_controller(run, address, &run->deployment->operator->dialect->calls[DC_CONFIG_GET], NULL,
                      body, RESPONSE_TIMEOUT_MS);
  bool read = status == 200;
  if (read) {
    unsigned number = 0;
    const char *mark = strstr(body->str, "mark-");
    json *json = json_parse(string_view_of_gstring(body), NULL);
    *version = (uint64_t)json_number(json, "version", 0);
    json_free(json);
    if (!mark || sscanf(mark, "mark-%u", &number) != 1 || number >= run->changes->len)
      fleet_add_violation(run->deployment->fleet,
                          "a configuration that no change made was read: %.200s", body->str);
    else if (g_array_index(run->changes, sent_change, number).version != *version)
      fleet_add_violation(run->deployment->fleet,
                          "version %" PRIu64 " was read with the content of change %u", *version,
                          number);
    else
      register_history_add_read(run->history, number, (uint64_t)called.us,
                                (uint64_t)world_now(world).us);
  }
  g_string_free(body, TRUE);
  return read;
}

static bool read_until_clear(run *run, uint64_t *version, int64_t timeout_ms) {
  world *world = run->deployment->operator->world;
  time_us deadline = time_add(world_now(world), time_from_ms(timeout_ms));
  size_t controller_index = draw(run, run->deployment->operator->controllers->len);
  while (!time_reached(world_now(world), deadline) && !world->tasks.stopped) {
    if (read_once(run, address_of(run, controller_index++), version))
      return true;
    world_sleep(world, time_from_ms(150));
  }
  return false;
}

/* Task: an operator, who reads or remembers the current version, changes it, and sometimes sends
 * the same or an old change again. */
static void operator_run(void *p) {
  operator_task *task = p;
  run *run = task->run;
  world *world = run->deployment->operator->world;
  while (!run->stop && !world->tasks.stopped) {
    uint64_t base = run->current;
    if (base && !draw(run, 3) && !read_until_clear(run, &base, CHANGE_TIMEOUT_MS))
      continue;
    /* the step is small, so that two operators sometimes choose the same version */
    bool patch = base && draw(run, 2);
    guint number = new_change(run, base, base + 1 + draw(run, 2), patch, draw(run, 12) != 0);
    send_until_clear(run, number, CHANGE_TIMEOUT_MS);
    if (!draw(run, 4))
      for (size_t i = 0; i < run->deployment->operator->controllers->len; i++)
        send_once(run, number, address_of(run, i), LOSS_NONE);
    if (!draw(run, 8)) {
      guint old = (guint)draw(run, run->changes->len);
      send_once(run, old, address_of(run, draw(run, 8)), draw_loss(run));
    }
    if (!world_sleep(world, time_from_ms((int64_t)draw(run, 150))))
      break;
  }
  run->busy--;
}

static bool is_idle(sim *sim, void *p) {
  (void)sim;
  return !((run *)p)->busy;
}

typedef struct job {
  run *run;
  void (*work)(run *run, void *ctx);
  void *ctx;
} job;

static void job_run(void *p) {
  job *job = p;
  job->work(job->run, job->ctx);
  job->run->busy--;
}

/* Runs a function to completion as a task of the operators' host. */
static bool run_as_operator(run *r, void (*work)(run *r, void *ctx), void *ctx, int64_t ms) {
  job job = { r, work, ctx };
  r->busy++;
  task_start(&r->deployment->operator->world->tasks, "operator", job_run, &job);
  r->deployment->operator_host->next_wake_at = r->deployment->sim->now;
  if (sim_run_until(r->deployment->sim, is_idle, r, time_from_ms(ms)))
    return true;
  fleet_add_violation(r->deployment->fleet, "the operator's task did not end");
  host_kill(r->deployment->operator_host);
  return false;
}

static void write_first_configuration(run *run, void *ctx) {
  (void)ctx;
  guint number = new_change(run, 0, 1, false, true);
  if (send_until_clear(run, number, 20000) != REGISTER_OUTCOME_CONFIRMED)
    fleet_add_violation(run->deployment->fleet, "the first configuration was not accepted");
}

static host *add_controller(fleet *fleet) {
  char name[32], address[48];
  int n = fleet->controllers + 1;
  snprintf(name, sizeof name, "controller-%d", n);
  snprintf(address, sizeof address, "127.0.1.%d:7000", n);
  host *host = fleet->controller[fleet->controllers++] =
      sim_add_host(fleet->sim, HOST_CONTROLLER, name, zone_names[n % 3], address);
  host->settings = fleet->controller[0]->settings;
  host->settings.self = host->self;
  host->settings.zone = host->zone;
  g_strlcpy(host->settings.address, host->addr, sizeof host->settings.address);
  return host;
}

/* Starts a number of controllers, and the operators' host. */
static void run_start(run *run, fleet *fleet, int members) {
  memset(run, 0, sizeof *run);
  while (fleet->controllers < members)
    add_controller(fleet);
  for (int i = 0; i < fleet->controllers; i++) {
    fleet->controller[i]->settings.chain_members = members;
    fleet->controller[i]->settings.write_replicas = members / 2 + 1;
    fleet->controller[i]->settings.write_zones = 1;
  }
  run->deployment = deployment_new(fleet, 0, 0);
  run->history = register_history_new();
  run->changes = g_array_new(FALSE, TRUE, sizeof(sent_change));
  list_for_each (h, &fleet->sim->hosts, host, link)
    if (h->role == HOST_CONTROLLER || h == run->deployment->operator_host)
      host_start(h);
}

/* Like run_start, and also waits for the chain and writes a first configuration. */
static bool run_up(run *run, fleet *fleet, int members) {
  run_start(run, fleet, members);
  sim_run(fleet->sim, time_from_ms(2500));
  run_as_operator(run, write_first_configuration, NULL, 30000);
  return scenario_wait_for_chain(fleet, members, 20000) && !fleet->violations->len;
}

static void final_read(run *run, void *ctx) {
  (void)ctx;
  uint64_t version;
  for (int i = 0; i < 3; i++)
    if (!read_until_clear(run, &version, 20000))
      fleet_add_violation(run->deployment->fleet, "no controller returned the configuration");
}

/* Repairs all faults, reads the configuration, and checks the history. */
static bool run_done(run *run) {
  fleet *fleet = run->deployment->fleet;
  run->stop = true;
  run->request_loss = run->response_loss = run->early_leave = 0;
  scenario_heal_all(fleet);
  if (!sim_run_until(fleet->sim, is_idle, run, time_from_ms(60000)))
    fleet_add_violation(fleet, "the operators' tasks did not end");
  sim_run(fleet->sim, time_from_ms(3000));
  run_as_operator(run, final_read, NULL, 70000);
  GString *why = g_string_new(NULL);
  if (!register_history_check(run->history, why))
    fleet_add_violation(fleet, "%s", why->str);
  g_string_free(why, TRUE);
  if (getenv("ORDERS_LOUD"))
    fprintf(stderr,
            "changes %u, confirmed %" PRIu64 ", refused %" PRIu64 ", unclear %" PRIu64
            ", version %" PRIu64 "\n",
            run->changes->len, run->confirmed, run->refused, run->unclear, run->current);
  bool good = !fleet->violations->len;
  deployment_free(run->deployment);
  register_history_free(run->history);
  g_array_free(run->changes, TRUE);
  return good;
}

static void operators_start(run *run, int count) {
  for (int i = 0; i < count; i++) {
    run->tasks[i] = (operator_task){ run, i };
    run->busy++;
    task_start(&run->deployment->operator->world->tasks, "operator", operator_run, &run->tasks[i]);
  }
  run->deployment->operator_host->next_wake_at = run->deployment->sim->now;
}

/* fault injection */
static host *any_controller(run *run) {
  return run->deployment->fleet
      ->controller[draw(run, (uint64_t)run->deployment->fleet->controllers)];
}

static host *head_or_any(run *run) {
  host *host = fleet_find_head(run->deployment->fleet);
  return host ? host : any_controller(run);
}

static void isolate(run *run, host *isolated, bool one_way) {
  for (int i = 0; i < run->deployment->fleet->controllers; i++) {
    host *other = run->deployment->fleet->controller[i];
    if (other == isolated)
      continue;
    if (one_way)
      sim_set_partition(run->deployment->sim, isolated->self.text, other->self.text, true);
    else
      sim_set_partition_both_ways(run->deployment->sim, isolated->self.text, other->self.text,
                                  true);
  }
}

/* Returns true when a disk was lost: no other may be lost before it is replaced. */
static bool inject_fault(run *run) {
  fleet *fleet = run->deployment->fleet;
  host *host = draw(run, 3) ? head_or_any(run) : any_controller(run);
  switch (draw(run, 10)) {
  case 0:
    host_kill(host);
    break;
  case 1:
    host_power_off(host);
    break;
  case 2:
    host_freeze(host);
    break;
  case 3:
    isolate(run, host, false);
    break;
  case 4:
    isolate(run, host, true);
    break;
  case 5:
    for (int i = 0; i < fleet->controllers; i++)
      host_kill(fleet->controller[i]);
    break;
  case 6:
    for (int i = 0; i < fleet->controllers; i++)
      host_power_off(fleet->controller[i]);
    break;
  case 7:
    host->disk->stalled_until =
        time_add(fleet->sim->now, time_from_ms(1000 + (int64_t)draw(run, 3000)));
    break;
  case 8:
    fleet->sim->loss_ratio = 0.05 + 0.01 * (double)draw(run, 15);
    break;
  default:
    host_power_off(host);
    host_wipe_disk(host);
    return true;
  }
  return false;
}

static int draw_members(fleet *fleet) {
  return sim_random(fleet->sim, 2) ? 3 : 5;
}

static bool operators_under_faults(fleet *fleet, int members) {
  run r;
  if (!run_up(&r, fleet, members))
    return run_done(&r);
  r.request_loss = 10;
  r.response_loss = 30;
  r.early_leave = 15;
  operators_start(&r, 2 + (int)draw(&r, OPERATORS_MAX - 1));
  for (int i = 0; i < 6; i++) {
    sim_run(fleet->sim, time_from_ms(500 + (int64_t)draw(&r, 3000)));
    bool disk_lost = inject_fault(&r);
    sim_run(fleet->sim, time_from_ms((int64_t)draw(&r, 6000)));
    fleet->sim->loss_ratio = 0;
    scenario_heal_all(fleet);
    sim_run(fleet->sim, time_from_ms(2000));
    if (disk_lost)
      scenario_wait_for_chain(fleet, members, 40000);
  }
  return run_done(&r);
}

/* Two to eight operators make conditional changes, and some requests and responses are lost, while
 * controllers lose processes, links, disks and power. The history must be linearizable. */
static bool changes_race_on_three_faulty_controllers(fleet *fleet) {
  return operators_under_faults(fleet, 3);
}
static bool changes_race_on_five_faulty_controllers(fleet *fleet) {
  return operators_under_faults(fleet, 5);
}

static void reader_run(void *p) {
  operator_task *task = p;
  run *run = task->run;
  world *world = run->deployment->operator->world;
  uint64_t version;
  while (!run->stop && !world->tasks.stopped) {
    read_once(run, address_of(run, draw(run, 8)), &version);
    if (!world_sleep(world, time_from_ms((int64_t)draw(run, 4))))
      break;
  }
  run->busy--;
}

/* Controllers freeze, wake up and rejoin at the end of the chain, while operators write and read.
 * No read may return an older configuration than one confirmed before the read. */
static bool controllers_rejoin_during_reads(fleet *fleet) {
  run r;
  if (!run_up(&r, fleet, draw_members(fleet)))
    return run_done(&r);
  operators_start(&r, 2);
  for (int i = 2; i < OPERATORS_MAX; i++) {
    r.tasks[i] = (operator_task){ &r, i };
    r.busy++;
    task_start(&r.deployment->operator->world->tasks, "reader", reader_run, &r.tasks[i]);
  }
  for (int i = 0; i < 6; i++) {
    /* two of five at once: both join in one view, and the last one has a predecessor that has yet
       to catch up */
    for (int k = 0; k < (fleet->controllers == 5 ? 2 : 1); k++)
      host_freeze(any_controller(&r));
    sim_run(fleet->sim, time_from_ms(2500 + (int64_t)draw(&r, 1000)));
    scenario_heal_all(fleet);
    scenario_wait_for_chain(fleet, fleet->controllers, 20000);
  }
  return run_done(&r);
}

/* Two to eight operators all send a first configuration while the controllers are still forming the
 * first view. One of them must be accepted. */
static bool first_configurations_race(fleet *fleet) {
  run r;
  run_start(&r, fleet, draw_members(fleet));
  r.request_loss = 10;
  r.response_loss = 30;
  r.early_leave = 15;
  operators_start(&r, 2 + (int)draw(&r, OPERATORS_MAX - 1));
  sim_run(fleet->sim, time_from_ms(500 + (int64_t)draw(&r, 3000)));
  bool disk_lost = inject_fault(&r);
  sim_run(fleet->sim, time_from_ms((int64_t)draw(&r, 3000)));
  fleet->sim->loss_ratio = 0;
  scenario_heal_all(fleet);
  sim_run(fleet->sim, time_from_ms(20000));
  if (!r.current && !disk_lost)
    fleet_add_violation(fleet, "no first configuration was accepted");
  return run_done(&r);
}

/** Many changes that follow one whose response was lost. */
typedef struct long_history {
  guint changes;
  guint first, second;
} long_history;

static void change_many(run *run, void *ctx) {
  long_history *history = ctx;
  history->first = new_change(run, run->current, run->current + 1, true, true);
  send_once(run, history->first, address_of(run, 0), LOSS_RESPONSE);
  uint64_t base = run->current + 1;
  /* the first change was accepted: another one with the same base and new version is refused */
  history->second = new_change(run, run->current, base, false, true);
  if (send_until_clear(run, history->second, CHANGE_TIMEOUT_MS) != REGISTER_OUTCOME_CONFLICT)
    fleet_add_violation(run->deployment->fleet,
                        "another change that creates the same version was not refused");
  for (guint i = 0; i < history->changes; i++) {
    guint number = new_change(run, base + i, base + i + 1, i % 2 == 0, true);
    if (send_until_clear(run, number, CHANGE_TIMEOUT_MS) != REGISTER_OUTCOME_CONFIRMED) {
      fleet_add_violation(run->deployment->fleet, "change %u of %u was not accepted", i,
                          history->changes);
      return;
    }
  }
}

static void send_first_again(run *run, void *ctx) {
  long_history *history = ctx;
  for (size_t i = 0; i < run->deployment->operator->controllers->len; i++) {
    enum register_outcome answer = send_once(run, history->first, address_of(run, i), LOSS_NONE);
    if (answer != REGISTER_OUTCOME_CONFIRMED)
      fleet_add_violation(run->deployment->fleet,
                          "an accepted change got %d when it was sent again after %u others",
                          answer, history->changes);
    send_once(run, history->second, address_of(run, i), LOSS_NONE);
  }
}

/* Wipes the disk of the head, which comes back as the tail. */
static void replace_head_disk(fleet *fleet) {
  host *head = fleet_find_head(fleet);
  if (!head) {
    fleet_add_violation(fleet, "there is no head");
    return;
  }
  host_power_off(head);
  host_wipe_disk(head);
  sim_run(fleet->sim, time_from_ms(4000));
  host_start(head);
  scenario_wait_for_chain(fleet, 3, 20000);
}

static bool repeat_after(fleet *fleet, guint changes) {
  run r;
  long_history history = { .changes = changes };
  if (run_up(&r, fleet, 3) && run_as_operator(&r, change_many, &history, 4000000)) {
    run_as_operator(&r, send_first_again, &history, 30000);
    /* the change is still known after a power loss and restart of all controllers */
    for (int i = 0; i < fleet->controllers; i++)
      host_power_off(fleet->controller[i]);
    scenario_heal_all(fleet);
    sim_run(fleet->sim, time_from_ms(4000));
    run_as_operator(&r, send_first_again, &history, 30000);
    /* it is also known to heads that joined with an empty disk: each disk is wiped once */
    for (int i = 0; i < fleet->controllers; i++) {
      replace_head_disk(fleet);
      run_as_operator(&r, send_first_again, &history, 30000);
    }
  }
  return run_done(&r);
}

static bool a_change_is_repeated_after_hundreds(fleet *fleet) {
  return repeat_after(fleet, 700);
}
static bool a_change_is_repeated_after_thousands(fleet *fleet) {
  return repeat_after(fleet, 7300);
}

/* Sends a change again after more changes than the controllers keep. The response must leave its
 * outcome open, since it is unknown whether the change was accepted. */
static void send_forgotten(run *run, void *ctx) {
  long_history *history = ctx;
  for (size_t i = 0; i < run->deployment->operator->controllers->len; i++)
    for (int k = 0; k < 2; k++) {
      enum register_outcome a =
          send_once(run, k ? history->second : history->first, address_of(run, i), LOSS_NONE);
      if (a != REGISTER_OUTCOME_UNKNOWN)
        fleet_add_violation(run->deployment->fleet, "a forgotten change got %d", a);
    }
}

static bool a_forgotten_change_is_repeated(fleet *fleet) {
  run r;
  long_history history = { .changes =
                               ACCEPTED_CHANGES_MAX + ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE + 10 };
  if (run_up(&r, fleet, 3) && run_as_operator(&r, change_many, &history, 6000000))
    run_as_operator(&r, send_forgotten, &history, 30000);
  return run_done(&r);
}

/* The list of accepted changes is bounded, keeps the latest ones, and survives packing. */
static bool accepted_changes_are_bounded(fleet *fleet) {
  accepted_changes changes, copy;
  accepted_changes_init(&changes);
  accepted_changes_init(&copy);
  const uint64_t count = 30000;
  for (uint64_t i = 1; i <= count; i++) {
    accepted_changes_add(&changes, i * 3, i * 0x9e3779b97f4a7c15u, i * 2);
    uint64_t oldest = i > ACCEPTED_CHANGES_MAX ? i - ACCEPTED_CHANGES_MAX + 1 : 1;
    if (changes.all->len >= ACCEPTED_CHANGES_MAX + ACCEPTED_CHANGES_FORGOTTEN_AT_ONCE)
      fleet_add_violation(fleet, "%u changes are kept", changes.all->len);
    if (!accepted_changes_find(&changes, oldest * 3, oldest * 0x9e3779b97f4a7c15u) ||
        accepted_changes_may_include(&changes, oldest * 3))
      fleet_add_violation(fleet, "change %" PRIu64 " is forgotten after change %" PRIu64, oldest,
                          i);
    if (accepted_changes_find(&changes, i * 3, 1))
      fleet_add_violation(fleet, "another change of the same base version is found as accepted");
  }
  if (accepted_changes_find(&changes, 3, 0x9e3779b97f4a7c15u) ||
      !accepted_changes_may_include(&changes, 3))
    fleet_add_violation(
        fleet, "the first of %" PRIu64 " changes is not reported as possibly forgotten", count);
  Wire__AcceptedChanges message;
  accepted_changes_pack(&changes, &message);
  size_t size = wire__accepted_changes__get_packed_size(&message);
  accepted_changes_unpack(&copy, &message);
  if (size > accepted_changes_packed_size(&changes))
    fleet_add_violation(fleet, "%u changes take %zu bytes, more than the upper bound of %zu",
                        changes.all->len, size, accepted_changes_packed_size(&changes));
  if (copy.checksum != changes.checksum || copy.any_forgotten != changes.any_forgotten ||
      copy.forgotten_base != changes.forgotten_base || copy.all->len != changes.all->len ||
      memcmp(changes.all->data, copy.all->data, changes.all->len * sizeof(accepted_change)))
    fleet_add_violation(fleet, "the unpacked list differs from the packed one");
  if (getenv("ORDERS_LOUD"))
    fprintf(stderr, "%u changes, %zu bytes packed, %zu in memory\n", changes.all->len, size,
            changes.all->len * sizeof(accepted_change));
  accepted_changes_packed_free(&message);
  accepted_changes_copy(&copy, &changes);
  accepted_changes_add(&copy, count * 3 + 3, 7, count * 2 + 2);
  if (copy.checksum == changes.checksum)
    fleet_add_violation(fleet, "a copy with one more change has the same checksum");
  accepted_changes_free(&changes);
  accepted_changes_free(&copy);
  return !fleet->violations->len;
}

/* Sends a change to the cut head, which may write it to a suffix of its log that is lost later. */
static void write_at_cut_head(run *run, void *ctx) {
  const char *head = ctx;
  guint lost = new_change(run, run->current, run->current + 1, true, true);
  for (int i = 0; i < 40; i++) {
    enum register_outcome answer = send_once(run, lost, head, LOSS_NONE);
    if (answer != REGISTER_OUTCOME_UNKNOWN)
      break;
    world_sleep(run->deployment->operator->world, time_from_ms((int64_t)draw(run, 30)));
  }
}

typedef struct cut_head_task {
  run *run;
  char address[64];
} cut_head_task;

static void resend_task(void *p) {
  cut_head_task *task = p;
  write_at_cut_head(task->run, task->address);
  task->run->busy--;
}

static void winner_task(void *p) {
  cut_head_task *task = p;
  run *run = task->run;
  guint won = new_change(run, run->current, run->current + 1, false, true);
  for (int i = 0; i < 60; i++) {
    const char *to = address_of(run, draw(run, 8));
    if (strcmp(to, task->address) && send_once(run, won, to, LOSS_NONE) != REGISTER_OUTCOME_UNKNOWN)
      break;
    world_sleep(run->deployment->operator->world, time_from_ms(40));
  }
  run->busy--;
}

/* Sends another change of the same base version to the cut head. */
static void rival_task(void *p) {
  cut_head_task *task = p;
  run *run = task->run;
  guint rival = new_change(run, run->current, run->current + 1, true, true);
  world_sleep(run->deployment->operator->world, time_from_ms(20 + (int64_t)draw(run, 800)));
  send_once(run, rival, task->address, LOSS_NONE);
  run->busy--;
}

/* A head is cut off while its log has a suffix that no other controller has. Another change wins,
 * and the old head catches up. The old head must not confirm the change in its lost suffix. */
static bool an_uncommitted_suffix_is_lost(fleet *fleet) {
  run r;
  if (!run_up(&r, fleet, 3))
    return run_done(&r);
  for (int round = 0; round < 10 && !fleet->violations->len; round++) {
    scenario_wait_for_chain(fleet, 3, 20000);
    host *head = fleet_find_head(fleet);
    if (!head)
      continue;
    cut_head_task task = { &r, "" };
    g_strlcpy(task.address, head->addr, sizeof task.address);
    *strchr(task.address, ':') = 0;
    g_strlcat(task.address, ":8100", sizeof task.address);
    isolate(&r, head, draw(&r, 2));
    r.busy += 3;
    task_start(&r.deployment->operator->world->tasks, "again", resend_task, &task);
    task_start(&r.deployment->operator->world->tasks, "rival", rival_task, &task);
    task_start(&r.deployment->operator->world->tasks, "winner", winner_task, &task);
    r.deployment->operator_host->next_wake_at = fleet->sim->now;
    sim_run(fleet->sim, time_from_ms(1300 + (int64_t)draw(&r, 500)));
    scenario_heal_all(fleet);
    if (!sim_run_until(fleet->sim, is_idle, &r, time_from_ms(120000)))
      fleet_add_violation(fleet, "the operators' tasks did not end");
    run_as_operator(&r, final_read, NULL, 70000);
    for (guint i = 0; i < r.changes->len; i++)
      if (g_array_index(r.changes, sent_change, i).last == REGISTER_OUTCOME_CONFIRMED)
        r.current = MAX(r.current, g_array_index(r.changes, sent_change, i).version);
  }
  return run_done(&r);
}

/** One of eight concurrent changes, each based on the version that the one before it creates. */
typedef struct chained_change {
  run *run;
  guint number;
  time_us took;
} chained_change;

static void chained_run(void *p) {
  chained_change *change = p;
  run *run = change->run;
  world *world = run->deployment->operator->world;
  time_us sent = world_now(world);
  host *head = fleet_find_head(run->deployment->fleet);
  char address[64];
  g_strlcpy(address, head->addr, sizeof address);
  *strchr(address, ':') = 0;
  g_strlcat(address, ":8100", sizeof address);
  enum register_outcome answer = REGISTER_OUTCOME_UNKNOWN;
  for (int i = 0; i < 10 && answer == REGISTER_OUTCOME_UNKNOWN; i++) {
    answer = send_once(run, change->number, address, LOSS_NONE);
    if (answer == REGISTER_OUTCOME_UNKNOWN)
      world_sleep(world, time_from_ms(300));
  }
  if (answer != REGISTER_OUTCOME_CONFIRMED)
    fleet_add_violation(run->deployment->fleet, "change %u of eight concurrent changes got %d",
                        change->number, answer);
  change->took = time_sub(world_now(world), sent);
  run->busy--;
}

static bool eight_concurrent_changes_are_fast(fleet *fleet) {
  run r;
  if (!run_up(&r, fleet, 3))
    return run_done(&r);
  fleet->sim->delay_ms = 40;
  chained_change all[OPERATORS_MAX];
  uint64_t version = r.current;
  for (int i = 0; i < OPERATORS_MAX; i++) {
    all[i] = (chained_change){ &r, new_change(&r, version, version + 1, i % 2, true), { 0 } };
    version++;
    r.busy++;
    task_start(&r.deployment->operator->world->tasks, "chained", chained_run, &all[i]);
    r.deployment->operator_host->next_wake_at = fleet->sim->now;
    sim_run(fleet->sim, time_from_ms(12));
  }
  sim_run_until(fleet->sim, is_idle, &r, time_from_ms(30000));
  for (int i = 0; i < OPERATORS_MAX; i++)
    if (all[i].took.us > 600000)
      fleet_add_violation(fleet, "change %d of eight concurrent changes took %" PRId64 " ms", i,
                          (int64_t)all[i].took.us / 1000);
  fleet->sim->delay_ms = 1;
  return run_done(&r);
}

/* tests of the linearizability checker, without a fleet */
static void expect(fleet *fleet, register_history *history, bool good, const char *what) {
  GString *why = g_string_new(NULL);
  bool accepted = register_history_check(history, why);
  if (accepted != good)
    fleet_add_violation(fleet, "%s was %s: %s", what, accepted ? "accepted" : "rejected", why->str);
  g_string_free(why, TRUE);
  register_history_free(history);
}

static bool the_checker_accepts_good_histories(fleet *fleet) {
  register_history *h = register_history_new();
  guint a = register_history_add_write(h, 0, 1, true),
        b = register_history_add_write(h, 1, 2, true),
        c = register_history_add_write(h, 1, 2, true),
        d = register_history_add_write(h, 2, 5, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_UNKNOWN);
  register_history_add_attempt(h, a, 3, 4, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 5, 9, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, c, 5, 9, REGISTER_OUTCOME_CONFLICT);
  register_history_add_read(h, a, 5, 6);
  register_history_add_read(h, b, 6, 7);
  register_history_add_attempt(h, b, 10, 11, REGISTER_OUTCOME_CONFIRMED);
  /* no clear answer, but read later */
  register_history_add_attempt(h, d, 12, 13, REGISTER_OUTCOME_UNKNOWN);
  register_history_add_read(h, b, 14, 15);
  register_history_add_read(h, d, 16, 17);
  expect(fleet, h, true, "a good history");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  c = register_history_add_write(h, 1, 2, true);
  d = register_history_add_write(h, 2, 3, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_UNKNOWN);
  register_history_add_attempt(h, c, 3, 4, REGISTER_OUTCOME_UNKNOWN);
  register_history_add_attempt(h, d, 5, 6, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, true, "one of two changes without an answer");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 7, 9, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFLICT);
  expect(fleet, h, true, "a change of a base version that never existed");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 0, 4, false);
  register_history_add_attempt(h, b, 1, 2, REGISTER_OUTCOME_INVALID);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, true, "an invalid change that was refused");

  /* 800 versions with eight concurrent changes each; only for every second version one of them has
   * a clear answer */
  h = register_history_new();
  for (uint64_t v = 0; v < 800; v++)
    for (int i = 0; i < OPERATORS_MAX; i++) {
      guint n = register_history_add_write(h, v, v + 1, true);
      register_history_add_attempt(h, n, v * 10, v * 10 + 9,
                                   i       ? REGISTER_OUTCOME_UNKNOWN
                                   : v % 2 ? REGISTER_OUTCOME_CONFIRMED
                                           : REGISTER_OUTCOME_UNKNOWN);
    }
  expect(fleet, h, true, "a long history");
  return !fleet->violations->len;
}

static bool the_checker_rejects_bad_histories(fleet *fleet) {
  register_history *h = register_history_new();
  guint a = register_history_add_write(h, 0, 1, true),
        b = register_history_add_write(h, 1, 2, true),
        c = register_history_add_write(h, 1, 3, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, c, 5, 6, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, false, "two accepted changes of one base version");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 0, 1, true);
  register_history_add_attempt(h, a, 1, 9, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 1, 9, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, false, "two accepted changes that create one version");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_read(h, a, 5, 6);
  expect(fleet, h, false, "a stale read or a lost write");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 20, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_read(h, b, 4, 5);
  register_history_add_read(h, a, 6, 7);
  expect(fleet, h, false, "a read older than an earlier read");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFLICT);
  register_history_add_read(h, b, 5, 6);
  expect(fleet, h, false, "a refused change that is read");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFLICT);
  expect(fleet, h, false, "a refusal while the base version is current");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, a, 5, 6, REGISTER_OUTCOME_CONFLICT);
  expect(fleet, h, false, "an accepted change that is refused when sent again");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, true);
  c = register_history_add_write(h, 1, 2, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFLICT);
  register_history_add_attempt(h, c, 5, 6, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, false, "a refusal before the accepted change was sent");

  h = register_history_new();
  a = register_history_add_write(h, 0, 1, true);
  b = register_history_add_write(h, 1, 2, false);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  register_history_add_attempt(h, b, 3, 4, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, false, "an invalid change that was confirmed");

  h = register_history_new();
  a = register_history_add_write(h, 3, 4, true);
  register_history_add_attempt(h, a, 1, 2, REGISTER_OUTCOME_CONFIRMED);
  expect(fleet, h, false, "an accepted change of a base version that never existed");
  return !fleet->violations->len;
}

const test_case config_change_tests[] = {
  { "the_checker_accepts_good_histories", the_checker_accepts_good_histories, 0, 0, 10 },
  { "the_checker_rejects_bad_histories", the_checker_rejects_bad_histories, 0, 0, 10 },
  { "changes_race_on_three_faulty_controllers", changes_race_on_three_faulty_controllers, 0, 0,
    100 },
  { "changes_race_on_five_faulty_controllers", changes_race_on_five_faulty_controllers, 0, 0, 100 },
  { "a_change_is_repeated_after_hundreds", a_change_is_repeated_after_hundreds, 0, 0, 20 },
  { "a_change_is_repeated_after_thousands", a_change_is_repeated_after_thousands, 0, 0, 4 },
  { "controllers_rejoin_during_reads", controllers_rejoin_during_reads, 0, 0, 50 },
  { "first_configurations_race", first_configurations_race, 0, 0, 100 },
  { "a_forgotten_change_is_repeated", a_forgotten_change_is_repeated, 0, 0, 4 },
  { "accepted_changes_are_bounded", accepted_changes_are_bounded, 0, 0, 10 },
  { "an_uncommitted_suffix_is_lost", an_uncommitted_suffix_is_lost, 0, 0, 100 },
  { "eight_concurrent_changes_are_fast", eight_concurrent_changes_are_fast, 0, 0, 34 },
  { NULL, NULL, 0, 0, 0 }
};
