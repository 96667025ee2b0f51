#ifndef CORE_CORE_ERROR_H
#define CORE_CORE_ERROR_H

#include <glib.h>

#define CORE_ERROR (core_error_quark())

/* What a decision module can report to its caller. */
enum core_error {
	CORE_ERROR_RULE,
	CORE_ERROR_CONFLICT,
	CORE_ERROR_LIMIT,
	CORE_ERROR_STALE,
};

GQuark core_error_quark(void);

#endif
