/*
 * Bodies of the messages between nodes that forward packets by tag (see
 * core/relay_tag.h), version 1. Later versions append fields; decoders ignore
 * bytes after the fields that they know.
 */
const RELAY_WIRE_LOADS_MAX = 160;
const RELAY_WIRE_FLOWS_MAX = 80;
const RELAY_WIRE_NUMBERS_MAX = 64;
const RELAY_WIRE_STALLS_MAX = 8;

/* The number of the sender's open flows to the target with this tag. */
struct relay_wire_load {
	unsigned int tag;
	unsigned int open_count;
};

struct relay_wire_loads {
	unsigned hyper node_id;
	relay_wire_load loads<RELAY_WIRE_LOADS_MAX>;
};

/* The 128-bit hash that identifies a flow. */
struct relay_wire_print {
	unsigned hyper high;
	unsigned hyper low;
};

/*
 * Flows that the sender has taken over from other nodes, that it seeks, or that
 * were sought from it. relay_wire_numbers follows, which messages about flows
 * taken over lack in version 1.
 */
struct relay_wire_moved {
	unsigned hyper node_id;
	relay_wire_print flows<RELAY_WIRE_FLOWS_MAX>;
};

/*
 * A number for each flow: the tag of its target or, of a flow that the sender
 * seeks, the sequence number of its opening packet.
 */
struct relay_wire_numbers {
	unsigned int numbers<RELAY_WIRE_NUMBERS_MAX>;
};

/*
 * What the sender sees of a zone: is_alive is 1 if a sign of life came from it.
 * tags identify targets there that leave packets unanswered.
 */
struct relay_wire_zone {
	unsigned hyper node_id;
	unsigned int zone_id;
	unsigned int is_alive;
	unsigned int tags<RELAY_WIRE_STALLS_MAX>;
};

/*
 * What the sender sees of a target: is_alive is 1 if it received a packet
 * alive_age_ms ago; otherwise it leaves the data of a flow unanswered.
 */
struct relay_wire_target {
	unsigned hyper node_id;
	unsigned int tag;
	unsigned int is_alive;
	unsigned int alive_age_ms;
	unsigned int flow;
};
