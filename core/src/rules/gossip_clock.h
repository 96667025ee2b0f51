#ifndef GOSSIP_CLOCK_H
#define GOSSIP_CLOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when periodic and rate-limited actions are due, from the time of the
 * last action of each kind. last_store_read_ms is the time of the latest store
 * read, by any node, that this node knows of; last_own_read_ms is the time of
 * the last one by this node.
 */
struct gossip_clock {
	GRand *rand;
	int64_t start_ms;
	int64_t last_announce_ms;
	int64_t last_change_ms;
	int64_t last_digest_ms;
	int64_t last_pull_ms;
	int64_t last_report_ms;
	int64_t last_own_read_ms;
	int64_t last_store_read_ms;
	int64_t now_ms;
	int64_t last_repair_ms;
	bool has_started;
};

void gossip_clock_init(struct gossip_clock *clock, GRand *rand);
bool gossip_clock_start(struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_may_announce(const struct gossip_clock *clock,
			       int64_t now_ms);
bool gossip_clock_may_pull(const struct gossip_clock *clock, int64_t now_ms);
uint32_t gossip_clock_since_store_read_ms(const struct gossip_clock *clock);
void gossip_clock_record_store_read(struct gossip_clock *clock,
				    uint32_t age_ms);
void gossip_clock_end_pull(struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_may_repair(const struct gossip_clock *clock, int64_t now_ms);
bool gossip_clock_is_report_due(const struct gossip_clock *clock,
				int64_t now_ms);
bool gossip_clock_is_digest_due(const struct gossip_clock *clock,
				bool is_behind, int64_t now_ms);
bool gossip_clock_is_read_due(const struct gossip_clock *clock, bool is_watcher,
			      bool is_config_known, int64_t now_ms);

#endif
