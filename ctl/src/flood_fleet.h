#ifndef CTL_FLOOD_FLEET_H
#define CTL_FLOOD_FLEET_H

#include "flood_stats.h"
#include "flood_target.h"
#include <core/request_director.h>
#include <core/roster.h>

#define FLOOD_NODES_MAX 9
#define FLOOD_TARGETS_MAX 16
#define FLOOD_CALLER_COUNT 20

/*
 * How the nodes schedule requests: with the request director, with the
 * director and one class for all services, or with the baseline proxy, which
 * either has a static limit of 1 per target or retries every failure.
 */
enum flood_policy {
	FLOOD_POLICY_DIRECTOR,
	FLOOD_POLICY_NO_CLASSES,
	FLOOD_POLICY_STATIC_LIMITS,
	FLOOD_POLICY_RETRY_ALWAYS,
};

/* The offered load of each class, in thousandths of the pool's capacity. */
struct flood_load {
	uint32_t load_milli[CLASS_COUNT];
};

/* The fleet of a run, its load before and during the flood, and its faults. */
struct flood_options {
	enum flood_policy policy;
	uint64_t seed;
	uint32_t node_count;
	uint32_t target_count;
	uint32_t slot_count;
	uint32_t zone_count;
	struct flood_load steady_load;
	struct flood_load flood_load;
	int64_t flood_start_ms;
	int64_t end_ms;
	/* A node crashes in the middle of the flood, then a target drains. */
	bool has_planned_events;
	/* One target's health flaps; another is cold when the flood begins. */
	bool has_false_health;
	/* Random faults, after which callers retry failed requests. */
	bool has_chaos;
};

struct flood_fleet;

struct flood_fleet *flood_fleet_new(const struct flood_options *options);
void flood_fleet_free(struct flood_fleet *fleet);
void flood_fleet_run(struct flood_fleet *fleet);
const struct flood_stats *flood_fleet_stats(const struct flood_fleet *fleet);

#endif
