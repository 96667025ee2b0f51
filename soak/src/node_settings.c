#include "node_settings.h"

#include "soak_net.h"

/* Number of seed nodes in the settings, as in platform deployments. */
#define SEED_COUNT_MAX 3
/*
 * Arbitrary, but the same on all nodes, so that all rank equal as readers of
 * the store.
 */
#define LINK_MBPS 100

static const char *const zones[SOAK_ZONE_COUNT] = {"soak-a", "soak-b"};

/* Returns the zone of the node, host or caller with this index. */
const char *node_settings_zone(uint32_t node)
{
	return zones[node % SOAK_ZONE_COUNT];
}

static char *format_address(enum soak_net_role role, uint32_t node)
{
	struct endpoint endpoint = soak_net_endpoint(role, node);
	char text[ENDPOINT_TEXT_BYTES];

	return g_strdup(endpoint_format(&endpoint, text));
}

static char *list_seeds(uint32_t node_count)
{
	GString *seeds = g_string_new(NULL);

	for (uint32_t i = 0; i < MIN(node_count, (uint32_t)SEED_COUNT_MAX);
	     i++) {
		char *text = format_address(SOAK_NET_NODE_PEERS, i);

		g_string_append_printf(seeds, "%s%s", i > 0 ? "," : "", text);
		g_free(text);
	}
	return g_string_free(seeds, FALSE);
}

static void add_listen(GString *text, uint32_t node)
{
	static const struct {
		const char *key;
		enum soak_net_role role;
	} listeners[] = {
		{"packets", SOAK_NET_NODE_PACKETS},
		{"admin", SOAK_NET_NODE_ADMIN},
		{"metrics", SOAK_NET_NODE_METRICS},
		{"peers", SOAK_NET_NODE_PEERS},
	};

	g_string_append(text, "listen:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		char *address = format_address(listeners[i].role, node);

		g_string_append_printf(text, "  %s: \"%s\"\n", listeners[i].key,
				       address);
		g_free(address);
	}
}

/* Writes the settings file of a node. Fails with G_FILE_ERROR. */
bool node_settings_write(const char *path, uint32_t node, uint32_t node_count,
			 uint32_t log_rate_per_s, GError **error)
{
	GString *text = g_string_new(NULL);
	char *seeds = list_seeds(node_count);
	char *store = format_address(SOAK_NET_NODE_STORE, node);
	bool is_written;

	g_string_append_printf(text,
			       "node: {name: soak-%u, zone: %s, region: soak}\n"
			       "delivery: {mode: tag}\n",
			       node, node_settings_zone(node));
	add_listen(text, node);
	g_string_append_printf(text,
			       "peers: {seeds: \"%s\", link_mbps: %d}\n"
			       "platform: {store: \"%s\"}\n"
			       "flows: {capacity: 50000}\n"
			       "log: {level: info, rate_per_s: %u}\n"
			       "drain: {timeout_ms: %d}\n",
			       seeds, LINK_MBPS, store, log_rate_per_s,
			       NODE_DRAIN_TIMEOUT_MS);
	is_written = g_file_set_contents(path, text->str, -1, error);
	g_string_free(text, TRUE);
	g_free(seeds);
	g_free(store);
	return is_written;
}
