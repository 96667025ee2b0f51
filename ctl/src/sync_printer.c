#include "sync_printer.h"

#include <core/rule.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/*
 * A line as last printed; in_force_count is the number of nodes last printed. A
 * pending line is in the store but not known to be in force on all nodes.
 */
struct printed_line {
	struct rules_outcome outcome;
	uint32_t in_force_count;
	bool is_pending;
};

struct sync_printer {
	const char *path;
	bool is_json;
	GHashTable *lines;
};

/* Makes a printer; the path of the rules file must outlive it. */
struct sync_printer *sync_printer_new(const char *path, bool is_json)
{
	struct sync_printer *printer = g_new0(struct sync_printer, 1);

	printer->path = path;
	printer->is_json = is_json;
	printer->lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return printer;
}

/* Frees the printer; NULL is allowed. */
void sync_printer_free(struct sync_printer *printer)
{
	if (!printer)
		return;
	g_hash_table_destroy(printer->lines);
	g_free(printer);
}

static void print_json(json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	puts(text);
	free(text);
	json_decref(object);
}

/* A line removed from the file has no line number. */
static void print_location(const struct sync_printer *printer,
			   const struct rules_outcome *outcome)
{
	if (outcome->line_number > 0)
		printf("%s:%u:%u: ", printer->path, outcome->line_number,
		       outcome->column);
	else
		printf("%s: ", printer->path);
}

static json_t *outcome_object(const struct sync_printer *printer,
			      const struct rules_outcome *outcome)
{
	return json_pack(
		"{s:s, s:i, s:i, s:s, s:s, s:I, s:s}", "file", printer->path,
		"line", (int)outcome->line_number, "column",
		(int)outcome->column, "service", outcome->name, "verdict",
		rules_verdict_name(outcome->verdict), "revision",
		(json_int_t)outcome->generation, "reason", outcome->reason);
}

static void print_outcome(const struct sync_printer *printer,
			  const struct rules_outcome *outcome)
{
	if (printer->is_json) {
		print_json(outcome_object(printer, outcome));
	} else {
		print_location(printer, outcome);
		printf("%s %s%s%s\n", outcome->name[0] ? outcome->name : "?",
		       rules_verdict_name(outcome->verdict),
		       outcome->reason[0] ? ": " : "", outcome->reason);
	}
	fflush(stdout);
}

static bool is_printed(const struct printed_line *printed,
		       const struct rules_outcome *outcome)
{
	return printed &&
	       strcmp(rules_verdict_name(printed->outcome.verdict),
		      rules_verdict_name(outcome->verdict)) == 0 &&
	       printed->outcome.generation == outcome->generation &&
	       strcmp(printed->outcome.reason, outcome->reason) == 0;
}

static bool is_in_store(const struct rules_outcome *outcome)
{
	return outcome->verdict == RULES_ACCEPTED ||
	       outcome->verdict == RULES_ALREADY_STORED ||
	       outcome->verdict == RULES_DELETED;
}

/* A line whose service name is invalid is identified by its number. */
static char *line_key(const struct rules_outcome *outcome)
{
	return outcome->name[0] ? g_strdup(outcome->name)
				: g_strdup_printf("%u", outcome->line_number);
}

/* Prints the verdicts that differ from those last printed. */
void sync_printer_print_outcomes(struct sync_printer *printer,
				 const struct rules_merge *merge)
{
	for (uint32_t i = 0; i < rules_merge_count(merge); i++) {
		const struct rules_outcome *outcome = rules_merge_at(merge, i);
		char *key = line_key(outcome);
		struct printed_line *line =
			g_hash_table_lookup(printer->lines, key);

		if (is_printed(line, outcome)) {
			g_free(key);
			continue;
		}
		line = g_new0(struct printed_line, 1);
		line->outcome = *outcome;
		line->is_pending = is_in_store(outcome);
		g_hash_table_insert(printer->lines, key, line);
		print_outcome(printer, outcome);
	}
}

static json_t *in_force_object(const struct sync_printer *printer,
			       const struct printed_line *line,
			       uint32_t node_count)
{
	return json_pack("{s:s, s:s, s:I, s:i, s:i}", "file", printer->path,
			 "service", line->outcome.name, "revision",
			 (json_int_t)line->outcome.generation, "in_force",
			 (int)line->in_force_count, "nodes", (int)node_count);
}

static void print_in_force(const struct sync_printer *printer,
			   const struct printed_line *line, uint32_t node_count)
{
	if (printer->is_json) {
		print_json(in_force_object(printer, line, node_count));
	} else {
		print_location(printer, &line->outcome);
		printf("%s in force on %u of %u nodes\n", line->outcome.name,
		       line->in_force_count, node_count);
	}
	fflush(stdout);
}

/*
 * Prints on how many nodes pending lines are in force, if that changed. Returns
 * whether all lines are in force on all nodes.
 */
bool sync_printer_print_status(struct sync_printer *printer,
			       const struct fleet_status *status)
{
	uint32_t node_count = fleet_status_count(status);
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, printer->lines);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct printed_line *line = value;
		uint32_t in_force_count = fleet_status_in_force_count(
			status, line->outcome.generation, line->outcome.form);

		if (!line->is_pending)
			continue;
		line->is_pending =
			node_count == 0 || in_force_count < node_count;
		if (in_force_count == line->in_force_count && line->is_pending)
			continue;
		line->in_force_count = in_force_count;
		print_in_force(printer, line, node_count);
	}
	return sync_printer_pending_count(printer) == 0;
}

/* Returns the number of pending lines. */
uint32_t sync_printer_pending_count(const struct sync_printer *printer)
{
	uint32_t count = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, printer->lines);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		count += ((struct printed_line *)value)->is_pending ? 1 : 0;
	return count;
}
