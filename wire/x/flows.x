/*
 * Messages between the flow directors of two nodes. Later versions may append
 * fields to a message and add kinds, but keep the existing fields and kinds. To
 * regenerate the code in wire/gen, run rpcgen -C with -h and with -c.
 */
const FLOW_WIRE_TARGETS_MAX = 32;
const FLOW_WIRE_ENTRIES_BYTES_MAX = 900;
const FLOW_WIRE_SLOTS_BYTES_MAX = 800;
const FLOW_WIRE_ADDR_BYTES_MAX = 16;

struct flow_target_wire {
	opaque addr<FLOW_WIRE_ADDR_BYTES_MAX>;
	unsigned int port;
	unsigned int incarnation;
	unsigned int service_id;
	unsigned int weight;
	unsigned int zone_id;
	unsigned int state;
};

/*
 * An entry has 9 bytes: the lower half of a flow's hash, big-endian, and an
 * index into targets.
 */
struct flow_entries_wire {
	flow_target_wire targets<FLOW_WIRE_TARGETS_MAX>;
	opaque entries<FLOW_WIRE_ENTRIES_BYTES_MAX>;
};

struct flow_pool_wire {
	unsigned int service_id;
	unsigned hyper generation;
	unsigned int pool_count;
	flow_target_wire targets<FLOW_WIRE_TARGETS_MAX>;
};

struct flow_targets_wire {
	flow_target_wire targets<FLOW_WIRE_TARGETS_MAX>;
};

/*
 * revision, base_revision and base_remaining_ms are as in struct flow_message.
 * slots lists the slots of the home map that have been handed over, each as 2
 * bytes, big-endian.
 */
struct flow_done_wire {
	unsigned hyper revision;
	unsigned hyper base_revision;
	unsigned int base_remaining_ms;
	opaque slots<FLOW_WIRE_SLOTS_BYTES_MAX>;
};

/* kind is an enum flow_message_kind. */
union flow_body_wire switch (unsigned int kind) {
case 0:
case 1:
	flow_entries_wire entries;
case 2:
	flow_pool_wire pool;
case 3:
	flow_targets_wire targets;
case 4:
	flow_done_wire done;
case 5:
	unsigned int ack_mask;
};

struct flow_message_wire {
	unsigned int format_version;
	unsigned int sequence;
	flow_body_wire body;
};
