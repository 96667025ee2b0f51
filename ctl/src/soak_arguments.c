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

enum letter {
	LETTER_SECONDS = 256,
	LETTER_LIST,
};

static const struct option long_options[] = {
	{"seed", required_argument, NULL, 's'},
	{"minutes", required_argument, NULL, 'm'},
	{"seconds", required_argument, NULL, LETTER_SECONDS},
	{"nodes", required_argument, NULL, 'n'},
	{"hosts", required_argument, NULL, 'o'},
	{"flows-per-s", required_argument, NULL, 'f'},
	{"mod", no_argument, NULL, 'M'},
	{"schedule", required_argument, NULL, 'c'},
	{"replay", required_argument, NULL, 'r'},
	{"wrong", required_argument, NULL, 'w'},
	{"list-wrong", no_argument, NULL, LETTER_LIST},
	{"directory", required_argument, NULL, 'd'},
	{"program", required_argument, NULL, 'p'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotctl soak [OPTIONS]\n"
	"Runs real shallotd processes against stand-ins, injects faults from "
	"outside and\nchecks what callers and hosts see. The same seed draws "
	"the same faults.\n\n"
	"  --seed N          what the faults are drawn from (1)\n"
	"  --seconds N       how long faults are injected (30)\n"
	"  --minutes N       the same in minutes\n"
	"  --nodes N         nodes, in two zones (6)\n"
	"  --hosts N         hosts for each of three services (3)\n"
	"  --flows-per-s N   flows that callers open (60)\n"
	"  --mod             nearly all flows move with each node that joins\n"
	"  --schedule FILE   run the faults of a schedule\n"
	"  --replay FILE     run a schedule, and shorten it while it fails\n"
	"  --wrong NAME      put a faulty stand-in beside the nodes; it must "
	"be "
	"found\n"
	"  --list-wrong      list the faulty stand-ins\n"
	"  --directory DIR   where settings, logs and the report go\n"
	"  --program FILE    shallotd, by default beside shallotctl\n";

/* Prints how the command is used. */
void soak_arguments_print_usage(FILE *out)
{
	fputs(usage_text, out);
}

static char *program_beside(void)
{
	char *own = g_file_read_link("/proc/self/exe", NULL);
	char *directory = g_path_get_dirname(own ? own : ".");
	char *program = g_build_filename(directory, "shallotd", NULL);

	g_free(directory);
	g_free(own);
	return program;
}

/* Makes arguments with the values that hold when nothing is asked. */
struct soak_arguments *soak_arguments_new(void)
{
	struct soak_arguments *arguments = g_new0(struct soak_arguments, 1);

	arguments->program = program_beside();
	arguments->duration_ms = DURATION_DEFAULT_S * MS_PER_S;
	arguments->options = (struct soak_options){
		.seed = 1,
		.node_count = NODE_COUNT_DEFAULT,
		.service_count = SERVICE_COUNT,
		.hosts_per_service = HOSTS_PER_SERVICE_DEFAULT,
		.flows_per_s = FLOWS_DEFAULT_PER_S,
		.is_steady = true,
	};
	return arguments;
}

/* Frees the arguments. */
void soak_arguments_free(struct soak_arguments *arguments)
{
	g_free(arguments->program);
	g_free(arguments->directory);
	g_free(arguments->schedule_path);
	g_free(arguments);
}

static bool read_number(const char *text, uint32_t least, uint32_t most,
			uint32_t *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, least, most, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

static bool read_duration(struct soak_arguments *arguments, uint32_t unit_s)
{
	uint32_t count;

	if (!read_number(optarg, 1, DURATION_MAX_S / unit_s, &count))
		return false;
	arguments->duration_ms = count * unit_s * MS_PER_S;
	return true;
}

static void set_text(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static bool read_path(struct soak_arguments *arguments, int letter)
{
	switch (letter) {
	case 'c':
	case 'r':
		set_text(&arguments->schedule_path, optarg);
		arguments->is_replay = letter == 'r';
		return true;
	case 'd':
		set_text(&arguments->directory, optarg);
		arguments->is_directory_given = true;
		return true;
	case 'p':
		set_text(&arguments->program, optarg);
		return true;
	default:
		return false;
	}
}

static bool read_option(struct soak_arguments *arguments, int letter)
{
	struct soak_options *options = &arguments->options;

	switch (letter) {
	case 's':
		return g_ascii_string_to_unsigned(optarg, 10, 0, UINT32_MAX,
						  &options->seed, NULL);
	case 'm':
		return read_duration(arguments, S_PER_MINUTE);
	case LETTER_SECONDS:
		return read_duration(arguments, 1);
	case 'n':
		return read_number(optarg, 2, SOAK_NODE_COUNT_MAX,
				   &options->node_count);
	case 'o':
		return read_number(optarg, 2, HOSTS_PER_SERVICE_MAX,
				   &options->hosts_per_service);
	case 'f':
		return read_number(optarg, 2, FLOWS_MAX_PER_S,
				   &options->flows_per_s);
	case 'M':
		options->is_steady = false;
		return true;
	case 'w':
		options->wrong = soak_wrong_find(optarg);
		return options->wrong != NULL;
	default:
		return read_path(arguments, letter);
	}
}

/* Reads a command line. */
enum soak_arguments_result soak_arguments_read(struct soak_arguments *arguments,
					       int argc, char **argv)
{
	int letter;

	while ((letter = getopt_long(argc, argv, "h", long_options, NULL)) !=
	       -1) {
		if (letter == 'h')
			return SOAK_ARGUMENTS_HELP;
		if (letter == LETTER_LIST)
			return SOAK_ARGUMENTS_LIST;
		if (!read_option(arguments, letter))
			return SOAK_ARGUMENTS_BAD;
	}
	return optind == argc ? SOAK_ARGUMENTS_RUN : SOAK_ARGUMENTS_BAD;
}

/* Makes the directory of the run. Fails with a file error. */
bool soak_arguments_make_directory(struct soak_arguments *arguments,
				   GError **error)
{
	if (!arguments->is_directory_given) {
		g_free(arguments->directory);
		arguments->directory = g_dir_make_tmp("soak-XXXXXX", error);
	} else if (g_mkdir_with_parents(arguments->directory, DIRECTORY_MODE)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "cannot make %s", arguments->directory);
		return false;
	}
	arguments->options.directory = arguments->directory;
	arguments->options.program = arguments->program;
	return arguments->directory != NULL;
}
