#include <daemon/metrics_message.h>

static void request_free(struct message *message)
{
	g_free(message);
}

static void reply_free(struct message *message)
{
	struct metrics_reply *reply = (struct metrics_reply *)message;

	g_string_free(reply->text, TRUE);
	g_free(reply);
}

const struct message_type metrics_request_type = {"metrics_request",
						  request_free};
const struct message_type metrics_reply_type = {"metrics_reply", reply_free};

/* Creates a request; the mailbox that accepts it takes ownership. */
struct message *metrics_request_new(struct task *reply_to, uint64_t request_id)
{
	struct metrics_request *request = g_new0(struct metrics_request, 1);

	request->message.type = &metrics_request_type;
	request->reply_to = reply_to;
	request->request_id = request_id;
	return &request->message;
}

/*
 * Posts counters and histograms to the requesting task; histograms may be NULL.
 * If the mailbox of that task is full or closed, the reply is dropped: the
 * request then times out, and the other replies are reported.
 */
void metrics_request_reply_with_histograms(
	struct message *request, const struct counter_set *counters,
	const struct histogram_set *histograms)
{
	const struct metrics_request *metrics_request =
		(struct metrics_request *)request;
	struct metrics_reply *reply = g_new0(struct metrics_reply, 1);

	reply->message.type = &metrics_reply_type;
	reply->request_id = metrics_request->request_id;
	reply->text = g_string_new(NULL);
	counter_set_render(counters, reply->text);
	if (histograms)
		histogram_set_render(histograms, reply->text);
	task_post_or_free(metrics_request->reply_to, &reply->message);
}

/* As metrics_request_reply_with_histograms, with counters only. */
void metrics_request_reply(struct message *request,
			   const struct counter_set *counters)
{
	metrics_request_reply_with_histograms(request, counters, NULL);
}
