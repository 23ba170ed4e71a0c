/** Checks controllers: their view, the length of the chain, member leases and disks. */
#include "examination.h"

enum { CHAIN_MEMBERS_EXPECTED = 3, SLOW_WRITE_MS = 500 };
/** When the state fills more than this share of a log file, little space is left for writes. */
static const double log_file_fill_max = 0.6;

static void check_disk(examination *examination, const examined_node *node) {
  const json *disk = json_get(node->status, "disk");
  double write_ms = json_number(disk, "lastWriteMs", 0), fill = json_number(disk, "fill", 0);
  if (json_bool(disk, "broken", false))
    examination_add(examination, D_DISK, "%s: the disk failed", node->self.text);
  else if (write_ms > SLOW_WRITE_MS)
    examination_add(examination, D_DISK, "%s: the last write took %.0f ms", node->self.text,
                    write_ms);
  if (fill > log_file_fill_max)
    examination_add(examination, D_DISK, "%s: the state fills %.0f %% of a log file",
                    node->self.text, 100 * fill);
}

static void check_chain(examination *examination, const json *view, uint64_t epoch) {
  size_t members = json_count(json_get(view, "chain"));
  if (members < CHAIN_MEMBERS_EXPECTED)
    examination_add(examination, D_CHAIN, "the chain of view %" PRIu64 " has %zu of %d members%s",
                    epoch, members, CHAIN_MEMBERS_EXPECTED,
                    json_bool(view, "thin", false) ? " and takes no writes" : "");
}

static void check_view(examination *examination, const examined_node *node, uint64_t epoch) {
  double node_epoch = json_number(node->status, "epoch", 0);
  bool in_chain = json_number(node->status, "place", -1) >= 0;
  if ((uint64_t)node_epoch != epoch)
    examination_add(examination, D_VIEWS_DIFFER, "%s knows view %.0f, others %" PRIu64,
                    node->self.text, node_epoch, epoch);
  else if (in_chain && !json_bool(node->status, "acts", false))
    examination_add(examination, D_VIEWS_DIFFER, "%s is in the chain and has no lease",
                    node->self.text);
}

void check_controllers(examination *examination) {
  uint64_t epoch = 0;
  int controllers = 0, acting = 0;
  const json *view = NULL;
  for (guint i = 0; i < examination->nodes->len; i++) {
    const examined_node *node = examination_node(examination, i);
    if (!node->is_controller || !node->status)
      continue;
    controllers++;
    acting += json_bool(node->status, "acts", false);
    uint64_t node_epoch = (uint64_t)json_number(node->status, "epoch", 0);
    if (node_epoch > epoch) {
      epoch = node_epoch;
      view = node->view;
    }
    check_disk(examination, node);
  }
  if (!controllers) {
    examination_add(examination, D_CHAIN, "no controller answers");
    return;
  }
  check_chain(examination, view, epoch);
  if (!acting)
    examination_add(examination, D_CHAIN, "no controller holds a member lease");
  for (guint i = 0; i < examination->nodes->len; i++) {
    const examined_node *node = examination_node(examination, i);
    if (node->is_controller && node->status)
      check_view(examination, node, epoch);
  }
}
