#include "membership_state.h"

#define ZONE_PEER_PROBE_COUNT 2

/*
 * A suspect is probed again after each quarter of its timeout except the last.
 */
#define REPROBE_COUNT 3
/* The probe, counted from 0, with which members of its zone are probed too. */
#define ZONE_REPROBE_INDEX 1
/*
 * A node counts as isolated if it has at least ISOLATION_PEER_COUNT_MIN peers
 * and more than 1/2 of them are suspect.
 */
#define ISOLATION_PEER_COUNT_MIN 3
#define ISOLATION_PEER_DIVISOR 2
/*
 * How long a member must be suspect, and its zone silent, before the member
 * counts as cut off.
 */
#define CUT_OFF_AFTER_MS 4000

/*
 * A failure rate of direct probes above FAILURE_RATE_TOLERATED_MAX multiplies
 * the suspicion timeout by 1 + TIMEOUT_STRETCH_FACTOR times the difference.
 */
#define FAILURE_RATE_TOLERATED_MAX 0.25
#define TIMEOUT_STRETCH_FACTOR 5

/*
 * The number of live members other than this node, and of the suspects among
 * them.
 */
struct peer_counts {
	uint32_t peer_count;
	uint32_t suspect_count;
};

static struct peer_counts count_peers(const struct membership *membership)
{
	struct peer_counts counts = {.peer_count = 0};

	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		const struct member *member =
			member_table_at(membership->table, i);

		if (member == membership->self || !member_is_live(member))
			continue;
		counts.peer_count++;
		counts.suspect_count += member->is_suspect;
	}
	return counts;
}

static void emit_zone_event(struct membership *membership,
			    enum member_event_kind kind, uint32_t zone_id)
{
	struct node zone = {.zone_id = zone_id};

	membership_emit_event(membership, kind, &zone);
}

static bool is_suspect_in_zone(const struct member *member, uint32_t zone_id)
{
	return member->node.zone_id == zone_id && member->is_suspect;
}

static void mark_zone_dead(struct membership *membership, uint32_t zone_id,
			   int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (is_suspect_in_zone(member, zone_id))
			membership_mark_dead(membership, member,
					     membership->self->node.node_id,
					     now_ms);
	}
}

static void restart_suspicion(struct member *member, int64_t now_ms)
{
	suspicion_start(&member->suspicion, now_ms);
	member->reprobe_count = 0;
}

/*
 * Restarts the timeout of members that are still suspect when the partition of
 * their zone heals, so that each can still refute its suspicion.
 */
static void restart_zone_suspicions(struct membership *membership,
				    uint32_t zone_id, int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (is_suspect_in_zone(member, zone_id))
			restart_suspicion(member, now_ms);
	}
}

/*
 * Detects whether a zone is now partitioned, healed or lost, and reports the
 * change.
 */
void membership_update_zone(struct membership *membership, uint32_t zone_id,
			    int64_t now_ms)
{
	switch (zone_watch_update(membership->zones, membership->table, zone_id,
				  now_ms)) {
	case ZONE_UNCHANGED:
		return;
	case ZONE_PARTITIONED:
		emit_zone_event(membership, MEMBER_EVENT_ZONE_CUT, zone_id);
		return;
	case ZONE_HEALED:
		emit_zone_event(membership, MEMBER_EVENT_ZONE_HEALED, zone_id);
		restart_zone_suspicions(membership, zone_id, now_ms);
		return;
	case ZONE_LOST:
		emit_zone_event(membership, MEMBER_EVENT_ZONE_LOST, zone_id);
		mark_zone_dead(membership, zone_id, now_ms);
		return;
	}
}

/*
 * Selects the members whose acknowledgement shows that a suspect's zone is
 * reachable.
 */
static bool is_zone_peer(const void *context, const struct member *member)
{
	const struct member *suspect = context;

	return member != suspect && member_is_live(member) &&
	       member->node.zone_id == suspect->node.zone_id &&
	       !member->is_suspect;
}

static void probe_zone_peers(struct membership *membership,
			     struct member *suspect, int64_t now_ms)
{
	struct member_filter filter = {suspect, is_zone_peer};
	struct member *zone_peers[ZONE_PEER_PROBE_COUNT];
	uint32_t count =
		member_table_sample(membership->table, membership->rand,
				    &filter, zone_peers, ZONE_PEER_PROBE_COUNT);

	for (uint32_t i = 0; i < count; i++) {
		if (zone_peers[i] != membership->self)
			membership_probe(membership, zone_peers[i], now_ms);
	}
}

static bool is_zone_probe_pending(const struct membership *membership,
				  const struct member *suspect)
{
	for (uint32_t i = 0; i < probe_list_count(membership->probes); i++) {
		const struct member_probe *probe =
			probe_list_at(membership->probes, i);
		const struct member *subject =
			member_table_find(membership->table, probe->subject_id);

		if (subject && probe->requester_id == NODE_NONE &&
		    is_zone_peer(suspect, subject))
			return true;
	}
	return false;
}

/*
 * Probes a suspect again before its timeout. At the middle one of these probes,
 * other members of the zone are probed too, because a partition affects more
 * than one member.
 */
static void reprobe_suspect(struct membership *membership,
			    struct member *member, int64_t age_ms,
			    uint32_t timeout_ms, int64_t now_ms)
{
	uint32_t reprobe = member->reprobe_count;

	if (reprobe == REPROBE_COUNT ||
	    age_ms * (REPROBE_COUNT + 1) < (int64_t)timeout_ms * (reprobe + 1))
		return;
	member->reprobe_count++;
	membership_probe(membership, member, now_ms);
	if (reprobe == ZONE_REPROBE_INDEX)
		probe_zone_peers(membership, member, now_ms);
}

