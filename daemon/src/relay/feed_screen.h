#ifndef FEED_SCREEN_H
#define FEED_SCREEN_H

#include <glib.h>
#include <task/log.h>
#include <wire/kv_reply.h>

/*
 * Finds the entry of a key that was read before, NULL for none. It is called
 * only while a reply is screened.
 */
struct feed_screen_previous {
	const void *context;
	const struct kv_entry *(*find)(const void *context, const char *key);
};

struct kv_reply *feed_screen_reply(const struct kv_reply *reply,
				   bool is_snapshot,
				   const struct feed_screen_previous *previous,
				   struct log *log);

#endif
