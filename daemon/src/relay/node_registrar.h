#ifndef NODE_REGISTRAR_H
#define NODE_REGISTRAR_H

#include <core/relay_sources.h>
#include <platform/kv_client.h>
#include <task/log.h>
#include <task/task.h>

/*
 * Collects the entries of nodes that start and passes them on together: to the
 * node that this one reads from, or to the store if it reads from there. Many
 * entries then share one call and one lease. Entries that are lost on the way
 * are not sent again; their nodes notice that they are not listed.
 */
struct node_registrar;

/* client is used for calls to the store and is not owned. */
struct node_registrar_options {
	struct task *task;
	struct kv_client *client;
	struct log *log;
};

struct node_registrar *
node_registrar_new(const struct node_registrar_options *options);
void node_registrar_free(struct node_registrar *registrar);
void node_registrar_set_source(struct node_registrar *registrar,
			       const struct relay_source *source);
void node_registrar_drop_lease(struct node_registrar *registrar);
void node_registrar_add(struct node_registrar *registrar, const char *key,
			const char *value, uint32_t value_bytes);

#endif
