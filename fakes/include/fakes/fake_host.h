#ifndef FAKES_FAKE_HOST_H
#define FAKES_FAKE_HOST_H

#include <fakes/end_event.h>
#include <fakes/fake_kv.h>

/*
 * A stand-in host of the platform: a task that holds one end of its flows,
 * answers requests on them, and enters itself in the store. Freeing it is a
 * crash: its flows are forgotten and its entry stays.
 */
struct fake_host;

/*
 * index is what events carry. Callers take packets at caller_port of their
 * address. A host that runs repeats is wrong: it runs a request again when the
 * request's packet is sent again.
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
	uint32_t answer_ms;
	bool is_running_repeats;
	struct fake_kv *store;
	struct end_observer observer;
};

struct fake_host *fake_host_new(const struct fake_host_options *options,
				GError **error);
void fake_host_free(struct fake_host *host);
void fake_host_enter(struct fake_host *host);
void fake_host_drain(struct fake_host *host);
char *fake_host_entry_key(uint64_t host_id);

#endif
