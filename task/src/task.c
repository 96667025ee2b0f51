#include <task/task.h>

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <task/task_error.h>
#include <time.h>
#include <unistd.h>

#define US_PER_S 1000000
#define US_PER_MS 1000
#define NS_PER_US 1000

struct task {
	struct task_options options;
	struct mailbox *mailbox;
	struct event_base *base;
	struct event *wake_event;
	int wake_fd;
	pthread_t thread;
	bool has_thread;
	pthread_mutex_t lock;
	pthread_cond_t started_cond;
	bool is_start_done;
	bool is_running;
	GError *start_error;
};

static const struct message_type stop_message_type;

/* A message of this internal type, from task_stop, ends the event loop. */
static void stop_message_free(struct message *message)
{
	g_free(message);
}

static const struct message_type stop_message_type = {"stop",
						      stop_message_free};

static void dispatch_message(struct task *task, struct message *message)
{
	if (message->type == &stop_message_type) {
		event_base_loopbreak(task->base);
		message_free(message);
		return;
	}
	task->options.handle(task->options.context, message);
}

static void on_wake(evutil_socket_t fd, short what, void *context)
{
	struct task *task = context;
	struct message *message;
	uint64_t count;

	if (read(fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		return;
	message = mailbox_take_all(task->mailbox);
	while (message) {
		struct message *next = message->next;

		dispatch_message(task, message);
		message = next;
	}
}

static void signal_start_done(struct task *task, bool is_running, GError *error)
{
	pthread_mutex_lock(&task->lock);
	task->is_start_done = true;
	task->is_running = is_running;
	task->start_error = error;
	pthread_cond_signal(&task->started_cond);
	pthread_mutex_unlock(&task->lock);
}

static void *thread_main(void *data)
{
	struct task *task = data;
	void *context = task->options.context;
	GError *error = NULL;
	bool is_running = true;

	if (task->options.start)
		is_running = task->options.start(context, task, &error);
	signal_start_done(task, is_running, error);
	if (is_running) {
		event_base_loop(task->base, EVLOOP_NO_EXIT_ON_EMPTY);
		if (task->options.stop)
			task->options.stop(context);
	}
	return NULL;
}

static bool create_event_loop(struct task *task, GError **error)
{
	task->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	task->base = event_base_new();
	if (task->wake_fd >= 0 && task->base)
		task->wake_event =
			event_new(task->base, task->wake_fd,
				  EV_READ | EV_PERSIST, on_wake, task);
	if (task->wake_event && event_add(task->wake_event, NULL) == 0)
		return true;
	g_set_error(error, TASK_ERROR, TASK_ERROR_RESOURCE,
		    "cannot create the event loop of task %s",
		    task->options.name);
	return false;
}

/*
 * Creates a task without starting its thread. Free it with task_free, which
 * does not free the context. Fails with TASK_ERROR_RESOURCE.
 */
struct task *task_new(const struct task_options *options, GError **error)
{
	struct task *task = g_new0(struct task, 1);

	task->options = *options;
	task->mailbox = mailbox_new(options->mailbox_capacity);
	pthread_mutex_init(&task->lock, NULL);
	pthread_cond_init(&task->started_cond, NULL);
	if (!create_event_loop(task, error)) {
		task_free(task);
		return NULL;
	}
	return task;
}

static void join(struct task *task)
{
	pthread_join(task->thread, NULL);
	task->has_thread = false;
}

/*
 * Starts the thread and waits until the start callback has returned. Fails
 * with that callback's error, or with TASK_ERROR_RESOURCE.
 */
bool task_start(struct task *task, GError **error)
{
	if (pthread_create(&task->thread, NULL, thread_main, task) != 0) {
		g_set_error(error, TASK_ERROR, TASK_ERROR_RESOURCE,
			    "cannot create the thread of task %s",
			    task->options.name);
		return false;
	}
	task->has_thread = true;
	pthread_mutex_lock(&task->lock);
	while (!task->is_start_done)
		pthread_cond_wait(&task->started_cond, &task->lock);
	pthread_mutex_unlock(&task->lock);
	if (task->is_running)
		return true;
	join(task);
	g_propagate_error(error, task->start_error);
	task->start_error = NULL;
	return false;
}

static void wake(struct task *task)
{
	uint64_t one = 1;
	ssize_t written = write(task->wake_fd, &one, sizeof(one));

	/* If the counter of the eventfd is full, the task is woken anyway. */
	(void)written;
}

/*
 * Stops the event loop after the messages posted so far and joins the thread.
 * Later posts return POST_CLOSED. Must not be called from the task itself.
 */
void task_stop(struct task *task)
{
	struct message *message;

	if (!task->has_thread)
		return;
	message = g_new0(struct message, 1);
	message->type = &stop_message_type;
	mailbox_close(task->mailbox, message);
	wake(task);
	join(task);
}

/* Stops the task if it is running and frees it; NULL is allowed. */
void task_free(struct task *task)
{
	if (!task)
		return;
	task_stop(task);
	if (task->wake_event)
		event_free(task->wake_event);
	if (task->base)
		event_base_free(task->base);
	if (task->wake_fd >= 0)
		close(task->wake_fd);
	mailbox_free(task->mailbox);
	pthread_mutex_destroy(&task->lock);
	pthread_cond_destroy(&task->started_cond);
	g_free(task);
}

/*
 * Posts a message; may be called from any thread. If POST_ACCEPTED is returned,
 * the task owns the message, otherwise the sender keeps it and must handle the
 * failure.
 */
enum post_result task_post(struct task *task, struct message *message)
{
	bool was_empty = false;
	enum post_result result =
		mailbox_post(task->mailbox, message, &was_empty);

	if (result == POST_ACCEPTED && was_empty)
		wake(task);
	return result;
}

/*
 * Posts a message that may be lost. Returns false if it was not accepted; it
 * has then been freed.
 */
bool task_post_or_free(struct task *task, struct message *message)
{
	if (task_post(task, message) == POST_ACCEPTED)
		return true;
	message_free(message);
	return false;
}

/* Returns the event loop; only the task's own thread may add events to it. */
struct event_base *task_base(struct task *task)
{
	return task->base;
}

/* Returns the task's name, for log lines. */
const char *task_name(const struct task *task)
{
	return task->options.name;
}

/* Returns the time of task_now_us in milliseconds. */
int64_t task_now_ms(void)
{
	return task_now_us() / US_PER_MS;
}

/*
 * Returns the time in microseconds of a clock that never goes back and, unlike
 * CLOCK_MONOTONIC, counts the time for which the machine was suspended.
 */
int64_t task_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}
