#include "config_deltas.h"
#include "gossip_state.h"

/* Returns this node's replica of the document. */
const struct rules_document *gossip_document(const struct rules_gossip *gossip)
{
	return rules_replica_document(gossip->replica);
}

/* Returns the revision of this node's document. */
uint64_t gossip_revision(const struct rules_gossip *gossip)
{
	return rules_document_revision(gossip_document(gossip));
}

/* Makes a message with this node's state; free it with config_message_free. */
struct config_message *gossip_new_message(const struct rules_gossip *gossip,
					  enum config_kind kind)
{
	struct config_message *message = config_message_new(kind);

	message->revision = gossip_revision(gossip);
	message->digest = rules_document_digest(gossip_document(gossip));
	message->held_line_count =
		rules_replica_held_line_count(gossip->replica);
	message->is_known = gossip->is_config_known;
	message->roster_epoch = gossip->roster.epoch;
	message->since_store_read_ms =
		gossip_clock_since_store_read_ms(&gossip->clock);
	return message;
}

static void send(struct rules_gossip *gossip, uint64_t node_id,
		 struct config_message *message)
{
	gossip->options.send(gossip->options.context, node_id, message);
}

/* Sends a digest of this node's document to a peer. */
void gossip_send_digest(struct rules_gossip *gossip, uint64_t node_id,
			bool wants_reply)
{
	struct config_message *message =
		gossip_new_message(gossip, CONFIG_DIGEST);

	message->wants_reply = wants_reply;
	send(gossip, node_id, message);
}

static void send_pull(struct rules_gossip *gossip, uint64_t node_id,
		      uint64_t since_revision, int64_t now_ms)
{
	struct config_message *message;

	if (!gossip_clock_may_pull(&gossip->clock, now_ms))
		return;
	gossip->clock.last_pull_ms = now_ms;
	message = gossip_new_message(gossip, CONFIG_PULL);
	message->since_revision = since_revision;
	send(gossip, node_id, message);
}

/*
 * Pulls what this node lacks, and replies with a digest if the peer wants a
 * reply and the documents differ or the peer's roster is older. Equal revisions
 * with different digests occur when the store was restored from a backup; then
 * all lines are pulled.
 */
static void compare_digest(struct rules_gossip *gossip, uint64_t node_id,
			   const struct config_message *message, int64_t now_ms)
{
	uint64_t revision = gossip_revision(gossip);
	bool is_equal = message->digest ==
			rules_document_digest(gossip_document(gossip));

	gossip->known_revision = MAX(gossip->known_revision, message->revision);
	if (message->revision > revision)
		send_pull(gossip, node_id, revision, now_ms);
	else if (message->revision == revision && !is_equal)
		send_pull(gossip, node_id, 0, now_ms);
	else if (message->revision == revision)
		gossip_set_config_known(gossip);
	if (message->roster_epoch > gossip->roster.epoch)
		send_pull(gossip, node_id, revision, now_ms);
	if (message->wants_reply &&
	    (!is_equal || message->roster_epoch < gossip->roster.epoch))
		gossip_send_digest(gossip, node_id, false);
}

static void handle_digest(struct rules_gossip *gossip, uint64_t node_id,
			  const struct config_message *message, int64_t now_ms)
{
	if (gossip_reports_update(gossip->reports, node_id, message))
		gossip->is_report_due = true;
	if (message->is_known)
		compare_digest(gossip, node_id, message, now_ms);
	else if (message->wants_reply && gossip->is_config_known)
		gossip_send_digest(gossip, node_id, false);
}

static void send_roster(struct rules_gossip *gossip, uint64_t node_id)
{
	struct config_message *message =
		gossip_new_message(gossip, CONFIG_ROSTER);

	message->roster = g_memdup2(&gossip->roster, sizeof(gossip->roster));
	send(gossip, node_id, message);
}

/* Sends the lines that a peer requested, and the roster if its own is older. */
static void reply_to_pull(struct rules_gossip *gossip, uint64_t node_id,
			  const struct config_message *pull_message)
{
	GPtrArray *deltas = config_deltas_new(gossip_document(gossip),
					      pull_message->since_revision);

	for (guint i = 0; i < deltas->len; i++) {
		struct config_message *delta = g_ptr_array_index(deltas, i);

		delta->held_line_count =
			rules_replica_held_line_count(gossip->replica);
		delta->roster_epoch = gossip->roster.epoch;
		delta->since_store_read_ms =
			gossip_clock_since_store_read_ms(&gossip->clock);
		send(gossip, node_id, delta);
	}
	g_ptr_array_free(deltas, TRUE);
	if (pull_message->roster_epoch < gossip->roster.epoch)
		send_roster(gossip, node_id);
}

static void handle_delta(struct rules_gossip *gossip,
			 const struct config_message *message, int64_t now_ms)
{
	uint32_t count = 0;

	for (guint i = 0; i < message->lines->len; i++) {
		struct rules_line *line =
			rules_line_copy(g_ptr_array_index(message->lines, i));

		count += rules_replica_put(gossip->replica, line) ? 1 : 0;
	}
	if (count > 0)
		gossip_handle_change(gossip, now_ms);
	if (message->digest != rules_document_digest(gossip_document(gossip)))
		return;
	gossip_clock_end_pull(&gossip->clock, now_ms);
	gossip_set_config_known(gossip);
}

/* Handles a message from another node. */
void rules_gossip_handle_message(struct rules_gossip *gossip, uint64_t node_id,
				 const struct config_message *message,
				 int64_t now_ms)
{
	gossip->clock.now_ms = now_ms;
	if (message->is_known)
		gossip_clock_record_store_read(&gossip->clock,
					       message->since_store_read_ms);
	switch (message->kind) {
	case CONFIG_DIGEST:
		handle_digest(gossip, node_id, message, now_ms);
		break;
	case CONFIG_PULL:
		if (gossip->is_config_known)
			reply_to_pull(gossip, node_id, message);
		break;
	case CONFIG_DELTA:
		if (message->is_known)
			handle_delta(gossip, message, now_ms);
		break;
	case CONFIG_ROSTER:
		rules_gossip_handle_roster(gossip, message->roster, now_ms);
		break;
	case CONFIG_KIND_COUNT:
		break;
	}
}
