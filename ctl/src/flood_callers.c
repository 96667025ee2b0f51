/* The callers of the flood benchmark. */
#include "flood_state.h"

#include <math.h>

#define MS_PER_S 1000
#define MILLI 1000.0
#define HOG_PERCENT 50
#define TAIL_PERCENT 2
#define TAIL_FACTOR 3
#define TRIES_MAX 6
#define RESEND_WINDOW_MS 5000
#define REFUSAL_BOUND_MS 10
#define TWIN_PERCENT 10

const struct flood_class flood_classes[CLASS_COUNT] = {
	[CLASS_URGENT] = {20, 1000, 30, 10},
	[CLASS_NORMAL] = {30, 2000, 0, 10},
	[CLASS_BULK] = {80, 10000, 0, 0},
};

/* An operation for which the caller will send another request. */
struct resend {
	struct flood_fleet *fleet;
	struct flood_work *work;
};

static uint32_t draw(struct flood_fleet *fleet, uint32_t below)
{
	return (uint32_t)g_rand_int_range(driver_rand(fleet->driver), 0,
					  (gint32)below);
}

static struct flood_node *draw_node(struct flood_fleet *fleet)
{
	uint32_t index = draw(fleet, fleet->options.node_count);

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		struct flood_node *node =
			&fleet->nodes[(index + i) % fleet->options.node_count];

		if (!node->is_dead)
			return node;
	}
	return &fleet->nodes[index];
}

static void give_up(void *context);

/* A request that its caller gives up some time after the deadline. */
struct patience {
	struct flood_fleet *fleet;
	struct flood_try *trial;
};

static void wait_for(struct flood_fleet *fleet, struct flood_try *trial)
{
	struct patience *patience;

	if (!fleet->options.has_chaos)
		return;
	patience = g_new(struct patience, 1);
	patience->fleet = fleet;
	patience->trial = flood_try_ref(trial);
	driver_after(fleet->driver,
		     (uint32_t)(trial->deadline_ms - trial->sent_ms) + 100,
		     patience, give_up);
}

/* Sends a request for an operation to a random live node. */
void flood_callers_send(struct flood_fleet *fleet, struct flood_work *work)
{
	const struct flood_class *class = &flood_classes[work->work_class];
	struct flood_node *node = draw_node(fleet);
	struct flood_try *trial = flood_try_new(work, ++fleet->next_id);
	struct flood_event *event =
		flood_event_new(FLOOD_EVENT_ARRIVE, node->node_id);

	trial->node_id = node->node_id;
	trial->sent_ms = driver_now_ms(fleet->driver);
	trial->deadline_ms = trial->sent_ms + class->deadline_ms;
	g_hash_table_insert(fleet->tries, &trial->try_id, trial);
	event->request = (struct request_info){
		.request_id = trial->try_id,
		.service_id =
			service_id_from_name(work_class_name(work->work_class)),
		.caller_hash = work->caller + 1,
		.is_repeatable = work->is_repeatable,
		.has_idempotency_key = work->has_key,
		.idempotency_print = {work->work_id,
				      work->work_id * 0x9e3779b97f4a7c15ULL},
		.deadline_ms = trial->deadline_ms,
	};
	flood_fleet_send(fleet, event);
	wait_for(fleet, trial);
}

static void send_again(void *context)
{
	struct resend *resend = context;

	if (!resend->work->is_done)
		flood_callers_send(resend->fleet, resend->work);
	if (--resend->work->refs == 0)
		g_free(resend->work);
	g_free(resend);
}

/*
 * In a run with faults, schedules another request if that is safe: the last one
 * did not run, the operation is idempotent, or it has an idempotency key.
 */
static void consider_again(struct flood_fleet *fleet, struct flood_work *work,
			   bool is_safe)
{
	int64_t age_ms = driver_now_ms(fleet->driver) - work->began_ms;
	struct resend *resend;

	if (!fleet->options.has_chaos || work->is_done ||
	    work->try_count >= TRIES_MAX || age_ms > RESEND_WINDOW_MS ||
	    !(is_safe || work->is_repeatable || work->has_key))
		return;
	resend = g_new(struct resend, 1);
	resend->fleet = fleet;
	resend->work = work;
	work->refs++;
	fleet->tally.repeats_sent++;
	driver_after(fleet->driver, draw(fleet, 200), resend, send_again);
}

static void close_try(struct flood_fleet *fleet, struct flood_try *trial)
{
	g_hash_table_remove(fleet->tries, &trial->try_id);
}

static bool is_counted(const struct flood_fleet *fleet,
		       const struct flood_try *trial)
{
	return trial->sent_ms >= fleet->options.flood_start_ms;
}

/* Called when a caller has received the complete response. */
void flood_callers_answer(struct flood_fleet *fleet, struct flood_try *trial)
{
	struct flood_work *work = trial->work;
	int64_t took_ms = driver_now_ms(fleet->driver) - trial->sent_ms;

	if (trial->ran_count == 0)
		fleet->tally.wrong_answers++;
	work->is_done = true;
	if (is_counted(fleet, trial) &&
	    took_ms <= flood_classes[work->work_class].deadline_ms)
		flood_tally_answer(
			&fleet->tally, work->work_class, work->caller,
			trial->sent_ms + took_ms <= fleet->options.end_ms
				? work->work_ms
				: 0,
			took_ms);
	close_try(fleet, trial);
}

/*
 * Called when a caller is told that its request did not run, or that this is
 * unknown. A request may run several times if its operation is idempotent, so
 * only its own executions count; otherwise any execution of the operation does.
 */
