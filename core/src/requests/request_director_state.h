#ifndef CORE_REQUEST_DIRECTOR_STATE_H
#define CORE_REQUEST_DIRECTOR_STATE_H

#include "open_request.h"
#include "request_attempt.h"
#include "request_catalog.h"
#include <core/deadline_heap.h>
#include <core/request_director.h>

/* The state of a request director, shared by the files that implement it. */
struct request_director {
	struct request_director_options options;
	struct request_catalog *catalog;
	GHashTable *requests;
	GHashTable *attempts;
	struct deadline_heap *request_deadlines;
	struct deadline_heap *attempt_deadlines;
	uint64_t next_attempt_id;
	uint64_t next_sequence;
	GArray *candidates;
	GRand *rand;
	bool is_draining;
};

void request_director_refuse(struct request_director *director,
			     struct open_request *request, enum reason reason);
void request_director_end_claiming(struct request_director *director,
				   const struct open_request *request);
void request_director_dispatch(struct request_director *director,
			       struct request_pool *pool,
			       const struct target_stats *freed,
			       int64_t now_ms);
void request_director_abandon(struct request_director *director,
			      struct request_attempt *attempt, int64_t now_ms);
void request_director_end_attempt(struct request_director *director,
				  struct request_attempt *attempt,
				  int64_t now_ms);
void request_director_close_claim(struct request_director *director,
				  const struct open_request *request,
				  bool did_not_run);
void request_director_record_outcome(struct request_director *director,
				     struct request_attempt *attempt,
				     enum attempt_outcome outcome,
				     int64_t now_ms);
void request_director_resolve(struct request_director *director,
			      struct open_request *request,
			      enum attempt_outcome outcome, int64_t now_ms);

#endif
