#include "soak_timers.h"

struct soak_timers {
	GQueue queue;
};

/* Creates an empty list of timers; free it with soak_timers_free. */
struct soak_timers *soak_timers_new(void)
{
	return g_new0(struct soak_timers, 1);
}

/* Frees the list and its pending timers, without calling them. */
void soak_timers_free(struct soak_timers *timers)
{
	g_queue_clear_full(&timers->queue, g_free);
	g_free(timers);
}

static gint compare_due_times(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct soak_timer *left = a;
	const struct soak_timer *right = b;

	return (left->due_ms > right->due_ms) - (left->due_ms < right->due_ms);
}

/* Adds a copy of a timer, after those with the same due time. */
void soak_timers_add(struct soak_timers *timers, const struct soak_timer *timer)
{
	g_queue_insert_sorted(&timers->queue, g_memdup2(timer, sizeof(*timer)),
			      compare_due_times, NULL);
}

/* Calls all due timers, including those that a callback adds. */
void soak_timers_run(struct soak_timers *timers, int64_t now_ms)
{
	struct soak_timer *timer = g_queue_peek_head(&timers->queue);

	while (timer && timer->due_ms <= now_ms) {
		g_queue_pop_head(&timers->queue);
		timer->callback(timer->context, timer->subject, now_ms);
		g_free(timer);
		timer = g_queue_peek_head(&timers->queue);
	}
}
