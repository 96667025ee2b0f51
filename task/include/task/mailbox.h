#ifndef TASK_MAILBOX_H
#define TASK_MAILBOX_H

#include <stdbool.h>
#include <task/message.h>

/* The result of posting a message. */
enum post_result {
	POST_ACCEPTED,
	POST_FULL,
	POST_CLOSED,
};

/* A bounded queue of messages with many senders and one reader. */
struct mailbox;

struct mailbox *mailbox_new(uint32_t capacity);
void mailbox_free(struct mailbox *mailbox);
enum post_result mailbox_post(struct mailbox *mailbox, struct message *message,
			      bool *was_empty);
struct message *mailbox_take_all(struct mailbox *mailbox);
bool mailbox_close(struct mailbox *mailbox, struct message *final_message);

#endif
