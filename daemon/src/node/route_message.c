#include <daemon/route_message.h>

static void request_free(struct message *message)
{
	g_free(message);
}

static void reply_free(struct message *message)
{
	struct route_reply *reply = (struct route_reply *)message;

	relay_route_explanation_free(reply->explanation);
	g_free(reply);
}

const struct message_type route_request_type = {"route_request", request_free};
const struct message_type route_reply_type = {"route_reply", reply_free};

/* Creates a request; the mailbox that accepts it takes ownership. */
struct message *route_request_new(struct task *reply_to, uint64_t request_id,
				  const struct relay_route_question *question)
{
	struct route_request *request = g_new0(struct route_request, 1);

	request->message.type = &route_request_type;
	request->reply_to = reply_to;
	request->request_id = request_id;
	request->question = *question;
	return &request->message;
}

/*
 * Posts an explanation to the requesting task and takes ownership of it. If the
 * mailbox of that task is full or closed, it is dropped, and the request times
 * out.
 */
void route_request_reply(struct message *request,
			 struct relay_route_explanation *explanation)
{
	const struct route_request *route_request =
		(struct route_request *)request;
	struct route_reply *reply = g_new0(struct route_reply, 1);

	reply->message.type = &route_reply_type;
	reply->request_id = route_request->request_id;
	reply->explanation = explanation;
	task_post_or_free(route_request->reply_to, &reply->message);
}
