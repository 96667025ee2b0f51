#ifndef GOSSIP_CLOCK_H
#define GOSSIP_CLOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when periodic actions are due, from the time of the last of each
 * kind. store_read_ms is the latest read of the store that this node knows of,
 * by any node, and own_read_ms its own last read.
 */
struct gossip_clock {
	GRand *rand;
	int64_t start_ms;
	int64_t notice_ms;
	int64_t change_ms;
	int64_t digest_ms;
	int64_t pull_ms;
	int64_t report_ms;
	int64_t own_read_ms;
	int64_t store_read_ms;
	int64_t now_ms;
	int64_t repair_ms;
	bool has_started;
};

void gossip_clock_init(struct gossip_clock *clock, GRand *rand);
bool gossip_clock_start(struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_may_notify(const struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_may_pull(const struct gossip_clock *clock, int64_t now_ms);
uint32_t gossip_clock_store_age_ms(const struct gossip_clock *clock);
void gossip_clock_note_store_read(struct gossip_clock *clock, uint32_t age_ms);
void gossip_clock_end_pull(struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_may_repair(const struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_is_report_due(const struct gossip_clock *clock,
				int64_t now_ms);
bool gossip_clock_is_digest_due(const struct gossip_clock *clock,
				bool is_behind, int64_t now_ms);
bool gossip_clock_is_read_due(const struct gossip_clock *clock, bool is_watcher,
			      bool is_config_known, int64_t now_ms);

#endif
