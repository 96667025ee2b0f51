#ifndef CONTROL_TRANSPORT_H
#define CONTROL_TRANSPORT_H

#include "control_family.h"

#include <core/endpoint.h>
#include <task/counter_set.h>
#include <task/log.h>
#include <task/task.h>
#include <wire/rpc_message.h>

/*
 * Sends and receives authenticated control messages: signs and rate-limits
 * outgoing ones, verifies received ones, and counts both. Without a key file
 * it drops all messages in both directions.
 */
struct control_transport;

/*
 * receive is called for each authentic call that is not a replay. from is the
 * sender's UDP address, or has port 0 for a call over TCP.
 */
struct control_transport_options {
	uint64_t node_id;
	struct endpoint listen;
	const char *key_file;
	uint32_t bytes_per_s;
	struct counter_set *counters;
	struct log *log;
	void *context;
	void (*receive)(void *context, const struct endpoint *from,
			const struct rpc_message *call);
};

struct control_transport *
control_transport_new(struct task *task,
		      const struct control_transport_options *options,
		      GError **error);
void control_transport_free(struct control_transport *transport);
void control_transport_call(struct control_transport *transport,
			    const struct endpoint *to, uint32_t procedure,
			    const uint8_t *body, uint32_t length_bytes);
void control_transport_refuse(struct control_transport *transport,
			      const struct endpoint *to,
			      const struct rpc_message *call,
			      enum rpc_status status);
void control_transport_flush(struct control_transport *transport);

#endif
