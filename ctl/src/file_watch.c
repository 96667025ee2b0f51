#include "file_watch.h"

#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <string.h>
#include <sys/inotify.h>
#include <unistd.h>

/*
 * A save of several writes counts once it has been quiet for so long, but
 * saves that follow one another without a pause do not wait for the last.
 */
#define QUIET_US 150000
#define QUIET_WAIT_MAX_US 500000
#define EVENT_BYTES 4096

struct file_watch {
	struct file_watch_options options;
	char *name;
	int fd;
	struct event *read_event;
	struct event *quiet_event;
	int64_t first_us;
};

static void on_quiet(evutil_socket_t fd, short what, void *context)
{
	struct file_watch *watch = context;

	watch->first_us = 0;
	watch->options.on_saved(watch->options.context);
}

static bool is_about_file(const struct file_watch *watch, const char *bytes,
			  size_t length)
{
	bool is_about = false;

	for (size_t at = 0; at + sizeof(struct inotify_event) <= length;) {
		struct inotify_event event;

		memcpy(&event, bytes + at, sizeof(event));
		at += sizeof(event);
		if (event.len > 0 && strcmp(bytes + at, watch->name) == 0)
			is_about = true;
		at += event.len;
	}
	return is_about;
}

static void wait_for_quiet(struct file_watch *watch)
{
	struct timeval quiet = {.tv_usec = QUIET_US};
	int64_t now_us = g_get_monotonic_time();

	if (watch->first_us == 0)
		watch->first_us = now_us;
	if (now_us - watch->first_us <= QUIET_WAIT_MAX_US)
		event_add(watch->quiet_event, &quiet);
}

static void on_events(evutil_socket_t fd, short what, void *context)
{
	struct file_watch *watch = context;
	char bytes[EVENT_BYTES];
	ssize_t length = read(fd, bytes, sizeof(bytes));

	if (length > 0 && is_about_file(watch, bytes, (size_t)length))
		wait_for_quiet(watch);
}

static bool open_watch(struct file_watch *watch)
{
	char *folder = g_path_get_dirname(watch->options.path);
	int result;

	watch->fd = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
	result = watch->fd < 0
			 ? -1
			 : inotify_add_watch(watch->fd, folder,
					     IN_CLOSE_WRITE | IN_MOVED_TO |
						     IN_CREATE | IN_DELETE);
	g_free(folder);
	return result >= 0;
}

/* Starts watching; the path must outlive it. Fails with G_FILE_ERROR. */
struct file_watch *file_watch_new(const struct file_watch_options *options,
				  GError **error)
{
	struct file_watch *watch = g_new0(struct file_watch, 1);

	watch->options = *options;
	watch->name = g_path_get_basename(options->path);
	if (!open_watch(watch)) {
		g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno),
			    "%s cannot be watched: %s", options->path,
			    strerror(errno));
		file_watch_free(watch);
		return NULL;
	}
	watch->read_event = event_new(options->base, watch->fd,
				      EV_READ | EV_PERSIST, on_events, watch);
	watch->quiet_event = event_new(options->base, -1, 0, on_quiet, watch);
	event_add(watch->read_event, NULL);
	return watch;
}

/* Ends the watch; NULL is allowed. */
void file_watch_free(struct file_watch *watch)
{
	if (!watch)
		return;
	if (watch->read_event)
		event_free(watch->read_event);
	if (watch->quiet_event)
		event_free(watch->quiet_event);
	if (watch->fd >= 0)
		close(watch->fd);
	g_free(watch->name);
	g_free(watch);
}
