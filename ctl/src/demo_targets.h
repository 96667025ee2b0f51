#ifndef DEMO_TARGETS_H
#define DEMO_TARGETS_H

#include <core/endpoint.h>
#include <fakes/fake_fabric.h>

/* Fake targets for all pools in a rules file. */
struct demo_targets;

struct demo_targets *demo_targets_new(const char *rules_path, GError **error);
void demo_targets_free(struct demo_targets *targets);
uint32_t demo_targets_count(const struct demo_targets *targets);
uint32_t demo_targets_service_count(const struct demo_targets *targets);
const struct endpoint *
demo_targets_service_addresses(const struct demo_targets *targets);
const uint32_t *
demo_targets_service_indexes(const struct demo_targets *targets);
const struct endpoint *demo_targets_endpoint(const struct demo_targets *targets,
					     uint32_t target);
uint64_t demo_targets_request_count(const struct demo_targets *targets,
				    uint32_t target);
void demo_targets_set_fabric(struct demo_targets *targets,
			     struct fake_fabric *fabric);
void demo_targets_print_imbalance(const struct demo_targets *targets,
				  const struct fake_fabric *fabric);

#endif
