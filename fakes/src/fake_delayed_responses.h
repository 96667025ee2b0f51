#ifndef FAKE_DELAYED_RESPONSES_H
#define FAKE_DELAYED_RESPONSES_H

#include <event2/http.h>
#include <stdint.h>

/* HTTP responses that are sent after a delay. Used by one task only. */
struct fake_delayed_responses;

struct fake_delayed_responses *
fake_delayed_responses_new(void (*send)(struct evhttp_request *request,
					int status, const char *text));
void fake_delayed_responses_free(struct fake_delayed_responses *responses);
void fake_delayed_responses_add(struct fake_delayed_responses *responses,
				struct event_base *base, uint32_t delay_ms,
				struct evhttp_request *request, int status,
				char *text);
void fake_delayed_responses_clear(struct fake_delayed_responses *responses);

#endif
