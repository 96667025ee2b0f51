#include "demo_platform.h"

#include <fakes/fake_host.h>
#include <fakes/fake_kv.h>

struct demo_platform {
	const struct demo_targets *targets;
	struct fake_kv *store;
};

/* Writes a target's entry to the store, as the target's VM would do. */
static void put_target_entry(struct demo_platform *platform, uint32_t index,
			     const char *state)
{
	char address[ENDPOINT_TEXT_BYTES];
	char *key = fake_host_entry_key(index + 1);
	char *text = g_strdup_printf(
		"{\"service\":\"demo\",\"address\":\"%s\",\"zone\":"
		"\"zone-1\",\"concurrency\":1,\"state\":\"%s\","
		"\"warmupRemainingMs\":0,\"version\":\"v1\",\"sequence\":1,"
		"\"born\":1}",
		endpoint_format(demo_targets_endpoint(platform->targets, index),
				address),
		state);

	fake_kv_put(platform->store, key, text);
	g_free(key);
	g_free(text);
}

/* Starts the platform; the targets must outlive it. Fails with TASK_ERROR. */
struct demo_platform *demo_platform_new(const struct demo_options *options,
					const struct demo_targets *targets,
					GError **error)
{
	struct demo_platform *platform = g_new0(struct demo_platform, 1);
	struct fake_kv_options kv_options = {.listen = options->store};

	platform->targets = targets;
	platform->store = fake_kv_new(&kv_options, error);
	if (!platform->store) {
		demo_platform_free(platform);
		return NULL;
	}
	for (uint32_t i = 0; i < demo_targets_count(targets); i++)
		put_target_entry(platform, i, "ready");
	return platform;
}

/* Stops and frees the platform; NULL is allowed. */
void demo_platform_free(struct demo_platform *platform)
{
	if (!platform)
		return;
	fake_kv_free(platform->store);
	g_free(platform);
}

/* Marks a target as draining in its entry. */
void demo_platform_drain(struct demo_platform *platform, uint32_t target)
{
	put_target_entry(platform, target, "draining");
}
