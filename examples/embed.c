/*
 * A minimal frontend that embeds core: parses a rule, selects the target of a
 * flow and prints it. See docs/EMBEDDING.md.
 */
#include <core/placement.h>
#include <core/rule.h>
#include <core/target_rank.h>
#include <stdio.h>
#include <stdlib.h>

static const char rule_line[] =
	"order-desk address=10.0.0.1:80 protocol=tcp "
	"pool=10.1.0.1:8080*3@north-a,10.1.0.2:8080*3@north-b "
	"class=urgent repeat=never # asked by Lin Yu-ting";

int main(void)
{
	GError *error = NULL;
	struct rule *rule = rule_parse(rule_line, &error);
	struct flow_key key = {.protocol = 6};
	const struct target *target;
	char text[ENDPOINT_TEXT_BYTES];

	if (!rule) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	endpoint_parse(&key.caller, "192.0.2.7:40000");
	key.service = rule->addresses[0];
	target = target_rank_first(rule->targets, rule->target_count,
				   flow_key_hash(&key, 0));
	if (target)
		printf("%s -> %s\n", rule->service.name,
		       endpoint_format(&target->endpoint, text));
	rule_free(rule);
	return target ? EXIT_SUCCESS : EXIT_FAILURE;
}
