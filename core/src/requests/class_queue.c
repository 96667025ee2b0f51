#include <core/class_queue.h>

#include <glib.h>

/*
 * How long after its last request a caller without waiting requests still has a
 * share of the queue.
 */
#define CALLER_RETENTION_MS 1000

/* Callers' shares are enforced from a third of the queue's limit on. */
#define SHARING_THRESHOLD_DIVISOR 3

/* A request in the queue and the time when it started to wait. */
struct queue_entry {
	uint64_t request_id;
	int64_t waiting_since_ms;
};

/* One caller's waiting requests; in active_callers while there are any. */
struct caller {
	uint64_t caller_hash;
	int64_t last_seen_ms;
	GQueue waiting;
};

struct class_queue {
	uint32_t limit;
	uint32_t max_wait_ms;
	uint32_t length;
	GHashTable *callers;
	GQueue active_callers;
	int64_t callers_expired_ms;
};

static void caller_free(gpointer data)
{
	struct caller *caller = data;

	g_queue_clear_full(&caller->waiting, g_free);
	g_free(caller);
}

/* Creates a queue of at most limit requests. Free it with class_queue_free. */
struct class_queue *class_queue_new(uint32_t limit, uint32_t max_wait_ms)
{
	struct class_queue *queue = g_new0(struct class_queue, 1);

	queue->limit = limit;
	queue->max_wait_ms = max_wait_ms;
	queue->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, caller_free);
	g_queue_init(&queue->active_callers);
	return queue;
}

/* Frees the queue; NULL is allowed. */
void class_queue_free(struct class_queue *queue)
{
	if (!queue)
		return;
	g_queue_clear(&queue->active_callers);
	g_hash_table_destroy(queue->callers);
	g_free(queue);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer context)
{
	const struct caller *caller = value;
	const int64_t *now_ms = context;

	return caller->waiting.length == 0 &&
	       *now_ms - caller->last_seen_ms > CALLER_RETENTION_MS;
}

static void expire_callers(struct class_queue *queue, int64_t now_ms)
{
	if (now_ms - queue->callers_expired_ms < CALLER_RETENTION_MS)
		return;
	queue->callers_expired_ms = now_ms;
	g_hash_table_foreach_remove(queue->callers, is_expired, &now_ms);
}

static struct caller *find_or_add_caller(struct class_queue *queue,
					 uint64_t caller_hash)
{
	struct caller *caller =
		g_hash_table_lookup(queue->callers, &caller_hash);

	if (caller)
		return caller;
	caller = g_new0(struct caller, 1);
	caller->caller_hash = caller_hash;
	g_queue_init(&caller->waiting);
	g_hash_table_insert(queue->callers, &caller->caller_hash, caller);
	return caller;
}

/*
 * Returns whether one more request of the caller may wait in a queue limited to
 * limit requests in total. Each caller seen within CALLER_RETENTION_MS has an
 * equal share of the queue, at least one entry, so a caller that floods fills
 * only its own share. While less than a third of the limit is used, shares are
 * not enforced.
 */
bool class_queue_has_room(struct class_queue *queue, uint64_t caller_hash,
			  uint32_t limit, int64_t now_ms)
{
	struct caller *caller;
	uint32_t share;

	expire_callers(queue, now_ms);
	if (limit > queue->limit)
		limit = queue->limit;
	caller = find_or_add_caller(queue, caller_hash);
	caller->last_seen_ms = now_ms;
	if (queue->length < limit / SHARING_THRESHOLD_DIVISOR)
		return true;
	share = limit / g_hash_table_size(queue->callers);
	if (caller->waiting.length >= MAX(share, 1))
		return false;
	return queue->length < limit;
}

static struct queue_entry *new_entry(uint64_t request_id,
				     int64_t waiting_since_ms)
{
	struct queue_entry *entry = g_new(struct queue_entry, 1);

	entry->request_id = request_id;
	entry->waiting_since_ms = waiting_since_ms;
	return entry;
}

