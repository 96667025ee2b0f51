#ifndef DEMO_RUN_H
#define DEMO_RUN_H

#include <core/endpoint.h>

#define DEMO_NODE_COUNT_MAX 16
#define DEMO_DURATION_DEFAULT_S 15
#define DEMO_DURATION_MAX_S 3600

/*
 * Each running node has an address for requests and one for packets. store is
 * the address that the fake store listens on. rules_path is the rules file that
 * the nodes get; its targets are started as fakes.
 */
struct demo_options {
	struct endpoint request_addresses[DEMO_NODE_COUNT_MAX];
	struct endpoint packet_addresses[DEMO_NODE_COUNT_MAX];
	uint32_t node_count;
	struct endpoint store;
	uint32_t duration_s;
	const char *rules_path;
};

int demo_run(const struct demo_options *options);

#endif
