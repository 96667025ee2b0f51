#ifndef DAEMON_DAEMON_ERROR_H
#define DAEMON_DAEMON_ERROR_H

#include <glib.h>

#define DAEMON_ERROR (daemon_error_quark())

/* Codes of startup errors, which shallotd reports to the operator. */
enum daemon_error {
	DAEMON_ERROR_SETTINGS,
	DAEMON_ERROR_RULES,
	DAEMON_ERROR_START,
	DAEMON_ERROR_PLATFORM,
};

GQuark daemon_error_quark(void);

#endif
