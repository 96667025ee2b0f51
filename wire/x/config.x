/*
 * Bodies of the messages about the configuration. Each starts with the version
 * of its format. Later versions append fields; decoders ignore bytes after the
 * fields that they know.
 */
const CONFIG_NAME_MAX = 63;
const CONFIG_TEXT_MAX = 65536;
const CONFIG_EXTRA_MAX = 65536;
const CONFIG_FORMER_MAX = 16;
const CONFIG_LINES_MAX = 1024;
const CONFIG_MEMBERS_MAX = 64;
const CONFIG_EPOCHS_MAX = 16;

/*
 * A struct rules_line. former has the hashes of the line's previous texts, and
 * extra the fields that a later version added, as JSON.
 */
struct xdr_config_line {
	string name<CONFIG_NAME_MAX>;
	unsigned hyper generation;
	unsigned hyper change_id;
	unsigned int form;
	bool is_deleted;
	string text<CONFIG_TEXT_MAX>;
	string earlier_text<CONFIG_TEXT_MAX>;
	unsigned hyper former<CONFIG_FORMER_MAX>;
	string extra<CONFIG_EXTRA_MAX>;
};

/* The state of the sender, as in struct config_message. */
struct xdr_config_state {
	unsigned int body_version;
	unsigned hyper revision;
	unsigned hyper digest;
	unsigned int held_count;
	bool is_known;
	unsigned hyper roster_epoch;
	unsigned int store_age_ms;
};

struct xdr_config_digest {
	xdr_config_state state;
	bool wants_reply;
};

struct xdr_config_pull {
	xdr_config_state state;
	unsigned hyper since;
};

struct xdr_config_delta {
	xdr_config_state state;
	xdr_config_line lines<CONFIG_LINES_MAX>;
};

struct xdr_config_member {
	unsigned hyper node_id;
	unsigned int zone_id;
};

struct xdr_config_epoch {
	xdr_config_member members<CONFIG_MEMBERS_MAX>;
};

struct xdr_config_roster {
	xdr_config_state state;
	xdr_config_epoch epochs<CONFIG_EPOCHS_MAX>;
};
