#include "flood_target.h"

#include <fakes/driver.h>

#define PPM_MAX 1000000
#define COLD_DURATION_PERCENT 400

static bool random_chance(struct flood_target *target, uint32_t probability_ppm)
{
	return probability_ppm > 0 &&
	       (uint32_t)g_rand_int_range(driver_rand(target->driver), 0,
					  PPM_MAX) < probability_ppm;
}

static uint32_t duration_ms(struct flood_target *target,
			    const struct flood_job *job)
{
	uint32_t percent =
		target->duration_percent ? target->duration_percent : 100;

	if (target->cold_jobs_left > 0) {
		target->cold_jobs_left--;
		percent = percent * COLD_DURATION_PERCENT / 100;
	}
	return MAX(job->work_ms * percent / 100, 1);
}

static void start_job(struct flood_target *target, struct flood_job *job);

static void start_next_job(struct flood_target *target)
{
	struct flood_job *job = g_queue_pop_head(&target->backlog);

	while (job && job->is_cancelled && !target->ignores_cancel) {
		target->job_ended(target->context, job, ATTEMPT_TIMEOUT);
		job = g_queue_pop_head(&target->backlog);
	}
	if (job)
		start_job(target, job);
}

static enum attempt_outcome random_outcome(struct flood_target *target)
{
	if (target->is_dead || random_chance(target, target->reset_ppm))
		return ATTEMPT_RESET;
	if (random_chance(target, target->truncation_ppm))
		return ATTEMPT_TRUNCATED;
	return ATTEMPT_COMPLETE;
}

static void finish_job(void *context)
{
	struct flood_job *job = context;
	struct flood_target *target = job->target;

	target->running_count--;
	start_next_job(target);
	if (random_chance(target, target->response_loss_ppm))
		target->job_lost(target->context, job);
	else
		target->job_ended(target->context, job, random_outcome(target));
}

static void start_job(struct flood_target *target, struct flood_job *job)
{
	uint32_t run_ms = duration_ms(target, job);

	target->running_count++;
	target->busy_ms += run_ms;
	job->has_run = true;
	target->job_started(target->context, job);
	driver_schedule(target->driver, run_ms, job, finish_job);
}

/*
 * Runs a job, queues it, or sheds it if slots and backlog are full. A dead
 * target refuses connections. Calls job_ended or job_lost once for each job.
 */
void flood_target_submit(struct flood_target *target, struct flood_job *job)
{
	if (target->is_dead) {
		target->job_ended(target->context, job, ATTEMPT_NOT_SENT);
		return;
	}
	if (job->is_cancelled && !target->ignores_cancel) {
		target->job_ended(target->context, job, ATTEMPT_TIMEOUT);
		return;
	}
	if (target->running_count < target->slot_count)
		start_job(target, job);
	else if (target->backlog.length < target->backlog_limit)
		g_queue_push_tail(&target->backlog, job);
	else
		target->job_ended(target->context, job, ATTEMPT_SHED);
}

/* Empties the backlog; the benchmark frees the jobs. */
void flood_target_clear(struct flood_target *target)
{
	g_queue_clear(&target->backlog);
}
