#ifndef RELAY_SILENCE_STATE_H
#define RELAY_SILENCE_STATE_H

#include <core/relay_silence.h>
#include <core/relay_zone_health.h>

/* Another zone must have been heard within this time. */
#define OTHER_HEARD_MS 300

/* The mean gap is known after this many messages. */
#define MESSAGE_COUNT_MIN 10

/*
 * heard_ms is the last sign of life, by other nodes' reports too, and seen_ms
 * the last that this node saw itself. gap_units is the mean gap between
 * messages. tags are the targets that left packets unanswered since heard_ms,
 * the first at first_stall_ms and the last at last_stall_ms.
 */
struct relay_silence_record {
	uint32_t zone_id;
	bool is_lost;
	bool is_listed;
	int64_t heard_ms;
	int64_t seen_ms;
	int64_t message_ms;
	uint32_t message_count;
	uint32_t gap_units;
	int64_t first_stall_ms;
	int64_t last_stall_ms;
	int64_t reported_ms;
	int64_t objected_ms;
	int64_t trial_ms;
	uint32_t tag_count;
	uint32_t tags[RELAY_ZONE_STALL_MAX];
};

struct relay_silence {
	struct relay_silence_options options;
	struct relay_silence_record records[RELAY_ZONE_COUNT_MAX];
	uint32_t record_count;
	int64_t ticked_ms;
};

struct relay_silence_record *relay_silence_find(struct relay_silence *silence,
						uint32_t zone_id);
struct relay_silence_record *
relay_silence_find_or_add(struct relay_silence *silence, uint32_t zone_id,
			  int64_t now_ms);
bool relay_silence_is_record_silent(const struct relay_silence_record *record,
				    int64_t now_ms);

#endif
