#include "control_parcel.h"

#include <glib.h>
#include <wire/rpc_codec.h>

/* Of IPv4 and UDP. */
#define NETWORK_HEADER_BYTES 28

/* Makes a parcel with a copy of the body; control_parcel_free frees it. */
struct control_parcel *control_parcel_new(const struct endpoint *to,
					  const struct rpc_message *message)
{
	struct control_parcel *parcel = g_new0(struct control_parcel, 1);

	parcel->to = *to;
	parcel->message = *message;
	parcel->body = g_memdup2(message->body, message->length_bytes);
	parcel->message.body = parcel->body;
	return parcel;
}

/* Frees a parcel; NULL is allowed. */
void control_parcel_free(struct control_parcel *parcel)
{
	if (!parcel)
		return;
	g_free(parcel->body);
	g_free(parcel);
}

/* Returns what the parcel costs on the network, headers included. */
uint32_t control_parcel_bytes(const struct control_parcel *parcel)
{
	return parcel->message.length_bytes + RPC_HEADER_BYTES +
	       NETWORK_HEADER_BYTES;
}
