#include "membership_state.h"

#define ZONE_CHECK_COUNT 2

/* A suspect is probed again after each quarter of its time but the last. */
#define CHECK_COUNT 3
#define ZONE_CHECK 1
#define ISOLATION_OTHER_COUNT_MIN 3
#define ISOLATION_DIVISOR 2
#define CUT_OFF_AFTER_MS 4000

/* Failures below this share say nothing; above it they buy time. */
#define FAILURE_SHARE_FREE 0.25
#define PATIENCE 5

/* The members that live besides this node, and how many are suspect. */
struct fleet_tally {
	uint32_t other_count;
	uint32_t suspect_count;
};

static struct fleet_tally tally_others(const struct membership *membership)
{
	struct fleet_tally tally = {.other_count = 0};

	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		const struct member *member =
			member_table_at(membership->table, i);

		if (member == membership->self || !member_is_live(member))
			continue;
		tally.other_count++;
		tally.suspect_count += member->is_suspect;
	}
	return tally;
}

static void report_zone(struct membership *membership,
			enum member_event_kind kind, uint32_t zone_id)
{
	struct node zone = {.zone_id = zone_id};

	membership_report(membership, kind, &zone);
}

static bool is_suspect_of(const struct member *member, uint32_t zone_id)
{
	return member->node.zone_id == zone_id && member->is_suspect;
}

static void bury_zone(struct membership *membership, uint32_t zone_id,
		      int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (is_suspect_of(member, zone_id))
			membership_bury(membership, member,
					membership->self->node.node_id, now_ms);
	}
}

static void restart_suspicion(struct member *member, int64_t now_ms)
{
	suspicion_start(&member->suspicion, now_ms);
	member->check_count = 0;
}

/* Those still silent when their zone is back are judged one by one. */
static void restart_suspicions(struct membership *membership, uint32_t zone_id,
			       int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (is_suspect_of(member, zone_id))
			restart_suspicion(member, now_ms);
	}
}

/* Sees whether a zone is cut off, back, or lost for good. */
void membership_judge_zone(struct membership *membership, uint32_t zone_id,
			   int64_t now_ms)
{
	switch (zone_watch_update(membership->zones, membership->table, zone_id,
				  now_ms)) {
	case ZONE_UNCHANGED:
		return;
	case ZONE_CUT:
		report_zone(membership, MEMBER_EVENT_ZONE_CUT, zone_id);
		return;
	case ZONE_HEALED:
		report_zone(membership, MEMBER_EVENT_ZONE_HEALED, zone_id);
		restart_suspicions(membership, zone_id, now_ms);
		return;
	case ZONE_LOST:
		report_zone(membership, MEMBER_EVENT_ZONE_LOST, zone_id);
		bury_zone(membership, zone_id, now_ms);
		return;
	}
}

/* The members whose answer tells whether a suspect's zone is reachable. */
static bool is_zone_mate(const void *context, const struct member *member)
{
	const struct member *suspect = context;

	return member != suspect && member_is_live(member) &&
	       member->node.zone_id == suspect->node.zone_id &&
	       !member->is_suspect;
}

static void check_zone(struct membership *membership, struct member *suspect,
		       int64_t now_ms)
{
	struct member_filter filter = {suspect, is_zone_mate};
	struct member *mates[ZONE_CHECK_COUNT];
	uint32_t count =
		member_table_choose(membership->table, membership->rand,
				    &filter, mates, ZONE_CHECK_COUNT);

	for (uint32_t i = 0; i < count; i++) {
		if (mates[i] != membership->self)
			membership_probe(membership, mates[i], now_ms);
	}
}

static bool is_zone_being_checked(const struct membership *membership,
				  const struct member *suspect)
{
	for (uint32_t i = 0; i < probe_list_count(membership->probes); i++) {
		const struct member_probe *probe =
			probe_list_at(membership->probes, i);
		const struct member *target =
			member_table_find(membership->table, probe->target_id);

		if (target && probe->requester_id == NODE_NONE &&
		    is_zone_mate(suspect, target))
			return true;
	}
	return false;
}

/*
 * Asks again before it is too late, and in the middle asks others of the zone
 * too, since a zone that is cut off shows in more than one of its members.
 */
static void check_suspect(struct membership *membership, struct member *member,
			  int64_t age_ms, uint32_t timeout_ms, int64_t now_ms)
{
	uint32_t check = member->check_count;

	if (check == CHECK_COUNT ||
	    age_ms * (CHECK_COUNT + 1) < (int64_t)timeout_ms * (check + 1))
		return;
	member->check_count++;
	membership_probe(membership, member, now_ms);
	if (check == ZONE_CHECK)
		check_zone(membership, member, now_ms);
}

/*
 * A node many of whose probes need a second way gives suspects more time: the
 * network around it loses messages (the local health of Lifeguard).
 */
