#ifndef CONTROL_STREAM_H
#define CONTROL_STREAM_H

#include <core/endpoint.h>
#include <task/task.h>

/*
 * ONC RPC over TCP, for messages too large for a datagram: one record per
 * connection, at most CONNECTION_COUNT_MAX connections in each direction.
 */
struct control_stream;

#define CONNECTION_COUNT_MAX 16

struct control_stream_options {
	struct endpoint listen;
	void *context;
	void (*receive)(void *context, const uint8_t *bytes,
			uint32_t length_bytes);
};

struct control_stream *
control_stream_new(struct task *task,
		   const struct control_stream_options *options,
		   GError **error);
void control_stream_free(struct control_stream *stream);
bool control_stream_send(struct control_stream *stream,
			 const struct endpoint *to, const uint8_t *bytes,
			 uint32_t length_bytes);

#endif
