#include <core/relay_isolation.h>

#include <glib.h>

/* A single attempt may fail for another reason. */
#define FAILED_COUNT_MIN 3

/*
 * A node stays ready for this long after its start and after each isolation, so
 * that routers notice it and single messages on bad links don't make it come
 * and go.
 */
#define READY_MIN_MS 1000

/*
 * failed_count is the number of attempts to open a flow that failed since
 * heard_ms. ready_ms is when the process started or the last isolation ended.
 */
struct relay_isolation {
	struct relay_isolation_options options;
	uint32_t failed_count;
	int64_t heard_ms;
	int64_t ready_ms;
	bool is_isolated;
};

/* Creates the state of a node that can serve. */
struct relay_isolation *
relay_isolation_new(const struct relay_isolation_options *options)
{
	struct relay_isolation *isolation = g_new0(struct relay_isolation, 1);

	isolation->options = *options;
	isolation->ready_ms = options->start_ms;
	return isolation;
}

/* Frees the state; NULL is allowed. */
void relay_isolation_free(struct relay_isolation *isolation)
{
	g_free(isolation);
}

/*
 * Records that a new flow was refused for want of a target, or that its opening
 * packet was left unanswered.
 */
void relay_isolation_record_failure(struct relay_isolation *isolation)
{
	if (isolation->failed_count < UINT32_MAX)
		isolation->failed_count++;
}

static void set_isolated(struct relay_isolation *isolation, bool is_isolated,
			 const struct relay_isolation_evidence *evidence,
			 int64_t now_ms)
{
	const struct relay_isolation_options *options = &isolation->options;
	const struct relay_isolation_change change = {
		.is_isolated = is_isolated,
		.failed_count = isolation->failed_count,
		.evidence = *evidence,
	};

	isolation->is_isolated = is_isolated;
	isolation->ready_ms = now_ms;
	if (options->changed)
		options->changed(options->context, &change);
}

/* Decides anew by the present evidence. */
void relay_isolation_update(struct relay_isolation *isolation,
			    const struct relay_isolation_evidence *evidence,
			    int64_t now_ms)
{
	bool is_cut_off = evidence->is_evacuated && evidence->is_silent &&
			  evidence->usable_zone_count > 0 &&
			  !evidence->is_leaving;

	if (isolation->is_isolated && !is_cut_off)
		set_isolated(isolation, false, evidence, now_ms);
	if (evidence->heard_ms != isolation->heard_ms)
		isolation->failed_count = 0;
	isolation->heard_ms = evidence->heard_ms;
	if (!isolation->is_isolated && is_cut_off &&
	    isolation->failed_count >= FAILED_COUNT_MIN &&
	    now_ms - isolation->ready_ms >= READY_MIN_MS)
		set_isolated(isolation, true, evidence, now_ms);
}

/* Returns whether the node can serve no new flow while others could. */
bool relay_isolation_is_isolated(const struct relay_isolation *isolation)
{
	return isolation->is_isolated;
}
