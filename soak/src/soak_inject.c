#include "soak_inject.h"

#define LOSS_PERCENT 30
/*
 * After the outage: until hosts register again, and until nodes have read their
 * entries.
 */
#define REGISTER_AGAIN_MS 1000
#define ENTRIES_RESTORED_MS 2000

/*
 * Begins and ends a kind of fault. component_fault is the soak_link_fault or
 * soak_store_fault that the callbacks set, and 0 for other kinds.
 */
struct injector {
	void (*begin)(struct soak_fleet *fleet, const struct soak_fault *fault,
		      uint32_t component_fault, int64_t now_ms);
	void (*end)(struct soak_fleet *fleet, const struct soak_fault *fault,
		    uint32_t component_fault, int64_t now_ms);
	uint32_t component_fault;
};

static uint32_t node_index(const struct soak_fleet *fleet,
			   const struct soak_fault *fault)
{
	return fault->subject % fleet->options.node_count;
}

static void kill_node(struct soak_fleet *fleet, const struct soak_fault *fault,
		      uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_kill(fleet->nodes, node_index(fleet, fault), now_ms);
}

static void terminate_node(struct soak_fleet *fleet,
			   const struct soak_fault *fault,
			   uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_terminate(fleet->nodes, node_index(fleet, fault), now_ms);
}

static void allow_node_start(struct soak_fleet *fleet,
			     const struct soak_fault *fault,
			     uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_allow_start(fleet->nodes, node_index(fleet, fault));
}

static void pause_node(struct soak_fleet *fleet, const struct soak_fault *fault,
		       uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_pause(fleet->nodes, node_index(fleet, fault), true, now_ms);
}

static void resume_node(struct soak_fleet *fleet,
			const struct soak_fault *fault,
			uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_pause(fleet->nodes, node_index(fleet, fault), false, now_ms);
}

static void reload_node(struct soak_fleet *fleet,
			const struct soak_fault *fault,
			uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_reload(fleet->nodes, node_index(fleet, fault));
}

static void set_loss(struct soak_fleet *fleet, const struct soak_fault *fault,
		     bool is_begin, int64_t now_ms)
{
	uint32_t node = node_index(fleet, fault);
	struct soak_fleet_event fleet_event = {
		.kind = is_begin ? SOAK_FLEET_EVENT_NODE_DISTURBED
				 : SOAK_FLEET_EVENT_NODE_RESTORED,
		.at_ms = now_ms,
		.subject = node,
	};

	fleet->loss_depths[node] += is_begin ? 1 : -1;
	for (uint32_t i = 0; i < SOAK_CALLER_COUNT; i++)
		fake_caller_set_loss(fleet->callers[i], node,
				     fleet->loss_depths[node] > 0 ? LOSS_PERCENT
								  : 0);
	checker_task_post_fleet_event(fleet->checker, &fleet_event);
}

static void start_loss(struct soak_fleet *fleet, const struct soak_fault *fault,
		       uint32_t component_fault, int64_t now_ms)
{
	set_loss(fleet, fault, true, now_ms);
}

static void stop_loss(struct soak_fleet *fleet, const struct soak_fault *fault,
		      uint32_t component_fault, int64_t now_ms)
{
	set_loss(fleet, fault, false, now_ms);
}

static void kill_all(struct soak_fleet *fleet, const struct soak_fault *fault,
		     uint32_t component_fault, int64_t now_ms)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++)
		soak_nodes_kill(fleet->nodes, i, now_ms);
}

static void allow_all_starts(struct soak_fleet *fleet,
			     const struct soak_fault *fault,
			     uint32_t component_fault, int64_t now_ms)
{
	for (uint32_t i = 0; i < fleet->options.node_count; i++)
		soak_nodes_allow_start(fleet->nodes, i);
}

static void restart_node(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_fleet *fleet = context;

	soak_nodes_terminate(fleet->nodes, subject, now_ms);
	soak_nodes_allow_start(fleet->nodes, subject);
}

/* Restarts the nodes one by one, at equal intervals over the duration. */
static void restart_nodes_in_turn(struct soak_fleet *fleet,
				  const struct soak_fault *fault,
				  uint32_t component_fault, int64_t now_ms)
{
	uint32_t count = fleet->options.node_count;

	for (uint32_t i = 0; i < count; i++) {
		struct soak_timer timer = {
			.due_ms = now_ms +
				  (int64_t)fault->duration_ms * i / count,
			.context = fleet,
			.subject = i,
			.callback = restart_node,
		};

		soak_timers_add(fleet->timers, &timer);
	}
}

