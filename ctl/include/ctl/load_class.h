#ifndef CTL_LOAD_CLASS_H
#define CTL_LOAD_CLASS_H

#include <stdbool.h>
#include <stdint.h>

/* One kind of request in a mix; it goes to the service named in host. */
struct load_class {
	const char *name;
	const char *host;
	const char *path;
	uint32_t share;
	bool is_repeatable;
};

#endif
