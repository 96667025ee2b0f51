#include "config_platform.h"

#include "control/zone_reporter.h"

#include <platform/platform_key.h>
#include <platform/target_entry.h>

struct config_platform {
	struct config_platform_options options;
	char *rules_key;
	struct kv_client *client;
	struct config_store *store;
	struct zone_reporter *reporter;
	struct roster_updater *roster_updater;
	bool is_reading_targets;
};

static bool open_client(struct config_platform *platform, GError **error)
{
	const struct platform_settings *settings =
		&platform->options.settings->platform;
	struct kv_client_options options = {
		.base = platform->options.base,
		.server = settings->store,
		.token_file = settings->token_file,
		.timeout_ms = settings->timeout_ms,
	};

	platform->client = kv_client_new(&options, error);
	return platform->client != NULL;
}

static void open_store(struct config_platform *platform)
{
	const char *prefix = platform->options.settings->platform.key_prefix;
	struct config_store_options options = {
		.client = platform->client,
		.context = platform->options.context,
		.on_document = platform->options.on_document,
		.on_failed = platform->options.on_failed,
	};

	platform->rules_key = g_strdup_printf("%s/rules", prefix);
	options.key = platform->rules_key;
	platform->store = config_store_new(&options);
}

static void open_reporter(struct config_platform *platform)
{
	const struct settings *settings = platform->options.settings;
	char *key = g_strdup_printf("%s/status/%s/%s",
				    settings->platform.key_prefix,
				    settings->region, settings->zone);

	platform->reporter = zone_reporter_new(platform->client, key);
	g_free(key);
}

static void open_roster_updater(struct config_platform *platform)
{
	const struct settings *settings = platform->options.settings;
	const char *prefix = settings->platform.key_prefix;
	char *key = g_strdup_printf("%s/roster/%s", prefix, settings->region);
	char *lease_key =
		g_strdup_printf("%s/roster-lease/%s", prefix, settings->region);
	struct roster_updater_options options = {
		.client = platform->client,
		.key = key,
		.lease_key = lease_key,
		.context = platform->options.context,
		.on_roster = platform->options.on_roster,
		.on_failed = platform->options.on_failed,
	};

	platform->roster_updater = roster_updater_new(&options);
	g_free(key);
	g_free(lease_key);
}

/* Skips malformed entries, so that one of them does not hide the others. */
static GArray *decode_targets(const struct kv_reply *reply)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct target));

	for (guint i = 0; i < reply->entries->len; i++) {
		struct target_entry entry;

		if (target_entry_decode(&entry, kv_reply_entry(reply, i)))
			g_array_append_val(list, entry.target);
	}
	return list;
}

static void on_targets(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct config_platform *platform = context;
	GArray *list = reply ? decode_targets(reply) : NULL;

	platform->is_reading_targets = false;
	platform->options.on_targets(platform->options.context, list, error);
	if (list)
		g_array_free(list, TRUE);
}

/*
 * Creates the client and the components that use it; nothing is read yet. Free
 * the result with config_platform_free. Fails if the store's token file cannot
 * be read.
 */
struct config_platform *
config_platform_new(const struct config_platform_options *options,
		    GError **error)
{
	struct config_platform *platform = g_new0(struct config_platform, 1);

	platform->options = *options;
	if (!open_client(platform, error)) {
		config_platform_free(platform);
		return NULL;
	}
	open_store(platform);
	open_reporter(platform);
	open_roster_updater(platform);
	return platform;
}

/* Cancels pending calls and frees the components; NULL is allowed. */
void config_platform_free(struct config_platform *platform)
{
	if (!platform)
		return;
	zone_reporter_free(platform->reporter);
	roster_updater_free(platform->roster_updater);
	config_store_free(platform->store);
	kv_client_free(platform->client);
	g_free(platform->rules_key);
	g_free(platform);
}

/* Returns the config_store, which config_platform_free frees. */
struct config_store *config_platform_store(struct config_platform *platform)
{
	return platform->store;
}

/* Sets the zone's report to publish and takes ownership of text. */
void config_platform_set_report(struct config_platform *platform, char *text)
{
	zone_reporter_set(platform->reporter, text);
}

/* Writes the zone's report, and reads or updates the roster, if due. */
void config_platform_tick(struct config_platform *platform,
			  const struct roster_updater_inputs *roster_inputs,
			  bool is_reporter, int64_t now_ms)
{
	zone_reporter_tick(platform->reporter, is_reporter, now_ms);
	roster_updater_tick(platform->roster_updater, roster_inputs, now_ms);
}

/* Reads the platform's list of targets unless a read is in progress. */
void config_platform_read_targets(struct config_platform *platform)
{
	struct kv_callback callback = {platform, on_targets};

	if (platform->is_reading_targets)
		return;
	platform->is_reading_targets = true;
	kv_client_range(platform->client, PLATFORM_KEY_TARGETS, true,
			&callback);
}

/* Returns the number of calls to the store so far. */
uint64_t config_platform_call_count(const struct config_platform *platform)
{
	return kv_client_call_count(platform->client);
}
