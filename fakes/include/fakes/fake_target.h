#ifndef FAKES_FAKE_TARGET_H
#define FAKES_FAKE_TARGET_H

#include <core/endpoint.h>
#include <glib.h>
#include <stdint.h>
#include <task/task.h>

/*
 * A fake backend: a task that answers HTTP requests with its name and the
 * request's URI, and counts the UDP packets that it receives on the same port.
 */
struct fake_target;

/*
 * Receives each packet, in the target's thread. If packet is NULL, packets are
 * only counted.
 */
struct fake_target_observer {
	void *context;
	void (*packet)(void *context, const uint8_t *bytes,
		       uint32_t length_bytes);
};

struct fake_target_options {
	const char *name;
	struct endpoint listen;
	struct fake_target_observer observer;
};

struct fake_target *fake_target_new(const struct fake_target_options *options,
				    GError **error);
void fake_target_free(struct fake_target *target);
struct endpoint fake_target_endpoint(const struct fake_target *target);
uint64_t fake_target_request_count(const struct fake_target *target);
uint64_t fake_target_packet_count(const struct fake_target *target);

#endif
