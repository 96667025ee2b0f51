#include "relay_silence_state.h"

/*
 * How long nothing must come from a zone before it may be lost: at least
 * SILENT_MIN_MS, and SILENT_GAP_COUNT times the mean gap between the messages
 * of its nodes, so that the loss of a few messages does not suffice.
 */
#define SILENT_MIN_MS 600
#define SILENT_GAP_COUNT 5

/* Longer gaps count as this long. */
#define GAP_MAX_MS 1000

/* Weight of the last gap in the mean, as a divisor. */
#define GAP_WEIGHT_DIVISOR 8

/* Fractions of a millisecond in which the mean gap is kept. */
#define GAP_UNITS_PER_MS 16

/* A target's silence counts once its zone has been silent for this long. */
#define STALL_SILENT_MS 200

/* This many targets of a zone must leave packets unanswered. */
#define STALLED_COUNT_MIN 3

/*
 * Time between the first unanswered packet and the decision, in which other
 * nodes of the zone can object.
 */
#define OBJECTION_MS 100

/* A node reports stalled targets of a zone that was silent for this long. */
#define REPORT_SILENT_MS 400

/*
 * Minimum interval between a node's reports on a zone, for the first stalled
 * targets and for what the other nodes know.
 */
#define REPORT_INTERVAL_MS 50
#define KNOWN_INTERVAL_MS 500

/* A node objects this often at most. It keeps all from reporting for longer. */
#define OBJECTION_INTERVAL_MS 300

/* Interval at which packets to a lost zone are sent on all the same. */
#define TRIAL_INTERVAL_MS 500

/* Without further unanswered packets a zone is lost for at most this long. */
#define LOST_HOLD_MS 2000

/* The tick runs every 25 ms; after a longer pause no evidence is valid. */
#define PAUSE_MS 250

/* Creates a tracker without zones. Free it with relay_silence_free. */
struct relay_silence *
relay_silence_new(const struct relay_silence_options *options)
{
	struct relay_silence *silence = g_new0(struct relay_silence, 1);

	silence->options = *options;
	return silence;
}

/* Frees the tracker; NULL is allowed. */
void relay_silence_free(struct relay_silence *silence)
{
	g_free(silence);
}

/* Returns the record of a zone, NULL if there is none. */
struct relay_silence_record *relay_silence_find(struct relay_silence *silence,
						uint32_t zone_id)
{
	for (uint32_t i = 0; i < silence->record_count; i++) {
		if (silence->records[i].zone_id == zone_id)
			return &silence->records[i];
	}
	return NULL;
}

/*
 * Returns NULL for a further zone after RELAY_ZONE_COUNT_MAX; such a zone is
 * never lost.
 */
struct relay_silence_record *
relay_silence_find_or_add(struct relay_silence *silence, uint32_t zone_id,
			  int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find(silence, zone_id);

	if (record || silence->record_count == RELAY_ZONE_COUNT_MAX)
		return record;
	record = &silence->records[silence->record_count++];
	record->zone_id = zone_id;
	record->heard_ms = now_ms;
	record->seen_ms = now_ms;
	return record;
}

static void set_lost(struct relay_silence *silence,
		     struct relay_silence_record *record, bool is_lost,
		     int64_t now_ms)
{
	const struct relay_silence_options *options = &silence->options;
	struct relay_zone_change change = {
		.zone_id = record->zone_id,
		.is_lost = is_lost,
		.silent_ms = (uint32_t)(now_ms - record->heard_ms),
		.stalled_count = record->tag_count,
	};

	if (record->is_lost == is_lost)
		return;
	record->is_lost = is_lost;
	record->trial_ms = now_ms;
	if (options->zone_changed)
		options->zone_changed(options->context, &change);
}

/* Ends the loss of a zone and forgets its stalled targets. */
static void clear(struct relay_silence *silence,
		  struct relay_silence_record *record, int64_t heard_ms,
		  int64_t now_ms)
{
	set_lost(silence, record, false, now_ms);
	record->heard_ms = heard_ms;
	record->tag_count = 0;
}

