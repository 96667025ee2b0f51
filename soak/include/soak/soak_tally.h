#ifndef SOAK_SOAK_TALLY_H
#define SOAK_SOAK_TALLY_H

#include <fakes/flow_event.h>
#include <glib.h>
#include <soak/soak_rule.h>
#include <stdbool.h>

/*
 * The counters of a run: requests per second, events by kind, and violations of
 * each rule with a line of text for the first ones.
 */
struct soak_tally;

struct soak_second {
	uint32_t answered_count;
	uint32_t failed_count;
};

struct soak_tally *soak_tally_new(int64_t start_ms);
void soak_tally_free(struct soak_tally *tally);
void soak_tally_count_event(struct soak_tally *tally,
			    const struct flow_event *event,
			    bool is_answer_expected);
void soak_tally_add_violation(struct soak_tally *tally, enum soak_rule rule,
			      int64_t at_ms, const char *text);
uint64_t soak_tally_flow_event_count(const struct soak_tally *tally,
				     enum flow_event_kind kind);
uint32_t soak_tally_violation_count(const struct soak_tally *tally,
				    enum soak_rule rule);
uint32_t soak_tally_violation_sum(const struct soak_tally *tally);
const GPtrArray *soak_tally_violation_lines(const struct soak_tally *tally);
uint32_t soak_tally_second_count(const struct soak_tally *tally);
struct soak_second soak_tally_second(const struct soak_tally *tally,
				     uint32_t second);
bool soak_flow_event_is_failure(enum flow_event_kind kind);

#endif
