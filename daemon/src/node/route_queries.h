#ifndef ROUTE_QUERIES_H
#define ROUTE_QUERIES_H

#include <event2/http.h>
#include <task/task.h>

/*
 * The /route requests of the admin task that wait for the relay task's
 * explanation.
 */
struct route_queries;

/* relay is the task to ask, NULL on a node that does not forward by tag. */
struct route_queries_options {
	struct task *admin;
	struct task *relay;
};

struct route_queries *
route_queries_new(const struct route_queries_options *options);
void route_queries_free(struct route_queries *queries);
void route_queries_clear(struct route_queries *queries);
void route_queries_handle_request(struct evhttp_request *request,
				  void *context);
void route_queries_handle_reply(struct route_queries *queries,
				struct message *message);

#endif