/* Makes all evidence void if the process has paused. */
static void check_pause(struct relay_silence *silence, int64_t now_ms)
{
	if (now_ms - silence->ticked_ms <= PAUSE_MS)
		return;
	silence->ticked_ms = now_ms;
	for (uint32_t i = 0; i < silence->record_count; i++)
		clear(silence, &silence->records[i], now_ms, now_ms);
}

static void add_gap(struct relay_silence_record *record, int64_t now_ms)
{
	uint32_t gap_units =
		(uint32_t)MIN(now_ms - record->message_ms, GAP_MAX_MS) *
		GAP_UNITS_PER_MS;

	if (record->message_count == 0)
		record->gap_units = GAP_MAX_MS * GAP_UNITS_PER_MS;
	else
		record->gap_units =
			(record->gap_units * (GAP_WEIGHT_DIVISOR - 1) +
			 gap_units) /
			GAP_WEIGHT_DIVISOR;
	record->message_ms = now_ms;
	if (record->message_count < MESSAGE_COUNT_MIN)
		record->message_count++;
}

/* Records a message from a node of the zone. */
void relay_silence_record_message(struct relay_silence *silence,
				  uint32_t zone_id, int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find_or_add(silence, zone_id, now_ms);

	if (!record)
		return;
	add_gap(record, now_ms);
	record->seen_ms = now_ms;
	clear(silence, record, now_ms, now_ms);
}

/*
 * Records that a target of the zone received a packet at life_ms or later, as
 * its answer shows.
 */
void relay_silence_record_life(struct relay_silence *silence, uint32_t zone_id,
			       int64_t life_ms, int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find_or_add(silence, zone_id, now_ms);

	if (!record)
		return;
	record->seen_ms = MAX(record->seen_ms, life_ms);
	if (life_ms > record->heard_ms)
		clear(silence, record, life_ms, now_ms);
}

/* Returns whether nothing has come from a zone for too long. */
bool relay_silence_is_record_silent(const struct relay_silence_record *record,
				    int64_t now_ms)
{
	int64_t limit_ms =
		MAX(SILENT_MIN_MS,
		    SILENT_GAP_COUNT * record->gap_units / GAP_UNITS_PER_MS);

	return record->message_count >= MESSAGE_COUNT_MIN &&
	       now_ms - record->heard_ms >= limit_ms;
}

static bool is_other_heard(const struct relay_silence *silence,
			   const struct relay_silence_record *record,
			   int64_t now_ms)
{
	for (uint32_t i = 0; i < silence->record_count; i++) {
		const struct relay_silence_record *other = &silence->records[i];

		if (other != record && now_ms - other->seen_ms < OTHER_HEARD_MS)
			return true;
	}
	return false;
}

static void update_lost(struct relay_silence *silence,
			struct relay_silence_record *record, int64_t now_ms)
{
	if (record->is_lost) {
		if (now_ms - record->last_stall_ms >= LOST_HOLD_MS ||
		    !is_other_heard(silence, record, now_ms))
			clear(silence, record, record->heard_ms, now_ms);
		return;
	}
	if (record->tag_count >= STALLED_COUNT_MIN &&
	    now_ms - record->first_stall_ms >= OBJECTION_MS &&
	    relay_silence_is_record_silent(record, now_ms) &&
	    is_other_heard(silence, record, now_ms))
		set_lost(silence, record, true, now_ms);
}

/* Returns whether the target is one of the first that stalled. */
static bool add_tag(struct relay_silence_record *record, uint32_t tag,
		    int64_t now_ms)
{
	record->last_stall_ms = now_ms;
	if (record->tag_count == 0)
		record->first_stall_ms = now_ms;
	for (uint32_t i = 0; i < record->tag_count; i++) {
		if (record->tags[i] == tag)
			return false;
	}
	if (record->tag_count < RELAY_ZONE_STALL_MAX)
		record->tags[record->tag_count++] = tag;
	return record->tag_count <= STALLED_COUNT_MIN;
}

