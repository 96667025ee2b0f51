#include "soak_steps.h"

struct soak_steps {
	GQueue queue;
};

/* Makes an empty list; the caller frees it. */
struct soak_steps *soak_steps_new(void)
{
	return g_new0(struct soak_steps, 1);
}

/* Frees a list and what was still to be done. */
void soak_steps_free(struct soak_steps *steps)
{
	g_queue_clear_full(&steps->queue, g_free);
	g_free(steps);
}

static gint compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct soak_step *left = a;
	const struct soak_step *right = b;

	return (left->due_ms > right->due_ms) - (left->due_ms < right->due_ms);
}

/* Adds a step, behind those that are due at the same time. */
void soak_steps_add(struct soak_steps *steps, const struct soak_step *step)
{
	g_queue_insert_sorted(&steps->queue, g_memdup2(step, sizeof(*step)),
			      compare, NULL);
}

/* Does what is due, and what that makes due. */
void soak_steps_run(struct soak_steps *steps, int64_t now_ms)
{
	struct soak_step *step = g_queue_peek_head(&steps->queue);

	while (step && step->due_ms <= now_ms) {
		g_queue_pop_head(&steps->queue);
		step->act(step->context, step->subject, now_ms);
		g_free(step);
		step = g_queue_peek_head(&steps->queue);
	}
}
