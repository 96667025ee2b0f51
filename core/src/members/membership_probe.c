#include "membership_state.h"

/* Fraction of the probe interval after which indirect probes are sent. */
#define DIRECT_TIMEOUT_NUMERATOR 3
#define DIRECT_TIMEOUT_DENOMINATOR 10
/* Probe intervals between two probes of dead members. */
#define DEAD_PROBE_INTERVALS 10
#define FAILURE_SAMPLE_COUNT 16

static void send_probe(struct membership *membership,
		       const struct member_probe *probe,
		       const struct member *subject)
{
	struct member_message message = {.kind = MEMBER_PROBE,
					 .probe_id = probe->probe_id,
					 .subject_id = probe->subject_id};

	membership_send_piggybacked(membership, subject, &message);
}

/*
 * Probes a member on this node's own behalf, unless such a probe is in flight.
 */
void membership_probe(struct membership *membership, struct member *member,
		      int64_t now_ms)
{
	struct member_probe probe = {.subject_id = member->node.node_id,
				     .started_ms = now_ms};
	const struct member_probe *added;

	if (probe_list_has_subject(membership->probes, probe.subject_id))
		return;
	added = probe_list_add(membership->probes, &probe);
	if (!added)
		return;
	send_probe(membership, added, member);
}

/*
 * Updates the moving average over about the last FAILURE_SAMPLE_COUNT direct
 * probes of members that are not suspect.
 */
static void record_direct_probe(struct membership *membership,
				const struct member *subject, bool has_failed)
{
	double sample = has_failed ? 1 : 0;

	if (!subject->is_suspect)
		membership->direct_failure_rate +=
			(sample - membership->direct_failure_rate) /
			FAILURE_SAMPLE_COUNT;
}

/* The members that must not help with an indirect probe. */
struct helper_exclusions {
	const struct member *self;
	const struct member *subject;
};

static bool is_helper(const void *context, const struct member *member)
{
	const struct helper_exclusions *exclusions = context;

	return member != exclusions->self && member != exclusions->subject &&
	       member_is_live(member) && !member->is_suspect;
}

static void request_indirect_probes(struct membership *membership,
				    const struct member_probe *probe,
				    const struct member *subject)
{
	struct helper_exclusions exclusions = {membership->self, subject};
	struct member_filter filter = {&exclusions, is_helper};
	struct member *helpers[PROBE_HELPER_COUNT];
	uint32_t count =
		member_table_sample(membership->table, membership->rand,
				    &filter, helpers, PROBE_HELPER_COUNT);

	for (uint32_t i = 0; i < count; i++) {
		struct member_message message = {.kind = MEMBER_PROBE_REQUEST,
						 .probe_id = probe->probe_id,
						 .subject_id =
							 probe->subject_id};

		membership_send_piggybacked(membership, helpers[i], &message);
	}
}

/*
 * Sends indirect probes when the direct one is late. Returns true if the probe
 * has timed out or its subject was removed.
 */
static bool update_probe(struct membership *membership,
			 struct member_probe *probe, int64_t now_ms)
{
	uint32_t interval_ms = membership->options.probe_interval_ms;
	int64_t age_ms = now_ms - probe->started_ms;
	struct member *subject =
		member_table_find(membership->table, probe->subject_id);

	if (age_ms >= interval_ms || !subject)
		return true;
	if (probe->requester_id != NODE_NONE || probe->stage != PROBE_DIRECT ||
	    !member_is_live(subject))
		return false;
	if (age_ms * DIRECT_TIMEOUT_DENOMINATOR <
	    (int64_t)interval_ms * DIRECT_TIMEOUT_NUMERATOR)
		return false;
	probe->stage = PROBE_INDIRECT;
	record_direct_probe(membership, subject, true);
	send_probe(membership, probe, subject);
	request_indirect_probes(membership, probe, subject);
	return false;
}

static void update_probes(struct membership *membership, int64_t now_ms)
{
	uint32_t i = 0;

	while (i < probe_list_count(membership->probes)) {
		struct member_probe probe =
			*probe_list_at(membership->probes, i);
		struct member *subject;

		if (!update_probe(membership,
				  probe_list_at(membership->probes, i),
				  now_ms)) {
			i++;
			continue;
		}
		probe_list_remove_at(membership->probes, i);
		subject =
			member_table_find(membership->table, probe.subject_id);
		if (subject && probe.requester_id == NODE_NONE)
			membership_suspect(membership, subject,
					   membership->self->node.node_id,
					   now_ms);
	}
}

/*
 * Fills probe_order with all live members in random order, so that each is
 * probed once per round (SWIM, section 4.3).
 */
static void shuffle_probe_order(struct membership *membership)
{
	GArray *probe_order = membership->probe_order;

	g_array_set_size(probe_order, 0);
	membership->probe_order_next = 0;
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		const struct member *member =
			member_table_at(membership->table, i);

		if (member != membership->self && member_is_live(member))
			g_array_append_val(probe_order, member->node.node_id);
	}
	for (guint i = probe_order->len; i > 1; i--) {
		guint j =
			(guint)g_rand_int_range(membership->rand, 0, (gint32)i);
		uint64_t saved = g_array_index(probe_order, uint64_t, i - 1);

		g_array_index(probe_order, uint64_t, i - 1) =
			g_array_index(probe_order, uint64_t, j);
		g_array_index(probe_order, uint64_t, j) = saved;
	}
}

