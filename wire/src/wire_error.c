#include <wire/wire_error.h>

/* Returns the GError domain of enum wire_error. */
GQuark wire_error_quark(void)
{
	return g_quark_from_static_string("wire-error");
}
