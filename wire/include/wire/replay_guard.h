#ifndef WIRE_REPLAY_GUARD_H
#define WIRE_REPLAY_GUARD_H

#include <stdbool.h>
#include <stdint.h>
#include <wire/rpc_message.h>

#define REPLAY_WINDOW_SIZE 1024
#define REPLAY_CLOCK_SKEW_S_MAX 300

enum replay_verdict {
	REPLAY_FRESH,
	REPLAY_SEEN,
	REPLAY_OUTSIDE_WINDOW,
	REPLAY_CLOCK_SKEW,
	REPLAY_VERDICT_COUNT,
};

/*
 * Detects replayed messages among authenticated ones. The guard keeps a sliding
 * window of sequence numbers for each sender and limits the clock skew of the
 * first message from an unknown sender.
 */
struct replay_guard;

struct replay_guard *replay_guard_new(uint32_t sender_count_max);
void replay_guard_free(struct replay_guard *guard);
enum replay_verdict replay_guard_check(struct replay_guard *guard,
				       const struct rpc_message *message,
				       uint32_t now_s);
uint32_t replay_guard_sender_count(const struct replay_guard *guard);
const char *replay_verdict_name(enum replay_verdict verdict);

#endif
