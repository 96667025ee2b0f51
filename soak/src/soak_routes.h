#ifndef SOAK_ROUTES_H
#define SOAK_ROUTES_H

#include "checker_task.h"

#include <fakes/fake_caller.h>
#include <fakes/fake_kv.h>
#include <fakes/faulty_node.h>

/* The routes of a run, written to the store as its configuration. */
struct soak_routes;

struct soak_routes_options {
	uint32_t service_count;
	struct fake_kv *kv;
	struct checker_task *checker;
	struct faulty_node *faulty_node;
};

struct soak_routes *soak_routes_new(const struct soak_routes_options *options);
void soak_routes_free(struct soak_routes *routes);
void soak_routes_start_callers(struct soak_routes *routes,
			       struct fake_caller **callers, uint32_t count);
void soak_routes_add(struct soak_routes *routes, uint32_t subject);
void soak_routes_remove(struct soak_routes *routes, uint32_t subject);
void soak_routes_move(struct soak_routes *routes, uint32_t subject);

#endif
