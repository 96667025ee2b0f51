#include <task/mailbox.h>

#include <glib.h>
#include <pthread.h>

struct mailbox {
	pthread_mutex_t lock;
	struct message *first;
	struct message **last;
	uint32_t count;
	uint32_t capacity;
	bool is_closed;
};

/*
 * Makes a mailbox that holds at most capacity messages. The caller frees it
 * with mailbox_free.
 */
struct mailbox *mailbox_new(uint32_t capacity)
{
	struct mailbox *mailbox = g_new0(struct mailbox, 1);

	pthread_mutex_init(&mailbox->lock, NULL);
	mailbox->last = &mailbox->first;
	mailbox->capacity = capacity;
	return mailbox;
}

/* Frees the mailbox and the messages nobody took. */
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
	return POST_TAKEN;
}

/*
 * Appends a message. The mailbox owns it when POST_TAKEN is returned and the
 * caller keeps it otherwise. was_empty tells whether the reader needs waking.
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

/* Takes the whole queue as a list in posting order; the caller owns it. */
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
 * Appends a last message, whatever the bound says, and refuses every later one
 * with POST_CLOSED. Returns false, and leaves the message to the caller, when
 * the mailbox is closed already.
 */
bool mailbox_close(struct mailbox *mailbox, struct message *last)
{
	bool is_first;

	pthread_mutex_lock(&mailbox->lock);
	is_first = !mailbox->is_closed;
	if (is_first)
		append(mailbox, last);
	mailbox->is_closed = true;
	pthread_mutex_unlock(&mailbox->lock);
	return is_first;
}
