#ifndef RELAY_STEP_H
#define RELAY_STEP_H

#include <core/relay_verdict.h>
#include <stdint.h>

/* Targets: A and B in the node's own zone, C and D in another one. */
enum { TARGET_A = 0xa1, TARGET_B = 0xb2, TARGET_C = 0xc3, TARGET_D = 0xd4 };

/*
 * What a step does; a and b are its arguments. Of a caller, the lower half is
 * its port, and the upper half that of the sequence numbers of its packets, so
 * that flows from the same port can be told apart.
 */
enum step_kind {
	END,
	/* First step: addresses may be used again after a ms. */
	REUSED_AFTER,
	/* Target a in zone b is serving. */
	SERVES,
	/* Target a in zone b is leaving. */
	LEAVES,
	/* Target a in zone b is serving, in a later incarnation. */
	STARTS_AGAIN,
	/* The entry of target a is removed from the store. */
	REMOVED,
	/* Target a in zone b is reassigned to another service. */
	CHANGES_SERVICE,
	/* Routes of version a; b is whether the address has a route. */
	ROUTES,
	/* Version a leads the address to the other service. */
	ROUTE_MOVES,
	/* Caller a opens a flow; b is its sequence number. */
	OPENS,
	/*
	 * Reads an opening packet of caller a that arrived b ms ago. A bit of
	 * a tells which copy it is.
	 */
	READS_LATE,
	/* Caller a sends a packet with the tag of target b, 0 for none. */
	SENDS,
	/* Caller a sends a closing packet with the tag of target b. */
	CLOSES,
	/* Caller a resets its flow, with the tag of target b. */
	RESETS,
	/*
	 * Another node reports that it now carries caller a's flow, and that
	 * the flow is at target b; 0 if it does not state that.
	 */
	MOVED,
	/* The node seeks a flows at the others. */
	SEEKS,
	/* Another node has caller a's flow, which is at target b. */
	FOUND,
	/*
	 * Another node seeks caller a's flow, and is told that it is at target
	 * b; 0 if it is not open here.
	 */
	IS_ASKED_FOR,
	/*
	 * Since the last such step, target a was told that a flow opened at
	 * target b; 0 for none.
	 */
	TOLD,
	/* Another node reports a open flows at target b. */
	REPORT,
	/* Of zones 1 to 3, those whose bits are set in a are evacuated. */
	EVACUATED,
	/* There are a nodes in the own zone. */
	NODES,
	/* Target a in zone b is cold for a minute, in the same incarnation. */
	IS_COLD,
	/* The store lists this node. */
	LISTS,
	/* The node leaves, so that routers stop sending packets to it. */
	NODE_LEAVES,
	/* A router asks whether the node is ready. */
	ASKED,
	TICKS,
	/* The node has records of a flows. */
	HOLDS,
};

/*
 * The expected decision; target_id 0 or action -1 is not checked. For TICKS it
 * is the expected resend, and action -1 expects none.
 */
struct expected {
	int action;
	enum reason reason;
	uint64_t target_id;
};

#define TO(target, reason)                                                     \
	{                                                                      \
		RELAY_FORWARD, reason, target                                  \
	}
#define TO_ANY(reason)                                                         \
	{                                                                      \
		RELAY_FORWARD, reason, 0                                       \
	}
#define RESET(reason)                                                          \
	{                                                                      \
		RELAY_RESET, reason, 0                                         \
	}
#define DROP(reason)                                                           \
	{                                                                      \
		RELAY_DROP, reason, 0                                          \
	}
#define NOTHING                                                                \
	{                                                                      \
		-1, REASON_NONE, 0                                             \
	}

struct step {
	int64_t at_ms;
	enum step_kind kind;
	uint32_t a;
	uint32_t b;
	struct expected expected;
};

#endif
