#ifndef FAKES_FAKE_HOST_H
#define FAKES_FAKE_HOST_H

#include <fakes/fake_kv.h>
#include <fakes/flow_event.h>

/*
 * A fake host of the platform: a task that terminates flows, responds to the
 * requests on them, and registers itself in the store. Freeing it acts as a
 * crash: its flow state is lost and its store entry stays.
 */
struct fake_host;

/*
 * index identifies the host in events. Callers receive packets on caller_port
 * of their address. response_delay_ms is the delay before each response.
 * is_executing_duplicates is a deliberate fault: the host executes a request
 * again when its packet is retransmitted.
 */
struct fake_host_options {
	uint32_t index;
	uint64_t host_id;
	uint64_t born_ms;
	const char *service;
	const char *zone;
	struct endpoint listen;
	uint16_t caller_port;
	uint32_t slot_count;
	uint32_t response_delay_ms;
	bool is_executing_duplicates;
	struct fake_kv *store;
	struct flow_observer observer;
};

struct fake_host *fake_host_new(const struct fake_host_options *options,
				GError **error);
void fake_host_free(struct fake_host *host);
void fake_host_register(struct fake_host *host);
void fake_host_drain(struct fake_host *host);
char *fake_host_entry_key(uint64_t host_id);

#endif
