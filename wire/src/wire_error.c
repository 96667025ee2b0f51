#include <wire/wire_error.h>

/* The GError domain of package wire. */
GQuark wire_error_quark(void)
{
	return g_quark_from_static_string("wire-error");
}
