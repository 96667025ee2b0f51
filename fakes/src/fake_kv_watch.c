#include "fake_kv_watch.h"

#include <event2/buffer.h>
#include <glib.h>

/* Sends one object of the stream and takes ownership of it. */
void fake_kv_watch_send(struct fake_kv_watch *watch, json_t *result)
{
	json_t *root = json_pack("{s:o}", "result", result);
	char *text = json_dumps(root, JSON_COMPACT);
	struct evbuffer *chunk = evbuffer_new();

	evbuffer_add_printf(chunk, "%s\n", text);
	evhttp_send_reply_chunk(watch->request, chunk);
	evbuffer_free(chunk);
	free(text);
	json_decref(root);
}

/* Frees the watch; the connection is not its own. */
void fake_kv_watch_free(struct fake_kv_watch *watch)
{
	json_decref(watch->range);
	g_free(watch);
}
