#include <core/class_queue.h>

#include <glib.h>

#define CALLER_MEMORY_MS 1000

/* Up to one third of its places nobody is kept out for the others' sake. */
#define UNCONTESTED_DIVISOR 3

/* A request in the queue and since when it waits. */
struct place {
	uint64_t request_id;
	int64_t since_ms;
};

/* What one caller has waiting; it has a link in turns while that is any. */
struct caller {
	uint64_t caller_hash;
	int64_t seen_ms;
	GQueue waiting;
};

struct class_queue {
	uint32_t limit;
	uint32_t patience_ms;
	uint32_t length;
	GHashTable *callers;
	GQueue turns;
	int64_t forgot_ms;
};

static void caller_free(gpointer data)
{
	struct caller *caller = data;

	g_queue_clear_full(&caller->waiting, g_free);
	g_free(caller);
}

/* Makes a queue of at most limit requests; freed with class_queue_free. */
struct class_queue *class_queue_new(uint32_t limit, uint32_t patience_ms)
{
	struct class_queue *queue = g_new0(struct class_queue, 1);

	queue->limit = limit;
	queue->patience_ms = patience_ms;
	queue->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, caller_free);
	g_queue_init(&queue->turns);
	return queue;
}

/* Frees the queue; NULL is allowed. */
void class_queue_free(struct class_queue *queue)
{
	if (!queue)
		return;
	g_queue_clear(&queue->turns);
	g_hash_table_destroy(queue->callers);
	g_free(queue);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer context)
{
	const struct caller *caller = value;
	const int64_t *now_ms = context;

	return caller->waiting.length == 0 &&
	       *now_ms - caller->seen_ms > CALLER_MEMORY_MS;
}

static void forget_callers(struct class_queue *queue, int64_t now_ms)
{
	if (now_ms - queue->forgot_ms < CALLER_MEMORY_MS)
		return;
	queue->forgot_ms = now_ms;
	g_hash_table_foreach_remove(queue->callers, is_forgotten, &now_ms);
}

static struct caller *caller_of(struct class_queue *queue, uint64_t caller_hash)
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
 * Tells whether one more request of the caller may wait when at most limit
 * may in all. Each caller seen in the last second has an equal part of the
 * places, at least one, so a caller that floods finds its own part full and
 * leaves the others theirs. While few places are taken, nobody's part counts.
 */
bool class_queue_has_room(struct class_queue *queue, uint64_t caller_hash,
			  uint32_t limit, int64_t now_ms)
{
	struct caller *caller;
	uint32_t part;

	forget_callers(queue, now_ms);
	if (limit > queue->limit)
		limit = queue->limit;
	caller = caller_of(queue, caller_hash);
	caller->seen_ms = now_ms;
	if (queue->length < limit / UNCONTESTED_DIVISOR)
		return true;
	part = limit / g_hash_table_size(queue->callers);
	if (caller->waiting.length >= MAX(part, 1))
		return false;
	return queue->length < limit;
}

static struct place *new_place(uint64_t request_id, int64_t since_ms)
{
	struct place *place = g_new(struct place, 1);

	place->request_id = request_id;
	place->since_ms = since_ms;
	return place;
}

/* Adds a request behind the caller's others. */
void class_queue_push(struct class_queue *queue, uint64_t caller_hash,
		      uint64_t request_id, int64_t since_ms)
{
	struct caller *caller = caller_of(queue, caller_hash);

	if (caller->waiting.length == 0)
		g_queue_push_tail(&queue->turns, caller);
	g_queue_push_tail(&caller->waiting, new_place(request_id, since_ms));
	queue->length++;
}

/* Puts a request back in front of all others; it had its turn before. */
void class_queue_push_first(struct class_queue *queue, uint64_t caller_hash,
			    uint64_t request_id, int64_t since_ms)
{
	struct caller *caller = caller_of(queue, caller_hash);

	if (caller->waiting.length > 0)
		g_queue_remove(&queue->turns, caller);
	g_queue_push_head(&queue->turns, caller);
	g_queue_push_head(&caller->waiting, new_place(request_id, since_ms));
	queue->length++;
}

static int64_t since_ms(const struct caller *caller)
{
	return ((struct place *)caller->waiting.head->data)->since_ms;
}

/* Gives the turn to the caller that has waited longest beyond patience. */
static void serve_overdue(struct class_queue *queue, int64_t now_ms)
{
	GList *oldest = queue->turns.head;

	for (GList *link = oldest; link; link = link->next) {
		if (since_ms(link->data) < since_ms(oldest->data))
			oldest = link;
	}
	if (!oldest || now_ms - since_ms(oldest->data) < queue->patience_ms)
		return;
	g_queue_unlink(&queue->turns, oldest);
	g_queue_push_head_link(&queue->turns, oldest);
}

/* Returns the request whose turn it is and leaves it; false when empty. */
bool class_queue_peek(struct class_queue *queue, uint64_t *request_id,
		      int64_t now_ms)
{
	const struct caller *caller;

	serve_overdue(queue, now_ms);
	caller = g_queue_peek_head(&queue->turns);
	if (!caller)
		return false;
	*request_id = ((struct place *)caller->waiting.head->data)->request_id;
	return true;
}

/*
 * Takes out the request that class_queue_peek has just returned; returns false
 * when the queue is empty.
 */
bool class_queue_pop(struct class_queue *queue, uint64_t *request_id)
{
	struct caller *caller = g_queue_pop_head(&queue->turns);
	struct place *place;

	if (!caller)
		return false;
	place = g_queue_pop_head(&caller->waiting);
	*request_id = place->request_id;
	g_free(place);
	if (caller->waiting.length > 0)
		g_queue_push_tail(&queue->turns, caller);
	queue->length--;
	return true;
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const struct place *place = a;

	return place->request_id != *(const uint64_t *)b;
}

/* Takes out one request; returns false when it does not wait here. */
bool class_queue_remove(struct class_queue *queue, uint64_t caller_hash,
			uint64_t request_id)
{
	struct caller *caller =
		g_hash_table_lookup(queue->callers, &caller_hash);
	GList *link;

	if (!caller)
		return false;
	link = g_queue_find_custom(&caller->waiting, &request_id, compare_ids);
	if (!link)
		return false;
	g_free(link->data);
	g_queue_delete_link(&caller->waiting, link);
	if (caller->waiting.length == 0)
		g_queue_remove(&queue->turns, caller);
	queue->length--;
	return true;
}

/* Returns how many requests wait. */
uint32_t class_queue_length(const struct class_queue *queue)
{
	return queue->length;
}
