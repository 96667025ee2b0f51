#ifndef TASK_TIMER_H
#define TASK_TIMER_H

#include <task/task.h>

/* A one-shot or repeating timer on a task's event loop. */
struct timer;

struct timer *timer_new(struct task *task, void *context,
			void (*fire)(void *context));
void timer_free(struct timer *timer);
void timer_every(struct timer *timer, uint32_t interval_ms);
void timer_once(struct timer *timer, uint32_t delay_ms);
void timer_cancel(struct timer *timer);

#endif
