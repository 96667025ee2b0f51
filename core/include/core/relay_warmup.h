#ifndef CORE_RELAY_WARMUP_H
#define CORE_RELAY_WARMUP_H

#include <core/relay_peer.h>
#include <core/relay_service.h>
#include <core/relay_target.h>
#include <glib.h>

/*
 * Keeps the nodes together below the rate at which a cold target may get
 * opening packets, without messages: at that rate tokens become valid, each
 * belongs to one node, and a node sends an opening packet only with a token of
 * its own. A token that is not used in its time is lost.
 */
struct relay_warmup;

/*
 * self_id is this node's id. The fleet may exceed a target's rate by the factor
 * factor_milli / 1000 plus burst_milli / 1000 packets in any second; it aims at
 * the rate itself.
 */
struct relay_warmup_options {
	uint64_t self_id;
	uint32_t factor_milli;
	uint32_t burst_milli;
};

struct relay_warmup *
relay_warmup_new(const struct relay_warmup_options *options);
void relay_warmup_free(struct relay_warmup *warmup);
void relay_warmup_set_nodes(struct relay_warmup *warmup, const GArray *peers,
			    int64_t now_ms);
void relay_warmup_sweep(struct relay_warmup *warmup, int64_t now_ms);
uint32_t relay_warmup_valid_count(const struct relay_warmup_options *options,
				  uint32_t rate_milli);
bool relay_warmup_is_limited(const struct relay_service *service,
			     const struct relay_target *entry, int64_t now_ms);
bool relay_warmup_may_send(struct relay_warmup *warmup,
			   const struct relay_service *service,
			   const GPtrArray *targets, struct relay_target *entry,
			   int64_t now_ms);

#endif