static void begin_link(struct soak_fleet *fleet, const struct soak_fault *fault,
		       uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_set_link_fault(fleet->nodes, node_index(fleet, fault),
				  (enum soak_link_fault)component_fault, true,
				  now_ms);
}

static void end_link(struct soak_fleet *fleet, const struct soak_fault *fault,
		     uint32_t component_fault, int64_t now_ms)
{
	soak_nodes_set_link_fault(fleet->nodes, node_index(fleet, fault),
				  (enum soak_link_fault)component_fault, false,
				  now_ms);
}

static void cut_link(struct soak_fleet *fleet, const struct soak_fault *fault,
		     uint32_t component_fault, int64_t now_ms)
{
	begin_link(fleet, fault, SOAK_LINK_FAULT_CUT_TO_STORE, now_ms);
	begin_link(fleet, fault, SOAK_LINK_FAULT_CUT_FROM_STORE, now_ms);
}

static void restore_link(struct soak_fleet *fleet,
			 const struct soak_fault *fault,
			 uint32_t component_fault, int64_t now_ms)
{
	end_link(fleet, fault, SOAK_LINK_FAULT_CUT_TO_STORE, now_ms);
	end_link(fleet, fault, SOAK_LINK_FAULT_CUT_FROM_STORE, now_ms);
}

static void begin_store(struct soak_fleet *fleet,
			const struct soak_fault *fault,
			uint32_t component_fault, int64_t now_ms)
{
	soak_store_set_fault(fleet->store,
			     (enum soak_store_fault)component_fault, true,
			     now_ms);
}

static void end_store(struct soak_fleet *fleet, const struct soak_fault *fault,
		      uint32_t component_fault, int64_t now_ms)
{
	soak_store_set_fault(fleet->store,
			     (enum soak_store_fault)component_fault, false,
			     now_ms);
}

static void drop_history(struct soak_fleet *fleet,
			 const struct soak_fault *fault,
			 uint32_t component_fault, int64_t now_ms)
{
	soak_store_post_disturbance(fleet->store, true, now_ms);
	fake_kv_compact(soak_store_kv(fleet->store));
	soak_store_post_disturbance(fleet->store, false, now_ms);
}

static void register_hosts_again(void *context, uint32_t subject,
				 int64_t now_ms)
{
	struct soak_fleet *fleet = context;

	soak_hosts_register_again(fleet->hosts);
}

static void end_entry_recovery(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_fleet *fleet = context;

	soak_store_post_disturbance(fleet->store, false, now_ms);
}

static void start_entry_recovery(struct soak_fleet *fleet,
				 const struct soak_fault *fault,
				 uint32_t component_fault, int64_t now_ms)
{
	struct soak_timer registration = {now_ms + REGISTER_AGAIN_MS, fleet, 0,
					  register_hosts_again};
	struct soak_timer recovery_end = {now_ms + ENTRIES_RESTORED_MS, fleet,
					  0, end_entry_recovery};

	soak_store_post_disturbance(fleet->store, true, now_ms);
	soak_hosts_remove_entries(fleet->hosts);
	end_store(fleet, fault, SOAK_STORE_FAULT_DOWN, now_ms);
	soak_timers_add(fleet->timers, &registration);
	soak_timers_add(fleet->timers, &recovery_end);
}

static void replace_host(struct soak_fleet *fleet,
			 const struct soak_fault *fault,
			 uint32_t component_fault, int64_t now_ms)
{
	soak_hosts_replace(fleet->hosts, fault->subject, now_ms);
}

static void crash_host(struct soak_fleet *fleet, const struct soak_fault *fault,
		       uint32_t component_fault, int64_t now_ms)
{
	soak_hosts_crash(fleet->hosts, fault->subject, fault->duration_ms,
			 now_ms);
}

static void reuse_address(struct soak_fleet *fleet,
			  const struct soak_fault *fault,
			  uint32_t component_fault, int64_t now_ms)
{
	soak_hosts_reuse_address(fleet->hosts, fault->subject, now_ms);
}

static void write_foreign_entry(struct soak_fleet *fleet,
				const struct soak_fault *fault,
				uint32_t component_fault, int64_t now_ms)
{
	soak_hosts_write_foreign_entry(fleet->hosts, fault->subject,
				       fault->duration_ms, now_ms);
}

