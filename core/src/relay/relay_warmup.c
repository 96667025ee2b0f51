#include <core/relay_warmup.h>

#include "relay_warmup_nodes.h"

#include <core/node.h>

#define MILLI_PER_UNIT 1000

/*
 * The part of the allowed excess that is spent on tokens that stay valid for
 * longer, so that a node with few flows finds use for its own. The rest is kept
 * for nodes whose lists or clocks differ.
 */
#define VALID_SHARE_DIVISOR 4

struct relay_warmup {
	struct relay_warmup_options options;
	struct relay_warmup_nodes *nodes;
};

/* Creates the type without nodes. Free it with relay_warmup_free. */
struct relay_warmup *
relay_warmup_new(const struct relay_warmup_options *options)
{
	struct relay_warmup *warmup = g_new0(struct relay_warmup, 1);

	warmup->options = *options;
	warmup->nodes = relay_warmup_nodes_new();
	return warmup;
}

/* Frees it; NULL is allowed. */
void relay_warmup_free(struct relay_warmup *warmup)
{
	if (!warmup)
		return;
	relay_warmup_nodes_free(warmup->nodes);
	g_free(warmup);
}

/* Sets the nodes that the store lists, an array of struct relay_peer. */
void relay_warmup_set_nodes(struct relay_warmup *warmup, const GArray *peers,
			    int64_t now_ms)
{
	relay_warmup_nodes_set(warmup->nodes, peers, now_ms);
}

/* Forgets nodes that are no longer listed. */
void relay_warmup_sweep(struct relay_warmup *warmup, int64_t now_ms)
{
	relay_warmup_nodes_sweep(warmup->nodes, now_ms);
}

/*
 * Returns how many tokens of a target are valid at the same time; a token is
 * valid for that many intervals of the rate. A second then sees at most the
 * rate and this number. A token is valid for a second at most, or one interval.
 */
uint32_t relay_warmup_valid_count(const struct relay_warmup_options *options,
				  uint32_t rate_milli)
{
	uint64_t factor_milli = MAX(options->factor_milli, MILLI_PER_UNIT);
	uint64_t excess_milli =
		(factor_milli - MILLI_PER_UNIT) * rate_milli / MILLI_PER_UNIT +
		options->burst_milli;
	uint64_t count =
		1 + excess_milli / (VALID_SHARE_DIVISOR * MILLI_PER_UNIT);
	uint64_t count_max = MAX(rate_milli / MILLI_PER_UNIT, 1);

	return (uint32_t)MIN(MIN(count, count_max), RELAY_WARMUP_VALID_MAX);
}

/* Returns whether a target's rate applies; service may be NULL. */
bool relay_warmup_is_limited(const struct relay_service *service,
			     const struct relay_target *entry, int64_t now_ms)
{
	return service && service->warmup_per_s_milli > 0 &&
	       relay_warmup_tokens_is_cold(&entry->warmup, now_ms);
}

static bool has_target_in(const GPtrArray *targets, uint32_t zone_id)
{
	for (guint i = 0; i < targets->len; i++) {
		const struct relay_target *entry =
			g_ptr_array_index(targets, i);

		if (entry->target.zone_id == zone_id && entry->removed_ms == 0)
			return true;
	}
	return false;
}

/*
 * Returns the owner of a token among the nodes in the target's zone and in
 * zones without a target of the service, or among all nodes if is_any_zone. The
 * nodes are sorted by zone. Returns NODE_NONE if there is no such node.
 */
static uint64_t find_owner(const struct relay_warmup *warmup,
			   const GPtrArray *targets,
			   const struct relay_target *entry, int64_t index,
			   bool is_any_zone)
{
	uint64_t key =
		node_rendezvous_score(entry->target.target_id, (uint64_t)index);
	const GArray *nodes = warmup->nodes->list;
	uint64_t best_score = 0;
	uint64_t best_id = NODE_NONE;
	uint32_t zone_id = 0;
	bool is_entitled = false;

	for (guint i = 0; i < nodes->len; i++) {
		const struct warmup_node *node =
			&g_array_index(nodes, struct warmup_node, i);
		uint64_t score;

		if (i == 0 || node->zone_id != zone_id) {
			zone_id = node->zone_id;
			is_entitled = is_any_zone ||
				      zone_id == entry->target.zone_id ||
				      !has_target_in(targets, zone_id);
		}
		if (!is_entitled)
			continue;
		score = node_rendezvous_score(node->node_id, key);
		if (best_id == NODE_NONE || score > best_score) {
			best_score = score;
			best_id = node->node_id;
		}
	}
	return best_id;
}

static bool is_own(const struct relay_warmup *warmup, const GPtrArray *targets,
		   const struct relay_target *entry, int64_t index)
{
	uint64_t owner = find_owner(warmup, targets, entry, index, false);

	if (owner == NODE_NONE)
		owner = find_owner(warmup, targets, entry, index, true);
	return owner == warmup->options.self_id;
}

/* Finds out which of the tokens in the mask are this node's. */
static void claim(const struct relay_warmup *warmup, const GPtrArray *targets,
		  struct relay_target *entry, uint32_t mask,
		  uint32_t valid_count)
{
	struct relay_warmup_tokens *tokens = &entry->warmup;

	for (uint32_t i = 0; i < valid_count; i++) {
		uint32_t bit = UINT32_C(1) << i;

		if (!(mask & bit))
			continue;
		tokens->own_mask &= ~bit;
		if (is_own(warmup, targets, entry, tokens->newest_index + i))
			tokens->own_mask |= bit;
	}
}

/*
 * Returns whether this node may send an opening packet to a target now. targets
 * are those of its service. Each packet that is sent must be recorded with
 * relay_warmup_tokens_use. service may be NULL.
 */
bool relay_warmup_may_send(struct relay_warmup *warmup,
			   const struct relay_service *service,
			   const GPtrArray *targets, struct relay_target *entry,
			   int64_t now_ms)
{
	struct relay_warmup_tokens *tokens = &entry->warmup;
	uint32_t valid_count;
	uint32_t mask;

	if (!relay_warmup_is_limited(service, entry, now_ms))
		return true;
	if (!relay_warmup_nodes_is_settled(warmup->nodes,
					   warmup->options.self_id, now_ms))
		return false;
	valid_count = relay_warmup_valid_count(&warmup->options,
					       service->warmup_per_s_milli);
	mask = relay_warmup_tokens_advance(tokens, service->warmup_per_s_milli,
					   now_ms);
	if (tokens->generation != warmup->nodes->generation)
		mask = UINT32_MAX;
	tokens->generation = warmup->nodes->generation;
	claim(warmup, targets, entry, mask, valid_count);
	if (valid_count < RELAY_WARMUP_VALID_MAX)
		tokens->own_mask &= (UINT32_C(1) << valid_count) - 1;
	return (tokens->own_mask & ~tokens->used_mask) != 0;
}
