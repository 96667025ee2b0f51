#include <soak/soak_shrink.h>

/* How far the search has got: parts of so many faults are left out in turn. */
struct shrink {
	const struct soak_shrink_options *options;
	struct soak_schedule *best;
	uint32_t part_count;
	uint32_t tries_left;
};

/* Leaves a part out if the rest still fails; tells whether it did. */
static bool try_without(struct shrink *shrink, uint32_t first)
{
	struct soak_schedule *rest =
		soak_schedule_without(shrink->best, first, shrink->part_count);

	shrink->tries_left--;
	if (!shrink->options->fails(shrink->options->context, rest)) {
		soak_schedule_free(rest);
		return false;
	}
	soak_schedule_free(shrink->best);
	shrink->best = rest;
	return true;
}

static void try_all_parts(struct shrink *shrink)
{
	uint32_t first = 0;

	while (first < soak_schedule_count(shrink->best) &&
	       shrink->tries_left > 0) {
		if (!try_without(shrink, first))
			first += shrink->part_count;
	}
}

/*
 * Returns a schedule that fails, of no more faults than the given one, which
 * has to fail; the caller frees it. It leaves out halves, then quarters and so
 * on, as delta debugging does (Zeller, Hildebrandt, 2002).
 */
struct soak_schedule *soak_shrink(const struct soak_schedule *schedule,
				  const struct soak_shrink_options *options)
{
	struct shrink shrink = {
		.options = options,
		.best = soak_schedule_without(schedule, 0, 0),
		.part_count = (soak_schedule_count(schedule) + 1) / 2,
		.tries_left = options->try_count_max,
	};

	while (shrink.part_count > 0 && shrink.tries_left > 0) {
		try_all_parts(&shrink);
		shrink.part_count /= 2;
	}
	return shrink.best;
}
