#ifndef FAKES_FAKE_KV_FAULT_H
#define FAKES_FAKE_KV_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What goes wrong in the stand-in store: every call is cut off without an
 * effect, answers come late, the answers to some writes, of which the first
 * are spared, are lost after their effect, watches stay open and say nothing,
 * or answers are cut in half. A refusal status other than 0 answers every call
 * and nothing is done.
 */
struct fake_kv_fault {
	bool is_down;
	uint32_t refusal_status;
	uint32_t delay_ms;
	uint32_t lost_answer_count;
	uint32_t lost_answer_skip;
	bool is_watch_stalled;
	bool is_garbled;
};

#endif
