/*
 * Bodies of the procedures for claims on idempotency keys, version 1. The
 * procedure number identifies the kind of a message. Later versions append
 * fields; decoders ignore bytes after the fields that they know.
 */
const CLAIM_WIRE_ENTRIES_MAX = 24;
const CLAIM_WIRE_MEMBERS_MAX = 32;
const CLAIM_WIRE_EPOCHS_MAX = 4;

struct claim_wire_key {
	unsigned hyper high;
	unsigned hyper low;
};

struct claim_wire_token {
	unsigned hyper node_id;
	unsigned hyper request_id;
};

struct claim_wire_entry {
	claim_wire_key key;
	claim_wire_token token;
	unsigned int age_ms;
};

struct claim_wire_member {
	unsigned hyper node_id;
	unsigned int zone_id;
};

struct claim_wire_epoch {
	claim_wire_member members<CLAIM_WIRE_MEMBERS_MAX>;
};

/* Body of requests, verdicts and releases. */
struct claim_wire_key_message {
	unsigned int format_version;
	unsigned hyper epoch;
	claim_wire_key key;
	claim_wire_token token;
	unsigned int verdict;
};

/* Body of fetches and pages. step is the epoch that the transfer is for. */
struct claim_wire_page_message {
	unsigned int format_version;
	unsigned hyper epoch;
	unsigned hyper step;
	unsigned hyper cursor;
	unsigned int is_last;
	claim_wire_entry entries<CLAIM_WIRE_ENTRIES_MAX>;
};

/* Body of probes and probe replies. */
struct claim_wire_probe_message {
	unsigned int format_version;
	unsigned hyper epoch;
	hyper sent_ms;
};

struct claim_wire_roster_message {
	unsigned int format_version;
	unsigned hyper epoch;
	claim_wire_epoch epochs<CLAIM_WIRE_EPOCHS_MAX>;
};
