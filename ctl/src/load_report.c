#include <ctl/load_report.h>

#include <glib.h>
#include <inttypes.h>

#define US_PER_MS 1000.0

static const double percents[] = {50, 90, 99, 99.9};

static void print_class(const struct load_class *load_class,
			const struct load_result *result, FILE *out)
{
	fprintf(out, "%-14s sent=%" PRIu64, load_class->name,
		result->sent_count);
	for (int i = 0; i < LOAD_OUTCOME_COUNT; i++) {
		if (i == LOAD_COMPLETE || result->outcome_counts[i] > 0)
			fprintf(out, " %s=%" PRIu64,
				load_outcome_name((enum load_outcome)i),
				result->outcome_counts[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(percents); i++)
		fprintf(out, " p%g=%.2fms", percents[i],
			(double)latency_histogram_percentile_us(
				result->latencies, percents[i]) /
				US_PER_MS);
	fputc('\n', out);
}

/*
 * Prints a line for each class with its counts by outcome and its latency
 * percentiles, which include requests of all outcomes.
 */
void load_report_print(const struct load_task *load,
		       const struct load_options *options, FILE *out)
{
	for (uint32_t i = 0; i < options->class_count; i++)
		print_class(&options->classes[i], load_task_result(load, i),
			    out);
}

/* Prints a bar chart of the latencies of each class. */
void load_report_plot(const struct load_task *load,
		      const struct load_options *options, FILE *out)
{
	for (uint32_t i = 0; i < options->class_count; i++) {
		fprintf(out, "%s\n", options->classes[i].name);
		latency_histogram_plot(load_task_result(load, i)->latencies,
				       out);
	}
}

/* Returns the number of requests of all classes that had an outcome. */
uint64_t load_report_outcome_count(const struct load_task *load,
				   const struct load_options *options,
				   enum load_outcome outcome)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < options->class_count; i++)
		count += load_task_result(load, i)->outcome_counts[outcome];
	return count;
}
