#ifndef EMULATOR_SIM_H
#define EMULATOR_SIM_H
#include "controller.h"
#include "simulators.h"
#include "router.h"

enum host_role {
  HOST_CONTROLLER,
  HOST_ROUTER,
  HOST_ENGINE,
  HOST_PLATFORM,
  HOST_CALLERS,
  HOST_OTHER
};
enum { SIM_DISK_FILES_MAX = 8 };

typedef struct sim sim;
typedef struct event event;
/** A write that no sync has yet made last. */
typedef struct {
  unsigned file;
  size_t offset, length;
  char *data;
} unsynced_write;
/** A disk that outlives the processes on it. */
typedef struct sim_disk {
  char *cached_data[SIM_DISK_FILES_MAX], *durable_data[SIM_DISK_FILES_MAX];
  size_t size;
  GArray *unsynced_writes;
  int64_t sync_delay_ms;
  time_us stalled_until;
  bool full, fails;
  /** A loss of power takes or leaves by itself each file whose making was not waited for, and each
   * sector of a write that was not synced. */
  bool tears_writes, creation_synced[SIM_DISK_FILES_MAX];
} sim_disk;
/** A machine with one process, or none. */
typedef struct host {
  world world;
  sim *sim;
  list_node link;
  id self, area;
  char addr[48];
  enum host_role role;
  settings settings;
  sim_disk *disk;
  bool alive, frozen, powered_off, reads_slowly;
  /** How much later than usual messages between processes are read here, in ms. */
  int64_t read_delay_ms;
  uint64_t incarnation;
  time_us next_wake_at;
  list_node inbox;
  int64_t wall_clock_offset_us;
  controller *controller;
  router *router;
  engine_sim *engine;
  platform_sim *platform;
  loadgen *loadgen;
  GPtrArray *past_engines;
  uint64_t weights_mb;
  unsigned slots;
  engine_faults faults;
  uint64_t config_version_seen, random_state;
  /** Until when what this machine sent to its peers keeps its link busy. */
  time_us link_busy_until;
  /** Called at the end of a start, in the middle of an end once no task is left, and when the host
   * goes for good. */
  void (*on_start)(struct host *host), (*on_stop)(struct host *host),
      (*on_dispose)(struct host *host);
  void *context;
  /** Idle channels that this process keeps. */
  list_node pooled_connections;
} host;

/** A fleet in memory under virtual time; the same seed gives the same run. */
struct sim {
  time_us now;
  uint64_t random_state, steps;
  GSequence *events;
  list_node hosts, connections, listeners, channels, exchanges;
  uint64_t event_sequence;
  GHashTable *partitions, *last_arrivals;
  double loss_ratio;
  int64_t delay_ms, jitter_ms;
  /** Peers' channels behave like TCP behind a cut (see peer_channel.h); else what is sent into a
   * cut is lost and nothing else. peer_timeout_ms is the bound of a channel without
   * acknowledgements. */
  bool tcp_channels;
  int64_t peer_timeout_ms;
  GHashTable *peer_channels;
  time_us healed_at;
  /** What the link of a machine takes of messages to peers; 0: no bound. */
  int64_t bytes_per_s;
  bool log_to_stderr;
  uint64_t messages_sent, bytes_sent;
  void (*on_sample)(sim *sim, void *ctx);
  void *on_sample_context;
  time_us next_sample_at;
};

sim *sim_new(uint64_t seed);
void sim_free(sim *sim);
host *sim_add_host(sim *sim, enum host_role what, const char *self, const char *area,
                   const char *addr);
host *sim_find_host(sim *sim, const char *self);
/** Runs virtual time forward. */
void sim_run(sim *sim, time_us span);
/** Runs until something holds, or a span passes; says whether it holds. */
bool sim_run_until(sim *s, bool (*test)(sim *s, void *ctx), void *ctx, time_us span);
uint64_t sim_random(sim *sim, uint64_t n);

void host_start(host *host);
/** Ends a process at once; its disk cache stays. */
void host_kill(host *host);
/** Takes the power away: unsynced writes are lost, torn or kept by chance, and nobody is told. */
void host_power_off(host *host);
void host_freeze(host *host);
void host_unfreeze(host *host);
/** Gives a machine an empty disk. */
void host_wipe_disk(host *host);
/** Runs something at an instant, whatever the hosts do; what is left when the sim goes is not run.
 */
void sim_schedule(sim *sim, time_us at, void (*fn)(void *), void *arg);
/** True when the way from a to b is cut. */
bool sim_is_partitioned(sim *sim, host *a, host *b);
/** The time that one message takes, drawn. */
time_us sim_draw_message_delay(sim *sim);
/** Puts an answer that nobody asked for, or bytes that are none (status 0), on a request's channel,
 * before its answer or after it. */
void sim_send_stray_response(http_request *request, int status, const fields *fields,
                             string_view body);
/** Cuts, or mends, one direction between two machines; NULL stands for all others. */
void sim_set_partition(sim *sim, const char *from, const char *to, bool cut);
/** Cuts or mends both directions. */
void sim_set_partition_both_ways(sim *sim, const char *a, const char *b, bool cut);
void sim_heal_partitions(sim *sim);
#endif
