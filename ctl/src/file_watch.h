#ifndef FILE_WATCH_H
#define FILE_WATCH_H

#include <event2/event.h>
#include <glib.h>

/*
 * Watches one file by its folder, so that editors which write a new file and
 * rename it are seen too, and waits until saving has come to rest.
 */
struct file_watch;

struct file_watch_options {
	struct event_base *base;
	const char *path;
	void *context;
	void (*on_saved)(void *context);
};

struct file_watch *file_watch_new(const struct file_watch_options *options,
				  GError **error);
void file_watch_free(struct file_watch *watch);

#endif
