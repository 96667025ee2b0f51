#ifndef DAEMON_SHALLOTD_H
#define DAEMON_SHALLOTD_H

#include <daemon/settings.h>

/* One node: creates, starts, drains and stops its tasks. */
struct shallotd;

/* on_done is called once, not in the thread that called shallotd_drain. */
struct shallotd_drain_options {
	void *context;
	void (*on_done)(void *context, bool is_drained);
};

struct shallotd *shallotd_new(const struct settings *settings, GError **error);
void shallotd_free(struct shallotd *daemon);
bool shallotd_drain(struct shallotd *daemon,
		    const struct shallotd_drain_options *options,
		    GError **error);
void shallotd_configure_log(struct shallotd *daemon, uint32_t level,
			    uint32_t rate_per_s);

#endif
