#include <soak/soak_run.h>

#include "soak_fleet.h"
#include "soak_inject.h"
#include "soak_report.h"

#include <soak/soak_error.h>
#include <task/task.h>

#define POLL_US 10000
#define MS_PER_S 1000
/*
 * RECOVERY_MS: from the end of the last fault until requests must succeed: the
 * maximum update delay of 4 s and a margin. QUIET_MS: the length of the quiet
 * period after it, whose requests are counted.
 */
#define RECOVERY_MS 5000
#define QUIET_MS 4000
/* Time for flows to close; a caller closes a flow at its next response. */
#define FINISH_MS 2000

/* The state of a run, passed to its timers. */
struct run {
	struct soak_fleet *fleet;
	const struct soak_schedule *schedule;
	int64_t start_ms;
};

static void begin_fault(void *context, uint32_t subject, int64_t now_ms)
{
	struct run *run = context;

	soak_inject_begin(run->fleet, soak_schedule_at(run->schedule, subject),
			  now_ms);
}

static void end_fault(void *context, uint32_t subject, int64_t now_ms)
{
	struct run *run = context;

	soak_inject_end(run->fleet, soak_schedule_at(run->schedule, subject),
			now_ms);
}

static void schedule_faults(struct run *run)
{
	for (uint32_t i = 0; i < soak_schedule_count(run->schedule); i++) {
		const struct soak_fault *fault =
			soak_schedule_at(run->schedule, i);
		struct soak_timer begin = {run->start_ms + fault->at_ms, run, i,
					   begin_fault};
		struct soak_timer end = {begin.due_ms + fault->duration_ms, run,
					 i, end_fault};

		soak_timers_add(run->fleet->timers, &begin);
		soak_timers_add(run->fleet->timers, &end);
	}
}

static bool is_stop_requested(const struct run *run)
{
	const volatile sig_atomic_t *flag =
		run->fleet->options.is_stop_requested;

	return flag && *flag;
}

static void run_until(struct run *run, int64_t end_ms)
{
	int64_t next_sample_ms = task_now_ms();

	while (task_now_ms() < end_ms && !is_stop_requested(run)) {
		soak_timers_run(run->fleet->timers, task_now_ms());
		soak_nodes_reap(run->fleet->nodes, task_now_ms());
		if (task_now_ms() >= next_sample_ms) {
			soak_nodes_sample(run->fleet->nodes, task_now_ms());
			next_sample_ms += MS_PER_S;
		}
		g_usleep(POLL_US);
	}
}

static void fill_result(struct soak_result *result,
			const struct soak_fleet *fleet,
			const struct soak_tally *tally)
{
	struct process_usage peak = soak_nodes_peak(fleet->nodes);

	result->violation_count = soak_tally_violation_sum(tally);
	for (int i = 0; i < SOAK_RULE_COUNT; i++)
		result->violation_counts[i] =
			soak_tally_violation_count(tally, (enum soak_rule)i);
	for (uint32_t i = 0; i < soak_tally_second_count(tally); i++) {
		struct soak_second second = soak_tally_second(tally, i);

		result->answered_count += second.answered_count;
		result->failed_count += second.failed_count;
	}
	for (int i = 0; i < FLOW_EVENT_KIND_COUNT; i++)
		result->flow_event_counts[i] = soak_tally_flow_event_count(
			tally, (enum flow_event_kind)i);
	result->memory_kb = peak.memory_kb;
	result->descriptor_count = peak.descriptor_count;
	result->thread_count = peak.thread_count;
}

static bool execute_run(struct run *run, struct soak_result *result,
			GError **error)
{
	struct soak_fleet *fleet = run->fleet;
	struct soak_fleet_event quiet = {.kind = SOAK_FLEET_EVENT_QUIET_PERIOD,
					 .is_planned = true};
	struct soak_checker *checker;

	run->start_ms = task_now_ms();
	schedule_faults(run);
	run_until(run, run->start_ms + soak_schedule_end_ms(run->schedule) +
			       RECOVERY_MS);
	quiet.at_ms = task_now_ms();
	checker_task_post_fleet_event(fleet->checker, &quiet);
	run_until(run, quiet.at_ms + QUIET_MS);
	soak_fleet_finish_callers(fleet);
	run_until(run, quiet.at_ms + QUIET_MS + FINISH_MS);
	if (is_stop_requested(run)) {
		g_set_error(error, SOAK_ERROR, SOAK_ERROR_STOPPED,
			    "interrupted by a signal");
		return false;
	}
	soak_nodes_stop(fleet->nodes);
	checker = checker_task_join(fleet->checker);
	soak_checker_finish(checker, task_now_ms());
	fill_result(result, fleet, soak_checker_tally(checker));
	return soak_report_write(&fleet->options, run->schedule,
				 soak_checker_tally(checker), error);
}

/*
 * Runs a fleet through a schedule, checks it and writes a report to the
 * directory. Returns false if there is no result, with SOAK_ERROR, TASK_ERROR
 * or G_FILE_ERROR; violations are part of the result.
 */
bool soak_run(const struct soak_options *options,
	      const struct soak_schedule *schedule, struct soak_result *result,
	      GError **error)
{
	struct run run = {.schedule = schedule};
	bool is_finished;

	*result = (struct soak_result){0};
	run.fleet = soak_fleet_new(options, error);
	if (!run.fleet)
		return false;
	is_finished = soak_fleet_start_callers(run.fleet, error) &&
		      execute_run(&run, result, error);
	soak_fleet_free(run.fleet);
	return is_finished;
}
