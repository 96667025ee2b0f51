#ifndef CTL_FLOOD_PROXY_H
#define CTL_FLOOD_PROXY_H

#include <core/request_director.h>

/*
 * The baseline proxy: one FIFO queue for all classes, a fixed concurrency limit
 * per target, and round-robin selection of targets. With is_retrying, failed
 * attempts are retried whether or not that is safe.
 */
struct flood_proxy;

struct flood_proxy_options {
	const struct rule_set *rules;
	uint32_t queue_limit;
	uint32_t target_limit;
	bool is_retrying;
	struct request_callbacks callbacks;
};

struct flood_proxy *flood_proxy_new(const struct flood_proxy_options *options);
void flood_proxy_free(struct flood_proxy *proxy);
void flood_proxy_handle_request(struct flood_proxy *proxy,
				const struct request_info *info,
				int64_t now_ms);
void flood_proxy_handle_attempt_end(struct flood_proxy *proxy,
				    uint64_t attempt_id,
				    enum attempt_outcome outcome,
				    int64_t now_ms);
void flood_proxy_tick(struct flood_proxy *proxy, int64_t now_ms);

#endif
