#ifndef CORE_CLAIM_DIRECTOR_H
#define CORE_CLAIM_DIRECTOR_H

#include <core/claim_message.h>
#include <core/request_director.h>

/*
 * Makes every decision about idempotency keys on one node: the claims it holds
 * for others, and the claims its own requests need from the holders. Messages
 * to other nodes are passed to the send callback unencoded.
 */
struct claim_director;

/*
 * Output callbacks of the director. send: send a message to another node.
 * report_result: report the result of claim_director_claim.
 */
struct claim_callbacks {
	void *context;
	void (*send)(void *context, uint64_t to_node_id,
		     const struct claim_message *message);
	void (*report_result)(void *context, uint64_t request_id,
			      enum claim_result result);
};

/*
 * capacity: the maximum number of claims held for all nodes. round_limit: the
 * maximum number of open claims of this node's own requests. lifetime_ms: how
 * long a key stays claimed, the same on every node. lease_ms: how long a holder
 * may decide without a reply from a majority of the members.
 */
struct claim_director_options {
	uint64_t node_id;
	uint32_t capacity;
	uint32_t round_limit;
	uint32_t lifetime_ms;
	uint32_t lease_ms;
	struct claim_callbacks callbacks;
};

struct claim_director *
claim_director_new(const struct claim_director_options *options);
void claim_director_free(struct claim_director *director);
void claim_director_set_roster(struct claim_director *director,
			       const struct roster *roster, int64_t now_ms);
const struct roster *
claim_director_roster(const struct claim_director *director);
void claim_director_claim(struct claim_director *director, uint64_t request_id,
			  struct hash128 key, int64_t now_ms);
void claim_director_release(struct claim_director *director,
			    uint64_t request_id, struct hash128 key,
			    int64_t now_ms);
void claim_director_handle_message(struct claim_director *director,
				   uint64_t from_node_id,
				   const struct claim_message *message,
				   int64_t now_ms);
int64_t claim_director_tick(struct claim_director *director, int64_t now_ms);
bool claim_director_is_complete(const struct claim_director *director);

#endif