void flood_callers_refuse(struct flood_fleet *fleet, struct flood_try *trial,
			  enum refusal_kind kind)
{
	struct flood_work *work = trial->work;
	int64_t took_ms = driver_now_ms(fleet->driver) - trial->sent_ms;
	bool has_run = work->is_repeatable ? trial->ran_count > 0
					   : work->ran_count > 0;

	if (kind == REFUSAL_NOT_RUN) {
		trial->was_told_not_run = true;
		if (has_run)
			fleet->tally.wrong_not_run++;
	}
	if (is_counted(fleet, trial)) {
		if (kind == REFUSAL_NOT_RUN)
			fleet->tally.refused[work->work_class]++;
		else
			fleet->tally.unknown[work->work_class]++;
		if (kind == REFUSAL_NOT_RUN && took_ms >= REFUSAL_BOUND_MS)
			fleet->tally.refused_late++;
		if (kind == REFUSAL_NOT_RUN &&
		    (uint64_t)took_ms > fleet->tally.refusal_latest_ms)
			fleet->tally.refusal_latest_ms = (uint64_t)took_ms;
	}
	consider_again(fleet, work, kind == REFUSAL_NOT_RUN);
	close_try(fleet, trial);
}

/* Called when a caller's connection closes in the middle of the response. */
void flood_callers_cut(struct flood_fleet *fleet, struct flood_try *trial)
{
	consider_again(fleet, trial->work, false);
	close_try(fleet, trial);
}

static void give_up(void *context)
{
	struct patience *patience = context;
	struct flood_fleet *fleet = patience->fleet;
	struct flood_try *trial = patience->trial;
	struct flood_event *event;

	if (trial->is_open) {
		trial->is_open = false;
		event = flood_event_new(FLOOD_EVENT_CALLER_GONE,
					trial->node_id);
		event->id = trial->try_id;
		flood_fleet_send(fleet, event);
		consider_again(fleet, trial->work, false);
		close_try(fleet, trial);
	}
	flood_try_unref(trial);
	g_free(patience);
}

/* Called when a node dies: the connections of its callers are reset. */
void flood_callers_node_died(struct flood_fleet *fleet, uint64_t node_id)
{
	GPtrArray *lost = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->tries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flood_try *trial = value;

		if (trial->node_id == node_id)
			g_ptr_array_add(lost, trial);
	}
	for (guint i = 0; i < lost->len; i++) {
		struct flood_try *trial = g_ptr_array_index(lost, i);

		trial->is_open = false;
		consider_again(fleet, trial->work, false);
		close_try(fleet, trial);
	}
	g_ptr_array_free(lost, TRUE);
}

static uint32_t draw_work_ms(struct flood_fleet *fleet, uint32_t mean_ms)
{
	uint32_t work_ms = mean_ms / 2 + draw(fleet, mean_ms + 1);

	if (draw(fleet, 100) < TAIL_PERCENT)
		work_ms *= TAIL_FACTOR;
	return work_ms;
}

static void draw_method(struct flood_fleet *fleet, struct flood_work *work)
{
	const struct flood_class *class = &flood_classes[work->work_class];
	uint32_t percent = draw(fleet, 100);

	work->has_key = percent < class->keyed_percent;
	work->is_repeatable =
		percent >= class->keyed_percent + class->unkeyed_percent;
}

/* In a flood, caller 0 sends HOG_PERCENT; all callers share the rest. */
static uint32_t draw_caller(struct flood_fleet *fleet, bool is_flood)
{
	if (is_flood && draw(fleet, 100) < HOG_PERCENT)
		return 0;
	return draw(fleet, FLOOD_CALLER_COUNT);
}

static void begin_work(struct flood_fleet *fleet, enum work_class work_class,
		       bool is_flood, int64_t now_ms)
{
	struct flood_work *work = g_new0(struct flood_work, 1);

	work->work_id = ++fleet->next_id;
	work->work_class = work_class;
	work->caller = draw_caller(fleet, is_flood);
	work->work_ms = draw_work_ms(fleet, flood_classes[work_class].work_ms);
	work->began_ms = now_ms;
	draw_method(fleet, work);
	work->refs = 1;
	if (now_ms >= fleet->options.flood_start_ms)
		fleet->tally.offered[work_class]++;
	flood_callers_send(fleet, work);
	if (fleet->options.has_chaos && work->has_key &&
	    draw(fleet, 100) < TWIN_PERCENT)
		flood_callers_send(fleet, work);
	if (--work->refs == 0)
		g_free(work);
}

/*
 * Generates the arrivals of one millisecond. The intervals are exponentially
 * distributed, so the arrivals of each class are a Poisson process.
 */
void flood_callers_beat(struct flood_fleet *fleet, int64_t now_ms)
{
	bool is_flood = now_ms >= fleet->options.flood_start_ms;
	const struct flood_load *load =
		is_flood ? &fleet->options.flood : &fleet->options.calm;
	uint32_t slots =
		fleet->options.target_count * fleet->options.slot_count;

	for (int i = 0; i < CLASS_COUNT; i++) {
		double per_ms = load->milli[i] / MILLI * slots /
				flood_classes[i].work_ms;

		if (load->milli[i] == 0)
			continue;
		for (fleet->arrival_debt[i] += 1; fleet->arrival_debt[i] > 0;) {
			double uniform =
				1.0 - g_rand_double(driver_rand(fleet->driver));

			begin_work(fleet, (enum work_class)i, is_flood, now_ms);
			fleet->arrival_debt[i] += log(uniform) / per_ms;
		}
	}
}
