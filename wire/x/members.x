/*
 * Bodies of the membership procedures, version 1. The procedure number
 * identifies the kind of a message. Later versions append fields; decoders
 * ignore bytes after the fields that they know.
 */
const MEMBER_WIRE_ADDRESS_BYTES_MAX = 16;
const MEMBER_WIRE_UPDATES_MAX = 64;

/*
 * A node's description of itself. An empty packets_address stands for
 * control_address. ports has the control port in its upper 16 bits and the
 * packets port in its lower 16 bits.
 */
struct member_wire_full {
	unsigned hyper node_id;
	unsigned int incarnation;
	unsigned int state;
	unsigned int zone_id;
	unsigned int ports;
	opaque control_address<MEMBER_WIRE_ADDRESS_BYTES_MAX>;
	opaque packets_address<MEMBER_WIRE_ADDRESS_BYTES_MAX>;
	unsigned hyper feature_bits;
};

/* Another node's report that a node is suspect or dead. */
struct member_wire_brief {
	unsigned hyper node_id;
	unsigned int incarnation;
	unsigned int state;
	unsigned hyper accuser_id;
};

/* pages has the page index in its upper 16 bits and the page count below. */
struct member_wire_message {
	unsigned int format_version;
	unsigned int region_id;
	unsigned int probe_id;
	unsigned int pages;
	unsigned hyper subject_id;
	unsigned hyper view_digest;
	member_wire_full full<MEMBER_WIRE_UPDATES_MAX>;
	member_wire_brief brief<MEMBER_WIRE_UPDATES_MAX>;
};
