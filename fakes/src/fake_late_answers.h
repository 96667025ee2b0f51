#ifndef FAKE_LATE_ANSWERS_H
#define FAKE_LATE_ANSWERS_H

#include <event2/http.h>
#include <stdint.h>

/* Answers that wait for their delay; one task uses them. */
struct fake_late_answers;

struct fake_late_answers *
fake_late_answers_new(void (*send)(struct evhttp_request *request, int status,
				   const char *text));
void fake_late_answers_free(struct fake_late_answers *answers);
void fake_late_answers_add(struct fake_late_answers *answers,
			   struct event_base *base, uint32_t delay_ms,
			   struct evhttp_request *request, int status,
			   char *text);
void fake_late_answers_clear(struct fake_late_answers *answers);

#endif
