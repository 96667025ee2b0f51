#include "flood_target.h"

#include <fakes/driver.h>

#define PPM 1000000
#define COLD_PERCENT 400

static bool draw(struct flood_target *target, uint32_t ppm)
{
	return ppm > 0 && (uint32_t)g_rand_int_range(
				  driver_rand(target->driver), 0, PPM) < ppm;
}

static uint32_t duration_ms(struct flood_target *target,
			    const struct flood_job *job)
{
	uint32_t percent = target->slow_percent ? target->slow_percent : 100;

	if (target->cold_jobs_left > 0) {
		target->cold_jobs_left--;
		percent = percent * COLD_PERCENT / 100;
	}
	return MAX(job->work_ms * percent / 100, 1);
}

static void run(struct flood_target *target, struct flood_job *job);

static void run_next(struct flood_target *target)
{
	struct flood_job *job = g_queue_pop_head(&target->backlog);

	while (job && job->is_cancelled && !target->ignores_cancel) {
		target->answer(target->context, job, ATTEMPT_TIMEOUT);
		job = g_queue_pop_head(&target->backlog);
	}
	if (job)
		run(target, job);
}

static enum attempt_outcome outcome_of(struct flood_target *target)
{
	if (target->is_dead || draw(target, target->reset_ppm))
		return ATTEMPT_RESET;
	if (draw(target, target->truncate_ppm))
		return ATTEMPT_TRUNCATED;
	return ATTEMPT_COMPLETE;
}

static void finish(void *context)
{
	struct flood_job *job = context;
	struct flood_target *target = job->target;

	target->running_count--;
	run_next(target);
	if (draw(target, target->lose_ppm))
		target->lose(target->context, job);
	else
		target->answer(target->context, job, outcome_of(target));
}

static void run(struct flood_target *target, struct flood_job *job)
{
	uint32_t took_ms = duration_ms(target, job);

	target->running_count++;
	target->busy_ms += took_ms;
	job->has_run = true;
	target->ran(target->context, job);
	driver_after(target->driver, took_ms, job, finish);
}

/*
 * Runs a job, queues it, or sheds it if slots and backlog are full. A dead
 * target refuses connections. Calls answer or lose once for each job.
 */
void flood_target_take(struct flood_target *target, struct flood_job *job)
{
	if (target->is_dead) {
		target->answer(target->context, job, ATTEMPT_NOT_SENT);
		return;
	}
	if (job->is_cancelled && !target->ignores_cancel) {
		target->answer(target->context, job, ATTEMPT_TIMEOUT);
		return;
	}
	if (target->running_count < target->slot_count)
		run(target, job);
	else if (target->backlog.length < target->backlog_limit)
		g_queue_push_tail(&target->backlog, job);
	else
		target->answer(target->context, job, ATTEMPT_SHED);
}

/* Empties the backlog; the benchmark frees the jobs. */
void flood_target_clear(struct flood_target *target)
{
	g_queue_clear(&target->backlog);
}
