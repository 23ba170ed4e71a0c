#ifndef CONTROLPLANE_WAL_RECOVERY_H
#define CONTROLPLANE_WAL_RECOVERY_H
/** Recovery of the write-ahead log at the start of a process. */
#include "wal.h"

/** Examines the open files of a log. Replays the newest file through wal->replay_entry if it is
 * intact. Sets *integrity and the log's position (current_file, offset, generation, has_torn_end).
 * Returns OK or the disk's error. */
enum error_code wal_recover(wal *wal, enum wal_integrity *integrity, error *err);
#endif
