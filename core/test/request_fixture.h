#ifndef REQUEST_FIXTURE_H
#define REQUEST_FIXTURE_H

#include <core/request_director.h>
#include <fakes/test_main.h>
#include <string.h>

#define FIXTURE_TARGETS_MAX 16
#define FIXTURE_RECORDS_MAX 512

/* A request director whose callbacks are recorded for test assertions. */
struct fixture {
	struct request_director *director;
	struct rule_set *rules;
	uint64_t attempt_ids[FIXTURE_RECORDS_MAX];
	uint64_t started_request[FIXTURE_RECORDS_MAX];
	uint64_t started_target[FIXTURE_RECORDS_MAX];
	int64_t started_due_ms[FIXTURE_RECORDS_MAX];
	uint32_t start_count;
	uint32_t cancel_count;
	struct refusal refusals[FIXTURE_RECORDS_MAX];
	uint64_t refused_request[FIXTURE_RECORDS_MAX];
	uint32_t refusal_count;
	uint32_t fail_count;
	uint32_t claim_count;
	uint32_t release_count;
	uint32_t settle_count;
};

static inline void record_start(void *context, uint64_t request_id,
				uint64_t attempt_id,
				const struct placement *placement,
				int64_t deadline_ms)
{
	struct fixture *fixture = context;
	uint32_t index = fixture->start_count++ % FIXTURE_RECORDS_MAX;

	fixture->attempt_ids[index] = attempt_id;
	fixture->started_request[index] = request_id;
	fixture->started_target[index] = placement->target_id;
	fixture->started_due_ms[index] = deadline_ms;
}

static inline void record_cancel(void *context, uint64_t attempt_id)
{
	((struct fixture *)context)->cancel_count++;
}

static inline void record_refusal(void *context, uint64_t request_id,
				  const struct refusal *refusal)
{
	struct fixture *fixture = context;
	uint32_t index = fixture->refusal_count++ % FIXTURE_RECORDS_MAX;

	fixture->refusals[index] = *refusal;
	fixture->refused_request[index] = request_id;
}

static inline void record_failure(void *context, uint64_t request_id,
				  enum reason reason)
{
	((struct fixture *)context)->fail_count++;
}

static inline void record_claim(void *context, const struct request_info *info)
{
	((struct fixture *)context)->claim_count++;
}

static inline void record_release(void *context,
				  const struct request_info *info)
{
	((struct fixture *)context)->release_count++;
}

static inline void record_settle(void *context, const struct request_info *info)
{
	((struct fixture *)context)->settle_count++;
}

static inline void record_log(void *context, uint64_t request_id,
			      uint64_t attempt_id,
			      const struct placement *placement)
{
}

static inline struct request_callbacks
fixture_callbacks(struct fixture *fixture)
{
	return (struct request_callbacks){
		.context = fixture,
		.start = record_start,
		.cancel = record_cancel,
		.refuse = record_refusal,
		.fail = record_failure,
		.claim = record_claim,
		.release = record_release,
		.settle = record_settle,
		.log = record_log,
	};
}

/* Returns a rule with targets 10.1.0.1 and up, all on port 80. */
static inline struct rule *fixture_rule(const char *name,
					const char *class_name,
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

/* Sets rules for services "urgent", "normal" and "bulk" on the same targets. */
static inline void fixture_init(struct fixture *fixture, uint32_t target_count,
				uint32_t slot_count, uint32_t node_count)
{
	struct request_director_options options = {
		.seed = 1,
		.request_limit = 400,
		.queue_limit = 64,
		.node_count = node_count,
	};

	memset(fixture, 0, sizeof(*fixture));
	options.callbacks = fixture_callbacks(fixture);
	fixture->director = request_director_new(&options);
	fixture->rules = rule_set_new(1);
	for (int i = 0; i < CLASS_COUNT; i++) {
		const char *name = work_class_name((enum work_class)i);

		rule_set_add(
			fixture->rules,
			fixture_rule(name, name, target_count, slot_count));
	}
	request_director_set_rules(fixture->director, fixture->rules, 0);
}

static inline void fixture_clear(struct fixture *fixture)
{
	request_director_free(fixture->director);
	rule_set_free(fixture->rules);
}

static inline struct request_info fixture_info(uint64_t request_id,
					       enum work_class work_class,
					       int64_t deadline_ms)
{
	return (struct request_info){
		.request_id = request_id,
		.service_id = service_id_from_name(work_class_name(work_class)),
		.caller_hash = 1,
		.is_repeatable = true,
		.deadline_ms = deadline_ms,
	};
}

static inline uint64_t fixture_target_id(const struct fixture *fixture,
					 enum work_class work_class,
					 uint32_t index)
{
	const struct rule *rule = rule_set_by_id(
		fixture->rules,
		service_id_from_name(work_class_name(work_class)));

	return rule->targets[index].target_id;
}

#endif
