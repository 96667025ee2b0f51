#include "demo_targets.h"

#include <core/core_error.h>
#include <core/rule.h>
#include <fakes/fake_target.h>
#include <stdatomic.h>
#include <stdio.h>

#define NAME_BYTES 32

/* A fake target; it reports each packet it receives to owner->fabric. */
struct demo_target {
	struct demo_targets *owner;
	uint32_t index;
	char name[NAME_BYTES];
	struct endpoint endpoint;
	struct fake_target *fake;
};

struct demo_targets {
	GPtrArray *targets;
	GArray *service_addresses;
	GArray *service_indexes;
	GPtrArray *service_names;
	_Atomic(struct fake_fabric *) fabric;
};

static void on_packet(void *context, const uint8_t *bytes,
		      uint32_t length_bytes)
{
	struct demo_target *target = context;
	struct fake_fabric *fabric = atomic_load(&target->owner->fabric);

	if (fabric)
		fake_fabric_report_packet(fabric, target->index, bytes,
					  length_bytes);
}

static void target_free(gpointer data)
{
	struct demo_target *target = data;

	fake_target_free(target->fake);
	g_free(target);
}

static bool add_target(struct demo_targets *targets, uint32_t service,
		       const struct endpoint *endpoint, GError **error)
{
	struct demo_target *target = g_new0(struct demo_target, 1);
	struct fake_target_options options = {
		.name = target->name,
		.listen = *endpoint,
		.observer = {.context = target, .packet = on_packet},
	};

	target->owner = targets;
	target->endpoint = *endpoint;
	target->index = targets->targets->len;
	g_snprintf(target->name, sizeof(target->name), "target-%u",
		   target->index + 1);
	g_ptr_array_add(targets->targets, target);
	g_array_append_val(targets->service_indexes, service);
	target->fake = fake_target_new(&options, error);
	return target->fake != NULL;
}

static bool add_rule(struct demo_targets *targets, const struct rule *rule,
		     GError **error)
{
	uint32_t service = targets->service_addresses->len;

	g_array_append_val(targets->service_addresses, rule->addresses[0]);
	g_ptr_array_add(targets->service_names, g_strdup(rule->service.name));
	for (uint32_t i = 0; i < rule->target_count; i++) {
		if (!add_target(targets, service, &rule->targets[i].endpoint,
				error))
			return false;
	}
	return true;
}

static bool add_line(struct demo_targets *targets, const char *line,
		     GError **error)
{
	struct rule *rule;
	bool is_added;

	if (*line == '\0' || *line == '#')
		return true;
	rule = rule_parse(line, error);
	if (!rule)
		return false;
	is_added = add_rule(targets, rule, error);
	rule_free(rule);
	return is_added;
}

static bool add_file(struct demo_targets *targets, const char *path,
		     GError **error)
{
	char *text = NULL;
	char **lines;
	bool is_added = true;

	if (!g_file_get_contents(path, &text, NULL, error))
		return false;
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; is_added && *line; line++)
		is_added = add_line(targets, *line, error);
	g_strfreev(lines);
	g_free(text);
	return is_added;
}

/*
 * Starts a fake target for each target in the rules file. Free the result with
 * demo_targets_free. Fails with CORE_ERROR, TASK_ERROR or G_FILE_ERROR.
 */
struct demo_targets *demo_targets_new(const char *rules_path, GError **error)
{
	struct demo_targets *targets = g_new0(struct demo_targets, 1);

	targets->targets = g_ptr_array_new_with_free_func(target_free);
	targets->service_addresses =
		g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	targets->service_indexes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	targets->service_names = g_ptr_array_new_with_free_func(g_free);
	if (add_file(targets, rules_path, error))
		return targets;
	demo_targets_free(targets);
	return NULL;
}

/* Stops and frees the targets; NULL is allowed. */
void demo_targets_free(struct demo_targets *targets)
{
	if (!targets)
		return;
	g_ptr_array_free(targets->targets, TRUE);
	g_array_free(targets->service_addresses, TRUE);
	g_array_free(targets->service_indexes, TRUE);
	g_ptr_array_free(targets->service_names, TRUE);
	g_free(targets);
}

/* Returns the number of targets. */
uint32_t demo_targets_count(const struct demo_targets *targets)
{
	return targets->targets->len;
}

/* Returns the number of services in the rules file. */
uint32_t demo_targets_service_count(const struct demo_targets *targets)
{
	return targets->service_addresses->len;
}

/* Returns the first address of each service. */
const struct endpoint *
demo_targets_service_addresses(const struct demo_targets *targets)
{
	return (const struct endpoint *)targets->service_addresses->data;
}

/* Returns, for each target, the index of its service. */
const uint32_t *demo_targets_service_indexes(const struct demo_targets *targets)
{
	return (const uint32_t *)targets->service_indexes->data;
}

static const struct demo_target *target_at(const struct demo_targets *targets,
					   uint32_t target)
{
	return g_ptr_array_index(targets->targets, target);
}

/* Returns a target's address. */
const struct endpoint *demo_targets_endpoint(const struct demo_targets *targets,
					     uint32_t target)
{
	return &target_at(targets, target)->endpoint;
}

/* Returns the number of requests a target has run; thread-safe. */
uint64_t demo_targets_request_count(const struct demo_targets *targets,
				    uint32_t target)
{
	return fake_target_request_count(target_at(targets, target)->fake);
}

/* Sets the fabric that packets are reported to; it must outlive the targets. */
void demo_targets_set_fabric(struct demo_targets *targets,
			     struct fake_fabric *fabric)
{
	atomic_store(&targets->fabric, fabric);
}

/* The maximum, sum and number of the counts of a service's targets. */
struct imbalance {
	double max;
	double sum;
	uint32_t count;
};

static void imbalance_add(struct imbalance *imbalance, double value)
{
	imbalance->max = MAX(imbalance->max, value);
	imbalance->sum += value;
	imbalance->count++;
}

static double imbalance_ratio(const struct imbalance *imbalance)
{
	return imbalance->sum > 0
		       ? imbalance->max * imbalance->count / imbalance->sum
		       : 0;
}

/* Prints max/mean of the flows and requests of each service's targets. */
void demo_targets_print_imbalance(const struct demo_targets *targets,
				  const struct fake_fabric *fabric)
{
	for (uint32_t i = 0; i < targets->service_addresses->len; i++) {
		struct imbalance flows = {.count = 0};
		struct imbalance requests = {.count = 0};

		for (uint32_t j = 0; j < targets->targets->len; j++) {
			if (demo_targets_service_indexes(targets)[j] != i)
				continue;
			imbalance_add(&flows,
				      (double)fake_fabric_target_flow_count(
					      fabric, j));
			imbalance_add(
				&requests,
				(double)demo_targets_request_count(targets, j));
		}
		printf("imbalance so far, max/mean of %s: flows %.2f, requests "
		       "%.2f\n",
		       (const char *)g_ptr_array_index(targets->service_names,
						       i),
		       imbalance_ratio(&flows), imbalance_ratio(&requests));
	}
}
