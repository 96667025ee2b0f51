#ifndef DAEMON_SHALLOTD_H
#define DAEMON_SHALLOTD_H

#include <daemon/settings.h>

/* One node: its tasks and the messages they get at start and stop. */
struct shallotd;

struct shallotd *shallotd_new(const struct settings *settings, GError **error);
void shallotd_free(struct shallotd *daemon);
void shallotd_drain(struct shallotd *daemon);

#endif
