#include "fake_kv_era.h"

#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>

/* Adds the header with the store's era to the response to a request. */
void fake_kv_era_add(const struct fake_kv_store *store,
		     struct evhttp_request *request)
{
	char *text = g_strdup_printf("%" PRId64, fake_kv_store_era(store));

	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Store-Era", text);
	g_free(text);
}
