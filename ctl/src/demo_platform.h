#ifndef DEMO_PLATFORM_H
#define DEMO_PLATFORM_H

#include "demo_run.h"
#include "demo_targets.h"

#define DEMO_TARGET_NONE UINT32_MAX

/* The store of a fake platform, with an entry for each target. */
struct demo_platform;

struct demo_platform *demo_platform_new(const struct demo_options *options,
					const struct demo_targets *targets,
					GError **error);
void demo_platform_free(struct demo_platform *platform);
void demo_platform_drain(struct demo_platform *platform, uint32_t target);

#endif
