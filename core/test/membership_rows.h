#ifndef MEMBERSHIP_ROWS_H
#define MEMBERSHIP_ROWS_H

#include <stdint.h>

#define INSTANCE_COUNT_MAX 64
#define SEED_COUNT 3
#define UNLIMITED UINT32_MAX

enum action {
	ACT_START,
	ACT_KILL,
	ACT_LEAVE,
	ACT_STOP,
	ACT_PAUSE,
	ACT_RESUME,
	ACT_PARTITION_ZONE,
	ACT_HEAL_ZONE,
	ACT_CUT_LINK,
	ACT_HEAL_LINK,
	ACT_ISOLATE,
	ACT_RECONNECT,
	ACT_SET_LOSS,
	ACT_COUNT,
};

/*
 * An action on instance a, on zone a, or on the link from instance a to
 * instance b. For ACT_SET_LOSS, a is the loss rate of all links, in ppm.
 */
struct step {
	const char *row;
	int64_t at_ms;
	enum action action;
	uint32_t a;
	uint32_t b;
};

/*
 * A fleet, and bounds on what its nodes report in total. A false death is the
 * death of a node that is running and not paused. The set of homes is the nodes
 * that can be the home of flows; home_change_max bounds how often it changes in
 * the view of a node without steps of its own. home_flip_max bounds how often
 * such a view adds or drops one given node; a node that is cut off flips twice,
 * out and back.
 */
struct row {
	const char *name;
	uint32_t node_count;
	uint32_t zone_count;
	uint32_t end_ms;
	uint32_t false_death_max;
	uint32_t died_min;
	uint32_t zone_partition_min;
	uint32_t declared_dead_min;
	uint32_t home_change_max;
	uint32_t home_flip_max;
};

static const struct row rows[] = {
	{"join-eight", 8, 4, 10000, 0, 0, 0, 0, 0, 0},
	{"join-one", 7, 4, 30000, 0, 0, 0, 0, 1, 1},
	{"leave", 8, 4, 30000, 0, 0, 0, 0, 1, 1},
	{"stop-without-leaving", 8, 4, 23000, 0, 0, 0, 0, 1, 1},
	{"death", 8, 4, 35000, 0, 7, 0, 0, 1, 1},
	{"two-deaths-in-two-zones", 8, 4, 35000, 0, 12, 0, 0, 2, 2},
	{"death-and-restart-in-place", 8, 4, 35000, 0, 0, 0, 0, 2, 2},
	{"restart-twice", 8, 4, 35000, 0, 0, 0, 0, 3, 3},
	{"pause-short", 8, 4, 35000, 0, 0, 0, 0, 0, 0},
	{"pause-and-wake", 8, 4, 65000, 0, 7, 0, 1, 2, 2},
	{"pause-longer-than-remembered", 8, 4, 760000, 0, 7, 0, 1, 2, 2},
	{"pause-twice", 8, 4, 105000, 0, 7, 0, 1, 4, 4},
	{"loss-5-percent", 16, 4, 640000, 0, 0, 0, 0, 0, 0},
	{"loss-30-percent", 16, 4, 640000, 0, 0, 0, 0, 0, 0},
	{"death-at-30-percent-loss", 16, 4, 80000, 0, 15, 0, 0, 1, 1},
	{"one-way-cut", 8, 4, 100000, 0, 0, 0, 0, 0, 0},
	{"node-cut-off-and-back", 8, 4, 90000, 7, 7, 0, 1, 2, 2},
	{"zone-cut-and-healed", 8, 4, 170000, 0, 0, 6, 0, 12, 2},
	{"zone-cut-among-single-node-zones", 8, 5, 170000, 0, 0, 6, 0, 12, 2},
	{"zone-cut-thrice", 16, 4, 120000, 0, 0, 12, 0, 72, 6},
	{"zone-cut-longer-than-held", 8, 4, 960000, UNLIMITED, 12, 6, 0,
	 UNLIMITED, UNLIMITED},
	{"node-dies-while-zone-is-cut", 16, 4, 100000, 0, 12, 12, 0, 24, 2},
	{"node-leaves-while-zone-is-cut", 16, 4, 100000, 0, 0, 12, 0, 24, 2},
	{"zone-cut-at-5-percent-loss", 16, 4, 200000, 0, 0, 12, 0, 24, 2},
	{"zone-dies", 16, 4, 700000, 0, 48, 12, 0, 4, 1},
	{"rolling-replacement", 4, 4, 80000, 0, 0, 0, 0, UNLIMITED, UNLIMITED},
	{"node-joins-while-zone-is-cut", 15, 4, 100000, 0, 0, 12, 0, 25, 2},
	{"pause-while-zone-is-cut", 16, 4, 120000, 0, 0, 12, 0, UNLIMITED,
	 UNLIMITED},
	{"two-fleets-meet", 8, 4, 760000, UNLIMITED, 0, 0, 0, UNLIMITED,
	 UNLIMITED},
	{"first-node-alone", 1, 4, 20000, 0, 0, 0, 0, 0, 0},
};

