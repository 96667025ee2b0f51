#ifndef FAKES_FAKE_KV_FAULT_H
#define FAKES_FAKE_KV_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Faults of the fake store. is_down: every connection is closed and no request
 * takes effect. refusal_status: every request gets this HTTP status and takes
 * no effect; 0: none. delay_ms: responses are delayed. lost_response_count:
 * this many writes take effect, but the connection is closed without a
 * response, after lost_response_skip_count writes that are answered.
 * is_watch_stalled: watches stay open and never get a response.
 * is_body_truncated: response bodies are truncated to half their length.
 */
struct fake_kv_fault {
	bool is_down;
	uint32_t refusal_status;
	uint32_t delay_ms;
	uint32_t lost_response_count;
	uint32_t lost_response_skip_count;
	bool is_watch_stalled;
	bool is_body_truncated;
};

#endif
