#ifndef CONFIGURATION_SETTINGS_H
#define CONFIGURATION_SETTINGS_H
/**
 * The settings of one process: its identity, the addresses at which it listens, and the size of its
 * fleet. They are read once, at the start, from a JSON file and from the command line, and do not
 * change while the process runs. What changes at run time is configuration (config.h).
 *
 * The keys of the file are a public interface: a key keeps its name when a field is renamed ("area"
 * sets zone, "copies" sets write_replicas).
 */
#include "base.h"
#include "wire_version.h"

/** Bounds on the number of replicas in the chain of controllers. A fleet that asks for no fault
 * tolerance gets REPLICAS_MIN. */
enum { REPLICAS_MAX = 7, REPLICAS_MIN = 3 };
/** Buffer sizes for IP:PORT and for a path, including the final NUL. */
enum { ADDRESS_BYTES = 48, DATA_DIR_BYTES = 512 };
/** Every process has up to three seeds, and a fleet is bootstrapped by at most three founders. */
enum { SEEDS_MAX = 3, FOUNDERS_MAX = 3 };

/** The role of a process. The numbers go over the wire (NodeInfo.role). */
enum role { ROLE_CONTROLLER = 1, ROLE_ROUTER = 2 };

typedef struct settings {
  /** Name of the process, unique in the fleet, and its failure domain. */
  id self, zone;
  enum role role;
  /** Addresses are IP:PORT. platform_address (only for routers that are not gateways) serves the
   * list of engines. data_dir (controllers only) holds the write-ahead log. */
  char address[ADDRESS_BYTES], data_dir[DATA_DIR_BYTES], platform_address[ADDRESS_BYTES];
  /** Processes from which the membership table is requested at the start. */
  char seed_addresses[SEEDS_MAX][ADDRESS_BYTES];
  /** The controllers that bootstrap the fleet together, by name; empty: not given. */
  id founders[FOUNDERS_MAX];
  /** Size of one file of the write-ahead log; 0: the default of wal.c. */
  size_t log_file_bytes;
  bool debug_log, json_log;
  /** The wire version to write; 0: WIRE_VERSION_CURRENT. For rolling upgrades of a fleet. */
  unsigned wire_version;
  /** A router that is a gateway: engines register themselves, and no list is fetched. */
  bool is_gateway;
  /** Founders by address, if their names are not known: how many there are, and the addresses of
   * the others. Used only when a controller starts with an empty disk. */
  int founder_count;
  char founder_addresses[FOUNDERS_MAX][ADDRESS_BYTES];
  /** Replicas, and distinct zones, that must have synced a write before it is acknowledged; 0: two
   * replicas in two zones. */
  int write_replicas, write_zones;
  /** Members of the chain and voters; 0: three. */
  int chain_members;
  /** Relaxed timing: a write is acknowledged before routers have it, and routers that hear from no
   * controller go on serving. */
  bool relaxed_timing;
  /** Address of a controller's control listener, which accepts engines' heartbeats and the routing
   * of gateways; empty: none. */
  char control_address[ADDRESS_BYTES];
  /** Time from SIGTERM to SIGKILL, in ms; 0: not known. */
  int64_t shutdown_grace_ms;
} settings;

/** Reads a settings file into *settings, overriding present values. Unknown keys, invalid values
 * and keys of another role are rejected. OK, or one of E_SETTINGS_... with err set. */
enum error_code settings_read_file(settings *settings, enum role role, const char *path,
                                   error *err);
/** The same for a text; err names it as `source`. */
enum error_code settings_parse(settings *settings, enum role role, string_view text,
                               const char *source, error *err);
/** Checks settings as a whole: required ones are present, seeds and founders are distinct, the
 * chain has enough members for the write replicas, and the data folder is writable. OK, or
 * E_SETTINGS_... with err set. */
enum error_code settings_check(const settings *settings, error *err);
/** Sets the size of the chain, and the replicas and zones of a write, from the numbers of machines
 * and zones that may fail at the same time without loss of the control plane. */
void settings_set_fault_tolerance(settings *settings, int machines, int zones);
/** True for IP:PORT with a numeric IPv4 address and a port from 1 to 65535. */
bool address_is_valid(const char *text);
#endif
