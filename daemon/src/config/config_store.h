#ifndef CONFIG_STORE_H
#define CONFIG_STORE_H

#include <core/rules_document.h>
#include <platform/kv_client.h>

/*
 * Access to the configuration's key in the key-value store: reads, a watch for
 * changes, and a write that restores lines which the store has lost.
 */
struct config_store;

/*
 * The client and the key must outlive the config_store. on_document is called
 * for each document read, on_failed for a failed call or an invalid document;
 * reason is for logs.
 */
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
			 const struct rules_document *local);

#endif
