#ifndef WIRE_RPC_MESSAGE_H
#define WIRE_RPC_MESSAGE_H

#include <stdint.h>

enum rpc_kind {
	RPC_KIND_CALL,
	RPC_KIND_REPLY,
};

/* The outcome of a call: the accept_stat of its reply (RFC 5531). */
enum rpc_status {
	RPC_STATUS_SUCCESS,
	RPC_STATUS_PROGRAM_MISMATCH,
	RPC_STATUS_PROCEDURE_UNAVAILABLE,
	RPC_STATUS_GARBAGE_ARGUMENTS,
	RPC_STATUS_COUNT,
};

/*
 * One authenticated ONC RPC message. Calls of this program are one-way, which
 * RFC 5531 calls batching; a reply only states why a call was rejected. sent_s
 * is the wall-clock time of the sender. In a decoded message, body points into
 * the buffer that was decoded.
 */
struct rpc_message {
	enum rpc_kind kind;
	uint32_t xid;
	uint32_t version;
	uint32_t procedure;
	enum rpc_status status;
	uint64_t sender_id;
	uint32_t sequence;
	uint32_t sent_s;
	const uint8_t *body;
	uint32_t length_bytes;
};

#endif
