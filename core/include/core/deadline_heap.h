#ifndef CORE_DEADLINE_HEAP_H
#define CORE_DEADLINE_HEAP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A min-heap of ids ordered by deadline. An id cannot be removed before its
 * deadline; code that pops an id must check whether it is still in use.
 */
struct deadline_heap;

struct deadline_heap *deadline_heap_new(void);
void deadline_heap_free(struct deadline_heap *heap);
void deadline_heap_push(struct deadline_heap *heap, int64_t due_ms,
			uint64_t id);
int64_t deadline_heap_next_ms(const struct deadline_heap *heap);
bool deadline_heap_pop(struct deadline_heap *heap, int64_t now_ms,
		       uint64_t *id);

#endif
