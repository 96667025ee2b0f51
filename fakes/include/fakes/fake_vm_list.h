#ifndef FAKES_FAKE_VM_LIST_H
#define FAKES_FAKE_VM_LIST_H

#include <core/endpoint.h>
#include <glib.h>
#include <stdbool.h>

/* A stand-in for the platform's list of VMs: answers a GET with a text. */
struct fake_vm_list;

/* text NULL is no list at all: the connection is cut. */
struct fake_vm_list_options {
	struct endpoint listen;
	const char *text;
};

struct fake_vm_list *
fake_vm_list_new(const struct fake_vm_list_options *options, GError **error);
void fake_vm_list_free(struct fake_vm_list *list);
struct endpoint fake_vm_list_endpoint(const struct fake_vm_list *list);
void fake_vm_list_set(struct fake_vm_list *list, const char *text);
uint64_t fake_vm_list_read_count(struct fake_vm_list *list);

#endif
