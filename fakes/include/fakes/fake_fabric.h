#ifndef FAKES_FAKE_FABRIC_H
#define FAKES_FAKE_FABRIC_H

#include <core/endpoint.h>
#include <glib.h>
#include <stdbool.h>

/*
 * Fake network fabric and callers: a task that opens flows to services and
 * sends each packet to a random node. Targets report the packets that they
 * receive, so that the fabric can count broken flows: those with a packet that
 * was lost, reached a second target, or reached a target of another service.
 */
struct fake_fabric;

struct fake_fabric_options {
	const struct endpoint *nodes;
	uint32_t node_count;
	const struct endpoint *services;
	uint32_t service_count;
	uint32_t target_count;
	/* Index of the service that each target belongs to. */
	const uint32_t *target_services;
	uint32_t flow_count;
	uint32_t packet_interval_ms;
	/*
	 * Number of packets after which a flow closes and another opens; 0:
	 * flows never close.
	 */
	uint32_t packets_per_flow;
	uint64_t seed;
};

/* The counts of a run. Packets still in transit count as lost. */
struct fake_fabric_result {
	uint64_t flow_count;
	uint64_t broken_count;
	uint64_t sent_count;
	uint64_t arrived_count;
};

struct fake_fabric *fake_fabric_new(const struct fake_fabric_options *options,
				    GError **error);
void fake_fabric_free(struct fake_fabric *fabric);
void fake_fabric_report_packet(struct fake_fabric *fabric, uint32_t target,
			       const uint8_t *bytes, uint32_t length_bytes);
uint64_t fake_fabric_sent_count(const struct fake_fabric *fabric);
void fake_fabric_finish(struct fake_fabric *fabric, uint32_t grace_ms,
			struct fake_fabric_result *result);
uint64_t fake_fabric_target_flow_count(const struct fake_fabric *fabric,
				       uint32_t target);

#endif
