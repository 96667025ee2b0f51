#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include <daemon/settings.h>
#include <platform/kv_client.h>
#include <platform/kv_mirror.h>
#include <task/log.h>

/*
 * Maintains this node's own entry in the store, attached to a lease, so that
 * other nodes can find this one. Writes it only if the store's entry, as seen
 * in the mirror, is missing or has another value.
 */
struct node_entry;

struct node_entry *node_entry_new(const struct settings *settings,
				  struct kv_client *client, struct log *log);
void node_entry_free(struct node_entry *entry);
void node_entry_tick(struct node_entry *entry, const struct kv_mirror *mirror,
		     int64_t now_ms);

#endif
