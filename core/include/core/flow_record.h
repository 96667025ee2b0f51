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
 * One flow in a flow_table, by the lower half of its print, which is also what
 * nodes tell each other. Two flows share a half once in many years; the later
 * one then goes to the target of the earlier if that serves its service.
 * sent_epoch is the epoch of the flow's slot when it was last sent to another
 * node, 0 for never. Four records fill a cache line.
 */
struct flow_record {
	uint64_t print_low;
	uint32_t last_seen_ds;
	uint16_t target_index;
	uint8_t sent_epoch;
	uint8_t state : 3;
	bool is_used : 1;
	/* Held for another home; it does not count as load here. */
	bool is_mirror : 1;
	/* Placed without knowledge; a home that knows may correct it. */
	bool is_guess : 1;
};

#endif
