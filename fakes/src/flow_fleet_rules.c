#include "flow_fleet_state.h"

#define SERVICE_PORT 80
#define TARGET_PORT 8080
#define TARGET_FIRST 0x0a010000U
#define SERVICE_FIRST 0x0a000001U

static const char *const service_names[FLOW_FLEET_SERVICE_COUNT] = {
	"order-desk",
	"catalogue",
};

/* Returns a service's address, to which its callers send. */
struct endpoint flow_fleet_service_address(uint32_t service)
{
	return (struct endpoint){
		.addr = ip_addr_from_v4(SERVICE_FIRST + service),
		.port = SERVICE_PORT,
	};
}

/* Returns a target of a service as in the current rules. */
struct target flow_fleet_target_of(const struct flow_fleet *fleet,
				   uint32_t service, uint32_t number)
{
	struct target target = {
		.endpoint = {.addr = ip_addr_from_v4(TARGET_FIRST + number),
			     .port = TARGET_PORT},
		.service_id = service_id_from_name(service_names[service]),
		.zone_id = fleet->zone_of_target[number],
		.slot_count = TARGET_SLOT_COUNT,
		.weight = TARGET_SLOT_COUNT,
		.incarnation = number == fleet->moved_target && service == 1,
	};

	if (service == 0 && number == fleet->pool_first)
		target.weight = fleet->first_target_weight;
	target.target_id = target_id_of(&target);
	return target;
}

static void add_target(struct flow_fleet *fleet, struct rule *rule,
		       uint32_t service, uint32_t number)
{
	rule->targets[rule->target_count++] =
		flow_fleet_target_of(fleet, service, number);
	fleet->owner_services[number] = (uint8_t)(service + 1);
}

/*
 * Clears the owner of the service's previous targets, which may have left the
 * pool.
 */
static void clear_owners(struct flow_fleet *fleet, uint32_t service)
{
	for (uint32_t i = 0; i < TARGET_NUMBER_COUNT; i++) {
		if (fleet->owner_services[i] == service + 1)
			fleet->owner_services[i] = 0;
	}
}

static struct rule *make_rule(struct flow_fleet *fleet, uint32_t service)
{
	struct rule *rule = g_new0(struct rule, 1);
	uint32_t first =
		service == 0 ? fleet->pool_first : SECOND_SERVICE_TARGET_FIRST;
	uint32_t count =
		service == 0 ? fleet->pool_count : SECOND_SERVICE_TARGET_COUNT;

	g_strlcpy(rule->service.name, service_names[service],
		  SERVICE_NAME_BYTES);
	rule->service.service_id = service_id_from_name(service_names[service]);
	rule->generation = fleet->generations[service];
	rule->form = fleet->form;
	rule->address_count = 1;
	rule->addresses = g_new0(struct endpoint, 1);
	rule->addresses[0] = flow_fleet_service_address(service);
	rule->targets = g_new0(struct target, count + 1);
	clear_owners(fleet, service);
	for (uint32_t i = 0; i < count; i++) {
		if (service != 0 || first + i != fleet->removed_target)
			add_target(fleet, rule, service, first + i);
	}
	if (service == 1 && fleet->moved_target < TARGET_NUMBER_COUNT)
		add_target(fleet, rule, 1, fleet->moved_target);
	rule->comment = g_strdup("asked by the test");
	return rule;
}

/* Creates the current rules. Free them with rule_set_free. */
struct rule_set *flow_fleet_rules(struct flow_fleet *fleet)
{
	struct rule_set *rules = rule_set_new(fleet->revision);

	for (uint32_t i = 0; i < FLOW_FLEET_SERVICE_COUNT; i++)
		rule_set_add(rules, make_rule(fleet, i));
	return rules;
}

/* Sets the first service's pool to the targets first to first + count - 1. */
void flow_fleet_set_pool(struct flow_fleet *fleet, uint32_t first,
			 uint32_t count, uint32_t first_target_weight)
{
	fleet->pool_first = first;
	fleet->pool_count = count;
	fleet->first_target_weight = first_target_weight;
}

/*
 * Sets the syntax version of the rule lines (rule.form), from the next
 * publication on.
 */
void flow_fleet_set_form(struct flow_fleet *fleet, uint32_t form)
{
	fleet->form = form;
}

/* Returns the initial number of targets in the first service's pool. */
uint32_t flow_fleet_target_count(const struct flow_fleet *fleet)
{
	return fleet->options.target_count;
}

/* Takes a target out of the first service's pool. */
void flow_fleet_remove_target(struct flow_fleet *fleet, uint32_t number)
{
	fleet->removed_target = number;
}

/* Gives the address of a removed target to the second service. */
void flow_fleet_move_target(struct flow_fleet *fleet, uint32_t number)
{
	fleet->moved_target = number;
}

/* Changes the maximum delay of later updates. */
void flow_fleet_set_update_delay(struct flow_fleet *fleet,
				 uint32_t update_delay_max_ms)
{
	fleet->options.update_delay_max_ms = update_delay_max_ms;
}
