#include "fake_kv_watches.h"

#include "fake_kv_watch.h"

#include <event2/bufferevent.h>
#include <glib.h>
#include <sys/socket.h>

#define STATUS_OK 200

struct fake_kv_watches {
	pthread_mutex_t *lock;
	const struct fake_kv_store *store;
	GPtrArray *list;
};

/* Makes an empty list; lock and store must outlive it. */
struct fake_kv_watches *fake_kv_watches_new(pthread_mutex_t *lock,
					    const struct fake_kv_store *store)
{
	struct fake_kv_watches *watches = g_new0(struct fake_kv_watches, 1);

	watches->lock = lock;
	watches->store = store;
	watches->list = g_ptr_array_new();
	return watches;
}

/* Frees the list once the server's connections are gone. */
void fake_kv_watches_free(struct fake_kv_watches *watches)
{
	for (guint i = 0; i < watches->list->len; i++)
		fake_kv_watch_free(g_ptr_array_index(watches->list, i));
	g_ptr_array_free(watches->list, TRUE);
	g_free(watches);
}

static void send_events(struct fake_kv_watches *watches,
			struct fake_kv_watch *watch)
{
	json_t *events = fake_kv_store_events(watches->store, watch->range,
					      watch->next_revision);

	watch->next_revision = fake_kv_store_revision(watches->store) + 1;
	if (events)
		fake_kv_watch_send(watch, events);
}

/* Sends each watch what it has not had yet. */
void fake_kv_watches_send(struct fake_kv_watches *watches)
{
	for (guint i = 0; i < watches->list->len; i++)
		send_events(watches, g_ptr_array_index(watches->list, i));
}

static void on_closed(struct evhttp_connection *connection, void *context)
{
	struct fake_kv_watches *watches = context;

	pthread_mutex_lock(watches->lock);
	for (guint i = watches->list->len; i-- > 0;) {
		struct fake_kv_watch *watch =
			g_ptr_array_index(watches->list, i);

		if (watch->connection != connection)
			continue;
		/* libevent leaves a request whose caller went to its user. */
		if (!evhttp_request_get_connection(watch->request))
			evhttp_send_reply_end(watch->request);
		g_ptr_array_remove_index(watches->list, i);
		fake_kv_watch_free(watch);
	}
	pthread_mutex_unlock(watches->lock);
}

static int64_t start_revision(const struct fake_kv_watches *watches,
			      const struct fake_kv_watch *watch)
{
	const char *text = json_string_value(
		json_object_get(watch->range, "start_revision"));

	return text ? g_ascii_strtoll(text, NULL, 10)
		    : fake_kv_store_revision(watches->store) + 1;
}

/* Answers a watch request and keeps its connection. */
void fake_kv_watches_open(struct fake_kv_watches *watches,
			  struct evhttp_request *request, const json_t *body,
			  bool is_stalled)
{
	struct fake_kv_watch *watch = g_new0(struct fake_kv_watch, 1);

	watch->request = request;
	watch->connection = evhttp_request_get_connection(request);
	watch->range = json_deep_copy(json_object_get(body, "create_request"));
	watch->next_revision = start_revision(watches, watch);
	evhttp_connection_set_closecb(watch->connection, on_closed, watches);
	evhttp_send_reply_start(request, STATUS_OK, "OK");
	fake_kv_watch_send(watch,
			   json_pack("{s:o, s:b}", "header",
				     fake_kv_store_header(watches->store),
				     "created", true));
	g_ptr_array_add(watches->list, watch);
	if (!is_stalled)
		send_events(watches, watch);
}

/* Closes all watches; the next event finds the connection gone. */
void fake_kv_watches_cut(struct fake_kv_watches *watches)
{
	for (guint i = 0; i < watches->list->len; i++) {
		const struct fake_kv_watch *watch =
			g_ptr_array_index(watches->list, i);
		struct bufferevent *stream =
			evhttp_connection_get_bufferevent(watch->connection);

		shutdown(bufferevent_getfd(stream), SHUT_RDWR);
	}
}