/* The steps of each row, in order of time. */
static const struct step steps[] = {
	{"join-one", 20000, ACT_START, 7, 0},
	{"leave", 20000, ACT_LEAVE, 3, 0},
	{"leave", 25000, ACT_STOP, 3, 0},
	{"stop-without-leaving", 20000, ACT_STOP, 3, 0},
	{"death", 20000, ACT_KILL, 3, 0},
	{"two-deaths-in-two-zones", 20000, ACT_KILL, 3, 0},
	{"two-deaths-in-two-zones", 20000, ACT_KILL, 4, 0},
	{"death-and-restart-in-place", 20000, ACT_KILL, 3, 0},
	{"death-and-restart-in-place", 20100, ACT_START, 3, 0},
	{"restart-twice", 20000, ACT_START, 3, 0},
	{"restart-twice", 20700, ACT_START, 3, 0},
	{"pause-short", 20000, ACT_PAUSE, 3, 0},
	{"pause-short", 21500, ACT_RESUME, 3, 0},
	{"pause-and-wake", 20000, ACT_PAUSE, 3, 0},
	{"pause-and-wake", 50000, ACT_RESUME, 3, 0},
	{"pause-longer-than-remembered", 20000, ACT_PAUSE, 3, 0},
	{"pause-longer-than-remembered", 700000, ACT_RESUME, 3, 0},
	{"pause-twice", 20000, ACT_PAUSE, 3, 0},
	{"pause-twice", 50000, ACT_RESUME, 3, 0},
	{"pause-twice", 50100, ACT_PAUSE, 3, 0},
	{"pause-twice", 90000, ACT_RESUME, 3, 0},
	{"loss-5-percent", 20000, ACT_SET_LOSS, 50000, 0},
	{"loss-5-percent", 620000, ACT_SET_LOSS, 0, 0},
	{"loss-30-percent", 20000, ACT_SET_LOSS, 300000, 0},
	{"loss-30-percent", 620000, ACT_SET_LOSS, 0, 0},
	{"death-at-30-percent-loss", 20000, ACT_SET_LOSS, 300000, 0},
	{"death-at-30-percent-loss", 30000, ACT_KILL, 3, 0},
	{"death-at-30-percent-loss", 60000, ACT_SET_LOSS, 0, 0},
	{"one-way-cut", 20000, ACT_CUT_LINK, 2, 5},
	{"one-way-cut", 80000, ACT_HEAL_LINK, 2, 5},
	{"node-cut-off-and-back", 20000, ACT_ISOLATE, 3, 0},
	{"node-cut-off-and-back", 60000, ACT_RECONNECT, 3, 0},
	{"zone-cut-and-healed", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-and-healed", 140000, ACT_HEAL_ZONE, 1, 0},
	{"zone-cut-among-single-node-zones", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-among-single-node-zones", 80000, ACT_HEAL_ZONE, 1, 0},
	{"zone-cut-thrice", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-thrice", 40000, ACT_HEAL_ZONE, 1, 0},
	{"zone-cut-thrice", 50000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-thrice", 70000, ACT_HEAL_ZONE, 1, 0},
	{"zone-cut-thrice", 72000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-thrice", 90000, ACT_HEAL_ZONE, 1, 0},
	{"zone-cut-longer-than-held", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-longer-than-held", 900000, ACT_HEAL_ZONE, 1, 0},
	{"node-dies-while-zone-is-cut", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"node-dies-while-zone-is-cut", 30000, ACT_KILL, 5, 0},
	{"node-dies-while-zone-is-cut", 60000, ACT_HEAL_ZONE, 1, 0},
	{"node-leaves-while-zone-is-cut", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"node-leaves-while-zone-is-cut", 30000, ACT_STOP, 2, 0},
	{"node-leaves-while-zone-is-cut", 60000, ACT_HEAL_ZONE, 1, 0},
	{"zone-cut-at-5-percent-loss", 15000, ACT_SET_LOSS, 50000, 0},
	{"zone-cut-at-5-percent-loss", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"zone-cut-at-5-percent-loss", 140000, ACT_HEAL_ZONE, 1, 0},
	{"zone-dies", 20000, ACT_KILL, 1, 0},
	{"zone-dies", 20000, ACT_KILL, 5, 0},
	{"zone-dies", 20000, ACT_KILL, 9, 0},
	{"zone-dies", 20000, ACT_KILL, 13, 0},
	{"rolling-replacement", 20000, ACT_START, 4, 0},
	{"rolling-replacement", 25000, ACT_LEAVE, 0, 0},
	{"rolling-replacement", 28000, ACT_STOP, 0, 0},
	{"rolling-replacement", 30000, ACT_START, 0, 0},
	{"rolling-replacement", 35000, ACT_STOP, 1, 0},
	{"rolling-replacement", 35000, ACT_START, 1, 0},
	{"rolling-replacement", 40000, ACT_STOP, 2, 0},
	{"rolling-replacement", 40000, ACT_START, 2, 0},
	{"rolling-replacement", 45000, ACT_STOP, 3, 0},
	{"rolling-replacement", 45000, ACT_START, 3, 0},
	{"rolling-replacement", 50000, ACT_STOP, 4, 0},
	{"node-joins-while-zone-is-cut", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"node-joins-while-zone-is-cut", 35000, ACT_START, 15, 0},
	{"node-joins-while-zone-is-cut", 70000, ACT_HEAL_ZONE, 1, 0},
	{"pause-while-zone-is-cut", 20000, ACT_PARTITION_ZONE, 1, 0},
	{"pause-while-zone-is-cut", 30000, ACT_PAUSE, 2, 0},
	{"pause-while-zone-is-cut", 60000, ACT_RESUME, 2, 0},
	{"pause-while-zone-is-cut", 80000, ACT_HEAL_ZONE, 1, 0},
	{"two-fleets-meet", 20000, ACT_SET_LOSS, 1000000, 0},
	{"two-fleets-meet", 700000, ACT_SET_LOSS, 0, 0},
};

#endif
