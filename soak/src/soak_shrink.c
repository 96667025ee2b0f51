#include <soak/soak_shrink.h>

/*
 * The state of the search: the smallest failing schedule so far, and the number
 * of faults that the next tries leave out at once.
 */
struct shrink {
	const struct soak_shrink_options *options;
	struct soak_schedule *best;
	uint32_t chunk_size;
	uint32_t tries_left;
};

/* Removes a chunk of faults if the rest still fails; returns whether it did. */
static bool try_without_chunk(struct shrink *shrink, uint32_t first)
{
	struct soak_schedule *rest =
		soak_schedule_without(shrink->best, first, shrink->chunk_size);

	shrink->tries_left--;
	if (!shrink->options->fails(shrink->options->context, rest)) {
		soak_schedule_free(rest);
		return false;
	}
	soak_schedule_free(shrink->best);
	shrink->best = rest;
	return true;
}

static void try_all_chunks(struct shrink *shrink)
{
	uint32_t first = 0;

	while (first < soak_schedule_count(shrink->best) &&
	       shrink->tries_left > 0) {
		if (!try_without_chunk(shrink, first))
			first += shrink->chunk_size;
	}
}

/*
 * Minimizes a failing schedule: leaves out halves, then quarters and so on, as
 * in delta debugging (Zeller, Hildebrandt, 2002). Returns a failing schedule
 * with at most as many faults as the given one; free it with
 * soak_schedule_free.
 */
struct soak_schedule *soak_shrink(const struct soak_schedule *schedule,
				  const struct soak_shrink_options *options)
{
	struct shrink shrink = {
		.options = options,
		.best = soak_schedule_without(schedule, 0, 0),
		.chunk_size = (soak_schedule_count(schedule) + 1) / 2,
		.tries_left = options->try_count_max,
	};

	while (shrink.chunk_size > 0 && shrink.tries_left > 0) {
		try_all_chunks(&shrink);
		shrink.chunk_size /= 2;
	}
	return shrink.best;
}
