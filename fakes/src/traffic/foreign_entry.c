#include <fakes/foreign_entry.h>

#include "host_entry.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/*
 * What distinguishes an entry from a host's own one. value is JSON, or NULL if
 * the field is missing; without a field, the bytes cannot be read.
 */
static const struct {
	const char *field;
	const char *value;
} forms[] = {
	{"version", NULL},
	{"sequence", NULL},
	{"born", NULL},
	{"version", "1"},
	{"sequence", "\"one\""},
	{"born", "\"today\""},
	{"concurrency", "[64]"},
	{"state", "\"retired\""},
	{"service", "\"svc-none\""},
	{NULL, NULL},
};

/* Returns the number of forms. */
uint32_t foreign_entry_form_count(void)
{
	return G_N_ELEMENTS(forms);
}

/*
 * Returns an entry of another writer that claims that a host is ready and has
 * the given options. form is taken modulo the number of forms. Free it with
 * g_free.
 */
char *foreign_entry_format(const struct fake_host_options *claimed,
			   uint32_t form)
{
	const char *field = forms[form % G_N_ELEMENTS(forms)].field;
	const char *value = forms[form % G_N_ELEMENTS(forms)].value;
	char *whole = host_entry_format(claimed, false);
	json_t *root = json_loads(whole, 0, NULL);
	char *text;
	char *result;

	if (field && value)
		json_object_set_new(root, field,
				    json_loads(value, JSON_DECODE_ANY, NULL));
	else if (field)
		json_object_del(root, field);
	text = json_dumps(root, JSON_COMPACT);
	if (!field)
		memset(text + strlen(text) / 2, 0xff, strlen(text) / 2);
	result = g_strdup(text);
	free(text);
	json_decref(root);
	g_free(whole);
	return result;
}
