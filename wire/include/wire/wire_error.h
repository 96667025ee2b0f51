#ifndef WIRE_WIRE_ERROR_H
#define WIRE_WIRE_ERROR_H

#include <glib.h>

#define WIRE_ERROR (wire_error_quark())

/* Why a message could not be decoded or encoded. */
enum wire_error {
	WIRE_ERROR_TRUNCATED,
	WIRE_ERROR_MALFORMED,
	WIRE_ERROR_VERSION,
	WIRE_ERROR_TOO_LARGE,
	WIRE_ERROR_AUTHENTICATION,
	WIRE_ERROR_KEY_FILE,
};

GQuark wire_error_quark(void);

#endif
