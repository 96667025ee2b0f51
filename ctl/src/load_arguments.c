#include "load_arguments.h"

#include <event2/http.h>
#include <getopt.h>
#include <stdio.h>
#include <string.h>

#define RATE_DEFAULT_PER_S 100
#define RATE_MAX_PER_S 20000
#define DURATION_DEFAULT_S 10
#define DURATION_MAX_S 3600
#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 600000
#define OPEN_REQUESTS_MAX 4000
#define SHARE_MAX 1000000
#define MS_PER_S 1000
#define LOOPBACK_NET 127
#define HTTP_PORT 80

static const struct option long_options[] = {
	{"rate", required_argument, NULL, 'r'},
	{"duration-s", required_argument, NULL, 'd'},
	{"seed", required_argument, NULL, 's'},
	{"timeout-ms", required_argument, NULL, 't'},
	{"class", required_argument, NULL, 'c'},
	{"check-echo", no_argument, NULL, 'e'},
	{"any-address", no_argument, NULL, 'a'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

/* Makes arguments with default values; free them with load_arguments_free. */
struct load_arguments *load_arguments_new(void)
{
	struct load_arguments *arguments = g_new0(struct load_arguments, 1);

	arguments->options = (struct load_options){
		.node_count = 1,
		.rate_per_s = RATE_DEFAULT_PER_S,
		.duration_ms = DURATION_DEFAULT_S * MS_PER_S,
		.timeout_ms = TIMEOUT_DEFAULT_MS,
		.open_limit = OPEN_REQUESTS_MAX,
		.seed = 1,
	};
	return arguments;
}

/* Frees the arguments. */
void load_arguments_free(struct load_arguments *arguments)
{
	for (uint32_t i = 0; i < LOAD_CLASS_COUNT_MAX; i++)
		g_free(arguments->class_names[i]);
	g_free(arguments->host);
	g_free(arguments->path);
	g_free(arguments);
}

static bool parse_number(const char *text, uint64_t max, uint32_t *value)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 1, max, &number, NULL))
		return false;
	*value = (uint32_t)number;
	return true;
}

/* Parses HOST:SHARE or HOST:SHARE:post and adds a load class. */
static bool add_class(struct load_arguments *arguments, const char *text)
{
	uint32_t index = arguments->options.class_count;
	struct load_class *load_class = &arguments->classes[index];
	char **parts = g_strsplit(text, ":", -1);
	uint32_t count = g_strv_length(parts);
	bool is_post = count == 3 && strcmp(parts[2], "post") == 0;
	bool is_valid = index < LOAD_CLASS_COUNT_MAX &&
			(count == 2 || is_post) && *parts[0] != '\0' &&
			parse_number(parts[1], SHARE_MAX, &load_class->share);

	if (is_valid) {
		arguments->class_names[index] = g_strdup(parts[0]);
		load_class->name = arguments->class_names[index];
		load_class->host = arguments->class_names[index];
		load_class->is_repeatable = !is_post;
		arguments->options.class_count++;
	}
	g_strfreev(parts);
	return is_valid;
}

static bool parse_duration(struct load_arguments *arguments, const char *text)
{
	uint32_t duration_s;

	if (!parse_number(text, DURATION_MAX_S, &duration_s))
		return false;
	arguments->options.duration_ms = duration_s * MS_PER_S;
	return true;
}

static bool parse_option(struct load_arguments *arguments, int option)
{
	struct load_options *options = &arguments->options;

	switch (option) {
	case 'r':
		return parse_number(optarg, RATE_MAX_PER_S,
				    &options->rate_per_s);
	case 'd':
		return parse_duration(arguments, optarg);
	case 's':
		return g_ascii_string_to_unsigned(optarg, 10, 0, UINT32_MAX,
						  &options->seed, NULL);
	case 't':
		return parse_number(optarg, TIMEOUT_MAX_MS,
				    &options->timeout_ms);
	case 'c':
		return add_class(arguments, optarg);
	case 'e':
		options->is_echo_checked = true;
		return true;
	case 'a':
		arguments->is_any_address_allowed = true;
		return true;
	default:
		return false;
	}
}

static bool is_loopback(const struct ip_addr *addr)
{
	static const uint8_t v6_loopback[IP_ADDR_BYTES] = {[15] = 1};

	if (addr->is_v6)
		return memcmp(addr->bytes, v6_loopback, IP_ADDR_BYTES) == 0;
	return addr->bytes[0] == LOOPBACK_NET;
}

/* An IPv6 address is in brackets (RFC 3986, section 3.2.2). */
static bool parse_host(struct ip_addr *addr, const char *host)
{
	size_t length = strlen(host);
	bool is_bracketed = length >= 2 && host[0] == '[';
	char *text =
		is_bracketed ? g_strndup(host + 1, length - 2) : g_strdup(host);
	bool is_valid = ip_addr_parse(addr, text);

	g_free(text);
	return is_valid;
}

static bool parse_address(struct load_arguments *arguments,
			  const struct evhttp_uri *uri)
{
	int port = evhttp_uri_get_port(uri);

	if (!parse_host(&arguments->node.addr, evhttp_uri_get_host(uri)))
		return false;
	arguments->node.port = (uint16_t)(port > 0 ? port : HTTP_PORT);
	if (arguments->is_any_address_allowed ||
	    is_loopback(&arguments->node.addr))
		return true;
	fputs("shallotctl: not a loopback address; use --any-address to "
	      "allow it\n",
	      stderr);
	return false;
}

/* Sets the path of all classes; without --class, one is made from the URL. */
static void complete_classes(struct load_arguments *arguments,
			     const struct evhttp_uri *uri)
{
	const char *path = evhttp_uri_get_path(uri);

	arguments->host = g_strdup(evhttp_uri_get_host(uri));
	arguments->path = g_strdup(path && *path ? path : "/");
	if (arguments->options.class_count == 0) {
		arguments->options.class_count = 1;
		arguments->classes[0] = (struct load_class){
			.name = "get",
			.host = arguments->host,
			.share = 1,
			.is_repeatable = true,
		};
	}
	for (uint32_t i = 0; i < arguments->options.class_count; i++)
		arguments->classes[i].path = arguments->path;
}

static bool parse_url(struct load_arguments *arguments, const char *text)
{
	struct evhttp_uri *uri = evhttp_uri_parse(text);
	const char *scheme = uri ? evhttp_uri_get_scheme(uri) : NULL;
	bool is_valid = scheme && strcmp(scheme, "http") == 0 &&
			evhttp_uri_get_host(uri) &&
			parse_address(arguments, uri);

	if (is_valid)
		complete_classes(arguments, uri);
	if (uri)
		evhttp_uri_free(uri);
	return is_valid;
}

/* Parses the command line of shallotctl load. */
enum load_arguments_result
load_arguments_parse(struct load_arguments *arguments, int argc, char **argv)
{
	int option;

	while ((option = getopt_long(argc, argv, "r:d:s:t:c:eah", long_options,
				     NULL)) != -1) {
		if (option == 'h')
			return LOAD_ARGUMENTS_HELP;
		if (!parse_option(arguments, option))
			return LOAD_ARGUMENTS_INVALID;
	}
	if (optind != argc - 1 || !parse_url(arguments, argv[optind]))
		return LOAD_ARGUMENTS_INVALID;
	return LOAD_ARGUMENTS_OK;
}
