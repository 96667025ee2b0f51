#include "control_keys.h"

#include "control_counters.h"

#include <daemon/daemon_error.h>
#include <inttypes.h>
#include <sys/stat.h>
#include <task/timer.h>

#define POLL_INTERVAL_MS 2000

struct control_keys {
	struct control_keys_options options;
	struct timer *timer;
	struct key_ring *ring;
	struct timespec mtime;
};

/*
 * Records the modification time of the file. Returns whether it has changed or
 * cannot be read.
 */
static bool update_mtime(struct control_keys *keys)
{
	struct stat status;
	struct timespec previous = keys->mtime;

	if (stat(keys->options.path, &status) < 0)
		return true;
	keys->mtime = status.st_mtim;
	return previous.tv_sec != status.st_mtim.tv_sec ||
	       previous.tv_nsec != status.st_mtim.tv_nsec;
}

static bool read_ring(struct control_keys *keys, GError **error)
{
	struct key_ring *ring = key_ring_read(keys->options.path, error);

	if (!ring)
		return false;
	key_ring_free(keys->ring);
	keys->ring = ring;
	log_write(keys->options.log, LOG_LEVEL_NOTICE, "keys_read",
		  "signing_key=%" PRIu32, key_ring_signing_key_id(ring));
	return true;
}

/* Keeps the current keys if the changed file cannot be read. */
static void on_timer(void *context)
{
	struct control_keys *keys = context;
	GError *error = NULL;

	if (!update_mtime(keys))
		return;
	if (read_ring(keys, &error)) {
		counter_set_add(keys->options.counters, CONTROL_KEY_READS, 1);
		return;
	}
	counter_set_add(keys->options.counters, CONTROL_KEYS_NOT_READ, 1);
	log_write(keys->options.log, LOG_LEVEL_WARNING, "keys_not_read",
		  "error=\"%s\"", error->message);
	g_error_free(error);
}

/*
 * Reads the key file and polls it for changes. Must be called in the task's
 * thread, as must control_keys_free. Everything the options point to must
 * outlive the keys. Fails with DAEMON_ERROR_SETTINGS.
 */
struct control_keys *
control_keys_new(struct task *task, const struct control_keys_options *options,
		 GError **error)
{
	struct control_keys *keys = g_new0(struct control_keys, 1);
	GError *cause = NULL;

	keys->options = *options;
	update_mtime(keys);
	if (!read_ring(keys, &cause)) {
		g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_SETTINGS,
			    "members.key_file: %s", cause->message);
		g_error_free(cause);
		control_keys_free(keys);
		return NULL;
	}
	keys->timer = timer_new(task, keys, on_timer);
	timer_every(keys->timer, POLL_INTERVAL_MS);
	return keys;
}

/* Wipes the keys from memory and frees them; NULL is allowed. */
void control_keys_free(struct control_keys *keys)
{
	if (!keys)
		return;
	timer_free(keys->timer);
	key_ring_free(keys->ring);
	g_free(keys);
}

/* Returns the current keys, valid until the task's event loop runs again. */
const struct key_ring *control_keys_ring(const struct control_keys *keys)
{
	return keys->ring;
}
