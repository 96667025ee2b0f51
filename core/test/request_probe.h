#ifndef REQUEST_PROBE_H
#define REQUEST_PROBE_H

#include <core/request_director.h>
#include <fakes/test_main.h>
#include <string.h>

#define PROBE_TARGETS_MAX 16
#define PROBE_LIST_MAX 512

/* A director with recorded effects; rows of tests drive it. */
struct probe {
	struct request_director *director;
	struct rule_set *rules;
	uint64_t started[PROBE_LIST_MAX];
	uint64_t started_request[PROBE_LIST_MAX];
	uint64_t started_target[PROBE_LIST_MAX];
	int64_t started_due_ms[PROBE_LIST_MAX];
	uint32_t start_count;
	uint32_t cancel_count;
	struct refusal refusals[PROBE_LIST_MAX];
	uint64_t refused_request[PROBE_LIST_MAX];
	uint32_t refusal_count;
	uint32_t fail_count;
	uint32_t claim_count;
	uint32_t release_count;
	uint32_t settle_count;
};

static inline void probe_on_start(void *context, uint64_t request_id,
				  uint64_t attempt_id,
				  const struct placement *placement,
				  int64_t deadline_ms)
{
	struct probe *probe = context;
	uint32_t index = probe->start_count++ % PROBE_LIST_MAX;

	probe->started[index] = attempt_id;
	probe->started_request[index] = request_id;
	probe->started_target[index] = placement->target_id;
	probe->started_due_ms[index] = deadline_ms;
}

static inline void probe_on_cancel(void *context, uint64_t attempt_id)
{
	((struct probe *)context)->cancel_count++;
}

static inline void probe_on_refuse(void *context, uint64_t request_id,
				   const struct refusal *refusal)
{
	struct probe *probe = context;
	uint32_t index = probe->refusal_count++ % PROBE_LIST_MAX;

	probe->refusals[index] = *refusal;
	probe->refused_request[index] = request_id;
}

static inline void probe_on_fail(void *context, uint64_t request_id,
				 enum reason reason)
{
	((struct probe *)context)->fail_count++;
}

static inline void probe_on_claim(void *context,
				  const struct request_event *event)
{
	((struct probe *)context)->claim_count++;
}

static inline void probe_on_release(void *context,
				    const struct request_event *event)
{
	((struct probe *)context)->release_count++;
}

static inline void probe_on_settle(void *context,
				   const struct request_event *event)
{
	((struct probe *)context)->settle_count++;
}

static inline void probe_on_log(void *context, uint64_t request_id,
				uint64_t attempt_id,
				const struct placement *placement)
{
}

static inline struct request_effects probe_effects(struct probe *probe)
{
	return (struct request_effects){
		.context = probe,
		.start = probe_on_start,
		.cancel = probe_on_cancel,
		.refuse = probe_on_refuse,
		.fail = probe_on_fail,
		.claim = probe_on_claim,
		.release = probe_on_release,
		.settle = probe_on_settle,
		.log = probe_on_log,
	};
}

/* A rule of the given class with targets 10.1.0.1 and up, all on port 80. */
static inline struct rule *probe_rule(const char *name, const char *class_name,
				      uint32_t target_count,
				      uint32_t slot_count)
{
	GString *line = g_string_new(name);
	struct rule *rule;

	g_string_append_printf(line,
			       " address=10.0.0.1:%u protocol=http "
			       "class=%s pool=",
			       80 + (unsigned)class_name[0], class_name);
	for (uint32_t i = 0; i < target_count; i++)
		g_string_append_printf(line, "%s10.1.0.%u:80*%u", i ? "," : "",
				       i + 1, slot_count);
	g_string_append(line, " # asked by a test");
	rule = rule_parse(line->str, NULL);
	g_string_free(line, TRUE);
	ck_assert_ptr_nonnull(rule);
	return rule;
}

/* Services "urgent", "normal" and "bulk" over the same targets. */
static inline void probe_init(struct probe *probe, uint32_t target_count,
			      uint32_t slot_count, uint32_t node_count)
{
	struct request_director_options options = {
		.seed = 1,
		.request_limit = 400,
		.queue_limit = 64,
		.node_count = node_count,
	};

	memset(probe, 0, sizeof(*probe));
	options.effects = probe_effects(probe);
	probe->director = request_director_new(&options);
	probe->rules = rule_set_new(1);
	for (int i = 0; i < CLASS_COUNT; i++) {
		const char *name = work_class_name((enum work_class)i);

		rule_set_add(probe->rules,
			     probe_rule(name, name, target_count, slot_count));
	}
	request_director_set_rules(probe->director, probe->rules, 0);
}

static inline void probe_clear(struct probe *probe)
{
	request_director_free(probe->director);
	rule_set_free(probe->rules);
}

static inline struct request_event probe_event(uint64_t request_id,
					       enum work_class work_class,
					       int64_t deadline_ms)
{
	return (struct request_event){
		.request_id = request_id,
		.service_id = service_id_from_name(work_class_name(work_class)),
		.caller_hash = 1,
		.is_repeatable = true,
		.deadline_ms = deadline_ms,
	};
}

static inline uint64_t probe_target_id(const struct probe *probe,
				       enum work_class work_class,
				       uint32_t index)
{
	const struct rule *rule = rule_set_by_id(
		probe->rules,
		service_id_from_name(work_class_name(work_class)));

	return rule->targets[index].target_id;
}

#endif
