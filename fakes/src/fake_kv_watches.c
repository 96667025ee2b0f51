#include "fake_kv_watches.h"

#include "fake_kv_era.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define STATUS_OK 200

/* A pending request; without a change it is answered at its deadline. */
struct fake_kv_watch {
	struct evhttp_request *request;
	struct evhttp_connection *connection;
	char *prefix;
	int64_t after_revision;
	int64_t deadline_ms;
};

struct fake_kv_watches {
	pthread_mutex_t *lock;
	const struct fake_kv_store *store;
	GPtrArray *list;
};

static void watch_free(gpointer data)
{
	struct fake_kv_watch *watch = data;

	g_free(watch->prefix);
	g_free(watch);
}

/* Creates an empty list; lock and store must outlive it. */
struct fake_kv_watches *fake_kv_watches_new(pthread_mutex_t *lock,
					    const struct fake_kv_store *store)
{
	struct fake_kv_watches *watches = g_new0(struct fake_kv_watches, 1);

	watches->lock = lock;
	watches->store = store;
	watches->list = g_ptr_array_new_with_free_func(watch_free);
	return watches;
}

/* Frees the list. The server's connections must already be closed. */
void fake_kv_watches_free(struct fake_kv_watches *watches)
{
	g_ptr_array_free(watches->list, TRUE);
	g_free(watches);
}

static void on_connection_closed(struct evhttp_connection *connection,
				 void *context)
{
	struct fake_kv_watches *watches = context;

	pthread_mutex_lock(watches->lock);
	for (guint i = watches->list->len; i-- > 0;) {
		const struct fake_kv_watch *watch =
			g_ptr_array_index(watches->list, i);

		if (watch->connection != connection)
			continue;
		/*
		 * libevent does not free a pending request whose client
		 * disconnected, so it is freed here.
		 */
		if (!evhttp_request_get_connection(watch->request))
			evhttp_request_free(watch->request);
		g_ptr_array_remove_index(watches->list, i);
	}
	pthread_mutex_unlock(watches->lock);
}

/*
 * Answers a watch if there are changes or an error, or its deadline has passed.
 * Returns whether it was answered.
 */
static bool reply_if_due(struct fake_kv_watches *watches,
			 struct fake_kv_watch *watch, int64_t now_ms)
{
	int status;
	json_t *response = fake_kv_store_events(watches->store, watch->prefix,
						watch->after_revision, &status);
	bool is_due = status != STATUS_OK || now_ms >= watch->deadline_ms ||
		      json_array_size(json_object_get(response, "events")) > 0;
	char *text;

	if (is_due) {
		text = json_dumps(response, JSON_COMPACT);
		evbuffer_add(evhttp_request_get_output_buffer(watch->request),
			     text, strlen(text));
		evhttp_connection_set_closecb(watch->connection, NULL, NULL);
		fake_kv_era_add(watches->store, watch->request);
		evhttp_send_reply(watch->request, status, NULL, NULL);
		free(text);
	}
	json_decref(response);
	return is_due;
}

/*
 * Answers the watches that have changes or errors or whose deadline has passed.
 */
void fake_kv_watches_send(struct fake_kv_watches *watches, int64_t now_ms)
{
	for (guint i = watches->list->len; i-- > 0;) {
		if (reply_if_due(watches, g_ptr_array_index(watches->list, i),
				 now_ms))
			g_ptr_array_remove_index(watches->list, i);
	}
}

/* Holds a request until there is a change, at most until deadline_ms. */
void fake_kv_watches_open(struct fake_kv_watches *watches,
			  struct evhttp_request *request, const char *prefix,
			  int64_t after_revision, int64_t deadline_ms)
{
	struct fake_kv_watch *watch = g_new0(struct fake_kv_watch, 1);

	watch->request = request;
	watch->connection = evhttp_request_get_connection(request);
	watch->prefix = g_strdup(prefix);
	watch->after_revision = after_revision;
	watch->deadline_ms = deadline_ms;
	evhttp_connection_set_closecb(watch->connection, on_connection_closed,
				      watches);
	g_ptr_array_add(watches->list, watch);
}

/* Closes the connections of all watches without a response. */
void fake_kv_watches_disconnect(struct fake_kv_watches *watches)
{
	for (guint i = 0; i < watches->list->len; i++) {
		const struct fake_kv_watch *watch =
			g_ptr_array_index(watches->list, i);
		struct bufferevent *stream =
			evhttp_connection_get_bufferevent(watch->connection);

		shutdown(bufferevent_getfd(stream), SHUT_RDWR);
	}
}
