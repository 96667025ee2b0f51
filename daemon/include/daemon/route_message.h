#ifndef DAEMON_ROUTE_MESSAGE_H
#define DAEMON_ROUTE_MESSAGE_H

#include <core/relay_route_explanation.h>
#include <task/task.h>

/* Asks the relay task to explain a route; it posts a route_reply to reply_to.
 */
struct route_request {
	struct message message;
	struct task *reply_to;
	uint64_t request_id;
	struct relay_route_question question;
};

/* The explanation, which the message owns. */
struct route_reply {
	struct message message;
	uint64_t request_id;
	struct relay_route_explanation *explanation;
};

extern const struct message_type route_request_type;
extern const struct message_type route_reply_type;

struct message *route_request_new(struct task *reply_to, uint64_t request_id,
				  const struct relay_route_question *question);
void route_request_reply(struct message *request,
			 struct relay_route_explanation *explanation);

#endif
