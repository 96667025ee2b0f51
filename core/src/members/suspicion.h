#ifndef SUSPICION_H
#define SUSPICION_H

#include <stdbool.h>
#include <stdint.h>

#define SUSPICION_ACCUSER_COUNT_MAX 4

/*
 * Who suspects a member and since when. The timeout shortens with each accuser,
 * so that a single node with a bad link does not get others declared dead
 * quickly.
 */
struct suspicion {
	int64_t since_ms;
	uint32_t accuser_count;
	uint64_t accusers[SUSPICION_ACCUSER_COUNT_MAX];
};

void suspicion_start(struct suspicion *suspicion, int64_t now_ms);
bool suspicion_add(struct suspicion *suspicion, uint64_t accuser_id);
uint32_t suspicion_timeout_ms(const struct suspicion *suspicion,
			      uint32_t node_count, uint32_t probe_interval_ms);

#endif
