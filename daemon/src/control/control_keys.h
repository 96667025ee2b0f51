#ifndef CONTROL_KEYS_H
#define CONTROL_KEYS_H

#include <task/counter_set.h>
#include <task/log.h>
#include <task/task.h>
#include <wire/key_ring.h>

/*
 * The keys of a key file, which is read again when it changes, so that keys can
 * be rotated without a restart.
 */
struct control_keys;

struct control_keys_options {
	const char *path;
	struct counter_set *counters;
	struct log *log;
};

struct control_keys *
control_keys_new(struct task *task, const struct control_keys_options *options,
		 GError **error);
void control_keys_free(struct control_keys *keys);
const struct key_ring *control_keys_ring(const struct control_keys *keys);

#endif
