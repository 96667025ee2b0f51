#ifndef CORE_WORK_CLASS_H
#define CORE_WORK_CLASS_H

#include <stdbool.h>

/* The priority class of a service's requests, set by its rule. */
enum work_class {
	CLASS_URGENT,
	CLASS_NORMAL,
	CLASS_BULK,
	CLASS_COUNT,
};

const char *work_class_name(enum work_class work_class);
bool work_class_parse(enum work_class *work_class, const char *text);

#endif
