#ifndef CTL_FLOOD_TARGET_H
#define CTL_FLOOD_TARGET_H

#include <core/attempt_outcome.h>
#include <core/request_director.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct driver;
struct flood_target;
struct flood_request;

/* An attempt at a target. The target and the node's live_attempts hold refs. */
struct flood_job {
	uint64_t attempt_id;
	uint64_t node_id;
	struct flood_request *request;
	struct flood_target *target;
	uint32_t work_ms;
	bool is_cancelled;
	bool has_run;
	uint32_t refs;
};

/*
 * A virtual target that runs slot_count jobs at once, queues backlog_limit more
 * and sheds the rest. The benchmark owns the jobs and sets the callbacks:
 * job_started runs when a job starts, then job_ended with the outcome, or
 * job_lost if the response is lost. For a job that doesn't start, only
 * job_ended runs. The next cold_jobs_left
 * jobs take longer, as on a target with a cold cache.
 */
struct flood_target {
	struct driver *driver;
	uint32_t index;
	uint32_t slot_count;
	uint32_t backlog_limit;
	uint32_t running_count;
	uint32_t cold_jobs_left;
	uint32_t duration_percent;
	uint32_t reset_ppm;
	uint32_t response_loss_ppm;
	uint32_t truncation_ppm;
	bool is_dead;
	bool ignores_cancel;
	uint64_t busy_ms;
	GQueue backlog;
	void *context;
	void (*job_started)(void *context, struct flood_job *job);
	void (*job_ended)(void *context, struct flood_job *job,
			  enum attempt_outcome outcome);
	void (*job_lost)(void *context, struct flood_job *job);
};

void flood_target_submit(struct flood_target *target, struct flood_job *job);
void flood_target_clear(struct flood_target *target);

#endif
