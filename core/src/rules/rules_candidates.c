#include "rules_candidates.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct rules_candidates {
	GPtrArray *list;
	GHashTable *by_name;
};

/*
 * Maps addresses to names of services. rules holds the parsed stored lines, as
 * their addresses are keys of the map.
 */
struct address_owners {
	GHashTable *service_names;
	GPtrArray *rules;
};

/* Makes an empty list; free it with rules_candidates_free. */
struct rules_candidates *rules_candidates_new(void)
{
	struct rules_candidates *candidates =
		g_new0(struct rules_candidates, 1);

	candidates->list = g_ptr_array_new_with_free_func(g_free);
	candidates->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return candidates;
}

/* Frees the list; NULL is allowed. */
void rules_candidates_free(struct rules_candidates *candidates)
{
	if (!candidates)
		return;
	g_hash_table_destroy(candidates->by_name);
	g_ptr_array_free(candidates->list, TRUE);
	g_free(candidates);
}

/* Adds an edit, or a deletion if line is NULL; line must outlive the list. */
void rules_candidates_add(struct rules_candidates *candidates, const char *name,
			  const struct rules_text_line *line)
{
	struct rules_candidate *candidate = g_new0(struct rules_candidate, 1);

	g_strlcpy(candidate->name, name, SERVICE_NAME_BYTES);
	candidate->line = line;
	g_ptr_array_add(candidates->list, candidate);
	g_hash_table_insert(candidates->by_name, candidate->name, candidate);
}

/* Returns the number of edits, refused ones included. */
uint32_t rules_candidates_count(const struct rules_candidates *candidates)
{
	return candidates->list->len;
}

/* Returns the edit at an index below rules_candidates_count. */
const struct rules_candidate *
rules_candidates_at(const struct rules_candidates *candidates, uint32_t index)
{
	return g_ptr_array_index(candidates->list, index);
}

/* Makes the line that replaces the stored one; free it with rules_line_free. */
struct rules_line *rules_candidate_next(const struct rules_candidate *candidate,
					const struct rules_line *stored)
{
	const struct rules_text_line *line = candidate->line;

	return rules_line_next(stored, candidate->name,
			       line ? line->text : NULL,
			       line ? line->rule->form : RULE_FORM_FIRST);
}

static guint endpoint_key_hash(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean endpoint_key_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

static void free_rule(gpointer rule)
{
	rule_free(rule);
}

/*
 * Adds a stored line's addresses. Those of a line of a later syntax version are
 * left out, as this program cannot parse it.
 */
static void add_stored_addresses(struct address_owners *owners,
				 const struct rules_line *stored)
{
	struct rule_error error;
	struct rule *rule =
		rule_parse_bytes(stored->text, strlen(stored->text), &error);

	if (!rule)
		return;
	g_ptr_array_add(owners->rules, rule);
	for (uint32_t i = 0; i < rule->address_count; i++)
		g_hash_table_insert(owners->service_names, &rule->addresses[i],
				    (char *)stored->name);
}

static bool is_replaced(const struct rules_candidates *candidates,
			const char *name)
{
	const struct rules_candidate *candidate =
		g_hash_table_lookup(candidates->by_name, name);

	return candidate && !candidate->refusal[0];
}

static void add_all_stored_addresses(struct address_owners *owners,
				     const struct rules_candidates *candidates,
				     const struct rules_document *document)
{
	for (uint32_t i = 0; i < rules_document_count(document); i++) {
		const struct rules_line *stored =
			rules_document_at(document, i);

		if (!stored->is_deleted &&
		    !is_replaced(candidates, stored->name))
			add_stored_addresses(owners, stored);
	}
}

/* Adds an edit's addresses, or refuses it and returns true if one is taken. */
static bool add_candidate_addresses(struct address_owners *owners,
				    struct rules_candidate *candidate)
{
	const struct rule *rule = candidate->line->rule;
	char address[ENDPOINT_TEXT_BYTES];

	for (uint32_t i = 0; i < rule->address_count; i++) {
		const char *owner = g_hash_table_lookup(owners->service_names,
							&rule->addresses[i]);

		if (!owner)
			continue;
		snprintf(candidate->refusal, RULES_REASON_BYTES,
			 "address %s belongs to service %s",
			 endpoint_format(&rule->addresses[i], address), owner);
		return true;
	}
	for (uint32_t i = 0; i < rule->address_count; i++)
		g_hash_table_insert(owners->service_names, &rule->addresses[i],
				    candidate->name);
	return false;
}

/* Refuses edits whose addresses overlap; returns whether any was refused. */
static bool refuse_overlaps(struct rules_candidates *candidates,
			    const struct rules_document *document)
{
	struct address_owners owners = {
		g_hash_table_new(endpoint_key_hash, endpoint_key_equal),
		g_ptr_array_new_with_free_func(free_rule)};
	bool is_refused = false;

	add_all_stored_addresses(&owners, candidates, document);
	for (guint i = 0; i < candidates->list->len; i++) {
		struct rules_candidate *candidate =
			g_ptr_array_index(candidates->list, i);

		if (candidate->line && !candidate->refusal[0])
			is_refused |=
				add_candidate_addresses(&owners, candidate);
	}
	g_hash_table_destroy(owners.service_names);
	g_ptr_array_free(owners.rules, TRUE);
	return is_refused;
}

static void refuse_oversize(struct rules_candidates *candidates,
			    const struct rules_document *document)
{
	uint64_t size_bytes = rules_document_size_bytes(document);

	for (guint i = 0; i < candidates->list->len; i++) {
		struct rules_candidate *candidate =
			g_ptr_array_index(candidates->list, i);
		const struct rules_line *stored =
			rules_document_find(document, candidate->name);
		struct rules_line *next =
			rules_candidate_next(candidate, stored);
		uint64_t before = stored ? rules_line_size_bytes(stored) : 0;
		uint64_t after = rules_line_size_bytes(next);

		rules_line_free(next);
		if (candidate->refusal[0])
			continue;
		if (after <= before ||
		    size_bytes - before + after <= RULES_DOCUMENT_BYTES_MAX) {
			size_bytes = size_bytes - before + after;
			continue;
		}
		snprintf(candidate->refusal, RULES_REASON_BYTES,
			 "the configuration holds %" PRIu64
			 " of %d bytes; shorten or delete other lines first",
			 size_bytes, RULES_DOCUMENT_BYTES_MAX);
	}
}

/*
 * Refuses edits that would give one address to two services or exceed the size
 * limit of the document. A refused edit leaves the stored line in place, whose
 * addresses may conflict with another edit, so the check is repeated until no
 * more edits are refused.
 */
void rules_candidates_validate(struct rules_candidates *candidates,
			       const struct rules_document *document)
{
	refuse_oversize(candidates, document);
	while (refuse_overlaps(candidates, document))
		continue;
}