/* Appends a request to its caller's waiting requests. */
void class_queue_push(struct class_queue *queue, uint64_t caller_hash,
		      uint64_t request_id, int64_t waiting_since_ms)
{
	struct caller *caller = find_or_add_caller(queue, caller_hash);

	if (caller->waiting.length == 0)
		g_queue_push_tail(&queue->active_callers, caller);
	g_queue_push_tail(&caller->waiting,
			  new_entry(request_id, waiting_since_ms));
	queue->length++;
}

/* Puts a request that was removed by class_queue_pop back at the head. */
void class_queue_push_front(struct class_queue *queue, uint64_t caller_hash,
			    uint64_t request_id, int64_t waiting_since_ms)
{
	struct caller *caller = find_or_add_caller(queue, caller_hash);

	if (caller->waiting.length > 0)
		g_queue_remove(&queue->active_callers, caller);
	g_queue_push_head(&queue->active_callers, caller);
	g_queue_push_head(&caller->waiting,
			  new_entry(request_id, waiting_since_ms));
	queue->length++;
}

static int64_t waiting_since_ms(const struct caller *caller)
{
	return ((struct queue_entry *)caller->waiting.head->data)
		->waiting_since_ms;
}

/* Moves the caller whose request waited longest to the head, if overdue. */
static void promote_overdue(struct class_queue *queue, int64_t now_ms)
{
	GList *oldest = queue->active_callers.head;

	for (GList *link = oldest; link; link = link->next) {
		if (waiting_since_ms(link->data) <
		    waiting_since_ms(oldest->data))
			oldest = link;
	}
	if (!oldest ||
	    now_ms - waiting_since_ms(oldest->data) < queue->max_wait_ms)
		return;
	g_queue_unlink(&queue->active_callers, oldest);
	g_queue_push_head_link(&queue->active_callers, oldest);
}

/* Returns the next request without removing it; false when empty. */
bool class_queue_peek(struct class_queue *queue, uint64_t *request_id,
		      int64_t now_ms)
{
	const struct caller *caller;

	promote_overdue(queue, now_ms);
	caller = g_queue_peek_head(&queue->active_callers);
	if (!caller)
		return false;
	*request_id =
		((struct queue_entry *)caller->waiting.head->data)->request_id;
	return true;
}

/*
 * Removes the request that the preceding class_queue_peek returned; returns
 * false when the queue is empty.
 */
bool class_queue_pop(struct class_queue *queue, uint64_t *request_id)
{
	struct caller *caller = g_queue_pop_head(&queue->active_callers);
	struct queue_entry *entry;

	if (!caller)
		return false;
	entry = g_queue_pop_head(&caller->waiting);
	*request_id = entry->request_id;
	g_free(entry);
	if (caller->waiting.length > 0)
		g_queue_push_tail(&queue->active_callers, caller);
	queue->length--;
	return true;
}

static gint compare_request_id(gconstpointer a, gconstpointer b)
{
	const struct queue_entry *entry = a;

	return entry->request_id != *(const uint64_t *)b;
}

/* Removes one request; returns false when it is not in the queue. */
bool class_queue_remove(struct class_queue *queue, uint64_t caller_hash,
			uint64_t request_id)
{
	struct caller *caller =
		g_hash_table_lookup(queue->callers, &caller_hash);
	GList *link;

	if (!caller)
		return false;
	link = g_queue_find_custom(&caller->waiting, &request_id,
				   compare_request_id);
	if (!link)
		return false;
	g_free(link->data);
	g_queue_delete_link(&caller->waiting, link);
	if (caller->waiting.length == 0)
		g_queue_remove(&queue->active_callers, caller);
	queue->length--;
	return true;
}

/* Returns the number of waiting requests. */
uint32_t class_queue_length(const struct class_queue *queue)
{
	return queue->length;
}
