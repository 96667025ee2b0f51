#ifndef CTL_LOAD_CLASS_H
#define CTL_LOAD_CLASS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A class of requests of the load generator. host names the service, share is
 * the weight of the class in the mix. Repeatable requests are sent as GET,
 * others as POST.
 */
struct load_class {
	const char *name;
	const char *host;
	const char *path;
	uint32_t share;
	bool is_repeatable;
};

#endif
