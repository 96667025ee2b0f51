#ifndef SOAK_INJECT_H
#define SOAK_INJECT_H

#include "soak_fleet.h"

void soak_inject_begin(struct soak_fleet *fleet, const struct soak_fault *fault,
		       int64_t now_ms);
void soak_inject_end(struct soak_fleet *fleet, const struct soak_fault *fault,
		     int64_t now_ms);

#endif
