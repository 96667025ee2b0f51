#include <ctl/command.h>

#include <ctl/flow_trace.h>
#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static const struct option long_options[] = {
	{"json", no_argument, NULL, 'j'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotctl explain [--json] ID [LOG ...]\n"
	"Reads the logs of one or more nodes, or standard input, and prints "
	"the lines\nof one flow, sorted by time, and the cause of its failure "
	"if they show one. ID\nis a request id or a caller's address and "
	"port. Exits 1 if no line matches it.\n";

static void free_line(gpointer line)
{
	log_line_free(line);
}

static void read_stream(GPtrArray *lines, FILE *file)
{
	char *text = NULL;
	size_t size = 0;

	while (getline(&text, &size, file) >= 0) {
		struct log_line *line = log_line_parse(text);

		if (line)
			g_ptr_array_add(lines, line);
	}
	free(text);
}

static bool read_file(GPtrArray *lines, const char *path)
{
	FILE *file = fopen(path, "re");

	if (!file) {
		perror(path);
		return false;
	}
	read_stream(lines, file);
	fclose(file);
	return true;
}

static void print_text(const struct flow_trace *trace)
{
	const GPtrArray *lines = flow_trace_lines(trace);

	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line = g_ptr_array_index(lines, i);
		bool is_cause_line = line == flow_trace_cause_line(trace);

		printf("%s %s\n", is_cause_line ? ">" : " ",
		       log_line_text(line));
	}
	printf("cause: %s\n", flow_trace_cause(trace)
				      ? flow_trace_cause(trace)
				      : "no failure found in these logs");
}

static void print_json(const struct flow_trace *trace)
{
	const GPtrArray *lines = flow_trace_lines(trace);
	const struct log_line *cause_line = flow_trace_cause_line(trace);
	json_t *list = json_array();
	json_t *root;

	for (guint i = 0; i < lines->len; i++)
		json_array_append_new(list,
				      json_string(log_line_text(
					      g_ptr_array_index(lines, i))));
	root = json_pack("{s:o, s:s?, s:s?}", "lines", list, "odd",
			 cause_line ? log_line_text(cause_line) : NULL, "cause",
			 flow_trace_cause(trace));
	json_dumpf(root, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(root);
}

static int explain(const char *id, const GPtrArray *lines, bool is_json)
{
	struct flow_trace *trace = flow_trace_new(id, lines);
	int code = EXIT_CODE_DONE;

	if (flow_trace_lines(trace)->len == 0) {
		fprintf(stderr, "shallotctl: no log line matches %s\n", id);
		code = EXIT_CODE_FAILED;
	} else if (is_json) {
		print_json(trace);
	} else {
		print_text(trace);
	}
	flow_trace_free(trace);
	return code;
}

static int run(int argc, char **argv)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
	bool is_json = false;
	int code = EXIT_CODE_BAD_DATA;
	bool is_read = true;
	int option;

	while ((option = getopt_long(argc, argv, "jh", long_options, NULL)) !=
	       -1) {
		if (option != 'j') {
			fputs(usage_text, option == 'h' ? stdout : stderr);
			g_ptr_array_free(lines, TRUE);
			return option == 'h' ? EXIT_CODE_DONE : EXIT_CODE_USAGE;
		}
		is_json = true;
	}
	if (optind == argc) {
		fputs(usage_text, stderr);
		g_ptr_array_free(lines, TRUE);
		return EXIT_CODE_USAGE;
	}
	if (optind + 1 == argc)
		read_stream(lines, stdin);
	for (int i = optind + 1; i < argc; i++)
		is_read = read_file(lines, argv[i]) && is_read;
	if (is_read)
		code = explain(argv[optind], lines, is_json);
	g_ptr_array_free(lines, TRUE);
	return code;
}

const struct command explain_command = {
	"explain", "trace a flow through the nodes' logs", run};
