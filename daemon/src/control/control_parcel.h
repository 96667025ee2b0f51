#ifndef CONTROL_PARCEL_H
#define CONTROL_PARCEL_H

#include <core/endpoint.h>
#include <wire/rpc_message.h>

/* A message that waits to go out; it is signed only when it goes. */
struct control_parcel {
	struct endpoint to;
	struct rpc_message message;
	uint8_t *body;
};

struct control_parcel *control_parcel_new(const struct endpoint *to,
					  const struct rpc_message *message);
void control_parcel_free(struct control_parcel *parcel);
uint32_t control_parcel_bytes(const struct control_parcel *parcel);

#endif
