#ifndef CONTROLPLANE_VIEW_H
#define CONTROLPLANE_VIEW_H
/** The view of the control plane: the replication chain and the voters of one epoch. Compares views
 * and converts them to and from messages. Plain values, without I/O or clock reads. */
#include "node.h"

enum {
  /** Maximum number of members of a chain and of voters of a view. */
  CHAIN_MAX = REPLICAS_MAX,
  VOTERS_MAX = REPLICAS_MAX,
  /** Buffer size for an address, "ip:port" with the terminating null byte. */
  MEMBER_ADDRESS_SIZE = 48
};

/** A controller together with its disk. A controller that returns with another disk is a different
 * member, since it has lost the promises and data of the earlier one. */
typedef struct member {
  id self, zone;
  /** Address of its peer listener, "ip:port". */
  char address[MEMBER_ADDRESS_SIZE];
  /** Random number stored on the disk when it is initialized; never 0. */
  uint64_t disk_id;
} member;

/** What the voters have agreed on for one epoch. */
typedef struct view {
  /** Increases by 1 with each decided view; 0 if no view is known. */
  uint64_t epoch;
  /** Random number that identifies the fleet, chosen when it is bootstrapped. */
  uint64_t fleet_id;
  /** The order of replication: the first member is the head, the last one the tail. */
  member chain[CHAIN_MAX];
  /** The members that vote on the next view. */
  member voters[VOTERS_MAX];
  int chain_length, voter_count;
} view;

/** A view as a message, with the memory that the message points to. */
typedef struct view_message {
  Wire__View view;
  Wire__Member members[CHAIN_MAX + VOTERS_MAX];
  Wire__Member *chain[CHAIN_MAX], *voters[VOTERS_MAX];
} view_message;

/** Returns whether both are the same controller with the same disk. */
bool member_equal(const member *a, const member *b);
/** Returns the index of a member among count members, or -1. */
int member_index(const member *members, int count, const member *member);
/** Fills a message with a member. The message points to the member's strings. */
void member_pack(Wire__Member *message, const member *member);
/** Reads a member from a message. Returns false if the message is NULL or invalid. */
bool member_unpack(member *member, const Wire__Member *message);

/** Returns the chain index of the member that runs on a controller, with any disk, or -1. */
int view_chain_index_of_controller(const view *view, id controller);
/** Returns whether two views have the same voters, in any order. */
bool view_same_voters(const view *a, const view *b);
/** Returns whether each member of the earlier chain is in the later one. */
bool view_keeps_chain(const view *earlier, const view *later);
/** Packs a view into *buffer and returns the message. The message points into *buffer and to the
 * view's strings. */
Wire__View *view_pack(view_message *buffer, const view *view);
/** Reads a view from a message. Returns false if the message is NULL or invalid. */
bool view_unpack(view *view, const Wire__View *message);

/** Returns a message with a copy of a view; both are freed with the reply. */
Wire__View *response_view(reply *reply, const view *original);
/** Returns a message with a copy of a member; both are freed with the reply. */
Wire__Member *response_member(reply *reply, const member *original);
#endif
