#ifndef CORE_CLAIM_HOLDER_STATE_H
#define CORE_CLAIM_HOLDER_STATE_H

#include "claim_step.h"
#include <core/claim_holder.h>
#include <core/claim_table.h>
#include <glib.h>

/* What a holder of claims holds; its parts share this. */
struct claim_holder {
	struct claim_holder_options options;
	struct claim_table *table;
	struct roster roster;
	uint64_t seen_epoch;
	int64_t began_ms;
	GArray *steps;
	int64_t heard_ms[ROSTER_MEMBERS_MAX];
	int64_t fetched_ms;
	/* Doubles while nothing changes, so that absent members cost little. */
	uint32_t fetch_interval_ms;
	int64_t probed_ms;
};

struct claim_step *claim_holder_step(const struct claim_holder *holder,
				     guint index);
void claim_holder_send(struct claim_holder *holder, uint64_t to_node_id,
		       struct claim_message *message);
void claim_holder_probe_back(struct claim_holder *holder, uint64_t node_id,
			     int64_t now_ms);
void claim_holder_fetch(struct claim_holder *holder, struct claim_step *step,
			uint32_t index);
void claim_holder_drop_steps(struct claim_holder *holder);

#endif
