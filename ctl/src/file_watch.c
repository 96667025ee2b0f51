#include "file_watch.h"

#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <string.h>
#include <sys/inotify.h>
#include <unistd.h>

/*
 * Changes are debounced: on_saved is called once the file has not changed for
 * DEBOUNCE_US. An event more than DEBOUNCE_MAX_US after the first does not
 * restart the timer, so that continual saving cannot delay the call forever.
 */
#define DEBOUNCE_US 150000
#define DEBOUNCE_MAX_US 500000
#define EVENT_BUFFER_BYTES 4096

struct file_watch {
	struct file_watch_options options;
	char *name;
	int fd;
	struct event *read_event;
	struct event *debounce_event;
	int64_t first_event_us;
};

static void on_debounce_timer(evutil_socket_t fd, short what, void *context)
{
	struct file_watch *watch = context;

	watch->first_event_us = 0;
	watch->options.on_saved(watch->options.context);
}

static bool concerns_file(const struct file_watch *watch, const char *bytes,
			  size_t length)
{
	bool is_found = false;

	for (size_t offset = 0;
	     offset + sizeof(struct inotify_event) <= length;) {
		struct inotify_event event;

		memcpy(&event, bytes + offset, sizeof(event));
		offset += sizeof(event);
		if (event.len > 0 && strcmp(bytes + offset, watch->name) == 0)
			is_found = true;
		offset += event.len;
	}
	return is_found;
}

static void restart_debounce(struct file_watch *watch)
{
	struct timeval delay = {.tv_usec = DEBOUNCE_US};
	int64_t now_us = g_get_monotonic_time();

	if (watch->first_event_us == 0)
		watch->first_event_us = now_us;
	if (now_us - watch->first_event_us <= DEBOUNCE_MAX_US)
		event_add(watch->debounce_event, &delay);
}

static void on_events(evutil_socket_t fd, short what, void *context)
{
	struct file_watch *watch = context;
	char bytes[EVENT_BUFFER_BYTES];
	ssize_t length = read(fd, bytes, sizeof(bytes));

	if (length > 0 && concerns_file(watch, bytes, (size_t)length))
		restart_debounce(watch);
}

static bool open_watch(struct file_watch *watch)
{
	char *directory = g_path_get_dirname(watch->options.path);
	int result;

	watch->fd = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
	result = watch->fd < 0
			 ? -1
			 : inotify_add_watch(watch->fd, directory,
					     IN_CLOSE_WRITE | IN_MOVED_TO |
						     IN_CREATE | IN_DELETE);
	g_free(directory);
	return result >= 0;
}

/* Starts a watch; the path must outlive it. Fails with G_FILE_ERROR. */
struct file_watch *file_watch_new(const struct file_watch_options *options,
				  GError **error)
{
	struct file_watch *watch = g_new0(struct file_watch, 1);

	watch->options = *options;
	watch->name = g_path_get_basename(options->path);
	if (!open_watch(watch)) {
		g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno),
			    "cannot watch %s: %s", options->path,
			    strerror(errno));
		file_watch_free(watch);
		return NULL;
	}
	watch->read_event = event_new(options->base, watch->fd,
				      EV_READ | EV_PERSIST, on_events, watch);
	watch->debounce_event =
		event_new(options->base, -1, 0, on_debounce_timer, watch);
	event_add(watch->read_event, NULL);
	return watch;
}

/* Stops and frees the watch; NULL is allowed. */
void file_watch_free(struct file_watch *watch)
{
	if (!watch)
		return;
	if (watch->read_event)
		event_free(watch->read_event);
	if (watch->debounce_event)
		event_free(watch->debounce_event);
	if (watch->fd >= 0)
		close(watch->fd);
	g_free(watch->name);
	g_free(watch);
}
