#ifndef CTL_LOAD_TASK_H
#define CTL_LOAD_TASK_H

#include <core/endpoint.h>
#include <ctl/load_class.h>
#include <ctl/load_result.h>
#include <task/task.h>

/*
 * HTTP requests in an open loop: arrivals are a Poisson process drawn from the
 * seed and do not wait for answers. With closed_count set, that many callers
 * send their next request when the answer to the last has come instead. It
 * ends by itself after duration_ms and the answers still out.
 */
struct load_task;

struct load_options {
	const struct endpoint *nodes;
	uint32_t node_count;
	const struct load_class *classes;
	uint32_t class_count;
	uint32_t rate_per_s;
	uint32_t closed_count;
	uint32_t duration_ms;
	uint32_t timeout_ms;
	uint32_t open_limit;
	uint64_t seed;
	/* The answer must end with the path that was asked for. */
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
