#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include "node_registrar.h"

#include <daemon/settings.h>
#include <platform/kv_client.h>
#include <platform/kv_mirror.h>
#include <task/log.h>

/*
 * Maintains this node's own entry in the store, attached to a lease, so that
 * other nodes can find this one. The entry is written only if the store's, as
 * seen in the mirror, is missing or has another value: through the registrar,
 * or by this node itself if the entry is still missing seconds later.
 */
struct node_entry;

struct node_entry *node_entry_new(const struct settings *settings,
				  struct kv_client *client,
				  struct node_registrar *registrar,
				  struct log *log);
void node_entry_free(struct node_entry *entry);
void node_entry_drop_lease(struct node_entry *entry);
void node_entry_tick(struct node_entry *entry, const struct kv_mirror *mirror,
		     int64_t now_ms);

#endif
