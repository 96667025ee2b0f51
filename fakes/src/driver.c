#include <fakes/driver.h>

#define PPM_MAX 1000000

/*
 * A message in transit, or a timer if callback is set. Events that are due at
 * the same time run in order of sequence.
 */
struct driver_event {
	int64_t due_ms;
	uint64_t sequence;
	uint32_t from;
	uint32_t to;
	void *payload;
	void (*callback)(void *context);
};

struct driver {
	struct driver_options options;
	int64_t now_ms;
	uint64_t next_sequence;
	GRand *rand;
	GArray *heap;
	struct driver_link *links;
	bool *is_paused;
	GQueue *deferred;
};

/*
 * Creates a driver whose clock is at 0 and whose links all have the properties
 * in options->link. Free it with driver_free.
 */
struct driver *driver_new(const struct driver_options *options)
{
	struct driver *driver = g_new0(struct driver, 1);
	uint32_t count = options->instance_count;

	driver->options = *options;
	driver->rand = g_rand_new_with_seed((guint32)options->seed);
	driver->heap = g_array_new(FALSE, FALSE, sizeof(struct driver_event));
	driver->links = g_new(struct driver_link, (gsize)count * count);
	driver->is_paused = g_new0(bool, count);
	driver->deferred = g_new0(GQueue, count);
	for (uint32_t i = 0; i < count * count; i++)
		driver->links[i] = options->link;
	return driver;
}

static void discard_event(struct driver *driver, struct driver_event *event)
{
	if (!event->callback)
		driver->options.discard(event->payload);
}

static void free_deferred(struct driver *driver, GQueue *deferred)
{
	struct driver_event *event;

	while ((event = g_queue_pop_head(deferred)) != NULL) {
		discard_event(driver, event);
		g_free(event);
	}
}

/*
 * Frees the driver and discards the messages in transit or held for paused
 * instances.
 */
void driver_free(struct driver *driver)
{
	if (!driver)
		return;
	for (guint i = 0; i < driver->heap->len; i++)
		discard_event(driver, &g_array_index(driver->heap,
						     struct driver_event, i));
	for (uint32_t i = 0; i < driver->options.instance_count; i++)
		free_deferred(driver, &driver->deferred[i]);
	g_array_free(driver->heap, TRUE);
	g_rand_free(driver->rand);
	g_free(driver->links);
	g_free(driver->is_paused);
	g_free(driver->deferred);
	g_free(driver);
}

/* Returns the virtual time in milliseconds. */
int64_t driver_now_ms(const struct driver *driver)
{
	return driver->now_ms;
}

/* Returns the random generator of the run, seeded from options->seed. */
GRand *driver_rand(struct driver *driver)
{
	return driver->rand;
}

static bool is_earlier(const struct driver_event *a,
		       const struct driver_event *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms;
	return a->sequence < b->sequence;
}

static void heap_swap(GArray *heap, guint a, guint b)
{
	struct driver_event saved = g_array_index(heap, struct driver_event, a);

	g_array_index(heap, struct driver_event, a) =
		g_array_index(heap, struct driver_event, b);
	g_array_index(heap, struct driver_event, b) = saved;
}

static void heap_push(struct driver *driver, struct driver_event event)
{
	GArray *heap = driver->heap;
	guint child = heap->len;

	event.sequence = driver->next_sequence++;
	g_array_append_val(heap, event);
	while (child > 0) {
		guint parent = (child - 1) / 2;

		if (!is_earlier(
			    &g_array_index(heap, struct driver_event, child),
			    &g_array_index(heap, struct driver_event, parent)))
			return;
		heap_swap(heap, child, parent);
		child = parent;
	}
}

static guint heap_smaller_child(GArray *heap, guint parent)
{
	guint child = 2 * parent + 1;

	if (child + 1 < heap->len &&
	    is_earlier(&g_array_index(heap, struct driver_event, child + 1),
		       &g_array_index(heap, struct driver_event, child)))
		child++;
	return child;
}

