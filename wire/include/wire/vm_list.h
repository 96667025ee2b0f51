#ifndef WIRE_VM_LIST_H
#define WIRE_VM_LIST_H

#include <core/ip_addr.h>
#include <glib.h>

/* One VM as the platform lists it. */
struct vm {
	struct ip_addr addr;
	uint32_t zone_id;
	bool is_leaving;
};

/* The platform's list, which may lag; an array of struct vm. */
GArray *vm_list_decode(const char *text, size_t length_bytes, GError **error);

#endif
