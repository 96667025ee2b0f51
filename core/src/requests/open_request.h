#ifndef CORE_OPEN_REQUEST_H
#define CORE_OPEN_REQUEST_H

#include <core/reason.h>
#include <core/request_info.h>

/* RESPONDING: the response is being forwarded to the caller. */
enum open_request_state {
	REQUEST_CLAIMING,
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_RESPONDING,
};

/*
 * A request whose caller still waits for a response. sequence is the order of
 * arrival. refusal_reason is set when the request must be refused once the
 * claim on its key is decided.
 */
struct open_request {
	struct request_info info;
	uint64_t sequence;
	int64_t waiting_since_ms;
	enum open_request_state state;
	enum work_class work_class;
	uint64_t attempt_id;
	uint32_t attempt_count;
	enum reason refusal_reason;
	bool may_have_run;
	bool has_claim;
	struct endpoint last_endpoint;
};

#endif
