#include "config_task_state.h"

#include <daemon/control_message.h>
#include <inttypes.h>
#include <wire/config_codec.h>
#include <wire/config_report_codec.h>

/* Publishes and logs the new rules in force. */
void config_on_rules_changed(void *context, const struct rule_set *rules)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_NOTICE, "rules",
		  "revision=%" PRIu64 " rules=%u", rule_set_revision(rules),
		  rule_set_count(rules));
	config_publisher_set_rules(config->publisher, rules);
	target_watch_set_rules(config->target_watch, rules);
}

/* Encodes a message for another node and posts it to the control task. */
void config_on_send(void *context, uint64_t node_id,
		    struct config_message *message)
{
	struct config_task *config = context;
	GByteArray *bytes = config_codec_encode(message, NULL);
	bool is_sent =
		bytes && config_publisher_post_control(
				 config->publisher, node_id,
				 config_codec_procedure(message->kind), bytes);

	counter_set_add(
		config->counters,
		is_sent ? CONFIG_MESSAGES_SENT : CONFIG_MESSAGES_NOT_SENT, 1);
	if (is_sent)
		counter_set_add(config->counters, CONFIG_MESSAGE_BYTES_SENT,
				bytes->len);
	if (bytes)
		g_byte_array_free(bytes, TRUE);
	config_message_free(message);
}

/* Reads the configuration from the store. */
void config_on_read_store(void *context)
{
	struct config_task *config = context;

	config_store_read(config_platform_store(config->platform));
}

/* Starts or stops the watch on the store. */
void config_on_watch_store(void *context, bool is_wanted)
{
	struct config_task *config = context;

	config_store_watch(config_platform_store(config->platform), is_wanted);
}

/* Writes lines of the replica that the store has lost back to the store. */
void config_on_repair_store(void *context)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_WARNING, "store_behind",
		  "action=write_back");
	counter_set_add(config->counters, CONFIG_STORE_REPAIRS, 1);
	config_store_repair(
		config_platform_store(config->platform),
		rules_replica_document(rules_gossip_replica(config->gossip)));
}

/* Publishes the zone's reports in the store. */
void config_on_report_zone(void *context)
{
	struct config_task *config = context;
	GArray *reports = rules_gossip_reports(config->gossip);

	config_platform_set_report(config->platform,
				   config_report_encode(reports));
	g_array_free(reports, TRUE);
}

/* Handles a configuration that a read or the watch of the store returned. */
void config_on_document(void *context, const struct rules_document *document)
{
	struct config_task *config = context;

	rules_gossip_handle_document(config->gossip, document, task_now_ms());
	config_publisher_retry(config->publisher,
			       rules_gossip_is_config_known(config->gossip));
}

/* Counts and logs a failed call to the store. */
void config_on_store_failed(void *context, const char *reason)
{
	struct config_task *config = context;

	counter_set_add(config->counters, CONFIG_STORE_FAILURES, 1);
	log_write(config->log, LOG_LEVEL_WARNING, "store_failed",
		  "reason=\"%s\"", reason);
}

/* Handles the platform's list of targets, or the error of reading it. */
void config_on_targets(void *context, const GArray *list, const GError *error)
{
	struct config_task *config = context;

	if (list)
		target_watch_update_from_list(config->target_watch, list);
	else
		log_write(config->log, LOG_LEVEL_WARNING, "targets_failed",
			  "reason=\"%s\"", error->message);
}

/*
 * Publishes and logs a target's new state. Returns false if a mailbox was full
 * and the call must be repeated.
 */
bool config_on_target_state(void *context, uint64_t target_id,
			    enum target_state state)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_NOTICE, "target",
		  "target=%016" PRIx64 " state=%s", target_id,
		  target_state_name(state));
	return config_publisher_post_target_state(config->publisher, target_id,
						  state);
}

/* Publishes and logs a roster of a later epoch, from the store or a peer. */
void config_on_roster_changed(void *context, const struct roster *roster)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_NOTICE, "roster",
		  "epoch=%" PRIu64 " members=%u", roster->epoch,
		  roster->epochs[0].member_count);
	config_publisher_set_roster(config->publisher, roster);
}

/* Handles a roster that was read from the store or written to it. */
void config_on_stored_roster(void *context, const struct roster *roster)
{
	struct config_task *config = context;

	rules_gossip_handle_roster(config->gossip, roster, task_now_ms());
}
