#ifndef FAKES_FAKE_KV_FAULT_H
#define FAKES_FAKE_KV_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What goes wrong in the stand-in store: every call is cut off without an
 * effect, answers come late, the answers to the next writes are lost after
 * their effect, or watches stay open and say nothing.
 */
struct fake_kv_fault {
	bool is_down;
	uint32_t delay_ms;
	uint32_t lost_answer_count;
	bool is_watch_stalled;
	bool is_garbled;
};

#endif
