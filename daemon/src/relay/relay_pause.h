#ifndef RELAY_PAUSE_H
#define RELAY_PAUSE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Notices that the process stood still, so that packets which lay in the socket
 * meanwhile are known to be old even if the kernel does not say when they
 * arrived. turn_ms is when the task last ran, 0 before its first turn;
 * began_ms is when the pause began whose packets are being read, 0 for none,
 * and noticed_ms when the task ran again.
 */
struct relay_pause {
	int64_t turn_ms;
	int64_t began_ms;
	int64_t noticed_ms;
};

bool relay_pause_note_turn(struct relay_pause *pause, int64_t now_ms);
void relay_pause_end(struct relay_pause *pause);
int64_t relay_pause_age_ms(const struct relay_pause *pause, int64_t now_ms);

#endif
