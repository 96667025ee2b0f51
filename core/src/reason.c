#include <core/reason.h>

static const char *const reason_names[REASON_COUNT] = {
	[REASON_NONE] = "none",
	[REASON_RECORD] = "record",
	[REASON_TABLE_DEFAULT] = "table_default",
	[REASON_DEFAULT_FULL] = "default_full",
	[REASON_DEFAULT_LEAVING] = "default_leaving",
	[REASON_DEFAULT_COLD] = "default_cold",
	[REASON_DEFAULT_FAILING] = "default_failing",
	[REASON_DEFAULT_CUT_OFF] = "default_cut_off",
	[REASON_MIRROR] = "mirror",
	[REASON_HANDOVER] = "handover",
	[REASON_HINT] = "hint",
	[REASON_TO_HOME] = "to_home",
	[REASON_TO_FORMER_HOME] = "to_former_home",
	[REASON_HOP_LIMIT] = "hop_limit",
	[REASON_NO_SERVICE] = "no_service",
	[REASON_NO_TARGET] = "no_target",
	[REASON_NO_RECORD] = "no_record",
	[REASON_TABLE_FULL] = "table_full",
	[REASON_FIRST_PACKET_LIMIT] = "first_packet_limit",
	[REASON_MALFORMED] = "malformed",
	[REASON_STALE_TARGET] = "stale_target",
	[REASON_ADMITTED] = "admitted",
	[REASON_QUEUED] = "queued",
	[REASON_QUEUE_FULL] = "queue_full",
	[REASON_DEADLINE] = "deadline",
	[REASON_CLASS_LIMIT] = "class_limit",
	[REASON_CALLER_SHARE] = "caller_share",
	[REASON_NODE_LIMIT] = "node_limit",
	[REASON_RETRY] = "retry",
	[REASON_RETRY_BUDGET] = "retry_budget",
	[REASON_NOT_REPEATABLE] = "not_repeatable",
	[REASON_TARGET_SHED] = "target_shed",
	[REASON_TARGET_RESET] = "target_reset",
	[REASON_TARGET_TIMEOUT] = "target_timeout",
	[REASON_TARGET_MALFORMED] = "target_malformed",
	[REASON_KEY_CLAIMED] = "key_claimed",
	[REASON_KEY_UNKNOWN] = "key_unknown",
	[REASON_CANCELLED] = "cancelled",
	[REASON_DRAINING] = "draining",
	[REASON_STALE_VIEW] = "stale_view",
	[REASON_TARGET_CUT_OFF] = "target_cut_off",
	[REASON_DEFAULT_BUSY] = "default_busy",
};

/* Names a reason for decision log lines and counters. */
const char *reason_name(enum reason reason)
{
	return reason < REASON_COUNT ? reason_names[reason] : "invalid";
}
