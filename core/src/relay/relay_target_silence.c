#include <core/relay_target_silence.h>

#include "target_evidence.h"
#include "zone_exchanges.h"

#include <glib.h>

/*
 * A node that has seen a sign of life within this time tells so when another
 * node has evidence against the target.
 */
#define LIFE_MS 1200

/* Evidence without a further unanswered packet is dropped after this time. */
#define EVIDENCE_HOLD_MS 2000

/*
 * Minimum intervals between a node's reports of flows, whatever their targets,
 * and between its objections for one target.
 */
#define REPORT_INTERVAL_MS 100
#define OBJECTION_INTERVAL_MS 300

/* Interval at which packets to a silent target are sent on all the same. */
#define TRIAL_INTERVAL_MS 500

/* The tick runs every 25 ms; after a longer pause no evidence is valid. */
#define PAUSE_MS 250

/* Further targets without answers are not tracked. */
#define RECORD_COUNT_MAX 64

/* A target under suspicion. */
struct target_record {
	uint32_t tag;
	uint32_t zone_id;
	uint64_t target_id;
	uint64_t incarnation;
	bool is_silent;
	int64_t objected_ms;
	int64_t trial_ms;
	struct target_evidence evidence;
};

/* valid_from_ms is when the process started or last paused. */
struct relay_target_silence {
	struct relay_target_silence_options options;
	struct zone_exchanges exchanges;
	struct target_record records[RECORD_COUNT_MAX];
	uint32_t record_count;
	int64_t valid_from_ms;
	int64_t ticked_ms;
	int64_t reported_ms;
};

/*
 * Creates a tracker without evidence. Free it with relay_target_silence_free.
 */
struct relay_target_silence *
relay_target_silence_new(const struct relay_target_silence_options *options)
{
	struct relay_target_silence *silence =
		g_new0(struct relay_target_silence, 1);

	silence->options = *options;
	return silence;
}

/* Frees the tracker; NULL is allowed. */
void relay_target_silence_free(struct relay_target_silence *silence)
{
	g_free(silence);
}

static void set_silent(struct relay_target_silence *silence,
		       struct target_record *record, bool is_silent,
		       int64_t now_ms)
{
	const struct relay_target_silence_options *options = &silence->options;
	struct relay_target_change change = {
		.target_id = record->target_id,
		.zone_id = record->zone_id,
		.is_silent = is_silent,
		.is_alive = !is_silent && record->evidence.flow_count == 0,
		.silent_ms = (uint32_t)(now_ms - record->evidence.heard_ms),
		.flow_count = record->evidence.flow_count,
		.changed_ms = now_ms,
	};

	if (record->is_silent == is_silent)
		return;
	record->is_silent = is_silent;
	record->trial_ms = now_ms;
	if (options->target_changed)
		options->target_changed(options->context, &change);
}

/* Forgets a target; the last record takes its place. */
static void drop(struct relay_target_silence *silence,
		 struct target_record *record, int64_t now_ms)
{
	set_silent(silence, record, false, now_ms);
	*record = silence->records[--silence->record_count];
}

/* Makes all evidence void: this node stood still, or reads packets late. */
void relay_target_silence_void(struct relay_target_silence *silence,
			       int64_t now_ms)
{
	silence->valid_from_ms = now_ms;
	silence->exchanges = (struct zone_exchanges){.zone_count = 0};
	while (silence->record_count > 0)
		drop(silence, &silence->records[0], now_ms);
}

static void check_pause(struct relay_target_silence *silence, int64_t now_ms)
{
	if (now_ms - silence->ticked_ms <= PAUSE_MS)
		return;
	silence->ticked_ms = now_ms;
	relay_target_silence_void(silence, now_ms);
}

/* Returns NULL if the target is not under suspicion. */
static struct target_record *find(struct relay_target_silence *silence,
				  const struct relay_target *entry,
				  int64_t now_ms)
{
	for (uint32_t i = 0; i < silence->record_count; i++) {
		struct target_record *record = &silence->records[i];

		if (record->tag != entry->tag)
			continue;
		if (record->incarnation == entry->target.incarnation)
			return record;
		drop(silence, record, now_ms);
		return NULL;
	}
	return NULL;
}

