#ifndef CLAIM_FAULT_STEPS_H
#define CLAIM_FAULT_STEPS_H

#include "claim_fleet.h"

#define ALL_MASK ((1U << CLAIM_NODES) - 1)
#define FIRST_MASK ((1U << CLAIM_MEMBERS) - 1)
#define FIRST 1
#define SECOND 2
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

static inline void stop_node(struct claim_fleet *fleet, uint32_t index)
{
	fleet->nodes[index].is_dead = true;
}

static inline void owner_dies(struct claim_fleet *fleet,
			      const struct fault_roles *roles)
{
	stop_node(fleet, roles->owner);
}

static inline void owner_leaves(struct claim_fleet *fleet,
				const struct fault_roles *roles)
{
	claim_fleet_publish(fleet, FIRST_MASK & ~(1U << roles->owner),
			    ALL_MASK);
}

static inline void owner_pauses(struct claim_fleet *fleet,
				const struct fault_roles *roles)
{
	claim_fleet_pause(fleet, roles->owner, true);
}

static inline void holder_dies(struct claim_fleet *fleet,
			       const struct fault_roles *roles)
{
	stop_node(fleet, roles->holders[0]);
}

static inline void holder_pauses(struct claim_fleet *fleet,
				 const struct fault_roles *roles)
{
	claim_fleet_pause(fleet, roles->holders[0], true);
}

static inline void holder_replaced(struct claim_fleet *fleet,
				   const struct fault_roles *roles)
{
	stop_node(fleet, roles->holders[0]);
	claim_fleet_publish(fleet,
			    (FIRST_MASK & ~(1U << roles->holders[0])) |
				    1U << CLAIM_MEMBERS,
			    ALL_MASK);
}

/* Replaces two holders in turn, with time to transfer claims in between. */
static inline void holders_replaced(struct claim_fleet *fleet,
				    const struct fault_roles *roles)
{
	uint32_t mask =
		(FIRST_MASK & ~(1U << roles->holders[0])) | 1U << CLAIM_MEMBERS;

	holder_replaced(fleet, roles);
	claim_fleet_run(fleet, driver_now_ms(fleet->driver) + 1000);
	stop_node(fleet, roles->holders[1]);
	mask = (mask & ~(1U << roles->holders[1])) | 1U << (CLAIM_MEMBERS + 1);
	claim_fleet_publish(fleet, mask, ALL_MASK);
}

/* Kills two holders at once, so no majority is left to fetch claims from. */
static inline void holders_lost(struct claim_fleet *fleet,
				const struct fault_roles *roles)
{
	uint32_t lost = 1U << roles->holders[0] | 1U << roles->holders[1];

	stop_node(fleet, roles->holders[0]);
	stop_node(fleet, roles->holders[1]);
	claim_fleet_publish(fleet, ALL_MASK & ~lost, ALL_MASK);
}

static inline void members_join(struct claim_fleet *fleet,
				const struct fault_roles *roles)
{
	claim_fleet_publish(fleet, ALL_MASK, ALL_MASK);
}

/* Publishes a roster that only the second claimant receives. */
static inline void roster_uneven(struct claim_fleet *fleet,
				 const struct fault_roles *roles)
{
	claim_fleet_publish(fleet, ALL_MASK, 1U << roles->other);
}

static inline void rosters_in_a_row(struct claim_fleet *fleet,
				    const struct fault_roles *roles)
{
	for (uint32_t i = 0; i < 3; i++)
		claim_fleet_publish(fleet, i % 2 ? FIRST_MASK : ALL_MASK,
				    ALL_MASK);
}

static inline void owner_cut_off(struct claim_fleet *fleet,
				 const struct fault_roles *roles)
{
	claim_fleet_cut_zone(fleet, roles->owner % CLAIM_ZONES, true);
}

static inline void other_cut_off(struct claim_fleet *fleet,
				 const struct fault_roles *roles)
{
	claim_fleet_cut_zone(fleet, roles->other % CLAIM_ZONES, true);
}

static inline void set_links(struct claim_fleet *fleet, uint32_t loss_ppm,
			     uint32_t duplicate_ppm)
{
	for (uint32_t i = 0; i < CLAIM_NODES; i++) {
		for (uint32_t j = 0; j < CLAIM_NODES; j++) {
			struct driver_link *link =
				driver_link(fleet->driver, i, j);

			link->loss_ppm = loss_ppm;
			link->duplicate_ppm = duplicate_ppm;
			link->jitter_ms = 40;
		}
	}
}

static inline void messages_lost(struct claim_fleet *fleet,
				 const struct fault_roles *roles)
{
	set_links(fleet, LOSS_PPM, 0);
}

static inline void messages_doubled(struct claim_fleet *fleet,
				    const struct fault_roles *roles)
{
	set_links(fleet, 0, DUPLICATE_PPM);
}

#endif
