#include "demo_platform.h"

#include <fakes/fake_kv.h>
#include <fakes/fake_vm_list.h>

struct demo_platform {
	const struct demo_targets *targets;
	struct fake_kv *store;
	struct fake_vm_list *vms;
};

/* The list as the platform's service gives it, with one VM leaving. */
static char *list_text(const struct demo_targets *targets, uint32_t leaving)
{
	GString *text = g_string_new("[");

	for (uint32_t i = 0; i < demo_targets_count(targets); i++) {
		char address[IP_ADDR_TEXT_BYTES];

		ip_addr_format(&demo_targets_endpoint(targets, i)->addr,
			       address);
		g_string_append_printf(text,
				       "%s{\"address\":\"%s\",\"zone\":"
				       "\"zone-1\",\"state\":\"%s\"}",
				       i > 0 ? "," : "", address,
				       i == leaving ? "leaving" : "live");
	}
	g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

/* Starts the stand-ins; the targets must outlive them. */
struct demo_platform *demo_platform_new(const struct demo_options *options,
					const struct demo_targets *targets,
					GError **error)
{
	struct demo_platform *platform = g_new0(struct demo_platform, 1);
	char *text = list_text(targets, DEMO_TARGET_NONE);
	struct fake_kv_options kv_options = {.listen = options->store};
	struct fake_vm_list_options vm_options = {
		.listen = options->vm_list,
		.text = text,
	};

	platform->targets = targets;
	platform->store = fake_kv_new(&kv_options, error);
	if (platform->store)
		platform->vms = fake_vm_list_new(&vm_options, error);
	g_free(text);
	if (platform->vms)
		return platform;
	demo_platform_free(platform);
	return NULL;
}

/* Stops the stand-ins; NULL is allowed. */
void demo_platform_free(struct demo_platform *platform)
{
	if (!platform)
		return;
	fake_vm_list_free(platform->vms);
	fake_kv_free(platform->store);
	g_free(platform);
}

/* Lists a target's VM as leaving. */
void demo_platform_drain(struct demo_platform *platform, uint32_t target)
{
	char *text = list_text(platform->targets, target);

	fake_vm_list_set(platform->vms, text);
	g_free(text);
}
