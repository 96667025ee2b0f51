#ifndef CTL_LOAD_REPORT_H
#define CTL_LOAD_REPORT_H

#include <ctl/load_task.h>
#include <stdio.h>

/* Reports the results of a load generator that has ended. */
void load_report_print(const struct load_task *load,
		       const struct load_options *options, FILE *out);
void load_report_plot(const struct load_task *load,
		      const struct load_options *options, FILE *out);
uint64_t load_report_outcome_count(const struct load_task *load,
				   const struct load_options *options,
				   enum load_outcome outcome);

#endif