/* Passes on the stalled targets. is_news: one of them is new to the others. */
static void report_stalls(struct relay_silence *silence,
			  struct relay_silence_record *record, bool is_news,
			  int64_t now_ms)
{
	const struct relay_silence_options *options = &silence->options;
	struct relay_zone_report content = {.zone_id = record->zone_id,
					    .tag_count = record->tag_count};
	int64_t interval_ms = is_news ? REPORT_INTERVAL_MS : KNOWN_INTERVAL_MS;

	if (now_ms - record->heard_ms < REPORT_SILENT_MS ||
	    now_ms - record->reported_ms < interval_ms || !options->report_due)
		return;
	record->reported_ms = now_ms;
	for (uint32_t i = 0; i < record->tag_count; i++)
		content.tags[i] = record->tags[i];
	options->report_due(options->context, &content);
}

static void object(struct relay_silence *silence,
		   struct relay_silence_record *record, int64_t now_ms)
{
	const struct relay_silence_options *options = &silence->options;
	const struct relay_zone_report content = {.zone_id = record->zone_id,
						  .is_alive = true};

	if (now_ms - record->objected_ms < OBJECTION_INTERVAL_MS ||
	    !options->report_due)
		return;
	record->objected_ms = now_ms;
	options->report_due(options->context, &content);
}

/*
 * Records that a caller has sent a packet to the zone's target again, as it had
 * no answer. Tells the other nodes if the zone is silent.
 */
void relay_silence_record_stall(struct relay_silence *silence, uint32_t zone_id,
				uint32_t tag, int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find_or_add(silence, zone_id, now_ms);
	bool is_news;

	check_pause(silence, now_ms);
	if (!record || zone_id == silence->options.own_zone_id ||
	    now_ms - record->heard_ms < STALL_SILENT_MS)
		return;
	is_news = add_tag(record, tag, now_ms);
	report_stalls(silence, record, is_news, now_ms);
	update_lost(silence, record, now_ms);
}

/*
 * Handles a report of another node of this zone. Objects to it if this node has
 * seen a sign of life from the zone itself.
 */
void relay_silence_handle_report(struct relay_silence *silence,
				 const struct relay_zone_report *content,
				 int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find_or_add(silence, content->zone_id, now_ms);

	check_pause(silence, now_ms);
	if (!record || content->zone_id == silence->options.own_zone_id)
		return;
	if (content->is_alive) {
		clear(silence, record, now_ms, now_ms);
		return;
	}
	if (now_ms - record->seen_ms < STALL_SILENT_MS)
		object(silence, record, now_ms);
	if (now_ms - record->heard_ms < STALL_SILENT_MS)
		return;
	for (uint32_t i = 0; i < content->tag_count; i++)
		add_tag(record, content->tags[i], now_ms);
	update_lost(silence, record, now_ms);
}

/* Returns whether the zone is lost to this node. */
bool relay_silence_is_lost(struct relay_silence *silence, uint32_t zone_id,
			   int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find(silence, zone_id);

	if (!record || !record->is_lost)
		return false;
	check_pause(silence, now_ms);
	update_lost(silence, record, now_ms);
	return record->is_lost;
}

/*
 * Returns whether a packet to a lost zone should be sent on all the same, to
 * find out whether the zone is back.
 */
bool relay_silence_take_trial(struct relay_silence *silence, uint32_t zone_id,
			      int64_t now_ms)
{
	struct relay_silence_record *record =
		relay_silence_find(silence, zone_id);

	if (!record || now_ms - record->trial_ms < TRIAL_INTERVAL_MS)
		return false;
	record->trial_ms = now_ms;
	return true;
}

/* Notices pauses of the process and losses that are due or have ended. */
void relay_silence_tick(struct relay_silence *silence, int64_t now_ms)
{
	check_pause(silence, now_ms);
	silence->ticked_ms = now_ms;
	for (uint32_t i = 0; i < silence->record_count; i++)
		update_lost(silence, &silence->records[i], now_ms);
}

/* Returns how many zones are lost. */
uint32_t relay_silence_lost_count(const struct relay_silence *silence)
{
	uint32_t lost_count = 0;

	for (uint32_t i = 0; i < silence->record_count; i++)
		lost_count += silence->records[i].is_lost ? 1 : 0;
	return lost_count;
}
