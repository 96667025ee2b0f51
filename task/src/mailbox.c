#include <task/mailbox.h>

#include <glib.h>
#include <pthread.h>

struct mailbox {
	pthread_mutex_t lock;
	struct message *first;
	/* The next pointer of the last message, or &first. */
	struct message **last;
	uint32_t count;
	uint32_t capacity;
	bool is_closed;
};

/*
 * Creates a mailbox for at most capacity messages. Free it with mailbox_free.
 */
struct mailbox *mailbox_new(uint32_t capacity)
{
	struct mailbox *mailbox = g_new0(struct mailbox, 1);

	pthread_mutex_init(&mailbox->lock, NULL);
	mailbox->last = &mailbox->first;
	mailbox->capacity = capacity;
	return mailbox;
}

/* Frees the mailbox and the messages that it still holds. */
void mailbox_free(struct mailbox *mailbox)
{
	struct message *message = mailbox_take_all(mailbox);

	while (message) {
		struct message *next = message->next;

		message_free(message);
		message = next;
	}
	pthread_mutex_destroy(&mailbox->lock);
	g_free(mailbox);
}

static void append(struct mailbox *mailbox, struct message *message)
{
	message->next = NULL;
	*mailbox->last = message;
	mailbox->last = &message->next;
	mailbox->count++;
}

static enum post_result try_append(struct mailbox *mailbox,
				   struct message *message)
{
	if (mailbox->is_closed)
		return POST_CLOSED;
	if (mailbox->count >= mailbox->capacity)
		return POST_FULL;
	append(mailbox, message);
	return POST_ACCEPTED;
}

/*
 * Appends a message. If POST_ACCEPTED is returned, the mailbox owns the
 * message, and the sender must wake the reader if was_empty is set. Otherwise
 * the sender keeps the message.
 */
enum post_result mailbox_post(struct mailbox *mailbox, struct message *message,
			      bool *was_empty)
{
	enum post_result result;

	pthread_mutex_lock(&mailbox->lock);
	*was_empty = mailbox->count == 0;
	result = try_append(mailbox, message);
	pthread_mutex_unlock(&mailbox->lock);
	return result;
}

/*
 * Removes and returns all messages in posting order; the mailbox no longer owns
 * them.
 */
struct message *mailbox_take_all(struct mailbox *mailbox)
{
	struct message *first;

	pthread_mutex_lock(&mailbox->lock);
	first = mailbox->first;
	mailbox->first = NULL;
	mailbox->last = &mailbox->first;
	mailbox->count = 0;
	pthread_mutex_unlock(&mailbox->lock);
	return first;
}

/*
 * Appends a final message regardless of the capacity and closes the mailbox, so
 * that later posts return POST_CLOSED. If the mailbox is already closed,
 * returns false and does not take ownership of the message.
 */
bool mailbox_close(struct mailbox *mailbox, struct message *final_message)
{
	bool was_open;

	pthread_mutex_lock(&mailbox->lock);
	was_open = !mailbox->is_closed;
	if (was_open)
		append(mailbox, final_message);
	mailbox->is_closed = true;
	pthread_mutex_unlock(&mailbox->lock);
	return was_open;
}
