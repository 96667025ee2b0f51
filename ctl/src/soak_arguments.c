#include "soak_arguments.h"

#include <getopt.h>

#define MS_PER_S 1000
#define S_PER_MINUTE 60
#define DURATION_DEFAULT_S 30
#define DURATION_MAX_S 86400
#define NODE_COUNT_DEFAULT 6
#define SERVICE_COUNT 3
#define HOSTS_PER_SERVICE_DEFAULT 3
#define HOSTS_PER_SERVICE_MAX 20
#define FLOWS_DEFAULT_PER_S 60
#define FLOWS_MAX_PER_S 2000
#define DIRECTORY_MODE 0755

/* Options without a letter; the values differ from any character. */
enum long_option {
	OPTION_SECONDS = 256,
	OPTION_LIST_WRONG,
};

static const struct option long_options[] = {
	{"seed", required_argument, NULL, 's'},
	{"minutes", required_argument, NULL, 'm'},
	{"seconds", required_argument, NULL, OPTION_SECONDS},
	{"nodes", required_argument, NULL, 'n'},
	{"hosts", required_argument, NULL, 'o'},
	{"flows-per-s", required_argument, NULL, 'f'},
	{"mod", no_argument, NULL, 'M'},
	{"schedule", required_argument, NULL, 'c'},
	{"replay", required_argument, NULL, 'r'},
	{"wrong", required_argument, NULL, 'w'},
	{"list-wrong", no_argument, NULL, OPTION_LIST_WRONG},
	{"directory", required_argument, NULL, 'd'},
	{"program", required_argument, NULL, 'p'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotctl soak [OPTIONS]\n"
	"Runs shallotd processes with a fake platform, callers and hosts, "
	"injects faults\nand checks what callers and hosts observe. The same "
	"seed gives the same faults.\n\n"
	"  --seed N          seed of the random faults (1)\n"
	"  --seconds N       how long to inject faults (30)\n"
	"  --minutes N       the same in minutes\n"
	"  --nodes N         number of nodes, in two zones (6)\n"
	"  --hosts N         number of hosts of each of three services (3)\n"
	"  --flows-per-s N   flows opened per second (60)\n"
	"  --mod             route flows by hash modulo the node count, so "
	"that a change\n"
	"                    of the nodes moves nearly all flows\n"
	"  --schedule FILE   inject the faults of a schedule\n"
	"  --replay FILE     run a schedule; if it fails, find a shorter one "
	"that fails\n"
	"  --wrong NAME      add a deliberate fault, which the checks must "
	"detect\n"
	"  --list-wrong      list the deliberate faults\n"
	"  --directory DIR   directory for settings, logs and the report\n"
	"  --program FILE    shallotd; default: in the directory of "
	"shallotctl\n";

/* Prints the usage text. */
void soak_arguments_print_usage(FILE *out)
{
	fputs(usage_text, out);
}

static char *default_program(void)
{
	char *own_path = g_file_read_link("/proc/self/exe", NULL);
	char *directory = g_path_get_dirname(own_path ? own_path : ".");
	char *program = g_build_filename(directory, "shallotd", NULL);

	g_free(directory);
	g_free(own_path);
	return program;
}

/* Makes arguments with default values; free them with soak_arguments_free. */
struct soak_arguments *soak_arguments_new(void)
{
	struct soak_arguments *arguments = g_new0(struct soak_arguments, 1);

	arguments->program = default_program();
	arguments->duration_ms = DURATION_DEFAULT_S * MS_PER_S;
	arguments->options = (struct soak_options){
		.seed = 1,
		.node_count = NODE_COUNT_DEFAULT,
		.service_count = SERVICE_COUNT,
		.hosts_per_service = HOSTS_PER_SERVICE_DEFAULT,
		.flows_per_s = FLOWS_DEFAULT_PER_S,
		.is_consistent_hash = true,
	};
	return arguments;
}

/* Frees the arguments and their strings. */
void soak_arguments_free(struct soak_arguments *arguments)
{
	g_free(arguments->program);
	g_free(arguments->directory);
	g_free(arguments->schedule_path);
	g_free(arguments);
}

static bool parse_number(const char *text, uint32_t min, uint32_t max,
			 uint32_t *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, min, max, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

static bool parse_duration(struct soak_arguments *arguments, uint32_t unit_s)
{
	uint32_t count;

	if (!parse_number(optarg, 1, DURATION_MAX_S / unit_s, &count))
		return false;
	arguments->duration_ms = count * unit_s * MS_PER_S;
	return true;
}

static void replace_string(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static bool parse_path(struct soak_arguments *arguments, int option)
{
	switch (option) {
	case 'c':
	case 'r':
		replace_string(&arguments->schedule_path, optarg);
		arguments->is_replay = option == 'r';
		return true;
	case 'd':
		replace_string(&arguments->directory, optarg);
		arguments->is_directory_given = true;
		return true;
	case 'p':
		replace_string(&arguments->program, optarg);
		return true;
	default:
		return false;
	}
}

static bool parse_option(struct soak_arguments *arguments, int option)
{
	struct soak_options *options = &arguments->options;

	switch (option) {
	case 's':
		return g_ascii_string_to_unsigned(optarg, 10, 0, UINT32_MAX,
						  &options->seed, NULL);
	case 'm':
		return parse_duration(arguments, S_PER_MINUTE);
	case OPTION_SECONDS:
		return parse_duration(arguments, 1);
	case 'n':
		return parse_number(optarg, 2, SOAK_NODE_COUNT_MAX,
				    &options->node_count);
	case 'o':
		return parse_number(optarg, 2, HOSTS_PER_SERVICE_MAX,
				    &options->hosts_per_service);
	case 'f':
		return parse_number(optarg, 2, FLOWS_MAX_PER_S,
				    &options->flows_per_s);
	case 'M':
		options->is_consistent_hash = false;
		return true;
	case 'w':
		options->deliberate_fault = soak_deliberate_fault_find(optarg);
		return options->deliberate_fault != NULL;
	default:
		return parse_path(arguments, option);
	}
}

/* Parses the command line of shallotctl soak. */
enum soak_arguments_result
soak_arguments_parse(struct soak_arguments *arguments, int argc, char **argv)
{
	int option;

	while ((option = getopt_long(argc, argv, "h", long_options, NULL)) !=
	       -1) {
		if (option == 'h')
			return SOAK_ARGUMENTS_HELP;
		if (option == OPTION_LIST_WRONG)
			return SOAK_ARGUMENTS_LIST;
		if (!parse_option(arguments, option))
			return SOAK_ARGUMENTS_INVALID;
	}
	return optind == argc ? SOAK_ARGUMENTS_RUN : SOAK_ARGUMENTS_INVALID;
}

/*
 * Creates the directory of the run, a temporary one unless it was given, and
 * sets the paths in the options. Fails with G_FILE_ERROR.
 */
bool soak_arguments_make_directory(struct soak_arguments *arguments,
				   GError **error)
{
	if (!arguments->is_directory_given) {
		g_free(arguments->directory);
		arguments->directory = g_dir_make_tmp("soak-XXXXXX", error);
	} else if (g_mkdir_with_parents(arguments->directory, DIRECTORY_MODE)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "cannot create directory %s", arguments->directory);
		return false;
	}
	arguments->options.directory = arguments->directory;
	arguments->options.program = arguments->program;
	return arguments->directory != NULL;
}
