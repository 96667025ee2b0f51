#include <wire/vm_list.h>

#include <core/zone.h>
#include <jansson.h>
#include <string.h>
#include <wire/wire_error.h>

static bool decode_vm(struct vm *vm, const json_t *object)
{
	const char *address =
		json_string_value(json_object_get(object, "address"));
	const char *zone = json_string_value(json_object_get(object, "zone"));
	const char *state = json_string_value(json_object_get(object, "state"));

	if (!address || !zone || !state || !ip_addr_parse(&vm->addr, address))
		return false;
	vm->zone_id = zone_id_from_name(zone);
	vm->is_leaving = strcmp(state, "leaving") == 0;
	return true;
}

/*
 * Reads [{"address":,"zone":,"state":"live" or "leaving"}]. A truncated or
 * malformed list is refused whole, since a VM left out would look gone. The
 * caller frees the array. Fails with WIRE_ERROR_MALFORMED.
 */
GArray *vm_list_decode(const char *text, size_t length_bytes, GError **error)
{
	json_error_t cause;
	json_t *root = json_loadb(text, length_bytes, 0, &cause);
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct vm));
	bool is_valid = json_is_array(root);
	size_t index;
	json_t *object;

	json_array_foreach(root, index, object)
	{
		struct vm vm = {.zone_id = 0};

		is_valid = is_valid && decode_vm(&vm, object);
		g_array_append_val(list, vm);
	}
	json_decref(root);
	if (is_valid)
		return list;
	g_set_error_literal(error, WIRE_ERROR, WIRE_ERROR_MALFORMED,
			    "expected a JSON list of VMs");
	g_array_free(list, TRUE);
	return NULL;
}
