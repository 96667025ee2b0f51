#ifndef SYNC_SESSION_H
#define SYNC_SESSION_H

#include <glib.h>

#include "store_options.h"

/* Syncs one rules file with the store, on an event loop in one thread. */
struct sync_session;

/* Strings must outlive the session. wait_s limits a run with is_once. */
struct sync_session_options {
	struct store_options store;
	const char *path;
	const char *state_path;
	bool is_once;
	uint32_t wait_s;
};

struct sync_session *
sync_session_new(const struct sync_session_options *options, GError **error);
void sync_session_free(struct sync_session *session);
int sync_session_run(struct sync_session *session);

#endif
