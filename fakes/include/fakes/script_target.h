#ifndef FAKES_SCRIPT_TARGET_H
#define FAKES_SCRIPT_TARGET_H

#include <core/endpoint.h>
#include <fakes/script_step.h>
#include <glib.h>

/*
 * A fake backend that handles requests by scripts, to simulate faults of
 * targets. The nth request it receives runs the nth script; all further
 * requests run the last one.
 */
struct script_target;

struct script_target_options {
	const struct script_step (*scripts)[SCRIPT_STEP_COUNT_MAX];
	uint32_t script_count;
};

struct script_target *
script_target_new(const struct script_target_options *options, GError **error);
void script_target_free(struct script_target *target);
struct endpoint script_target_endpoint(const struct script_target *target);
uint64_t script_target_executed_count(const struct script_target *target);
uint64_t script_target_request_count(const struct script_target *target);
uint64_t script_target_connection_count(const struct script_target *target);
uint64_t script_target_sent_bytes(const struct script_target *target);
char *script_target_last_head(struct script_target *target);

#endif
