#ifndef FILE_WATCH_H
#define FILE_WATCH_H

#include <event2/event.h>
#include <glib.h>

/*
 * Watches a file and calls on_saved after it was saved. The watch is on its
 * directory, as editors may write a new file and rename it over the old one.
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
