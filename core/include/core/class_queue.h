#ifndef CORE_CLASS_QUEUE_H
#define CORE_CLASS_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The requests of one class that wait for a target. Callers are served round
 * robin, and none may occupy more than its share of the queue; a request that
 * has waited for max_wait_ms is served before all newer ones.
 */
struct class_queue;

struct class_queue *class_queue_new(uint32_t limit, uint32_t max_wait_ms);
void class_queue_free(struct class_queue *queue);
bool class_queue_has_room(struct class_queue *queue, uint64_t caller_hash,
			  uint32_t limit, int64_t now_ms);
void class_queue_push(struct class_queue *queue, uint64_t caller_hash,
		      uint64_t request_id, int64_t waiting_since_ms);
void class_queue_push_front(struct class_queue *queue, uint64_t caller_hash,
			    uint64_t request_id, int64_t waiting_since_ms);
bool class_queue_peek(struct class_queue *queue, uint64_t *request_id,
		      int64_t now_ms);
bool class_queue_pop(struct class_queue *queue, uint64_t *request_id);
bool class_queue_remove(struct class_queue *queue, uint64_t caller_hash,
			uint64_t request_id);
uint32_t class_queue_length(const struct class_queue *queue);

#endif
