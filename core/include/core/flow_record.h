#ifndef CORE_FLOW_RECORD_H
#define CORE_FLOW_RECORD_H

#include <core/flow_key.h>

/* The connection state of a flow; each state has its own idle timeout. */
enum flow_state {
	/* Only the first packet of the flow was seen. */
	FLOW_EMBRYONIC,
	FLOW_ESTABLISHED,
	FLOW_CLOSING,
	/* A UDP flow after its first packet. */
	FLOW_DATAGRAM,
	FLOW_STATE_COUNT,
};

/*
 * One flow in a flow_table. The key is the lower half of the flow's hash, which
 * nodes also use in messages. A collision of two live flows is expected once in
 * many years; the later flow then goes to the target of the earlier one if that
 * target belongs to its service. sent_epoch is the epoch of the flow's slot
 * when the record was last sent to another node, or 0 if it never was. Four
 * records fill a cache line.
 */
struct flow_record {
	uint64_t hash_low;
	uint32_t last_seen_ds;
	uint16_t target_index;
	uint8_t sent_epoch;
	uint8_t state : 3;
	bool is_used : 1;
	/* A copy held for another home; not counted as load on this node. */
	bool is_mirror : 1;
	/* The target is assumed; a handed-over record may replace it. */
	bool is_provisional : 1;
};

#endif
