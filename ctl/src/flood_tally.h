#ifndef CTL_FLOOD_TALLY_H
#define CTL_FLOOD_TALLY_H

#include <core/work_class.h>
#include <stdint.h>

#define FLOOD_LATENCY_MAX_MS 20000
#define FLOOD_TALLY_CALLERS 20
#define FLOOD_TALLY_TARGETS 16

/*
 * Counters of one run. doubled: executions beyond the first of an operation
 * that isn't idempotent. wrong_not_run: operations reported as not run that
 * ran. wrong_answers: responses to requests that didn't run. refused_late:
 * refusals after 10 ms or more.
 */
struct flood_tally {
	uint64_t offered[CLASS_COUNT];
	uint64_t answered[CLASS_COUNT];
	uint64_t refused[CLASS_COUNT];
	uint64_t unknown[CLASS_COUNT];
	uint64_t answered_work_ms[CLASS_COUNT];
	uint32_t latency[CLASS_COUNT][FLOOD_LATENCY_MAX_MS];
	uint64_t caller_answered[CLASS_COUNT][FLOOD_TALLY_CALLERS];
	uint64_t refusal_latest_ms;
	uint64_t refused_late;
	uint64_t doubled;
	uint64_t wrong_not_run;
	uint64_t wrong_answers;
	uint64_t repeats_sent;
	uint64_t claims_asked;
	uint64_t claims_taken;
	uint64_t claims_unknown;
	uint64_t claims_granted;
	uint64_t attempts;
	uint64_t sheds;
	uint64_t capacity_work_ms;
	uint64_t target_busy_ms[FLOOD_TALLY_TARGETS];
};

void flood_tally_answer(struct flood_tally *tally, enum work_class work_class,
			uint32_t caller, uint32_t work_ms, int64_t latency_ms);
double flood_tally_p99_ms(const struct flood_tally *tally,
			  enum work_class work_class);
double flood_tally_goodput(const struct flood_tally *tally,
			   enum work_class work_class);

#endif
