#ifndef TASK_TASK_ERROR_H
#define TASK_TASK_ERROR_H

#include <glib.h>

#define TASK_ERROR (task_error_quark())

/* Errors of package task. */
enum task_error {
	TASK_ERROR_RESOURCE,
	TASK_ERROR_ADDRESS,
	TASK_ERROR_SOCKET,
};

GQuark task_error_quark(void);

#endif
