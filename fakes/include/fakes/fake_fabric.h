#ifndef FAKES_FAKE_FABRIC_H
#define FAKES_FAKE_FABRIC_H

#include <core/endpoint.h>
#include <glib.h>
#include <stdbool.h>

/*
 * A stand-in fabric and its callers: a task that opens flows to services and
 * hands each packet to any of the nodes. Targets tell it what arrived, so that
 * it counts the flows whose packets met two targets, none, or another service.
 */
struct fake_fabric;

struct fake_fabric_options {
	const struct endpoint *nodes;
	uint32_t node_count;
	const struct endpoint *services;
	uint32_t service_count;
	uint32_t target_count;
	/* Which service each target belongs to, by index. */
	const uint32_t *target_services;
	uint32_t flow_count;
	uint32_t packet_interval_ms;
	/* A flow ends and another opens after this many packets; 0: never. */
	uint32_t packets_per_flow;
	uint64_t seed;
};

/* What the fabric counted; lost packets may still be on their way. */
struct fake_fabric_result {
	uint64_t flow_count;
	uint64_t broken_count;
	uint64_t sent_count;
	uint64_t arrived_count;
};

struct fake_fabric *fake_fabric_new(const struct fake_fabric_options *options,
				    GError **error);
void fake_fabric_free(struct fake_fabric *fabric);
void fake_fabric_arrived(struct fake_fabric *fabric, uint32_t target,
			 const uint8_t *bytes, uint32_t length_bytes);
uint64_t fake_fabric_sent_count(const struct fake_fabric *fabric);
void fake_fabric_finish(struct fake_fabric *fabric, uint32_t grace_ms,
			struct fake_fabric_result *result);
uint64_t fake_fabric_target_flows(const struct fake_fabric *fabric,
				  uint32_t target);

#endif
