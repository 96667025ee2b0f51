#include "flood_request.h"

#include <glib.h>

/* Creates a request with one reference; it holds one to its operation. */
struct flood_request *flood_request_new(struct flood_operation *operation,
					uint64_t request_id)
{
	struct flood_request *request = g_new0(struct flood_request, 1);

	request->request_id = request_id;
	request->operation = operation;
	request->is_open = true;
	request->refs = 1;
	operation->refs++;
	operation->request_count++;
	return request;
}

/* Adds a reference. */
struct flood_request *flood_request_ref(struct flood_request *request)
{
	request->refs++;
	return request;
}

/* Drops a reference; frees the request, then its operation, at 0 references. */
void flood_request_unref(struct flood_request *request)
{
	struct flood_operation *operation = request->operation;

	if (--request->refs > 0)
		return;
	g_free(request);
	if (--operation->refs == 0)
		g_free(operation);
}
