#ifndef CORE_CLAIM_HOLDER_H
#define CORE_CLAIM_HOLDER_H

#include <core/claim_message.h>

/*
 * One node in its role as a holder of claims: the agreed roster, the claims on
 * the keys that the roster assigns to the node, and the transfers of claims
 * from previous holders that must complete before the node may grant or reject
 * claims on those keys.
 */
struct claim_holder;

/* As in struct claim_director_options. send: send a message to another node. */
struct claim_holder_options {
	uint64_t node_id;
	uint32_t capacity;
	uint32_t lifetime_ms;
	uint32_t lease_ms;
	void *context;
	void (*send)(void *context, uint64_t to_node_id,
		     const struct claim_message *message);
};

struct claim_holder *
claim_holder_new(const struct claim_holder_options *options);
void claim_holder_free(struct claim_holder *holder);
void claim_holder_set_roster(struct claim_holder *holder,
			     const struct roster *roster, int64_t now_ms);
const struct roster *claim_holder_roster(const struct claim_holder *holder);
enum claim_verdict claim_holder_decide(struct claim_holder *holder,
				       uint64_t epoch, struct hash128 key,
				       struct claim_token token,
				       int64_t now_ms);
void claim_holder_handle_message(struct claim_holder *holder,
				 uint64_t from_node_id,
				 const struct claim_message *message,
				 int64_t now_ms);
int64_t claim_holder_tick(struct claim_holder *holder, int64_t now_ms);
bool claim_holder_is_complete(const struct claim_holder *holder);

#endif
