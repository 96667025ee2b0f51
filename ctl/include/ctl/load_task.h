#ifndef CTL_LOAD_TASK_H
#define CTL_LOAD_TASK_H

#include <core/endpoint.h>
#include <ctl/load_class.h>
#include <ctl/load_result.h>
#include <task/task.h>

/*
 * A task that sends HTTP requests in an open loop: arrivals are a Poisson
 * process drawn from the seed and do not wait for responses. If
 * closed_loop_caller_count is not 0, the loop is closed: each of that many
 * callers sends its next request when its last one has ended. The load
 * generator ends after duration_ms, once no request is open.
 */
struct load_task;

struct load_options {
	const struct endpoint *nodes;
	uint32_t node_count;
	const struct load_class *classes;
	uint32_t class_count;
	uint32_t rate_per_s;
	uint32_t closed_loop_caller_count;
	uint32_t duration_ms;
	uint32_t timeout_ms;
	/* Arrivals beyond this many open requests are counted but not sent. */
	uint32_t open_limit;
	uint64_t seed;
	/* A response must end with the path of its request. */
	bool is_echo_checked;
};

struct load_task *load_task_new(const struct load_options *options,
				GError **error);
void load_task_free(struct load_task *load);
void load_task_join(struct load_task *load);
uint64_t load_task_done_count(const struct load_task *load);
const struct load_result *load_task_result(const struct load_task *load,
					   uint32_t class_index);

#endif
