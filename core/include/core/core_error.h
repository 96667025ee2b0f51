#ifndef CORE_CORE_ERROR_H
#define CORE_CORE_ERROR_H

#include <glib.h>

#define CORE_ERROR (core_error_quark())

/* Codes of the errors that the core modules return. */
enum core_error {
	CORE_ERROR_RULE,
	CORE_ERROR_CONFLICT,
	CORE_ERROR_LIMIT,
	CORE_ERROR_STALE,
};

GQuark core_error_quark(void);

#endif