/*
 * Returns the suspicion timeout, lengthened if many direct probes of this node
 * fail: the network near it loses messages (the local health of Lifeguard).
 */
static uint32_t scaled_timeout_ms(const struct membership *membership,
				  const struct member *member,
				  uint32_t live_count)
{
	double excess_failure_rate = MAX(0, membership->direct_failure_rate -
						    FAILURE_RATE_TOLERATED_MAX);

	return (uint32_t)((1 + TIMEOUT_STRETCH_FACTOR * excess_failure_rate) *
			  suspicion_timeout_ms(
				  &member->suspicion, live_count,
				  membership->options.probe_interval_ms));
}

/*
 * Declares a suspect dead at its timeout, once no probe of its zone is in
 * flight. If it has acknowledged a probe of this node since the suspicion
 * began, the suspicion restarts instead, whatever other nodes report.
 */
static void update_suspect(struct membership *membership, struct member *member,
			   uint32_t live_count, int64_t now_ms)
{
	uint32_t timeout_ms = scaled_timeout_ms(membership, member, live_count);
	int64_t age_ms = now_ms - member->suspicion.since_ms;

	reprobe_suspect(membership, member, age_ms, timeout_ms, now_ms);
	if (age_ms < timeout_ms || is_zone_probe_pending(membership, member))
		return;
	if (member->last_ack_ms > member->suspicion.since_ms)
		restart_suspicion(member, now_ms);
	else
		membership_mark_dead(membership, member,
				     membership->self->node.node_id, now_ms);
}

/*
 * Returns whether most other members are suspect: then this node itself is
 * likely isolated, and no suspect is declared dead on timeout before
 * zone_partition_timeout_ms.
 */
static bool is_majority_suspect(const struct peer_counts *counts)
{
	return counts->peer_count >= ISOLATION_PEER_COUNT_MIN &&
	       counts->suspect_count * ISOLATION_PEER_DIVISOR >
		       counts->peer_count;
}

static bool is_death_deferred(const struct membership *membership,
			      const struct member *member,
			      const struct peer_counts *counts, int64_t now_ms)
{
	return is_majority_suspect(counts) &&
	       now_ms - member->suspicion.since_ms <
		       membership->options.zone_partition_timeout_ms;
}

/* Returns whether no member of the zone was heard from for CUT_OFF_AFTER_MS. */
static bool is_zone_silent(const struct membership *membership,
			   uint32_t zone_id, int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		const struct member *member =
			member_table_at(membership->table, i);

		if (member->node.zone_id == zone_id &&
		    now_ms - member->last_heard_ms < CUT_OFF_AFTER_MS)
			return false;
	}
	return true;
}

/*
 * Updates is_cut_off. A suspect in a partitioned zone is not assumed dead, but
 * cannot be reached either: other nodes take over its flows until it is heard
 * from again.
 */
static void update_cut_off(struct membership *membership, struct member *member,
			   int64_t now_ms)
{
	bool is_partitioned = membership->is_isolated ||
			      zone_watch_is_partitioned(membership->zones,
							member->node.zone_id);
	bool is_long_suspect =
		now_ms - member->suspicion.since_ms >= CUT_OFF_AFTER_MS;
	bool is_cut_off =
		member->is_suspect &&
		(member->is_cut_off ||
		 (is_partitioned && is_long_suspect &&
		  is_zone_silent(membership, member->node.zone_id, now_ms)));

	if (is_cut_off == member->is_cut_off)
		return;
	member->is_cut_off = is_cut_off;
	membership_mark_changed(membership);
}

static void update_member(struct membership *membership, struct member *member,
			  const struct peer_counts *counts, int64_t now_ms)
{
	uint32_t zone_id = member->node.zone_id;

	update_cut_off(membership, member, now_ms);
	if (!member->is_suspect)
		return;
	if (zone_watch_has_timeout_expired(membership->zones, zone_id, now_ms))
		membership_update_zone(membership, zone_id, now_ms);
	else if (!zone_watch_is_partitioned(membership->zones, zone_id) &&
		 !is_death_deferred(membership, member, counts, now_ms))
		update_suspect(membership, member, counts->peer_count + 1,
			       now_ms);
}

static bool is_retention_expired(const struct membership *membership,
				 const struct member *member, int64_t now_ms)
{
	return !member_is_live(member) &&
	       now_ms - member->died_ms >=
		       membership->options.dead_retention_ms;
}

/*
 * When this node is no longer isolated, restarts the remaining suspicions,
 * because the isolation may have caused them.
 */
static void update_isolation(struct membership *membership,
			     const struct peer_counts *counts, int64_t now_ms)
{
	bool was_isolated = membership->is_isolated;

	membership->is_isolated = is_majority_suspect(counts);
	if (!was_isolated || membership->is_isolated)
		return;
	probe_list_clear(membership->probes);
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (member->is_suspect)
			restart_suspicion(member, now_ms);
	}
}

/*
 * Declares suspects dead at their timeout and removes members that were dead
 * for dead_retention_ms.
 */
void membership_suspicion_tick(struct membership *membership, int64_t now_ms)
{
	struct member_table *table = membership->table;
	struct peer_counts counts = count_peers(membership);
	uint32_t i = 0;

	update_isolation(membership, &counts, now_ms);

	while (i < member_table_count(table)) {
		struct member *member = member_table_at(table, i);

		update_member(membership, member, &counts, now_ms);
		if (!is_retention_expired(membership, member, now_ms)) {
			i++;
			continue;
		}
		membership_emit_event(membership, MEMBER_EVENT_FORGOTTEN,
				      &member->node);
		member_table_remove(table, member);
		membership_mark_changed(membership);
	}
}
