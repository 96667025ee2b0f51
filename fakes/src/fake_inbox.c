#include <fakes/fake_inbox.h>

#include <pthread.h>
#include <time.h>

#define MAILBOX_CAPACITY 4096
#define WAIT_TIMEOUT_S 30

/* lock guards messages; arrived is signalled when a message is added. */
struct fake_inbox {
	struct task *task;
	pthread_mutex_t lock;
	pthread_cond_t arrived;
	GPtrArray *messages;
};

static void free_message(gpointer message)
{
	message_free(message);
}

static void handle(void *context, struct message *message)
{
	struct fake_inbox *inbox = context;

	pthread_mutex_lock(&inbox->lock);
	g_ptr_array_add(inbox->messages, message);
	pthread_cond_broadcast(&inbox->arrived);
	pthread_mutex_unlock(&inbox->lock);
}

/* Starts an inbox. Free it with fake_inbox_free. Returns NULL on failure. */
struct fake_inbox *fake_inbox_new(void)
{
	struct fake_inbox *inbox = g_new0(struct fake_inbox, 1);
	struct task_options options = {
		.name = "fake_inbox",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = inbox,
		.handle = handle,
	};

	inbox->messages = g_ptr_array_new_with_free_func(free_message);
	pthread_mutex_init(&inbox->lock, NULL);
	pthread_cond_init(&inbox->arrived, NULL);
	inbox->task = task_new(&options, NULL);
	if (inbox->task && task_start(inbox->task, NULL))
		return inbox;
	fake_inbox_free(inbox);
	return NULL;
}

/* Stops the inbox and frees its messages; NULL is allowed. */
void fake_inbox_free(struct fake_inbox *inbox)
{
	if (!inbox)
		return;
	task_free(inbox->task);
	g_ptr_array_free(inbox->messages, TRUE);
	pthread_mutex_destroy(&inbox->lock);
	pthread_cond_destroy(&inbox->arrived);
	g_free(inbox);
}

/* Returns the task to post messages to. */
struct task *fake_inbox_task(struct fake_inbox *inbox)
{
	return inbox->task;
}

static bool find_match(struct fake_inbox *inbox, guint *next, void *context,
		       bool (*matches)(void *context,
				       const struct message *message))
{
	for (; *next < inbox->messages->len; (*next)++) {
		if (matches(context, g_ptr_array_index(inbox->messages, *next)))
			return true;
	}
	return false;
}

/*
 * Waits until matches returns true for a message. matches is called once for
 * each message, oldest first, with the lock held. Returns false after
 * WAIT_TIMEOUT_S.
 */
bool fake_inbox_wait(struct fake_inbox *inbox, void *context,
		     bool (*matches)(void *context,
				     const struct message *message))
{
	struct timespec end;
	guint next = 0;
	bool is_found;
	int result = 0;

	clock_gettime(CLOCK_REALTIME, &end);
	end.tv_sec += WAIT_TIMEOUT_S;
	pthread_mutex_lock(&inbox->lock);
	while (!(is_found = find_match(inbox, &next, context, matches)) &&
	       result == 0)
		result = pthread_cond_timedwait(&inbox->arrived, &inbox->lock,
						&end);
	pthread_mutex_unlock(&inbox->lock);
	return is_found;
}