static void evacuate_zone(struct soak_fleet *fleet,
			  const struct soak_fault *fault,
			  uint32_t component_fault, int64_t now_ms)
{
	soak_evacuations_begin(fleet->evacuations, fault->subject,
			       fault->duration_ms, now_ms);
}

static void change_routes(struct soak_fleet *fleet,
			  const struct soak_fault *fault,
			  uint32_t component_fault, int64_t now_ms)
{
	switch (fault->kind) {
	case SOAK_ROUTE_ADD:
		soak_routes_add(fleet->routes, fault->subject);
		return;
	case SOAK_ROUTE_REMOVE:
		soak_routes_remove(fleet->routes, fault->subject);
		return;
	default:
		soak_routes_move(fleet->routes, fault->subject);
		return;
	}
}

static const struct injector injectors[] = {
	[SOAK_NODE_KILL] = {kill_node, allow_node_start, 0},
	[SOAK_NODE_TERMINATE] = {terminate_node, allow_node_start, 0},
	[SOAK_NODE_PAUSE] = {pause_node, resume_node, 0},
	[SOAK_NODE_SHORT_PAUSE] = {pause_node, resume_node, 0},
	[SOAK_NODE_RELOAD] = {reload_node, NULL, 0},
	[SOAK_NODE_LOSS] = {start_loss, stop_loss, 0},
	[SOAK_ALL_KILL] = {kill_all, allow_all_starts, 0},
	[SOAK_ROLLING_RESTART] = {restart_nodes_in_turn, NULL, 0},
	[SOAK_LINK_DELAY] = {begin_link, end_link, SOAK_LINK_FAULT_DELAY},
	[SOAK_LINK_RESET] = {begin_link, end_link, SOAK_LINK_FAULT_RESET},
	[SOAK_LINK_CUT_TO_STORE] = {begin_link, end_link,
				    SOAK_LINK_FAULT_CUT_TO_STORE},
	[SOAK_LINK_CUT_FROM_STORE] = {begin_link, end_link,
				      SOAK_LINK_FAULT_CUT_FROM_STORE},
	[SOAK_LINK_SILENT] = {cut_link, restore_link, 0},
	[SOAK_STORE_DOWN] = {begin_store, end_store, SOAK_STORE_FAULT_DOWN},
	[SOAK_STORE_REFUSES] = {begin_store, end_store,
				SOAK_STORE_FAULT_REFUSES},
	[SOAK_STORE_SLOW] = {begin_store, end_store, SOAK_STORE_FAULT_SLOW},
	[SOAK_STORE_LOSES_RESPONSES] = {begin_store, end_store,
					SOAK_STORE_FAULT_LOSES_RESPONSES},
	[SOAK_STORE_STALLS_WATCHES] = {begin_store, end_store,
				       SOAK_STORE_FAULT_STALLS_WATCHES},
	[SOAK_STORE_DROPS_HISTORY] = {drop_history, NULL, 0},
	[SOAK_STORE_EXPIRES_ENTRIES] = {begin_store, start_entry_recovery,
					SOAK_STORE_FAULT_DOWN},
	[SOAK_HOST_REPLACE] = {replace_host, NULL, 0},
	[SOAK_HOST_CRASH] = {crash_host, NULL, 0},
	[SOAK_HOST_ADDRESS_REUSED] = {reuse_address, NULL, 0},
	[SOAK_HOST_ENTRY_FOREIGN] = {write_foreign_entry, NULL, 0},
	[SOAK_ZONE_EVACUATE] = {evacuate_zone, NULL, 0},
	[SOAK_ROUTE_ADD] = {change_routes, NULL, 0},
	[SOAK_ROUTE_REMOVE] = {change_routes, NULL, 0},
	[SOAK_ROUTE_MOVE] = {change_routes, NULL, 0},
};

/* Begins a fault or applies a change. */
void soak_inject_begin(struct soak_fleet *fleet, const struct soak_fault *fault,
		       int64_t now_ms)
{
	const struct injector *injector = &injectors[fault->kind];

	injector->begin(fleet, fault, injector->component_fault, now_ms);
}

/* Ends a fault; does nothing for kinds that have no end. */
void soak_inject_end(struct soak_fleet *fleet, const struct soak_fault *fault,
		     int64_t now_ms)
{
	const struct injector *injector = &injectors[fault->kind];

	if (injector->end)
		injector->end(fleet, fault, injector->component_fault, now_ms);
}
