#include "opening_copies.h"

struct opening_copies {
	GQueue queue;
};

/* Creates an empty queue. Free it with opening_copies_free. */
struct opening_copies *opening_copies_new(void)
{
	return g_new0(struct opening_copies, 1);
}

/* Frees the queue with its copies. */
void opening_copies_free(struct opening_copies *copies)
{
	g_queue_clear_full(&copies->queue, g_free);
	g_free(copies);
}

/* Adds a copy, which must not be older than those added before. */
void opening_copies_add(struct opening_copies *copies,
			const struct opening_copy *copy)
{
	g_queue_push_tail(&copies->queue, g_memdup2(copy, sizeof(*copy)));
}

/*
 * Removes the oldest copy, if it was sent before sent_before_ms. Returns false
 * if there is none.
 */
bool opening_copies_take(struct opening_copies *copies,
			 struct opening_copy *copy, int64_t sent_before_ms)
{
	struct opening_copy *oldest = g_queue_peek_head(&copies->queue);

	if (!oldest || oldest->sent_ms >= sent_before_ms)
		return false;
	*copy = *oldest;
	g_free(g_queue_pop_head(&copies->queue));
	return true;
}
