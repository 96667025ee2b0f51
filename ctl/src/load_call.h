#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include <core/endpoint.h>
#include <ctl/load_class.h>
#include <ctl/load_result.h>
#include <event2/event.h>

/* A caller's connection and the request that it carries, if any. */
struct load_call;

struct load_call_options {
	struct event_base *base;
	struct endpoint node;
	uint32_t timeout_ms;
	bool is_echo_checked;
	void *context;
	void (*ended)(void *context, struct load_call *call,
		      enum load_outcome outcome, uint64_t latency_us);
};

struct load_call *load_call_new(const struct load_call_options *options);
void load_call_free(struct load_call *call);
bool load_call_send(struct load_call *call, const struct load_class *kind,
		    uint64_t number);
const struct load_class *load_call_class(const struct load_call *call);

#endif
