#ifndef CORE_OUTLIER_H
#define CORE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Outlier detection for one target: consecutive failures eject it until
 * ejected_until_ms, for a period that doubles with each ejection until the
 * target responds again. last_response_ms is when it last did.
 */
struct outlier {
	uint32_t failure_count;
	uint32_t ejection_count;
	int64_t ejected_until_ms;
	int64_t last_response_ms;
};

void outlier_record_success(struct outlier *outlier, int64_t now_ms);
bool outlier_record_failure(struct outlier *outlier);
void outlier_eject(struct outlier *outlier, int64_t now_ms);
bool outlier_is_ejected(const struct outlier *outlier, int64_t now_ms);
uint32_t outlier_ejection_limit(uint32_t target_count);

#endif
