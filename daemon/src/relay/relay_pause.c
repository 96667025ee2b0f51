#include "relay_pause.h"

/* The task runs four times as often, by its tick. */
#define PAUSE_MIN_MS 100

/*
 * What lay in the socket has been read by then, even if more arrives all the
 * time so that the socket does not get empty.
 */
#define READ_MAX_MS 200

static bool is_reading(const struct relay_pause *pause, int64_t now_ms)
{
	return pause->began_ms != 0 && now_ms - pause->noticed_ms < READ_MAX_MS;
}

/*
 * Records that the task runs. Returns whether it had stood still before; the
 * pause lasts until relay_pause_end.
 */
bool relay_pause_note_turn(struct relay_pause *pause, int64_t now_ms)
{
	int64_t turn_ms = pause->turn_ms;

	pause->turn_ms = now_ms;
	if (turn_ms == 0 || now_ms - turn_ms < PAUSE_MIN_MS)
		return false;
	if (!is_reading(pause, turn_ms))
		pause->began_ms = turn_ms;
	pause->noticed_ms = now_ms;
	return true;
}

/* Records that all packets that had arrived in the pause have been read. */
void relay_pause_end(struct relay_pause *pause)
{
	pause->began_ms = 0;
}

/* Returns the maximum age of a packet that is read now, 0 without a pause. */
int64_t relay_pause_age_ms(const struct relay_pause *pause, int64_t now_ms)
{
	return is_reading(pause, now_ms) ? now_ms - pause->began_ms : 0;
}
