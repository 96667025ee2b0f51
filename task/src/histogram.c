#include <task/histogram.h>

#include <inttypes.h>

/*
 * Upper bounds of the buckets. In milliseconds, they range from a handshake
 * within a zone to the longest timeout; in microseconds, from a packet of a
 * known flow to a few scheduler time slices.
 */
static const uint32_t bounds[] = {1,   2,   5,	 10,   20,   50,
				  100, 200, 500, 1000, 2000, 5000};

#define BOUND_COUNT G_N_ELEMENTS(bounds)

/* The last bucket has no upper bound. */
struct histogram {
	const char *name;
	const char *help;
	uint64_t buckets[BOUND_COUNT + 1];
	uint64_t sum;
};

/* Creates an empty histogram; free it with histogram_free. */
struct histogram *histogram_new(const char *name, const char *help)
{
	struct histogram *histogram = g_new0(struct histogram, 1);

	histogram->name = name;
	histogram->help = help;
	return histogram;
}

/* Frees a histogram; NULL is allowed. */
void histogram_free(struct histogram *histogram)
{
	g_free(histogram);
}

/* Records one value. */
void histogram_add(struct histogram *histogram, uint32_t value)
{
	uint32_t bucket = 0;

	while (bucket < BOUND_COUNT && value > bounds[bucket])
		bucket++;
	histogram->buckets[bucket]++;
	histogram->sum += value;
}

/* Appends the histogram in the Prometheus text format, version 0.0.4. */
void histogram_render(const struct histogram *histogram, GString *text)
{
	const char *name = histogram->name;
	uint64_t count = 0;

	g_string_append_printf(text, "# HELP %s %s\n# TYPE %s histogram\n",
			       name, histogram->help, name);
	for (uint32_t i = 0; i < BOUND_COUNT; i++) {
		count += histogram->buckets[i];
		g_string_append_printf(
			text, "%s_bucket{le=\"%" PRIu32 "\"} %" PRIu64 "\n",
			name, bounds[i], count);
	}
	count += histogram->buckets[BOUND_COUNT];
	g_string_append_printf(text,
			       "%s_bucket{le=\"+Inf\"} %" PRIu64
			       "\n%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n",
			       name, count, name, histogram->sum, name, count);
}
