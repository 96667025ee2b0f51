#include <core/deadline_heap.h>

#include <glib.h>

struct deadline {
	int64_t due_ms;
	uint64_t id;
};

struct deadline_heap {
	GArray *deadlines;
};

/* Creates an empty heap. Free it with deadline_heap_free. */
struct deadline_heap *deadline_heap_new(void)
{
	struct deadline_heap *heap = g_new0(struct deadline_heap, 1);

	heap->deadlines = g_array_new(FALSE, FALSE, sizeof(struct deadline));
	return heap;
}

/* Frees the heap; NULL is allowed. */
void deadline_heap_free(struct deadline_heap *heap)
{
	if (!heap)
		return;
	g_array_free(heap->deadlines, TRUE);
	g_free(heap);
}

static struct deadline *at(const struct deadline_heap *heap, guint index)
{
	return &g_array_index(heap->deadlines, struct deadline, index);
}

static void swap(struct deadline_heap *heap, guint a, guint b)
{
	struct deadline saved = *at(heap, a);

	*at(heap, a) = *at(heap, b);
	*at(heap, b) = saved;
}

/* Adds an id. The same id may be added more than once. */
void deadline_heap_push(struct deadline_heap *heap, int64_t due_ms, uint64_t id)
{
	struct deadline deadline = {.due_ms = due_ms, .id = id};
	guint child = heap->deadlines->len;

	g_array_append_val(heap->deadlines, deadline);
	while (child > 0) {
		guint parent = (child - 1) / 2;

		if (at(heap, parent)->due_ms <= at(heap, child)->due_ms)
			return;
		swap(heap, child, parent);
		child = parent;
	}
}

/* Returns the earliest deadline, or INT64_MAX if the heap is empty. */
int64_t deadline_heap_next_ms(const struct deadline_heap *heap)
{
	return heap->deadlines->len ? at(heap, 0)->due_ms : INT64_MAX;
}

static void sift_down(struct deadline_heap *heap)
{
	guint parent = 0;
	guint count = heap->deadlines->len;

	while (2 * parent + 1 < count) {
		guint child = 2 * parent + 1;

		if (child + 1 < count &&
		    at(heap, child + 1)->due_ms < at(heap, child)->due_ms)
			child++;
		if (at(heap, parent)->due_ms <= at(heap, child)->due_ms)
			return;
		swap(heap, child, parent);
		parent = child;
	}
}

/*
 * Removes one id whose deadline has passed and stores it in *id. Returns false
 * if there is none.
 */
bool deadline_heap_pop(struct deadline_heap *heap, int64_t now_ms, uint64_t *id)
{
	guint last;

	if (deadline_heap_next_ms(heap) > now_ms)
		return false;
	last = heap->deadlines->len - 1;
	*id = at(heap, 0)->id;
	swap(heap, 0, last);
	g_array_set_size(heap->deadlines, last);
	sift_down(heap);
	return true;
}
