#ifndef CHECKER_TASK_H
#define CHECKER_TASK_H

#include <glib.h>
#include <soak/soak_checker.h>

/* A task that owns a checker; callers, hosts and the run post events to it. */
struct checker_task;

struct checker_task *
checker_task_new(const struct soak_checker_options *options, GError **error);
void checker_task_free(struct checker_task *task);
void checker_task_post_flow_event(void *context,
				  const struct flow_event *event);
void checker_task_post_fleet_event(struct checker_task *task,
				   const struct soak_fleet_event *fleet_event);
struct soak_checker *checker_task_join(struct checker_task *task);

#endif
