#include "fake_delayed_responses.h"

#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>

#define US_PER_MS 1000
#define MS_PER_S 1000

struct fake_delayed_responses {
	GPtrArray *list;
	void (*send)(struct evhttp_request *request, int status,
		     const char *text);
};

/* A response that waits for its delay; text is allocated with malloc. */
struct delayed_response {
	struct fake_delayed_responses *responses;
	struct event *event;
	struct evhttp_request *request;
	int status;
	char *text;
};

static void free_delayed(gpointer data)
{
	struct delayed_response *delayed = data;

	event_free(delayed->event);
	free(delayed->text);
	g_free(delayed);
}

/* Creates an empty list; send is called for each response that is due. */
struct fake_delayed_responses *
fake_delayed_responses_new(void (*send)(struct evhttp_request *request,
					int status, const char *text))
{
	struct fake_delayed_responses *responses =
		g_new0(struct fake_delayed_responses, 1);

	responses->list = g_ptr_array_new_with_free_func(free_delayed);
	responses->send = send;
	return responses;
}

/* Frees the list; pending responses are not sent. */
void fake_delayed_responses_free(struct fake_delayed_responses *responses)
{
	g_ptr_array_free(responses->list, TRUE);
	g_free(responses);
}

/*
 * The request is still valid: libevent does not read from the connection while
 * a response is pending, so it cannot notice that the client closed it.
 */
static void on_delay_elapsed(evutil_socket_t fd, short what, void *context)
{
	struct delayed_response *delayed = context;

	delayed->responses->send(delayed->request, delayed->status,
				 delayed->text);
	g_ptr_array_remove(delayed->responses->list, delayed);
}

/* Sends a response after a delay and takes ownership of text. */
void fake_delayed_responses_add(struct fake_delayed_responses *responses,
				struct event_base *base, uint32_t delay_ms,
				struct evhttp_request *request, int status,
				char *text)
{
	struct delayed_response *delayed = g_new0(struct delayed_response, 1);
	struct timeval delay = {
		.tv_sec = delay_ms / MS_PER_S,
		.tv_usec = (delay_ms % MS_PER_S) * US_PER_MS,
	};

	delayed->responses = responses;
	delayed->request = request;
	delayed->status = status;
	delayed->text = text;
	delayed->event = event_new(base, -1, 0, on_delay_elapsed, delayed);
	event_add(delayed->event, &delay);
	g_ptr_array_add(responses->list, delayed);
}

/* Discards all pending responses. */
void fake_delayed_responses_clear(struct fake_delayed_responses *responses)
{
	g_ptr_array_set_size(responses->list, 0);
}
