#include "fake_late_answers.h"

#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>

#define US_PER_MS 1000
#define MS_PER_S 1000

struct fake_late_answers {
	GPtrArray *list;
	void (*send)(struct evhttp_request *request, int status,
		     const char *text);
};

/* One answer; its text is from malloc. */
struct late_answer {
	struct fake_late_answers *answers;
	struct event *event;
	struct evhttp_request *request;
	int status;
	char *text;
};

static void free_late(gpointer data)
{
	struct late_answer *late = data;

	event_free(late->event);
	free(late->text);
	g_free(late);
}

/* Makes an empty list; send sends what is due. */
struct fake_late_answers *
fake_late_answers_new(void (*send)(struct evhttp_request *request, int status,
				   const char *text))
{
	struct fake_late_answers *answers = g_new0(struct fake_late_answers, 1);

	answers->list = g_ptr_array_new_with_free_func(free_late);
	answers->send = send;
	return answers;
}

/* Frees the list; what waits is never sent. */
void fake_late_answers_free(struct fake_late_answers *answers)
{
	g_ptr_array_free(answers->list, TRUE);
	g_free(answers);
}

/* libevent reads nothing while an answer is due, so the request is alive. */
static void on_late(evutil_socket_t fd, short what, void *context)
{
	struct late_answer *late = context;

	late->answers->send(late->request, late->status, late->text);
	g_ptr_array_remove(late->answers->list, late);
}

/* Sends an answer after a delay; takes ownership of the text. */
void fake_late_answers_add(struct fake_late_answers *answers,
			   struct event_base *base, uint32_t delay_ms,
			   struct evhttp_request *request, int status,
			   char *text)
{
	struct late_answer *late = g_new0(struct late_answer, 1);
	struct timeval delay = {
		.tv_sec = delay_ms / MS_PER_S,
		.tv_usec = (delay_ms % MS_PER_S) * US_PER_MS,
	};

	late->answers = answers;
	late->request = request;
	late->status = status;
	late->text = text;
	late->event = event_new(base, -1, 0, on_late, late);
	event_add(late->event, &delay);
	g_ptr_array_add(answers->list, late);
}

/* Drops what waits. */
void fake_late_answers_clear(struct fake_late_answers *answers)
{
	g_ptr_array_set_size(answers->list, 0);
}
