#ifndef JUDGE_TASK_H
#define JUDGE_TASK_H

#include <glib.h>
#include <soak/soak_judge.h>

/* A task that owns a judge; ends of flows and the run post to it. */
struct judge_task;

struct judge_task *judge_task_new(const struct soak_judge_options *options,
				  GError **error);
void judge_task_free(struct judge_task *task);
void judge_task_event(void *context, const struct flow_event *event);
void judge_task_fact(struct judge_task *task, const struct soak_fact *fact);
struct soak_judge *judge_task_join(struct judge_task *task);

#endif
