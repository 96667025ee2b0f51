#ifndef SOAK_REPORT_H
#define SOAK_REPORT_H

#include <soak/soak_run.h>

bool soak_report_write(const struct soak_options *options,
		       const struct soak_schedule *schedule,
		       const struct soak_tally *tally, GError **error);

#endif
