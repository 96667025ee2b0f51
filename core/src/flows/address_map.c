#include "address_map.h"

#include <string.h>

#define BUCKET_COUNT_MIN 16
/* 2^64 divided by the golden ratio, as in Fibonacci hashing. */
#define HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL

struct address_bucket {
	const struct endpoint *address;
	const struct rule *rule;
};

/*
 * Open addressing; the load factor stays at or below 1/2 since every packet
 * does a lookup.
 */
struct address_map {
	uint32_t mask;
	struct address_bucket *buckets;
};

static uint32_t count_addresses(const struct rule_set *rules)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < rule_set_count(rules); i++)
		count += rule_set_at(rules, i)->address_count;
	return count;
}

static uint32_t hash_address(const struct endpoint *address)
{
	uint64_t words[2];

	memcpy(words, address->addr.bytes, sizeof(words));
	words[0] = (words[0] ^ address->port) * HASH_MULTIPLIER;
	words[1] = (words[1] ^ words[0] >> 32) * HASH_MULTIPLIER;
	return (uint32_t)((words[0] ^ words[1]) >> 32);
}

static struct address_bucket *find_bucket(const struct address_map *map,
					  const struct endpoint *address)
{
	uint32_t index = hash_address(address) & map->mask;

	while (map->buckets[index].address &&
	       !endpoint_equal(map->buckets[index].address, address))
		index = (index + 1) & map->mask;
	return &map->buckets[index];
}

/*
 * Builds the map of a rule set, which must outlive the map. If two rules list
 * the same address, the map returns the rule that rule_set_by_address returns.
 */
struct address_map *address_map_new(const struct rule_set *rules)
{
	struct address_map *map = g_new0(struct address_map, 1);
	uint32_t bucket_count = BUCKET_COUNT_MIN;

	while (bucket_count < 2 * count_addresses(rules))
		bucket_count *= 2;
	map->mask = bucket_count - 1;
	map->buckets = g_new0(struct address_bucket, bucket_count);
	for (uint32_t i = 0; i < rule_set_count(rules); i++) {
		const struct rule *rule = rule_set_at(rules, i);

		for (uint32_t k = 0; k < rule->address_count; k++) {
			struct address_bucket *bucket =
				find_bucket(map, &rule->addresses[k]);

			bucket->address = &rule->addresses[k];
			bucket->rule =
				rule_set_by_address(rules, &rule->addresses[k]);
		}
	}
	return map;
}

/* Frees the map; NULL is allowed. */
void address_map_free(struct address_map *map)
{
	if (!map)
		return;
	g_free(map->buckets);
	g_free(map);
}

/* Returns the rule of a service address, or NULL. */
const struct rule *address_map_find(const struct address_map *map,
				    const struct endpoint *address)
{
	return find_bucket(map, address)->rule;
}
