#include <ctl/latency_histogram.h>

#include <glib.h>
#include <inttypes.h>

/* Each octave, a doubling of the latency, has SUB_BUCKET_COUNT buckets. */
#define SUB_BUCKET_BITS 3
#define SUB_BUCKET_COUNT (1U << SUB_BUCKET_BITS)
#define OCTAVE_COUNT 40
#define BUCKET_COUNT (OCTAVE_COUNT * SUB_BUCKET_COUNT)
#define PLOT_WIDTH_COLUMNS 50

struct latency_histogram {
	uint64_t count;
	uint64_t buckets[BUCKET_COUNT];
};

/* Makes an empty histogram; free it with latency_histogram_free. */
struct latency_histogram *latency_histogram_new(void)
{
	return g_new0(struct latency_histogram, 1);
}

/* Frees a histogram; NULL is allowed. */
void latency_histogram_free(struct latency_histogram *histogram)
{
	g_free(histogram);
}

static uint32_t bucket_of(uint64_t latency_us)
{
	uint32_t octave;
	uint32_t bucket;

	if (latency_us < SUB_BUCKET_COUNT)
		return (uint32_t)latency_us;
	octave = 63 - (uint32_t)__builtin_clzll(latency_us) - SUB_BUCKET_BITS;
	bucket = (octave << SUB_BUCKET_BITS) + (uint32_t)(latency_us >> octave);
	return MIN(bucket, BUCKET_COUNT - 1);
}

/* Returns the smallest value above a bucket. */
static uint64_t bucket_end_us(uint32_t bucket)
{
	uint32_t octave = bucket >> SUB_BUCKET_BITS;
	uint64_t sub_bucket = bucket & (SUB_BUCKET_COUNT - 1);

	if (octave == 0)
		return sub_bucket + 1;
	return (sub_bucket + SUB_BUCKET_COUNT + 1) << (octave - 1);
}

/* Adds a latency to its bucket. */
void latency_histogram_add(struct latency_histogram *histogram,
			   uint64_t latency_us)
{
	histogram->buckets[bucket_of(latency_us)]++;
	histogram->count++;
}

/* Returns the number of latencies added so far. */
uint64_t latency_histogram_count(const struct latency_histogram *histogram)
{
	return histogram->count;
}

/* Returns an upper bound of the percentile; 0 if the histogram is empty. */
uint64_t
latency_histogram_percentile_us(const struct latency_histogram *histogram,
				double percent)
{
	double rank = (double)histogram->count * percent / 100;
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	for (uint32_t i = 0; i < BUCKET_COUNT; i++) {
		seen += histogram->buckets[i];
		if (seen > 0 && (double)seen >= rank)
			return bucket_end_us(i);
	}
	return bucket_end_us(BUCKET_COUNT - 1);
}

static uint64_t octave_sum(const struct latency_histogram *histogram,
			   uint32_t octave)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < SUB_BUCKET_COUNT; i++)
		sum += histogram->buckets[(octave << SUB_BUCKET_BITS) + i];
	return sum;
}

/* Prints a bar for each octave that is not empty. */
void latency_histogram_plot(const struct latency_histogram *histogram,
			    FILE *out)
{
	uint64_t largest = 1;

	for (uint32_t i = 0; i < OCTAVE_COUNT; i++)
		largest = MAX(largest, octave_sum(histogram, i));
	for (uint32_t i = 0; i < OCTAVE_COUNT; i++) {
		uint64_t sum = octave_sum(histogram, i);
		int width = (int)(sum * PLOT_WIDTH_COLUMNS / largest);
		uint32_t last = ((i + 1) << SUB_BUCKET_BITS) - 1;

		if (sum == 0)
			continue;
		fprintf(out, "  < %9.3f ms %9" PRIu64 " ",
			(double)bucket_end_us(last) / 1000, sum);
		for (int j = 0; j < width; j++)
			fputc('#', out);
		fputc('\n', out);
	}
}
