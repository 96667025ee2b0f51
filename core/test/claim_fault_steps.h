#ifndef CLAIM_FAULT_STEPS_H
#define CLAIM_FAULT_STEPS_H

#include "claim_fleet.h"

#define ALL_NODES_MASK ((1U << CLAIM_NODE_COUNT) - 1)
#define FIRST_MEMBERS_MASK ((1U << CLAIM_MEMBER_COUNT) - 1)
#define FIRST_REQUEST_ID 1
#define SECOND_REQUEST_ID 2
#define LOSS_PPM 300000
#define DUPLICATE_PPM 300000

/* Indexes of the first (owner) and second (other) claimant, and the holders. */
struct fault_roles {
	struct hash128 key;
	uint32_t owner;
	uint32_t other;
	uint32_t holders[ROSTER_HOLDERS_MAX];
};

static inline void no_fault(struct claim_fleet *fleet,
			    const struct fault_roles *roles)
{
}

static inline void kill_node(struct claim_fleet *fleet, uint32_t index)
{
	fleet->nodes[index].is_dead = true;
}

static inline void kill_owner(struct claim_fleet *fleet,
			      const struct fault_roles *roles)
{
	kill_node(fleet, roles->owner);
}

static inline void remove_owner(struct claim_fleet *fleet,
				const struct fault_roles *roles)
{
	claim_fleet_publish(fleet, FIRST_MEMBERS_MASK & ~(1U << roles->owner),
			    ALL_NODES_MASK);
}

static inline void pause_owner(struct claim_fleet *fleet,
			       const struct fault_roles *roles)
{
	claim_fleet_pause(fleet, roles->owner, true);
}

static inline void kill_holder(struct claim_fleet *fleet,
			       const struct fault_roles *roles)
{
	kill_node(fleet, roles->holders[0]);
}

static inline void pause_holder(struct claim_fleet *fleet,
				const struct fault_roles *roles)
{
	claim_fleet_pause(fleet, roles->holders[0], true);
}

static inline void replace_holder(struct claim_fleet *fleet,
				  const struct fault_roles *roles)
{
	kill_node(fleet, roles->holders[0]);
	claim_fleet_publish(fleet,
			    (FIRST_MEMBERS_MASK & ~(1U << roles->holders[0])) |
				    1U << CLAIM_MEMBER_COUNT,
			    ALL_NODES_MASK);
}

/* Replaces two holders in turn, with time to transfer claims in between. */
static inline void replace_holders_in_turn(struct claim_fleet *fleet,
					   const struct fault_roles *roles)
{
	uint32_t member_mask =
		(FIRST_MEMBERS_MASK & ~(1U << roles->holders[0])) |
		1U << CLAIM_MEMBER_COUNT;

	replace_holder(fleet, roles);
	claim_fleet_run(fleet, driver_now_ms(fleet->driver) + 1000);
	kill_node(fleet, roles->holders[1]);
	member_mask = (member_mask & ~(1U << roles->holders[1])) |
		      1U << (CLAIM_MEMBER_COUNT + 1);
	claim_fleet_publish(fleet, member_mask, ALL_NODES_MASK);
}

/* Kills two holders at once, so no majority is left to fetch claims from. */
static inline void kill_two_holders(struct claim_fleet *fleet,
				    const struct fault_roles *roles)
{
	uint32_t lost = 1U << roles->holders[0] | 1U << roles->holders[1];

	kill_node(fleet, roles->holders[0]);
	kill_node(fleet, roles->holders[1]);
	claim_fleet_publish(fleet, ALL_NODES_MASK & ~lost, ALL_NODES_MASK);
}

static inline void add_members(struct claim_fleet *fleet,
			       const struct fault_roles *roles)
{
	claim_fleet_publish(fleet, ALL_NODES_MASK, ALL_NODES_MASK);
}

/* Publishes a roster that only the second claimant receives. */
static inline void publish_to_other_only(struct claim_fleet *fleet,
					 const struct fault_roles *roles)
{
	claim_fleet_publish(fleet, ALL_NODES_MASK, 1U << roles->other);
}

static inline void publish_three_rosters(struct claim_fleet *fleet,
					 const struct fault_roles *roles)
{
	for (uint32_t i = 0; i < 3; i++)
		claim_fleet_publish(fleet,
				    i % 2 ? FIRST_MEMBERS_MASK : ALL_NODES_MASK,
				    ALL_NODES_MASK);
}

static inline void partition_owner_zone(struct claim_fleet *fleet,
					const struct fault_roles *roles)
{
	claim_fleet_partition_zone(fleet, roles->owner % CLAIM_ZONE_COUNT,
				   true);
}

static inline void partition_other_zone(struct claim_fleet *fleet,
					const struct fault_roles *roles)
{
	claim_fleet_partition_zone(fleet, roles->other % CLAIM_ZONE_COUNT,
				   true);
}

static inline void set_link_faults(struct claim_fleet *fleet, uint32_t loss_ppm,
				   uint32_t duplicate_ppm)
{
	for (uint32_t i = 0; i < CLAIM_NODE_COUNT; i++) {
		for (uint32_t j = 0; j < CLAIM_NODE_COUNT; j++) {
			struct driver_link *link =
				driver_link(fleet->driver, i, j);

			link->loss_ppm = loss_ppm;
			link->duplicate_ppm = duplicate_ppm;
			link->jitter_ms = 40;
		}
	}
}

static inline void lose_messages(struct claim_fleet *fleet,
				 const struct fault_roles *roles)
{
	set_link_faults(fleet, LOSS_PPM, 0);
}

static inline void duplicate_messages(struct claim_fleet *fleet,
				      const struct fault_roles *roles)
{
	set_link_faults(fleet, 0, DUPLICATE_PPM);
}

#endif
