#ifndef SOAK_SOAK_ERROR_H
#define SOAK_SOAK_ERROR_H

#include <glib.h>

#define SOAK_ERROR soak_error_quark()

enum soak_error {
	SOAK_ERROR_SCHEDULE,
	SOAK_ERROR_START,
	SOAK_ERROR_STOPPED,
};

GQuark soak_error_quark(void);

#endif
