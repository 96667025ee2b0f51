#include "judge_book.h"

struct judge_book {
	GHashTable *hosts;
	GHashTable *routes;
	GHashTable *flows;
	GHashTable *runs;
};

static guint hash_endpoint(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean is_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

/* Makes an empty book. */
struct judge_book *judge_book_new(void)
{
	struct judge_book *book = g_new0(struct judge_book, 1);

	book->hosts = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	book->routes =
		g_hash_table_new_full(hash_endpoint, is_equal, NULL, g_free);
	book->flows =
		g_hash_table_new_full(hash_endpoint, is_equal, g_free, g_free);
	book->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	return book;
}

/* Frees a book. */
void judge_book_free(struct judge_book *book)
{
	g_hash_table_destroy(book->hosts);
	g_hash_table_destroy(book->routes);
	g_hash_table_destroy(book->flows);
	g_hash_table_destroy(book->runs);
	g_free(book);
}

static void note_host(struct judge_book *book, const struct soak_fact *fact)
{
	gpointer key = GUINT_TO_POINTER(fact->subject);
	struct judged_host *host = g_hash_table_lookup(book->hosts, key);

	if (!host) {
		host = g_new0(struct judged_host, 1);
		host->service = fact->service;
		g_hash_table_insert(book->hosts, key, host);
	}
	host->is_draining =
		host->is_draining || fact->kind == SOAK_HOST_DRAINING;
	host->is_gone = fact->kind == SOAK_HOST_GONE;
	host->changed_ms = fact->at_ms;
}

static void note_route(struct judge_book *book, const struct soak_fact *fact)
{
	struct judged_route *route =
		g_hash_table_lookup(book->routes, &fact->address);

	if (!route) {
		route = g_new0(struct judged_route, 1);
		route->address = fact->address;
		g_hash_table_insert(book->routes, &route->address, route);
	}
	route->service = fact->service;
	route->service_bits |= 1ULL << fact->service;
	route->is_present = fact->kind == SOAK_ROUTE_PRESENT;
	route->changed_ms = fact->at_ms;
	route->version = fact->version;
}

/* Notes what a fact says of hosts and routes; others are ignored. */
void judge_book_note(struct judge_book *book, const struct soak_fact *fact)
{
	switch (fact->kind) {
	case SOAK_HOST_READY:
	case SOAK_HOST_DRAINING:
	case SOAK_HOST_GONE:
		note_host(book, fact);
		return;
	case SOAK_ROUTE_PRESENT:
	case SOAK_ROUTE_REMOVED:
		note_route(book, fact);
		return;
	default:
		return;
	}
}

/* Returns a host, or NULL. */
const struct judged_host *judge_book_host(const struct judge_book *book,
					  uint32_t host)
{
	return g_hash_table_lookup(book->hosts, GUINT_TO_POINTER(host));
}

/* Returns the route of an address, or NULL where there never was one. */
const struct judged_route *judge_book_route(const struct judge_book *book,
					    const struct endpoint *address)
{
	return g_hash_table_lookup(book->routes, address);
}

/* Tells whether a route ever led to a service. */
bool judged_route_had(const struct judged_route *route, uint32_t service)
{
	return (route->service_bits >> service & 1) != 0;
}

/* Returns a caller's flow, which is made when it is new. */
struct judged_flow *judge_book_flow(struct judge_book *book,
				    const struct endpoint *caller)
{
	struct judged_flow *flow = g_hash_table_lookup(book->flows, caller);

	if (flow)
		return flow;
	flow = g_new0(struct judged_flow, 1);
	g_hash_table_insert(book->flows, g_memdup2(caller, sizeof(*caller)),
			    flow);
	return flow;
}

/* Counts that a request was run, and returns how often it was by now. */
uint32_t judge_book_count_run(struct judge_book *book, uint64_t request_id)
{
	uint32_t count =
		GPOINTER_TO_UINT(g_hash_table_lookup(book->runs, &request_id));

	g_hash_table_replace(book->runs,
			     g_memdup2(&request_id, sizeof(request_id)),
			     GUINT_TO_POINTER(count + 1));
	return count + 1;
}
