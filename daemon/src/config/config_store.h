#ifndef CONFIG_STORE_H
#define CONFIG_STORE_H

#include <core/rules_document.h>
#include <platform/kv_client.h>

/*
 * The configuration's key in the store: reads and a watch for what others
 * wrote, and the write that gives back what the store has lost.
 */
struct config_store;

/* The client and the key must outlive it. reason is a text to log. */
struct config_store_options {
	struct kv_client *client;
	const char *key;
	void *context;
	void (*on_document)(void *context,
			    const struct rules_document *document);
	void (*on_failed)(void *context, const char *reason);
};

struct config_store *
config_store_new(const struct config_store_options *options);
void config_store_free(struct config_store *store);
void config_store_read(struct config_store *store);
void config_store_watch(struct config_store *store, bool is_wanted);
void config_store_repair(struct config_store *store,
			 const struct rules_document *held);

#endif
