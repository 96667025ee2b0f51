#ifndef CORE_MEMBER_MESSAGE_H
#define CORE_MEMBER_MESSAGE_H

#include <core/member_update.h>

#define MEMBER_GOSSIP_UPDATES_MAX 8
#define MEMBER_PAGE_UPDATES_MAX 17

enum member_message_kind {
	MEMBER_PROBE,
	MEMBER_ACK,
	MEMBER_PROBE_REQUEST,
	MEMBER_GOSSIP,
	MEMBER_SYNC_REQUEST,
	MEMBER_SYNC_PAGE,
	MEMBER_MESSAGE_KIND_COUNT,
};

/*
 * A message of the membership protocol. subject_id is the node that is probed,
 * in probes, probe requests and acknowledgements alike. page_index and
 * page_count number the pages of a sync reply. view_digest is the sender's
 * member_table_digest.
 */
struct member_message {
	enum member_message_kind kind;
	uint32_t region_id;
	uint32_t probe_id;
	uint32_t page_index;
	uint32_t page_count;
	uint32_t update_count;
	uint64_t subject_id;
	uint64_t view_digest;
	struct member_update updates[MEMBER_PAGE_UPDATES_MAX];
};

#endif
