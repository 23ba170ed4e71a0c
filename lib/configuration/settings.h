#ifndef CONFIGURATION_SETTINGS_H
#define CONFIGURATION_SETTINGS_H
/**
 * The settings of one process: who it is, where it listens, and how its fleet is sized. They are
 * read once, at the start, from a JSON file and from the command line, and never change while the
 * process runs. What changes at run time is configuration (config.h).
 *
 * Keys of the file are an interface: a key keeps its name when a field is renamed ("area" sets
 * zone, "copies" sets write_replicas).
 */
#include "base.h"
#include "wire_version.h"

/** Bounds on the number of replicas in the chain of controllers. REPLICAS_MIN is what a fleet
 * without any demand on fault tolerance gets. */
enum { REPLICAS_MAX = 7, REPLICAS_MIN = 3 };
/** Sizes of the fields below: IP:PORT and a path, each with its final NUL. */
enum { ADDRESS_BYTES = 48, DATA_DIR_BYTES = 512 };
/** Every process is given three seeds, and a fleet is bootstrapped by at most three founders. */
enum { SEEDS_MAX = 3, FOUNDERS_MAX = 3 };

/** What a process is. The numbers go over the wire (NodeInfo.role). */
enum role { ROLE_CONTROLLER = 1, ROLE_ROUTER = 2 };

typedef struct settings {
  /** Name of the process, unique in the fleet, and its failure domain. */
  id self, zone;
  enum role role;
  /** Addresses are IP:PORT. platform_address (routers that are no gateways only) is where the list
   * of engines is fetched. data_dir (controllers only) holds the write-ahead log. */
  char address[ADDRESS_BYTES], data_dir[DATA_DIR_BYTES], platform_address[ADDRESS_BYTES];
  /** Processes that are asked for the membership table at the start. */
  char seed_addresses[SEEDS_MAX][ADDRESS_BYTES];
  /** The controllers that bootstrap the fleet together, by name; empty ids: not given. */
  id founders[FOUNDERS_MAX];
  /** Size of one of the log's files; 0: the default of wal.c. */
  size_t log_file_bytes;
  bool debug_log, json_log;
  /** The wire version to write; 0: WIRE_VERSION_CURRENT. For upgrades of a fleet in steps. */
  unsigned wire_version;
  /** A router that is a gateway: engines register themselves, and no list is fetched. */
  bool is_gateway;
  /** Founders by address, where their names are not known: how many there are, and the addresses of
   * the others. Looked at only when a controller starts with an empty disk. */
  int founder_count;
  char founder_addresses[FOUNDERS_MAX][ADDRESS_BYTES];
  /** Replicas, and distinct zones, that must have synced a write before it is acknowledged; 0: two
   * replicas in two zones. */
  int write_replicas, write_zones;
  /** Members of the chain and voters; 0: three. */
  int chain_members;
  /** A write is acknowledged before routers have it, and routers that hear from no controller go on
   * serving. */
  bool relaxed;
  /** Where a controller takes engines' heartbeats and the operator's configuration; empty: nowhere.
   */
  char control_address[ADDRESS_BYTES];
  /** Time from SIGTERM to SIGKILL, in ms; 0: not known. */
  int64_t shutdown_grace_ms;
} settings;

/** Reads a settings file into *settings, on top of what is there. Unknown keys, bad values and
 * keys of another role are refused. OK, or one of E_SETTINGS_... with err set. */
enum error_code settings_read_file(settings *settings, enum role role, const char *path,
                                   error *err);
/** The same for a text; where names it in err. */
enum error_code settings_parse(settings *settings, enum role role, string_view text,
                               const char *where, error *err);
/** Checks settings as a whole: what is required is there, seeds and founders are distinct, write
 * replicas fit the chain, and the data folder can be written. OK, or E_SETTINGS_... with err set.
 */
enum error_code settings_check(const settings *settings, error *err);
/** Sizes the chain and the replicas and zones of a write for the number of machines, and of zones,
 * that may be lost at the same time without losing the control plane. */
void settings_set_fault_tolerance(settings *settings, int machines, int zones);
/** True for IP:PORT with a numeric IPv4 address and a port from 1 to 65535. */
bool address_is_valid(const char *s);
#endif
