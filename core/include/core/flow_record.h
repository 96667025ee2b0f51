#ifndef CORE_FLOW_RECORD_H
#define CORE_FLOW_RECORD_H

#include <core/flow_key.h>

/* How far a flow has come; each state has an idle timeout of its own. */
enum flow_state {
	FLOW_EMBRYONIC,
	FLOW_ESTABLISHED,
	FLOW_CLOSING,
	FLOW_DATAGRAM,
	FLOW_STATE_COUNT,
};

/*
 * One flow in a flow_table. print_check holds upper bits of the print, or 0
 * for a record learned from another node, which sends the lower half only.
 * sent_epoch is the epoch of the flow's slot when it was last sent to another
 * node, 0 for never.
 */
struct flow_record {
	uint64_t print_low;
	uint32_t print_check;
	uint32_t last_seen_ds;
	uint16_t target_index;
	uint8_t state;
	uint8_t sent_epoch;
	bool is_used;
	/* Held for another home; it does not count as load here. */
	bool is_mirror;
	/* Placed without knowledge; a home that knows may correct it. */
	bool is_guess;
};

#endif