static struct member *next_in_probe_order(struct membership *membership)
{
	while (membership->probe_order_next < membership->probe_order->len) {
		uint64_t node_id =
			g_array_index(membership->probe_order, uint64_t,
				      membership->probe_order_next++);
		struct member *member =
			member_table_find(membership->table, node_id);

		if (member && member_is_live(member))
			return member;
	}
	return NULL;
}

static struct member *next_subject(struct membership *membership)
{
	struct member *member = next_in_probe_order(membership);

	if (member)
		return member;
	shuffle_probe_order(membership);
	return next_in_probe_order(membership);
}

/*
 * A dead member that did not leave may be behind a partition that has healed.
 */
static bool died_without_leaving(const void *context,
				 const struct member *member)
{
	return !member_is_live(member) &&
	       member->last_accuser_id != member->node.node_id;
}

static void probe_dead_member(struct membership *membership, int64_t now_ms)
{
	struct member_filter filter = {NULL, died_without_leaving};
	struct member *dead;

	if (now_ms < membership->next_dead_probe_ms)
		return;
	membership->next_dead_probe_ms =
		now_ms + (int64_t)DEAD_PROBE_INTERVALS *
				 membership->options.probe_interval_ms;
	if (member_table_sample(membership->table, membership->rand, &filter,
				&dead, 1) == 1)
		membership_probe(membership, dead, now_ms);
}

/* Advances the probes in flight and starts the next one when it is due. */
void membership_probe_tick(struct membership *membership, int64_t now_ms)
{
	struct member *subject;

	update_probes(membership, now_ms);
	probe_dead_member(membership, now_ms);
	if (now_ms < membership->next_probe_ms)
		return;
	membership->next_probe_ms =
		now_ms + membership->options.probe_interval_ms;
	subject = next_subject(membership);
	if (subject)
		membership_probe(membership, subject, now_ms);
}

/*
 * Acknowledges a probe of this node. To a sender that is not in the table, the
 * acknowledgement reports that it is dead, in incarnation 0; only a node that
 * verifies its state after a pause acts on that.
 */
void membership_handle_probe(struct membership *membership,
			     uint64_t from_node_id, const struct endpoint *from,
			     const struct member_message *message)
{
	struct member *prober =
		member_table_find(membership->table, from_node_id);
	struct member unknown = {.node = {.node_id = from_node_id,
					  .control = *from,
					  .state = NODE_DEAD}};
	struct member_message ack = {.kind = MEMBER_ACK,
				     .probe_id = message->probe_id,
				     .subject_id = message->subject_id};

	if (message->subject_id != membership->self->node.node_id)
		return;
	membership_send_piggybacked(membership, prober ? prober : &unknown,
				    &ack);
}

/* Forwards an acknowledgement to the node that requested the probe. */
static void forward_ack(struct membership *membership,
			const struct member_probe *probe)
{
	struct member *requester =
		member_table_find(membership->table, probe->requester_id);
	struct member_message ack = {.kind = MEMBER_ACK,
				     .probe_id = probe->requester_probe_id,
				     .subject_id = probe->subject_id};

	if (requester)
		membership_send_piggybacked(membership, requester, &ack);
}

/*
 * Ends the probe that is acknowledged. Ignores acknowledgements that are late
 * or match no probe.
 */
void membership_handle_ack(struct membership *membership, uint64_t from_node_id,
			   const struct member_message *message, int64_t now_ms)
{
	struct member *subject =
		member_table_find(membership->table, message->subject_id);
	struct member_probe probe;

	if (!probe_list_remove_acked(membership->probes, message->probe_id,
				     message->subject_id, &probe))
		return;
	if (probe.requester_id != NODE_NONE) {
		forward_ack(membership, &probe);
		return;
	}
	if (subject) {
		subject->last_ack_ms = now_ms;
		if (probe.stage == PROBE_DIRECT)
			record_direct_probe(membership, subject, false);
	}
	membership_confirm_alive(membership, now_ms);
}

/* Probes a member on behalf of a node that cannot reach it. */
void membership_handle_probe_request(struct membership *membership,
				     uint64_t from_node_id,
				     const struct member_message *message,
				     int64_t now_ms)
{
	struct member *subject =
		member_table_find(membership->table, message->subject_id);
	struct member_probe probe = {.subject_id = message->subject_id,
				     .started_ms = now_ms,
				     .requester_id = from_node_id,
				     .requester_probe_id = message->probe_id};
	const struct member_probe *added;

	if (!subject || subject == membership->self)
		return;
	added = probe_list_add(membership->probes, &probe);
	if (!added)
		return;
	send_probe(membership, added, subject);
}
