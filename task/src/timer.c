#include <task/timer.h>

#define MS_PER_S 1000
#define US_PER_MS 1000

struct timer {
	struct event *event;
	void *context;
	void (*fire)(void *context);
	struct timeval interval;
	bool is_repeating;
};

static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	struct timer *timer = context;

	if (timer->is_repeating)
		event_add(timer->event, &timer->interval);
	timer->fire(timer->context);
}

/*
 * Creates a timer that is not armed. Free it with timer_free in the same task.
 * Returns NULL if the event cannot be allocated.
 */
struct timer *timer_new(struct task *task, void *context,
			void (*fire)(void *context))
{
	struct timer *timer = g_new0(struct timer, 1);

	timer->context = context;
	timer->fire = fire;
	timer->event = event_new(task_base(task), -1, 0, on_timeout, timer);
	if (!timer->event) {
		g_free(timer);
		return NULL;
	}
	return timer;
}

/* Cancels and frees the timer; NULL is allowed. */
void timer_free(struct timer *timer)
{
	if (!timer)
		return;
	event_free(timer->event);
	g_free(timer);
}

static void arm(struct timer *timer, uint32_t delay_ms, bool is_repeating)
{
	timer->interval.tv_sec = delay_ms / MS_PER_S;
	timer->interval.tv_usec = (delay_ms % MS_PER_S) * US_PER_MS;
	timer->is_repeating = is_repeating;
	event_add(timer->event, &timer->interval);
}

/* Arms the timer to fire after each interval until it is cancelled. */
void timer_every(struct timer *timer, uint32_t interval_ms)
{
	arm(timer, interval_ms, true);
}

/* Arms the timer to fire once, replacing an earlier delay or interval. */
void timer_once(struct timer *timer, uint32_t delay_ms)
{
	arm(timer, delay_ms, false);
}

void timer_cancel(struct timer *timer)
{
	timer->is_repeating = false;
	event_del(timer->event);
}