/* Before the last pause of the process any target may have shown life. */
static int64_t last_life_ms(const struct relay_target_silence *silence,
			    const struct relay_target *entry)
{
	return MAX(entry->life_ms, silence->valid_from_ms);
}

static struct target_record *find_or_add(struct relay_target_silence *silence,
					 const struct relay_target *entry,
					 int64_t now_ms)
{
	struct target_record *record = find(silence, entry, now_ms);

	if (record || silence->record_count == RECORD_COUNT_MAX)
		return record;
	record = &silence->records[silence->record_count++];
	*record = (struct target_record){
		.tag = entry->tag,
		.zone_id = entry->target.zone_id,
		.target_id = entry->target.target_id,
		.incarnation = entry->target.incarnation,
		.evidence.heard_ms = last_life_ms(silence, entry),
	};
	return record;
}

static void object(struct relay_target_silence *silence,
		   struct target_record *record, int64_t life_ms,
		   int64_t now_ms)
{
	const struct relay_target_silence_options *options = &silence->options;
	const struct relay_target_report report = {
		.tag = record->tag,
		.is_alive = true,
		.alive_age_ms = (uint32_t)(now_ms - life_ms),
	};

	if (now_ms - record->objected_ms < OBJECTION_INTERVAL_MS ||
	    !options->report_due)
		return;
	record->objected_ms = now_ms;
	options->report_due(options->context, &report);
}

static void hear(struct relay_target_silence *silence,
		 struct target_record *record, int64_t life_ms, int64_t now_ms)
{
	if (target_evidence_hear(&record->evidence, life_ms))
		set_silent(silence, record, false, now_ms);
}

/*
 * Records that the target received a packet at life_ms or later, as its answer
 * shows. is_prompt: the packet had been sent once. Tells the other nodes if
 * there was evidence against the target.
 */
void relay_target_silence_record_life(struct relay_target_silence *silence,
				      struct relay_target *entry,
				      int64_t life_ms, bool is_prompt,
				      int64_t now_ms)
{
	struct target_record *record;
	bool had_evidence;

	entry->life_ms = MAX(entry->life_ms, life_ms);
	if (is_prompt)
		zone_exchanges_add_prompt(&silence->exchanges,
					  entry->target.zone_id, now_ms);
	else
		zone_exchanges_add_repeated(&silence->exchanges,
					    entry->target.zone_id, now_ms);
	if (silence->record_count == 0)
		return;
	record = find(silence, entry, now_ms);
	if (!record)
		return;
	had_evidence = record->evidence.flow_count > 0;
	hear(silence, record, life_ms, now_ms);
	if (had_evidence && record->evidence.flow_count == 0)
		object(silence, record, life_ms, now_ms);
}

static void tell(struct relay_target_silence *silence,
		 struct target_record *record, uint32_t flow, int64_t now_ms)
{
	const struct relay_target_silence_options *options = &silence->options;
	const struct relay_target_report report = {.tag = record->tag,
						   .flow = flow};

	silence->reported_ms = now_ms;
	target_evidence_note_told(&record->evidence, now_ms);
	if (options->report_due)
		options->report_due(options->context, &report);
}

static void update(struct relay_target_silence *silence,
		   struct target_record *record, int64_t now_ms)
{
	const struct target_evidence *evidence = &record->evidence;

	if (record->is_silent) {
		if (zone_exchanges_are_disturbed(&silence->exchanges,
						 record->zone_id, now_ms))
			set_silent(silence, record, false, now_ms);
		return;
	}
	if (!target_evidence_is_due(evidence, now_ms) ||
	    !zone_exchanges_are_fit(&silence->exchanges, record->zone_id,
				    now_ms))
		return;
	if (!target_evidence_is_told(evidence, now_ms))
		tell(silence, record, evidence->flows[0], now_ms);
	else if (target_evidence_suffices(evidence, now_ms))
		set_silent(silence, record, true, now_ms);
}

