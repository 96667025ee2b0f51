#include <fakes/driver.h>

#define PPM_MAX 1000000

/* A message on its way, or a timer when fire is set. */
struct due {
	int64_t due_ms;
	uint64_t order;
	uint32_t from;
	uint32_t to;
	void *payload;
	void (*fire)(void *context);
};

struct driver {
	struct driver_options options;
	int64_t now_ms;
	uint64_t next_order;
	GRand *rand;
	GArray *heap;
	struct driver_link *links;
	bool *is_paused;
	GQueue *held;
};

/*
 * Makes a driver whose clock stands at 0 and whose links are all alike. The
 * caller frees it with driver_free.
 */
struct driver *driver_new(const struct driver_options *options)
{
	struct driver *driver = g_new0(struct driver, 1);
	uint32_t count = options->instance_count;

	driver->options = *options;
	driver->rand = g_rand_new_with_seed((guint32)options->seed);
	driver->heap = g_array_new(FALSE, FALSE, sizeof(struct due));
	driver->links = g_new(struct driver_link, (gsize)count * count);
	driver->is_paused = g_new0(bool, count);
	driver->held = g_new0(GQueue, count);
	for (uint32_t i = 0; i < count * count; i++)
		driver->links[i] = options->link;
	return driver;
}

static void discard(struct driver *driver, struct due *due)
{
	if (!due->fire)
		driver->options.discard(due->payload);
}

static void free_held(struct driver *driver, GQueue *held)
{
	struct due *due;

	while ((due = g_queue_pop_head(held)) != NULL) {
		discard(driver, due);
		g_free(due);
	}
}

/* Frees the driver and the messages still on their way. */
void driver_free(struct driver *driver)
{
	if (!driver)
		return;
	for (guint i = 0; i < driver->heap->len; i++)
		discard(driver, &g_array_index(driver->heap, struct due, i));
	for (uint32_t i = 0; i < driver->options.instance_count; i++)
		free_held(driver, &driver->held[i]);
	g_array_free(driver->heap, TRUE);
	g_rand_free(driver->rand);
	g_free(driver->links);
	g_free(driver->is_paused);
	g_free(driver->held);
	g_free(driver);
}

/* Returns virtual time in milliseconds. */
int64_t driver_now_ms(const struct driver *driver)
{
	return driver->now_ms;
}

/* Returns the generator that the whole run draws from. */
GRand *driver_rand(struct driver *driver)
{
	return driver->rand;
}

static bool is_before(const struct due *a, const struct due *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms;
	return a->order < b->order;
}

static void swap(GArray *heap, guint a, guint b)
{
	struct due held = g_array_index(heap, struct due, a);

	g_array_index(heap, struct due, a) = g_array_index(heap, struct due, b);
	g_array_index(heap, struct due, b) = held;
}

static void push(struct driver *driver, struct due due)
{
	GArray *heap = driver->heap;
	guint child = heap->len;

	due.order = driver->next_order++;
	g_array_append_val(heap, due);
	while (child > 0) {
		guint parent = (child - 1) / 2;

		if (!is_before(&g_array_index(heap, struct due, child),
			       &g_array_index(heap, struct due, parent)))
			return;
		swap(heap, child, parent);
		child = parent;
	}
}

static guint smaller_child(GArray *heap, guint parent)
{
	guint child = 2 * parent + 1;

	if (child + 1 < heap->len &&
	    is_before(&g_array_index(heap, struct due, child + 1),
		      &g_array_index(heap, struct due, child)))
		child++;
	return child;
}

static struct due pop(struct driver *driver)
{
	GArray *heap = driver->heap;
	struct due first = g_array_index(heap, struct due, 0);
	guint parent = 0;

	swap(heap, 0, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	while (2 * parent + 1 < heap->len) {
		guint child = smaller_child(heap, parent);

		if (!is_before(&g_array_index(heap, struct due, child),
			       &g_array_index(heap, struct due, parent)))
			break;
		swap(heap, child, parent);
		parent = child;
	}
	return first;
}

static bool draw_ppm(struct driver *driver, uint32_t ppm)
{
	if (ppm == 0)
		return false;
	return (uint32_t)g_rand_int_range(driver->rand, 0, PPM_MAX) < ppm;
}

static void send_once(struct driver *driver, const struct driver_link *link,
		      uint32_t from, uint32_t to, void *message)
{
	uint32_t delay_ms = link->delay_ms;

	if (link->jitter_ms > 0)
		delay_ms += (uint32_t)g_rand_int_range(
			driver->rand, 0, (gint32)link->jitter_ms + 1);
	push(driver, (struct due){.due_ms = driver->now_ms + delay_ms,
				  .from = from,
				  .to = to,
				  .payload = message});
}

/* Sends a message and takes ownership of it; the link may lose it. */
void driver_send(struct driver *driver, uint32_t from, uint32_t to,
		 void *message)
{
	const struct driver_link *link = driver_link(driver, from, to);

	if (link->is_cut || draw_ppm(driver, link->loss_ppm)) {
		driver->options.discard(message);
		return;
	}
	if (driver->options.duplicate && draw_ppm(driver, link->duplicate_ppm))
		send_once(driver, link, from, to,
			  driver->options.duplicate(message));
	send_once(driver, link, from, to, message);
}

/* Calls fire after a delay of virtual time. */
void driver_after(struct driver *driver, uint32_t delay_ms, void *context,
		  void (*fire)(void *context))
{
	push(driver, (struct due){.due_ms = driver->now_ms + delay_ms,
				  .payload = context,
				  .fire = fire});
}

/* Returns the link from one instance to another, for a row to change. */
struct driver_link *driver_link(struct driver *driver, uint32_t from,
				uint32_t to)
{
	return &driver->links[from * driver->options.instance_count + to];
}

/*
 * Pauses an instance, which then gets no message, or wakes it, when it gets
 * all that arrived in the meantime.
 */
void driver_pause(struct driver *driver, uint32_t instance, bool is_paused)
{
	struct due *due;

	driver->is_paused[instance] = is_paused;
	if (is_paused)
		return;
	while ((due = g_queue_pop_head(&driver->held[instance])) != NULL) {
		due->due_ms = driver->now_ms;
		push(driver, *due);
		g_free(due);
	}
}

static void run_due(struct driver *driver, struct due *due)
{
	if (due->fire) {
		due->fire(due->payload);
		return;
	}
	if (driver->is_paused[due->to]) {
		g_queue_push_tail(&driver->held[due->to],
				  g_memdup2(due, sizeof(*due)));
		return;
	}
	driver->options.deliver(driver->options.context, due->from, due->to,
				due->payload);
}

/* Runs all that is due up to and including end_ms and sets the clock to it. */
void driver_run_until(struct driver *driver, int64_t end_ms)
{
	while (driver->heap->len > 0) {
		struct due due = g_array_index(driver->heap, struct due, 0);

		if (due.due_ms > end_ms)
			break;
		due = pop(driver);
		driver->now_ms = MAX(driver->now_ms, due.due_ms);
		run_due(driver, &due);
	}
	driver->now_ms = MAX(driver->now_ms, end_ms);
}