static struct driver_event heap_pop(struct driver *driver)
{
	GArray *heap = driver->heap;
	struct driver_event first = g_array_index(heap, struct driver_event, 0);
	guint parent = 0;

	heap_swap(heap, 0, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	while (2 * parent + 1 < heap->len) {
		guint child = heap_smaller_child(heap, parent);

		if (!is_earlier(
			    &g_array_index(heap, struct driver_event, child),
			    &g_array_index(heap, struct driver_event, parent)))
			break;
		heap_swap(heap, child, parent);
		parent = child;
	}
	return first;
}

static bool draw_chance(struct driver *driver, uint32_t ppm)
{
	if (ppm == 0)
		return false;
	return (uint32_t)g_rand_int_range(driver->rand, 0, PPM_MAX) < ppm;
}

static void schedule_delivery(struct driver *driver,
			      const struct driver_link *link, uint32_t from,
			      uint32_t to, void *message)
{
	uint32_t delay_ms = link->delay_ms;

	if (link->jitter_ms > 0)
		delay_ms += (uint32_t)g_rand_int_range(
			driver->rand, 0, (gint32)link->jitter_ms + 1);
	heap_push(driver,
		  (struct driver_event){.due_ms = driver->now_ms + delay_ms,
					.from = from,
					.to = to,
					.payload = message});
}

/*
 * Sends a message and takes ownership of it. The link may lose or duplicate it.
 */
void driver_send(struct driver *driver, uint32_t from, uint32_t to,
		 void *message)
{
	const struct driver_link *link = driver_link(driver, from, to);

	if (link->is_cut || draw_chance(driver, link->loss_ppm)) {
		driver->options.discard(message);
		return;
	}
	if (driver->options.duplicate &&
	    draw_chance(driver, link->duplicate_ppm))
		schedule_delivery(driver, link, from, to,
				  driver->options.duplicate(message));
	schedule_delivery(driver, link, from, to, message);
}

/* Calls callback after delay_ms of virtual time. */
void driver_schedule(struct driver *driver, uint32_t delay_ms, void *context,
		     void (*callback)(void *context))
{
	heap_push(driver,
		  (struct driver_event){.due_ms = driver->now_ms + delay_ms,
					.payload = context,
					.callback = callback});
}

/* Returns the link from one instance to another. It may be modified. */
struct driver_link *driver_link(struct driver *driver, uint32_t from,
				uint32_t to)
{
	return &driver->links[from * driver->options.instance_count + to];
}

/*
 * Pauses or resumes an instance. Messages that arrive at a paused instance are
 * held and delivered when it resumes; timers still run.
 */
void driver_pause(struct driver *driver, uint32_t instance, bool is_paused)
{
	struct driver_event *event;

	driver->is_paused[instance] = is_paused;
	if (is_paused)
		return;
	while ((event = g_queue_pop_head(&driver->deferred[instance])) !=
	       NULL) {
		event->due_ms = driver->now_ms;
		heap_push(driver, *event);
		g_free(event);
	}
}

static void run_event(struct driver *driver, struct driver_event *event)
{
	if (event->callback) {
		event->callback(event->payload);
		return;
	}
	if (driver->is_paused[event->to]) {
		g_queue_push_tail(&driver->deferred[event->to],
				  g_memdup2(event, sizeof(*event)));
		return;
	}
	driver->options.deliver(driver->options.context, event->from, event->to,
				event->payload);
}

/*
 * Runs all events due up to and including end_ms, then sets the clock to
 * end_ms.
 */
void driver_run_until(struct driver *driver, int64_t end_ms)
{
	while (driver->heap->len > 0) {
		struct driver_event event =
			g_array_index(driver->heap, struct driver_event, 0);

		if (event.due_ms > end_ms)
			break;
		event = heap_pop(driver);
		driver->now_ms = MAX(driver->now_ms, event.due_ms);
		run_event(driver, &event);
	}
	driver->now_ms = MAX(driver->now_ms, end_ms);
}