static uint32_t timeout_of(const struct membership *membership,
			   const struct member *member, uint32_t live_count)
{
	double excess =
		MAX(0, membership->direct_failure_share - FAILURE_SHARE_FREE);

	return (uint32_t)((1 + PATIENCE * excess) *
			  suspicion_timeout_ms(
				  &member->suspicion, live_count,
				  membership->options.probe_interval_ms));
}

/* An answer since then clears the member here, whatever others say. */
static void age_suspect(struct membership *membership, struct member *member,
			uint32_t live_count, int64_t now_ms)
{
	uint32_t timeout_ms = timeout_of(membership, member, live_count);
	int64_t age_ms = now_ms - member->suspicion.since_ms;

	check_suspect(membership, member, age_ms, timeout_ms, now_ms);
	if (age_ms < timeout_ms || is_zone_being_checked(membership, member))
		return;
	if (member->acked_ms > member->suspicion.since_ms)
		restart_suspicion(member, now_ms);
	else
		membership_bury(membership, member,
				membership->self->node.node_id, now_ms);
}

/*
 * A node to which most others are silent is itself cut off: it buries nobody
 * as long as a zone would be held.
 */
static bool is_isolated(const struct fleet_tally *tally)
{
	return tally->other_count >= ISOLATION_OTHER_COUNT_MIN &&
	       tally->suspect_count * ISOLATION_DIVISOR > tally->other_count;
}

static bool is_held(const struct membership *membership,
		    const struct member *member,
		    const struct fleet_tally *tally, int64_t now_ms)
{
	return is_isolated(tally) && now_ms - member->suspicion.since_ms <
					     membership->options.zone_hold_ms;
}

/* Tells whether nothing came from a whole zone for a while. */
static bool is_zone_silent(const struct membership *membership,
			   uint32_t zone_id, int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		const struct member *member =
			member_table_at(membership->table, i);

		if (member->node.zone_id == zone_id &&
		    now_ms - member->heard_ms < CUT_OFF_AFTER_MS)
			return false;
	}
	return true;
}

/*
 * A suspect of a zone that is cut off is not held for dead, but nothing can be
 * sent to it either: others stand in for it until it is heard of again.
 */
static void note_cut_off(struct membership *membership, struct member *member,
			 int64_t now_ms)
{
	bool is_held =
		membership->is_isolated ||
		zone_watch_is_cut(membership->zones, member->node.zone_id);
	bool is_long = now_ms - member->suspicion.since_ms >= CUT_OFF_AFTER_MS;
	bool is_cut_off =
		member->is_suspect &&
		(member->is_cut_off ||
		 (is_held && is_long &&
		  is_zone_silent(membership, member->node.zone_id, now_ms)));

	if (is_cut_off == member->is_cut_off)
		return;
	member->is_cut_off = is_cut_off;
	membership_mark_changed(membership);
}

static void age_member(struct membership *membership, struct member *member,
		       const struct fleet_tally *tally, int64_t now_ms)
{
	uint32_t zone_id = member->node.zone_id;

	note_cut_off(membership, member, now_ms);
	if (!member->is_suspect)
		return;
	if (zone_watch_is_due(membership->zones, zone_id, now_ms))
		membership_judge_zone(membership, zone_id, now_ms);
	else if (!zone_watch_is_cut(membership->zones, zone_id) &&
		 !is_held(membership, member, tally, now_ms))
		age_suspect(membership, member, tally->other_count + 1, now_ms);
}

static bool is_forgotten(const struct membership *membership,
			 const struct member *member, int64_t now_ms)
{
	return !member_is_live(member) &&
	       now_ms - member->dead_ms >= membership->options.forget_ms;
}

/* When a node is back among the others, it judges those still silent anew. */
static void note_isolation(struct membership *membership,
			   const struct fleet_tally *tally, int64_t now_ms)
{
	bool was_isolated = membership->is_isolated;

	membership->is_isolated = is_isolated(tally);
	if (!was_isolated || membership->is_isolated)
		return;
	probe_list_clear(membership->probes);
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (member->is_suspect)
			restart_suspicion(member, now_ms);
	}
}

/* Ends suspicions whose time is up and forgets members long dead. */
void membership_expire(struct membership *membership, int64_t now_ms)
{
	struct member_table *table = membership->table;
	struct fleet_tally tally = tally_others(membership);
	uint32_t i = 0;

	note_isolation(membership, &tally, now_ms);

	while (i < member_table_count(table)) {
		struct member *member = member_table_at(table, i);

		age_member(membership, member, &tally, now_ms);
		if (!is_forgotten(membership, member, now_ms)) {
			i++;
			continue;
		}
		membership_report(membership, MEMBER_EVENT_FORGOTTEN,
				  &member->node);
		member_table_remove(table, member);
		membership_mark_changed(membership);
	}
}
