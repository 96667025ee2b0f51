#include <core/endpoint_list.h>

/*
 * Parses a comma-separated list of endpoints; whitespace around each is
 * ignored. Returns an array of struct endpoint, or NULL if one of them is
 * invalid. Free it with g_array_free.
 */
GArray *endpoint_list_parse(const char *text)
{
	GArray *endpoints = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	char **words = g_strsplit(text, ",", -1);
	bool is_valid = true;

	for (char **word = words; *word && is_valid; word++) {
		struct endpoint endpoint;

		is_valid = endpoint_parse(&endpoint, g_strstrip(*word));
		if (is_valid)
			g_array_append_val(endpoints, endpoint);
	}
	g_strfreev(words);
	if (is_valid)
		return endpoints;
	g_array_free(endpoints, TRUE);
	return NULL;
}