/*
 * Records that a flow has sent data to the target again, as it had no answer;
 * is_first: it has not been recorded for the same data yet.
 * Tells the other nodes if this node's other exchanges with the zone are
 * answered.
 */
void relay_target_silence_record_stall(struct relay_target_silence *silence,
				       const struct relay_target *entry,
				       uint32_t flow, bool is_first,
				       int64_t now_ms)
{
	struct target_record *record;

	check_pause(silence, now_ms);
	if (is_first)
		zone_exchanges_add_repeated(&silence->exchanges,
					    entry->target.zone_id, now_ms);
	if (now_ms - last_life_ms(silence, entry) <
	    TARGET_EVIDENCE_STALL_SPAN_MS)
		return;
	record = find_or_add(silence, entry, now_ms);
	if (!record || !zone_exchanges_are_fit(&silence->exchanges,
					       record->zone_id, now_ms))
		return;
	target_evidence_add_flow(&record->evidence, flow, now_ms);
	if (now_ms - silence->reported_ms >= REPORT_INTERVAL_MS)
		tell(silence, record, flow, now_ms);
	update(silence, record, now_ms);
}

/*
 * Handles a report of another node of this zone on the target, which is entry.
 * Objects to it if this node has seen a later sign of life than the sender.
 */
void relay_target_silence_handle_report(
	struct relay_target_silence *silence, const struct relay_target *entry,
	const struct relay_target_report *report, int64_t now_ms)
{
	struct target_record *record;

	check_pause(silence, now_ms);
	if (report->is_alive) {
		record = find(silence, entry, now_ms);
		if (record)
			hear(silence, record, now_ms - report->alive_age_ms,
			     now_ms);
		return;
	}
	record = find_or_add(silence, entry, now_ms);
	if (!record)
		return;
	hear(silence, record, entry->life_ms, now_ms);
	if (now_ms - entry->life_ms < LIFE_MS)
		object(silence, record, entry->life_ms, now_ms);
	if (now_ms - last_life_ms(silence, entry) <
	    TARGET_EVIDENCE_STALL_SPAN_MS)
		return;
	target_evidence_note_told(&record->evidence, now_ms);
	target_evidence_add_flow(&record->evidence, report->flow, now_ms);
	update(silence, record, now_ms);
}

/* Returns whether the target is taken for silent. */
bool relay_target_silence_is_silent(struct relay_target_silence *silence,
				    const struct relay_target *entry,
				    int64_t now_ms)
{
	struct target_record *record;

	if (silence->record_count == 0)
		return false;
	check_pause(silence, now_ms);
	record = find(silence, entry, now_ms);
	if (!record)
		return false;
	update(silence, record, now_ms);
	return record->is_silent;
}

/*
 * Returns whether a packet to a silent target should be sent on all the same,
 * to find out whether it is back.
 */
bool relay_target_silence_take_trial(struct relay_target_silence *silence,
				     const struct relay_target *entry,
				     int64_t now_ms)
{
	struct target_record *record = find(silence, entry, now_ms);

	if (!record || now_ms - record->trial_ms < TRIAL_INTERVAL_MS)
		return false;
	record->trial_ms = now_ms;
	return true;
}

/* Notices pauses of the process, and silences that begin or end. */
void relay_target_silence_tick(struct relay_target_silence *silence,
			       int64_t now_ms)
{
	check_pause(silence, now_ms);
	silence->ticked_ms = now_ms;
	for (uint32_t i = silence->record_count; i-- > 0;) {
		struct target_record *record = &silence->records[i];

		if (now_ms - record->evidence.last_stall_ms >=
			    EVIDENCE_HOLD_MS &&
		    now_ms - record->objected_ms >= OBJECTION_INTERVAL_MS)
			drop(silence, record, now_ms);
		else
			update(silence, record, now_ms);
	}
}

/* Returns how many targets are taken for silent. */
uint32_t relay_target_silence_count(const struct relay_target_silence *silence)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < silence->record_count; i++)
		count += silence->records[i].is_silent ? 1 : 0;
	return count;
}
