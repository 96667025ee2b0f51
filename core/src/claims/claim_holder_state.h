#ifndef CORE_CLAIM_HOLDER_STATE_H
#define CORE_CLAIM_HOLDER_STATE_H

#include "claim_transfer.h"
#include <core/claim_holder.h>
#include <core/claim_table.h>
#include <glib.h>

/*
 * The state of a claim holder, shared by claim_holder.c and claim_messages.c.
 * transfers has the incomplete transfers and the newest one, oldest first.
 * replied_ms has, by member index, the send time of the last probe that the
 * member replied to in this epoch.
 */
struct claim_holder {
	struct claim_holder_options options;
	struct claim_table *table;
	struct roster roster;
	uint64_t max_seen_epoch;
	int64_t epoch_started_ms;
	GArray *transfers;
	int64_t replied_ms[ROSTER_MEMBERS_MAX];
	int64_t last_fetch_ms;
	/* Doubles with each retry, to limit traffic to unreachable members. */
	uint32_t fetch_interval_ms;
	int64_t last_probe_ms;
};

struct claim_transfer *claim_holder_transfer(const struct claim_holder *holder,
					     guint index);
void claim_holder_send(struct claim_holder *holder, uint64_t to_node_id,
		       struct claim_message *message);
void claim_holder_probe_unconfirmed(struct claim_holder *holder,
				    uint64_t node_id, int64_t now_ms);
void claim_holder_fetch(struct claim_holder *holder,
			struct claim_transfer *transfer, uint32_t index);
void claim_holder_drop_transfers(struct claim_holder *holder);

#endif
